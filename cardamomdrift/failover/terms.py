"""
Term log
========

Rows of a group's terms in the table service.  There is one row for each term; the first
conditional write creates it.  Operators' tools and new daemons read the primary from
them.  The data is protected by the fence on a majority of the instances, not by these
rows.
"""

import uuid


class TermLog:
    """Append-only log of one group's terms."""

    def __init__(self, table, deployment, group):
        self._table = table
        self._stream = (deployment, f"term#{group}")

    async def append(self, term, primary, owner):
        """Append the row of a term, unless another one exists.

        Returns
        -------
        Appended or AppendConflict or AppendUnknown
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
