"""
Tests of the texts of the MySQL edge
====================================

What an instance receives is what the caller sent, and what the caller gets back is what
the instance answered; otherwise the caller gets an error that says so.
"""

import asyncio
import re
import unittest
from datetime import date, datetime, timedelta
from itertools import product
from math import isfinite

import asyncmy
from asyncmy.errors import Error
from hypothesis import given, settings
from hypothesis import strategies as st
from mysql_mimic.charset import CharacterSet
from mysql_mimic.constants import DEFAULT_SERVER_CAPABILITIES
from mysql_mimic.packets import (
    make_column_count,
    make_error,
    make_handshake_v10,
    make_ok,
    make_text_resultset_row,
)
from mysql_mimic.types import Capabilities, ColumnType, ServerStatus

from cardamomdrift.errors import BadRequest, OutcomeUnknown, StatementRefused
from cardamomdrift.mysql.columns import make_column
from cardamomdrift.mysql.connection import open_connection
from cardamomdrift.mysql.wire import Ok, PasswordlessIdentity, Rows, WireServer
from cardamomdrift.routing.answers import make_answer
from cardamomdrift.settings import Login
from tests.test_interfaces import OkSession
from tests.test_sessions import NOT_UNDERSTOOD, OF_A_CONNECTION
from tests.values import query, running_fleet

ANSWER_TIMEOUT = 10.0  # seconds
STEADY = settings(derandomize=True, database=None, deadline=None, max_examples=300)
CHARACTERS = st.text(st.characters(codec="utf-8"))
ODD = st.sampled_from(("'", '"', "`", "\\", "\0", "\x1a", "\n", "%", "%s", "?", "\xa0"))
# Texts between parameters, which must come through unchanged, and their values.
GAPS = st.sampled_from(
    (
        *(("", ()), ("/* ? ' */ ", ()), ("-- ?\n", ()), ("#'\n", ()), ("--\t\n", ())),
        *(("'?', ", ("?",)), ("'\\\\', ", ("\\",)), ("'it''s', ", ("it's",))),
    )
)
FRAGMENTS = st.sampled_from(
    (
        *(" ", "\n", "\t", ";", ",", "(", ")", "1", "'a'", "'?'", "'it''s'", "'\\''"),
        *("/* a */", "/**/", "/*!", "/*!80000", "*/", "/*", "--", "-- ", "#", "`v`"),
        *("SELECT", "SELECT 1", "FOR UPDATE", "INTO", "FROM t", "WHERE v = ", "@a"),
        *("INSERT INTO t (v) VALUES ('a')", "BEGIN", "COMMIT", "ROLLBACK", "TO a"),
        *("START TRANSACTION", "SAVEPOINT a", "SET autocommit = 1", "LAST_INSERT_ID()"),
        *("/* cardamomdrift: class=old */", "/* cardamomdrift: key=a", "AND CHAIN"),
    )
)
BODIES = st.sampled_from(
    (
        *("SELECT 1", "SELECT 'a '", 'SELECT "', "(SELECT 1)", "SHOW", "SELECT\xa01"),
        *(
            "INSERT INTO t (v) VALUES ('a')",
            "UPDATE t SET v = 'b'",
            "CALL p()",
            "BEGIN",
        ),
        *("SELECT 1 FOR UPDATE", "VALUES ROW(1)", "SAVEPOINT a", "ROLLBACK TO a"),
    )
)
AROUND = st.lists(
    st.sampled_from((*" \t\n\v\f\r;", "/* a */", "/*;'*/", "-- b\n", "#\n", "--\t")),
    max_size=3,
).map("".join)
TEXTS = st.one_of(
    st.lists(FRAGMENTS | ODD | CHARACTERS, max_size=8).map("".join),
    st.lists(FRAGMENTS, max_size=6).map(" ".join),
    *[st.tuples(AROUND, BODIES, AROUND).map("".join)] * 2,
)
VALUES = (
    st.none()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats()
    | CHARACTERS
    | st.lists(ODD, max_size=5).map("".join)
    | st.binary()
)
# Statements that the proxy runs, or for which it sends statements of its own.
OWN_WORDS = "COMMIT|ROLLBACK|SET|BEGIN|START"
LITERAL = re.compile(
    r"NULL|_binary X'[0-9a-f]*'|'(?:[^'\\]|\\.|'')*'|[-+.0-9e]+", re.DOTALL
)
_STRING = re.compile(r"\\(.)|''", re.DOTALL)
_UNESCAPED = {"''": "'", "\\0": "\0", "\\\\": "\\"}


