"""
Commands
========

Commands that a caller sends to a session, and that a daemon sends to an instance, in a
form independent of the wire protocol.  The text of reads and writes is not changed.
"""

from dataclasses import dataclass

from cardamomdrift.position import Position

MESSAGE_SIZE_LIMIT = 1024 * 1024  # bytes of a message, without the end of its line
# Bytes of a statement's message besides the caller's text and id: keywords, the
# position to wait for, and the name of a prepared statement.
MESSAGE_OVERHEAD_LIMIT = 128


@dataclass(frozen=True, slots=True)
class Begin:
    """Opens a transaction at an instance that has reached ``floor``."""

    read_only: bool
    floor: Position | None = None


@dataclass(frozen=True, slots=True)
class Commit:
    """Commits the transaction."""

    text: str = "COMMIT"


@dataclass(frozen=True, slots=True)
class Rollback:
    """Rolls the transaction back."""


@dataclass(frozen=True, slots=True)
class Read:
    """Runs a read at an instance that has reached ``floor``."""

    text: str
    floor: Position | None = None


@dataclass(frozen=True, slots=True)
class Write:
    """Runs a write."""

    text: str


@dataclass(frozen=True, slots=True)
class SetValue:
    """Sets a session value."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class Prepare:
    """Prepares a statement; ``writes`` tells whether it is a write."""

    name: str
    writes: bool
    shape: str


@dataclass(frozen=True, slots=True)
class Execute:
    """Runs a prepared statement.

    Attributes
    ----------
    name : str
    tail : str
        The text after the name as the caller sent it, with the blank before its
        arguments.
    floor : Position or None
    """

    name: str
    tail: str
    floor: Position | None = None


@dataclass(frozen=True, slots=True)
class Discard:
    """Deallocates a prepared statement."""

    name: str


@dataclass(frozen=True, slots=True)
class Reset:
    """Clears the values and prepared statements of a connection."""


@dataclass(frozen=True, slots=True)
class StepDown:
    """Makes an instance a replica if it is primary of a lower term."""

    term: int


@dataclass(frozen=True, slots=True)
class Malformed:
    """Input that is not a valid command."""

    reason: str
