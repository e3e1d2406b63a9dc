"""
Identity
========

Identifies the customer on whose behalf a caller's session runs.  A daemon keeps the
digest of a key, never the key itself.
"""

from dataclasses import dataclass
from hashlib import blake2b

KEY_DIGEST_BYTES = 16
# Separates these digests from other uses of the same hash function.
KEY_DIGEST_PURPOSE = b"customer key"


def digest_key(key):
    """Return the digest of a customer's key; the same on every daemon.

    Parameters
    ----------
    key : str
    """
    data = key.encode("utf-8", "surrogateescape")
    return blake2b(
        data, digest_size=KEY_DIGEST_BYTES, person=KEY_DIGEST_PURPOSE
    ).digest()


@dataclass(frozen=True, slots=True)
class Identity:
    """Customer of a session, and the digest of the key that the caller showed.

    Attributes
    ----------
    customer : str
        Name of the customer; empty if customers are not in force.
    digest : bytes
        Empty if no key is needed.
    """

    customer: str
    digest: bytes


NO_CUSTOMER = Identity("", b"")
# Customer of the connections that run the statements of public routes.
PUBLIC_CUSTOMER = "-"
PUBLIC_IDENTITY = Identity(PUBLIC_CUSTOMER, b"")


class NoGuard:
    """Guard of requests for which no key, proof or quota is checked."""

    identity = NO_CUSTOMER

    async def admit(self, deadline_at=None):
        """Admit the operation."""

    def check_access(self):
        """Allow the request to be sent."""

    async def charge(self):
        """Allow the operation to be sent, and charge nobody for it."""

    def record_failure(self, error):
        """Note why the operation failed."""

    def release(self):
        """End the operation."""


NO_GUARD = NoGuard()
