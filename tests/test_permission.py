"""
Tests of the permission
=======================

Which promises count and how long, and the roster, announcer and leadership that they
depend on.
"""

import unittest
from types import SimpleNamespace
from unittest import mock

import msgspec
import structlog

from cardamomdrift.failover.execution import ReplacementExecutor, ReplacementFailed
from cardamomdrift.failover.leadership import Leadership
from cardamomdrift.failover.permission import (
    ECHO_TIMEOUT,
    PERMISSION_VALIDITY,
    STORE_READ_VALIDITY,
    Permission,
    promised_until,
)
from cardamomdrift.membership.instance_list import InstanceList
from cardamomdrift.peers.announcer import Announcer
from cardamomdrift.peers.heartbeat import (
    HEARTBEAT_FORMAT,
    Heartbeat,
    HeartbeatPort,
    hash_members,
)
from cardamomdrift.peers.roster import HEARD_HOLD_TIME, Roster

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
        "format": HEARTBEAT_FORMAT,
        "sender": sender,
        "incarnation": "i1",
        "stamp": round(stamp * 1000),
        "echo_incarnation": "" if echo is None else "mine",
        "echo": 0 if echo is None else round(echo * 1000),
        "echo_delay_ms": round(echo_delay * 1000),
        "members_digest": hash_members(addresses),
        "members": addresses,
        "epoch": 1,
        "voters": None,
        "promised_epoch": 1,
        "confirmed_age_ms": 20_000,
        "listed": True,
        "store_reachable": True,
        "version": 1,
        "list_changed": 0,
        "list_age_ms": 0,
        "stopping": False,
        "leaving": False,
        "leaderships_digest": 0,
        "groups": {},
        "silent": None,
    }
    return Heartbeat(**(fields | changes))


def make_roster(now=0.0, voters=NAMES):
    """Return the roster of daemon ``a`` that counts all daemons in ``NAMES``.

    Parameters
    ----------
    now : float
    voters : sequence of str
        The voters in epoch 1, which ``a`` has read from the store.
    """
    roster = Roster("a", "address-a", "mine", now)
    for name in NAMES[1:]:
        roster.add(name, f"address-{name}", now)
    roster.adopt_voters(1, voters, now)
    roster.confirmed_epoch = 1
    return roster


def receive(roster, names, at, **changes):
    """Let a roster receive a heartbeat from each of some daemons that echoes ``at``."""
    for name in names:
        roster.apply_heartbeat(make_heartbeat(name, at, echo=at, **changes), at)


