"""
Tests of the control traffic
============================

Counts the heartbeats that one daemon sends in fleets of several sizes, with the real
roster and announcer.
"""

import unittest
from types import SimpleNamespace
from unittest import mock

import msgspec
import structlog

from cardamomdrift.failover.permission import Permission
from cardamomdrift.failover.voters import first_voters
from cardamomdrift.membership.instance_list import InstanceList
from cardamomdrift.peers.announcer import HEARTBEAT_INTERVAL, Announcer
from cardamomdrift.peers.roster import Roster

INTERVALS = 10  # heartbeat intervals that are counted
BUDGET = 3_000  # bytes a second that a daemon may send for control, letter 1


class CountedDaemon:
    """Announcer of one daemon of a fleet; counts the bytes that it sends.

    Parameters
    ----------
    vm : str
    names : list of str
        All daemons of the fleet.
    clock : SimpleNamespace
        Its ``now`` is the time in seconds.
    """

    def __init__(self, vm, names, clock):
        self.roster = Roster(vm, vm, f"i-{vm}", clock.now)
        for name in names:
            if name != vm:
                self.roster.add(name, name, clock.now)
        self.roster.adopt_voters(1, first_voters(names), clock.now)
        self.roster.confirmed_epoch = 1
        control = SimpleNamespace(
            confirmed_at=clock.now, registered_names=frozenset(names), reachable=True
        )
        self.announcer = Announcer(
            self.roster,
            Permission(self.roster),
            control,
            mock.MagicMock(__iter__=lambda _: iter(())),
            mock.Mock(version=1),
            InstanceList(lambda: clock.now),
            lambda: None,
            structlog.get_logger(),
        )
        self.announcer.use_port(self)
        self.port = 1
        self.sent = []
        self.bytes_sent = 0

    def send(self, address, heartbeat):
        self.sent.append((address, heartbeat))
        self.bytes_sent += len(msgspec.msgpack.encode(heartbeat))


def count_bytes(size, voter):
    """Return the bytes a second that one daemon sends to the others, in steady state.

    Parameters
    ----------
    size : int
        Daemons of the fleet.
    voter : bool
        Whether the daemon is a voter; otherwise it exchanges heartbeats with voters.
    """
    names = [f"front-zone-{index}" for index in range(size)]
    voters = first_voters(names)
    vm = next(name for name in names if (name in voters) == voter)
    clock = SimpleNamespace(now=100.0)
    with mock.patch("cardamomdrift.peers.announcer.boot_clock", lambda: clock.now):
        # A daemon that is no voter hears nobody but the voters.
        present = names if voter else {vm, *voters}
        fleet = {name: CountedDaemon(name, names, clock) for name in present}
        counted = fleet[vm]
        for interval in range(2 * INTERVALS):
            if interval == INTERVALS:
                counted.bytes_sent = 0
            for daemon in fleet.values():
                daemon.announcer.send_all()
            for daemon in fleet.values():
                sent, daemon.sent = daemon.sent, []
                for address, heartbeat in sent:
                    if address in fleet:
                        fleet[address].announcer.receive(heartbeat, daemon.roster.vm)
            clock.now += HEARTBEAT_INTERVAL
    return counted.bytes_sent / (INTERVALS * HEARTBEAT_INTERVAL)


class ControlTrafficTest(unittest.TestCase):
    def setUp(self):
        structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
        self.addCleanup(structlog.reset_defaults)

    def test_a_daemon_sends_as_much_in_a_large_fleet_as_in_a_small_one(self):
        """Load pattern: a fleet that grows from 79 to 680 daemons."""
        sent = {size: count_bytes(size, voter=False) for size in (79, 680)}
        self.assertLess(sent[680], 1.5 * sent[79])
        self.assertLess(sent[680], BUDGET)

    def test_a_voter_sends_in_proportion_to_the_fleet(self):
        """Load pattern: a fleet that grows from 20 to 80 daemons."""
        sent = {size: count_bytes(size, voter=True) for size in (20, 80)}
        self.assertLess(sent[80], 1.5 * 4 * sent[20])