def evaluate(literal):
    """Return the value of a literal, by MySQL's rules."""
    if literal == "NULL":
        return None
    if literal.startswith("_binary X'"):
        return bytes.fromhex(literal[10:-1])
    if literal.startswith("'"):
        return _STRING.sub(lambda match: _UNESCAPED[match[0]], literal[1:-1])
    return float(literal) if "e" in literal else int(literal)


class EdgeCase(unittest.TestCase):
    """Runs one daemon and its stand-ins for all tests of a class."""

    @classmethod
    def setUpClass(cls):
        cls.runner = asyncio.Runner()
        cls.addClassCleanup(cls.runner.close)
        context = running_fleet(daemons=1)
        cls.fleet = cls.run_async(context.__aenter__())
        cls.addClassCleanup(lambda: cls.run_async(context.__aexit__(None, None, None)))
        cls.texts = []
        for instance in cls.fleet.deployment.instances():
            instance.texts = cls.texts
        cls.caller = cls.run_async(cls.fleet.connect("vm-1", "d", autocommit=None))
        cls.addClassCleanup(cls.caller.close)

    @classmethod
    def run_async(cls, coroutine):
        return cls.runner.run(coroutine)

    def received(self):
        """Return the texts of callers that instances received since the last call."""
        texts = [text for text in self.texts if not text.startswith(("CALL c", "USE "))]
        self.texts.clear()
        return texts

    def send(self, sql):
        """Send a text; return its rows, or the number of the error."""
        self.texts.clear()
        try:
            return self.run_async(query(self.caller, sql))
        except Error as error:
            return error.args[0]

    def execute(self, sql, *values):
        """Prepare and run a text; return its rows, or the number of the error."""

        async def run():
            statement = await self.caller.prepare(sql)
            try:
                return (await statement.execute(values)).rows
            finally:
                await statement.close()

        self.texts.clear()
        try:
            return self.run_async(run())
        except Error as error:
            return error.args[0]


class CharacterSetTest(EdgeCase):
    def send_as(self, charset, *texts):
        """Send texts over a connection with a character set; return the results."""

        async def run():
            connection = await asyncmy.connect(
                host="127.0.0.1",
                port=self.fleet.daemons["vm-1"].port,
                user="caller",
                database="d",
                charset=charset,
                use_unicode=False,
                autocommit=None,
            )
            results = []
            for text in texts:
                try:
                    results.append(await query(connection, text))
                except Error as error:
                    results.append(error.args[0])
            connection.close()
            return results

        self.texts.clear()
        return self.run_async(run())

    def test_no_text_is_converted(self):
        """A caller with latin1 got two characters for one, also after SET NAMES."""
        for charset in ("latin1", "cp1251", "gbk", "ascii"):
            with self.subTest(charset):
                [refused] = self.send_as(charset, b"SELECT '\xe9'")
                self.assertEqual(refused, BadRequest.code)
                self.assertEqual(self.received(), [])
                text = "SELECT '\xe9\u20ac' AS v"
                results = self.send_as(charset, "SET NAMES utf8mb4", text.encode())
                self.assertEqual(results, [(0, 0), [(text[8:-6].encode(),)]])
                self.assertEqual(self.received(), [text])
        for charset in ("utf8", "utf8mb4"):
            with self.subTest(charset):
                text = "SELECT '\xe9\U0001f600' AS v"
                self.assertEqual(
                    self.send_as(charset, text), [[(text[8:-6].encode(),)]]
                )
                self.assertEqual(self.received(), [text])

    def test_bytes_that_are_not_text_are_refused(self):
        for text in (b"SELECT '\xff'", b"SELECT '\xed\xa0\x80'", b"SELECT '\xc0\x80'"):
            with self.subTest(text):
                self.assertEqual(self.send_as("utf8mb4", text), [BadRequest.code])
                self.assertEqual(self.received(), [])


