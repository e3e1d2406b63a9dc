"""
Proof of freshness
==================

A time at which this daemon's configuration was the newest one, and when the daemon
makes its next call of the store to prove it again.  All times are in seconds of the
boot clock, which counts suspensions.  Nothing here does input or output.
"""

import math

from cardamomdrift.membership.rendezvous import rank
from cardamomdrift.util import hash_number

# Seconds by which a proof ends early, because clocks of VMs drift.
CLOCK_DRIFT_MARGIN = 0.05
RANK_KEY = "proof"  # key of the order in which voters make calls
# Age of the proof at which the first voter makes a call, and the part that each live
# voter before it adds: the heartbeats of 0.3 s forward its proof meanwhile.
VOTER_AGE, VOTER_RANK_AGE = 1.0, 0.25
# Age at which a daemon that is no voter makes a call, and its largest addition by name.
OTHER_AGE, OTHER_SPREAD = 2.2, 0.6
USUAL_VALIDITY = 5.0  # seconds for which the ages above are meant
SPREAD_STEPS = 1000


def call_age(vm, voters, live_voters, validity=USUAL_VALIDITY):
    """Return the age of the proof at which a daemon makes a call of the store.

    Load pattern: a fleet of any size proves its configuration all the time.  Only the
    first live voter makes calls; the others get its proof by heartbeats.

    Parameters
    ----------
    vm : str
    voters : sequence of str
    live_voters : sequence of str
        Those heard lately, this daemon included if it is one.
    validity : float
        Seconds for which a proof is valid; below the usual ones, all ages are shorter
        in proportion.
    """
    scale = min(1.0, validity / USUAL_VALIDITY)
    if vm in voters:
        ahead = rank(RANK_KEY, {*live_voters, vm}).index(vm)
        return scale * (VOTER_AGE + VOTER_RANK_AGE * ahead)
    share = hash_number(RANK_KEY, vm) % SPREAD_STEPS / SPREAD_STEPS
    return scale * (OTHER_AGE + OTHER_SPREAD * share)


def least_call_age(validity):
    """Return the lowest age of the proof at which any daemon makes a call."""
    return VOTER_AGE * min(1.0, validity / USUAL_VALIDITY)


class FreshnessProof:
    """Newest time at which the configuration in force was proved to be the newest.

    Parameters
    ----------
    validity : float
        Seconds for which a proof is valid.
    needed : bool
        Whether keys are served only while a proof is valid.
    """

    def __init__(self, validity, needed):
        self._validity = validity
        self._needed = needed
        self._proved_at = -math.inf
        self._known_version = 0

    @property
    def needed(self):
        """Whether keys are served only while a proof is valid."""
        return self._needed

    @property
    def validity(self):
        """Seconds for which a proof is valid."""
        return self._validity

    @property
    def known_version(self):
        """Newest version that a peer has reported."""
        return self._known_version

    def record_call(self, begun_at):
        """Record a call of the store.

        Parameters
        ----------
        begun_at : float
            When the call began.  The configuration that it showed has been applied, or
            it is older than the one in force.
        """
        self._proved_at = max(self._proved_at, begun_at)

    def record_peer(self, version, proved_at, own_version):
        """Record what a peer's heartbeat reports.

        Parameters
        ----------
        version : int
            Version of the peer's configuration.
        proved_at : float or None
            Earliest time at which that version can have been proved the newest one.
        own_version : int
            Version in force here.  A proof of a newer version proves nothing here.
        """
        self._known_version = max(self._known_version, version)
        if proved_at is not None and version <= own_version:
            self._proved_at = max(self._proved_at, proved_at)

    def is_behind(self, own_version):
        """Whether a peer is known to have a newer version."""
        return self._needed and own_version < self._known_version

    def proved_at(self, own_version):
        """Return when the version in force was the newest; minus infinity if unknown.

        It is unknown while a peer is known to have a newer version.
        """
        return self._proved_at if own_version >= self._known_version else -math.inf

    def until(self, own_version):
        """Return when the proof ends; infinity if none is needed."""
        if not self._needed:
            return math.inf
        return self.proved_at(own_version) + self._validity - CLOCK_DRIFT_MARGIN

    def age(self, own_version, now):
        """Return the seconds since the proof; None without one."""
        age = now - self.proved_at(own_version)
        return None if math.isinf(age) else age
