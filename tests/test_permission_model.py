"""Nobody may use a primary after another daemon has called for its successor.

The real roster, permission, announcer, control plane and release rules of several
daemons run on a clock of the test; messages are lost, delayed and reordered, daemons
are suspended, restarted, cut off from each other and from the store.
"""

import asyncio
import random
import unittest
from contextlib import ExitStack, contextmanager
from unittest import mock

import structlog

from cardamomdrift.errors import PlatformUnavailable
from cardamomdrift.failover import execution as execution_module
from cardamomdrift.failover.execution import ReplacementExecutor, ReplacementFailed
from cardamomdrift.failover.leadership import Leadership
from cardamomdrift.failover.peer_reports import PeerReports
from cardamomdrift.failover.permission import Permission, promised_until
from cardamomdrift.failover.records import (
    LeadershipRecord,
    MemberRecord,
    encode_record,
    leadership_key,
    member_key,
)
from cardamomdrift.failover.replacement import INTENT_LIFETIME, Intent
from cardamomdrift.membership.control import UNECHOED_REMOVAL_TIMEOUT, ControlPlane
from cardamomdrift.membership.instance_list import InstanceList
from cardamomdrift.peers.announcer import Announcer
from cardamomdrift.peers.roster import Roster
from cardamomdrift.ports import Row, Snapshot

GROUP = "g"
STEPS = 800
PAUSES = ((0.0, 0.01, 0.05, 0.2), (0.01, 0.1, 0.2), (0.05, 0.2, 0.4))  # seconds
SEEDS = 100
MUTANT_SEEDS = 400


class World:
    """Time, store and network of one run."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.now = 100.0
        self.pauses = self.random.choice(PAUSES)
        self.rows = {}
        self.version = 0
        self.mail = []
        self.promoted = 0
        self.daemons = {}
        self.cut = set()
        self.store_cut = set()

    def put(self, key, value):
        self.version += 1
        self.rows[key] = Row(key, value, self.version)


class ModelStore:
    """The store as one daemon reaches it."""

    def __init__(self, world, name):
        self._world = world
        self._name = name

    async def read(self, _table):
        if self._name in self._world.store_cut:
            raise PlatformUnavailable("cut off")
        return Snapshot(dict(self._world.rows), self._world.version)


class ModelCluster:
    """A group whose primary every daemon may use."""

    def __init__(self, world, permission):
        self._world = world
        self._permission = permission
        self.group = mock.Mock()
        self.group.name = GROUP
        self.leadership = Leadership(GROUP, primary="a")
        self.instances = {}

    def adopt(self, generation, settled, term, primary, _source):
        lead = self.leadership
        if not lead.adopt(generation, settled, term, primary, self._world.now):
            return False
        lead.released = lead.generation
        return True

    def clock(self):
        return self._world.now

    def newest_sample(self):
        return None

    def add_sample(self, *_):
        pass


class ModelClusters(dict):
    """The groups of one daemon."""

    def __iter__(self):
        return iter(self.values())

    def dispatch_waiting(self):
        pass


class ModelDaemon:
    """One daemon: its real parts, and its place in the network."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.suspended_until = 0.0
        self.inbox = []
        self.intent = None
        self.start()

    def start(self):
        world = self.world
        log = structlog.get_logger()
        self.incarnation = f"{world.random.getrandbits(32):08x}"
        self.roster = Roster(self.name, self.name, self.incarnation, world.now)
        self.permission = Permission(self.roster)
        self.cluster = ModelCluster(world, self.permission)
        clusters = ModelClusters({GROUP: self.cluster})
        store = ModelStore(world, self.name)
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
            InstanceList(lambda: world.now),
            lambda: None,
            log,
        )
        self.announcer.use_port(self)
        self.executor = ReplacementExecutor(
            store, None, self.control, self.roster, clusters, None, lambda: None, log
        )
        self.peer_reports = PeerReports(self.roster, clusters)
        self.intent = None
        self.quorum_at = None
        self.awake_since = world.now

    port = 1

    def send(self, address, heartbeat):
        world = self.world
        if (self.name, address) in world.cut or world.random.random() < 0.15:
            return
        delay = world.random.choice((0.0, 0.0, 0.01, 0.3, 1.5))
        world.mail.append((world.now + delay, address, heartbeat))

    @property
    def awake(self):
        return self.world.now >= self.suspended_until

    def receive(self):
        inbox, self.inbox = self.inbox, []
        for heartbeat in inbox:
            self.announcer.receive(heartbeat, heartbeat.sender)

    def read_store(self):
        try:
            run(self.control.refresh())
        except PlatformUnavailable:
            return False
        return True

    def register(self):
        if self.name in self.world.store_cut:
            return
        record = MemberRecord(self.name, self.roster.incarnation)
        self.world.put(member_key(self.name), encode_record(record))
        self.control.record_registration(self.world.now)
        self.read_store()

    def remove_gone(self):
        """Remove the rows of daemons not heard for long, as the control plane does."""
        if self.name in self.world.store_cut:
            return
        self.control._resumed_at = self.awake_since
        self.read_store()
        for name in self.control._silent_daemons(self.world.now):
            if self.world.rows.pop(member_key(name), None):
                self.world.version += 1

    def begin(self):
        """Write an intent, as `Replacer._write_intent` does."""
        if self.intent is not None or not self.read_store():
            return
        rows = self.world.rows
        lead = self.cluster.leadership
        if member_key(self.name) not in rows:
            return
        held = rows.get(leadership_key(GROUP))
        if held is not None and not lead.settled:
            return
        try:
            self.executor._check_counted_by_all()
        except ReplacementFailed:
            return
        generation = lead.generation + 1
        record = LeadershipRecord(generation, False, 1, "a", 1, self.incarnation)
        self.world.put(leadership_key(GROUP), encode_record(record))
        self.cluster.adopt(generation, False, 1, "a", "own")
        now = self.world.now
        self.intent = Intent(generation, 1, now, now)
        self.quorum_at = None
        self.listed_after = False

    def continue_replacement(self):
        """Call for the successor once nobody may use the old primary."""
        intent, now = self.intent, self.world.now
        if intent is None:
            return
        if now >= intent.begun_at + INTENT_LIFETIME:
            self.intent = None
            return
        if not self.listed_after:
            self.listed_after = self.read_store()
            return
        names = (self.control.registered_names | set(self.roster.peers)) - {self.name}
        released = self.peer_reports.released(GROUP, names)
        known = self.peer_reports.count_acknowledgements(
            GROUP, released, intent.generation
        )
        if self.quorum_at is None and execution_module.has_quorum(known, len(released)):
            self.quorum_at = now
        if now <= execution_module.dropped_permission_until(self.roster):
            return
        if execution_module.is_released(intent, released, self.quorum_at, now):
            self.world.promoted = max(self.world.promoted, intent.generation)
            self.cluster.adopt(intent.generation, True, 1, "a", "own")
            record = LeadershipRecord(intent.generation, True, 1, "a", 1, "")
            self.world.put(leadership_key(GROUP), encode_record(record))
            self.intent = None

    def uses_replaced(self):
        lead = self.cluster.leadership
        usable = lead.settled and self.permission.holds(self.world.now)
        return usable and lead.generation < self.world.promoted


