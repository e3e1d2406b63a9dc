"""Failure detection, replacement of primaries, and the log of terms."""
