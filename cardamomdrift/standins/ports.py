"""
Free ports
==========

Finds ports for servers of tests and local fleets.
"""

import itertools
import os
import socket
from contextlib import ExitStack

# Below the ports that the system assigns to outgoing connections: such a connection
# could take a port between this look at it and the start of its server.
FIRST_PORT = 20000
PORT_COUNT = 12000
PEER_PORTS = 3  # heartbeats, queries and credit, loans
PORTS_PER_PROCESS = 32  # processes that start together begin this far apart

_NUMBERS = itertools.count(os.getpid() * PORTS_PER_PROCESS)


def free_ports(host, count=1):
    """Return the first of some consecutive ports on which nobody listens.

    No port is returned twice before all others have been.

    Parameters
    ----------
    host : str
    count : int
        Number of consecutive ports, for TCP and for UDP.
    """
    while True:
        first = FIRST_PORT + _reserve(count)
        if all(_is_free(host, first + offset) for offset in range(count)):
            return first


def daemon_ports():
    """Return the ports of a daemon on the platform, free on all addresses.

    Returns
    -------
    list of int
        For callers, readiness, heartbeats and metrics.  The two ports after the one for
        heartbeats are free, too.
    """
    return [free_ports("0.0.0.0", count) for count in (1, 1, PEER_PORTS, 1)]


def _reserve(count):
    """Return the number of the first of ``count`` consecutive ports."""
    while True:
        first = next(_NUMBERS) % PORT_COUNT
        for _ in range(count - 1):
            next(_NUMBERS)
        if first + count <= PORT_COUNT:
            return first


def _is_free(host, port):
    with ExitStack() as stack:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            probe = stack.enter_context(socket.socket(socket.AF_INET, kind))
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True