def run(work):
    loop = asyncio.new_event_loop()
    try:
        return loop.run_until_complete(work)
    finally:
        loop.close()


def act(world, daemon):
    """Let one daemon do one thing, or have one thing done to it."""
    chance = world.random.random()
    others = [name for name in world.daemons if name != daemon.name]
    if chance < 0.04:
        daemon.suspended_until = world.now + world.random.uniform(0.5, 4.0)
        daemon.awake_since = daemon.suspended_until
    elif chance < 0.05:
        daemon.start()
        daemon.inbox.clear()
        daemon.register()
    elif chance < 0.09:
        pair = (daemon.name, world.random.choice(others))
        world.cut ^= {pair, pair[::-1]}
    elif chance < 0.12:
        world.store_cut ^= {daemon.name}
    elif chance < 0.13:
        daemon.remove_gone()
    elif chance < 0.16:
        daemon.begin()
    elif chance < 0.4:
        daemon.read_store()
    elif chance < 0.45 and member_key(daemon.name) not in world.rows:
        daemon.roster.set_incarnation(f"{world.random.getrandbits(32):08x}", world.now)
        daemon.register()
    else:
        daemon.announcer.send_all()


@contextmanager
def clock_of(world):
    """Let all parts take the time from a world."""
    clock = lambda: world.now  # noqa: E731
    targets = (
        "cardamomdrift.peers.announcer.boot_clock",
        "cardamomdrift.membership.control.boot_clock",
        "cardamomdrift.failover.execution.boot_clock",
    )
    with ExitStack() as stack:
        for target in targets:
            stack.enter_context(mock.patch(target, clock))
        yield


def add_daemons(world, names):
    for name in names:
        world.daemons[name] = ModelDaemon(world, name)
    for name in names:
        world.daemons[name].register()


def advance(world, pause):
    """Let time pass; return whether a daemon uses a replaced primary now."""
    world.now += pause
    deliver(world)
    for daemon in world.daemons.values():
        if daemon.awake:
            daemon.receive()
            daemon.continue_replacement()
    return any(one.awake and one.uses_replaced() for one in world.daemons.values())


