"""
Stand-in database instance
==========================

A small MySQL-protocol server with asynchronous replication, terms, log positions,
slots, a connection limit and a connect time.  It serves the procedures that
docs/UPSTREAM.md describes.  Tests inject faults with `crash`, `restart`,
`partition`, `heal` and `silence_connections`.
"""

import asyncio
import math
import re
from dataclasses import dataclass, field, replace

from cardamomdrift.errors import StatementRefused
from cardamomdrift.mysql.wire import (
    PasswordlessIdentity,
    WireServer,
)
from cardamomdrift.position import ORIGIN, Position
from cardamomdrift.standins.engine import Engine
from cardamomdrift.standins.session import READ_ONLY_ERROR, StandinSession
from cardamomdrift.util import cancel_all

LOCK_WAIT_TIMEOUT_ERROR = 1205  # MySQL error code
LOCK_WAIT_LIMIT = 5.0  # seconds
PULL_INTERVAL = 0.02  # seconds between two checks of the source's log
HEARTBEAT_INTERVAL = 0.1  # seconds between signs of life from an idle source
MAX_PACKET = 4 * 1024 * 1024  # bytes
MILLISECONDS = 1000.0  # per second

REQUEST_TABLE = (
    "CREATE TABLE cardamomdrift_requests (request_key VARCHAR(128) PRIMARY KEY, "
    "request_digest VARCHAR(32) NOT NULL, affected_rows BIGINT, insert_id BIGINT)"
)

_COST = re.compile(r"/\*\s*cost_ms=(\d+(?:\.\d+)?)\s*\*/")


@dataclass(frozen=True, slots=True)
class LogEntry:
    """A committed transaction in the log of an instance.

    Attributes
    ----------
    position : Position
    statements : tuple of str
    committed_at : float
        Seconds of the event loop's clock.
    """

    position: Position
    statements: tuple
    committed_at: float


@dataclass(slots=True)
class InstanceOptions:
    """Behaviour of a stand-in instance; times are in seconds.

    Attributes
    ----------
    slots : int
        Statements that run at the same time.
    max_connections : int
    connect_time : float
        Time that a new connection takes, besides the link delay.
    link_delay : float
        One-way delay of the network link.
    service_time : float
        Time for which a statement holds its slot.
    lag : float
        Time after a commit until a replica applies it.
    schema : tuple of str
        Statements that the first primary runs at its start.
    """

    slots: int = 2
    max_connections: int = 16
    connect_time: float = 0.0
    link_delay: float = 0.0
    service_time: float = 0.0
    lag: float = 0.0
    schema: tuple = field(default_factory=tuple)


