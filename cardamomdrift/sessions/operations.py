"""
Operations of a session
=======================

The guards of one session's operations.  A single statement has a guard of its own; a
transaction has one from its first statement to its end.
"""

from cardamomdrift.customers.identity import NO_GUARD


class Operations:
    """Guards of one session's operations.

    Parameters
    ----------
    identity : Identity
        Customer and digest of the key that the session was opened with.
    gate : AccessGate or None
        None where customers are not in force.
    """

    def __init__(self, identity, gate):
        self._identity = identity
        self._gate = gate
        self._guard = None

    def guard_for(self, route, in_transaction):
        """Return the guard of the open transaction, or of a new operation.

        Parameters
        ----------
        route : Route
        in_transaction : bool
            Whether the statement belongs to an open transaction.
        """
        if self._gate is None:
            return NO_GUARD
        if self._guard is not None:
            return self._guard
        guard = self._gate.make_guard(self._next_identity(route), route)
        if in_transaction:
            self._guard = guard
        return guard

    def _next_identity(self, route):
        return self._gate.identify(self._identity, route)

    def check(self, route):
        """Check whether the session may run operations.

        Raises
        ------
        AccessDenied
        ProofExpired
        """
        if self._gate is not None:
            self._gate.check(self._next_identity(route), route)

    def is_withdrawn(self, route):
        """Whether the open transaction's key is no longer held by its customer."""
        if self._gate is None:
            return False
        if self._guard is not None:
            return self._gate.is_withdrawn(self._guard.identity, route)
        return self._gate.is_withdrawn(self._next_identity(route), route)

    def may_run_again(self, route):
        """Whether the session may run other operations than the open transaction.

        Its key belongs to another customer than before, or its route needs a key now.
        """
        return not self._gate.is_withdrawn(self._next_identity(route), route)

    def end_statement(self, guard):
        """End a single statement; a transaction keeps its guard."""
        if guard is not self._guard:
            guard.release()

    def end_transaction(self):
        """End the open transaction, if it has a guard."""
        guard, self._guard = self._guard, None
        if guard is not None:
            guard.release()
