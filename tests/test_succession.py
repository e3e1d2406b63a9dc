"""
Tests of the succession
=======================

Which instance becomes the next primary, and which logs must be known for that.
"""

import asyncio
import unittest
from contextlib import suppress
from dataclasses import replace
from unittest import mock

from cardamomdrift.failover import execution
from cardamomdrift.failover.execution import ReplacementExecutor, ReplacementFailed
from cardamomdrift.failover.records import HolderRecord, HoldersRecord, encode_record
from cardamomdrift.failover.replacement import Intent
from cardamomdrift.failover.succession import (
    Candidate,
    Holder,
    Succession,
    can_take_over,
    choose_candidate,
    droppable_holders,
    is_complete,
    missing_holders,
)
from cardamomdrift.membership.holder_keeper import GroupHolders
from cardamomdrift.ports import Row
from cardamomdrift.position import Position
from cardamomdrift.routing.samples import Sample
from tests.site import Site

RECOVERY_TIME = 12.0  # seconds until writes are served
P = Position
NAMES = "abc"
HOLDERS = {name: Holder(name, 1, f"h:{name}", False) for name in "abcde"}


def succession(synchronous=1, names=NAMES, *more):
    """Return the state of a group whose primary ``a`` is being replaced."""
    holders = {HOLDERS[name] for name in names} | set(more)
    return Succession("a", 1, synchronous, frozenset(holders))


def candidate(name, sequence, draining=False, **changes):
    changes = {"term": 1, "holder": HOLDERS[name]} | changes
    return Candidate(name, P(1, sequence), draining, **changes)


