"""
Identity
========

Which VM a daemon runs on.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class VmIdentity:
    """This VM."""

    name: str
    failure_domain: str
