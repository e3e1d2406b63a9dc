"""
Voter keeper
============

Decides when this daemon changes the set of voters, and which row it then writes to the
store.  The quorums and the choice of the voters are in `failover.voters`; the control
plane reads and writes the store.

If the store was restored from an older copy, the rows of the last replacements and of
the last change of the voters may be missing.  The row of the voters shows it, as its
epoch is of an earlier era.  A voter then writes the state that it remembers with an
epoch of the new era.  Until then, a read of the store proves nothing.  A voter that
has restarted since remembers nothing; it writes the row only if most voters have, or if
the promises of the others have expired.
"""

from cardamomdrift.errors import ControlRecordError
from cardamomdrift.failover.numbers import first_number, next_number
from cardamomdrift.failover.permission import (
    PERMISSION_VALIDITY,
    STORE_READ_VALIDITY,
)
from cardamomdrift.failover.records import VotersRecord, decode_record
from cardamomdrift.failover.replacement import takeover_at
from cardamomdrift.failover.voters import (
    VOTER_COUNT,
    VOTER_KEY,
    first_voters,
    has_quorum,
    next_voters,
)
from cardamomdrift.membership.rendezvous import rank
from cardamomdrift.peers.contacts import LIVENESS_TIMEOUT

# Seconds after its registration until a daemon names the first voters; the daemons of a
# new deployment register meanwhile.
FIRST_VOTERS_DELAY = 0.4
VOTER_SILENCE_TIMEOUT = 3.0  # seconds until a silent voter loses its place
# Seconds without any voter after which another daemon changes the set.
NO_VOTER_TIMEOUT = 24.0
RANK_DELAY = 0.2  # seconds for each live voter ranked higher
RETRY_DELAY = 2.0  # seconds after a read that showed no need of a change
# Seconds longer for which a voter waits that does not remember the lost rows.
FORGETFUL_DELAY = 1.0
RELEASE_MARGIN = 0.05  # seconds to wait after permissions have expired
# Seconds after which the promises of an earlier epoch have ended in any case.
FORMER_TIMEOUT = STORE_READ_VALIDITY + PERMISSION_VALIDITY + 1.0