class CandidateTest(unittest.TestCase):
    def choose(self, group, *candidates, late=False):
        chosen = choose_candidate(group, list(candidates), late)
        return None if chosen is None else chosen.name

    def test_the_most_advanced_replica_is_chosen(self):
        for synchronous in (0, 1):
            group = succession(synchronous)
            self.assertEqual(
                self.choose(group, candidate("b", 7), candidate("c", 9)), "c"
            )

    def test_commits_that_only_a_draining_replica_has_are_not_lost(self):
        """A replica without them was promoted because it was not draining."""
        for synchronous in (0, 1):
            group = succession(synchronous)
            draining = candidate("b", 107, True)
            self.assertEqual(self.choose(group, draining, candidate("c", 82)), "b")

    def test_among_equal_logs_a_draining_replica_is_not_chosen(self):
        group = succession(0)
        draining = candidate("c", 9, True)
        self.assertEqual(self.choose(group, candidate("b", 9), draining), "b")
        self.assertEqual(self.choose(group, draining), "c")

    def test_a_planned_replacement_waits_for_a_replica_that_stays(self):
        last = P(1, 9)
        former = candidate("a", 9, True, leads=True)
        behind = candidate("b", 8)
        leaving = candidate("c", 9, True)
        equal = candidate("d", 9)
        for synchronous in (0, 2):
            group = succession(synchronous, "abcd")
            self.assertFalse(can_take_over(group, [], last))
            self.assertFalse(can_take_over(group, [former], last))
            self.assertFalse(can_take_over(group, [behind, leaving], last))
            self.assertTrue(can_take_over(group, [behind, leaving, equal], last))
            self.assertTrue(can_take_over(group, [former, leaving], last))
        # With one synchronous replica, two that are silent may hold a commit.
        group = succession(1, "abcd")
        self.assertFalse(can_take_over(group, [equal], last))
        self.assertFalse(can_take_over(group, [former, equal], last))

    def test_a_planned_replacement_needs_no_other_log_than_the_primary_s(self):
        """It failed until a lost replica was forgotten, though the primary answered."""
        group = replace(succession(1, "abcd"), called=())
        answers = [candidate("a", 9, True, leads=True), candidate("d", 9)]
        self.assertTrue(can_take_over(group, answers, P(1, 9)))

    def test_with_synchronous_replicas_enough_must_answer(self):
        for names, synchronous, needed in (("abc", 1, 2), ("abcde", 2, 3)):
            group = succession(synchronous, names)
            answers = [candidate(name, 7) for name in names[1:]]
            self.assertTrue(is_complete(group, answers[:needed]))
            self.assertFalse(is_complete(group, answers[: needed - 1]))
            self.assertIsNone(self.choose(group, *answers[: needed - 1], late=True))
        self.assertTrue(is_complete(succession(0), [candidate("b", 7)]))
        self.assertFalse(is_complete(succession(0), []))

    def test_a_former_primary_that_leads_is_the_last_choice(self):
        """No instance was chosen although the one with all commits answered."""
        former = candidate("a", 9, leads=True)
        behind, equal = candidate("b", 7), candidate("b", 9)
        group = succession(1)
        self.assertEqual(self.choose(group, former, equal), "b")
        self.assertIsNone(self.choose(group, former, behind))
        self.assertEqual(self.choose(group, former, behind, late=True), "a")
        draining = replace(former, draining=True)
        self.assertIsNone(self.choose(group, draining, behind, late=True))
        # Without synchronous replicas, a commit may be lost, but not the service.
        self.assertEqual(self.choose(succession(0), former, behind), "b")
        self.assertIsNone(self.choose(succession(0), former))
        self.assertEqual(self.choose(succession(0), former, late=True), "a")

    def test_a_primary_of_an_unfinished_replacement_goes_on(self):
        """RECOVER: it was taken for one that does not know that it was replaced."""
        for synchronous in (0, 1):
            group = succession(synchronous)
            promoted = candidate("b", 9, leads=True, term=2)
            self.assertEqual(self.choose(group, promoted, candidate("c", 9)), "b")

    def test_a_primary_of_an_earlier_term_is_the_last_choice(self):
        """Its log may have commits that a promotion rolled back."""
        group = replace(succession(0), term=2)
        outdated = candidate("b", 12, leads=True)
        self.assertEqual(self.choose(group, outdated, candidate("c", 9)), "c")
        self.assertEqual(self.choose(group, outdated), "b")
        # With synchronous replicas its log may hold the only copy of a commit.
        group = replace(succession(1), term=2)
        self.assertEqual(self.choose(group, outdated, candidate("c", 9)), "b")

    def test_a_former_primary_that_follows_another_one_is_a_replica(self):
        """RECOVER: it was left out after the one promoted in its place was lost."""
        for synchronous in (0, 1):
            group = succession(synchronous)
            former, other = candidate("a", 9, term=2), candidate("c", 7, term=2)
            self.assertEqual(self.choose(group, former, other), "a")

    def test_all_who_may_have_led_are_enough(self):
        """RECOVER: the primary was back with all commits, but both replicas lost."""
        former = candidate("a", 9, leads=True)
        group = succession()
        self.assertFalse(is_complete(group, [former]))
        self.assertTrue(is_complete(replace(group, called=()), [former]))
        called = replace(group, called=("b",))
        self.assertFalse(is_complete(called, [former]))
        wide = replace(called, holders=succession(1, "abcd").holders)
        answers = [former, candidate("b", 9, leads=True, term=2)]
        self.assertTrue(is_complete(wide, answers))
        self.assertFalse(is_complete(wide, [former, candidate("c", 9)]))