class AnswerSession(OkSession):
    """Session that answers every statement with `answer`, or as an instance does."""

    answer = None
    upstream = None

    async def handle_query(self, sql, attributes):
        self.queries.append(sql)
        if self.upstream is None:
            return self.answer
        return make_answer(await self.upstream.execute_all(sql))


class AnswerTest(unittest.IsolatedAsyncioTestCase):
    """A caller asks a server that passes on the answers of another one."""

    LARGE = b"x" * (2**24 - 1)  # bytes; the row needs a second packet

    async def serve(self, session):
        server = WireServer(lambda: session, PasswordlessIdentity(), 10, 2**24)
        await self.enterAsyncContext(server)
        await server.open("127.0.0.1", 0)
        return server.port

    async def asyncSetUp(self):
        self.source, relay = AnswerSession(), AnswerSession()
        self.relay = relay
        port = await self.serve(self.source)
        relay.upstream = await open_connection(
            "127.0.0.1", port, Login("proxy", ""), "vm-1", 1.0
        )
        self.addCleanup(relay.upstream.close)
        self.caller = await asyncmy.connect(
            host="127.0.0.1",
            port=await self.serve(relay),
            user="x",
            autocommit=None,
            use_unicode=False,
            conv={},
        )
        self.addCleanup(self.caller.close)

    async def ask(self, value, column_type, charset=63, flags=0):
        """Return a value as it comes in the text and in the binary protocol."""
        column = make_column("\xe9", column_type, charset, flags)
        self.source.answer = Rows((column,), [(value,)])
        statement = await self.caller.prepare("SELECT 1")
        [[binary]] = (await statement.execute()).rows
        [[text]] = await query(self.caller, "SELECT 1")
        self.assertEqual(self.caller._result.fields[0].name, "\xe9")
        return text, binary

    async def test_values_come_back_as_they_were(self):
        unsigned = 32
        rows = (
            (b"007", ColumnType.TINY, 0, 7),
            (b"255", ColumnType.TINY, unsigned, 255),
            (b"-1", ColumnType.TINY, 0, -1),
            (b"65535", ColumnType.SHORT, unsigned, 65535),
            (b"4294967295", ColumnType.LONG, unsigned, 2**32 - 1),
            (b"18446744073709551615", ColumnType.LONGLONG, unsigned, 2**64 - 1),
            (b"-9223372036854775808", ColumnType.LONGLONG, 0, -(2**63)),
            (b"1.7976931348623157e308", ColumnType.DOUBLE, 0, 1.7976931348623157e308),
            (b"-00:00:01", ColumnType.TIME, 0, -timedelta(seconds=1)),
            (b"838:59:59.000001", ColumnType.TIME, 0, timedelta(0, 3020399, 1)),
            (b"-25:00:00.5", ColumnType.TIME, 0, -timedelta(hours=25, seconds=0.5)),
            (b"00:00:00", ColumnType.TIME, 0, timedelta(0)),
            (b"2020-02-29", ColumnType.DATE, 0, date(2020, 2, 29)),
            (b"9999-12-31 23:59:59.999999", ColumnType.DATETIME, 0, datetime.max),
            (b"2020-01-01 00:00:00", ColumnType.TIMESTAMP, 0, datetime(2020, 1, 1)),
            (b"12.30", ColumnType.NEWDECIMAL, 0, b"12.30"),
            (b"\x00\xff", ColumnType.BIT, unsigned, b"\x00\xff"),
            (b"", ColumnType.VAR_STRING, 0, b""),
            (b"\xff\x00'\\", ColumnType.BLOB, 0, b"\xff\x00'\\"),
            (None, ColumnType.NULL, 0, None),
        )
        for value, column_type, flags, expected in rows:
            with self.subTest(value, column_type=column_type):
                text, binary = await self.ask(value, column_type, flags=flags)
                self.assertEqual(text, value)
                self.assertEqual(binary, expected)

    async def test_a_date_of_zeros_is_no_error(self):
        for value, column_type in (
            (b"0000-00-00", ColumnType.DATE),
            (b"0000-00-00 00:00:00", ColumnType.DATETIME),
        ):
            with self.subTest(value):
                text, _ = await self.ask(value, column_type)
                self.assertEqual(text, value)

    async def test_texts_around_the_limit_of_a_packet(self):
        self.source.answer = Ok()
        for size in (2**24 - 3, 2**24 - 2, 2**24 - 1, 2**24, 2 * 2**24 - 3):
            with self.subTest(size):
                sql = f"SELECT '{'x' * (size - 9)}'"
                async with asyncio.timeout(ANSWER_TIMEOUT):
                    await self.relay.upstream.execute(sql)
                self.assertTrue(self.source.queries.pop() == sql)

    async def test_a_large_row_keeps_its_size(self):
        """Its header was that of a packet of another size."""
        for size in (len(self.LARGE) - 5, len(self.LARGE) - 4, len(self.LARGE)):
            with self.subTest(size):
                value = self.LARGE[:size]
                async with asyncio.timeout(ANSWER_TIMEOUT):
                    results = await self.ask(value, ColumnType.LONG_BLOB)
                self.assertTrue(all(result == value for result in results))


