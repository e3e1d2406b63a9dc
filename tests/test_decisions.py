"""
Tests of pure decisions
=======================

Proofs, floors, choice of instances, admission, shares and suspicion, mostly by tables
of cases.
"""

import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from cardamomdrift.bundle.model import Durability
from cardamomdrift.failover.suspicion import Evidence, SilenceTimer, is_dead
from cardamomdrift.limits.admission import (
    Adaptive,
    AdmissionQueue,
    Fifo,
    NewestFirst,
    Queued,
    Refused,
    Ticket,
)
from cardamomdrift.limits.budget import RetryBudget
from cardamomdrift.limits.concurrency import ConcurrencyLimit
from cardamomdrift.limits.shares import Lease, may_connect, share_of
from cardamomdrift.membership.lease_keeper import (
    CLOCK_GRACE,
    LEASE_DURATION,
    Membership,
    decide_membership,
)
from cardamomdrift.membership.rendezvous import home_set, rank
from cardamomdrift.mysql.contract import FencedInstanceStatus
from cardamomdrift.peers.messages import GroupUpdate, StateUpdate
from cardamomdrift.peers.updates import PeerUpdates
from cardamomdrift.position import ORIGIN, Position
from cardamomdrift.routing.choice import (
    NoneAvailable,
    Probe,
    ReadCandidate,
    Serve,
    choose_instance,
)
from cardamomdrift.routing.cost import CostEstimator, instances_for_long
from cardamomdrift.routing.floor import make_floor_rule
from cardamomdrift.routing.proof import (
    Pending,
    Replaced,
    WriteProven,
    WriteQuestion,
    answer_write,
)
from cardamomdrift.routing.samples import FloorHistory, FloorRule, Sample
from cardamomdrift.routing.view import make_view
from cardamomdrift.sessions.options import check_options
from cardamomdrift.telemetry.burn import GOOD, BurnCounter
from tests.values import bundle

# Derandomized, hypothesis derives the examples from the source of the test methods.
STEADY = settings(derandomize=True, database=None, deadline=None, max_examples=200)
P = Position


def status(term=1, sequence=5, fence=1, primary=False, source="a"):
    return FencedInstanceStatus(fence, "o", P(term, sequence), primary, source, 0.0)


class WriteProofTest(unittest.TestCase):
    """When a write that ``a`` committed in term 1 at 1:5 may be acknowledged."""

    # Case, statuses, answer for CURRENT_TERM, answer for REPLICATED.
    ROWS = (
        ("no answer", {}, Pending, Pending),
        ("primary only", {"a": status(primary=True)}, Pending, Pending),
        (
            "replica holds it",
            {"a": status(primary=True), "b": status()},
            WriteProven,
            WriteProven,
        ),
        (
            "replica is behind",
            {"a": status(primary=True), "b": status(sequence=4)},
            WriteProven,
            Pending,
        ),
        (
            "replica is fenced",
            {"a": status(primary=True), "b": status(fence=2)},
            Replaced,
            Replaced,
        ),
        ("replica only", {"b": status(), "c": status()}, Pending, Pending),
        (
            "primary was fenced",
            {"a": status(fence=2), "b": status()},
            Replaced,
            Replaced,
        ),
        (
            "primary was demoted in its term",
            {"a": status(primary=False), "b": status()},
            Replaced,
            Replaced,
        ),
    )

    def test_rows(self):
        for name, statuses, current, replicated in self.ROWS:
            for durability, expected in (
                (Durability.CURRENT_TERM, current),
                (Durability.REPLICATED, replicated),
            ):
                with self.subTest(name, durability=durability):
                    question = WriteQuestion(0.0, 2, "a", 1, durability)
                    self.assertIsInstance(answer_write(question, statuses), expected)