def play(seed):
    """Return whether a daemon used a replaced primary, and how many were replaced."""
    world = World(seed)
    with clock_of(world):
        names = [f"vm-{index}" for index in range(world.random.randint(2, 5))]
        add_daemons(world, names)
        broken = False
        for _ in range(STEPS):
            broken = advance(world, world.random.choice(world.pauses)) or broken
            daemon = world.daemons[world.random.choice(names)]
            if daemon.awake:
                act(world, daemon)
            if broken or any(
                one.awake and one.uses_replaced() for one in world.daemons.values()
            ):
                return True, world.promoted
        return False, world.promoted


def play_newcomers(seed, old, new):
    """Add daemons while the first ones reach neither them nor the store.

    Returns
    -------
    broken : bool
        Whether a daemon used a replaced primary.
    promoted : int
        How many were replaced.
    """
    world = World(seed)
    broken = False
    with clock_of(world):
        add_daemons(world, old)
        broken = pass_time(world, 5.0)
        world.store_cut |= set(old)
        world.cut |= {pair for a in old for b in new for pair in ((a, b), (b, a))}
        broken = pass_time(world, world.random.uniform(0.0, 2.0)) or broken
        add_daemons(world, new)
        until = world.now + UNECHOED_REMOVAL_TIMEOUT + 10.0
        while world.now < until:
            for name in new:
                world.daemons[name].remove_gone()
                world.daemons[name].begin()
            broken = pass_time(world, 1.0) or broken
    return broken, world.promoted


def pass_time(world, length):
    """Let all daemons tell each other what they know for some seconds."""
    until = world.now + length
    broken = False
    while world.now < until:
        for daemon in world.daemons.values():
            daemon.announcer.send_all()
            daemon.permission.extend_by_promises(world.now)
        broken = advance(world, 0.25) or broken
    return broken


def deliver(world):
    due = [one for one in world.mail if one[0] <= world.now]
    world.mail = [one for one in world.mail if one[0] > world.now]
    for _, address, heartbeat in due:
        world.daemons[address].inbox.append(heartbeat)


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
                broken, promoted = play(seed)
                self.assertFalse(broken)
                replaced += promoted
        self.assertGreater(replaced, SEEDS // 2, "too few replacements to prove much")

    def test_newcomers_that_never_heard_the_first_daemons(self):
        old = ("vm-0", "vm-1", "vm-2")
        for new in (("vm-3",), ("vm-3", "vm-4")):
            for seed in range(10):
                with self.subTest(new=new, seed=seed):
                    broken, promoted = play_newcomers(seed, old, new)
                    self.assertFalse(broken)
                    self.assertGreater(promoted, 0, "the store's side must go on")

    def test_newcomers_must_wait_for_the_first_daemons(self):
        with mock.patch(
            "cardamomdrift.membership.control.UNECHOED_REMOVAL_TIMEOUT", 8.0
        ):
            played = [play_newcomers(seed, ("a", "b"), ("c", "d")) for seed in range(5)]
        self.assertTrue(any(broken for broken, _ in played))

    def test_promises_end_without_a_read_of_the_store(self):
        lasting = "cardamomdrift.failover.permission.STORE_READ_VALIDITY"
        with mock.patch(lasting, 1000.0):
            played = [play_newcomers(seed, ("a", "b"), ("c", "d")) for seed in range(5)]
        self.assertTrue(any(broken for broken, _ in played))

    def _assert_caught(self, target, value):
        with mock.patch(target, value):
            caught = any(play(seed)[0] for seed in range(MUTANT_SEEDS))
        self.assertTrue(caught, target)

    def test_a_replacement_needs_the_word_of_another(self):
        self._assert_caught(
            "cardamomdrift.failover.execution.has_quorum", lambda known, others: True
        )

    def test_a_replacement_waits_for_the_rest(self):
        def hasty(intent, others, quorum_at, now):
            return quorum_at is not None

        self._assert_caught("cardamomdrift.failover.execution.is_released", hasty)

    def test_a_promise_runs_out(self):
        def lasting(roster, now):
            return now + 30.0 if promised_until(roster, now) > now else float("-inf")

        self._assert_caught("cardamomdrift.failover.permission.promised_until", lasting)

    def test_a_read_of_the_store_is_dated_by_its_beginning(self):
        def relayed(self, peer):
            if peer.earliest_sent_at is not None and peer.heartbeat.listed:
                self.record_store_read(peer.heard_at)

        self._assert_caught(
            "cardamomdrift.failover.permission.Permission.record_relayed_read", relayed
        )


if __name__ == "__main__":
    unittest.main()
