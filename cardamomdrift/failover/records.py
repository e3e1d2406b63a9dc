"""
Control records
===============

Rows of the daemons' own table in the platform's store: the registered daemons, the
voters among them, the holder of the duty to promote, the primary of each group, and the
processes of instances whose logs may hold acknowledged commits.
"""

import msgspec

from cardamomdrift.errors import ControlRecordError
from cardamomdrift.util import DECODE_ERRORS

TABLE = "cardamomdrift"
DUTY_KEY = "duty"
# Read before the groups' rows: a read that shows an epoch shows all replacements that
# were committed before it.
VOTERS_KEY = "epoch"
MEMBER_PREFIX = "member/"
LEADERSHIP_PREFIX = "lead/"
HOLDERS_PREFIX = "holders/"


class MemberRecord(msgspec.Struct, frozen=True):
    """Row of a registered daemon.

    Attributes
    ----------
    address : str
    incarnation : str
        Identifies its registration.
    failure_domain : str
        Empty in the rows of daemons of an older version.
    """

    address: str
    incarnation: str
    failure_domain: str = ""


class DutyRecord(msgspec.Struct, frozen=True):
    """Row that names the daemon with the duty to promote.

    Only the holder may replace primaries.  A daemon claims the duty when it commits a
    replacement.  The token is a fencing token: it rises by one with each new holder or
    incarnation.
    """

    holder: str
    incarnation: str
    token: int


class VotersRecord(msgspec.Struct, frozen=True):
    """Row of the daemons that promise permissions and replace primaries.

    Attributes
    ----------
    epoch : int
        Rises with each change of the set.
    names : tuple of str
    former : tuple of str
        Voters of the epoch before, until they can promise nothing in it any more.
    """

    epoch: int
    names: tuple[str, ...]
    former: tuple[str, ...]


class LeadershipRecord(msgspec.Struct, frozen=True):
    """Row of the last replacement of a group's primary.

    Attributes
    ----------
    generation : int
    settled : bool
        Whether the replacement is complete.
    term : int
    primary : str
        The new primary, or the old one while the replacement is in progress.
    token : int
        Fencing token of the daemon that carries out the replacement.
    attempt : str
        Unique id of the attempt; empty once settled.
    called : tuple of str or None
        Instances that this replacement and unfinished ones before it may have had
        promoted; None if they are not recorded.
    """

    generation: int
    settled: bool
    term: int
    primary: str
    token: int
    attempt: str
    called: tuple[str, ...] | None = None


class HolderRecord(msgspec.Struct, frozen=True):
    """Process of an instance; see `succession.Holder`."""

    name: str
    started_at_ms: int
    address: str
    draining: bool


class HoldersRecord(msgspec.Struct, frozen=True):
    """Row of the processes whose logs may hold acknowledged commits of a group.

    There is one for each group with synchronous replicas.
    """

    holders: tuple[HolderRecord, ...]


def member_key(name):
    """Return the key of a daemon's row."""
    return MEMBER_PREFIX + name


def leadership_key(group):
    """Return the key of a group's row."""
    return LEADERSHIP_PREFIX + group


def holders_key(group):
    """Return the key of the row of a group's holders."""
    return HOLDERS_PREFIX + group


def encode_record(record):
    """Return a record as JSON."""
    return msgspec.json.encode(record)


def decode_record(row, record_type):
    """Decode the record of a given type in a row.

    Raises
    ------
    ControlRecordError
    """
    try:
        return msgspec.json.decode(row.value, type=record_type)
    except DECODE_ERRORS as error:
        raise ControlRecordError(f"{TABLE}/{row.key}: {error}") from error
