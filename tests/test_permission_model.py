"""Randomized simulation of the permission to use a primary.

No daemon may use a primary after another one has called the platform to promote its
successor.  The real roster, permission, announcer, control plane and release rules of
several daemons run on a simulated clock.  Heartbeats are lost, delayed and reordered;
daemons are suspended, restarted, and cut off from each other and from the store.
"""

import asyncio
import random
import unittest
from contextlib import ExitStack, contextmanager, suppress
from unittest import mock

import structlog

from cardamomdrift.errors import PlatformUnavailable
from cardamomdrift.failover import execution as execution_module
from cardamomdrift.failover.execution import ReplacementExecutor, ReplacementFailed
from cardamomdrift.failover.leadership import Leadership
from cardamomdrift.failover.numbers import next_number
from cardamomdrift.failover.peer_reports import PeerReports
from cardamomdrift.failover.permission import (
    PERMISSION_VALIDITY,
    STORE_READ_VALIDITY,
    Permission,
    promised_until,
)
from cardamomdrift.failover.records import (
    LeadershipRecord,
    MemberRecord,
    decode_record,
    encode_record,
    leadership_key,
    member_key,
)
from cardamomdrift.failover.replacement import INTENT_LIFETIME, Intent
from cardamomdrift.failover.voters import has_quorum
from cardamomdrift.membership.control import ControlPlane
from cardamomdrift.membership.instance_list import InstanceList
from cardamomdrift.membership.voter_keeper import VoterKeeper
from cardamomdrift.peers.announcer import Announcer
from cardamomdrift.peers.heartbeat import ShortHeartbeat
from cardamomdrift.peers.roster import Roster
from cardamomdrift.peers.short_heartbeat import hash_state, make_short
from cardamomdrift.ports import Committed, Conflict, Row, Snapshot

GROUP = "g"
STEPS = 800  # steps of one run
# Seconds from one step to the next; a run draws from one of the tuples.
PAUSES = ((0.0, 0.01, 0.05, 0.2), (0.01, 0.1, 0.2), (0.05, 0.2, 0.4))
SEEDS = 100  # runs of the product's rules
SCENARIO_SEEDS = 20  # runs of each scenario
SHORTEN = "cardamomdrift.peers.announcer.shorten"
MATCHES = "cardamomdrift.peers.short_heartbeat.matches"
MUTANT_SEEDS = 400  # runs at most with a faulty rule, until one shows the fault


class Simulation:
    """Clock, store and network that the daemons of one run share.

    Attributes
    ----------
    in_transit : list of (float, str, (Heartbeat or ShortHeartbeat, str))
        Heartbeats on their way: when they arrive, where, what they say and who sent
        them.
    promoted_generation : int
        Highest generation for which the platform was called.
    blocked_links : set of (str, str)
        Sender and receiver between which heartbeats are lost.
    cut_off_from_store : set of str
        Daemons that do not reach the store.
    short_heartbeats : int
        Number of short heartbeats sent, lost ones included.
    """

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.now = 100.0
        self.pauses = self.random.choice(PAUSES)
        self.rows = {}
        self.version = 0
        self.era = 1
        self.in_transit = []
        self.promoted_generation = 0
        self.short_heartbeats = 0
        self.daemons = {}
        self.blocked_links = set()
        self.cut_off_from_store = set()

    def put(self, key, value):
        self.version += 1
        self.rows[key] = Row(key, value, self.version)

    def intent_version(self, generation):
        """Return the version of the group's row if it has a generation, or None."""
        row = self.rows.get(leadership_key(GROUP))
        if row is None or decode_record(row, LeadershipRecord).generation != generation:
            return None
        return row.version

    def restore(self, rows):
        """Return to the rows of an older copy, in a new era of the store."""
        self.era += 1
        self.version += 1
        self.rows = {
            key: Row(key, row.value, self.version) for key, row in rows.items()
        }


