"""Randomized simulation of promotions in a group with synchronous replicas.

No instance may be promoted without an acknowledged commit, and a group whose instances
are back must get a primary again.  Instances crash, lose their logs, leave, join,
receive nothing, and the daemon that promotes is killed at any step.  The evidence, the
choice and the holders are the product's; instances, platform and store are simulated.
"""

import random
import unittest
from contextlib import suppress
from dataclasses import dataclass, field, replace
from unittest import mock

from cardamomdrift.failover import succession as succession_module
from cardamomdrift.failover.records import HolderRecord, HoldersRecord, encode_record
from cardamomdrift.failover.succession import (
    Candidate,
    Holder,
    Succession,
    choose_candidate,
    droppable_holders,
)
from cardamomdrift.membership.holder_keeper import GroupHolders
from cardamomdrift.ports import Row
from cardamomdrift.position import Position
from cardamomdrift.routing.samples import Sample

STEPS = 150
SEEDS = 400
MUTANT_SEEDS = 2000  # runs at most with a faulty rule, until one shows the fault
RECOVERY_STEPS = 60  # steps without faults until a commit is acknowledged
HAS_LOG_OF = "cardamomdrift.failover.succession.has_log_of"
MISSING_HOLDERS = "cardamomdrift.failover.succession.missing_holders"


@dataclass
class Instance:
    """One instance; its log has an entry (term, number) for each commit."""

    name: str
    log: list = field(default_factory=list)
    started: int = 1
    term: int = 1
    leads: bool = False
    running: bool = True
    deaf: bool = False
    listed: bool = True
    lost: bool = False

    @property
    def received(self):
        term = self.log[-1][0] if self.log else 1
        return Position(term, len(self.log))

    @property
    def holder(self):
        return Holder(self.name, self.started, f"h:{self.name}", False)


@dataclass
class LeadershipRow:
    """Leadership as the store has it."""

    settled: bool = True
    primary: str = "a"
    term: int = 1
    called: tuple | None = ()


