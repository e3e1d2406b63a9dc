"""
Checker
=======

What callers were told against what the instances did.  Each item is written by one
caller only, with rising numbers, so any read can be judged.
"""

from dataclasses import dataclass, field

CLOCK_SLACK = 0.05  # seconds between an answer's arrival here and the daemon's clock


@dataclass
class Write:
    """One write of a caller; times are in seconds of the loop's clock."""

    item: str
    number: int
    request_id: str
    outcome: str = ""
    acked_at: float | None = None


@dataclass
class Checker:
    """Judges a soak while it runs and at its end.

    Attributes
    ----------
    faults : list of str
        Broken promises.
    """

    group: object
    faults: list = field(default_factory=list)
    writes: dict = field(default_factory=dict)
    by_item: dict = field(default_factory=dict)
    newest_versions: dict = field(default_factory=dict)
    reads: int = 0

    def begin_write(self, item, number, request_id):
        """Note that a write is sent."""
        write = Write(item, number, request_id)
        self.writes[request_id] = write
        self.by_item.setdefault(item, []).append(write)
        return write

    def end_write(self, write, outcome, now):
        """Note what the caller was told."""
        write.outcome = outcome
        if outcome == "done":
            write.acked_at = now
            self._check_primary(write)

    def _check_primary(self, write):
        """An acknowledged write must have run at the primary of the newest term."""
        for instance in self.group.instances.values():
            for request_id, _text, term, newest_term in instance.committed:
                if request_id == write.request_id and term < newest_term:
                    self.faults.append(f"replaced primary acknowledged {request_id}")

    def _is_in_primary_log(self, write):
        """Whether a write is still in the primary's log; a promotion may undo it."""
        data = str(write.number)
        log = self.group.primary.log
        return any(name == write.item and value == data for _, name, value in log)

    def find_floor(self, item, acknowledged_before):
        """Return the highest number acknowledged before a time and not undone."""
        numbers = [
            write.number
            for write in self.by_item.get(item, ())
            if write.acked_at is not None
            and write.acked_at < acknowledged_before
            and self._is_in_primary_log(write)
        ]
        return max(numbers, default=0)

    def check_read(self, database, item, floor, value, request_id):
        """Judge a read by the number that it had to see at least."""
        self.reads += 1
        number = int(value or 0)
        if number < floor and not self._may_apply_late(item, number):
            text = f"{database} read {request_id} of {item} gave {number}, not {floor}"
            self.faults.append(text)

    def _may_apply_late(self, item, number):
        """Whether a write was never answered as done, so it may take effect late."""
        return any(
            write.number == number and write.outcome != "done"
            for write in self.by_item.get(item, ())
        )

    def check_answer(self, request_id, lines):
        """An answer belongs to its request, and is whole."""
        last = lines[-1]
        if last.startswith("COMPLETE sig") and not last.endswith(f"-{request_id}"):
            self.faults.append(f"answer {last} to request {request_id}")

    def check_route(self, daemon, version, found):
        """A route that a process has served stays."""
        key = (daemon.name, daemon.incarnation)
        newest = self.newest_versions.get(key, 0)
        if found:
            self.newest_versions[key] = max(newest, version)
        elif version <= newest:
            self.faults.append(f"{daemon.name} went back before version {version}")

    def finish(self):
        """Judge the writes once everything has come to rest."""
        run_counts = {}
        for instance in self.group.instances.values():
            for request_id, *_ in instance.committed:
                run_counts[request_id] = run_counts.get(request_id, 0) + 1
        for request_id, write in self.writes.items():
            run_count = run_counts.get(request_id, 0)
            if run_count > 1:
                self.faults.append(f"write {request_id} ran {run_count} times")
            if write.outcome == "not run" and run_count:
                self.faults.append(f"write {request_id} ran, although refused")
            if write.outcome == "done" and not run_count:
                self.faults.append(f"write {request_id} acknowledged, never ran")
        return self.faults
