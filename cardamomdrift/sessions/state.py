"""
Session state
=============

Values and prepared statements belong to the caller's session and follow it to whichever
connection runs it.  A connection remembers what it holds, so only the difference is
sent, in one write with the statement.  Upstream names of prepared statements come from
their shape, so sessions share them.
"""

from dataclasses import dataclass, field

from cardamomdrift.sessions.commands import Prepare, Reset, SetValue
from cardamomdrift.util import hash_text

VALUES_LIMIT = 256  # values of one session; bounds its memory
PREPARED_LIMIT = 256  # prepared names of one session
CONNECTION_PREPARED_LIMIT = 512  # shapes prepared on one connection before it is reset
UPSTREAM_NAME_DIGITS = 16  # hex digits of an upstream name


@dataclass(slots=True)
class SessionState:
    """What a caller's session has set up.

    Attributes
    ----------
    values : dict of str to str
    prepared : dict of str to Prepare
    """

    values: dict = field(default_factory=dict)
    prepared: dict = field(default_factory=dict)


@dataclass(slots=True)
class LoadedState:
    """What a connection to an instance holds.

    Attributes
    ----------
    values : dict of str to str
    prepared : set of str
        Upstream names.
    """

    values: dict = field(default_factory=dict)
    prepared: set = field(default_factory=set)


def upstream_name(prepared):
    """Return the name that a prepared statement has at the instances."""
    prefix = "w" if prepared.writes else "r"
    return prefix + hash_text(prepared.shape)[:UPSTREAM_NAME_DIGITS]


def plan_setup(loaded, values, prepared):
    """Return the commands that bring a connection to a session's state.

    Parameters
    ----------
    loaded : LoadedState
    values : dict of str to str
        Values of the session.
    prepared : Prepare or None
        Statement of the session that is to run.
    """
    steps = []
    loaded_values, loaded_names = loaded.values, loaded.prepared
    if (
        not loaded_values.keys() <= values.keys()
        or len(loaded_names) >= CONNECTION_PREPARED_LIMIT
    ):
        steps.append(Reset())
        loaded_values, loaded_names = {}, ()
    steps.extend(
        SetValue(name, value)
        for name, value in values.items()
        if loaded_values.get(name) != value
    )
    if prepared is not None:
        name = upstream_name(prepared)
        if name not in loaded_names:
            steps.append(Prepare(name, prepared.writes, prepared.shape))
    return steps


def record_setup(loaded, steps):
    """Take in that a connection has run the commands of `plan_setup`."""
    for step in steps:
        match step:
            case Reset():
                loaded.values = {}
                loaded.prepared = set()
            case SetValue(name, value):
                loaded.values[name] = value
            case Prepare(name):
                loaded.prepared.add(name)