class HolderTest(unittest.TestCase):
    """Which logs are known, with one synchronous replica."""

    def missing(self, group, *candidates):
        holders = missing_holders(group, list(candidates))
        return [f"{one.name}{one.started_at_ms}" for one in holders]

    def test_an_instance_that_left_the_list_is_missing(self):
        """LOST: one that had left counted neither as a holder nor as missing."""
        group = succession()
        self.assertEqual(self.missing(group, candidate("c", 7)), ["a1", "b1"])
        self.assertFalse(is_complete(group, [candidate("c", 7)]))

    def test_the_former_primary_is_a_holder(self):
        group = succession()
        answers = [candidate("c", 7), candidate("a", 9, leads=True)]
        self.assertEqual(self.missing(group, *answers), ["b1"])
        self.assertTrue(is_complete(group, answers))

    def test_a_restarted_replica_has_lost_its_log(self):
        """LOST: one that came back empty counted like the process before."""
        restarted = replace(HOLDERS["b"], started_at_ms=2)
        group = succession(1, NAMES, restarted)
        answers = [candidate("b", 0, holder=restarted), candidate("c", 7)]
        self.assertEqual(self.missing(group, *answers), ["a1", "b1"])
        self.assertFalse(is_complete(group, answers))

    def test_a_restarted_primary_has_its_log_unless_another_is_ahead(self):
        restarted = replace(HOLDERS["a"], started_at_ms=2)
        group = succession(1, NAMES, restarted)
        back = candidate("a", 9, leads=True, holder=restarted)
        self.assertEqual(self.missing(group, back, candidate("c", 7)), ["b1"])
        empty = replace(back, received=P(1, 0))
        self.assertEqual(self.missing(group, empty, candidate("c", 7)), ["a1", "b1"])

    def test_the_log_of_a_draining_instance_goes_to_its_address(self):
        leaving = replace(HOLDERS["b"], draining=True)
        group = succession(1, "acd", leaving)
        heir = replace(HOLDERS["d"], address=leaving.address)
        answers = [candidate("d", 7, holder=heir), candidate("c", 7)]
        self.assertNotIn("b1", self.missing(group, *answers))
        crashed = succession(1, "abcd")
        self.assertIn("b1", self.missing(crashed, *answers))

    def test_an_answer_of_a_process_without_its_log_counts_for_none(self):
        group = succession()
        answers = [candidate("b", 0, holder=None), candidate("c", 7)]
        self.assertEqual(self.missing(group, *answers), ["a1", "b1"])


class DropTest(unittest.TestCase):
    """When a process that is gone no longer counts."""

    ABSENT = {("b", 1): 10.0, ("d", 1): 20.0}

    def test_enough_replicas_must_have_received_what_it_had(self):
        sample = Sample(15.0, P(1, 9))
        for received, synchronous, expected in (
            ([P(1, 8)], 1, set()),
            ([P(1, 9)], 1, {("b", 1)}),
            ([P(1, 9)], 2, set()),
            ([P(1, 9), P(2, 1)], 2, {("b", 1)}),
        ):
            dropped = droppable_holders(self.ABSENT, sample, received, synchronous)
            self.assertEqual(dropped, expected)

    def test_a_sample_from_before_it_was_gone_is_not_enough(self):
        """LOST: it may have received commits that came after the sample."""
        sample = Sample(9.9, P(1, 9))
        dropped = droppable_holders(self.ABSENT, sample, [P(1, 9)], 1)
        self.assertEqual(dropped, set())


class GroupHoldersTest(unittest.TestCase):
    def row(self, version, names):
        records = [
            HolderRecord(one.name, one.started_at_ms, one.address, one.draining)
            for one in map(HOLDERS.get, names)
        ]
        return Row("holders/g", encode_record(HoldersRecord(tuple(records))), version)

    def names(self, state):
        return "".join(sorted(name for name, _ in state.all))

    def test_a_process_that_leaves_stays_until_the_row_drops_it(self):
        state = GroupHolders()
        state.apply_row(None, 1)
        state.update([HOLDERS["a"], HOLDERS["b"]], 1.0)
        self.assertFalse(state.is_stored)
        state.update([HOLDERS["a"]], 2.0)
        self.assertEqual(self.names(state), "ab")
        state.apply_row(self.row(5, "ab"), 1)
        state.update([HOLDERS["a"]], 3.0)
        self.assertTrue(state.is_stored)
        self.assertEqual(state.absent, {("b", 1): 3.0})
        state.apply_row(self.row(6, "a"), 1)
        state.update([HOLDERS["a"]], 4.0)
        self.assertEqual(self.names(state), "a")

    def test_a_process_that_comes_back_is_not_absent(self):
        state = GroupHolders()
        state.apply_row(self.row(5, "ab"), 1)
        state.update([HOLDERS["a"]], 1.0)
        state.update([HOLDERS["a"], HOLDERS["b"]], 2.0)
        self.assertEqual(state.absent, {})
        state.update([HOLDERS["a"]], 3.0)
        self.assertEqual(state.absent, {("b", 1): 3.0})

    def test_an_older_copy_of_the_store_drops_nothing(self):
        """LOST: a restored row lacked a process that had left meanwhile."""
        state = GroupHolders()
        state.apply_row(self.row(5, "abc"), 1)
        state.update([HOLDERS["a"], HOLDERS["b"]], 1.0)
        state.apply_row(self.row(9, "ab"), 2)
        state.update([HOLDERS["a"], HOLDERS["b"]], 2.0)
        self.assertEqual(self.names(state), "abc")
        self.assertFalse(state.is_stored)

    def test_an_instance_that_begins_to_drain_is_stored_anew(self):
        state = GroupHolders()
        state.apply_row(self.row(5, "ab"), 1)
        draining = replace(HOLDERS["b"], draining=True)
        state.update([HOLDERS["a"], draining], 1.0)
        self.assertFalse(state.is_stored)
        self.assertTrue(state.all["b", 1].draining)