class FloorTest(unittest.TestCase):
    def test_rules(self):
        written, token = P(1, 7), P(1, 9)
        rows = (
            ("fresh", None, None, FloorRule(100.0, ORIGIN)),
            ("fresh", written, token, FloorRule(100.0, token)),
            ("session", written, token, FloorRule(None, token)),
            ("session", written, None, FloorRule(100.0, written)),
            # A new connection may belong to a session that wrote elsewhere.
            ("old", None, None, FloorRule(99.5, ORIGIN)),
            ("old", None, token, FloorRule(99.0, token)),
        )
        for name, last_write, token_position, expected in rows:
            with self.subTest(
                name, last_write=last_write, token_position=token_position
            ):
                kind = bundle().classes[name].kind
                options = check_options({"class": name}, bundle(), kind).unwrap()
                self.assertEqual(
                    make_floor_rule(options, 100.0, 99.5, last_write, token_position),
                    expected,
                )

    def test_history_gives_the_oldest_sample_that_satisfies_the_rule(self):
        history = FloorHistory()
        for begun_at, sequence in ((1.0, 1), (2.0, 2), (3.0, 3)):
            history.add(Sample(begun_at, P(1, sequence)))
        self.assertEqual(history.find(FloorRule(1.5, ORIGIN)), P(1, 2))
        self.assertEqual(history.find(FloorRule(1.5, P(1, 8))), P(1, 8))
        self.assertIsNone(history.find(FloorRule(3.5, ORIGIN)))
        self.assertEqual(history.find(FloorRule(None, P(1, 4))), P(1, 4))

    def test_history_reaches_back_however_often_samples_come(self):
        history = FloorHistory()
        for number in range(20_000):
            history.add(Sample(number / 1000, P(1, number)))
        floor = history.find(FloorRule(10.0, ORIGIN))
        self.assertGreaterEqual(floor, P(1, 10_000))
        self.assertLess(floor, P(1, 10_200))
        self.assertEqual(history.find(FloorRule(19.999, ORIGIN)), P(1, 19_999))


class ViewTest(unittest.TestCase):
    def test_an_older_answer_changes_no_position(self):
        view = make_view(bundle().groups["g"])
        view.observe("a", status(sequence=9, primary=True), 2.0, 2.1)
        view.observe("a", status(sequence=3), 1.0, 2.2)
        self.assertEqual(view.position_of("a"), P(1, 9))
        self.assertEqual(view.primary, "a")

    def test_a_newer_status_may_report_a_lower_position(self):
        """An instance that copies another one discards entries."""
        view = make_view(bundle().groups["g"])
        view.observe("b", status(sequence=9), 1.0, 1.1)
        view.observe("b", status(sequence=0), 2.0, 2.1)
        self.assertEqual(view.position_of("b"), P(1, 0))

    def test_a_higher_fence_term_on_any_instance_clears_the_primary(self):
        view = make_view(bundle().groups["g"])
        view.observe("a", status(primary=True), 1.0, 1.1)
        view.observe("b", status(fence=2), 1.0, 1.1)
        self.assertIsNone(view.primary)
        view.observe("c", status(term=2, fence=2, primary=True), 1.0, 1.1)
        self.assertEqual(view.primary, "c")


