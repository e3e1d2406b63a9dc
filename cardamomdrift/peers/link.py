"""
Peer link
=========

State updates go by publish and subscribe over `pynng`.  Each daemon subscribes to a
bounded number of others, chosen by hash.  Queries are answered on the next port.
"""

import asyncio

from pynng import NNGException, Pub0, Sub0

from cardamomdrift.membership.rendezvous import home_set
from cardamomdrift.peers.messages import decode_update, encode
from cardamomdrift.peers.queries import QueryServer
from cardamomdrift.util import DECODE_ERRORS, cancel_all

NEIGHBOUR_COUNT = 8  # daemons to whose state updates one daemon subscribes
RECONNECT_MINIMUM = 100  # milliseconds
RECONNECT_MAXIMUM = 2000  # milliseconds
RECEIVE_BUFFER = 64  # messages
MESSAGE_SIZE_LIMIT = 8 * 1024 * 1024  # bytes


def choose_neighbours(vm, others, count=NEIGHBOUR_COUNT):
    """Return the VMs to whose state updates this VM subscribes."""
    return frozenset(home_set(vm, others, count))


class PeerLink:
    """Exchanges updates and queries with other daemons; an async context manager.

    Parameters
    ----------
    vm : str
    address : str
        ``ip:port`` for state updates; queries use the next port.
    on_update : callable
        Takes a StateUpdate.
    on_query : coroutine function
        Takes a query and returns the reply.
    log : structlog logger
    budget : MemoryBudget, optional
        Accounts for replies to queries.
    """

    def __init__(self, vm, address, on_update, on_query, log, budget=None):
        self._vm = vm
        self._address = address
        self._on_update = on_update
        self._query_server = QueryServer(address, on_query, log, budget=budget)
        self._log = log
        self._publisher = None
        self._subscriber = None
        self._dialers = {}
        self._tasks = []
        self._sent_bytes = 0
        self._received_bytes = 0

    @property
    def sent_bytes(self):
        """Bytes of updates published, counted once for each neighbour dialled."""
        return self._sent_bytes

    @property
    def received_bytes(self):
        """Bytes of updates received."""
        return self._received_bytes

    async def __aenter__(self):
        self._publisher = Pub0(listen=f"tcp://{self._address}")
        self._subscriber = Sub0(
            topics=b"",
            reconnect_time_min=RECONNECT_MINIMUM,
            reconnect_time_max=RECONNECT_MAXIMUM,
            recv_buffer_size=RECEIVE_BUFFER,
            recv_max_size=MESSAGE_SIZE_LIMIT,
        )
        self._tasks = [asyncio.create_task(self._receive())]
        await self._query_server.__aenter__()
        return self

    async def __aexit__(self, *exc_info):
        await self._query_server.__aexit__(*exc_info)
        await cancel_all(self._tasks)
        for socket in (self._publisher, self._subscriber):
            socket.close()

    def set_peers(self, addresses):
        """Subscribe to the updates of this VM's neighbours, and to no others.

        Parameters
        ----------
        addresses : dict of str to str
            Addresses for state updates of the VMs to choose from, by VM.
        """
        chosen = choose_neighbours(self._vm, addresses)
        wanted = {addresses[vm] for vm in chosen}
        for address in set(self._dialers) - wanted:
            self._dialers.pop(address).close()
        for address in wanted - set(self._dialers):
            self._dialers[address] = self._subscriber.dial(
                f"tcp://{address}", block=False
            )

    async def publish(self, update):
        """Send an update to all subscribers."""
        data = encode(update)
        self._sent_bytes += len(data) * len(self._dialers)
        try:
            await self._publisher.asend(data)
        except NNGException as error:
            self._log.warning("state update not sent", error=type(error).__name__)

    async def _receive(self):
        while True:
            data = await self._subscriber.arecv()
            self._received_bytes += len(data)
            try:
                self._on_update(decode_update(data))
            except DECODE_ERRORS:
                self._log.warning("state update not understood", size=len(data))
