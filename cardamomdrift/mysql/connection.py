"""
Upstream connection
===================

MySQL connection to an instance, through `asyncmy`.  A connection whose result is
missing, truncated or unreadable is broken and must be closed.
"""

import asyncio
from dataclasses import dataclass, replace

from asyncmy.connection import Connection
from asyncmy.constants.CLIENT import MULTI_STATEMENTS
from asyncmy.cursors import SSCursor
from asyncmy.errors import Error, InterfaceError, MySQLError

from cardamomdrift.errors import (
    OutcomeUnknown,
    StatementRefused,
    UpstreamBusy,
    UpstreamLost,
    UpstreamUnreachable,
)
from cardamomdrift.limits.memory import CURRENT_HOLDER
from cardamomdrift.mysql.columns import make_column
from cardamomdrift.mysql.contract import STATUS, parse_status
from cardamomdrift.mysql.receiving import (
    bound_receiving,
    dropping,
    fetch_batch,
    skip_rows,
)

TOO_MANY_CONNECTIONS_CODE = 1040
CLIENT_ERROR_CODES = range(2000, 3000)  # raised by the client library itself
MAX_RESULT_ROWS = 200_000  # of a result that is held in memory as a whole
MAX_PACKET_BYTES = 16 * 1024 * 1024  # of a packet sent to an instance


@dataclass(frozen=True, slots=True)
class UpstreamResult:
    """Result of a statement; ``complete`` tells whether ``rows`` has all its rows."""

    columns: tuple
    rows: list
    affected_rows: int
    insert_id: int
    complete: bool


def _translate_error(error):
    code = error.args[0] if error.args else 0
    if isinstance(code, int) and code and code not in CLIENT_ERROR_CODES:
        return StatementRefused(code, str(error.args[-1]))
    return UpstreamLost(str(error))


def _check_single(several):
    if several:
        raise OutcomeUnknown("the statement answered with several results")


