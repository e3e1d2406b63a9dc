"""
Model of a database group
=========================

Instances, promotions, writes and reads of one group, driven by the product's decisions.
The state machines of the tests choose the steps.  The model does no I/O and raises
`InvariantViolation` when a guarantee does not hold.
"""

from dataclasses import dataclass, field

from cardamomdrift.bundle.model import Durability, RecordOrder
from cardamomdrift.failover.promotion import (
    Fenced,
    FenceFailed,
    FenceInstance,
    FollowPrimary,
    Phase,
    Promoted,
    PromoteFailed,
    PromoteInstance,
    Promotion,
    Recorded,
    RecordRefused,
    RecordTerm,
    RecordUnknown,
)
from cardamomdrift.mysql.contract import FencedInstanceStatus
from cardamomdrift.position import ORIGIN, Position
from cardamomdrift.routing.floor import sample_floor
from cardamomdrift.routing.proof import WriteProven, WriteQuestion, answer_write

NAMES = ("a", "b", "c")
MAJORITY = 2


@dataclass
class Decisions:
    """The decisions under test; mutants replace some.

    Attributes
    ----------
    answer_write : callable
        Tells whether statuses prove that a write may be acknowledged.
    sample_floor : callable
        Returns the floor of a read that statuses prove, or None.
    promotion : type
        State machine that replaces the primary.
    promotion_majority : int
        Instances that a promotion has to fence.
    marker : bool
        Whether a new primary first appends a marker entry in its term.
    one_owner : bool
        Whether an instance accepts only one owner of a term.
    whole_copy : bool
        Whether an instance whose log has diverged keeps it until it has copied the
        whole log of its source.
    reaches_floor : callable
        Tells whether an instance at a position may serve a read with a floor.
    """

    answer_write: object = answer_write
    sample_floor: object = sample_floor
    promotion: type = Promotion
    promotion_majority: int = MAJORITY
    marker: bool = True
    one_owner: bool = True
    whole_copy: bool = True
    reaches_floor: object = staticmethod(lambda position, floor: position >= floor)


@dataclass
class ModelInstance:
    """One instance that keeps the fencing contract.

    Its log holds pairs of position and write; the write of a marker entry is None.
    """

    name: str
    fence_term: int = 1
    fence_owner: str = "start"
    leads_term: int = 0
    source: str = "a"
    log: list = field(default_factory=list)

    @property
    def leads(self):
        return self.leads_term == self.fence_term

    @property
    def position(self):
        return self.log[-1][0] if self.log else ORIGIN

    @property
    def writes(self):
        return {write for _, write in self.log if write is not None}

    def status(self, accepted=True):
        return FencedInstanceStatus(
            fence_term=self.fence_term,
            fence_owner=self.fence_owner,
            position=self.position,
            primary=self.leads,
            source=self.source,
            source_silence=9.0,
            accepted=accepted,
        )

    def append(self, write):
        self.log.append((Position(self.leads_term, self.position.sequence + 1), write))

    def fence(self, term, owner, one_owner):
        repeated = term == self.fence_term and (
            owner == self.fence_owner or not one_owner
        )
        accepted = term > self.fence_term or repeated
        if accepted and not repeated:
            self.fence_term, self.fence_owner = term, owner
        return self.status(accepted)

    def promote(self, term, owner, decisions):
        accepted = term == self.fence_term and (
            owner == self.fence_owner or not decisions.one_owner
        )
        if accepted and self.leads_term != term:
            self.leads_term, self.source = term, ""
            if decisions.marker:
                self.append(None)
        return self.status(accepted)

    def follow(self, term, source):
        if term < self.fence_term or (self.leads and term == self.fence_term):
            return
        if term > self.fence_term:
            self.fence_term, self.fence_owner = term, ""
        self.source = source

    def pull(self, source, whole_copy):
        """Copy one entry from the source; replace the log if it has diverged."""
        if self.leads or not source.leads or source.leads_term < self.fence_term:
            return
        length = len(self.log)
        if source.log[:length] != self.log:
            self.log = list(source.log) if whole_copy else []
        elif length < len(source.log):
            self.log.append(source.log[length])


