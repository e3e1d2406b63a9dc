"""
Tests of replacement decisions
==============================

Why a primary is replaced, and when the platform may be called.
"""

import unittest
from dataclasses import replace
from itertools import product
from types import SimpleNamespace

from cardamomdrift.failover.permission import PERMISSION_VALIDITY
from cardamomdrift.failover.replacement import (
    INTENT_LIFETIME,
    MIN_PRIMARY_AGE,
    MISSING_TIMEOUT,
    PARTIAL_PARTITION_TIMEOUT,
    REFUSED_TIMEOUT,
    RELEASE_MARGIN,
    UNANSWERED_TIMEOUT,
    Intent,
    PrimaryEvidence,
    Reason,
    is_released,
    may_call_platform,
    needs_evidence,
    reason_to_replace,
    takeover_at,
)
from cardamomdrift.peers.contacts import CUT_OFF_SILENCE, primary_contacts
from cardamomdrift.peers.heartbeat import GroupClaim

HEALTHY = PrimaryEvidence(
    listed=True,
    missing_for=0.0,
    draining=False,
    unanswered=0.0,
    refused=False,
    replica_age=0.1,
    peer_contact_age=0.1,
    peer_silence=0.0,
    cut_off=0,
    reaching=5,
    settled_for=100.0,
)
NO_PEER_CONTACT = {"peer_contact_age": None}
MOSTLY_CUT_OFF = {"cut_off": 3, "reaching": 2}


class EvidenceTest(unittest.TestCase):
    """The check before the claims of all daemons are read several times a second."""

    def test_no_reason_is_missed(self):
        silences = (0.0, REFUSED_TIMEOUT, UNANSWERED_TIMEOUT, PARTIAL_PARTITION_TIMEOUT)
        found = 0
        for listed, draining, refused, unanswered, peer_silence, age in product(
            *[(True, False)] * 3, silences, silences, (None, 0.1, 5.0)
        ):
            reported = peer_silence >= CUT_OFF_SILENCE
            evidence = replace(
                HEALTHY,
                listed=listed,
                draining=draining,
                refused=refused,
                unanswered=unanswered,
                peer_silence=peer_silence,
                peer_contact_age=age,
                missing_for=0.0 if listed else MISSING_TIMEOUT,
                cut_off=4 * reported + (unanswered >= CUT_OFF_SILENCE),
                reaching=2,
            )
            if reason_to_replace(evidence) is not None:
                found += 1
                ago = 1.0 if reported else float("inf")
                self.assertTrue(needs_evidence(listed, draining, unanswered, ago))
        self.assertGreater(found, 100)

    def test_a_primary_that_answers_all_needs_none(self):
        self.assertFalse(needs_evidence(True, False, 0.1, float("inf")))


