"""
Refusals by quota
=================

Counts and logs the operations that are refused because of a customer's quota.
"""

import math
from collections import Counter

from cardamomdrift.customers.quota_preview import quota_error
from cardamomdrift.util import MILLISECONDS

# Customers whose refusals are counted by name, those with the highest rates.
LABELLED_CUSTOMERS = 10
OTHER_CUSTOMERS = "other"
REFUSAL_LOG_INTERVAL = 1.0  # seconds between two lines about one customer


class QuotaRefusals:
    """Refused operations of one daemon.

    Parameters
    ----------
    clock : callable
        Returns the boot clock in seconds.
    log : structlog logger

    Attributes
    ----------
    counts : Counter
        Refused operations, by customer; those of small customers together.
    """

    def __init__(self, clock, log):
        self._clock = clock
        self._log = log
        self._labelled = frozenset()
        self._logged = {}
        self.counts = Counter()

    def set_customers(self, limited):
        """Apply the customers with a rate of a new configuration.

        Labels and times of former configurations would accumulate.
        """
        largest = sorted(limited, key=lambda each: (-each.rate, each.name))
        self._labelled = {each.name for each in largest[:LABELLED_CUSTOMERS]}
        counts, self.counts = self.counts, Counter()
        for label, count in counts.items():
            self.counts[self._label(label)] += count
        names = {each.name for each in limited}
        self._logged = {
            name: last for name, last in self._logged.items() if name in names
        }

    def _label(self, customer):
        return customer if customer in self._labelled else OTHER_CUSTOMERS

    def make(self, customer, credit, reason, home):
        """Return the error for a refused operation, counted and logged.

        Parameters
        ----------
        customer : str
        credit : CustomerCredit
        reason : str
        home : str or None
            Home of the customer.
        """
        now = self._clock()
        self.counts[self._label(customer)] += 1
        retry_after = credit.retry_after(now)
        logged_at, left_out = self._logged.get(customer, (-math.inf, 0))
        if now - logged_at < REFUSAL_LOG_INTERVAL:
            self._logged[customer] = (logged_at, left_out + 1)
        else:
            self._logged[customer] = (now, 0)
            self._log.info(
                "operation refused by quota",
                customer=customer,
                reason=reason,
                home=home,
                rate=credit.terms.rate,
                retry_ms=round(retry_after * MILLISECONDS),
                refused_before=left_out,
            )
        return quota_error(reason, retry_after)
