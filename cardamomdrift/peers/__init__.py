"""Heartbeats, state updates, queries and loans between daemons."""