class StandinInstance:
    """One MySQL-protocol instance of a group; an async context manager.

    Attributes
    ----------
    appended : asyncio.Event
        Set and replaced by a new event when the log grows.
    texts : list of str or None
        Receives the text of each statement, if it is a list.
    """

    def __init__(self, name, options):
        self._name = name
        self._options = options
        self._engine = Engine()
        self._log = []
        self._fence_term = 0
        self._fence_owner = ""
        self._led_term = 0
        self._source = None
        self._source_heard_at = 0.0
        self._write_lock = asyncio.Lock()
        self._writer_session = None
        self._slots = asyncio.Semaphore(options.slots)
        self._server = None
        self._port = 0
        self._replication_task = None
        self._partitioned_clients = set()
        self._partitioned_from_all = False
        self._replication_partitioned = False
        self._healed = asyncio.Event()
        self._sessions = set()
        self._statements = 0
        self.appended = asyncio.Event()
        self.texts = None

    @property
    def name(self):
        """Name of the instance."""
        return self._name

    @property
    def options(self):
        """The InstanceOptions; they may be changed at any time."""
        return self._options

    @property
    def address(self):
        """Address of the instance as ``ip:port``."""
        return f"127.0.0.1:{self._port}"

    @property
    def port(self):
        """Port of the instance."""
        return self._port

    @property
    def log(self):
        """The LogEntry values of the instance, oldest first."""
        return tuple(self._log)

    @property
    def statements(self):
        """Number of statements that have held a slot."""
        return self._statements

    @property
    def connections(self):
        """Number of open connections."""
        return len(self._sessions)

    @property
    def position(self):
        """Position of the last log entry."""
        return self._log[-1].position if self._log else ORIGIN

    @property
    def leads(self):
        """Whether the instance is the primary of the term that it is fenced at."""
        return bool(self._led_term) and self._led_term == self._fence_term

    @property
    def source_name(self):
        """Name of the instance that this one replicates from, or empty."""
        return self._source.name if self._source else ""

    @property
    def running(self):
        """Whether the instance accepts connections."""
        return self._server is not None

    async def __aenter__(self):
        await self._listen()
        self._replication_task = asyncio.create_task(self._replicate())
        return self

    async def __aexit__(self, *exc_info):
        await cancel_all([self._replication_task])
        if self._server is not None:
            await self._server.close()
        self._engine.close()

    async def _listen(self):
        server = WireServer(
            lambda: StandinSession(self, find_instance),
            PasswordlessIdentity(),
            self._options.max_connections,
            MAX_PACKET,
        )
        await server.open("127.0.0.1", self._port)
        self._port = server.port
        self._server = server

    def bootstrap(self, statements):
        """Make the instance the primary of term 1 and run the schema statements."""
        self._fence_term = 1
        self._fence_owner = "bootstrap"
        self._led_term = 1
        self._append((REQUEST_TABLE, *statements), run=True)
        # Replicas apply the schema at once, whatever their lag.
        self._log[0] = replace(self._log[0], committed_at=-math.inf)

    def bootstrap_replica(self, source):
        """Make the instance a replica of the bootstrapped primary."""
        self._fence_term = 1
        self._fence_owner = "bootstrap"
        self._source = source

    # Faults

    def crash(self):
        """Stop abruptly; committed data is kept."""
        if self._server is None:
            return
        self._server.stop_listening()
        self._server.abort_connections()
        self._server = None

    async def restart(self):
        """Start again with the data, term and role from before the crash."""
        await self._listen()

    def partition(self, clients=None, replication=True):
        """Partition the instance from clients and, by default, from replication.

        Parameters
        ----------
        clients : iterable of str, optional
            Names of the clients; all by default.
        replication : bool
            Whether replication from and to the instance stops too.
        """
        self._healed.clear()
        if clients is None:
            self._partitioned_from_all = True
        else:
            self._partitioned_clients.update(clients)
        self._replication_partitioned = replication

    def heal(self):
        """Undo `partition`."""
        self._partitioned_from_all = False
        self._partitioned_clients.clear()
        self._replication_partitioned = False
        self._healed.set()

    def silence_connections(self):
        """Make all open connections hang for ever; new connections work."""
        for session in self._sessions:
            session.silent = True

    async def wait_until_reachable(self, session):
        """Wait until no partition blocks the session; for ever if it was silenced."""
        if session.silent:
            await asyncio.Event().wait()
        while self._partitioned_from_all or session.client in self._partitioned_clients:
            self._healed.clear()
            await self._healed.wait()

    # Procedures

    def status(self):
        """Return the row of the status procedure."""
        return self._status_row(True)

    def fence(self, term, owner):
        """Raise the fence to a term; return the status row.

        A higher fence term ends the leadership of lower terms and aborts the open
        write transaction.  Repeating the same fence is accepted.
        """
        repeated = term == self._fence_term and owner == self._fence_owner
        accepted = term > self._fence_term or repeated
        if accepted and not repeated:
            self._fence_term = term
            self._fence_owner = owner
            self._abort_write_transaction()
        return self._status_row(accepted)

    def promote(self, term, owner):
        """Become the primary if the owner fenced this term; return the status row."""
        accepted = term == self._fence_term and owner == self._fence_owner
        if accepted and self._led_term != term:
            self._led_term = term
            self._source = None
            self._append((), run=False)
        return self._status_row(accepted)

    def follow(self, term, source):
        """Replicate from the primary of a term; return the status row."""
        accepted = term >= self._fence_term and not (
            self.leads and term == self._fence_term
        )
        if accepted:
            if term > self._fence_term:
                self._fence_term = term
                self._fence_owner = ""
                self._abort_write_transaction()
            self._source = source
        return self._status_row(accepted)

    def _status_row(self, accepted):
        source = self._source.address if self._source else ""
        silence_ms = (
            asyncio.get_running_loop().time() - self._source_heard_at
        ) * MILLISECONDS
        return (
            self._fence_term,
            self._fence_owner,
            self.position.term,
            self.position.sequence,
            int(self.leads),
            source,
            int(silence_ms),
            int(accepted),
        )

    # Statements

    def _abort_write_transaction(self):
        if self._writer_session is not None:
            self._writer_session.abort()

    def _append(self, statements, run):
        if run:
            self._engine.apply(statements)
        position = Position(self._led_term, self.position.sequence + 1)
        now = asyncio.get_running_loop().time()
        self._log.append(LogEntry(position, tuple(statements), now))
        self.appended.set()
        self.appended = asyncio.Event()

    async def open_write_transaction(self, session):
        """Wait for the write lock and open the write transaction for a session.

        Raises
        ------
        StatementRefused
            If the lock is not free in time, or the instance is not the primary.
        """
        try:
            async with asyncio.timeout(LOCK_WAIT_LIMIT):
                await self._write_lock.acquire()
        except TimeoutError:
            raise StatementRefused(
                LOCK_WAIT_TIMEOUT_ERROR, "Lock wait timeout"
            ) from None
        if not self.leads:
            self._write_lock.release()
            raise StatementRefused(READ_ONLY_ERROR, "instance is read-only")
        self._writer_session = session
        self._engine.begin()

    def end_write_transaction(self, commit):
        """Commit or roll back the write transaction and release the lock."""
        statements = self._engine.commit() if commit else self._engine.rollback()
        if statements:
            self._append(statements, run=False)
        self._writer_session = None
        self._write_lock.release()

    async def hold_slot(self, sql):
        """Hold a slot for the statement's ``cost_ms``, or else the service time."""
        match = _COST.search(sql)
        seconds = (
            float(match[1]) / MILLISECONDS if match else self._options.service_time
        )
        async with self._slots:
            self._statements += 1
            if seconds:
                await asyncio.sleep(seconds)

    def read(self, sql):
        """Run a statement on the committed data."""
        return self._engine.read(sql)

    def write(self, sql):
        """Run a statement in the open write transaction."""
        return self._engine.write(sql)

    def record(self, sql):
        """Keep the text of a statement, if `texts` is a list."""
        if self.texts is not None:
            self.texts.append(sql)

    def attach(self, session):
        """Register an open session."""
        self._sessions.add(session)

    def detach(self, session):
        """Remove a closed session."""
        self._sessions.discard(session)

    # Replication

    async def _replicate(self):
        while True:
            source = self._source
            if source is None:
                await asyncio.sleep(PULL_INTERVAL)
                continue
            if self._can_replicate_from(source):
                self._source_heard_at = asyncio.get_running_loop().time()
                self._apply_from(source)
            await self._wait_for_entries(source)

    async def _wait_for_entries(self, source):
        if self._options.lag or not self._can_replicate_from(source):
            await asyncio.sleep(PULL_INTERVAL)
            return
        try:
            async with asyncio.timeout(HEARTBEAT_INTERVAL):
                await source.appended.wait()
        except TimeoutError:
            return
        await asyncio.sleep(self._options.link_delay)

    def _can_replicate_from(self, source):
        partitioned = self._replication_partitioned or source._replication_partitioned
        return self.running and source.running and not partitioned

    def _apply_from(self, source):
        """Apply the source's log entries that are older than the lag."""
        if not source.leads or source._led_term < self._fence_term or self.leads:
            return
        if not self._log_is_prefix_of(source):
            self._clone(source)
        committed_before = asyncio.get_running_loop().time() - self._options.lag
        for entry in source._log[len(self._log) :]:
            if entry.committed_at > committed_before:
                break
            self._engine.apply(entry.statements)
            self._log.append(entry)

    def _clone(self, source):
        """Take over the whole log of the source, since the logs differ.

        This restarts the server, as MySQL's clone does.  No status is answered in
        between: an instance with a part of the log could count in a majority.
        """
        self._server.abort_connections()
        self._engine.reset()
        self._log = list(source._log)
        for entry in self._log:
            self._engine.apply(entry.statements)

    def _log_is_prefix_of(self, source):
        """Return whether the source's log continues the log of this instance."""
        length = len(self._log)
        if not length:
            return True
        if length > len(source._log):
            return False
        return source._log[length - 1].position == self._log[-1].position


_INSTANCES = {}


def register_instance(instance):
    """Register an instance under its address, for `find_instance`."""
    _INSTANCES[instance.address] = instance


def unregister_instance(instance):
    """Undo `register_instance`."""
    _INSTANCES.pop(instance.address, None)


def find_instance(address):
    """Return the registered instance at ``ip:port``."""
    return _INSTANCES[address]