class CallTest(unittest.IsolatedAsyncioTestCase):
    """The call of the platform, with parts that the test makes."""

    async def call(self, check_time, kept=True):
        """Call the platform for an intent that began at 10.0; return the calls."""
        now = 12.2
        promotions = mock.AsyncMock()
        promotions.promote.return_value = True
        executor = ReplacementExecutor(
            *(None, promotions, None, mock.Mock(), (), None, None, None, mock.Mock())
        )

        async def ask(_cluster, name, _runtime):
            nonlocal now
            now += check_time
            return candidate(name, 9 if kept else 0)

        cluster = mock.Mock(instances={"b": None})
        cluster.group.synchronous = 1
        with (
            mock.patch.object(executor._finder, "_ask_candidate", ask),
            mock.patch.object(execution, "boot_clock", lambda: now),
        ):
            intent = Intent(3, 1, 10.0, 10.1)
            with suppress(ReplacementFailed):
                await executor._call_promote(cluster, candidate("b", 9), intent)
        return promotions.promote.await_count

    async def test_a_call_ends_before_another_daemon_may_take_over(self):
        """ONE: the time was read before the candidate was asked again."""
        self.assertEqual(await self.call(check_time=0.01), 1)
        self.assertEqual(await self.call(check_time=0.25), 0)

    async def test_a_candidate_that_lost_its_log_is_not_promoted(self):
        """LOST: it had restarted between its answer and the call."""
        self.assertEqual(await self.call(check_time=0.01, kept=False), 0)


