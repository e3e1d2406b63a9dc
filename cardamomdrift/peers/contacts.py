"""
Contacts with a primary
=======================

What other daemons report about a group's primary: when it last answered them and for
how long it has been silent.
"""

from dataclasses import dataclass, field

from cardamomdrift.util import seconds

LIVENESS_TIMEOUT = 1.0  # seconds after a heartbeat for which its sender counts as live
# Seconds since a primary answered a daemon for which the daemon counts as reaching it;
# longer than the heartbeat interval.
CONTACT_AGE_LIMIT = 0.4
# Seconds without an answer after which a primary counts as not reaching a daemon.
CUT_OFF_SILENCE = 0.5


@dataclass(slots=True)
class PrimaryContacts:
    """What live daemons report about a primary; times are in seconds.

    Attributes
    ----------
    ages : dict of str to float
        Time since the primary last answered, by daemon.
    silences : dict of str to float
        Time for which the primary has left a daemon without an answer, by daemon.
    """

    ages: dict = field(default_factory=dict)
    silences: dict = field(default_factory=dict)

    @property
    def silence(self):
        """Longest time for which the primary has left a daemon without an answer."""
        return max(self.silences.values(), default=0.0)

    @property
    def cut_off_daemons(self):
        """Names of the daemons that the primary does not answer."""
        return {
            name
            for name, silence in self.silences.items()
            if silence >= CUT_OFF_SILENCE
        }

    @property
    def newest_age(self):
        """Time since the primary last answered any daemon, or None."""
        return min(self.ages.values(), default=None)

    @property
    def reaching_daemons(self):
        """Names of the daemons that the primary answered lately, latest first."""
        ages = self.ages
        reaching = [name for name, age in ages.items() if age <= CONTACT_AGE_LIMIT]
        return sorted(reaching, key=ages.get)


def primary_contacts(roster, group, generation, now):
    """Return the PrimaryContacts of a group's primary.

    Parameters
    ----------
    roster : Roster
    group : str
    generation : int
        Last replacement of the primary; reports of daemons that know another one as
        the last are ignored.
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
            contacts.silences[name] = seconds(claim.silence_ms)
        if claim.contact_age_ms is not None:
            contacts.ages[name] = seconds(claim.contact_age_ms) + now - heard_at
    return contacts
