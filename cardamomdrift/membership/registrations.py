"""
Registrations
=============

Writes the rows of daemons again that the store has lost with a restore.  A daemon that
makes no calls of the store notices that its row is gone only after seconds.  Until then
a process that has just started would not count it.
"""

from itertools import islice

from cardamomdrift.failover.records import (
    TABLE,
    MemberRecord,
    encode_record,
    member_key,
)
from cardamomdrift.ports import Committed

MAX_ROWS = 20  # rows of one transaction


def find_lost_rows(roster, registered):
    """Return the rows of the daemons that this one counts and the store does not list.

    Parameters
    ----------
    roster : Roster
        Of a voter, after it has applied the read; it counts those heard lately.
    registered : set of str
        Daemons that the store lists.

    Returns
    -------
    dict of str to bytes
    """
    domains = roster.domains.known
    return {
        member_key(name): encode_record(
            MemberRecord(
                peer.address, peer.heartbeat.incarnation, domains.get(name, "")
            )
        )
        for name, peer in roster.peers.items()
        if name not in registered and peer.heartbeat is not None
        if not (peer.is_leaving or peer.is_stopping)
    }


async def write_lost_rows(store, roster, registered, log):
    """Write the lost rows; return whether all are there.

    Raises
    ------
    PlatformUnavailable or PlatformRefused
    """
    rows = iter(find_lost_rows(roster, registered).items())
    while puts := dict(islice(rows, MAX_ROWS)):
        # A daemon that has registered again meanwhile has a newer row.
        result = await store.commit(TABLE, dict.fromkeys(puts, 0), puts)
        taken = isinstance(result, Committed)
        log.warning("registrations written again", rows=",".join(puts), taken=taken)
        if not taken:
            return False
    return True