class ModelStore:
    """The shared store as one daemon sees it; unavailable while it is cut off."""

    def __init__(self, sim, name):
        self._sim = sim
        self._name = name

    @property
    def era(self):
        return self._sim.era

    async def read(self, _table):
        if self._name in self._sim.cut_off_from_store:
            raise PlatformUnavailable("cut off")
        return Snapshot(dict(self._sim.rows), self._sim.version, self._sim.era)

    async def commit(self, _table, expected, puts, removes=()):
        sim = self._sim
        if self._name in sim.cut_off_from_store:
            raise PlatformUnavailable("cut off")
        rows = {key: sim.rows[key] for key in expected if key in sim.rows}
        if any(
            (rows[key].version if key in rows else 0) != version
            for key, version in expected.items()
        ):
            return Conflict(rows)
        for key, value in puts.items():
            sim.put(key, value)
        for key in removes:
            sim.rows.pop(key, None)
        return Committed(sim.version)


class ModelCluster:
    """Stand-in for a `Cluster`; it releases the old primary on adopting a record."""

    def __init__(self, sim, permission):
        self._sim = sim
        self._permission = permission
        self.group = mock.Mock()
        self.group.name = GROUP
        self.leadership = Leadership(GROUP, primary="a")
        self.instances = {}
        self.replica_reports = mock.Mock(newest={})
        self.replicas = mock.Mock()

    def adopt(self, generation, settled, term, primary, _source):
        leadership = self.leadership
        if not leadership.adopt(generation, settled, term, primary, self._sim.now):
            return False
        leadership.released = leadership.generation
        return True

    def clock(self):
        return self._sim.now

    def newest_sample(self):
        return None

    def add_sample(self, *_):
        pass


class ModelClusters(dict):
    """The groups of one daemon by name; iterates over the clusters."""

    def __iter__(self):
        return iter(self.values())

    def dispatch_waiting(self):
        pass


