"""
Descriptors
===========

Divides the descriptors of a process among its ports, so that clients of one port leave
enough for the instances, the store, the other daemons and the load balancer.
"""

import resource
from dataclasses import dataclass

# Descriptors for instances, borrowed connections, the store and probes: 20 when idle,
# and up to one connection to each of 70 instances.
OWN_DESCRIPTORS = 96
# On the MySQL edge also for state updates and for transactions on many instances.
MYSQL_OWN_DESCRIPTORS = 160
HTTP_CONNECTIONS = 12  # at each of the two HTTP ports; a probe takes some milliseconds
QUERY_CONNECTIONS = 24
MINIMUM_LOANS = 24
LOANS_DIVISOR = 8  # of the descriptors, for loans to other daemons
MINIMUM_CALLERS = 16
HTTP_PORTS = 2


@dataclass(frozen=True, slots=True)
class DescriptorPlan:
    """Connections that each port accepts at most."""

    callers: int
    loans: int
    http: int
    queries: int


def plan_descriptors(limit=None):
    """Return the DescriptorPlan of a process with so many descriptors.

    Parameters
    ----------
    limit : int, optional
        Defaults to the limit that the process was started with.
    """
    limit = limit or resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    loans = max(MINIMUM_LOANS, limit // LOANS_DIVISOR)
    others = OWN_DESCRIPTORS + loans + HTTP_PORTS * HTTP_CONNECTIONS + QUERY_CONNECTIONS
    callers = max(MINIMUM_CALLERS, limit - others)
    return DescriptorPlan(callers, loans, HTTP_CONNECTIONS, QUERY_CONNECTIONS)


def plan_mysql_connections(limit=None):
    """Return the callers' connections that a process of the MySQL edge accepts at most.

    Parameters
    ----------
    limit : int, optional
        Descriptors of the process.  Defaults to the limit that it was started with.
    """
    limit = limit or resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return max(MINIMUM_CALLERS, limit - MYSQL_OWN_DESCRIPTORS - QUERY_CONNECTIONS)
