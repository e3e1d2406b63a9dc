"""
Restart of all daemons
======================

Evidence that all daemons have restarted, so that no earlier process grants or uses
credit any more.  A daemon states in its heartbeats for how long its process has run.
A voter that hears all members derives the time from which only their present processes
act, with the same view of the members, and states it in its heartbeats.

The evidence needs that every process is younger than ``EVIDENCE_TIME``: a daemon grants
as a deputy ``HOLD_TIME`` after its start at the earliest, and the voters' word on a
home that was silent counts for at most ``VOUCH_TIME`` after they hear it.
"""

import math

from cardamomdrift.limits.homes import VOUCH_TIME
from cardamomdrift.limits.quota import HOLD_TIME
from cardamomdrift.util import MILLISECONDS, seconds

# Seconds since the start of the oldest process until which evidence is used.
EVIDENCE_TIME = HOLD_TIME - VOUCH_TIME
EVIDENCE_DELAY = 0.3  # seconds since a voter's heartbeat was sent until it is used


def _floor_age(at, now):
    """Return an age in milliseconds, rounded down: the time derived is later."""
    return math.floor(max(now - at, 0.0) * MILLISECONDS)


class RestartWatch:
    """Start and views of this process, and what it knows of the others'.

    Parameters
    ----------
    roster : Roster
    lists_all : callable
        Returns whether this process has read a store that lists all daemons that may be
        alive.
    clock : callable
        Returns the boot clock in seconds.
    """

    def __init__(self, roster, lists_all, clock):
        self._roster = roster
        self._lists_all = lists_all
        self._clock = clock
        self._started_at = clock()
        self._view = ()
        self._view_changed_at = None

    @property
    def started_at(self):
        """When this process began to act."""
        return self._started_at

    def begin(self):
        """Note that this process begins to act; it has the ports of the earlier one."""
        self._started_at = self._clock()

    def set_view(self, members):
        """Note the members among which this daemon chooses homes; empty if unknown."""
        if self._view and members != self._view:
            self._view_changed_at = self._clock()
        self._view = members

    def heartbeat_fields(self, now):
        """Return the fields of a heartbeat that state this process's part."""
        restarted_at, changed_at = self.restarted_at(now), self._view_changed_at
        return {
            "uptime_ms": _floor_age(self._started_at, now),
            "view_age_ms": None if changed_at is None else _floor_age(changed_at, now),
            "restart_age_ms": None
            if restarted_at is None
            else _floor_age(restarted_at, now),
        }

    def restarted_at(self, now):
        """Return since when only present processes act, as a voter knows; or None.

        None unless this voter has read a store that lists all daemons, has heard every
        member, and all count the same members.
        """
        oldest_allowed = now - (EVIDENCE_TIME - EVIDENCE_DELAY)
        if self._started_at < oldest_allowed or not self._roster.is_voter:
            return None
        if not self._view or not self._lists_all():
            return None
        latest = max(self._started_at, self._view_changed_at or -math.inf)
        for peer in self._roster.peers.values():
            settled_at = self._settled_at(peer, oldest_allowed)
            if settled_at is None:
                return None
            latest = max(latest, settled_at)
        return latest

    def _settled_at(self, peer, oldest_allowed):
        """Return since when a peer acts with its process and view, or None."""
        heartbeat = peer.heartbeat
        if heartbeat is None or peer.earliest_sent_at is None:
            return None
        if heartbeat.members_digest != self._roster.members_digest:
            return None
        if heartbeat.uptime_ms is None:
            return None
        uptime = seconds(heartbeat.uptime_ms + 1)
        if peer.earliest_sent_at - uptime < oldest_allowed:
            return None
        age = heartbeat.uptime_ms
        if heartbeat.view_age_ms is not None:
            age = min(age, heartbeat.view_age_ms)
        return peer.heard_at - seconds(age)

    def may_find_evidence(self, now):
        """Whether this process is young enough."""
        return now - self._started_at <= EVIDENCE_TIME

    def evidence(self, now):
        """Return since when only present processes act, from any voter; or None."""
        if not self.may_find_evidence(now) or not self._view:
            return None
        times = [self.restarted_at(now)]
        for name in self._roster.voters.names:
            times.append(self._reported_restart(self._roster.peers.get(name), now))
        times = [time for time in times if time is not None]
        # Each of them is sound; an earlier process of this daemon may be unknown.
        return max(min(times), self._started_at) if times else None

    def _reported_restart(self, peer, now):
        if peer is None or peer.heartbeat is None or peer.earliest_sent_at is None:
            return None
        heartbeat = peer.heartbeat
        if heartbeat.restart_age_ms is None:
            return None
        if heartbeat.members_digest != self._roster.members_digest:
            return None
        if now - peer.earliest_sent_at > EVIDENCE_DELAY:
            return None
        return peer.heard_at - seconds(heartbeat.restart_age_ms)
