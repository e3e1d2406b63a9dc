"""
Bundle registry
===============

Sign-offs and roll-outs of one deployment.  The body of a bundle is stored in the object
store under its digest; the table has one row for each sign-off and one for each
version.  A version's row is created by a conditional write.  If two operators roll out
at the same time, one succeeds and the other gets a conflict that names the first.
"""

import uuid
from dataclasses import dataclass

from returns.result import Failure, Success

from cardamomdrift.bundle.model import decode_bundle, encode_bundle
from cardamomdrift.cloud.table import AppendConflict, Appended, AppendUnknown
from cardamomdrift.errors import (
    BundleConflict,
    BundleError,
    BundleNotSignedOff,
    PlatformUnavailable,
)

SIGN_OFF_PREFIX = "signoff"
VERSION_STREAM = "bundle"


@dataclass(frozen=True, slots=True)
class SignOff:
    """An operator's approval of a bundle."""

    digest: str
    operator: str
    signed_at: str
    checks: str


@dataclass(frozen=True, slots=True)
class RollOut:
    """One version of the deployment's bundle."""

    version: int
    digest: str
    operator: str
    rolled_out_at: str


def _make_roll_out(row):
    return RollOut(
        int(row["version"]), row["digest"], row["operator"], row["rolled_out_at"]
    )


class BundleRegistry:
    """Stores and retrieves the bundles of one deployment."""

    def __init__(self, table, objects, deployment):
        self._table = table
        self._objects = objects
        self._deployment = deployment

    @property
    def _stream(self):
        return self._deployment, VERSION_STREAM

    async def sign_off(self, model, operator, now):
        """Store a validated bundle, record its sign-off and return the SignOff.

        Parameters
        ----------
        model : BundleModel
        operator : str
        now : datetime

        Raises
        ------
        PlatformUnavailable
        PlatformRefused
        """
        digest = await self._objects.put(encode_bundle(model))
        checks = f"{len(model.groups)} groups, {len(model.classes)} classes: passed"
        record = SignOff(digest, operator, now.isoformat(timespec="seconds"), checks)
        fields = {
            "digest": digest,
            "operator": operator,
            "signed_at": record.signed_at,
            "checks": checks,
        }
        await self._table.put(self._deployment, f"{SIGN_OFF_PREFIX}#{digest}", fields)
        return record

    async def find_sign_off(self, digest):
        """Return the SignOff of a digest, or None."""
        row = await self._table.get(self._deployment, f"{SIGN_OFF_PREFIX}#{digest}")
        if row is None:
            return None
        return SignOff(digest, row["operator"], row["signed_at"], row["checks"])

    async def latest(self):
        """Return the newest RollOut, or None.

        Raises
        ------
        PlatformUnavailable
        """
        row = await self._table.latest(self._stream)
        return None if row is None else _make_roll_out(row)

    async def history(self, limit):
        """Return up to ``limit`` RollOuts, newest first."""
        rows = await self._table.list(
            self._deployment, f"{VERSION_STREAM}#", newest_first=True, limit=limit
        )
        return [_make_roll_out(row) for row in rows]

    async def roll_out(self, digest, expected_version, operator, now):
        """Roll out a signed-off bundle as the version after the expected one.

        Returns
        -------
        Success of RollOut, or Failure of BundleNotSignedOff, BundleConflict or \
        PlatformUnavailable
            PlatformUnavailable if it is unknown whether the roll-out was recorded.

        Raises
        ------
        PlatformUnavailable
            If nothing was written yet.
        """
        if await self.find_sign_off(digest) is None:
            return Failure(BundleNotSignedOff(digest))
        newest = await self.latest()
        version = newest.version if newest else 0
        if version != expected_version:
            return Failure(BundleConflict(version, newest.operator, newest.digest))
        record = RollOut(
            version + 1, digest, operator, now.isoformat(timespec="seconds")
        )
        fields = {
            "version": record.version,
            "digest": digest,
            "operator": operator,
            "rolled_out_at": record.rolled_out_at,
        }
        outcome = await self._table.append(
            self._stream, record.version, fields, uuid.uuid4().hex
        )
        match outcome:
            case Appended():
                return Success(record)
            case AppendConflict(row):
                winner = _make_roll_out(row)
                return Failure(
                    BundleConflict(winner.version, winner.operator, winner.digest)
                )
            case AppendUnknown():
                return Failure(PlatformUnavailable("roll-out may have taken effect"))

    async def fetch(self, digest):
        """Return the body of the bundle with a digest.

        Raises
        ------
        PlatformUnavailable
        PlatformRefused
        BundleError
            If the object store has no such body.
        """
        body = await self._objects.get(digest)
        if body is None:
            raise BundleError([f"bundle: no stored body with digest {digest}"])
        return body


def decode_or_raise(body):
    """Return the Bundle in canonical bytes.

    Raises
    ------
    BundleError
    """
    match decode_bundle(body):
        case Success(bundle):
            return bundle
        case Failure(error):
            raise error
