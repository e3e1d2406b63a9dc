"""
Promotion
=========

State machine that replaces a primary.  It fences a majority of the instances in a new
term, promotes the fenced instance with the highest position, records the term, and has
the others follow.  Each term has one owner, because an instance accepts one owner for
each term and two majorities overlap.  The state machine is pure.  It stays safe when it
is interrupted, delayed or run concurrently with another one at any step.
"""

from dataclasses import dataclass, field
from enum import Enum, auto

from cardamomdrift.bundle.model import RecordOrder

FENCE_GRACE = 0.1  # seconds to wait for the last answers after a majority
STEP_TIMEOUT = 2.0  # seconds for one action


class Phase(Enum):
    """Stage of a promotion."""

    FENCING = auto()
    RECORDING = auto()
    PROMOTING = auto()
    DONE = auto()
    FAILED = auto()


@dataclass(frozen=True, slots=True)
class Fenced:
    """An instance answered the request to fence."""

    instance: str
    status: object


@dataclass(frozen=True, slots=True)
class FenceFailed:
    """An instance did not answer the request to fence."""

    instance: str


@dataclass(frozen=True, slots=True)
class Recorded:
    """The table service stored the term's row."""


@dataclass(frozen=True, slots=True)
class RecordRefused:
    """The table service has another promoter's row for the term."""


@dataclass(frozen=True, slots=True)
class RecordUnknown:
    """The table service did not answer, so the row may be stored or not."""


@dataclass(frozen=True, slots=True)
class Promoted:
    """The chosen instance answered the request to become primary."""

    status: object


@dataclass(frozen=True, slots=True)
class PromoteFailed:
    """The chosen instance did not answer the request to become primary."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class FenceInstance:
    """Fence an instance in the promotion's term."""

    instance: str


@dataclass(frozen=True, slots=True)
class RecordTerm:
    """Append the term's row to the table service."""

    primary: str


@dataclass(frozen=True, slots=True)
class PromoteInstance:
    """Make the instance the primary of the promotion's term."""

    instance: str


@dataclass(frozen=True, slots=True)
class FollowPrimary:
    """Make an instance replicate from the new primary."""

    instance: str
    primary: str


@dataclass(slots=True)
class Promotion:
    """One attempt to give a group a new primary.

    Attributes
    ----------
    term : int
        Term of the new primary.
    owner : str
        Unique id of this attempt.
    instances : tuple of str
    majority : int
    record : RecordOrder
        Whether the term's row is written before or after the promotion.
    deadline_at : float
        When an unfinished attempt fails, in seconds of the loop's clock.
    leaving : frozenset of str
        Instances that are promoted only if no other one has the same log.
    fenced : dict of str to FencedInstanceStatus
        Statuses of the instances that accepted the fence, by name.
    failed : set of str
        Instances that did not answer or did not accept the fence.
    majority_at : float or None
        When a majority was fenced, by the same clock.
    chosen : str or None
        Instance to promote, once the fencing is over.
    """

    term: int
    owner: str
    instances: tuple
    majority: int
    record: RecordOrder
    deadline_at: float
    leaving: frozenset = frozenset()
    phase: Phase = Phase.FENCING
    fenced: dict = field(default_factory=dict)
    failed: set = field(default_factory=set)
    majority_at: float | None = None
    chosen: str | None = None

    def begin(self):
        """Return the first actions, which fence all instances."""
        return [FenceInstance(name) for name in self.instances]

    def handle(self, event, now):
        """Process an event and return the actions that follow from it.

        Parameters
        ----------
        event : Fenced or FenceFailed or Recorded or RecordRefused or RecordUnknown \
                or Promoted or PromoteFailed or Tick
        now : float
            Seconds of the loop's clock.
        """
        if self.phase in (Phase.DONE, Phase.FAILED):
            return []
        if now >= self.deadline_at:
            self.phase = Phase.FAILED
            return []
        match event:
            case Fenced(instance, status):
                return self._on_fenced(instance, status, now)
            case FenceFailed(instance):
                self.failed.add(instance)
                return self._check_fencing(now)
            case Recorded() if self.phase is Phase.RECORDING:
                return self._promote()
            case RecordRefused() | RecordUnknown() if self.phase is Phase.RECORDING:
                self.phase = Phase.FAILED
            case Promoted(status) if self.phase is Phase.PROMOTING:
                return self._on_promoted(status)
            case PromoteFailed() if self.phase is Phase.PROMOTING:
                self.phase = Phase.FAILED
            case Tick():
                return self._check_fencing(now)
        return []

    def _on_fenced(self, instance, status, now):
        if not status.accepted:
            self.failed.add(instance)
            if status.fence_term >= self.term and self.phase is Phase.FENCING:
                self.phase = Phase.FAILED
                return []
            return self._check_fencing(now)
        self.fenced[instance] = status
        if len(self.fenced) == self.majority and self.majority_at is None:
            self.majority_at = now
        return self._check_fencing(now)

    def _check_fencing(self, now):
        if self.phase is not Phase.FENCING:
            return []
        answered = len(self.fenced) + len(self.failed)
        if len(self.fenced) < self.majority:
            if answered == len(self.instances):
                self.phase = Phase.FAILED
            return []
        if answered < len(self.instances) and now < self.majority_at + FENCE_GRACE:
            return []
        self.chosen = max(
            sorted(self.fenced),
            key=lambda name: (self.fenced[name].position, name not in self.leaving),
        )
        if self.record is RecordOrder.BEFORE:
            self.phase = Phase.RECORDING
            return [RecordTerm(self.chosen)]
        return self._promote()

    def _promote(self):
        self.phase = Phase.PROMOTING
        return [PromoteInstance(self.chosen)]

    def _on_promoted(self, status):
        if not status.accepted:
            self.phase = Phase.FAILED
            return []
        self.phase = Phase.DONE
        actions = []
        if self.record is RecordOrder.AFTER:
            actions.append(RecordTerm(self.chosen))
        others = [name for name in self.instances if name != self.chosen]
        return actions + [FollowPrimary(name, self.chosen) for name in others]