@dataclass
class Ack:
    """A committed write that waits for the proof that it may be acknowledged."""

    write: int
    question: WriteQuestion
    statuses: dict = field(default_factory=dict)


@dataclass
class Read:
    """A read that collects statuses for its floor.

    Attributes
    ----------
    must_see : frozenset of int
        Writes acknowledged before the read began.
    statuses : dict of str to FencedInstanceStatus
    """

    must_see: frozenset
    statuses: dict = field(default_factory=dict)


class InvariantViolation(AssertionError):
    """The model has violated a guarantee of the product."""


class World:
    """Instances, promotions, writes and reads of one group, with a checker.

    Attributes
    ----------
    actions : list of (Promotion, object)
        Actions that have not been carried out, or may be carried out again.
    recorded_owners : dict of int to str
        Owner in the row of each term.
    acknowledged : dict of int to int
        Term of the primary through which each write was acknowledged.
    now : float
        Seconds; advances with each action.
    """

    def __init__(self, decisions):
        self.decisions = decisions
        self.instances = {name: ModelInstance(name) for name in NAMES}
        self.instances["a"].leads_term = 1
        self.instances["a"].append(None)
        self.promotions = []
        self.actions = []
        self.recorded_owners = {}
        self.acks = []
        self.reads = []
        self.acknowledged = {}
        self.highest_led_term = 1
        self.next_write = 1
        self.now = 0.0

    # Writes

    def write(self, name):
        instance = self.instances[name]
        if not instance.leads:
            return
        instance.append(self.next_write)
        question = WriteQuestion(
            since=0.0,
            majority=MAJORITY,
            primary=name,
            term=instance.leads_term,
            durability=Durability.REPLICATED,
        )
        self.acks.append(Ack(self.next_write, question))
        self.next_write += 1

    def repeat(self, name):
        """Ask a primary again to acknowledge a write, as a repeat by key does.

        The write is the first in its log that has not been acknowledged.
        """
        instance = self.instances[name]
        unacknowledged = [
            write for write in instance.writes if write not in self.acknowledged
        ]
        if not instance.leads or not unacknowledged:
            return
        question = WriteQuestion(
            since=0.0,
            majority=MAJORITY,
            primary=name,
            term=instance.leads_term,
            durability=Durability.REPLICATED,
        )
        self.acks.append(Ack(min(unacknowledged), question))

    def probe_ack(self, index, name):
        ack = self.acks[index % len(self.acks)]
        ack.statuses[name] = self.instances[name].status()
        proof = self.decisions.answer_write(ack.question, ack.statuses)
        if isinstance(proof, WriteProven):
            self.acks.remove(ack)
            self._acknowledge(ack)

    def _acknowledge(self, ack):
        if ack.question.term < self.highest_led_term:
            # Valid only if the proof was complete before its instances were fenced.
            for status in ack.statuses.values():
                if status.fence_term > ack.question.term:
                    raise InvariantViolation("a replaced primary acknowledged a write")
        self.acknowledged[ack.write] = ack.question.term
        self._check_invariants()

    def acknowledge(self, name, replica):
        """Write to a primary, replicate the write and confirm it, without faults."""
        if not self.instances[name].leads or replica == name:
            return
        self.write(name)
        index = len(self.acks) - 1
        for _ in self.instances[name].log:
            self.pull(replica)
        for probed in (name, replica):
            if index < len(self.acks):
                self.probe_ack(index, probed)

    # Reads

    def begin_read(self):
        self.reads.append(Read(frozenset(self.acknowledged)))

    def probe_read(self, index, name):
        read = self.reads[index % len(self.reads)]
        read.statuses[name] = self.instances[name].status()
        floor = self.decisions.sample_floor(read.statuses, MAJORITY, False)
        if floor is None:
            return
        self.reads.remove(read)
        for instance in self.instances.values():
            if not self.decisions.reaches_floor(instance.position, floor):
                continue
            missing = read.must_see - instance.writes
            if missing:
                raise InvariantViolation(
                    f"{instance.name} serves reads without the writes {missing}"
                )

    def read(self, pair):
        """Begin a read and take its floor from two instances."""
        self.begin_read()
        index = len(self.reads) - 1
        for probed in pair:
            if index < len(self.reads):
                self.probe_read(index, probed)

    # Promotions

    def start_promotion(self, seen_at, record):
        """Start a promotion in the next term.

        Parameters
        ----------
        seen_at : str
            Instance whose term the promoter has seen.
        record : RecordOrder
        """
        term = self.instances[seen_at].fence_term + 1
        promotion = self.decisions.promotion(
            term=term,
            owner=f"p{len(self.promotions)}",
            instances=NAMES,
            majority=self.decisions.promotion_majority,
            record=record,
            deadline_at=1e9,
        )
        self.promotions.append(promotion)
        self._add(promotion, promotion.begin())

    def _add(self, promotion, actions):
        self.actions.extend((promotion, action) for action in actions)

    def step(self, index, lost, keep):
        """Carry out an action.

        Parameters
        ----------
        index : int
            Chooses one of the open actions.
        lost : bool
            Whether its answer is lost.
        keep : bool
            Whether it stays open, so that it may be carried out again.
        """
        action_index = index % len(self.actions)
        promotion, action = self.actions[action_index]
        if not keep:
            self.actions.pop(action_index)
        self.now += 1.0
        event = self._carry_out(promotion, action, lost)
        if event is not None:
            self._add(promotion, promotion.handle(event, self.now))
        self._check_invariants()

    def _carry_out(self, promotion, action, lost):
        """Run an action; return the event for the promotion, or None without one."""
        decisions = self.decisions
        match action:
            case FenceInstance(name):
                instance = self.instances[name]
                status = instance.fence(
                    promotion.term, promotion.owner, decisions.one_owner
                )
                return FenceFailed(name) if lost else Fenced(name, status)
            case PromoteInstance(name):
                instance = self.instances[name]
                status = instance.promote(promotion.term, promotion.owner, decisions)
                if status.primary and status.fence_term > self.highest_led_term:
                    self.highest_led_term = status.fence_term
                return PromoteFailed() if lost else Promoted(status)
            case FollowPrimary(name, primary):
                self.instances[name].follow(promotion.term, primary)
            case RecordTerm():
                owner = self.recorded_owners.setdefault(promotion.term, promotion.owner)
                if lost:
                    return RecordUnknown()
                is_owner = owner == promotion.owner
                return Recorded() if is_owner else RecordRefused()
        return None

    def promote(self, pair, record):
        """Run a promotion that reaches two instances only."""
        term = max(self.instances[name].fence_term for name in pair)
        seen_at = next(name for name in pair if self.instances[name].fence_term == term)
        self.start_promotion(seen_at, record)
        promotion = self.promotions[-1]
        actions = [action for owner, action in self.actions if owner is promotion]
        self.actions = [entry for entry in self.actions if entry[0] is not promotion]
        while actions:
            action = actions.pop(0)
            unreachable = getattr(action, "instance", pair[0]) not in pair
            if unreachable and isinstance(action, FenceInstance):
                event = FenceFailed(action.instance)
            else:
                event = (
                    None if unreachable else self._carry_out(promotion, action, False)
                )
            self.now += 1.0
            if event is not None:
                actions.extend(promotion.handle(event, self.now))
        self._check_invariants()

    def pull(self, name):
        replica = self.instances[name]
        if replica.source in self.instances:
            replica.pull(self.instances[replica.source], self.decisions.whole_copy)

    # Checks

    def _check_invariants(self):
        """Check that each term has one primary, and that no acknowledged write is lost.

        A primary holds every write that was acknowledged in its term or before.
        """
        leading = [instance for instance in self.instances.values() if instance.leads]
        terms = [instance.leads_term for instance in leading]
        if len(terms) != len(set(terms)):
            raise InvariantViolation("two instances lead the same term")
        for instance in leading:
            for write, term in self.acknowledged.items():
                if term <= instance.leads_term and write not in instance.writes:
                    raise InvariantViolation(
                        f"{instance.name} leads without the acknowledged write {write}"
                    )


RECORD_ORDERS = (RecordOrder.AFTER, RecordOrder.BEFORE)
__all__ = [
    "NAMES",
    "RECORD_ORDERS",
    "Decisions",
    "InvariantViolation",
    "Phase",
    "World",
]
