"""Promises of the daemons: who counts, how old, and who may be silent."""

import unittest
from types import SimpleNamespace
from unittest import mock

import structlog

from cardamomdrift.failover.execution import ReplacementExecutor, ReplacementFailed
from cardamomdrift.failover.leadership import Leadership
from cardamomdrift.failover.permission import (
    ECHO_TIMEOUT,
    PERMISSION_VALIDITY,
    SILENT_DAEMON_TIMEOUT,
    Permission,
    promised_until,
)
from cardamomdrift.membership.control import REMOVAL_TIMEOUT
from cardamomdrift.membership.instance_list import InstanceList
from cardamomdrift.peers.announcer import Announcer
from cardamomdrift.peers.heartbeat import Heartbeat, hash_members
from cardamomdrift.peers.roster import Roster

NAMES = ("a", "b", "c", "d")


def heartbeat(sender, stamp, *, echo=None, held=0.0, members=NAMES, **changes):
    """A heartbeat to daemon ``a``; times in seconds."""
    known = {name: f"address-{name}" for name in members}
    values = {
        "sender": sender,
        "incarnation": "i1",
        "stamp": round(stamp * 1000),
        "echo_incarnation": "" if echo is None else "mine",
        "echo": 0 if echo is None else round(echo * 1000),
        "echo_delay_ms": round(held * 1000),
        "members_digest": hash_members(known),
        "members": known,
        "confirmed_age_ms": 20_000,
        "listed": True,
        "store_reachable": True,
        "version": 1,
        "list_changed": 0,
        "list_age_ms": 0,
        "leaving": False,
        "leaders_digest": 0,
        "groups": {},
    }
    return Heartbeat(**(values | changes))


def roster(now=0.0):
    one = Roster("a", "address-a", "mine", now)
    for name in NAMES[1:]:
        one.add(name, f"address-{name}", now)
    return one


