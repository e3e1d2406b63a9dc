"""In-memory stand-ins for the database instances and the platform."""
