"""Bundles: their model, registry and follower."""
