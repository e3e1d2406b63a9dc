"""
Line session
============

State of an instance that speaks the line protocol, and of one connection to it.
"""

from dataclasses import dataclass, field


@dataclass
class InstanceFaults:
    """Faults of one instance.

    Attributes
    ----------
    silent : bool
        It accepts connections and requests but sends nothing.
    lose_answers : int
        Number of next statements that run but whose answers are lost.
    busy : int
        Number of next statements that are refused with BUSY.
    replication_stopped : bool
        It receives no log entries from its primary.
    silent_to : set of str
        Names of the daemons to which it is silent.
    """

    silent: bool = False
    lose_answers: int = 0
    busy: int = 0
    replication_stopped: bool = False
    silent_to: set = field(default_factory=set)


@dataclass(frozen=True)
class ReceivedStatement:
    """Read, write, execution or commit exactly as an instance received it.

    Attributes
    ----------
    request_id : str
    text : str
        Without the position to wait for; bytes that are not valid text are escaped.
    shape : str or None
        Shape of the prepared statement that is executed.
    values : dict of str to str
        Values of the session.
    user : str
        Daemon or customer that opened the connection.
    """

    request_id: str
    text: str
    shape: str | None
    values: dict
    user: str = ""


@dataclass
class LineSession:
    """Server-side state of one connection to an instance.

    Attributes
    ----------
    daemon : str
        Name of the daemon that opened the connection.
    values : dict of str to str
        Session values that were set.
    prepared : dict of str to tuple
        Kind, ``READ`` or ``WRITE``, and shape of each prepared statement, by name.
    state : str
        Transaction state of the READY line: I, T or E.
    read_only : bool
    written : list of tuple
        Writes of the open transaction as (item, value).
    """

    daemon: str = ""
    values: dict = field(default_factory=dict)
    prepared: dict = field(default_factory=dict)
    state: str = "I"
    read_only: bool = False
    written: list = field(default_factory=list)
