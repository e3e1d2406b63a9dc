"""Randomized faults against real daemons in processes of their own."""