class ChoiceTest(unittest.TestCase):
    def test_rows(self):
        floor = P(1, 10)
        primary = ReadCandidate("p", P(1, 10), 0, True, True, 0, 2, 0.01)
        replica = ReadCandidate("r", P(1, 10), 0, False, False, 0, 2, 0.01)
        rows = (
            ("replica before primary", [primary, replica], False, Serve("r")),
            (
                "full replica",
                [primary, replace(replica, in_flight=2)],
                False,
                Serve("p"),
            ),
            (
                "own connection before a borrowed one",
                [replica, replace(replica, name="s", same_domain=True, borrowed=True)],
                False,
                Serve("r"),
            ),
            (
                "borrowed connection if the own ones are busy",
                [
                    replace(replica, in_flight=2),
                    replace(replica, name="s", borrowed=True),
                ],
                False,
                Serve("s"),
            ),
            (
                "replica far behind",
                [primary, replace(replica, position=P(1, 1))],
                False,
                Serve("p"),
            ),
            (
                "replica that catches up at once",
                [primary, replace(replica, position=P(1, 9), rate=1e6)],
                False,
                Probe("r"),
            ),
            (
                "replica of an older term",
                [primary, replace(replica, position=P(0, 99), rate=1e6)],
                False,
                Serve("p"),
            ),
            (
                "replica busy with long statements",
                [primary, replace(replica, penalty=0.05)],
                False,
                Serve("p"),
            ),
            (
                "long statement that may not run there",
                [replace(primary, long_allowed=False)],
                True,
                NoneAvailable(),
            ),
            ("no candidate", [], False, NoneAvailable()),
        )
        for name, candidates, long, expected in rows:
            with self.subTest(name):
                self.assertEqual(choose_instance(candidates, floor, long), expected)

    def test_long_statements_leave_an_instance_free_for_short_ones(self):
        members = ("vm-1", "vm-2", "vm-3", "vm-4")
        allowed = [instances_for_long("g", ("b", "c"), vm, members) for vm in members]
        common = frozenset.intersection(*allowed)
        self.assertEqual(len(common), 1)
        self.assertEqual(sum(len(instances) == 2 for instances in allowed), 1)

    def test_estimator_learns_long_shapes(self):
        costs = CostEstimator()
        for _ in range(50):
            costs.learn("short", 0.002)
        costs.learn("long", 0.2)
        self.assertTrue(costs.is_long("long"))
        self.assertFalse(costs.is_long("short"))
        self.assertLess(costs.typical, 0.005)

    def test_short_shape_that_waits_behind_long_ones_stays_short(self):
        costs = CostEstimator()
        for number in range(200):
            costs.learn("short", 0.2 if number % 5 == 0 else 0.002)
            if number:
                self.assertFalse(costs.is_long("short"), number)


def ticket(caller="x", priority=1, arrived=0.0, deadline=10.0, cost=0.1):
    return Ticket(caller, priority, arrived, deadline, cost)


class AdmissionTest(unittest.TestCase):
    def drain(self, queue, now=0.0):
        taken = []
        while (one := queue.take(now, lambda _: True)) is not None:
            taken.append(one)
        return taken

    def test_higher_priority_first_then_callers_in_turn(self):
        queue = AdmissionQueue(100, Fifo())
        offered = [
            ticket("greedy"),
            ticket("greedy"),
            ticket("greedy"),
            ticket("modest"),
            ticket("late", priority=2),
        ]
        for request in offered:
            self.assertIsInstance(queue.offer(request, 0.0, 4), Queued)
        callers = [request.caller for request in self.drain(queue)]
        self.assertEqual(callers, ["late", "greedy", "modest", "greedy", "greedy"])

    def test_policies(self):
        rows = (
            (Fifo(), [0, 1, 2]),
            (NewestFirst(), [2, 1, 0]),
            (Adaptive(), [0, 1, 2]),
        )
        for policy, expected in rows:
            with self.subTest(policy):
                queue = AdmissionQueue(100, policy)
                tickets = [ticket() for _ in range(3)]
                for request in tickets:
                    queue.offer(request, 0.0, 4)
                order = [tickets.index(request) for request in self.drain(queue)]
                self.assertEqual(order, expected)

    def test_work_that_cannot_finish_is_refused_at_once(self):
        queue = AdmissionQueue(100, Fifo())
        for _ in range(10):
            queue.offer(ticket(cost=1.0, deadline=100.0), 0.0, 1)
        result = queue.offer(ticket(cost=1.0, deadline=5.0), 0.0, 1)
        self.assertIsInstance(result, Refused)
        self.assertGreaterEqual(result.retry_after, 5.0)
        urgent = ticket(priority=3, cost=1.0, deadline=5.0)
        self.assertIsInstance(queue.offer(urgent, 0.0, 1), Queued)

    def test_a_full_queue_accepts_higher_priority_only(self):
        queue = AdmissionQueue(2, Fifo())
        for _ in range(2):
            queue.offer(ticket(), 0.0, 1)
        self.assertIsInstance(queue.offer(ticket(), 0.0, 1), Refused)
        self.assertIsInstance(queue.offer(ticket(priority=2), 0.0, 1), Queued)
        self.assertEqual(len(queue), 2)

    @STEADY
    @given(st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 3)), max_size=40))
    def test_size_is_bounded_and_nothing_is_lost(self, offers):
        queue = AdmissionQueue(15, Fifo())
        queued = 0
        for caller, priority in offers:
            before = len(queue)
            result = queue.offer(ticket(caller, priority, deadline=1e9), 0.0, 1)
            queued += isinstance(result, Queued) and len(queue) > before
        self.assertEqual(len(queue), min(queued, 15))
        self.assertEqual(len(self.drain(queue)), min(queued, 15))

    def test_long_requests_that_cannot_be_placed_do_not_delay_short_ones(self):
        queue = AdmissionQueue(100, Fifo())
        for _ in range(10):
            queue.offer(replace(ticket(), long=True), 0.0, 4)
        short = ticket()
        queue.offer(short, 0.0, 4)
        self.assertIs(queue.take(0.0, lambda request: not request.long), short)

    def test_expired_requests_are_removed(self):
        queue = AdmissionQueue(10, Fifo())
        expired, valid = ticket(deadline=1.0), ticket(deadline=9.0)
        for request in (expired, valid):
            queue.offer(request, 0.0, 4)
        self.assertEqual(queue.remove_expired(2.0), [expired])
        self.assertEqual(len(queue), 1)


