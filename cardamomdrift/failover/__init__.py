"""Suspicion, promotion and the record of terms."""
