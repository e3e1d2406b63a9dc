"""
Commands
========

What a session asks for, and what a daemon sends to an instance, whatever the wire
protocol.  The text of reads and writes is passed on as it came.
"""

from dataclasses import dataclass

from cardamomdrift.position import Position


@dataclass(frozen=True, slots=True)
class Begin:
    """Opens a transaction; ``floor`` is what the instance must have reached."""

    read_only: bool
    floor: Position | None = None


@dataclass(frozen=True, slots=True)
class Commit:
    """Commits the transaction."""


@dataclass(frozen=True, slots=True)
class Rollback:
    """Rolls the transaction back."""


@dataclass(frozen=True, slots=True)
class Read:
    """Reads; ``floor`` is what the instance must have reached."""

    text: str
    floor: Position | None = None


@dataclass(frozen=True, slots=True)
class Write:
    """Writes."""

    text: str


@dataclass(frozen=True, slots=True)
class SetValue:
    """Sets a value of the session."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class Prepare:
    """Gives a name to a statement shape; ``writes`` tells what it does."""

    name: str
    writes: bool
    shape: str


@dataclass(frozen=True, slots=True)
class Execute:
    """Runs a prepared statement."""

    name: str
    arguments: str
    floor: Position | None = None


@dataclass(frozen=True, slots=True)
class Discard:
    """Forgets a prepared statement."""

    name: str


@dataclass(frozen=True, slots=True)
class Reset:
    """Clears the values and prepared statements of a connection."""


@dataclass(frozen=True, slots=True)
class StepDown:
    """Makes a primary of a lower term a replica."""

    term: int


@dataclass(frozen=True, slots=True)
class Malformed:
    """A text that is no command."""

    reason: str
