"""
Tests of session positions
==========================

A session's reads see its own acknowledged writes, at whichever group it made them.  The
table tests and the model use no sockets; the site tests have daemons and instances.
"""

import asyncio
import math
import random
import unittest
from unittest import mock

from cardamomdrift.deployment import Route, RouteKind
from cardamomdrift.ports import Reply
from cardamomdrift.position import ORIGIN, Position
from cardamomdrift.routing.attempt import find_read_floor
from cardamomdrift.routing.samples import FloorHistory, FloorRule, Sample
from cardamomdrift.sessions import handler as handler_module
from cardamomdrift.sessions import positions as positions_module
from cardamomdrift.sessions.commands import Begin, Commit, Read, Write
from cardamomdrift.sessions.handler import SessionHandler
from cardamomdrift.sessions.positions import GROUP_LIMIT, SessionPositions
from cardamomdrift.standins.entries import route
from tests.site import ROUTES, Site

MODEL_SEEDS = 200
MODEL_STEPS = 60
MUTANT_SEEDS = 100  # runs at most with a faulty rule, until one shows the fault
MAX_AGE = 2.5  # seconds


class SessionPositionsTest(unittest.TestCase):
    def test_a_write_elsewhere_keeps_the_position(self):
        """STALE: a write to another group dropped the position of the first one."""
        positions = SessionPositions()
        positions.record("a", Position(1, 5), 10.0)
        positions.record("b", Position(1, 2), 11.0)
        self.assertEqual(positions.last_write("a"), Position(1, 5))
        self.assertEqual(positions.last_write("b"), Position(1, 2))
        self.assertEqual(positions.unplaced_at, -math.inf)

    def test_the_number_of_groups_is_bounded_and_reads_stay_safe(self):
        """STALE: a dropped position must be replaced by the time of its write."""
        positions = SessionPositions()
        for number in range(GROUP_LIMIT + 2):
            positions.record(f"g{number}", Position(1, 1), float(number))
        self.assertIsNone(positions.last_write("g1"))
        self.assertEqual(positions.unplaced_at, 1.0)
        self.assertEqual(positions.last_write("g2"), Position(1, 1))

    def test_a_write_without_a_position_counts_by_its_time(self):
        """STALE: an answer without a position replaced the one before by nothing."""
        positions = SessionPositions()
        positions.record("a", Position(1, 5), 10.0)
        positions.record("a", None, 12.0)
        self.assertEqual(positions.last_write("a"), Position(1, 5))
        self.assertEqual(positions.unplaced_at, 12.0)


class ModelGroup:
    """Log of a group's primary, and the samples that a daemon has of it."""

    def __init__(self, model):
        self.model = model
        self._floors = FloorHistory()
        self.term = 1
        self.length = 0
        self.log = mock.Mock()
        self.costs = mock.Mock()

    @property
    def position(self):
        return Position(self.term, self.length)

    def clock(self):
        return self.model.now

    def sample(self):
        self._floors.add(Sample(self.model.now, self.position))

    def find_floor(self, since, at_least):
        return self._floors.find(FloorRule(since, at_least))

    async def write(self, _request):
        self.length += 1
        known = self.model.random.random() < 0.9
        return Reply([], "sig", position=self.position if known else None)

    async def read(self, request):
        """Read at the least advanced instance that the floor allows."""
        floor = find_read_floor(self, request)
        seen = self.position if floor is None else floor
        self.model.check_read(self, seen)
        return Reply([], "sig", position=seen)


class ModelTransaction:
    """Transaction at one group; its position is that of the group at the commit."""

    def __init__(self, group, read_only, route=None):
        self._model = group.model
        self._group = group
        self._read_only = read_only
        self._opened = False
        self.route = route
        self.wrote = False
        self.busy = self.lost = False

    async def run(self, request):
        self.wrote = self.wrote or isinstance(request.command, Write)
        if self._read_only and not self._opened:
            await self._group.read(request)
        self._opened = True
        return Reply([], "sig", position=self._group.position)

    async def commit(self, request):
        if self.wrote:
            return await self._group.write(request)
        return Reply([], "sig", position=self._group.position)

    def rollback(self):
        return mock.Mock()


