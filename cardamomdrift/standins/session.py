"""
Stand-in session
================

Server side of one connection to a stand-in instance: runs SQL statements and the
procedures that docs/UPSTREAM.md describes.
"""

import asyncio
import re

from mysql_mimic.errors import MysqlError
from mysql_mimic.results import infer_type

from cardamomdrift.errors import StatementRefused
from cardamomdrift.mysql.columns import BINARY_CHARSET_NUMBER, make_column
from cardamomdrift.mysql.wire import Ok, Rows, WireVariables
from cardamomdrift.sessions.lexer import LEADING
from cardamomdrift.standins.engine import locks_rows

# MySQL error codes
READ_ONLY_ERROR = 1290
NO_SUCH_PROCEDURE_ERROR = 1305

STATUS_COLUMNS = (
    "fence_term",
    "fence_owner",
    "position_term",
    "position_sequence",
    "primary",
    "source",
    "source_silence_ms",
    "accepted",
)

_CALL = re.compile(r"\s*CALL\s+cardamomdrift_(\w+)\s*\((.*)\)\s*$", re.IGNORECASE)
_VERB = re.compile(r"\w+")
_WRITES = {"INSERT", "UPDATE", "DELETE", "REPLACE", "CREATE", "DROP", "ALTER"}


class StandinSession:
    """Server side of one connection to a stand-in instance."""

    def __init__(self, instance, find_instance):
        self.variables = WireVariables()
        self.username = None
        self.database = None
        self.client = ""
        self.silent = False
        self._instance = instance
        self._find_instance = find_instance
        self._in_transaction = False
        self._holds_write_transaction = False
        self._aborted = False

    @property
    def in_transaction(self):
        """Whether a transaction is open."""
        return self._in_transaction

    async def init(self, connection):
        """Register the session after the handshake and wait for the connect time."""
        self._instance.attach(self)
        self.client = connection.client_connect_attrs.get("program_name", "")
        delay = self._instance.options.connect_time + self._instance.options.link_delay
        if delay:
            await asyncio.sleep(delay)
        await self._instance.wait_until_reachable(self)

    async def close(self):
        """Unregister the session and roll back its open transaction."""
        self._instance.detach(self)
        self._end_transaction(commit=False)

    async def reset(self):
        """Roll back the open transaction."""
        self._end_transaction(commit=False)

    async def use(self, database):
        """Select a database."""
        self.database = database

    def abort(self):
        """Roll back the write transaction because the instance was fenced."""
        self._aborted = True
        self._instance.end_write_transaction(commit=False)
        self._holds_write_transaction = False

    def _end_transaction(self, commit):
        self._in_transaction = False
        if self._holds_write_transaction:
            self._holds_write_transaction = False
            self._instance.end_write_transaction(commit)

    async def handle_query(self, sql, attrs):
        """Run a statement; the request and the answer each take the link delay."""
        await self._cross_link()
        self._instance.record(sql)
        try:
            answer = await self._run(sql)
        except StatementRefused as error:
            await self._cross_link()
            raise MysqlError(error.message, error.code) from error
        await self._cross_link()
        return answer

    async def _cross_link(self):
        """Wait for the link delay, and until no fault blocks the session."""
        await self._instance.wait_until_reachable(self)
        if self._instance.options.link_delay:
            await asyncio.sleep(self._instance.options.link_delay)
            await self._instance.wait_until_reachable(self)

    async def _run(self, sql):
        call = _CALL.match(sql)
        if call and call[1].lower() in ("begin", "commit"):
            sql = call[1]  # as a caller's procedure may do
        elif call:
            return self._call_procedure(call[1].lower(), call[2])
        verb = _VERB.match(sql, LEADING.match(sql).end())
        match verb[0].upper() if verb else "":
            case "BEGIN" | "START":
                self._end_transaction(commit=True)
                self._in_transaction = True
                self._aborted = False
            case "COMMIT":
                self._check_not_aborted()
                self._end_transaction(commit=True)
            case "ROLLBACK":
                self._aborted = False
                self._end_transaction(commit=False)
            case "SET" | "USE":
                pass
            case word if word in _WRITES or locks_rows(sql):
                return await self._write(sql)
            case _:
                return await self._read(sql)
        return Ok()

    def _check_not_aborted(self):
        if self._aborted:
            self._aborted = False
            self._in_transaction = False
            raise StatementRefused(
                READ_ONLY_ERROR, "transaction rolled back by a fence"
            )

    def _call_procedure(self, name, arguments):
        values = [value.strip().strip("'") for value in arguments.split(",") if value]
        instance = self._instance
        match name:
            case "status":
                row = instance.status()
            case "fence":
                row = instance.fence(int(values[0]), values[1])
            case "promote":
                row = instance.promote(int(values[0]), values[1])
            case "follow":
                source = self._find_instance(values[1])
                row = instance.follow(int(values[0]), source)
            case _:
                raise StatementRefused(NO_SUCH_PROCEDURE_ERROR, f"no procedure {name}")
        return _make_rows(STATUS_COLUMNS, [row])

    async def _write(self, sql):
        self._check_not_aborted()
        if not self._holds_write_transaction:
            await self._instance.open_write_transaction(self)
            self._holds_write_transaction = True
        try:
            await self._instance.hold_slot(sql)
            self._check_not_aborted()
            result = self._instance.write(sql)
        except BaseException:
            if not self._in_transaction:
                self._end_transaction(commit=False)
            raise
        if not self._in_transaction:
            self._end_transaction(commit=True)
        return _make_answer(result)

    async def _read(self, sql):
        await self._instance.hold_slot(sql)
        read = (
            self._instance.write
            if self._holds_write_transaction
            else self._instance.read
        )
        return _make_answer(read(sql))


def _make_answer(result):
    if result.column_names:
        return _make_rows(result.column_names, result.rows)
    return Ok(result.affected_rows, result.insert_id)


def _make_rows(names, rows):
    first = rows[0] if rows else (None,) * len(names)
    columns = tuple(
        _make_column(name, value) for name, value in zip(names, first, strict=True)
    )
    return Rows(columns, rows)


def _make_column(name, value):
    charset_number = BINARY_CHARSET_NUMBER if isinstance(value, bytes) else 0
    return make_column(name, infer_type("" if value is None else value), charset_number)
