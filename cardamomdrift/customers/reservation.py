"""
Reservation
===========

Token of a customer's quota between the arrival of an operation and its sending.
"""

import math


class Reservation:
    """Token that is reserved for one operation.

    Parameters
    ----------
    gate : QuotaGate
    customer : str
    credit : CustomerCredit or None
        Where the token came from; None if the customer is not limited.
    end : float
        Boot clock; the token must not be spent from then on.
    """

    def __init__(self, gate, customer, credit, end):
        self._gate = gate
        self._customer = customer
        self._credit = credit
        self._end = end

    async def charge(self):
        """Spend a token for an attempt that is sent right after this call.

        The first call spends the reserved token, or another one if its credit has
        ended or the limit was lowered.  Each further call takes a further token.

        Raises
        ------
        QuotaExceeded
        """
        end, self._end = self._end, -math.inf
        if not self._gate.is_valid(self._customer, self._credit, end):
            await self._gate.spend(self._customer)

    def release(self):
        """Return the token if it was not spent."""
        end, self._end = self._end, -math.inf
        if end > -math.inf:
            self._gate.give_back(self._customer, self._credit, end)
