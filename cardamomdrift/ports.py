"""
Ports
=====

What the core asks of an edge: connections to instances, the platform's store, and the
call that promotes an instance.  An edge implements these and decides nothing.
"""

from dataclasses import dataclass
from enum import Enum, auto
from typing import Protocol

from cardamomdrift.position import Position


class Refusal(Enum):
    """Why an instance did not serve a statement."""

    BUSY = auto()
    BEHIND = auto()
    READ_ONLY = auto()
    WRONG_INSTANCE = auto()
    TOO_MANY_CONNECTIONS = auto()
    NO_SUCH_STATEMENT = auto()
    FAILED = auto()
    TIMED_OUT = auto()
    OTHER = auto()


NOT_RUN = frozenset(
    (
        Refusal.BUSY,
        Refusal.BEHIND,
        Refusal.READ_ONLY,
        Refusal.WRONG_INSTANCE,
        Refusal.TOO_MANY_CONNECTIONS,
        Refusal.NO_SUCH_STATEMENT,
    )
)


class TransactionState(Enum):
    """State of a session between two statements."""

    IDLE = auto()
    OPEN = auto()
    FAILED = auto()


@dataclass(slots=True)
class Reply:
    """Answer of an instance to one statement.

    Attributes
    ----------
    rows : list of str
    signature : str
        What proves the answer to the caller; empty if the statement failed.
    refusal : Refusal or None
    code : str
        The instance's own word for the failure.
    detail : str
    state : TransactionState
    position : Position or None
        What the instance's log had reached.
    """

    rows: list
    signature: str = ""
    refusal: Refusal | None = None
    code: str = ""
    detail: str = ""
    state: TransactionState = TransactionState.IDLE
    position: Position | None = None

    @property
    def not_run(self):
        """Whether the instance says that the statement had no effect."""
        return self.refusal in NOT_RUN


@dataclass(frozen=True, slots=True)
class InstanceStatus:
    """What an instance says of itself.

    Attributes
    ----------
    primary : bool
    term : int
        Term that it follows or leads.
    received : Position
        Last entry that it has received, applied or not.
    """

    primary: bool
    term: int
    received: Position


class StatementConnection(Protocol):
    """A connection to an instance, one's own or another VM's.

    Attributes
    ----------
    reusable : bool
        Whether the next request may use it: open, and no answer outstanding.
    loaded : LoadedState
        Session values and prepared statements that it holds.
    state : TransactionState
        As the last answer said.
    position : Position or None
        What the instance's log had reached at the last answer.
    lender : str
        VM that lends it; empty for one's own.
    """

    reusable: bool
    loaded: object
    state: TransactionState
    position: Position | None
    lender: str

    async def exchange(self, steps):
        """Send statements in one write and return their replies in order.

        Parameters
        ----------
        steps : list of (str or None, command)
            Request id of the caller, or None for the daemon's own statements.

        Raises
        ------
        UpstreamUnreachable
            The connection was found closed; nothing was sent.
        UpstreamLost
            The connection failed after bytes may have left.
        """

    def close(self):
        """Close the connection at once."""


class InstanceConnection(StatementConnection, Protocol):
    """One's own connection to an instance."""

    async def status(self):
        """Return the InstanceStatus; it takes a slot."""


@dataclass(frozen=True, slots=True)
class Row:
    """One row of the store."""

    key: str
    value: bytes
    version: int


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Rows of a table as of one moment, by key; ``version`` is the newest of all."""

    rows: dict
    version: int


@dataclass(frozen=True, slots=True)
class Changes:
    """Rows changed since a version; a removed row has no value.

    Attributes
    ----------
    changed : dict of str to Row
    removed : frozenset of str
    version : int
        Version of the store that they lead to.
    newest : int
        Version of the last of these changes.
    """

    changed: dict
    removed: frozenset
    version: int
    newest: int = 0


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """The store has dropped the history that was asked for."""


@dataclass(frozen=True, slots=True)
class Committed:
    """The transaction took effect."""

    version: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """A condition did not hold; nothing was changed.

    Attributes
    ----------
    rows : dict of str to Row
        The rows that the conditions name, as they are.
    """

    rows: dict


class MetadataStore(Protocol):
    """The platform's store; every method may raise PlatformUnavailable."""

    async def read(self, table):
        """Return the Snapshot of a table."""

    async def watch(self, table, after, wait):
        """Return Changes after a version, or HistoryGone."""

    async def commit(self, table, expected, puts, removes=()):
        """Change rows together if all have the expected versions.

        Parameters
        ----------
        table : str
        expected : dict of str to int
            Versions by key; 0 for a row that does not exist.
        puts : dict of str to bytes
        removes : iterable of str

        Returns
        -------
        Committed or Conflict
        """


class PromotionService(Protocol):
    """The platform's call that names a new primary."""

    async def promote(self, group, instance, holder, token, timeout):
        """Make an instance lead the group's next term.

        Returns
        -------
        bool
            Whether the platform took it; False if the instance is not running.

        Raises
        ------
        PlatformUnavailable
            No answer; the call may take effect until its connection is reset.
        """
