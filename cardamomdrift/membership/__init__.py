"""Registration and leases of daemons, and the tables that they read."""