class ModelDaemon:
    """One daemon of the simulation, made of the product's components."""

    def __init__(self, sim, name):
        self.sim = sim
        self.name = name
        self.suspended_until = 0.0
        self.inbox = []
        self.intent = None
        self.start()

    def start(self):
        sim = self.sim
        log = structlog.get_logger()
        self.incarnation = f"{sim.random.getrandbits(32):08x}"
        self.roster = Roster(self.name, self.name, self.incarnation, sim.now)
        self.permission = Permission(self.roster)
        self.cluster = ModelCluster(sim, self.permission)
        clusters = ModelClusters({GROUP: self.cluster})
        store = ModelStore(sim, self.name)
        self.control = ControlPlane(
            store, self.roster, self.permission, self.name, clusters, lambda: None, log
        )
        configuration = mock.Mock(version=1)
        self.announcer = Announcer(
            self.roster,
            self.permission,
            self.control,
            clusters,
            configuration,
            InstanceList(lambda: sim.now),
            lambda: None,
            log,
        )
        self.announcer.use_port(self)
        self.executor = ReplacementExecutor(
            store,
            None,
            self.control,
            self.roster,
            clusters,
            None,
            None,
            lambda: None,
            log,
        )
        self.peer_reports = PeerReports(self.roster, clusters)
        self.intent = None
        self.quorum_at = None
        self.resumed_at = sim.now

    port = 1

    def send(self, address, heartbeat):
        sim = self.sim
        sim.short_heartbeats += isinstance(heartbeat, ShortHeartbeat)
        if (self.name, address) in sim.blocked_links or sim.random.random() < 0.15:
            return
        delay = sim.random.choice((0.0, 0.0, 0.01, 0.3, 1.5))
        sim.in_transit.append((sim.now + delay, address, (heartbeat, self.name)))

    @property
    def running(self):
        return self.sim.now >= self.suspended_until

    def receive(self):
        inbox, self.inbox = self.inbox, []
        for heartbeat, sender in inbox:
            self.announcer.receive(heartbeat, sender)

    def read_store(self):
        try:
            run_coroutine(self.control.refresh())
        except PlatformUnavailable:
            return False
        return True

    def register(self):
        if self.name in self.sim.cut_off_from_store:
            return
        record = MemberRecord(self.name, self.roster.incarnation)
        self.sim.put(member_key(self.name), encode_record(record))
        self.control.record_registration()
        self.read_store()

    def remove_silent_daemons(self):
        """Remove the rows of daemons silent for too long, as `ControlPlane` does."""
        if self.name in self.sim.cut_off_from_store:
            return
        self.control._resumed_at = self.resumed_at
        self.read_store()
        for name in self.control._silent_daemons(self.sim.now):
            if self.sim.rows.pop(member_key(name), None):
                self.sim.version += 1

    def keep_voters(self):
        """Change the voters if they are to be changed, as `ControlPlane` does."""
        self.control._resumed_at = self.resumed_at
        if member_key(self.name) in self.sim.rows:
            with suppress(PlatformUnavailable):
                run_coroutine(self.control._change_voters(self.sim.now))

    def begin_replacement(self):
        """Write an intent, as `ReplacementExecutor._write_intent` does."""
        if self.intent is not None or not self.read_store():
            return
        rows = self.sim.rows
        leadership = self.cluster.leadership
        if member_key(self.name) not in rows:
            return
        leadership_row = rows.get(leadership_key(GROUP))
        if leadership_row is not None and not leadership.settled:
            return
        try:
            self.executor._check_quorum_reachable()
        except ReplacementFailed:
            return
        if self.control.is_outdated:
            return
        generation = next_number(self.sim.era, leadership.generation)
        record = LeadershipRecord(generation, False, 1, "a", 1, self.incarnation)
        self.sim.put(leadership_key(GROUP), encode_record(record))
        self.cluster.adopt(generation, False, 1, "a", "own")
        now = self.sim.now
        self.intent = Intent(generation, 1, now, now)
        self.quorum_at = None
        self.store_read_after_intent = False

    def continue_replacement(self):
        """Promote the successor once no daemon may use the old primary."""
        intent, now = self.intent, self.sim.now
        if intent is None:
            return
        if now >= intent.begun_at + INTENT_LIFETIME:
            self.intent = None
            return
        if not self.store_read_after_intent:
            self.store_read_after_intent = self.read_store()
            return
        names = (self.control.registered_names | set(self.roster.peers)) - {self.name}
        released = self.peer_reports.released(GROUP, names)
        voter_sets = self.control.voter_sets
        acknowledging = self.peer_reports.acknowledging(
            GROUP, voter_sets, intent.generation
        )
        if self.quorum_at is None and execution_module.has_quorum(
            acknowledging, voter_sets
        ):
            self.quorum_at = now
        if now <= execution_module.dropped_permission_until(self.roster):
            return
        all_counted = self.peer_reports.all_count_the_same(voter_sets, acknowledging)
        if execution_module.is_released(
            intent, released, all_counted, self.quorum_at, now
        ):
            self.sim.promoted_generation = max(
                self.sim.promoted_generation, intent.generation
            )
            self.cluster.adopt(intent.generation, True, 1, "a", "own")
            record = LeadershipRecord(intent.generation, True, 1, "a", 1, "")
            if self.sim.intent_version(intent.generation):
                self.sim.put(leadership_key(GROUP), encode_record(record))
            self.intent = None

    def uses_replaced_primary(self):
        """Whether the daemon may use a primary whose successor has been promoted."""
        leadership = self.cluster.leadership
        usable = leadership.settled and self.permission.holds(self.sim.now)
        return usable and leadership.generation < self.sim.promoted_generation


def run_coroutine(coroutine):
    loop = asyncio.new_event_loop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.close()


def perform_random_action(sim, daemon):
    """Let one daemon take a random step, or inject a random fault into it."""
    chance = sim.random.random()
    others = [name for name in sim.daemons if name != daemon.name]
    if chance < 0.04:
        daemon.suspended_until = sim.now + sim.random.uniform(0.5, 4.0)
        daemon.resumed_at = daemon.suspended_until
    elif chance < 0.05:
        daemon.start()
        daemon.inbox.clear()
        daemon.register()
    elif chance < 0.09:
        pair = (daemon.name, sim.random.choice(others))
        sim.blocked_links ^= {pair, pair[::-1]}
    elif chance < 0.12:
        sim.cut_off_from_store ^= {daemon.name}
    elif chance < 0.13:
        daemon.remove_silent_daemons()
    elif chance < 0.16:
        daemon.begin_replacement()
    elif chance < 0.2:
        daemon.keep_voters()
    elif chance < 0.22:
        daemon.roster.stopping = not daemon.roster.stopping
    elif chance < 0.4:
        daemon.read_store()
    elif chance < 0.45 and member_key(daemon.name) not in sim.rows:
        daemon.roster.set_incarnation(f"{sim.random.getrandbits(32):08x}", sim.now)
        daemon.register()
    else:
        daemon.announcer.send_all()