class SessionModel:
    """A session whose route moves between groups while it reads and writes.

    Attributes
    ----------
    stale : bool
        Whether a read has run on a log that lacked a write of the session.
    """

    answer_by = math.inf
    transaction_idle_timeout = 3.0

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.now = 100.0
        self.groups = {f"g{number}": ModelGroup(self) for number in range(4)}
        self.routes = {}
        self.stale = False
        self._written = dict.fromkeys(self.groups.values(), ORIGIN)
        self._group = None  # of the open transaction
        self._read_only = False
        self._move()

    # What a session handler uses of Clusters

    def clock(self):
        return self.now

    def route_of(self, database):
        return self.routes.get(database)

    def cluster_of(self, route):
        return self.groups[route.group]

    runner_of = cluster_of

    def can_answer(self, _request):
        return True

    def customer_of(self, _caller):
        return None

    def record(self, *_):
        pass

    def track_transaction(self, _handler):
        pass

    def run_in_background(self, work):
        work.close()

    # Steps

    def _move(self):
        kind = self.random.choice((RouteKind.READ_YOUR_WRITES, RouteKind.PRIMARY))
        max_age = None if kind is RouteKind.PRIMARY else MAX_AGE
        group = self.random.choice(list(self.groups))
        self.routes["d"] = Route("d", kind, group, 1.0, 0.2, 1, max_age)

    def check_read(self, group, seen):
        self.stale = self.stale or seen < self._written[group]
        # A floor that the group's log never reaches would refuse all further reads.
        self.stale = self.stale or seen > group.position

    def _present_group(self):
        return self.groups[self.routes["d"].group]

    async def _write(self, handler):
        if self._group is None:
            await handler.handle("w", Write("WRITE a 1"))
            group = self._present_group()
            self._written[group] = group.position
        elif not self._read_only:
            await handler.handle("w", Write("WRITE a 1"))

    async def _begin_or_commit(self, handler):
        if self._group is None:
            self._group = self._present_group()
            self._read_only = self.random.random() < 0.5
            await handler.handle("b", Begin(self._read_only))
            return
        group, self._group = self._group, None
        wrote = handler.transaction.wrote
        await handler.handle("c", Commit())
        if wrote:
            self._written[group] = group.position

    async def step(self, handler):
        self.now += self.random.choice((0.01, 0.2, 1.0))
        chance = self.random.random()
        group = self.random.choice(list(self.groups.values()))
        if chance < 0.2:
            self._move()
        elif chance < 0.3:
            group.term += 1
        elif chance < 0.4:
            group.length += 1
        elif chance < 0.55:
            group.sample()
        elif chance < 0.65:
            await self._begin_or_commit(handler)
        elif chance < 0.8:
            await self._write(handler)
        else:
            await handler.handle("r", Read("READ a"))

    async def run(self):
        handler = SessionHandler(self, "d", "caller")
        with (
            mock.patch.object(handler_module, "boot_clock", lambda: self.now),
            mock.patch.object(handler_module, "PinnedTransaction", ModelTransaction),
        ):
            for _ in range(MODEL_STEPS):
                await self.step(handler)
        return self.stale


def find_stale_seed(seeds):
    """Return the first seed with a stale read, or None."""
    return next((seed for seed in seeds if asyncio.run(SessionModel(seed).run())), None)