class LimitsTest(unittest.TestCase):
    def test_retries_stay_within_a_share_of_first_attempts(self):
        budget = RetryBudget(share=0.1, limit=20.0, tokens=20.0)
        retries = 0
        for _ in range(1000):
            budget.earn()
            retries += budget.spend()
        self.assertLessEqual(retries, 1000 * 0.1 + 20)

    def test_concurrency_limit_follows_the_latency(self):
        limit = ConcurrencyLimit(maximum=8.0)
        for _ in range(100):
            limit.learn(0.01, limit.current)
        self.assertEqual(limit.current, 8)
        for _ in range(30):
            limit.learn(0.1, 8)
        self.assertEqual(limit.current, 1)


class SharesTest(unittest.TestCase):
    """VMs join and vanish in any order; the sum of their shares stays in the limit."""

    LIMIT = 16

    @STEADY
    @given(st.lists(st.tuples(st.integers(0, 4), st.booleans()), max_size=60))
    def test_sum_never_passes_the_limit(self, steps):
        names = [f"vm-{i}" for i in range(5)]
        known, rows, now = {}, {}, 1000.0
        for index, vanishes in steps:
            name = names[index]
            now += 1.0
            if vanishes and name in known and len(known) > 1:
                # The VM's connections are closed, but its lease is still valid.
                del known[name]
                continue
            self._renew(name, known, rows, now)
            total = sum(
                share_of(self.LIMIT, len(one.counted)) if one.may_connect else 0
                for one in known.values()
            )
            self.assertLess(total, self.LIMIT)

    @staticmethod
    def _renew(name, known, rows, now):
        start = Membership(frozenset([name]), False, {}, frozenset())
        previous = known.get(name, start)
        rows[name] = Lease(name, now + LEASE_DURATION, previous.counted)
        platform_up_since = now - 2 * LEASE_DURATION
        membership = decide_membership(
            name, list(rows.values()), previous, frozenset(), now, platform_up_since
        )
        known[name] = membership
        rows[name] = Lease(name, now + LEASE_DURATION, membership.counted)

    def test_no_vm_is_dropped_until_the_platform_answered_for_a_lease_duration(self):
        previous = Membership(frozenset(["a", "b"]), True, {}, frozenset())
        now = 1000.0
        lapsed = [Lease("b", now - CLOCK_GRACE - 1, frozenset(["a", "b"]))]
        for platform_up_since, expected in (
            (now - 1, {"a", "b"}),
            (now - LEASE_DURATION, {"a"}),
        ):
            membership = decide_membership(
                "a", lapsed, previous, frozenset(), now, platform_up_since
            )
            self.assertEqual(membership.counted, expected)

    def test_a_new_vm_does_not_connect_until_all_count_it(self):
        rows = [Lease("a", 2000.0, frozenset(["a"]))]
        self.assertFalse(may_connect("b", rows, 1000.0, CLOCK_GRACE))
        rows = [Lease("a", 2000.0, frozenset(["a", "b"]))]
        self.assertTrue(may_connect("b", rows, 1000.0, CLOCK_GRACE))


