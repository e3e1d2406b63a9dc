"""Server for callers and connections to instances over the MySQL protocol."""