class SeveralResultsTest(unittest.IsolatedAsyncioTestCase):
    """An instance answers a CALL with several results, one after the other."""

    CAPABILITIES = DEFAULT_SERVER_CAPABILITIES | Capabilities.CLIENT_MULTI_RESULTS
    LAST = ServerStatus.SERVER_STATUS_AUTOCOMMIT
    MORE = LAST | ServerStatus.SERVER_MORE_RESULTS_EXISTS

    def make_rows(self, status):
        column = make_column("v", ColumnType.VAR_STRING)
        return (
            make_column_count(self.CAPABILITIES, 1),
            column.definition,
            make_text_resultset_row((b"a",), (column.codec,)),
            make_ok(self.CAPABILITIES, status, eof=True),
        )

    async def serve(self, reader, writer):
        greeting = make_handshake_v10(
            *(self.CAPABILITIES, CharacterSet.utf8mb4, "8.0", 1, bytes(21), self.LAST),
            "mysql_native_password",
        )
        number, answer = 0, [greeting]
        while True:
            for packet in answer:
                writer.write(len(packet).to_bytes(3, "little") + bytes((number,)))
                writer.write(packet)
                number += 1
            header = await reader.read(4)
            if not header:
                break
            number = header[3] + 1
            command = await reader.readexactly(int.from_bytes(header[:3], "little"))
            answer = [make_ok(self.CAPABILITIES, self.LAST)]
            if command[1:] in self.answers:
                answer = self.answers[command[1:]]
        writer.close()

    async def test_the_end_of_an_answer_is_not_left_to_the_next_statement(self):
        """It was dropped, or its error became that of another caller's statement."""
        rows, last_rows = self.make_rows(self.MORE), self.make_rows(self.LAST)
        done = make_ok(self.CAPABILITIES, self.LAST)
        failed = make_error(self.CAPABILITIES, msg="no", code=1644)
        self.answers = {
            b"CALL one()": (*rows, done),
            b"CALL two()": (*rows, *rows, done),
            b"CALL fail()": (*rows, failed),
            b"SELECT 1": last_rows,
        }
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        async with server:
            connection = await open_connection(
                *("127.0.0.1", server.sockets[0].getsockname()[1]),
                *(Login("proxy", ""), "vm-1", 1.0),
            )
            self.addCleanup(connection.close)
            for error, sql in (
                (None, "CALL one()"),
                (OutcomeUnknown, "CALL two()"),
                (StatementRefused, "CALL fail()"),
            ):
                with self.subTest(sql):
                    if error is None:
                        result = await connection.execute_all(sql)
                        self.assertEqual(result.rows, [(b"a",)])
                    else:
                        with self.assertRaises(error):
                            await connection.execute_all(sql)
                    result = await connection.execute_all("SELECT 1")
                    self.assertEqual(result.rows, [(b"a",)])
            connection.close()