class Group:
    """Instances, platform, store and the daemon that promotes.

    Attributes
    ----------
    pending : (Instance, int) or None
        Instance whose promotion was called, and the start of its process then.
    violated : bool
        Whether an instance was promoted without an acknowledged commit.
    """

    def __init__(self, seed, bounded_losses):
        self.random = random.Random(seed)
        self.synchronous = self.random.choice((1, 1, 2))
        count = self.random.choice((3, 4, 5)) if self.synchronous == 1 else 5
        self.instances = {name: Instance(name) for name in "abcdefgh"[:count]}
        self.instances["a"].leads = True
        self.losses_left = self.synchronous if bounded_losses else 99
        self.now = 0
        self.commits = 0
        self.acknowledged = []
        self.violated = False
        self.row = LeadershipRow()
        self.holders_row = None
        self.pending = None
        self.start_daemon()

    # Daemon

    def start_daemon(self):
        self.holders = GroupHolders()
        self.known = replace(self.row)
        self.promotion = None
        self.update_holders()

    def update_holders(self):
        self.holders.apply_row(self.holders_row, 1)
        listed = [one.holder for one in self.instances.values() if one.listed]
        self.holders.update(listed, self.now)
        if not self.holders.is_stored:
            self.write_holders(self.holders.all.values())

    def write_holders(self, holders):
        records = tuple(
            HolderRecord(one.name, one.started_at_ms, one.address, one.draining)
            for one in holders
        )
        version = 1 + (self.holders_row.version if self.holders_row else 0)
        value = encode_record(HoldersRecord(records))
        self.holders_row = Row("holders/g", value, version)
        self.holders.apply_row(self.holders_row, 1)

    def drop_holders(self):
        primary = self.instances.get(self.known.primary)
        if not self.known.settled or primary is None or not primary.running:
            return
        if not primary.leads or primary.term != self.known.term:
            return
        received = [
            one.received
            for one in self.instances.values()
            if one.running and one.listed and one is not primary
        ]
        sample = Sample(self.now, primary.received)
        dropped = droppable_holders(
            self.holders.absent, sample, received, self.synchronous
        )
        if dropped:
            stored = self.holders.stored
            self.write_holders(one for key, one in stored.items() if key not in dropped)

    def promote(self):
        """Generator of the steps of a replacement; a kill ends it between two."""
        former = self.known.primary
        called = () if self.known.settled else self.row.called
        self.known = replace(self.known, settled=False)
        self.row = LeadershipRow(False, former, self.known.term, called)
        yield
        candidates = [
            Candidate(one.name, one.received, False, one.term, one.leads, one.holder)
            for one in self.instances.values()
            if one.running and one.listed and self.random.random() < 0.9
        ]
        group = Succession(
            former,
            self.known.term,
            self.synchronous,
            frozenset(self.holders.all.values()),
            called,
        )
        late = self.random.random() < 0.5
        chosen = choose_candidate(group, candidates, late) if candidates else None
        if chosen is None:
            return
        yield
        term = max(one.term for one in (*candidates, self.known))
        instance = self.instances[chosen.name]
        if chosen.leads and instance.running and instance.term <= term:
            instance.leads = False
        yield
        if called is not None:
            self.row = replace(self.row, called=(*called, chosen.name))
        yield
        # The executor asks again right before the call.
        if not instance.running or instance.holder != chosen.holder:
            return
        self.pending = instance, instance.started
        while self.pending is not None:
            yield
        if not instance.running or not instance.leads or instance.term <= term:
            return
        # The daemon serves writes before the store knows of the new primary.
        self.known = LeadershipRow(True, instance.name, instance.term)
        yield
        self.row = replace(self.known)

    def continue_promotion(self):
        if self.promotion is None:
            primary = self.instances[self.known.primary]
            if self.known.settled and primary.running and primary.leads:
                return
            self.promotion = self.promote()
        with suppress(StopIteration):
            next(self.promotion)
            return
        self.promotion = None

    # Platform and instances

    def finish_promotion(self):
        if self.pending is None:
            return
        (instance, started), self.pending = self.pending, None
        if not instance.running or instance.started != started:
            return
        instance.term = 1 + max(one.term for one in self.instances.values())
        instance.leads = True
        log = set(instance.log)
        if not all(commit in log for commit in self.acknowledged):
            self.violated = True

    def replicate(self, leader):
        """Bring the replicas that receive to the log of a leader."""
        for one in self.instances.values():
            follows = one.running and not one.deaf and one.term <= leader.term
            if one is not leader and follows:
                one.term, one.leads, one.log = leader.term, False, list(leader.log)

    def commit(self):
        primary = self.instances[self.known.primary]
        if not self.known.settled or not primary.running or not primary.leads:
            return False
        self.commits += 1
        primary.log.append((primary.term, self.commits))
        self.replicate(primary)
        replicas = sum(
            one is not primary and primary.log[-1] in one.log
            for one in self.instances.values()
            if one.running
        )
        if replicas >= self.synchronous:
            self.acknowledged.append(primary.log[-1])
        return replicas >= self.synchronous

    def harm(self, one):
        """Crash an instance or let it fall behind, for a time or for good."""
        kind = self.random.choice(("crash", "deaf", "deaf", "lose", "restart"))
        if kind == "deaf":
            one.deaf = not one.deaf
        elif kind == "crash":
            one.running = False
        elif self.losses_left > 0 and one.running and not one.leads:
            self.losses_left -= 1
            one.running = False
            if kind == "restart":
                one.running, one.log, one.started = True, [], one.started + 1
            else:
                one.lost = True

    def bring_back(self, one):
        """Start an instance that is not lost; it registers itself at once."""
        if not one.lost and not one.running:
            one.running = one.listed = True
            self.update_holders()

    def join(self):
        name = "abcdefghijklmnopqrstuvwxyz"[len(self.instances)]
        self.instances[name] = Instance(name, term=0)

    def step(self):
        self.now += 1
        chance = self.random.random()
        one = self.random.choice(list(self.instances.values()))
        if chance < 0.3:
            self.commit()
        elif chance < 0.4:
            self.harm(one)
        elif chance < 0.5:
            self.bring_back(one)
        elif chance < 0.55:
            for other in self.instances.values():
                other.listed = other.running
            self.update_holders()
        elif chance < 0.6:
            self.update_holders()
            self.drop_holders()
        elif chance < 0.62 and len(self.instances) < 8:
            self.join()
            self.update_holders()
        elif chance < 0.65:
            self.start_daemon()
        elif chance < 0.75:
            self.finish_promotion()
        else:
            self.continue_promotion()

    def recover(self):
        """Heal what can be healed; return whether a commit is acknowledged soon."""
        for one in self.instances.values():
            one.running = one.listed = not one.lost
            one.deaf = False
        self.update_holders()
        for _ in range(RECOVERY_STEPS):
            self.continue_promotion()
            self.finish_promotion()
            if self.commit():
                return True
        return False


