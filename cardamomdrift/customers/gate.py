"""
Access gate
===========

Carries out the decisions of `customers.access`: raises the errors that reach callers,
looks unknown names up in the store, and counts operations by customer.
"""

import asyncio
import math
from collections import Counter

from cardamomdrift.clock import boot_clock
from cardamomdrift.customers.access import (
    DatabaseUnknown,
    Granted,
    KeyUnknown,
    Unproven,
    decide_access,
    decide_start,
    identify,
    key_withdrawn,
)
from cardamomdrift.customers.guard import RequestGuard
from cardamomdrift.customers.identity import Identity, digest_key
from cardamomdrift.customers.lookup import BeginLookup, JoinLookup, LookupLimit
from cardamomdrift.errors import (
    AccessDenied,
    CallerError,
    ProofExpired,
    UnknownDatabase,
)
from cardamomdrift.util import MILLISECONDS

# Seconds, sent to callers; about the time after which the store is called again.
PROOF_RETRY_AFTER = 0.5
# Seconds that a statement waits for a configuration that a peer has, and seconds
# between two looks.  A change comes to all daemons within some milliseconds, but not in
# the same order as heartbeats; without the wait, each change would refuse statements.
APPLY_TIMEOUT, APPLY_POLL_INTERVAL = 0.3, 0.01
NAMED_CUSTOMERS = 20  # customers with a label of their own in the metrics
OTHER_CUSTOMERS = "other"
DENIED = "no customer holds the key"


def make_unproven():
    """Return the error of an operation without a proof of freshness."""
    reason = "the configuration in force is not known to be the newest"
    return ProofExpired(reason, PROOF_RETRY_AFTER)


def find_access_error(decision):
    """Return the error that a decision of `decide_access` means, or None."""
    match decision:
        case KeyUnknown():
            return AccessDenied(DENIED)
        case Unproven():
            return make_unproven()
    return None


class AccessGate:
    """Decides for the callers and borrowers of one daemon.

    Parameters
    ----------
    deployment : callable
        Returns the Deployment in force.
    proof : FreshnessProof
    look_up : coroutine function
        Makes one short call of the store and applies what it shows.
    clock : callable, optional
        Boot clock.

    Attributes
    ----------
    counts : Counter
        Operations by customer's label and outcome.
    """

    def __init__(self, deployment, proof, look_up, clock=boot_clock):
        self._deployment = deployment
        self._proof = proof
        self._look_up = look_up
        self._quota = None
        self._clock = clock
        self._limit = LookupLimit(clock())
        self._lookup = None
        self._missing_version = None
        self._labels = (None, frozenset())
        self.counts = Counter()

    def use_quota(self, quota):
        """Set the QuotaGate that limits customers; see `RequestGuard`."""
        self._quota = quota

    @property
    def _version(self):
        return self._deployment().version

    def proof_milliseconds(self):
        """Return for how long the proof is still valid; None without a proof."""
        if self._deployment() is None:
            return None
        remaining = self._proof.until(self._version) - self._clock()
        return None if math.isinf(remaining) else round(remaining * MILLISECONDS, 1)

    def proof_until(self):
        """Return when the proof ends, by the boot clock; infinity if none is needed."""
        return self._proof.until(self._version)

    def proof_age(self):
        """Return the seconds since the proof; None without one."""
        if self._deployment() is None:
            return None
        return self._proof.age(self._version, self._clock())

    # Sessions

    async def open_session(self, database, key):
        """Return the Identity of a session, or raise the error that refuses it.

        Raises
        ------
        UnknownDatabase
        AccessDenied
        ProofExpired
        """
        digest = digest_key(key)
        decision = self._decide_start(database, digest)
        if not isinstance(decision, Granted) and await self._look_up_shared():
            decision = self._decide_start(database, digest)
        match decision:
            case Granted(identity):
                return identity
            case DatabaseUnknown():
                error = UnknownDatabase(f"no route for database {database}")
            case KeyUnknown():
                error = AccessDenied(DENIED)
            case Unproven():
                error = make_unproven()
        self.count("", type(error).__name__)
        raise error

    def _decide_start(self, database, digest):
        deployment = self._deployment()
        until = self._proof.until(deployment.version)
        return decide_start(deployment, database, digest, until, self._clock())

    async def _look_up_shared(self):
        """Look an unknown name up if the limit allows it; return whether it did."""
        running = self._lookup is not None and not self._lookup.done()
        match self._limit.decide(self.proof_age(), running, self._clock()):
            case BeginLookup():
                self._lookup = asyncio.create_task(self._look_up())
            case JoinLookup():
                pass
            case _:
                return False
        await asyncio.shield(self._lookup)
        return True

    def identify(self, shown, route):
        """Return the Identity of a session's next operation; see `access.identify`."""
        return identify(self._deployment(), shown, route)

    def make_guard(self, identity, route):
        """Return the RequestGuard of a new operation."""
        return RequestGuard(self, identity, route, self._quota)

    # Checks

    async def wait_applied(self):
        """Wait briefly while a newer configuration is known but not in force yet.

        A version that did not come in time is not awaited again, so that operations
        are refused immediately while it cannot be had.
        """
        proof = self._proof
        give_up_at = self._clock() + APPLY_TIMEOUT
        while proof.is_behind(self._version):
            if proof.known_version == self._missing_version:
                return
            if self._clock() >= give_up_at:
                self._missing_version = proof.known_version
                return
            await asyncio.sleep(APPLY_POLL_INTERVAL)

    def check(self, identity, route):
        """Check that a statement of an operation may be sent now.

        Parameters
        ----------
        identity : Identity
        route : Route or None
            Route of the operation when it began, which counts if its database has no
            route now; see `access.decide_access`.

        Raises
        ------
        AccessDenied
        ProofExpired
        """
        deployment = self._deployment()
        until = self._proof.until(deployment.version)
        if route is not None:
            route = deployment.routes.get(route.database, route)
        decision = decide_access(deployment, identity, route, until, self._clock())
        error = find_access_error(decision)
        if error is not None:
            raise error

    def check_loan(self, customer, digest):
        """Return why a connection is not lent, or None.

        Parameters
        ----------
        customer : str
        digest : bytes
        """
        if self._deployment() is None:
            return "no configuration is known yet"
        try:
            self.check(Identity(customer, digest), None)
        except CallerError as error:
            return error.reason
        return None

    def is_withdrawn(self, identity, route):
        """Whether an operation's key is not held; see `access.key_withdrawn`."""
        return key_withdrawn(self._deployment(), identity, route)

    # Metrics

    def count(self, customer, outcome):
        """Count an operation; the customers with the highest rates have own labels."""
        deployment = self._deployment()
        if deployment is not self._labels[0]:
            largest = sorted(
                deployment.customers.values(),
                key=lambda entry: (
                    -math.inf if entry.rate is None else -entry.rate,
                    entry.name,
                ),
            )
            names = frozenset(entry.name for entry in largest[:NAMED_CUSTOMERS])
            self._labels = (deployment, names)
            # Labels of former configurations would accumulate.
            counts, self.counts = self.counts, Counter()
            for (label, past_outcome), count in counts.items():
                self.counts[self._label(label), past_outcome] += count
        self.counts[self._label(customer), outcome] += 1

    def _label(self, customer):
        return customer if customer in self._labels[1] else OTHER_CUSTOMERS
