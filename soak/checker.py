"""
Checker
=======

Compares what callers were told with what the instances executed.  Each item is written
by one caller only, with increasing numbers, so the number that a read returns shows
which writes it has seen.
"""

from dataclasses import dataclass, field

from soak.texts import SentStatements, shorten

STALENESS_SLACK = 0.05  # seconds that an answer may take from the daemon to here


@dataclass
class Write:
    """One write of a caller.

    Attributes
    ----------
    item : str
    number : int
        First word of the data that is written.
    data : str
    request_id : str
        ID of the request that commits it.
    outcome : str
        ``done``, ``not run`` or ``in doubt``; empty until it is answered.
    acknowledged_at : float or None
        Seconds of the event loop's clock when it was acknowledged.
    """

    item: str
    number: int
    data: str
    request_id: str
    outcome: str = ""
    acknowledged_at: float | None = None


@dataclass
class Checker:
    """Checks reads and writes while a soak test runs and at its end.

    Attributes
    ----------
    violations : list of str
        Guarantees that were violated.
    writes : dict of str to Write
        Writes by request ID.
    by_item : dict of str to list of Write
        Writes by item, in the order in which they were sent.
    cut_at_stops : list of tuple
        Statements without an answer, with the daemon that was ended gracefully.
    newest_versions : dict of tuple to int
        Highest configuration version whose route was served, by name and incarnation
        of the daemon.
    reads : int
        Number of reads checked.
    sent : SentStatements
        All statements of callers.
    """

    group: object
    violations: list = field(default_factory=list)
    writes: dict = field(default_factory=dict)
    by_item: dict = field(default_factory=dict)
    newest_versions: dict = field(default_factory=dict)
    cut_at_stops: list = field(default_factory=list)
    reads: int = 0
    sent: SentStatements = field(default_factory=SentStatements)

    def begin_write(self, item, number, data, request_id):
        """Record that a write is sent and return it."""
        write = Write(item, number, data, request_id)
        self.writes[request_id] = write
        self.by_item.setdefault(item, []).append(write)
        return write

    def end_write(self, write, outcome, now):
        """Record the outcome that the caller was told."""
        write.outcome = outcome
        if outcome == "done":
            write.acknowledged_at = now
            self._check_primary(write)

    def _check_primary(self, write):
        """Check that an acknowledged write ran at the primary of the newest term."""
        for instance in self.group.instances.values():
            for request_id, _text, term, newest_term in instance.committed:
                if request_id == write.request_id and term < newest_term:
                    self.violations.append(
                        f"replaced primary acknowledged {request_id}"
                    )

    def _is_in_primary_log(self, write):
        """Whether the primary's log holds a write; a promotion may have undone it."""
        log = self.group.primary.log
        return any(item == write.item and value == write.data for _, item, value in log)

    def find_floor(self, item, acknowledged_before):
        """Return the floor of a read: the lowest number that it may return.

        It is the highest number acknowledged before a time and not undone since.
        """
        numbers = [
            write.number
            for write in self.by_item.get(item, ())
            if write.acknowledged_at is not None
            and write.acknowledged_at < acknowledged_before
            and self._is_in_primary_log(write)
        ]
        return max(numbers, default=0)

    def check_read(self, database, item, floor, value, request_id):
        """Check that a read returned its floor or a higher number.

        A lower number is correct if its write was not acknowledged, as such a write may
        take effect after later ones.
        """
        self.reads += 1
        writes = reversed(self.by_item.get(item, ()))
        if value and all(value != write.data for write in writes):
            self.violations.append(
                f"{database} read {request_id} of {item} gave {shorten(value)}, "
                "which was not written"
            )
            return
        number = int(value.partition(" ")[0] or 0)
        if number < floor and not self._may_apply_late(item, number):
            text = (
                f"{database} read {request_id} of {item} gave {number}, "
                f"not at least {floor}"
            )
            self.violations.append(text)

    def _may_apply_late(self, item, number):
        """Whether a write was not acknowledged, so that it may take effect late."""
        return any(
            write.number == number and write.outcome != "done"
            for write in self.by_item.get(item, ())
        )

    def check_answer(self, request_id, lines):
        """Check that the signature of an answer ends with the ID of its request."""
        last = lines[-1]
        if last.startswith("COMPLETE sig") and not last.endswith(f"-{request_id}"):
            self.violations.append(
                f"answer {last} is for a different request than {request_id}"
            )

    def note_cut(self, request_id, daemon, incarnation):
        """Record that a connection ended while a statement had no answer."""
        if incarnation in daemon.planned_ends:
            self.cut_at_stops.append((request_id, daemon.name))

    def check_route(self, daemon, version, served):
        """Check that a daemon process still serves each route that it has served."""
        key = (daemon.name, daemon.incarnation)
        newest = self.newest_versions.get(key, 0)
        if served:
            self.newest_versions[key] = max(newest, version)
        elif version <= newest:
            self.violations.append(
                f"{daemon.name} no longer serves the route of version {version}"
            )

    def finish(self):
        """Check all writes against what the instances executed; return violations."""
        self.violations += self.find_statement_faults()
        return self.violations

    def find_statement_faults(self):
        """Return a line for each statement whose execution violates a guarantee.

        While callers run, a write that has just been acknowledged may be missing.
        """
        faults = []
        executed = {
            request_id
            for instance in self.group.instances.values()
            for request_id, *_ in instance.executed_statements
        }
        for request_id, name in self.cut_at_stops:
            if request_id in executed:
                faults.append(f"{request_id} cut at a planned stop of {name}")
        run_counts = {}
        for instance in self.group.instances.values():
            for request_id, *_ in instance.committed:
                run_counts[request_id] = run_counts.get(request_id, 0) + 1
        faults += self.sent.find_changes(self.group.instances.values())
        for request_id, write in self.writes.items():
            run_count = run_counts.get(request_id, 0)
            if run_count > 1:
                faults.append(f"write {request_id} ran {run_count} times")
            if write.outcome == "not run" and run_count:
                faults.append(f"write {request_id} ran, although refused")
            if write.outcome == "done" and not run_count:
                faults.append(f"write {request_id} acknowledged, never ran")
        return faults

    def shows(self, text):
        """Whether a violation so far contains a text."""
        violations = (*self.violations, *self.find_statement_faults())
        return any(text in violation for violation in violations)


def find_token_faults(promotions):
    """Return a line for each promotion call with a token that it must not have.

    Parameters
    ----------
    promotions : list of tuple
        Calls in their order, as (group, instance, duty holder, fencing token).
    """
    faults, highest, holders = [], 0, {}
    for group, _, holder, token in promotions:
        if token < highest:
            faults.append(f"{holder} promoted in {group} with {token} after {highest}")
        if holders.setdefault(token, holder) != holder:
            faults.append(f"{holder} and {holders[token]} promoted with token {token}")
        highest = max(highest, token)
    return faults