class ParameterTest(EdgeCase):
    def check(self, value):
        rows = self.execute("SELECT ?, 1", value)
        [text] = self.received()
        literal = text.removeprefix("SELECT ").removesuffix(", 1")
        for result in (evaluate(literal), rows[0][0]):
            self.assertIs(type(result), type(value))
            self.assertEqual(repr(result), repr(value))

    def test_a_blob_stays_bytes(self):
        """It was decoded as text, and the instance got text or nothing."""
        for value in (b"", b"abc", b"\xe9\x00'\\", bytes(range(256))):
            with self.subTest(value):
                self.check(value)
        self.check("\x00\x1a'\"\\\n\r")


class TextTest(EdgeCase):
    def test_what_is_not_understood_reaches_no_instance(self):
        for sql in NOT_UNDERSTOOD:
            with self.subTest(sql):
                self.assertEqual(self.send(sql), BadRequest.code)
                self.assertEqual(self.received(), [])

    def test_what_needs_a_connection_needs_a_transaction(self):
        for autocommit in ("0", "1"):
            self.send(f"SET autocommit = {autocommit}")
            for sql in OF_A_CONNECTION:
                with self.subTest(sql, autocommit=autocommit):
                    self.assertEqual(self.send(sql), BadRequest.code)
                    self.assertEqual(self.received(), [])
        self.send("BEGIN")
        for sql in OF_A_CONNECTION:
            with self.subTest(sql):
                self.send(sql)
                self.assertEqual(self.received(), [sql])
        self.send("ROLLBACK")

    def test_a_procedure_that_opens_a_transaction_is_not_acknowledged(self):
        """The write after it was in the transaction, which nobody committed."""
        self.assertEqual(self.send("CALL cardamomdrift_begin()"), OutcomeUnknown.code)
        self.send("INSERT INTO t (v) VALUES ('kept')")
        self.assertEqual(self.send("SELECT COUNT(*) FROM t"), [(1,)])

    def test_a_procedure_that_ends_the_transaction_loses_it(self):
        """The rest of the transaction was committed statement by statement."""
        self.send("BEGIN")
        self.assertEqual(self.send("CALL cardamomdrift_commit()"), OutcomeUnknown.code)
        sql = "INSERT INTO t (v) VALUES ('lost')"
        self.assertEqual(self.send(sql), OutcomeUnknown.code)
        self.assertEqual(self.received(), [])
        self.send("ROLLBACK")

    def test_a_transaction_behind_comments_is_the_callers_own(self):
        """BEGIN behind two comments opened one on a connection that others use."""
        self.send("/* a */ /* b */ BEGIN")
        self.send("INSERT INTO t (v) VALUES ('lost')")
        self.send("/* a */ -- b\n ROLLBACK")
        self.assertEqual(self.send("SELECT 1 FROM t WHERE v = 'lost'"), [])
        self.assertEqual(self.send("ROLLBACK/**/TO a"), BadRequest.code)


