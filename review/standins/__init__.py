"""Stand-ins for the review's scripts; standard library only."""
