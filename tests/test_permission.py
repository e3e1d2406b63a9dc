"""
Tests of the permission
=======================

Which promises count and how long, and the roster, announcer and leadership that they
depend on.
"""

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


def make_heartbeat(
    sender, stamp, *, echo=None, echo_delay=0.0, members=NAMES, **changes
):
    """Return a heartbeat to daemon ``a``; times are in seconds.

    Parameters
    ----------
    sender : str
    stamp : float
        Time of the sender's clock at which it is sent.
    echo : float, optional
        Stamp of ``a`` that it echoes; by default it echoes none.
    echo_delay : float
        Time from the arrival of that stamp until the heartbeat is sent.
    members : sequence of str
        Daemons that the sender counts.
    **changes
        Fields that differ from their defaults here.
    """
    addresses = {name: f"address-{name}" for name in members}
    fields = {
        "sender": sender,
        "incarnation": "i1",
        "stamp": round(stamp * 1000),
        "echo_incarnation": "" if echo is None else "mine",
        "echo": 0 if echo is None else round(echo * 1000),
        "echo_delay_ms": round(echo_delay * 1000),
        "members_digest": hash_members(addresses),
        "members": addresses,
        "confirmed_age_ms": 20_000,
        "listed": True,
        "store_reachable": True,
        "version": 1,
        "list_changed": 0,
        "list_age_ms": 0,
        "leaving": False,
        "leaderships_digest": 0,
        "groups": {},
    }
    return Heartbeat(**(fields | changes))


def make_roster(now=0.0):
    """Return the roster of daemon ``a`` that counts all daemons in ``NAMES``."""
    roster = Roster("a", "address-a", "mine", now)
    for name in NAMES[1:]:
        roster.add(name, f"address-{name}", now)
    return roster


