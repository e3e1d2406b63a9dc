"""
Term record
===========

The rows of a group's terms in the table service, one for each term, taken by the first
conditional write.  They tell operators' tools and new daemons who leads; what protects
the data is the fence at a majority of the instances.
"""

import uuid


class TermLog:
    """Term rows of one group."""

    def __init__(self, table, deployment, group):
        self._table = table
        self._stream = (deployment, f"term#{group}")

    async def append(self, term, primary, owner):
        """Record the primary of a term.

        Returns
        -------
        Taken or AppendConflict or AppendUnknown
        """
        fields = {"primary": primary, "owner": owner, "term": term}
        return await self._table.append(self._stream, term, fields, uuid.uuid4().hex)

    async def latest(self):
        """Return the row of the highest term, or None.

        Raises
        ------
        PlatformUnavailable
        """
        return await self._table.latest(self._stream)
