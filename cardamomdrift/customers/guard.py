"""
Request guard
=============

Checks key, proof and quota of one operation: a single statement, or a transaction from
its first statement to its end.
"""

from cardamomdrift.customers.identity import PUBLIC_CUSTOMER
from cardamomdrift.telemetry.recorder import SERVED


class RequestGuard:
    """Guard of one operation; see `customers.identity.NoGuard`.

    Parameters
    ----------
    gate : AccessGate
    identity : Identity
        Of the operation; it does not change until its end.
    route : Route
        Route of the operation when it began.
    quota : object, optional
        Its coroutine ``reserve`` takes a customer's name and the deadline by the boot
        clock, raises QuotaExceeded, and returns a reservation with the coroutine
        ``charge`` and with ``release``.
    """

    def __init__(self, gate, identity, route, quota=None):
        self._gate = gate
        self._route = route
        self._quota = None if identity.customer == PUBLIC_CUSTOMER else quota
        self._reservation = None
        self._admitted = False
        self._released = False
        self.identity = identity
        self._outcome = SERVED

    async def admit(self, deadline_at=None):
        """Admit the operation, before it queues; later statements only check access.

        Parameters
        ----------
        deadline_at : float, optional
            Boot clock; when the operation must be answered.

        Raises
        ------
        AccessDenied
        ProofExpired
        QuotaExceeded
        """
        await self._gate.wait_applied()
        self.check_access()
        if not self._admitted and self._quota is not None:
            customer = self.identity.customer
            self._reservation = await self._quota.reserve(customer, deadline_at)
        self._admitted = True

    def check_access(self):
        """Check that the customer holds the key and that this is known to be recent.

        Raises
        ------
        AccessDenied
        ProofExpired
        """
        self._gate.check(self.identity, self._route)

    async def charge(self):
        """Charge the customer for an attempt that is about to be sent.

        Raises
        ------
        QuotaExceeded
        """
        if self._reservation is not None:
            await self._reservation.charge()

    def record_failure(self, error):
        """Note why the operation failed, for the metrics."""
        self._outcome = type(error).__name__

    def release(self):
        """End the operation."""
        if self._released:
            return
        self._released = True
        if self._reservation is not None:
            self._reservation.release()
        self._gate.count(self.identity.customer, self._outcome)
