"""
Idle connections
================

The idle connections of a pool, in the order in which they became idle.  Each belongs to
one customer; without customers all belong to the customer "".
"""

from collections import Counter


class IdleConnections:
    """Idle connections to one instance, with the customer of each."""

    def __init__(self):
        self._customers = {}  # by connection, in the order in which they became idle

    def __len__(self):
        return len(self._customers)

    def count(self, customer):
        """Return the number of idle connections of a customer."""
        return sum(owner == customer for owner in self._customers.values())

    def count_by_customer(self):
        """Return a Counter of the idle connections by customer."""
        return Counter(self._customers.values())

    def add(self, connection, customer):
        """Add a connection that became idle now."""
        self._customers[connection] = customer

    def take(self, customer, prefer=None):
        """Remove and return a reusable connection of a customer, or None.

        The preferred one that was used last, or else the one that was used last.
        Connections that turn out not to be reusable are closed.

        Parameters
        ----------
        customer : str
        prefer : callable, optional
            Takes a connection; returns whether to prefer it to others.
        """
        connection = None
        if prefer is not None:
            connection = next(filter(prefer, self._newest_first(customer)), None)
        while True:
            if connection is None:
                connection = next(self._newest_first(customer), None)
            if connection is None:
                return None
            del self._customers[connection]
            if connection.reusable:
                return connection
            connection.close()
            connection = None

    def _newest_first(self, customer):
        for connection, owner in reversed(self._customers.items()):
            if owner == customer:
                yield connection

    def richest_customer(self):
        """Return the customer with the most idle connections, or None.

        "" comes first: connections of no customer are needed for pings only.
        """
        counts = self.count_by_customer()
        if not counts:
            return None
        return "" if "" in counts else max(counts, key=counts.get)

    def close_oldest(self):
        """Close the connection that has been idle longest; return whether one was."""
        if not self._customers:
            return False
        connection = next(iter(self._customers))
        del self._customers[connection]
        connection.close()
        return True

    def close_replaceable(self):
        """Close one of no customer, or else the oldest; return whether one was.

        Those of no customer were opened for pings, which use them again and again, so
        that they are never idle for long.
        """
        for connection, owner in self._customers.items():
            if not owner:
                del self._customers[connection]
                connection.close()
                return True
        return self.close_oldest()

    def close_all(self):
        """Close all of them."""
        while self.close_oldest():
            pass

    def trim(self, idle_before, keep):
        """Close those that have been idle since before a time, except the last ones.

        Parameters
        ----------
        idle_before : float
        keep : int
            Connections that stay open.
        """
        while len(self) > keep:
            if next(iter(self._customers)).idle_since >= idle_before:
                return
            self.close_oldest()