class PromiseTest(unittest.TestCase):
    def test_all_must_have_promised(self):
        roster = make_roster()
        for name in ("b", "c", "d"):
            roster.apply_heartbeat(make_heartbeat(name, 10.0, echo=9.9), 10.0)
        self.assertAlmostEqual(promised_until(roster, 10.0), 9.9 + PERMISSION_VALIDITY)

    def test_a_promise_dates_from_the_echoed_stamp(self):
        roster = make_roster()
        for name in ("b", "c", "d"):
            roster.apply_heartbeat(
                make_heartbeat(name, 10.0, echo=5.0, echo_delay=0.5), 30.0
            )
        self.assertLess(promised_until(roster, 30.0), 30.0)

    def test_a_heartbeat_without_an_echo_is_no_promise(self):
        roster = make_roster()
        for name in ("b", "c", "d"):
            roster.apply_heartbeat(make_heartbeat(name, 10.0), 10.0)
        self.assertLess(promised_until(roster, 10.0), 10.0)

    def test_one_daemon_may_be_silent_for_a_while(self):
        roster = make_roster()
        for name in ("b", "c", "d"):
            roster.apply_heartbeat(make_heartbeat(name, 10.0, echo=10.0), 10.0)
        for name in ("b", "c"):
            roster.apply_heartbeat(make_heartbeat(name, 14.0, echo=14.0), 14.0)
        self.assertAlmostEqual(promised_until(roster, 14.0), 14.0 + PERMISSION_VALIDITY)
        for name in ("b", "c"):
            roster.apply_heartbeat(make_heartbeat(name, 15.5, echo=15.5), 15.5)
        self.assertAlmostEqual(
            promised_until(roster, 15.5), 10.0 + SILENT_DAEMON_TIMEOUT
        )

    def test_two_daemons_may_not_be_silent(self):
        roster = make_roster()
        for name in ("b", "c", "d"):
            roster.apply_heartbeat(make_heartbeat(name, 10.0, echo=10.0), 10.0)
        roster.apply_heartbeat(make_heartbeat("b", 12.0, echo=12.0), 12.0)
        self.assertLess(promised_until(roster, 12.0), 12.0)

    def test_of_two_daemons_none_may_be_silent(self):
        roster = Roster("a", "address-a", "mine", 0.0)
        roster.apply_heartbeat(
            make_heartbeat("b", 10.0, echo=10.0, members=("a", "b")), 10.0
        )
        self.assertAlmostEqual(promised_until(roster, 12.0), 10.0 + PERMISSION_VALIDITY)

    def test_a_daemon_that_a_peer_counts_must_promise_too(self):
        roster = Roster("a", "address-a", "mine", 0.0)
        for name in ("b", "c"):
            roster.apply_heartbeat(
                make_heartbeat(name, 10.0, echo=10.0, members=(*NAMES, "e")), 10.0
            )
        self.assertLess(promised_until(roster, 10.0), 10.0)

    def test_a_peer_that_does_not_count_this_daemon_promises_nothing(self):
        roster = Roster("a", "address-a", "mine", 0.0)
        roster.apply_heartbeat(
            make_heartbeat("b", 10.0, echo=10.0, members=("b",)), 10.0
        )
        self.assertLess(promised_until(roster, 10.0), 10.0)

    def test_no_further_promise_of_a_leaving_peer_is_needed(self):
        roster = Roster("a", "address-a", "mine", 0.0)
        roster.apply_heartbeat(
            make_heartbeat("b", 10.0, echo=10.0, members=("a", "b"), leaving=True), 10.0
        )
        self.assertGreater(promised_until(roster, 60.0), 60.0)

    def test_a_single_daemon_relies_on_store_reads_only(self):
        permission = Permission(Roster("a", "address-a", "mine", 0.0))
        permission.extend_by_promises(5.0)
        self.assertFalse(permission.holds(5.0))
        permission.record_store_read(5.0)
        self.assertTrue(permission.holds(6.0))
        self.assertFalse(permission.holds(5.0 + PERMISSION_VALIDITY))

    def test_a_suspension_ends_the_permission(self):
        roster = make_roster()
        permission = Permission(roster)
        permission.record_store_read(1.0)
        for name in ("b", "c", "d"):
            roster.apply_heartbeat(make_heartbeat(name, 10.0, echo=10.0), 10.0)
        permission.extend_by_promises(10.0)
        self.assertTrue(permission.holds(10.5))
        self.assertFalse(permission.holds(13.5))

    def test_a_newly_known_daemon_does_not_end_the_permission(self):
        roster = make_roster()
        permission = Permission(roster)
        permission.record_store_read(1.0)
        for name in ("b", "c", "d"):
            roster.apply_heartbeat(make_heartbeat(name, 10.0, echo=10.0), 10.0)
        permission.extend_by_promises(10.0)
        roster.add("e", "address-e", 10.1)
        permission.extend_by_promises(10.1)
        self.assertTrue(permission.holds(10.2))

    def test_daemons_without_a_store_read_promise_nothing(self):
        roster = make_roster()
        permission = Permission(roster)
        for name in ("b", "c", "d"):
            roster.apply_heartbeat(make_heartbeat(name, 10.0, echo=10.0), 10.0)
        permission.extend_by_promises(10.0)
        self.assertFalse(permission.holds(10.0))
        permission.record_store_read(1.0)
        permission.extend_by_promises(10.0)
        self.assertTrue(permission.holds(10.0))
        for name in ("b", "c", "d"):
            heartbeat = make_heartbeat(name, 15.0, echo=15.0, confirmed_age_ms=None)
            roster.apply_heartbeat(heartbeat, 15.0)
        permission.extend_by_promises(15.0)
        self.assertFalse(permission.holds(15.0))

    def test_a_removal_comes_after_the_longest_permission(self):
        self.assertGreater(REMOVAL_TIMEOUT, SILENT_DAEMON_TIMEOUT + ECHO_TIMEOUT)

    def test_a_relayed_read_counts_from_its_start_if_it_lists_this_daemon(self):
        for listed, expected in ((True, 9.5 + PERMISSION_VALIDITY), (False, 9.0)):
            roster = make_roster()
            permission = Permission(roster)
            heartbeat = make_heartbeat(
                "b", 10.0, echo=9.9, confirmed_age_ms=400, listed=listed
            )
            roster.apply_heartbeat(heartbeat, 10.0)
            permission.record_relayed_read(roster.peers["b"])
            self.assertLessEqual(permission.until, expected)
            self.assertEqual(permission.holds(10.5), listed)


