"""
Opener
======

Opens the connections of a pool, and those beyond it.  The instance's refusal is
backpressure: none is opened for a while.
"""

from cardamomdrift.errors import DeadlinePassed, UpstreamBusy

CONNECT_TIMEOUT = 1.0  # seconds


class Opener:
    """Opens connections to one instance, and counts them.

    Parameters
    ----------
    connect : coroutine function
        Opens a connection within a number of seconds.  A second argument names the
        customer that it is to belong to, if there is one.
    clock : callable
    backoff : RefusalBackoff

    Attributes
    ----------
    pending : int
        Connections that are being opened, or for which a place is reserved.
    opened : int
        Number of connections that were opened for the pool.
    """

    def __init__(self, connect, clock, backoff):
        self._connect = connect
        self._clock = clock
        self._backoff = backoff
        self.pending = 0
        self.opened = 0

    @property
    def refusals(self):
        """Number of connections that the instance refused because it had too many."""
        return self._backoff.refusals

    @property
    def backs_off(self):
        """Whether none is opened because the instance refused one."""
        return self._backoff.active

    async def open(self, deadline_at, customer, reserved=False):
        """Return a new connection of a customer.

        Parameters
        ----------
        deadline_at : float
        customer : str
        reserved : bool
            Whether `pending` counts it already.

        Raises
        ------
        UpstreamError or DeadlinePassed
        """
        if not reserved:
            self.pending += 1
        further = (customer,) if customer else ()
        try:
            timeout = min(CONNECT_TIMEOUT, deadline_at - self._clock())
            if timeout <= 0:
                raise DeadlinePassed("no time left to connect")
            connection = await self._open(timeout, *further)
        finally:
            self.pending -= 1
        self.opened += 1
        return connection

    async def open_beyond(self, timeout):
        """Return a new connection beyond the pool's share, which the caller closes.

        It is opened even during the back-off.

        Raises
        ------
        UpstreamError
        """
        return await self._open(timeout)

    async def _open(self, timeout, *further):
        begun_at = self._clock()
        try:
            connection = await self._connect(timeout, *further)
        except UpstreamBusy:
            # Other VMs may still hold connections of this VM's share, and the instance
            # may still count one that was just closed.
            self._backoff.record_refusal(begun_at)
            raise
        self._backoff.record_success()
        connection.opened_at = self._clock()
        return connection