class ReasonTest(unittest.TestCase):
    CASES = (
        ("answers", {}, None),
        ("draining", {"draining": True}, Reason.LEAVING),
        ("unlisted for a moment", {"listed": False, "missing_for": 1.0}, None),
        (
            "unlisted for long",
            {"listed": False, "missing_for": MISSING_TIMEOUT},
            Reason.MISSING,
        ),
        (
            "silent briefly",
            NO_PEER_CONTACT | {"unanswered": UNANSWERED_TIMEOUT - 0.1},
            None,
        ),
        (
            "silent to all daemons",
            NO_PEER_CONTACT | {"unanswered": UNANSWERED_TIMEOUT},
            Reason.UNREACHABLE,
        ),
        ("silent to this daemon only", {"unanswered": UNANSWERED_TIMEOUT}, None),
        (
            "silent to most daemons for long",
            MOSTLY_CUT_OFF | {"unanswered": PARTIAL_PARTITION_TIMEOUT},
            Reason.UNREACHABLE,
        ),
        (
            "silent to most other daemons for long",
            MOSTLY_CUT_OFF | {"peer_silence": PARTIAL_PARTITION_TIMEOUT},
            Reason.UNREACHABLE,
        ),
        (
            "silent to most daemons briefly",
            MOSTLY_CUT_OFF | {"peer_silence": PARTIAL_PARTITION_TIMEOUT - 0.1},
            None,
        ),
        (
            "silent to one daemon for long",
            {"peer_silence": 9.0, "cut_off": 1, "reaching": 32},
            None,
        ),
        (
            "silent to this daemon for long, one of many",
            {"unanswered": 9.0, "cut_off": 1, "reaching": 4},
            None,
        ),
        (
            "silent to half of the daemons for long",
            {"unanswered": 9.0, "cut_off": 2, "reaching": 2},
            None,
        ),
        (
            "connection refused",
            NO_PEER_CONTACT | {"refused": True, "unanswered": REFUSED_TIMEOUT},
            Reason.UNREACHABLE,
        ),
        (
            "connection reset once",
            NO_PEER_CONTACT | {"refused": True, "unanswered": 0.05},
            None,
        ),
        (
            "no replica answers any more",
            NO_PEER_CONTACT | {"unanswered": 5.0, "replica_age": 3.0},
            None,
        ),
        (
            "no replica has ever answered",
            NO_PEER_CONTACT | {"unanswered": 5.0, "replica_age": None},
            None,
        ),
        (
            "new primary",
            NO_PEER_CONTACT | {"unanswered": 5.0, "settled_for": MIN_PRIMARY_AGE - 0.1},
            None,
        ),
    )

    def test_reasons(self):
        for name, changes, expected in self.CASES:
            with self.subTest(name):
                evidence = replace(HEALTHY, **changes)
                self.assertEqual(reason_to_replace(evidence), expected)


class ContactsTest(unittest.TestCase):
    def test_daemons_are_counted_as_cut_off_or_reaching(self):
        """One daemon's slow network, seen by a voter that hears all."""
        claims = {
            "b": GroupClaim(0, True, 1, "p", 0, contact_age_ms=100),
            "c": GroupClaim(0, True, 1, "p", 0, contact_age_ms=900, silence_ms=900),
            "d": GroupClaim(0, True, 1, "p", 0, contact_age_ms=300, silence_ms=100),
            "e": GroupClaim(0, True, 1, "p", 0),
            "f": GroupClaim(1, True, 1, "p", 1, contact_age_ms=0),
        }
        peers = {
            name: SimpleNamespace(
                heartbeat=object(), heard_at=10.0, claims={"g": (claim, 10.0)}
            )
            for name, claim in claims.items()
        }
        contacts = primary_contacts(SimpleNamespace(peers=peers), "g", 0, 10.0)
        self.assertEqual(contacts.cut_off_daemons, {"c"})
        self.assertEqual(contacts.reaching_daemons, ["b", "d"])
        self.assertAlmostEqual(contacts.silence, 0.9)


class ReleaseTest(unittest.TestCase):
    def setUp(self):
        self.intent = Intent(3, 1, begun_at=10.0, committed_at=10.1)

    def test_released_at_once_if_all_others_have_released(self):
        released = {"b": 3, "c": 4}
        self.assertTrue(is_released(self.intent, released, True, None, 10.1))
        self.assertFalse(is_released(self.intent, released, False, None, 10.1))

    def test_released_with_a_quorum_after_the_permission_validity(self):
        released = {"b": 3, "c": 2}
        released_at = 10.2 + PERMISSION_VALIDITY + RELEASE_MARGIN
        for all_counted in (True, False):
            args = (self.intent, released, all_counted, 10.2)
            self.assertFalse(is_released(*args, released_at - 0.01))
            self.assertTrue(is_released(*args, released_at))

    def test_never_released_without_a_quorum(self):
        released = {"b": 2, "c": 2}
        self.assertFalse(is_released(self.intent, released, True, None, 99.0))

    def test_a_call_ends_before_another_daemon_may_take_over(self):
        self.assertTrue(may_call_platform(self.intent, 10.5, 0.6))
        too_late = 10.0 + INTENT_LIFETIME - 0.5
        self.assertFalse(may_call_platform(self.intent, too_late, 0.6))
        self.assertGreater(takeover_at(10.1), 10.0 + INTENT_LIFETIME)


if __name__ == "__main__":
    unittest.main()
