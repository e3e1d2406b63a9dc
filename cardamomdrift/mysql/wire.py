"""
MySQL wire server
=================

Thin layer over `mysql_mimic`, used for callers and by the stand-in instances.  It adds
affected rows and insert ids to OK packets, typed errors with their SQLSTATE, limits on
packet size, connections and handshake time, and an orderly shutdown.
"""

import asyncio
import io
import struct
from collections.abc import AsyncIterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from functools import partial

from mysql_mimic import packets
from mysql_mimic.auth import IdentityProvider, NativePasswordAuthPlugin, User
from mysql_mimic.connection import Connection
from mysql_mimic.control import LocalControl
from mysql_mimic.errors import ErrorCode, MysqlError
from mysql_mimic.prepared import PreparedStatement
from mysql_mimic.stream import ConnectionClosed, MysqlStream
from mysql_mimic.types import (
    Capabilities,
    ServerStatus,
    read_uint_4,
    read_uint_len,
)

from cardamomdrift.errors import BadRequest, CallerError, Overloaded, PacketTooLarge
from cardamomdrift.limits.memory import (
    CURRENT_HOLDER,
    REQUESTS,
    ROWS,
    STATE,
    memory_size,
)
from cardamomdrift.listening import listen
from cardamomdrift.mysql.bounded import (
    HANDSHAKE_PACKET_BYTES,
    BoundedReader,
    BoundedWriter,
    CallerConnection,
)
from cardamomdrift.mysql.parameters import decode_text, read_parameters
from cardamomdrift.mysql.receiving import ROW_BATCH_SIZE
from cardamomdrift.mysql.tls import TlsStream
from cardamomdrift.sessions.parameters import bind, split_parameters

FINISH_TIMEOUT = 0.2  # seconds to answer the statements that run when the server closes
FINISH_POLL_INTERVAL = 0.01  # seconds
HANDSHAKE_TIMEOUT = 5.0  # seconds
MAX_PREPARED_STATEMENTS = 1000  # for each connection
# Copies of a statement while it runs: the packet, its text, the text without options,
# and the bytes for the instance.
STATEMENT_COPIES = 5
RETRY_AFTER = 0.5  # seconds after which memory may be free again
FLUSH_BYTES = 32 * 1024  # of rows that are written at once
MAX_PACKET_BYTES = 2**24 - 1  # of one packet; larger data is split
SQLSTATE_SLICE = slice(4, 9)  # of an error packet
SERVER_VERSION = "8.0.36-cardamomdrift"


@dataclass(frozen=True, slots=True)
class Ok:
    """Result without rows."""

    affected_rows: int = 0
    insert_id: int = 0


@dataclass(frozen=True, slots=True)
class Rows:
    """Result with rows, in one sequence or in an asynchronous iterator of batches.

    Attributes
    ----------
    columns : tuple of Column
    rows : sequence of tuples, or AsyncIterator of such sequences
    """

    columns: tuple
    rows: Sequence | AsyncIterator


@dataclass
class SplitStatement(PreparedStatement):
    """Prepared statement with the pieces of its text between the parameters.

    Attributes
    ----------
    pieces : tuple of str
    size : int
        Bytes that it takes in memory.
    """

    pieces: tuple = ()
    size: int = 0


class WireVariables:
    """Session variables that the handshake and the encoders of `mysql_mimic` read."""

    __slots__ = ("_values",)

    _DEFAULTS = {
        "character_set_results": "utf8mb4",
        "character_set_client": "utf8mb4",
        "version": SERVER_VERSION,
        "external_user": "",
    }

    def __init__(self):
        self._values = None

    def get(self, name):
        """Return the value of a variable, or None."""
        if self._values is not None and name in self._values:
            return self._values[name]
        return self._DEFAULTS.get(name)

    def set(self, name, value, force=False):
        """Store the value of a variable, unless it is the default."""
        if self._values is None:
            if self._DEFAULTS.get(name) == value:
                return
            self._values = {}
        self._values[name] = value

    @property
    def speaks_utf8(self):
        """Whether the client's texts are utf8mb4, like those of the instances."""
        return self.get("character_set_client") in ("utf8", "utf8mb4")