class SynchronousSiteTest(unittest.IsolatedAsyncioTestCase):
    """A group with one synchronous replica, and daemons."""

    async def start(self, daemons=2, synchronous=1):
        self.site = Site(daemons=daemons, synchronous=synchronous)
        await self.site.__aenter__()
        self.addAsyncCleanup(self.site.__aexit__, None, None, None)
        self.group = self.site.group
        if synchronous:
            await self.site.until(
                lambda: self.site.store.get("cardamomdrift", "holders/g")
            )

    async def lose(self, instance):
        """End an instance for good; its entry leaves the list."""
        await instance.crash()
        self.site.store.remove("servers", instance.name)
        await self.site.until(
            lambda: all(
                instance.name not in daemon.clusters.get("g").instances
                for daemon in self.site.daemons.values()
            )
        )

    async def restart_daemons(self):
        names = list(self.site.daemons)
        for name in names:
            await self.site.kill(name)
        for name in names:
            await self.site.start(name)

    async def write_for(self, caller, seconds):
        """Write for some time, whatever is answered."""
        clock = asyncio.get_running_loop().time
        until = clock() + seconds
        while clock() < until:
            await caller.ask("WRITE b 2")
            await asyncio.sleep(0.05)

    async def write_until_served(self, caller):
        """Write until a write is served, for a limited time."""
        async with asyncio.timeout(RECOVERY_TIME):
            while not (await caller.ask("WRITE b 2"))[0].startswith("COMPLETE"):
                await asyncio.sleep(0.05)

    async def lose_the_only_holder(self, restarted):
        """Lose a replica that alone has a commit, and the primary for 4 s."""
        await self.start()
        first, holder, deaf = self.group.instances.values()
        deaf.faults.replication_stopped = True
        book = await self.site.caller("vm-1", "book")
        await book.ask("WRITE a 1")
        await self.lose(holder)
        await first.crash()
        if restarted:
            await self.restart_daemons()
            book = await self.site.caller("vm-1", "book")
        await self.write_for(book, 4.0)
        self.assertEqual(self.site.store.promotions, [])
        self.assertTrue(self.site.logged("acknowledged commits may be missing"))
        await first.start()
        await self.write_until_served(book)
        self.assertIn((1, "a", "1"), self.group.primary.log)

    async def test_commits_of_a_replica_that_left_the_list_are_not_lost(self):
        """LOST: the deaf replica was promoted when the other one had left the list."""
        await self.lose_the_only_holder(restarted=False)

    async def test_restarted_daemons_know_which_replicas_have_left(self):
        """LOST: after a restart nothing told of the replica that had left."""
        await self.lose_the_only_holder(restarted=True)

    async def kill_after_the_call(self, book, returns):
        """Crash the primary; kill all daemons once a replica has been promoted.

        Parameters
        ----------
        book : LineClient
        returns : bool
            Whether the former primary is back afterwards, as a replica.
        """
        former = self.group.primary
        never = mock.AsyncMock(side_effect=asyncio.Event().wait)
        with mock.patch.object(ReplacementExecutor, "_wait_until_primary", never):
            await former.crash()
            while not self.site.store.promotions:
                await book.ask("WRITE b 2")
            await self.site.until(lambda: self.group.primary is not former)
            await self.restart_daemons()
        former.primary, former.term = False, self.group.primary.term
        if returns:
            await former.start()

    async def recover_from_a_kill(self, returns):
        await self.start()
        book = await self.site.caller("vm-1", "book")
        await book.ask("WRITE a 1")
        await self.kill_after_the_call(book, returns)
        await self.write_until_served(await self.site.caller("vm-1", "book"))
        self.assertIn((1, "a", "1"), self.group.primary.log)

    async def test_a_replica_that_an_unfinished_replacement_promoted_leads(self):
        """RECOVER: it was left out, so that too few replicas answered for good."""
        await self.recover_from_a_kill(returns=False)

    async def test_a_former_primary_that_is_a_replica_now_counts(self):
        """RECOVER: it was left out, so that too few replicas answered for good."""
        await self.recover_from_a_kill(returns=True)

    async def test_the_last_replica_leads_after_an_unfinished_replacement(self):
        """RECOVER, no synchronous replicas: nothing was left to promote."""
        for returns in (False, True):
            with self.subTest(returns=returns):
                await self.start(synchronous=0)
                book = await self.site.caller("vm-1", "book")
                await self.lose(self.group.instances["g-2"])
                await self.kill_after_the_call(book, returns)
                await self.write_until_served(await self.site.caller("vm-1", "book"))

    async def test_a_former_primary_leads_if_all_replicas_are_lost(self):
        """RECOVER: the group had no instance to promote, though one had all commits."""
        for synchronous in (0, 1):
            with self.subTest(synchronous=synchronous):
                await self.start(synchronous=synchronous)
                first, *replicas = self.group.instances.values()
                book = await self.site.caller("vm-1", "book")
                await book.ask("WRITE a 1")
                await first.crash()
                await self.write_for(book, 0.3)
                for replica in replicas:
                    replica.faults.silent = True
                await self.write_for(book, 1.0)
                await asyncio.gather(*map(self.lose, replicas))
                await first.start()
                await self.write_until_served(book)
                self.assertEqual(self.group.primary.log[0], (1, "a", "1"))

    async def test_a_replica_that_left_is_forgotten_when_another_has_its_log(self):
        """RECOVER: the group would wait for it at the next replacement."""
        await self.start()
        first, holder, other = self.group.instances.values()
        book = await self.site.caller("vm-1", "book")
        await book.ask("WRITE a 1")
        await self.lose(holder)
        await self.site.until(lambda: self.site.logged("log no longer needed"), 8)
        await self.site.until(
            lambda: (
                holder.name.encode()
                not in self.site.store.get("cardamomdrift", "holders/g")
            )
        )
        self.assertIn(
            first.name.encode(), self.site.store.get("cardamomdrift", "holders/g")
        )


if __name__ == "__main__":
    unittest.main()
