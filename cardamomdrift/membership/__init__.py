"""Leases of the VMs and how keys are spread over them."""
