"""
Cluster context
===============

Dependencies of clusters that their daemon provides.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClusterContext:
    """Dependencies of a cluster, provided by its daemon.

    Attributes
    ----------
    vm : VmIdentity
    connector : callable
        Takes an InstanceRecord and returns a coroutine function that connects.
    permission : Permission
    members : callable
        Returns the names of all VMs, as a tuple; empty while they are not known.
    domains : callable
        Returns the failure domain by VM, as far as known.
    voters : callable
        Returns the names of the voters, as a tuple.
    announce : callable
        Sends heartbeats to all peers immediately.
    borrow : coroutine function
        Borrows a connection to an instance; see `Borrower.borrow`.
    contacts : callable
        Takes a group and a generation; returns the PrimaryContacts that other daemons
        report.
    clock : callable
        Returns the loop's time in seconds.
    log : structlog logger
    customers_in_force : bool
        Whether each connection belongs to a customer.
    """

    vm: object
    connector: object
    borrow: object
    contacts: object
    permission: object
    members: object
    domains: object
    voters: object
    announce: object
    clock: object
    log: object
    customers_in_force: bool = False
