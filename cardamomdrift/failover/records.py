"""
Control records
===============

The daemons' own rows in the platform's store: who is registered, who holds the duty to
promote, and who leads each group.
"""

import msgspec

from cardamomdrift.errors import ControlRecordError

TABLE = "cardamomdrift"
DUTY_KEY = "duty"
MEMBER_PREFIX = "member/"
LEADERSHIP_PREFIX = "lead/"


class MemberRecord(msgspec.Struct, frozen=True):
    """A registered daemon."""

    address: str
    incarnation: str


class DutyRecord(msgspec.Struct, frozen=True):
    """Who holds the duty to promote; the token rises with each holder."""

    holder: str
    incarnation: str
    token: int


class LeadershipRecord(msgspec.Struct, frozen=True):
    """The last replacement of a group's primary.

    Attributes
    ----------
    generation : int
    settled : bool
        Whether ``primary`` leads.
    term : int
    primary : str
        The new primary, or the old one while the replacement is under way.
    token : int
        Token of the daemon that replaces it.
    attempt : str
        Unique name of the attempt.
    """

    generation: int
    settled: bool
    term: int
    primary: str
    token: int
    attempt: str


def member_key(name):
    """Return the key of a daemon's row."""
    return MEMBER_PREFIX + name


def leadership_key(group):
    """Return the key of a group's row."""
    return LEADERSHIP_PREFIX + group


def encode_record(record):
    """Return a record as bytes."""
    return msgspec.json.encode(record)


def decode_record(row, kind):
    """Return the record of a kind in a row.

    Raises
    ------
    ControlRecordError
    """
    try:
        return msgspec.json.decode(row.value, type=kind)
    except msgspec.DecodeError as error:
        raise ControlRecordError(f"{TABLE}/{row.key}: {error}") from error
