"""
Listening
=========

Opens listening sockets from which one turn of the event loop accepts few connections.
"""

import socket

# asyncio accepts as many connections in one turn as the backlog that it is given,
# before any of them can be refused.
ACCEPTED_AT_ONCE = 8
LISTEN_BACKLOG = 1024  # connections that wait in the kernel


async def listen(start, address):
    """Return a server that accepts ACCEPTED_AT_ONCE connections in a turn.

    Parameters
    ----------
    start : callable
        Takes ``sock`` and ``backlog`` and returns an awaitable of the server.
    address : (str, int)
    """
    host, port = address
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.create_server((host, port), family=family, backlog=LISTEN_BACKLOG)
    try:
        server = await start(sock=listener, backlog=ACCEPTED_AT_ONCE)
    except BaseException:
        listener.close()
        raise
    listener.listen(LISTEN_BACKLOG)
    return server
