"""Model, registry and distribution of the deployment configuration."""