@contextmanager
def patch_clocks(sim):
    """Patch the boot clock of every part with that of a simulation."""
    clock = lambda: sim.now  # noqa: E731
    targets = (
        "cardamomdrift.peers.announcer.boot_clock",
        "cardamomdrift.membership.control.boot_clock",
        "cardamomdrift.failover.execution.boot_clock",
    )
    with ExitStack() as stack:
        for target in targets:
            stack.enter_context(mock.patch(target, clock))
        yield


def shorten_at_random(seed):
    """Return a context in which half of the heartbeats are short, whoever gets them."""
    chance = random.Random(seed)

    def shorten(heartbeat, peer):
        if chance.random() < 0.5:
            return heartbeat
        return make_short(heartbeat, hash_state(heartbeat))

    return mock.patch(SHORTEN, shorten)


def add_daemons(sim, names):
    for name in names:
        sim.daemons[name] = ModelDaemon(sim, name)
    for name in names:
        sim.daemons[name].register()
    for name in names:
        sim.daemons[name].keep_voters()


def advance(sim, pause):
    """Let ``pause`` seconds pass; return whether a daemon uses a replaced primary."""
    sim.now += pause
    deliver_due_heartbeats(sim)
    for daemon in sim.daemons.values():
        if daemon.running:
            daemon.receive()
            daemon.continue_replacement()
    return any(
        daemon.running and daemon.uses_replaced_primary()
        for daemon in sim.daemons.values()
    )


def run_simulation(seed):
    """Run a simulation with random steps and faults.

    Returns
    -------
    violated : bool
        Whether a daemon used a replaced primary.
    replacements : int
        Number of primaries that were replaced.
    """
    sim = Simulation(seed)
    with patch_clocks(sim):
        names = [f"vm-{index}" for index in range(sim.random.randint(2, 8))]
        add_daemons(sim, names)
        violated = False
        for _ in range(STEPS):
            violated = advance(sim, sim.random.choice(sim.pauses)) or violated
            daemon = sim.daemons[sim.random.choice(names)]
            if daemon.running:
                perform_random_action(sim, daemon)
            if violated or any(
                daemon.running and daemon.uses_replaced_primary()
                for daemon in sim.daemons.values()
            ):
                return True, sim.promoted_generation
        return False, sim.promoted_generation


def run_with_new_daemons(seed, old, new):
    """Register new daemons while the old ones reach neither them nor the store.

    Parameters
    ----------
    seed : int
    old, new : sequence of str
        Names of the daemons.

    Returns
    -------
    violated : bool
        Whether a daemon used a replaced primary.
    replacements : int
        Number of primaries that were replaced.
    """
    sim = Simulation(seed)
    violated = False
    with patch_clocks(sim):
        add_daemons(sim, old)
        violated = exchange_heartbeats(sim, 5.0)
        sim.cut_off_from_store |= set(old)
        sim.blocked_links |= {
            pair for a in old for b in new for pair in ((a, b), (b, a))
        }
        violated = exchange_heartbeats(sim, sim.random.uniform(0.0, 2.0)) or violated
        add_daemons(sim, new)
        until = sim.now + STORE_READ_VALIDITY + PERMISSION_VALIDITY + 40.0
        while sim.now < until:
            for name in new:
                sim.daemons[name].remove_silent_daemons()
                sim.daemons[name].keep_voters()
                sim.daemons[name].begin_replacement()
            violated = exchange_heartbeats(sim, 1.0) or violated
    return violated, sim.promoted_generation


def block_links(sim, senders, receivers):
    """Lose all heartbeats from some daemons to some others."""
    sim.blocked_links |= {(a, b) for a in senders for b in receivers}


def separate(sim, some, others):
    """Lose all heartbeats between some daemons and some others."""
    block_links(sim, some, others)
    block_links(sim, others, some)


def run_with_lost_voters(seed):
    """Cut two of three voters off, and let the third go on with two new daemons.

    Returns
    -------
    violated, replacements
        As `run_with_new_daemons` returns them.
    """
    sim = Simulation(seed)
    old, new = ("a", "b"), ("c", "d", "e")
    with patch_clocks(sim):
        add_daemons(sim, ("a", "b", "c"))
        violated = exchange_heartbeats(sim, 5.0)
        sim.cut_off_from_store |= set(old)
        separate(sim, old, new)
        add_daemons(sim, ("d", "e"))
        violated = exchange_heartbeats(sim, 4.0) or violated
        until = sim.now + STORE_READ_VALIDITY + PERMISSION_VALIDITY + 20.0
        while sim.now < until:
            sim.daemons["c"].keep_voters()
            sim.daemons["c"].begin_replacement()
            violated = exchange_heartbeats(sim, 1.0) or violated
    return violated, sim.promoted_generation