def make_charset_refusal(name):
    """Return the error for a text in another character set than utf8mb4."""
    return BadRequest(f"character set {name}; send SET NAMES utf8mb4 first")


class WireConnection(Connection):
    """Server side of a connection from a MySQL client.

    Attributes
    ----------
    require_tls : bool
    running : bool
        Whether a statement is running.
    interrupted : bool
        Whether the running statement is to be answered with an error when its task is
        cancelled.
    limits : SessionLimits or None
        Limits of memory; None if nothing is accounted.
    caller : CallerConnection or None
        What the limits know of the connection.
    """

    require_tls = False
    running = False
    interrupted = False
    limits = None
    caller = None
    _state_size = 0  # bytes of prepared statements

    async def authenticate(self, **kwargs):
        """Authenticate the client; a refused client is disconnected."""
        self.session.username = None
        if self.require_tls and not self.stream.upgraded:
            refusal = self.error(
                msg="TLS is required", code=ErrorCode.ACCESS_DENIED_ERROR
            )
            await self.stream.write(refusal)
            raise ConnectionClosed()
        await super().authenticate(**kwargs)
        if self.session.username is None:
            await self.stream.drain()
            raise ConnectionClosed()

    async def connection_phase(self):
        """Run the handshake within its limits of time and size."""
        reader = self.stream.reader
        max_packet = reader.max_packet
        reader.max_packet = min(max_packet, HANDSHAKE_PACKET_BYTES)
        async with asyncio.timeout(HANDSHAKE_TIMEOUT):
            await super().connection_phase()
        reader.max_packet = max_packet
        if self.limits is not None:
            self.caller.handler = self
            self.limits.mark_started(self.caller)

    @contextmanager
    def _hold(self, size):
        """Account for the copies of a command of some bytes while it runs.

        Raises
        ------
        Overloaded
            There is no memory for it.
        """
        if self.limits is None:
            yield
            return
        size *= STATEMENT_COPIES
        if self.limits.refuses(self.caller, size):
            raise Overloaded("memory is short", RETRY_AFTER)
        holder = self.caller.holder
        holder.set(REQUESTS, size)
        try:
            yield
        finally:
            holder.set(REQUESTS, 0)
            holder.set(ROWS, 0)
            self.limits.mark_used(self.caller)

    def error(self, msg="", code=ErrorCode.UNKNOWN_ERROR):
        """Return an error packet; a CallerError gives its own code and SQLSTATE."""
        if not isinstance(msg, CallerError):
            return super().error(msg=msg, code=code)
        packet = bytearray(super().error(msg=str(msg), code=msg.code))
        if packet[3:4] == b"#":
            packet[SQLSTATE_SLICE] = msg.sqlstate.encode()
        return bytes(packet)

    def ok(self, **kwargs):
        """Return an OK packet that carries the transaction state."""
        self.status_flags = ServerStatus.SERVER_STATUS_AUTOCOMMIT
        if self.session.in_transaction:
            self.status_flags |= ServerStatus.SERVER_STATUS_IN_TRANS
        return super().ok(**kwargs)

    async def handle_query(self, data):
        """Run a text statement and write its result."""
        with self._hold(len(data)):
            await self._handle_query(data)

    async def _handle_query(self, data):
        reader = io.BytesIO(data)
        attributes = {}
        if Capabilities.CLIENT_QUERY_ATTRIBUTES in self.capabilities:
            count = read_uint_len(reader)
            read_uint_len(reader)  # number of parameter sets, always 1
            attributes = dict(read_parameters(reader, count, named=True))
        sql = self._decode_statement(reader.read())
        await self._run_statement(sql, attributes, self._write_rows)

    def _decode_statement(self, data):
        """Return the text of a statement.

        In another character set than utf8mb4 only ASCII is accepted, which suffices to
        select utf8mb4.
        """
        if self.session.variables.speaks_utf8 or data.isascii():
            return decode_text(data)
        raise make_charset_refusal(self.client_charset.name)

    async def _run_statement(self, sql, attributes, write_rows):
        """Run a statement and write its answer."""
        self.running = True
        try:
            answer = await self.session.handle_query(sql, attributes)
            # No error may follow the packet of an `Ok`.
            self.running = isinstance(answer, Rows)
            await self._write_answer(answer, write_rows)
        except asyncio.CancelledError:
            if not self.interrupted:
                raise
            asyncio.current_task().uncancel()
            raise self.session.make_interruption() from None
        finally:
            self.running = False

    async def _write_answer(self, answer, write_rows):
        match answer:
            case Ok(affected_rows, insert_id):
                packet = self.ok(affected_rows=affected_rows, last_insert_id=insert_id)
                await self.stream.write(packet)
            case Rows(columns, rows):
                await write_rows(columns, rows)

    async def _write_rows(self, columns, rows):
        """Write a result in the text protocol."""
        await self._write_columns(columns)
        codecs = [column.codec for column in columns]
        streamed = isinstance(rows, AsyncIterator)
        count = 0
        async for batch in _iterate_batches(rows):
            count += len(batch)
            await self._write_text_batch(batch, codecs, streamed)
        await self.stream.write(self.ok_or_eof(affected_rows=count))

    async def _write_columns(self, columns):
        count = packets.make_column_count(
            capabilities=self.capabilities, column_count=len(columns)
        )
        await self.stream.write(count, drain=False)
        for column in columns:
            await self.stream.write(column.definition, drain=False)
        if not self.deprecate_eof():
            await self.stream.write(self.eof(), drain=False)

    async def _write_text_batch(self, rows, codecs, streamed):
        """Write rows, of which one may need several packets; may empty the list.

        The fast method of the stream writes one packet for each row, whatever its size.
        Nothing else holds rows that are streamed.
        """
        stream = self.stream
        buffer, number = stream._buffer, stream.seq.value
        size = len(buffer)
        stream.write_text_rows(rows, codecs)
        if len(buffer) - size >= MAX_PACKET_BYTES:
            del buffer[size:]
            stream.seq.value = number
            for row in rows:
                packet = packets.make_text_resultset_row(row, codecs)
                await stream.write(packet, drain=False)
        elif len(buffer) >= FLUSH_BYTES:
            rows.clear()
            if streamed and self.limits is not None:
                self.caller.holder.set(ROWS, 0)
            await stream.drain()

    def com_stmt_prepare_response(self, statement):
        """Return the packets that answer a PREPARE."""
        answer = list(super().com_stmt_prepare_response(statement))
        if statement.num_params and self.deprecate_eof():
            answer.pop()  # clients with this capability expect no EOF packet here
        return iter(answer)

    async def handle_stmt_prepare(self, data):
        """Store a statement and write its id and number of parameters."""
        with self._hold(len(data)):
            statement = self._make_statement(self._decode_statement(data))
        self.prepared_stmts[statement.stmt_id] = statement
        for packet in self.com_stmt_prepare_response(statement):
            await self.stream.write(packet, drain=False)
        await self.stream.drain()

    def _make_statement(self, sql):
        """Return the SplitStatement of a text, and account for it.

        Raises
        ------
        Overloaded
            There is no memory for it.
        """
        if len(self.prepared_stmts) >= MAX_PREPARED_STATEMENTS:
            raise MysqlError("too many prepared statements", ErrorCode.UNKNOWN_ERROR)
        pieces = split_parameters(sql)
        size = memory_size(sql) + sum(map(memory_size, pieces))
        if self.limits is not None:
            holder = self.caller.holder
            self._state_size += size
            if self._state_size > holder.budget.state_limit or self.limits.refuses(
                self.caller, size
            ):
                self._state_size -= size
                raise Overloaded("too many bytes of prepared statements", RETRY_AFTER)
            holder.set(STATE, self._state_size)
        return SplitStatement(
            stmt_id=next(self.prepared_stmt_seq),
            sql=sql,
            num_params=len(pieces) - 1,
            pieces=pieces,
            size=size,
        )

    async def handle_stmt_close(self, data):
        """Forget a prepared statement."""
        statement = self.prepared_stmts.get(packets.parse_com_stmt_close(data).stmt_id)
        await super().handle_stmt_close(data)
        if statement is not None and self.limits is not None:
            self._state_size -= statement.size
            self.caller.holder.set(STATE, self._state_size)

    def _parse_execute(self, data):
        """Return the bound statement and the query attributes of an EXECUTE."""
        reader = io.BytesIO(data)
        statement = self.get_stmt(read_uint_4(reader))
        use_cursor, has_parameter_count = packets._read_cursor_flags(reader)
        if use_cursor:
            raise MysqlError("cursors are not supported", ErrorCode.NOT_SUPPORTED_YET)
        read_uint_4(reader)  # iteration count, always 1
        has_attributes = Capabilities.CLIENT_QUERY_ATTRIBUTES in self.capabilities
        count = statement.num_params
        if has_attributes and (count or has_parameter_count):
            count = read_uint_len(reader)
        if count < statement.num_params:
            raise BadRequest(f"{count} of {statement.num_params} parameters were sent")
        parameters = read_parameters(reader, count, has_attributes)
        values = [value for _, value in parameters[: statement.num_params]]
        query_attributes = {
            name: value for name, value in parameters[statement.num_params :] if name
        }
        return bind(statement.pieces, values), query_attributes

    async def handle_stmt_execute(self, data):
        """Run a prepared statement and write its result in the binary protocol."""
        statement = self.get_stmt(read_uint_4(io.BytesIO(data)))
        with self._hold(len(data) + len(statement.sql)):
            sql, attributes = self._parse_execute(data)
            await self._run_statement(sql, attributes, self._write_binary_rows)

    async def _write_binary_rows(self, columns, rows):
        await self._write_columns(columns)
        codecs = [column.codec for column in columns]
        async for batch in _iterate_batches(rows):
            for row in batch:
                packet = packets.make_binary_resultrow(row, codecs)
                await self.stream.write(packet, drain=False)
        await self.stream.write(self.ok_or_eof())

    async def handle_reset_connection(self, data):
        """Reset the session state."""
        await self.session.reset()
        await self.stream.write(self.ok())

    async def handle_stmt_reset(self, data):
        """Discard the long data of a prepared statement.

        The base class would also reset the session, which ends its transaction.
        """
        statement = self.get_stmt(packets.parse_com_stmt_reset(data).stmt_id)
        statement.param_buffers = None
        statement.cursor = None
        await self.stream.write(self.ok())

    async def handle_stmt_send_long_data(self, data):
        """Refuse long data, whose total size would have no limit."""
        raise MysqlError("long data is not supported", ErrorCode.NOT_SUPPORTED_YET)


