"""
Session state
=============

Values and prepared statements belong to the caller's session.  Any connection may run
the session's statements: what a connection has loaded is recorded, and only the
difference is sent, in one write with the statement.  At the instances, the name of a
prepared statement derives from its shape, so that sessions share it.
"""

from dataclasses import dataclass, field
from hashlib import blake2b

from cardamomdrift.limits.memory import SESSION_STATE_LIMIT, memory_size
from cardamomdrift.sessions.commands import (
    MESSAGE_OVERHEAD_LIMIT,
    MESSAGE_SIZE_LIMIT,
    Discard,
    Prepare,
    Reset,
    SetValue,
)
from cardamomdrift.util import text_size

VALUES_LIMIT = 256  # values of one session; bounds its memory
PREPARED_LIMIT = 256  # prepared statements of one session; bounds its memory
CONNECTION_PREPARED_LIMIT = 512  # shapes prepared on one connection before it is reset
# Bytes in memory of the values that are kept of what a connection has loaded.  Beyond
# it those above KEPT_VALUE_SIZE are replaced by UNKNOWN_VALUE.
LOADED_SIZE_LIMIT = 64 * 1024
KEPT_VALUE_SIZE = 256
# Stands for a value that was loaded and is not kept.  No message holds a line break, so
# it equals no value of a caller, and the value is sent again.
UNKNOWN_VALUE = "\r\n"
# Upstream name of statements whose messages have no room for a longer one.
SHORT_NAME = "x"
UPSTREAM_NAME_BYTES = 16  # of the hash in a prepared statement's upstream name


@dataclass(slots=True)
class SessionState:
    """Values and prepared statements of a caller's session.

    Attributes
    ----------
    values : dict of str to str
    prepared : dict of str to Prepare
        Prepared statements by the caller's names.
    size : int
        Bytes that they take in memory.
    size_limit : int
        What ``size`` may become.
    """

    values: dict = field(default_factory=dict)
    prepared: dict = field(default_factory=dict)
    size: int = 0
    size_limit: int = SESSION_STATE_LIMIT

    def set_value(self, name, value):
        """Set a value; return whether there was room for it."""
        old = self.values.get(name)
        before = 0 if old is None else memory_size(name) + memory_size(old)
        if not self._resize(before, memory_size(name) + memory_size(value)):
            return False
        self.values[name] = value
        return True

    def prepare(self, command):
        """Keep a prepared statement; return whether there was room for it."""
        before = self._prepared_size(self.prepared.get(command.name))
        if not self._resize(before, self._prepared_size(command)):
            return False
        self.prepared[command.name] = command
        return True

    def discard(self, name):
        """Forget a prepared statement."""
        self.size -= self._prepared_size(self.prepared.pop(name, None))

    @staticmethod
    def _prepared_size(command):
        if command is None:
            return 0
        return memory_size(command.name) + memory_size(command.shape)

    def _resize(self, before, after):
        size = self.size - before + after
        if after > before and size > self.size_limit:
            return False
        self.size = size
        return True


@dataclass(slots=True)
class LoadedState:
    """Session state that a connection to an instance has loaded.

    Attributes
    ----------
    values : dict of str to str
    prepared : set of str
        Upstream names of prepared statements.
    """

    values: dict = field(default_factory=dict)
    prepared: set = field(default_factory=set)


def upstream_name(prepared, extensible=True):
    """Return the name that a prepared statement has at the instances.

    Callers choose the shapes, and sessions share connections, so the hash must resist
    collisions.

    Parameters
    ----------
    prepared : Prepare
    extensible : bool
        Whether the message that executes it has room for a longer name.
    """
    if not extensible:
        return SHORT_NAME
    if text_size(prepared.shape) + MESSAGE_OVERHEAD_LIMIT > MESSAGE_SIZE_LIMIT:
        return SHORT_NAME
    prefix = "w" if prepared.writes else "r"
    shape = prepared.shape.encode("utf-8", "surrogateescape")
    return prefix + blake2b(shape, digest_size=UPSTREAM_NAME_BYTES).hexdigest()


def plan_setup(loaded, values, prepared, extensible=True, in_transaction=False):
    """Return the commands that load a session's state into a connection.

    Parameters
    ----------
    loaded : LoadedState
    values : dict of str to str
        Values of the session.
    prepared : Prepare or None
        Prepared statement that is to run.
    extensible : bool
        See `upstream_name`.
    in_transaction : bool
        Whether a transaction is open there, inside which no reset makes room for
        prepared statements.
    """
    steps = []
    loaded_values, loaded_names = loaded.values, loaded.prepared
    is_full = len(loaded_names) >= CONNECTION_PREPARED_LIMIT
    if not loaded_values.keys() <= values.keys() or (is_full and not in_transaction):
        steps.append(Reset())
        loaded_values, loaded_names = {}, ()
    steps.extend(
        SetValue(name, value)
        for name, value in values.items()
        if loaded_values.get(name) != value
    )
    if prepared is not None:
        name = upstream_name(prepared, extensible)
        if name == SHORT_NAME and name in loaded_names:
            # It may stand for the statement of another session.
            steps.append(Discard(name))
        if name == SHORT_NAME or name not in loaded_names:
            steps.append(Prepare(name, prepared.writes, prepared.shape))
    return steps


def record_setup(loaded, steps):
    """Record that a connection has run the commands of `plan_setup`."""
    for step in steps:
        match step:
            case Reset():
                loaded.values = {}
                loaded.prepared = set()
            case SetValue(name, value):
                loaded.values[name] = value
            case Discard(name):
                loaded.prepared.discard(name)
            case Prepare(name):
                loaded.prepared.add(name)
    if any(isinstance(step, SetValue) for step in steps):
        _drop_large_values(loaded.values)


def _drop_large_values(values):
    """Keep no large values, which would outlive their session at a connection."""
    if sum(map(memory_size, values.values())) <= LOADED_SIZE_LIMIT:
        return
    for name, value in values.items():
        if memory_size(value) > KEPT_VALUE_SIZE:
            values[name] = UNKNOWN_VALUE
