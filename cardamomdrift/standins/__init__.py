"""Small stand-ins for everything outside the daemons."""