async def _iterate_batches(rows):
    if isinstance(rows, AsyncIterator):
        holder = CURRENT_HOLDER.get()
        async for batch in rows:
            yield batch
            if holder is not None:
                holder.set(ROWS, 0)
        return
    batch, size = [], 0
    for row in rows:
        batch.append(row)
        size += sum(len(value) for value in row if isinstance(value, bytes))
        if size >= FLUSH_BYTES or len(batch) == ROW_BATCH_SIZE:
            yield batch
            batch, size = [], 0
    if batch:
        yield batch


class PasswordlessIdentity(IdentityProvider):
    """Accepts every user without a password."""

    async def get_user(self, username):
        """Return a user without a password."""
        return User(name=username, auth_plugin=NativePasswordAuthPlugin.name)


class PasswordIdentity(IdentityProvider):
    """Accepts the users of a map from name to double SHA-1 of the password, in hex."""

    def __init__(self, users):
        self._users = users

    async def get_user(self, username):
        """Return the user, or None."""
        digest = self._users.get(username)
        if digest is None:
            return None
        return User(
            name=username,
            auth_string=digest,
            auth_plugin=NativePasswordAuthPlugin.name,
        )


class WireServer:
    """MySQL server with a session for each connection; an async context manager.

    Parameters
    ----------
    session_factory : callable
        Returns the session of a new connection.
    identity : IdentityProvider
    max_connections : int
    max_packet : int
        Limit on the size of a packet in bytes.
    ssl : SSLContext or None
        Context for TLS, which is not offered without it.
    require_tls : bool
        Whether clients without TLS are refused.
    limits : SessionLimits, optional
        Limits of memory and connections, in place of ``max_connections``.
    """

    def __init__(
        self,
        session_factory,
        identity,
        max_connections,
        max_packet,
        ssl=None,
        require_tls=False,
        limits=None,
    ):
        self._limits = limits
        self._session_factory = session_factory
        self._identity = identity
        self._max_connections = max_connections
        self._max_packet = max_packet
        self._ssl = ssl
        self._require_tls = require_tls
        self._control = LocalControl(server_id=1)
        self._server = None
        self._tasks = {}
        self._wire_connections = {}
        self._refused = 0

    @property
    def connections(self):
        """Number of open connections."""
        return len(self._tasks)

    @property
    def refused(self):
        """Number of connections refused because of ``max_connections``."""
        return self._refused

    @property
    def port(self):
        """Port that the server listens on."""
        return self._server.sockets[0].getsockname()[1]

    async def open(self, address, port):
        """Start listening."""
        loop = asyncio.get_running_loop()
        start = partial(loop.create_server, self._make_protocol)
        self._server = await listen(start, (address, port))

    def stop_listening(self):
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    async def close(self):
        """Stop listening, answer running statements and end every connection."""
        self.stop_listening()
        await self._interrupt_statements()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _interrupt_statements(self):
        """Answer the statements that are running with errors."""
        running = {
            task: connection
            for task, connection in self._wire_connections.items()
            if connection.running
        }
        for task, connection in running.items():
            connection.interrupted = True
            task.cancel()
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + FINISH_TIMEOUT
        while loop.time() < give_up_at and any(
            connection.running for connection in running.values()
        ):
            await asyncio.sleep(FINISH_POLL_INTERVAL)

    def abort_connections(self):
        """Abort every connection immediately, as a crash does."""
        for task, writer in list(self._tasks.items()):
            writer.transport.abort()
            task.cancel()

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        await self.close()

    def _make_protocol(self):
        loop = asyncio.get_running_loop()
        reader = BoundedReader(self._max_packet, loop)
        return asyncio.StreamReaderProtocol(reader, self._accept, loop=loop)

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        caller = CallerConnection(reader, writer, task)
        if not self._admit(caller):
            self._refused += 1
            packet = packets.make_error(
                msg="Too many connections", code=ErrorCode.CON_COUNT_ERROR
            )
            writer.write(len(packet).to_bytes(3, "little") + b"\0" + packet)
            writer.close()
            return
        self._tasks[task] = writer
        try:
            await self._serve(reader, writer, caller)
        except (ConnectionClosed, ConnectionError, TimeoutError, MysqlError):
            pass
        except (PacketTooLarge, asyncio.IncompleteReadError):
            pass
        except (struct.error, ValueError, LookupError):
            pass  # malformed handshake, or a character set without a codec
        except asyncio.CancelledError:
            pass  # the server is closing
        finally:
            del self._tasks[task]
            reader.drop()
            if self._limits is not None:
                self._limits.forget(caller)
            writer.close()

    def _admit(self, caller):
        """Return whether a new connection may stay."""
        if self._limits is not None:
            return self._limits.admit(caller)
        return len(self._tasks) < self._max_connections

    async def _serve(self, reader, writer, caller):
        session = self._session_factory()
        if self._limits is not None:
            CURRENT_HOLDER.set(caller.holder)
            writer = BoundedWriter(writer, reader, caller.holder)
        stream = MysqlStream(reader, writer)
        connection = WireConnection(
            stream=stream if self._ssl is None else TlsStream(stream),
            session=session,
            control=self._control,
            identity_provider=self._identity,
            ssl=self._ssl,
        )
        connection.require_tls = self._require_tls
        connection.limits, connection.caller = self._limits, caller
        connection.connection_id = await self._control.add(connection)
        task = asyncio.current_task()
        self._wire_connections[task] = connection
        try:
            # `Connection.start` would create a second task.
            await connection._start()
        finally:
            del self._wire_connections[task]
            await self._control.remove(connection.connection_id)
