"""Customers: who may run operations, with which key, and how many."""