class SuspicionTest(unittest.TestCase):
    ROWS = (
        ("answers", Evidence(0.0, False, False, None), False),
        ("briefly silent", Evidence(0.3, True, True, None), False),
        ("refused, replicas lost it", Evidence(0.5, True, True, None), True),
        ("refused, replicas hear it", Evidence(0.5, True, False, None), False),
        ("silent, replicas lost it", Evidence(1.1, False, True, None), True),
        ("silent to this VM alone", Evidence(1.5, False, False, None), False),
        ("silent to this VM alone for long", Evidence(3.1, False, False, None), True),
        ("a peer reaches it", Evidence(4.0, False, True, 0.2), False),
        ("a peer reached it once", Evidence(4.0, False, True, 2.0), True),
        ("a peer reaches it, too long", Evidence(5.1, False, True, 0.2), True),
    )

    def test_rows(self):
        for name, evidence, expected in self.ROWS:
            with self.subTest(name):
                self.assertEqual(is_dead(evidence), expected)

    def test_silence_is_a_time_not_a_number_of_failures(self):
        timer = SilenceTimer()
        for _ in range(100):
            timer.record_failure(10.0, refused=False)
        self.assertEqual(timer.unanswered(10.1), 10.1 - 10.0)
        timer.record_answer()
        self.assertEqual(timer.unanswered(11.0), 0.0)


class PeersTest(unittest.TestCase):
    def test_contact_age_grows_after_receipt_and_belongs_to_a_term(self):
        updates = PeerUpdates()
        updates.apply_update(StateUpdate("vm-2", 3, {"g": GroupUpdate(4, 200)}), 10.0)
        self.assertAlmostEqual(updates.contact_age("g", 4, 10.5), 0.7)
        self.assertIsNone(updates.contact_age("g", 5, 10.5))

    @STEADY
    @given(st.sets(st.text("abcdef", min_size=1), min_size=2, max_size=12))
    def test_losing_a_name_moves_nothing_else(self, names):
        gone = min(names)
        before = [one for one in rank("key", names) if one != gone]
        self.assertEqual(rank("key", names - {gone}), before)
        self.assertEqual(home_set("key", names, 1)[0], rank("key", names)[0])


class BurnTest(unittest.TestCase):
    def test_rates_over_windows(self):
        counter = BurnCounter()
        start = 60.0 * 1000
        for _ in range(990):
            counter.record("w", GOOD, start)
        for _ in range(10):
            counter.record("w", "NoPrimary", start)
        (report,) = counter.report({"w": 0.99}, start + 60)
        self.assertEqual(
            [round(window.rate, 6) for window in report.windows], [1.0, 1.0, 1.0]
        )
        self.assertEqual(report.causes, (("NoPrimary", 10),))
        (later_report,) = counter.report({"w": 0.99}, start + 600)
        self.assertEqual(
            [window.total for window in later_report.windows], [0, 1000, 1000]
        )


if __name__ == "__main__":
    unittest.main()