def run_with_forgetful_voter(seed):
    """Restart a voter without the store after it has acknowledged a replacement.

    Returns
    -------
    violated, replacements
        As `run_with_new_daemons` returns them.
    """
    sim = Simulation(seed)
    with patch_clocks(sim):
        add_daemons(sim, ("a", "b", "c"))
        violated = exchange_heartbeats(sim, 5.0)
        sim.cut_off_from_store |= {"b", "c"}
        separate(sim, ("c",), ("a", "b"))
        replacing = sim.daemons["a"]
        replacing.begin_replacement()
        until = sim.now + INTENT_LIFETIME
        while replacing.quorum_at is None and sim.now < until:
            violated = exchange_heartbeats(sim, 0.25) or violated
        sim.blocked_links.clear()
        separate(sim, ("a",), ("b", "c"))
        sim.in_transit.clear()
        sim.daemons["b"].start()
        sim.daemons["b"].inbox.clear()
        violated = exchange_heartbeats(sim, 4.0) or violated
    return violated, sim.promoted_generation


def run_with_removed_daemon(seed):
    """Remove the row of a daemon that other voters still hear, then replace a primary.

    Returns
    -------
    violated, replacements
        As `run_with_new_daemons` returns them.
    """
    sim = Simulation(seed)
    with patch_clocks(sim):
        add_daemons(sim, ("a", "b", "c"))
        violated = exchange_heartbeats(sim, 5.0)
        add_daemons(sim, ("d",))
        sim.cut_off_from_store |= {"d"}
        separate(sim, ("a",), ("d",))
        sim.daemons["a"].read_store()
        violated = exchange_heartbeats(sim, 9.0) or violated
        sim.daemons["a"].remove_silent_daemons()
        sim.daemons["a"].read_store()
        violated = exchange_heartbeats(sim, 2.0) or violated
        block_links(sim, ("b", "c"), ("d",))
        sim.daemons["a"].begin_replacement()
        violated = exchange_heartbeats(sim, 4.0) or violated
    return violated, sim.promoted_generation


def run_with_restored_store_alone(seed):
    """As `run_with_restored_store`; only the restarted voter reaches the store."""
    return run_with_restored_store(seed, alone=True)


def run_with_restored_store(seed, alone=False):
    """Lose the rows of a replacement, and restart a voter that hears no other.

    Parameters
    ----------
    seed : int
    alone : bool
        Whether the others, which remember the replacement, do not reach the store.

    Returns
    -------
    violated, replacements
        As `run_with_new_daemons` returns them.
    """
    sim = Simulation(seed)
    names = ("a", "b", "c")
    with patch_clocks(sim):
        add_daemons(sim, names)
        violated = exchange_heartbeats(sim, 5.0)
        copy = dict(sim.rows)
        sim.daemons["a"].begin_replacement()
        violated = exchange_heartbeats(sim, 4.0) or violated
        sim.restore(copy)
        separate(sim, ("b",), ("a", "c"))
        sim.daemons["b"].start()
        sim.daemons["b"].inbox.clear()
        sim.daemons["b"].register()
        if alone:
            sim.cut_off_from_store |= {"a", "c"}
        until = sim.now + sim.random.uniform(5.0, 15.0)
        while sim.now < until:
            for name in names:
                sim.daemons[name].keep_voters()
                sim.daemons[name].read_store()
            violated = exchange_heartbeats(sim, 0.5) or violated
        sim.blocked_links.clear()
        sim.cut_off_from_store.clear()
        violated = exchange_heartbeats(sim, 2.0) or violated
        for name in names:
            sim.daemons[name].keep_voters()
        sim.daemons["c"].begin_replacement()
        violated = exchange_heartbeats(sim, 5.0) or violated
    return violated, sim.promoted_generation