class RoundTripTest(EdgeCase):
    """Odd texts and values, from a caller to an instance and back."""

    @STEADY
    @given(TEXTS)
    def test_an_instance_gets_the_text_or_nothing(self, sql):
        self.send("ROLLBACK")
        self.send("SET autocommit = 1")
        result = self.send(sql)
        texts = self.received()
        if result == BadRequest.code:
            self.assertEqual(texts, [])
        elif texts != [sql]:
            self.assertRegex(sql.upper(), OWN_WORDS, (result, texts))
            self.assertEqual([text for text in texts if text != sql], texts[:1])
            self.assertIn(texts[:1], ([], ["COMMIT"], ["ROLLBACK"]))

    def test_every_way_keeps_both_ends_of_a_text(self):
        """Reads, writes, with and without key and transaction, and BEGIN itself."""
        leads = (
            "",
            " ",
            "\n",
            "/* a */ ",
            "\r\n-- a\n",
            "/* cardamomdrift: key=k{} */",
        )
        bodies = ("SELECT 1", "UPDATE t SET v = 'b  '", "SELECT 1 FOR UPDATE", "BEGIN")
        ends = ("", " ", "\n\t", ";", " ; ", ";-- b", "/* b */", " #", "\f--")
        cases = list(product(("ROLLBACK", "BEGIN"), leads, bodies, ends))
        refused = 0
        for number, (before, lead, body, end) in enumerate(cases):
            sql = lead.format(number) + body + end
            self.send(before)
            result = self.send(sql)
            texts = self.received()
            if result == BadRequest.code and "key=" in sql:
                refused += 1  # reads, and statements inside transactions
                self.assertEqual(texts, [])
                continue
            with self.subTest(sql, before=before):
                self.assertNotIn(result, (BadRequest.code, OutcomeUnknown.code))
                own = ("BEGIN", "COMMIT", "INSERT INTO cardamomdrift_requests")
                others = [text for text in texts if text != sql]
                self.assertEqual(texts.count(sql), 1)
                self.assertTrue(all(text.startswith(own) for text in others), others)
        self.assertEqual(refused, 3 * len(ends))
        self.send("ROLLBACK")

    @STEADY
    @given(CHARACTERS)
    def test_a_string_comes_back(self, value):
        sql = f"SELECT {self.caller.escape(value)} AS v"
        self.assertEqual(self.send(sql), [(value,)])
        self.assertEqual(self.received(), [sql])

    @STEADY
    @given(st.lists(st.tuples(GAPS, VALUES), min_size=1, max_size=5))
    def test_parameters_reach_the_instance(self, parameters):
        pieces = ["SELECT ", *(f", {gap}" for (gap, _), _ in parameters)]
        expected = [item for (_, more), value in parameters for item in (value, *more)]
        values = [value for _, value in parameters]
        result = self.execute("?".join(pieces) + "1", *values)
        texts = self.received()
        if any(isinstance(value, float) and not isfinite(value) for value in values):
            self.assertEqual((result, texts), (BadRequest.code, []))
            return
        [text] = texts
        place = 0
        for piece, value in zip(pieces, values, strict=False):
            self.assertTrue(text.startswith(piece, place))
            literal = LITERAL.match(text, place + len(piece))
            self.assertEqual(repr(evaluate(literal[0])), repr(value))
            place = literal.end()
        self.assertEqual(text[place:], f"{pieces[-1]}1")
        for got, value in zip(result[0], (*expected, 1), strict=True):
            large = isinstance(value, int) and value >= 2**63
            if not large and not isinstance(value, float):
                self.assertEqual(got, value)  # SQLite rounds the others

    def test_sizes(self):
        for size in (0, 250, 251, 65535, 65536, 2**20):
            for value in ("\xe9" * size, b"\xff" * size):
                with self.subTest(size, type=type(value)):
                    [row] = self.execute("SELECT ? AS v", value)
                    self.assertTrue(row[0] == value)
                    self.assertEqual(len(self.received()), 1)


if __name__ == "__main__":
    unittest.main()