class SessionModelTest(unittest.TestCase):
    """Random writes, reads and moves of the route, with few positions kept."""

    def setUp(self):
        # Sessions then drop positions all the time.
        limit = mock.patch.object(positions_module, "GROUP_LIMIT", 2)
        self.enterContext(limit)

    def test_reads_see_the_writes_of_their_session(self):
        """STALE: a write at another group dropped what a read had to see."""
        self.assertIsNone(find_stale_seed(range(MODEL_SEEDS)))

    def test_a_transaction_that_takes_the_present_route_is_caught(self):
        """STALE: it dropped the position that its reads at the old group need."""
        present = property(lambda self: self._model.routes["d"], lambda *_: None)
        with mock.patch.object(ModelTransaction, "route", present, create=True):
            self.assertIsNotNone(find_stale_seed(range(MUTANT_SEEDS)))

    def test_a_single_position_is_caught(self):
        def record(positions, group, position, acknowledged_at):
            positions._writes.clear()
            positions._writes[group] = position, acknowledged_at

        with mock.patch.object(SessionPositions, "record", record):
            self.assertIsNotNone(find_stale_seed(range(MUTANT_SEEDS)))

    def test_a_dropped_position_without_its_time_is_caught(self):
        never = property(lambda _: -math.inf, lambda *_: None)
        with mock.patch.object(SessionPositions, "unplaced_at", never, create=True):
            self.assertIsNotNone(find_stale_seed(range(MUTANT_SEEDS)))


class MovedRouteTest(unittest.IsolatedAsyncioTestCase):
    """Two groups whose replicas receive nothing, so that each stale read shows."""

    async def start(self):
        self.site = Site(daemons=1, more_groups=("h",), routes=self.routes("g"))
        await self.site.__aenter__()
        self.addAsyncCleanup(self.site.__aexit__, None, None, None)
        for group in self.site.groups.values():
            for instance in group.instances.values():
                instance.lag = 60.0
        # A sample of each primary before the session writes.
        for database in ("book", "other"):
            await (await self.site.caller("vm-1", database)).ask("READ a")

    @staticmethod
    def routes(group):
        crew = route("crew", "read_your_writes", group, maxStalenessMs=2500)
        return [ROUTES[0], crew, route("other", "primary", "h")]

    async def move(self, version, group):
        self.site.configure(version, self.routes(group))
        await self.site.until(lambda: self.site.daemons["vm-1"].version == version)

    async def test_a_route_that_moves_inside_a_transaction(self):
        """STALE: the transaction's read did not see the session's own commit."""
        await self.start()
        crew = await self.site.caller("vm-1", "crew")
        await crew.ask("WRITE a new")
        await crew.ask("BEGIN READ")
        await self.move(2, "h")
        self.assertEqual((await crew.ask("READ a"))[0], "ROW a=new")
        await crew.ask("COMMIT")

    async def test_a_commit_counts_where_the_transaction_ran(self):
        """LAGGING for good: its position was kept for the route's new group."""
        await self.start()
        crew = await self.site.caller("vm-1", "crew")
        await crew.ask("BEGIN")
        await crew.ask("WRITE a new")
        await self.move(2, "h")
        await crew.ask("COMMIT")
        answer = await crew.ask("READ a")
        self.assertTrue(answer[-1].startswith("COMPLETE sig-h"), answer)
        await self.move(3, "g")
        self.assertEqual((await crew.ask("READ a"))[0], "ROW a=new")

    async def test_a_transaction_keeps_its_time_limit(self):
        """INDOUBT: a new time limit of the route held for an open one."""
        await self.start()
        crew = await self.site.caller("vm-1", "crew")
        await crew.ask("BEGIN")
        await crew.ask("WRITE a new")
        routes = self.routes("g")
        self.site.configure(2, [{**entry, "timeoutMs": 50} for entry in routes])
        await self.site.until(lambda: self.site.daemons["vm-1"].version == 2)
        self.site.group.primary.service_time = 0.2
        [answer] = await crew.ask("COMMIT")
        self.assertTrue(answer.startswith("COMPLETE sig"), answer)

    async def test_a_route_that_moves_there_and_back(self):
        """STALE: the read after it did not see the session's first write."""
        await self.start()
        crew = await self.site.caller("vm-1", "crew")
        await crew.ask("WRITE a new")
        await self.move(2, "h")
        await crew.ask("WRITE b new")
        await self.move(3, "g")
        for _ in range(6):
            self.assertEqual((await crew.ask("READ a"))[0], "ROW a=new")


if __name__ == "__main__":
    unittest.main()