class RosterTest(unittest.TestCase):
    def test_a_late_datagram_changes_nothing(self):
        roster = make_roster()
        self.assertTrue(
            roster.apply_heartbeat(make_heartbeat("b", 10.0, echo=10.0), 10.0)
        )
        self.assertFalse(
            roster.apply_heartbeat(make_heartbeat("b", 9.0, echo=9.0), 10.1)
        )

    def test_a_restarted_daemon_must_echo_again(self):
        roster = make_roster()
        roster.apply_heartbeat(make_heartbeat("b", 10.0, echo=10.0), 10.0)
        self.assertTrue(roster.peers["b"].has_echoed)
        roster.apply_heartbeat(make_heartbeat("b", 1.0, incarnation="i2"), 10.1)
        self.assertFalse(roster.peers["b"].has_echoed)
        self.assertIsNone(roster.peers["b"].earliest_sent_at)

    def test_omitted_members_equal_the_receivers_if_the_digest_matches(self):
        roster = make_roster()
        roster.apply_heartbeat(make_heartbeat("b", 10.0, echo=10.0), 10.0)
        heartbeat = make_heartbeat("b", 10.1, echo=10.1)
        roster.apply_heartbeat(
            replace_members(heartbeat, None, heartbeat.members_digest), 10.1
        )
        self.assertEqual(set(roster.peers["b"].members), set(NAMES))
        roster.apply_heartbeat(replace_members(heartbeat, None, 12345), 10.2)
        self.assertEqual(roster.peers["b"].members, {})

    def test_a_daemon_without_a_row_is_dropped(self):
        roster = make_roster(now=1.0)
        registered = {name: f"address-{name}" for name in ("a", "b", "c")}
        self.assertTrue(roster.apply_registered(registered, 20.0))
        self.assertEqual(roster.names, ("a", "b", "c"))
        self.assertEqual(roster.dropped_at, 20.0)
        self.assertFalse(roster.apply_registered(registered, 21.0))


def replace_members(heartbeat, members, members_digest):
    """Return a copy of a heartbeat with other members; None stands for omitted ones."""
    fields = {name: getattr(heartbeat, name) for name in heartbeat.__struct_fields__}
    return Heartbeat(
        **(fields | {"members": members, "members_digest": members_digest})
    )


class AnnouncerTest(unittest.TestCase):
    def test_a_daemon_not_heard_for_long_gets_no_echo(self):
        sent = {}
        roster = make_roster()
        control = SimpleNamespace(registered_names=set(NAMES), reachable=True)
        announcer = Announcer(
            roster,
            Permission(roster),
            control,
            (),
            mock.Mock(version=1),
            InstanceList(lambda: 0.0),
            None,
            None,
        )
        announcer.use_port(
            SimpleNamespace(
                send=lambda address, heartbeat: sent.update({address: heartbeat})
            )
        )
        roster.apply_heartbeat(make_heartbeat("b", 10.0, echo=10.0), 10.0)
        for now, expected in ((10.0 + ECHO_TIMEOUT, "i1"), (10.1 + ECHO_TIMEOUT, "")):
            with mock.patch("cardamomdrift.peers.announcer.boot_clock", lambda: now):
                announcer.send_all()
            self.assertEqual(sent["address-b"].echo_incarnation, expected)


class CountedByAllTest(unittest.TestCase):
    def test_a_daemon_not_counted_by_all_may_not_replace(self):
        roster = make_roster()
        control = SimpleNamespace(registered_names=set(NAMES))
        log = structlog.get_logger()
        executor = ReplacementExecutor(None, None, control, roster, (), None, None, log)
        for name in ("b", "c"):
            roster.apply_heartbeat(make_heartbeat(name, 10.0, echo=10.0), 10.0)
        roster.apply_heartbeat(make_heartbeat("d", 10.0), 10.0)
        with self.assertRaises(ReplacementFailed):
            executor._check_counted_by_all()
        roster.apply_heartbeat(make_heartbeat("d", 10.1, echo=10.1), 10.1)
        executor._check_counted_by_all()


class LeadershipTest(unittest.TestCase):
    def test_only_newer_records_are_adopted(self):
        leadership = Leadership("g")
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
            adopted = leadership.adopt(generation, settled, 1, "p", 1.0)
            self.assertEqual(adopted, expected, (generation, settled))

    def test_answers_of_a_leaving_primary_count_until_it_is_released(self):
        leadership = Leadership("g", primary="p")
        self.assertTrue(leadership.accepts_answer("p", 0, 1.0))
        leadership.adopt(1, False, 1, "p", 1.0)
        leadership.drain_until = 2.0
        self.assertTrue(leadership.accepts_answer("p", 0, 1.5))
        self.assertFalse(leadership.accepts_answer("p", 0, 2.5))
        leadership.released = 1
        self.assertFalse(leadership.accepts_answer("p", 0, 1.5))
        leadership.adopt(1, True, 2, "q", 3.0)
        self.assertFalse(leadership.accepts_answer("p", 0, 3.0))
        self.assertFalse(leadership.accepts_answer("q", 0, 3.0))
        self.assertTrue(leadership.accepts_answer("q", 1, 3.0))


if __name__ == "__main__":
    unittest.main()