class VoterKeeper:
    """Row of the voters and the decision to change it; does no input or output.

    Parameters
    ----------
    roster : Roster
    log : structlog logger
    now : float
        Boot clock.
    """

    def __init__(self, roster, log, now):
        self._roster = roster
        self._log = log
        self._record = None
        self._version = 0
        self._era = 0
        self._is_outdated = False
        self._seen_at = now
        self._voter_heard_at = now
        self._acknowledged_at = None
        self._wanted_since = None
        self._retry_at = now

    @property
    def voter_sets(self):
        """The voters and, until a change of them is complete, also the former ones."""
        if self._record is None:
            return ()
        return tuple(filter(None, (self._record.names, self._record.former)))

    @property
    def version(self):
        """Version of the row as last read; 0 if there was none."""
        return self._version

    @property
    def is_outdated(self):
        """Whether the store lacks rows since a restore, as of the last read."""
        return self._is_outdated

    def apply_row(self, row, now, era=0):
        """Apply the row of the voters, or None, as this daemon has read it.

        Parameters
        ----------
        row : Row or None
        now : float
        era : int
            Era of the store at the read.
        """
        roster = self._roster
        self._era = era
        if row is None and not roster.voters.epoch:
            roster.confirmed_epoch = roster.confirmed_epoch or 0
            return
        known = VotersRecord(roster.voters.epoch, roster.voters.names, ())
        record = known
        if row is not None:
            try:
                record = decode_record(row, VotersRecord)
            except ControlRecordError as error:
                self._log.error("row not usable", error=str(error))
                return
        version = 0 if row is None else row.version
        if version != self._version or self._record is None:
            self._version = version
            self._seen_at = now
            self._acknowledged_at = None
        self._is_outdated = row is None or record.epoch < first_number(era)
        if record.epoch < known.epoch:
            # Either the store lost the epoch, or this read began before it.
            self._is_outdated = True
            record = VotersRecord(known.epoch, known.names, record.names)
        self._record = record
        roster.adopt_voters(record.epoch, record.names, now)
        if not self._is_outdated:
            roster.confirmed_epoch = record.epoch

    # Decision

    def is_due(self, registered, now, resumed_at):
        """Whether this daemon is to read the store in order to change the row.

        Parameters
        ----------
        registered : set of str
            Daemons that were registered at the last read of the store.
        now : float
        resumed_at : float
            When this daemon started or was last resumed after a suspension.
        """
        if now < self._retry_at:
            return False
        if self.next_record(registered, now, resumed_at, with_live=True) is None:
            self._wanted_since = None
            return False
        if self._wanted_since is None:
            self._wanted_since = now
        return now >= self._wanted_since + self._rank_delay(registered, now)

    def postpone(self, now):
        """Wait before the next change, after this one was written or not needed."""
        self._wanted_since = None
        self._retry_at = now + RETRY_DELAY

    def _rank_delay(self, registered, now):
        if self._record is None:
            order = first_voters(registered)
            delay = FIRST_VOTERS_DELAY
        else:
            order = rank(VOTER_KEY, self._roster.live_voters(now, LIVENESS_TIMEOUT))
            delay = 0.0
        vm = self._roster.vm
        position = list(order).index(vm) if vm in order else len(order)
        return delay + position * RANK_DELAY

    def next_record(self, registered, now, resumed_at, with_live=False):
        """Return the VotersRecord that this daemon is to write now, or None.

        Parameters
        ----------
        registered : set of str
        now, resumed_at : float
            As for `is_due`.
        with_live : bool
            Whether the daemons heard lately count as registered, too.
        """
        if self._record is None:
            if with_live:
                registered = self._add_live(registered, now)
            names = first_voters(registered)
            epoch = next_number(self._era, 0)
            # After a restore the row is complete only when earlier echoes have ended.
            former = names if self._era > 1 else ()
            return VotersRecord(epoch, names, former) if names else None
        if not self._may_change(now, resumed_at):
            return None
        if self._is_outdated:
            return self._renewed_record(now)
        if self._record.former:
            return self._complete_record(now)
        return self._changed_record(registered, now, resumed_at, with_live)

    def _add_live(self, registered, now):
        return registered.union(self._roster.live_members(now, LIVENESS_TIMEOUT))

    def _renewed_record(self, now):
        """Return the record of the known voters with an epoch of the present era.

        Replacements whose rows were lost have ended by then.
        """
        record = self._record
        renew_at = takeover_at(self._seen_at)
        if self._roster.confirmed_epoch is None:
            renew_at += FORGETFUL_DELAY
            if not self._have_most_forgotten(record.names, now):
                renew_at = self._seen_at + FORMER_TIMEOUT
        if now < renew_at:
            return None
        epoch = next_number(self._era, record.epoch)
        return VotersRecord(epoch, record.names, record.former or record.names)

    def _have_most_forgotten(self, names, now):
        """Whether too few voters remember the lost rows to give a permission."""
        roster = self._roster
        forgetful = {
            name
            for name in names
            if name == roster.vm
            or roster.is_fresh(name, now, LIVENESS_TIMEOUT)
            and roster.peers[name].heartbeat.confirmed_age_ms is None
        }
        return has_quorum(forgetful, (names,))

    def _may_change(self, now, resumed_at):
        """Whether this daemon is a voter, or has heard no voter for long."""
        roster = self._roster
        if roster.is_voter:
            return True
        if roster.live_voters(now, LIVENESS_TIMEOUT):
            self._voter_heard_at = now
        since = max(self._voter_heard_at, self._seen_at, resumed_at)
        return now - since >= NO_VOTER_TIMEOUT

    def _complete_record(self, now):
        """Return the record without the former voters once they promise nothing."""
        record = self._record
        if self._acknowledged_at is None and self._has_former_quorum():
            self._acknowledged_at = now
        acknowledged_at = self._acknowledged_at
        expired = now >= self._seen_at + FORMER_TIMEOUT
        if acknowledged_at is not None:
            released_at = acknowledged_at + PERMISSION_VALIDITY + RELEASE_MARGIN
            expired = expired or now >= released_at
        return VotersRecord(record.epoch, record.names, ()) if expired else None

    def _has_former_quorum(self):
        """Whether a quorum of the former voters knows the present epoch."""
        roster, record = self._roster, self._record
        knowing = {roster.vm}
        for name in record.former:
            peer = roster.peers.get(name)
            heard = peer is not None and peer.heartbeat is not None
            if heard and peer.heartbeat.epoch >= record.epoch:
                knowing.add(name)
        return has_quorum(knowing, (record.former,))

    def _changed_record(self, registered, now, resumed_at, with_live):
        record = self._record
        unfit = {name for name in record.names if self._is_unfit(name, now, resumed_at)}
        if not unfit and len(record.names) >= VOTER_COUNT:
            if registered.issuperset(record.names):
                # The usual case, before all other daemons are ranked.
                return None
        if with_live:
            registered = self._add_live(registered, now)
        candidates = {
            name
            for name in self._roster.live_members(now, LIVENESS_TIMEOUT)
            if not self._is_stopping(name)
        }
        if self._roster.is_voter:
            names = next_voters(record.names, set(registered), candidates, unfit)
        else:
            # All voters are gone.  This daemon cannot tell which others are alive.
            names = first_voters({*registered, self._roster.vm} - set(record.names))
        if not names or names == record.names:
            return None
        epoch = next_number(self._era, record.epoch)
        return VotersRecord(epoch, names, record.names)

    def _is_stopping(self, name):
        if name == self._roster.vm:
            return self._roster.stopping
        peer = self._roster.peers.get(name)
        return peer is not None and (peer.is_stopping or peer.is_leaving)

    def _is_unfit(self, name, now, resumed_at):
        """Whether a voter is about to stop or has been silent for too long."""
        if self._is_stopping(name):
            return True
        if name == self._roster.vm:
            return False
        peer = self._roster.peers.get(name)
        heard_at = peer.heard_at if peer is not None else None
        since = max(heard_at or 0.0, self._seen_at, resumed_at)
        return now - since >= VOTER_SILENCE_TIMEOUT
