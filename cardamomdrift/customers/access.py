"""
Access
======

Decides whether a caller may open a session and whether a statement may be sent, from
the configuration in force, the caller's identity and the proof of freshness.  All
functions here are pure.

Keys are compared by digests of a fixed length.  A lookup by digest takes a time that
depends on the digest only, from which no part of a key follows.
"""

import math
from dataclasses import dataclass

from cardamomdrift.customers.identity import PUBLIC_IDENTITY, Identity


@dataclass(frozen=True, slots=True)
class Granted:
    """The session may be opened, or the statement may be sent.

    Attributes
    ----------
    identity : Identity
        Customer in whose name it runs.
    """

    identity: Identity


@dataclass(frozen=True, slots=True)
class KeyUnknown:
    """No customer of the configuration in force holds the key."""


@dataclass(frozen=True, slots=True)
class DatabaseUnknown:
    """The configuration in force has no route for the database."""


@dataclass(frozen=True, slots=True)
class Unproven:
    """A newer configuration may exist, so keys are not served.

    Attributes
    ----------
    expired_for : float
        Seconds since the proof ended; infinity if there was none.
    """

    expired_for: float


def identify(deployment, shown, route):
    """Return the Identity of a session's next operation.

    Parameters
    ----------
    deployment : Deployment
    shown : Identity
        Customer and digest of the key that the session was opened with.
    route : Route
    """
    if route.public:
        return PUBLIC_IDENTITY
    holder = deployment.customer_by_digest.get(shown.digest, shown.customer)
    return Identity(holder, shown.digest)


def decide_start(deployment, database, digest, proof_until, now):
    """Decide whether a session may be opened.

    A session with a known key is opened without a proof; its statements need one.

    Parameters
    ----------
    deployment : Deployment
    database : str
    digest : bytes
        Digest of the key that the caller showed.
    proof_until : float
        Boot clock.
    now : float
        Boot clock.

    Returns
    -------
    Granted or DatabaseUnknown or KeyUnknown or Unproven
    """
    route = deployment.routes.get(database)
    if route is None:
        return DatabaseUnknown()
    holder = deployment.customer_by_digest.get(digest)
    if holder is not None or route.public:
        return Granted(Identity(holder or "", digest))
    return KeyUnknown() if now < proof_until else Unproven(now - proof_until)


def decide_access(deployment, identity, route, proof_until, now):
    """Decide whether a statement of an operation may be sent.

    A key that another customer holds now counts as unknown, because the operation's
    connection belongs to the former customer.

    Parameters
    ----------
    deployment : Deployment
    identity : Identity
        Of the operation.
    route : Route or None
        Route of the operation's database; None for a loan, whose identity alone tells
        whether a key is needed.
    proof_until : float
        Boot clock.
    now : float
        Boot clock.

    Returns
    -------
    Granted or KeyUnknown or Unproven
    """
    if identity == PUBLIC_IDENTITY and (route is None or route.public):
        return Granted(identity)
    holder = deployment.customer_by_digest.get(identity.digest)
    proven = now < proof_until
    if holder is None and not identity.customer and not proven:
        return Unproven(now - proof_until)
    if holder is None or holder != identity.customer:
        return KeyUnknown()
    return Granted(identity) if proven else Unproven(now - proof_until)


def key_withdrawn(deployment, identity, route):
    """Whether an operation's key is no longer held by its customer.

    So is the missing key of an operation whose route needs one now.
    """
    decision = decide_access(deployment, identity, route, math.inf, 0.0)
    return isinstance(decision, KeyUnknown)