def find_violating_seed(seeds):
    """Return the first seed with a promotion without an acknowledged commit."""
    for seed in seeds:
        group = Group(seed, bounded_losses=seed % 2 == 0)
        for _ in range(STEPS):
            group.step()
            if group.violated:
                return seed
    return None


def find_stuck_seed(seeds):
    """Return the first seed whose group is not served after its instances are back.

    No more logs are lost than there are synchronous replicas.
    """
    for seed in seeds:
        group = Group(seed, bounded_losses=True)
        for _ in range(STEPS):
            group.step()
        if not group.recover():
            return seed
    return None


class SuccessionModelTest(unittest.TestCase):
    def test_no_acknowledged_commit_is_lost(self):
        """LOST: an instance without acknowledged commits was promoted."""
        self.assertIsNone(find_violating_seed(range(SEEDS)))

    def test_a_group_whose_instances_are_back_is_served(self):
        """RECOVER: each replacement failed, with all instances up."""
        self.assertIsNone(find_stuck_seed(range(SEEDS)))

    def assert_lossy(self, target, fault):
        with mock.patch(target, fault):
            self.assertIsNotNone(find_violating_seed(range(MUTANT_SEEDS)))

    def test_holders_of_the_list_alone_are_caught(self):
        """Case: a replica with the only copy leaves the list."""
        listed = GroupHolders.update

        def update(state, holders, now):
            state.stored, state._unstored = {}, {}
            listed(state, holders, now)
            state.stored, state._unstored = state._unstored, {}

        with mock.patch.object(GroupHolders, "update", update):
            self.assertIsNotNone(find_violating_seed(range(MUTANT_SEEDS)))

    def test_one_log_too_few_is_caught(self):
        missing = succession_module.missing_holders
        self.assert_lossy(MISSING_HOLDERS, lambda *args: missing(*args)[1:])

    def test_a_restarted_replica_that_counts_as_before_is_caught(self):
        self.assert_lossy(
            HAS_LOG_OF, lambda one, holder, _: one.holder.name == holder.name
        )

    def test_calls_that_are_not_recorded_are_caught(self):
        """Case: the one that an unfinished replacement promoted has served writes."""

        def succession(former, term, synchronous, holders, _called):
            return succession_module.Succession(former, term, synchronous, holders, ())

        self.assert_lossy(f"{__name__}.Succession", succession)

    def test_a_holder_that_is_dropped_too_early_is_caught(self):
        self.assert_lossy(
            f"{__name__}.droppable_holders", lambda absent, *_: set(absent)
        )

    def test_a_leader_that_is_no_candidate_is_caught(self):
        """Case: the instance that an unfinished replacement promoted is left out."""
        choose = choose_candidate

        def choose_among_replicas(group, candidates, late):
            replicas = [one for one in candidates if not one.leads]
            return choose(group, replicas, late) if replicas else None

        with mock.patch(f"{__name__}.choose_candidate", choose_among_replicas):
            self.assertIsNotNone(find_stuck_seed(range(MUTANT_SEEDS)))


if __name__ == "__main__":
    unittest.main()
