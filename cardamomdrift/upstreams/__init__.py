"""Connections to instances and the contract with them."""