class PromiseTest(unittest.TestCase):
    def test_all_must_have_promised(self):
        one = roster()
        for name in ("b", "c", "d"):
            one.apply_heartbeat(heartbeat(name, 10.0, echo=9.9), 10.0)
        self.assertAlmostEqual(promised_until(one, 10.0), 9.9 + PERMISSION_VALIDITY)

    def test_a_promise_is_as_old_as_its_echo_says_whenever_it_comes(self):
        one = roster()
        for name in ("b", "c", "d"):
            one.apply_heartbeat(heartbeat(name, 10.0, echo=5.0, held=0.5), 30.0)
        self.assertLess(promised_until(one, 30.0), 30.0)

    def test_no_echo_no_promise(self):
        one = roster()
        for name in ("b", "c", "d"):
            one.apply_heartbeat(heartbeat(name, 10.0), 10.0)
        self.assertLess(promised_until(one, 10.0), 10.0)

    def test_one_may_be_silent_for_a_while(self):
        one = roster()
        for name in ("b", "c", "d"):
            one.apply_heartbeat(heartbeat(name, 10.0, echo=10.0), 10.0)
        for name in ("b", "c"):
            one.apply_heartbeat(heartbeat(name, 14.0, echo=14.0), 14.0)
        self.assertAlmostEqual(promised_until(one, 14.0), 14.0 + PERMISSION_VALIDITY)
        for name in ("b", "c"):
            one.apply_heartbeat(heartbeat(name, 15.5, echo=15.5), 15.5)
        self.assertAlmostEqual(promised_until(one, 15.5), 10.0 + SILENT_DAEMON_TIMEOUT)

    def test_two_may_not(self):
        one = roster()
        for name in ("b", "c", "d"):
            one.apply_heartbeat(heartbeat(name, 10.0, echo=10.0), 10.0)
        one.apply_heartbeat(heartbeat("b", 12.0, echo=12.0), 12.0)
        self.assertLess(promised_until(one, 12.0), 12.0)

    def test_of_two_daemons_none_may_be_silent(self):
        one = Roster("a", "address-a", "mine", 0.0)
        one.apply_heartbeat(heartbeat("b", 10.0, echo=10.0, members=("a", "b")), 10.0)
        self.assertAlmostEqual(promised_until(one, 12.0), 10.0 + PERMISSION_VALIDITY)

    def test_whom_a_peer_counts_counts_here_too(self):
        one = Roster("a", "address-a", "mine", 0.0)
        for name in ("b", "c"):
            one.apply_heartbeat(
                heartbeat(name, 10.0, echo=10.0, members=(*NAMES, "e")), 10.0
            )
        self.assertLess(promised_until(one, 10.0), 10.0)

    def test_a_peer_that_does_not_count_us_promises_nothing(self):
        one = Roster("a", "address-a", "mine", 0.0)
        one.apply_heartbeat(heartbeat("b", 10.0, echo=10.0, members=("b",)), 10.0)
        self.assertLess(promised_until(one, 10.0), 10.0)

    def test_a_peer_that_leaves_needs_no_further_promise(self):
        one = Roster("a", "address-a", "mine", 0.0)
        one.apply_heartbeat(
            heartbeat("b", 10.0, echo=10.0, members=("a", "b"), leaving=True), 10.0
        )
        self.assertGreater(promised_until(one, 60.0), 60.0)

    def test_alone_only_the_store_counts(self):
        permission = Permission(Roster("a", "address-a", "mine", 0.0))
        permission.extend_by_promises(5.0)
        self.assertFalse(permission.holds(5.0))
        permission.record_store_read(5.0)
        self.assertTrue(permission.holds(6.0))
        self.assertFalse(permission.holds(5.0 + PERMISSION_VALIDITY))

    def test_a_suspension_ends_it(self):
        one = roster()
        permission = Permission(one)
        permission.record_store_read(1.0)
        for name in ("b", "c", "d"):
            one.apply_heartbeat(heartbeat(name, 10.0, echo=10.0), 10.0)
        permission.extend_by_promises(10.0)
        self.assertTrue(permission.holds(10.5))
        self.assertFalse(permission.holds(13.5))

    def test_what_was_promised_holds_when_more_daemons_become_known(self):
        one = roster()
        permission = Permission(one)
        permission.record_store_read(1.0)
        for name in ("b", "c", "d"):
            one.apply_heartbeat(heartbeat(name, 10.0, echo=10.0), 10.0)
        permission.extend_by_promises(10.0)
        one.add("e", "address-e", 10.1)
        permission.extend_by_promises(10.1)
        self.assertTrue(permission.holds(10.2))

    def test_daemons_that_never_saw_the_store_promise_nothing(self):
        one = roster()
        permission = Permission(one)
        for name in ("b", "c", "d"):
            one.apply_heartbeat(heartbeat(name, 10.0, echo=10.0), 10.0)
        permission.extend_by_promises(10.0)
        self.assertFalse(permission.holds(10.0))
        permission.record_store_read(1.0)
        permission.extend_by_promises(10.0)
        self.assertTrue(permission.holds(10.0))
        for name in ("b", "c", "d"):
            message = heartbeat(name, 15.0, echo=15.0, confirmed_age_ms=None)
            one.apply_heartbeat(message, 15.0)
        permission.extend_by_promises(15.0)
        self.assertFalse(permission.holds(15.0))

    def test_removal_comes_after_the_last_reliance(self):
        self.assertGreater(REMOVAL_TIMEOUT, SILENT_DAEMON_TIMEOUT + ECHO_TIMEOUT)

    def test_a_relayed_read_counts_from_its_beginning_and_if_it_lists_us(self):
        for listed, expected in ((True, 9.5 + PERMISSION_VALIDITY), (False, 9.0)):
            one = roster()
            permission = Permission(one)
            message = heartbeat(
                "b", 10.0, echo=9.9, confirmed_age_ms=400, listed=listed
            )
            one.apply_heartbeat(message, 10.0)
            permission.record_relayed_read(one.peers["b"])
            self.assertLessEqual(permission.until, expected)
            self.assertEqual(permission.holds(10.5), listed)


