"""
Identity
========

Identity of the VM that a daemon runs on.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class VmIdentity:
    """Name and failure domain of the VM that a daemon runs on."""

    name: str
    failure_domain: str
