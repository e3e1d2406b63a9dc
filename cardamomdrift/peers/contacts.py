"""
Contacts with a primary
=======================

What other daemons report about a group's primary: when it last answered them and for
how long it has been silent.
"""

from dataclasses import dataclass, field

from cardamomdrift.util import seconds

LIVENESS_TIMEOUT = 1.0  # seconds since the last heartbeat of a live daemon
CONTACT_AGE_LIMIT = 0.4  # seconds; longer than the heartbeat interval


@dataclass(slots=True)
class PrimaryContacts:
    """What live daemons report about a primary; times are in seconds.

    Attributes
    ----------
    ages : dict of str to float
        Time since the primary last answered, by daemon.
    silence : float
        Longest time for which it has left a daemon without an answer.
    """

    ages: dict = field(default_factory=dict)
    silence: float = 0.0

    @property
    def newest_age(self):
        """Time since the primary last answered any daemon, or None."""
        return min(self.ages.values(), default=None)

    @property
    def reaching_daemons(self):
        """Names of daemons that the primary answered lately, the latest first."""
        ages = self.ages
        lately = [name for name, age in ages.items() if age <= CONTACT_AGE_LIMIT]
        return sorted(lately, key=ages.get)


def primary_contacts(roster, group, generation, now):
    """Return the PrimaryContacts of a group.

    Parameters
    ----------
    roster : Roster
    group : str
    generation : int
        Number of the replacement that a daemon must know for its reports to count.
    now : float
        Boot clock.
    """
    contacts = PrimaryContacts()
    for name, peer in roster.peers.items():
        if peer.heartbeat is None or now - peer.heard_at > LIVENESS_TIMEOUT:
            continue
        claim, heard_at = peer.claims.get(group, (None, now))
        if claim is None or claim.generation != generation:
            continue
        if now - heard_at <= LIVENESS_TIMEOUT:
            contacts.silence = max(contacts.silence, seconds(claim.silence_ms))
        if claim.contact_age_ms is not None:
            contacts.ages[name] = seconds(claim.contact_age_ms) + now - heard_at
    return contacts