class RosterTest(unittest.TestCase):
    def test_a_late_datagram_changes_nothing(self):
        one = roster()
        self.assertTrue(one.apply_heartbeat(heartbeat("b", 10.0, echo=10.0), 10.0))
        self.assertFalse(one.apply_heartbeat(heartbeat("b", 9.0, echo=9.0), 10.1))

    def test_a_restarted_daemon_has_to_know_us_anew(self):
        one = roster()
        one.apply_heartbeat(heartbeat("b", 10.0, echo=10.0), 10.0)
        self.assertTrue(one.peers["b"].has_echoed)
        one.apply_heartbeat(heartbeat("b", 1.0, incarnation="i2"), 10.1)
        self.assertFalse(one.peers["b"].has_echoed)
        self.assertIsNone(one.peers["b"].earliest_sent_at)

    def test_names_left_out_mean_the_receivers_own(self):
        one = roster()
        one.apply_heartbeat(heartbeat("b", 10.0, echo=10.0), 10.0)
        message = heartbeat("b", 10.1, echo=10.1)
        one.apply_heartbeat(
            replace_members(message, None, message.members_digest), 10.1
        )
        self.assertEqual(set(one.peers["b"].members), set(NAMES))
        one.apply_heartbeat(replace_members(message, None, 12345), 10.2)
        self.assertEqual(one.peers["b"].members, {})

    def test_a_row_that_is_gone_drops_its_daemon(self):
        one = roster(now=1.0)
        registered = {name: f"address-{name}" for name in ("a", "b", "c")}
        self.assertTrue(one.apply_registered(registered, 20.0))
        self.assertEqual(one.names, ("a", "b", "c"))
        self.assertEqual(one.dropped_at, 20.0)
        self.assertFalse(one.apply_registered(registered, 21.0))


def replace_members(message, members, members_digest):
    values = {name: getattr(message, name) for name in message.__struct_fields__}
    return Heartbeat(
        **(values | {"members": members, "members_digest": members_digest})
    )


class AnnouncerTest(unittest.TestCase):
    def test_a_daemon_not_heard_for_long_gets_no_echo(self):
        sent = {}
        one = roster()
        control = SimpleNamespace(registered_names=set(NAMES), reachable=True)
        announcer = Announcer(
            one,
            Permission(one),
            control,
            (),
            mock.Mock(version=1),
            InstanceList(lambda: 0.0),
            None,
            None,
        )
        announcer.use_port(
            SimpleNamespace(send=lambda address, beat: sent.update({address: beat}))
        )
        one.apply_heartbeat(heartbeat("b", 10.0, echo=10.0), 10.0)
        for now, expected in ((10.0 + ECHO_TIMEOUT, "i1"), (10.1 + ECHO_TIMEOUT, "")):
            with mock.patch("cardamomdrift.peers.announcer.boot_clock", lambda: now):
                announcer.send_all()
            self.assertEqual(sent["address-b"].echo_incarnation, expected)


class KnownTest(unittest.TestCase):
    def test_who_is_not_counted_by_all_may_not_replace(self):
        one = roster()
        control = SimpleNamespace(registered_names=set(NAMES))
        log = structlog.get_logger()
        executor = ReplacementExecutor(None, None, control, one, (), None, None, log)
        for name in ("b", "c"):
            one.apply_heartbeat(heartbeat(name, 10.0, echo=10.0), 10.0)
        one.apply_heartbeat(heartbeat("d", 10.0), 10.0)
        with self.assertRaises(ReplacementFailed):
            executor._check_counted_by_all()
        one.apply_heartbeat(heartbeat("d", 10.1, echo=10.1), 10.1)
        executor._check_counted_by_all()


class LeadershipTest(unittest.TestCase):
    def test_only_newer_records_are_taken(self):
        lead = Leadership("g")
        cases = (
            (1, False, True),
            (1, False, False),
            (0, True, False),
            (1, True, True),
            (1, False, False),
            (3, True, True),
            (2, True, False),
        )
        for generation, settled, expected in cases:
            taken = lead.adopt(generation, settled, 1, "p", 1.0)
            self.assertEqual(taken, expected, (generation, settled))

    def test_answers_of_a_leaving_primary_count_until_it_is_released(self):
        lead = Leadership("g", primary="p")
        self.assertTrue(lead.accepts_answer("p", 0, 1.0))
        lead.adopt(1, False, 1, "p", 1.0)
        lead.drain_until = 2.0
        self.assertTrue(lead.accepts_answer("p", 0, 1.5))
        self.assertFalse(lead.accepts_answer("p", 0, 2.5))
        lead.released = 1
        self.assertFalse(lead.accepts_answer("p", 0, 1.5))
        lead.adopt(1, True, 2, "q", 3.0)
        self.assertFalse(lead.accepts_answer("p", 0, 3.0))
        self.assertFalse(lead.accepts_answer("q", 0, 3.0))
        self.assertTrue(lead.accepts_answer("q", 1, 3.0))


if __name__ == "__main__":
    unittest.main()