def exchange_heartbeats(sim, length):
    """Let all daemons send heartbeats; return whether one used a replaced primary.

    Parameters
    ----------
    sim : Simulation
    length : float
        How long they do so, in seconds.
    """
    until = sim.now + length
    violated = False
    while sim.now < until:
        for daemon in sim.daemons.values():
            daemon.announcer.send_all()
            daemon.permission.extend_by_promises(sim.now)
        violated = advance(sim, 0.25) or violated
    return violated


def deliver_due_heartbeats(sim):
    """Move the heartbeats whose arrival is due to the inboxes of their receivers."""
    due = [entry for entry in sim.in_transit if entry[0] <= sim.now]
    sim.in_transit = [entry for entry in sim.in_transit if entry[0] > sim.now]
    for _, address, heartbeat in due:
        sim.daemons[address].inbox.append(heartbeat)


class PermissionModelTest(unittest.TestCase):
    def setUp(self):
        structlog.configure(
            wrapper_class=structlog.make_filtering_bound_logger(50),
            logger_factory=structlog.ReturnLoggerFactory(),
        )
        self.addCleanup(structlog.reset_defaults)

    def test_no_replaced_primary_is_used(self):
        replaced = 0
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                violated, replacements = run_simulation(seed)
                self.assertFalse(violated)
                replaced += replacements
        self.assertGreater(
            replaced, SEEDS // 2, "too few replacements for a conclusive check"
        )

    def test_short_heartbeats_that_are_sent_without_confirmation(self):
        """The receiver alone must ensure that it has the state of a short heartbeat:
        its full one may be lost or late, or its sender may have restarted."""
        replaced = 0
        for seed in range(SEEDS):
            with self.subTest(seed=seed), shorten_at_random(seed):
                violated, replacements = run_simulation(seed)
                self.assertFalse(violated)
                replaced += replacements
        self.assertGreater(replaced, SEEDS // 4)

    def test_a_short_heartbeat_without_its_full_one_is_caught(self):
        """A promise counts only with the state that its sender has."""
        with shorten_at_random(0):
            self._assert_caught(MATCHES, lambda short, peer: peer.heartbeat is not None)

    def test_most_heartbeats_of_a_steady_state_are_short(self):
        sim = Simulation(1)
        with patch_clocks(sim):
            add_daemons(sim, ("a", "b", "c"))
            exchange_heartbeats(sim, 5.0)
            before = sim.short_heartbeats
            exchange_heartbeats(sim, 10.0)
        self.assertGreater(sim.short_heartbeats - before, 0.8 * 6 * 10.0 / 0.25)

    def test_new_daemons_cut_off_from_the_old_ones(self):
        """They replace the primary, but only when the old ones no longer use it."""
        old = ("vm-0", "vm-1", "vm-2")
        for new in (("vm-3",), ("vm-3", "vm-4")):
            for seed in range(10):
                with self.subTest(new=new, seed=seed):
                    violated, replacements = run_with_new_daemons(seed, old, new)
                    self.assertFalse(violated)
                    self.assertGreater(
                        replacements, 0, "the new daemons did not replace the primary"
                    )

    def test_too_short_a_time_of_the_former_voters_is_caught(self):
        """New voters must not act alone while promises of the old ones may count."""
        with mock.patch("cardamomdrift.membership.voter_keeper.FORMER_TIMEOUT", 8.0):
            results = [
                run_with_new_daemons(seed, ("a", "b"), ("c", "d")) for seed in range(5)
            ]
        self.assertTrue(any(violated for violated, _ in results))

    def test_too_long_a_store_read_validity_is_caught(self):
        """Promises must not count for long without a read of the store."""
        validity = "cardamomdrift.failover.permission.STORE_READ_VALIDITY"
        with mock.patch(validity, 1000.0):
            results = [
                run_with_new_daemons(seed, ("a", "b"), ("c", "d")) for seed in range(5)
            ]
        self.assertTrue(any(violated for violated, _ in results))

    def _assert_caught(self, target, value):
        """Check that a faulty rule lets some seed use a replaced primary."""
        with mock.patch(target, value):
            caught = any(run_simulation(seed)[0] for seed in range(MUTANT_SEEDS))
        self.assertTrue(caught, target)

    def test_a_replacement_without_a_quorum_is_caught(self):
        """A replacement needs the acknowledgement of other voters."""
        self._assert_caught(
            "cardamomdrift.failover.execution.has_quorum",
            lambda acknowledging, voter_sets: True,
        )

    def test_no_replaced_primary_is_used_in_partitions(self):
        """The rules hold in the scenarios in which the faulty ones below fail."""
        for scenario in (
            run_with_lost_voters,
            run_with_forgetful_voter,
            run_with_removed_daemon,
            run_with_restored_store,
            run_with_restored_store_alone,
        ):
            promoted = 0
            for seed in range(SCENARIO_SEEDS):
                with self.subTest(scenario=scenario.__name__, seed=seed):
                    violated, replacements = scenario(seed)
                    self.assertFalse(violated)
                    promoted += replacements
            self.assertGreater(promoted, 0, scenario.__name__)

    def test_a_quorum_of_the_new_voters_alone_is_caught(self):
        """Until a change is complete, the former voters must acknowledge as well."""

        def has_new_quorum(acknowledging, voter_sets):
            return has_quorum(acknowledging, voter_sets[:1])

        with mock.patch("cardamomdrift.failover.execution.has_quorum", has_new_quorum):
            self._assert_scenario_violated(run_with_lost_voters)

    def test_a_promise_without_a_read_of_the_epoch_is_caught(self):
        """A voter that has not read its epoch may have forgotten a replacement."""
        epoch = property(lambda roster: roster.voters.epoch)
        with mock.patch.object(Roster, "promised_epoch", epoch):
            self._assert_scenario_violated(run_with_forgetful_voter)

    def test_a_restarted_voter_that_trusts_another_one_is_caught(self):
        """It may have acknowledged a replacement of which the other knows nothing."""

        def confirm_epoch(roster, heartbeat, digest):
            roster.confirmed_epoch = roster.confirmed_epoch or 0
            return confirm(roster, heartbeat, digest)

        confirm = Roster.confirm_epoch
        with mock.patch.object(Roster, "confirm_epoch", confirm_epoch):
            self._assert_scenario_violated(run_with_forgetful_voter)

    def test_a_release_without_a_count_of_the_daemons_is_caught(self):
        """A daemon that only other voters know may still use the old primary."""
        with mock.patch.object(PeerReports, "all_count_the_same", lambda *_: True):
            self._assert_scenario_violated(run_with_removed_daemon)

    def test_a_read_of_a_restored_store_without_the_lost_rows_is_caught(self):
        """It shows a primary that was replaced in the time that the store lost."""
        never = property(lambda keeper: False)
        with mock.patch.object(VoterKeeper, "is_outdated", never):
            self._assert_scenario_violated(run_with_restored_store)

    def test_a_restarted_voter_that_renews_the_rows_alone_is_caught(self):
        """The others may remember a replacement that the store lost."""
        with mock.patch.object(VoterKeeper, "_have_most_forgotten", lambda *_: True):
            self._assert_scenario_violated(run_with_restored_store_alone)

    def _assert_scenario_violated(self, scenario):
        """Check that a faulty rule lets some seed use a replaced primary."""
        results = [scenario(seed) for seed in range(SCENARIO_SEEDS)]
        self.assertTrue(any(violated for violated, _ in results))

    def test_a_release_right_at_the_quorum_is_caught(self):
        """After the quorum, the permission of the other daemons has to run out."""

        def released_at_quorum(intent, released, all_counted, quorum_at, now):
            return quorum_at is not None

        self._assert_caught(
            "cardamomdrift.failover.execution.is_released", released_at_quorum
        )

    def test_too_long_a_promise_is_caught(self):
        """The permission must run out soon after the last promise."""

        def promised_for_long(roster, now):
            return now + 30.0 if promised_until(roster, now) > now else float("-inf")

        self._assert_caught(
            "cardamomdrift.failover.permission.promised_until", promised_for_long
        )

    def test_a_relayed_read_dated_by_its_arrival_is_caught(self):
        """A read of the store counts from its beginning."""

        def record_by_arrival_time(self, peer):
            if peer.earliest_sent_at is not None and peer.heartbeat.listed:
                self.record_store_read(peer.heard_at)

        self._assert_caught(
            "cardamomdrift.failover.permission.Permission.record_relayed_read",
            record_by_arrival_time,
        )


if __name__ == "__main__":
    unittest.main()
