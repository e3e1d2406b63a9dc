"""
Caller session
==============

State of one caller connection: its database, options, positions and open transaction.
Statements are dispatched by their verb.
"""

from mysql_mimic.types import ColumnType

from cardamomdrift.bundle.model import RequestKind
from cardamomdrift.errors import (
    BadRequest,
    OutcomeUnknown,
    ReadFailed,
    ShuttingDown,
    TransactionLost,
)
from cardamomdrift.mysql.columns import make_column
from cardamomdrift.mysql.wire import Ok, Rows, WireVariables, make_charset_refusal
from cardamomdrift.position import ORIGIN
from cardamomdrift.sessions.options import SESSION_OPTIONS, attribute_options
from cardamomdrift.sessions.statement import Verb, parse_statement

OPTION_LENGTH_LIMIT = 16 * 1024  # characters; a token has some tens for each group


class CallerSession:
    """Session of a caller connection, with the session interface of `mysql_mimic`.

    Parameters
    ----------
    service : Service
    clock : callable
    """

    def __init__(self, service, clock):
        self.variables = WireVariables()
        self.username = None
        self.database = None
        self.connected_at = clock()
        self.positions = {}
        self.caller = ""
        self._service = service
        self._option_values = {}
        self._transaction = None
        self._transaction_group = None
        self._transaction_options = None
        self._autocommit = True
        self._open_result = None
        self._verb = None

    @property
    def in_transaction(self):
        """Whether a transaction is open."""
        return self._transaction is not None

    # Connection

    async def init(self, connection):
        """Record the caller's name and address after the handshake."""
        connection.client_connect_attrs = {}  # up to 64 KiB that nothing reads
        peer = connection.stream.writer.get_extra_info("peername") or ("",)
        self.caller = f"{self.username}@{peer[0]}"

    async def close(self):
        """Close the open result and roll back the open transaction."""
        await self._close_result()
        transaction = self._detach_transaction()
        if transaction is not None:
            await transaction.abandon()

    async def reset(self):
        """Roll back the transaction, clear the options and turn autocommit on.

        The database and the positions stay.
        """
        await self.close()
        self._option_values = {}
        self._autocommit = True

    async def use(self, database):
        """Select a database."""
        if self._transaction is not None:
            raise BadRequest("the database cannot change inside a transaction")
        self._service.group_for(database)
        self.database = database

    def record_write(self, group, position):
        """Record the position of an acknowledged write for later reads."""
        self.positions[group] = max(self.positions.get(group, ORIGIN), position)

    def floor_for(self, group, service, options):
        """Return the floor of the session's reads in a group.

        It covers the session's own writes and the token in the options.
        """
        floor = self.positions.get(group, ORIGIN)
        if options.token is not None:
            floor = max(floor, service.read_token(options.token).get(group, ORIGIN))
        return floor

    # Statements

    async def handle_query(self, sql, attributes):
        """Run one statement and return its answer.

        Raises
        ------
        CallerError
        """
        await self._close_result()
        statement = parse_statement(sql)
        self._verb = statement.verb
        values = {**self._option_values, **dict(statement.options)}
        if attributes:
            values.update(attribute_options(attributes))
        if self._service.draining and self._transaction is None:
            raise ShuttingDown("the daemon is shutting down", 0.1)
        if not self.variables.speaks_utf8 and statement.verb is not Verb.SET:
            raise make_charset_refusal(self.variables.get("character_set_client"))
        if statement.of_connection and self._transaction is None:
            reason = "it reads the state of a connection, so it needs a transaction"
            raise BadRequest(reason)
        match statement.verb:
            case Verb.READ:
                return await self._read(statement, values)
            case Verb.WRITE:
                return await self._write(statement, values)
            case Verb.BEGIN:
                return await self._begin(statement.sql, values)
            case Verb.COMMIT:
                return await self._commit()
            case Verb.ROLLBACK:
                return await self._rollback()
            case Verb.SAVEPOINT:
                return await self._savepoint(statement)
            case Verb.SET_OPTION:
                return self._set_option(statement)
            case Verb.READ_OPTION:
                return self._read_option(statement)
            case Verb.USE:
                await self.use(statement.argument)
                return Ok()
            case Verb.AUTOCOMMIT_ON:
                return await self._set_autocommit(True)
            case Verb.AUTOCOMMIT_OFF:
                return await self._set_autocommit(False)
            case Verb.SET:
                self.variables.set("character_set_client", "utf8mb4")
                return Ok()
            case _:
                raise BadRequest(statement.argument)

    def make_interruption(self):
        """Return the error of a statement that was cancelled.

        An open transaction is rolled back when its connection closes, because its
        commit has not been sent.
        """
        reason = "the daemon is shutting down"
        if self._transaction is not None:
            return TransactionLost(reason, 0.1)
        if self._verb is Verb.READ:
            return ReadFailed(reason)
        return OutcomeUnknown(reason)

    async def _read(self, statement, values):
        if await self._ensure_transaction(values):
            return await self._transaction.execute(statement.sql, writes=False)
        options = self._service.check_options(values, RequestKind.READ)
        result = await self._service.read(statement.sql, options, self)
        self._open_result = result
        return result.answer

    async def _write(self, statement, values):
        if statement.commits_implicitly and (values.get("key") or self._transaction):
            raise BadRequest("the statement commits by itself; no key or transaction")
        if not statement.commits_implicitly and await self._ensure_transaction(values):
            if "key" in values:
                raise BadRequest("inside a transaction the key belongs to its BEGIN")
            return await self._transaction.execute(statement.sql, writes=True)
        options = self._service.check_options(values, RequestKind.WRITE)
        return await self._service.write(statement.sql, options, self)

    async def _ensure_transaction(self, values):
        if self._transaction is None and not self._autocommit:
            await self._begin(
                "BEGIN",
                {name: value for name, value in values.items() if name == "token"},
            )
        return self._transaction is not None

    async def _begin(self, sql, values):
        if self._transaction is not None:
            await self._commit()
        options = self._service.check_options(values, RequestKind.WRITE)
        self._transaction, self._transaction_group = await self._service.begin(
            sql, options, self
        )
        self._transaction_options = options
        return Ok()

    async def _commit(self):
        if self._transaction is None:
            return Ok()
        transaction = self._transaction
        group = self._transaction_group
        try:
            with self._service.counted(self._transaction_options):
                position = await transaction.commit()
        finally:
            self._detach_transaction()
            await transaction.close()
        if position is not None:
            self.record_write(group, position)
        return Ok()

    async def _rollback(self):
        transaction = self._detach_transaction()
        return Ok() if transaction is None else await transaction.rollback()

    def _detach_transaction(self):
        transaction, self._transaction = self._transaction, None
        if transaction is not None:
            self._service.transaction_ended(transaction)
        return transaction

    async def _savepoint(self, statement):
        if self._transaction is None:
            raise BadRequest("there is no transaction")
        return await self._transaction.execute(statement.sql, writes=False)

    # Options

    def _set_option(self, statement):
        name, value = statement.argument, statement.value
        if name not in SESSION_OPTIONS:
            raise BadRequest(f"unknown option {name}")
        if not value:
            self._option_values.pop(name, None)
            return Ok()
        if len(value) > OPTION_LENGTH_LIMIT:
            raise BadRequest(f"{name} has more than {OPTION_LENGTH_LIMIT} characters")
        if name == "token":
            self._service.read_token(value)
        self._option_values[name] = value
        return Ok()

    def _read_option(self, statement):
        name = statement.argument
        if name == "token":
            value = self._make_token()
        elif name in SESSION_OPTIONS:
            value = self._option_values.get(name, "")
        else:
            raise BadRequest(f"unknown option {name}")
        column = make_column(f"@@cardamomdrift_{name}", ColumnType.VAR_STRING)
        return Rows((column,), [(value,)])

    def _make_token(self):
        positions = dict(self.positions)
        if "token" in self._option_values:
            for group, position in self._service.read_token(
                self._option_values["token"]
            ).items():
                positions[group] = max(positions.get(group, ORIGIN), position)
        return self._service.make_token(positions)

    async def _set_autocommit(self, enabled):
        if enabled and self._transaction is not None:
            await self._commit()
        self._autocommit = enabled
        return Ok()

    # Streaming results

    async def _close_result(self):
        result, self._open_result = self._open_result, None
        if result is not None:
            await result.close()