class PromiseTest(unittest.TestCase):
    def test_all_voters_but_the_tolerated_losses_must_have_promised(self):
        for voters, needed in (
            (("b",), 1),
            (("b", "c"), 2),
            (("b", "c", "d"), 2),
            (NAMES[1:] + ("e",), 3),
            (NAMES[1:] + ("e", "f"), 3),
        ):
            for promising in range(len(voters) + 1):
                with self.subTest(voters=voters, promising=promising):
                    roster = make_roster(voters=voters)
                    for name in voters:
                        roster.add(name, f"address-{name}", 0.0)
                    receive(roster, voters[:promising], 10.0)
                    until = promised_until(roster, 10.0)
                    self.assertEqual(until > 10.0, promising >= needed)

    def test_a_voter_counts_its_own_promise(self):
        roster = make_roster(voters=("a", "b", "c"))
        receive(roster, ("b",), 10.0)
        self.assertAlmostEqual(promised_until(roster, 10.0), 10.0 + PERMISSION_VALIDITY)
        roster.confirmed_epoch = 0
        self.assertLess(promised_until(roster, 10.0), 10.0)

    def test_an_epoch_is_confirmed_by_a_voter_that_knows_no_more(self):
        """Guards against writes that stop if the store is lost right after a change.

        The other voters learn of the new epoch by heartbeat, and cannot read it.
        """
        roster = make_roster(voters=("a", "b", "c"))
        roster.adopt_voters(2, ("a", "b", "c"), 9.0)
        knowing = make_heartbeat(
            "b", 10.0, epoch=2, promised_epoch=2, leaderships_digest=7
        )
        not_promising = make_heartbeat(
            "b", 10.0, epoch=2, promised_epoch=0, leaderships_digest=7
        )
        self.assertFalse(roster.confirm_epoch(not_promising, 7))
        self.assertFalse(roster.confirm_epoch(knowing, 8))
        self.assertEqual(roster.promised_epoch, 0)
        self.assertTrue(roster.confirm_epoch(knowing, 7))
        self.assertEqual(roster.promised_epoch, 2)

    def test_a_restarted_voter_confirms_no_epoch_before_it_reads_the_store(self):
        roster = Roster("a", "address-a", "mine", 0.0)
        roster.adopt_voters(1, ("a", "b", "c"), 0.0)
        self.assertFalse(roster.confirm_epoch(make_heartbeat("b", 10.0), 0))

    def test_daemons_that_are_no_voters_promise_nothing(self):
        roster = make_roster(voters=("c", "d"))
        receive(roster, ("b", "c"), 10.0)
        self.assertLess(promised_until(roster, 10.0), 10.0)

    def test_promises_of_another_epoch_do_not_count(self):
        for promised_epoch in (0, 2):
            roster = make_roster()
            receive(roster, NAMES[1:], 10.0, promised_epoch=promised_epoch)
            self.assertLess(promised_until(roster, 10.0), 10.0)

    def test_without_voters_there_are_no_promises(self):
        roster = Roster("a", "address-a", "mine", 0.0)
        receive(roster, ("b", "c"), 10.0, promised_epoch=0)
        self.assertLess(promised_until(roster, 10.0), 10.0)

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

    def test_silent_voters_are_tolerated_without_a_limit(self):
        roster = make_roster()
        receive(roster, ("b", "c", "d"), 10.0)
        receive(roster, ("b", "c"), 30.0)
        self.assertAlmostEqual(promised_until(roster, 30.0), 30.0 + PERMISSION_VALIDITY)

    def test_a_store_read_bounds_the_promises(self):
        roster = make_roster(voters=("a",))
        permission = Permission(roster)
        permission.extend_by_promises(5.0)
        self.assertFalse(permission.holds(5.0))
        permission.record_store_read(5.0)
        permission.extend_by_promises(5.0 + STORE_READ_VALIDITY)
        self.assertFalse(permission.holds(5.0 + STORE_READ_VALIDITY))
        self.assertTrue(permission.holds(4.9 + STORE_READ_VALIDITY))

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
        receive(roster, ("b", "c", "d"), 15.0, promised_epoch=0)
        permission.extend_by_promises(15.0)
        self.assertFalse(permission.holds(15.0))

    def test_a_daemon_is_counted_for_longer_than_it_may_rely_on_this_one(self):
        self.assertGreater(HEARD_HOLD_TIME, ECHO_TIMEOUT + PERMISSION_VALIDITY)

    def test_a_relayed_read_of_unknown_voters_does_not_count(self):
        roster = make_roster()
        permission = Permission(roster)
        receive(roster, ("b",), 10.0, confirmed_age_ms=400, epoch=2)
        permission.record_relayed_read(roster.peers["b"])
        self.assertFalse(permission.holds(10.0))

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

    def test_a_daemon_without_a_row_is_dropped(self):
        roster = make_roster(now=1.0)
        registered = {name: f"address-{name}" for name in ("a", "b", "c")}
        self.assertTrue(roster.apply_registered(registered, 20.0))
        self.assertEqual(roster.names, ("a", "b", "c"))
        self.assertEqual(roster.dropped_at, 20.0)
        self.assertFalse(roster.apply_registered(registered, 21.0))

    def test_a_daemon_that_is_heard_is_counted_without_a_row(self):
        roster = make_roster(now=1.0)
        receive(roster, ("d",), 20.0)
        registered = {name: f"address-{name}" for name in ("a", "b", "c")}
        self.assertFalse(roster.apply_registered(registered, 20.0 + HEARD_HOLD_TIME))
        self.assertTrue(roster.apply_registered(registered, 20.1 + HEARD_HOLD_TIME))
        self.assertEqual(roster.names, ("a", "b", "c"))

    def test_only_voters_exchange_heartbeats_with_all(self):
        roster = make_roster(voters=("c", "d"))
        self.assertEqual({peer.name for peer in roster.correspondents()}, {"c", "d"})
        roster.adopt_voters(2, ("a", "c"), 1.0)
        self.assertEqual({peer.name for peer in roster.correspondents()}, {*NAMES[1:]})
        self.assertFalse(roster.adopt_voters(1, ("d",), 2.0))
        self.assertTrue(roster.is_voter)

    def test_daemons_that_a_voter_reports_as_silent_are_left_out(self):
        roster = make_roster(voters=("b", "c"))
        receive(roster, ("b",), 10.0, silent=("d",))
        self.assertEqual(set(roster.reachable_peers(10.1, 1.0)), {"b", "c"})
        self.assertEqual(set(roster.reachable_peers(20.0, 1.0)), {"b", "c", "d"})


class AnnouncerTest(unittest.TestCase):
    def test_a_daemon_not_heard_for_long_gets_no_echo(self):
        sent = {}
        roster = make_roster()
        control = SimpleNamespace(
            registered_names=set(NAMES), reachable=True, confirmed_at=None
        )
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


class HeartbeatPortTest(unittest.TestCase):
    def test_datagrams_that_are_malformed_or_of_another_format_are_dropped(self):
        received, warnings = [], []
        log = SimpleNamespace(warning=lambda event, **_: warnings.append(event))
        port = HeartbeatPort("127.0.0.1", 1, lambda *args: received.append(args), log)
        valid = make_heartbeat("b", 1.0)
        other = make_heartbeat("b", 1.0, format=HEARTBEAT_FORMAT + 1)
        encode = msgspec.msgpack.encode
        cases = (b"", b"\xff" * 40, encode({"sender": 1}), encode([1, 2]))
        for data in (*cases, encode(other), encode(valid)):
            port._receive(data, "127.0.0.2")
        self.assertEqual(received, [(valid, "127.0.0.2")])
        self.assertEqual(len(warnings), len(cases) + 1)


class QuorumReachableTest(unittest.TestCase):
    def test_no_replacement_begins_unless_enough_voters_are_heard(self):
        for names, reachable in ((("b",), False), (("b", "c"), True)):
            roster = make_roster(voters=(*NAMES, "e"))
            control = SimpleNamespace(voter_sets=((*NAMES, "e"),))
            log = structlog.get_logger()
            executor = ReplacementExecutor(
                None, None, control, roster, (), None, None, None, log
            )
            receive(roster, names, 10.0)
            with mock.patch(
                "cardamomdrift.failover.execution.boot_clock", lambda: 10.1
            ):
                if reachable:
                    executor._check_quorum_reachable()
                else:
                    with self.assertRaises(ReplacementFailed):
                        executor._check_quorum_reachable()


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
