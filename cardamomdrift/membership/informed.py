"""
Informed daemons
================

Whether a daemon can leave following the store's tables to the voters, whose heartbeats
report newer versions.  Nothing here does input or output.
"""

from cardamomdrift.membership.instance_list import MAX_CURRENT_AGE

# Seconds without a voter after which a daemon follows the tables itself: a
# configuration must be in force 3 s after its acknowledgement.
VOTER_SILENCE_TIMEOUT = 2.0


def is_informed(roster, instances, now):
    """Return whether live voters report all changes of the tables to this daemon.

    Load pattern: each change of a table ends the waiting calls of all daemons, and a
    large fleet makes as many calls as it has daemons even without changes.

    Parameters
    ----------
    roster : Roster
    instances : InstanceList
        While an entry is missing from it, this daemon follows the list itself: the time
        until the removal begins anew when the store does not answer.
    now : float
        Boot clock.
    """
    if roster.is_voter or instances.has_missing:
        return False
    if instances.voters_age() > MAX_CURRENT_AGE:
        return False
    return any(
        roster.peers[name].heartbeat.store_reachable
        for name in roster.live_voters(now, VOTER_SILENCE_TIMEOUT)
    )
