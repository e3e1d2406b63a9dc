"""
Line protocol stand-in
======================

Instances of one database group that speak the platform's line protocol, with delayed
replication, promotion, and faults: crash, silence, lost answers, stopped replication.
"""

import asyncio

from cardamomdrift.standins.entries import instance_entry
from cardamomdrift.standins.line_session import (
    InstanceFaults,
    LineSession,
    ReceivedStatement,
)
from cardamomdrift.util import keep_task

PROMOTION_TIME = 0.05  # seconds until a promoted instance accepts writes
MESSAGE_SIZE_LIMIT = 1024 * 1024  # bytes of one line, without its end


class LineInstance:
    """One line-protocol instance of a group; an async context manager.

    Parameters
    ----------
    group : LineGroup
    name : str
    host : str

    Attributes
    ----------
    log : list of tuple
        Committed entries as (term, item, value).
    lag : float
        Seconds until the instance, as a replica, receives an entry.
    service_time : float
        Seconds that each read, write and commit takes.
    executed_statements : list of tuple
        Executed statements as (request id, text, session values).
    committed : list of tuple
        Commits as (request id, empty text, own term, highest term of any
        primary).
    received : list of ReceivedStatement
        All that the caller's request id came with, whether it ran or not.
    connections_opened : int
        Number of connections since the instance was created.
    """

    def __init__(self, group, name, host="127.0.0.1"):
        self._group = group
        self._host = host
        self._server = None
        self._writers = set()
        self.name = name
        self.port = 0
        self.term = 1
        self.log = []
        self.primary = False
        self.draining = False
        self.lag = 0.0
        self.service_time = 0.0
        self.faults = InstanceFaults()
        self.executed_statements = []
        self.committed = []
        self.received = []
        self.connections_opened = 0

    @property
    def running(self):
        """Whether the instance accepts connections."""
        return self._server is not None

    @property
    def address(self):
        """Address of the instance as ``ip:port``."""
        return f"{self._host}:{self.port}"

    @property
    def position(self):
        """Position of the end of the log, as ``TERM.NUMBER``."""
        return f"{self.log[-1][0] if self.log else self.term}.{len(self.log)}"

    @property
    def connections(self):
        """Number of open connections."""
        return len(self._writers)

    async def __aenter__(self):
        await self.start()
        return self

    async def __aexit__(self, *exc_info):
        await self.crash()

    async def start(self):
        """Start listening; a restarted instance keeps its port."""
        self._server = await asyncio.start_server(
            self._serve, self._host, self.port, limit=MESSAGE_SIZE_LIMIT
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def crash(self):
        """Stop abruptly; the log is kept."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        self.connections_opened += 1
        session = LineSession()
        try:
            word, _, rest = (await self._read(reader)).partition(" ")
            group_name, session.daemon, instance_name = [*rest.split(" "), ""][:3]
            if (
                word != "START"
                or group_name != self._group.name
                or instance_name != self.name
            ):
                writer.write(f"ERROR WRONGNODE {self.name}\r\n".encode())
                return
            if len(self._writers) > self._group.connections:
                writer.write(f"ERROR CONNLIMIT {self.name}\r\n".encode())
                return
            if self._is_silent(session):
                await asyncio.sleep(3600)
            writer.write(f"READY I {self.position}\r\n".encode())
            while True:
                line = await self._read(reader)
                _, request_id, text = line.split(" ", 2)
                await self._answer(writer, session, request_id, text)
        except asyncio.LimitOverrunError:
            # Instances close a connection on which a message is too large.
            return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            # Only the end of the event loop cancels this task; nothing awaits it.
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    @staticmethod
    async def _read(reader):
        line = await reader.readuntil(b"\r\n")
        return line[:-2].decode("utf-8", "surrogateescape")

    def _is_silent(self, session):
        return self.faults.silent or session.daemon in self.faults.silent_to

    async def _answer(self, writer, session, request_id, text):
        if session.daemon in self.faults.silent_to:
            return
        lines = await self._run(session, request_id, text)
        if self._is_silent(session):
            return
        executed = any(line.startswith("COMPLETE sig") for line in lines)
        if executed and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return
        lines.append(f"READY {session.state} {self.position}")
        answer = "".join(f"{line}\r\n" for line in lines)
        writer.write(answer.encode("utf-8", "surrogateescape"))

    async def _run(self, session, request_id, text):
        word, _, rest = text.partition(" ")
        if word == "WAITLSN":
            position, _, text = rest.partition(" ")
            if not self._has_reached(position):
                return [f"ERROR LAGGING {self.name}"]
            word, _, rest = text.partition(" ")
        handler = getattr(self, f"_do_{word.lower()}", None)
        if handler is None:
            return [f"ERROR MALFORMED {word}"]
        is_data_statement = word in ("READ", "WRITE", "EXECUTE", "COMMIT")
        if is_data_statement:
            shape = None
            if word == "EXECUTE":
                _, shape = session.prepared.get(rest.partition(" ")[0], (None, None))
            received = ReceivedStatement(
                request_id, text, shape, dict(session.values), session.daemon
            )
            self.received.append(received)
        if is_data_statement and self.faults.busy > 0:
            self.faults.busy -= 1
            return [f"ERROR BUSY {self.name}"]
        if is_data_statement and self.service_time:
            await asyncio.sleep(self.service_time)
        return handler(session, request_id, rest)

    def _has_reached(self, position):
        term, _, number = position.partition(".")
        log_term, _, log_number = self.position.partition(".")
        return (int(log_term), int(log_number)) >= (int(term), int(number))

    def _complete(self, request_id, text, session):
        """Record an executed statement and return its COMPLETE line."""
        self.executed_statements.append((request_id, text, dict(session.values)))
        return f"COMPLETE sig-{self.name}-{request_id}"

    # Statements

    def _do_begin(self, session, _request_id, rest):
        if rest != "READ" and not self.primary:
            return [f"ERROR READONLY {self.name}"]
        session.state, session.read_only = "T", rest == "READ"
        session.written = []
        return ["COMPLETE -"]

    def _do_rollback(self, session, _request_id, _rest):
        session.state = "I"
        return ["COMPLETE -"]

    def _do_commit(self, session, request_id, _rest):
        session.state = "I"
        if session.written and not self.primary:
            return [f"ERROR READONLY {self.name}"]
        for write in session.written:
            self._group.append(self, write)
        if session.written:
            self._record_commit(request_id)
        return [self._complete(request_id, "COMMIT", session)]

    def _do_read(self, session, request_id, rest):
        row = f"ROW {rest}={self._value(rest)}"
        return [self._complete(request_id, f"READ {rest}", session), row][::-1]

    def _value(self, item):
        values = [value for _, name, value in self.log if name == item]
        return values[-1] if values else ""

    def _do_write(self, session, request_id, rest):
        item, _, value = rest.partition(" ")
        if not self.primary:
            session.state = "E" if session.state == "T" else session.state
            return [f"ERROR READONLY {self.name}"]
        if session.state == "T":
            session.written.append((item, value))
        else:
            self._group.append(self, (item, value))
            self._record_commit(request_id)
        return [self._complete(request_id, f"WRITE {rest}", session)]

    def _record_commit(self, request_id):
        """Record a commit with its term and the highest term of any primary."""
        newest = self._group.newest_term
        self.committed.append((request_id, "", self.term, newest))

    def _do_execute(self, session, request_id, rest):
        name, _, arguments = rest.partition(" ")
        if name not in session.prepared:
            return [f"ERROR NOSUCHSTMT {name}"]
        kind, _shape = session.prepared[name]
        if kind == "WRITE":
            return self._do_write(session, request_id, arguments)
        return self._do_read(session, request_id, arguments)

    def _do_set(self, session, _request_id, rest):
        name, _, value = rest.partition(" ")
        session.values[name] = value
        return ["COMPLETE -"]

    def _do_parse(self, session, _request_id, rest):
        name, kind, shape = rest.split(" ", 2)
        session.prepared[name] = (kind, shape)
        return ["COMPLETE -"]

    def _do_close(self, session, _request_id, rest):
        session.prepared.pop(rest, None)
        return ["COMPLETE -"]

    def _do_reset(self, session, _request_id, _rest):
        session.values.clear()
        session.prepared.clear()
        return ["COMPLETE -"]

    def _do_stepdown(self, _session, _request_id, rest):
        if self.primary and self.term < int(rest):
            self.primary = False
        return ["COMPLETE -"]

    def _do_status(self, _session, _request_id, _rest):
        role = "primary" if self.primary else "replica"
        row = f"ROW {role} {self.term} {self.position} 0 0 0 {self.connections}"
        return [row, "COMPLETE -"]


class LineGroup:
    """One database group; an async context manager.

    Parameters
    ----------
    name : str
    hosts : sequence of str
        Address of each instance; the first is the primary.
    connections : int
        Connection limit of each instance.
    """

    def __init__(self, name, hosts=("127.0.0.1",) * 3, connections=16):
        self.name = name
        self.connections = connections
        self.instances = {
            f"{name}-{index}": LineInstance(self, f"{name}-{index}", host)
            for index, host in enumerate(hosts)
        }
        next(iter(self.instances.values())).primary = True
        self._tasks = set()

    @property
    def primary(self):
        """The primary of the highest term."""
        leading = [instance for instance in self.instances.values() if instance.primary]
        return max(leading, key=lambda instance: instance.term)

    @property
    def newest_term(self):
        """The highest term among the primaries."""
        return max(
            instance.term for instance in self.instances.values() if instance.primary
        )

    async def __aenter__(self):
        for instance in self.instances.values():
            await instance.start()
        return self

    async def __aexit__(self, *exc_info):
        for task in self._tasks:
            task.cancel()
        for instance in self.instances.values():
            await instance.crash()

    def append(self, primary, write):
        """Append a write, as (item, value), to the primary's log and replicate it."""
        entry = (primary.term, *write)
        primary.log.append(entry)
        for instance in self.instances.values():
            if (
                instance is not primary
                and not instance.faults.replication_stopped
                and instance.term <= primary.term
            ):
                keep_task(
                    self._tasks, self._replicate(primary, instance, len(primary.log))
                )

    async def _replicate(self, primary, replica, length):
        """After the lag, extend the replica's log to this length of the primary's."""
        await asyncio.sleep(replica.lag)
        if replica.term > primary.term:
            return
        if replica.term < primary.term:
            # The replica follows the new primary, even if it was the primary itself.
            replica.term, replica.primary, replica.log = primary.term, False, []
        if len(replica.log) < length:
            replica.log = list(primary.log[:length])

    def promote(self, _group, name):
        """Start the promotion of an instance; return whether the instance runs."""
        instance = self.instances.get(name)
        if instance is None or not instance.running:
            return False
        leading = [other for other in self.instances.values() if other.primary]
        if not leading or instance is not self.primary:
            keep_task(self._tasks, self._finish_promotion(instance))
        return True

    async def _finish_promotion(self, instance):
        await asyncio.sleep(PROMOTION_TIME)
        instance.term = 1 + max(other.term for other in self.instances.values())
        instance.primary = True

    def entries(self):
        """Return the entries of the platform's list of instances, by name."""
        return {
            instance.name: instance_entry(self.name, instance)
            for instance in self.instances.values()
        }