class UpstreamConnection:
    """Open connection to an instance."""

    def __init__(self, connection):
        self._connection = connection
        self._cursor = None
        self._broken = False
        self._awaiting_reply = False
        self.database = None
        self.opened_at = 0.0
        self.idle_since = 0.0

    @property
    def in_transaction(self):
        """Whether a transaction is open, as the instance last reported."""
        return self._connection.get_transaction_status()

    @property
    def reusable(self):
        """Whether another caller may use the connection."""
        return self._usable and not self.in_transaction

    @property
    def _usable(self):
        return (
            not self._broken and not self._awaiting_reply and self._connection.connected
        )

    @property
    def streaming(self):
        """Whether more batches of a result are still to be read."""
        return self._cursor is not None

    def close(self):
        """Close the connection immediately."""
        self._broken = True
        self._connection.close()
        self._cursor = None
        # The objects of `asyncmy` refer to each other, so the buffer and the last rows
        # would stay until the next full garbage collection.
        received, result = self._connection._proto, self._connection._result
        if received is not None:
            received.clear()
        if result is not None:
            result.rows = result.connection = self._connection._result = None

    async def execute(self, sql):
        """Run one statement and return its result with the first batch of rows.

        Raises
        ------
        OutcomeUnknown
            The statement ran and answered with several results, of which a caller can
            get only one.
        StatementRefused
            The instance answered with an error.
        UpstreamUnreachable
            The connection was found closed; nothing was sent.
        UpstreamLost
            The connection failed after bytes may have been sent.
        """
        if not self._usable:
            raise UpstreamUnreachable("connection is closed")
        self._awaiting_reply = True
        cursor = self._connection.cursor(SSCursor)
        try:
            await cursor.execute(sql)
            rows, complete = [], True
            if cursor.description:
                rows, complete = await self._read_batch()
            result = self._make_result(cursor, rows, complete)
            several = complete and await self._read_rest()
        except (MySQLError, Error, InterfaceError) as error:
            failure = _translate_error(error)
            if isinstance(failure, StatementRefused):
                self._awaiting_reply = False
            else:
                self.close()
            raise failure from error
        except (OSError, asyncio.IncompleteReadError, RuntimeError) as error:
            self.close()
            raise UpstreamLost(str(error)) from error
        except BaseException:
            self.close()
            raise
        self._awaiting_reply = not complete
        self._cursor = None if complete else cursor
        _check_single(several)
        return result

    @property
    def waits_for_memory(self):
        """Whether its last read waits, or was cancelled while it waited, for memory."""
        received = self._connection._proto
        return received is not None and received.waits_for_memory

    async def _read_batch(self):
        """Return the next rows of a result, and whether they are the last."""
        try:
            return await fetch_batch(self._connection._result)
        finally:
            if self._connection._proto is not None:
                self._connection._proto.release()

    async def _read_rest(self):
        """Read the results after the first; return whether one of them has columns.

        The last result of a procedure has none.  Whatever is not read here would be
        read before the next statement, which may be another caller's.
        """
        several = False
        while self._connection._result.has_next:
            await self._connection.next_result(unbuffered=True)
            result = self._connection._result
            if result.description:
                several = True
                await skip_rows(result, self._connection._proto)
        if self._connection._proto is not None:
            # Paused if the answer ended where the receive buffer did.
            self._connection._proto.resume()
        return several

    def _make_result(self, cursor, rows, complete):
        columns = ()
        if cursor.description:
            # The cursor's description lacks the character set and the flags, which tell
            # TEXT from BLOB and unsigned numbers from others.
            columns = tuple(
                make_column(
                    field.name,
                    field.type_code,
                    field.charsetnr,
                    field.flags,
                    field.length,
                    field.scale,
                )
                for field in self._connection._result.fields
            )
        affected = 0 if columns else cursor.rowcount
        insert_id = 0 if columns else cursor.lastrowid or 0
        return UpstreamResult(columns, rows, affected, insert_id, complete)

    async def next_batch(self):
        """Return the next batch of a result; there is none if `streaming` is false.

        Raises
        ------
        OutcomeUnknown or UpstreamLost
        """
        try:
            rows, complete = await self._read_batch()
            several = complete and await self._read_rest()
        except (MySQLError, Error, OSError, RuntimeError) as error:
            self.close()
            raise UpstreamLost(str(error)) from error
        except BaseException:
            self.close()
            raise
        if complete:
            self._awaiting_reply = False
            self._cursor = None
        _check_single(several)
        return rows

    async def execute_all(self, sql):
        """Run one statement and return its result with all rows.

        Raises
        ------
        UpstreamLost
            Besides the cases of `execute`, if the result is too large to hold.
        """
        result = await self.execute(sql)
        if result.complete:
            return result
        holder = CURRENT_HOLDER.get()
        rows = result.rows
        with dropping(rows):
            while self.streaming:
                rows.extend(await self.next_batch())
                if len(rows) > MAX_RESULT_ROWS:
                    self.close()
                    raise UpstreamLost("the answer has too many rows")
                if holder is not None and not holder.may_grow():
                    self.close()
                    raise UpstreamLost("there is no memory for the answer")
        return replace(result, complete=True)

    async def use(self, database):
        """Select a database unless it is selected already."""
        if database and database != self.database:
            await self.execute(f"USE `{database.replace('`', '``')}`")
            self.database = database

    async def call(self, statement):
        """Call a procedure of `mysql.contract` and return the status it reports."""
        result = await self.execute(statement)
        return parse_status(result.rows[0])

    async def status(self):
        """Return the instance's status."""
        return await self.call(STATUS)


def make_connector(spec, login, vm):
    """Return a coroutine function that opens connections to one instance.

    Parameters
    ----------
    spec : InstanceSpec
    login : Login
    vm : str
        Name of this VM.
    """

    async def connect_instance(timeout):
        return await open_connection(spec.address, spec.port, login, vm, timeout)

    return connect_instance


async def open_connection(address, port, login, vm, timeout):
    """Return a new connection.

    Parameters
    ----------
    address : str
    port : int
    login : Login
        User and password.
    vm : str
        Name of this VM, as the instance's process list shows it.
    timeout : float
        Seconds for the whole handshake.

    Raises
    ------
    UpstreamBusy
        The instance has too many connections.
    UpstreamUnreachable
        No connection could be opened in time.
    """
    connection = Connection(
        host=address,
        port=port,
        user=login.user,
        password=login.password,
        charset="utf8mb4",
        use_unicode=False,
        conv={},
        autocommit=None,
        program_name=vm,
        max_allowed_packet=MAX_PACKET_BYTES,
    )
    # `asyncmy` always asks the server to run several statements in one text.
    connection._client_flag &= ~MULTI_STATEMENTS
    try:
        async with asyncio.timeout(timeout):
            await connection.connect()
    except TimeoutError as error:
        raise UpstreamUnreachable("handshake timed out") from error
    except (MySQLError, Error, OSError, RuntimeError) as error:
        if error.args and error.args[0] == TOO_MANY_CONNECTIONS_CODE:
            raise UpstreamBusy(str(error)) from error
        raise UpstreamUnreachable(str(error)) from error
    bound_receiving(connection)
    return UpstreamConnection(connection)
