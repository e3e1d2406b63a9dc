"""
Tests of the interfaces
=======================

Wire server, clients of the platform's services, instances and connection pool.
"""

import asyncio
import ssl
import unittest
from contextlib import asynccontextmanager
from pathlib import Path

import asyncmy
from aiohttp import ClientSession
from asyncmy.errors import Error
from mysql_mimic.charset import CharacterSet
from mysql_mimic.constants import DEFAULT_SERVER_CAPABILITIES
from mysql_mimic.packets import make_handshake_v10
from mysql_mimic.types import Capabilities, ServerStatus

from cardamomdrift.cloud.objects import ObjectStore, digest_of
from cardamomdrift.cloud.table import (
    AppendConflict,
    Appended,
    AppendUnknown,
    make_table,
)
from cardamomdrift.errors import (
    DeadlinePassed,
    PlatformUnavailable,
    UpstreamBusy,
    UpstreamLost,
    UpstreamUnreachable,
)
from cardamomdrift.mysql.connection import make_connector, open_connection
from cardamomdrift.mysql.contract import (
    fence_statement,
    follow_statement,
    promote_statement,
)
from cardamomdrift.mysql.wire import (
    Ok,
    PasswordIdentity,
    PasswordlessIdentity,
    WireServer,
    WireVariables,
)
from cardamomdrift.settings import Login, PlatformOptions
from cardamomdrift.standins.group import make_group
from cardamomdrift.standins.instance import InstanceOptions
from cardamomdrift.standins.platform import StandinPlatform
from cardamomdrift.upstreams.pool import InstancePool
from tests.values import SCHEMA, bundle, until

DATA = Path(__file__).parent / "data"
LOGIN = Login("proxy", "")
STREAM = ("test", "bundle")


class OkSession:
    """Session that answers every query with OK and keeps the queries."""

    def __init__(self):
        self.variables = WireVariables()
        self.username = None
        self.database = None
        self.in_transaction = False
        self.queries = []

    async def init(self, connection):
        pass

    async def close(self):
        pass

    async def handle_query(self, sql, attributes):
        self.queries.append(sql)
        return Ok()


@asynccontextmanager
async def wire_server(identity=None, max_connections=10, max_packet=1024, tls=None):
    """Run a wire server whose sessions answer every query with OK; yield it."""
    server = WireServer(
        OkSession,
        identity or PasswordlessIdentity(),
        max_connections,
        max_packet,
        tls,
        require_tls=tls is not None,
    )
    async with server:
        await server.open("127.0.0.1", 0)
        yield server


def connect(server, **options):
    return asyncmy.connect(
        host="127.0.0.1", port=server.port, autocommit=None, **{"user": "x", **options}
    )


class WireTest(unittest.IsolatedAsyncioTestCase):
    async def test_wrong_password_ends_the_connection(self):
        digest = "2470c0c06dee42fd1618bb99005adca2ec9d1e19"  # double SHA-1: "password"
        async with wire_server(PasswordIdentity({"rosa": digest})) as server:
            good = await connect(server, user="rosa", password="password")
            await good.query("SELECT 1")
            good.close()
            for user, password in (
                ("rosa", "wrong"),
                ("rosa", ""),
                ("eve", "password"),
            ):
                with self.subTest(user=user), self.assertRaises(Error):
                    await connect(server, user=user, password=password)
            await until(lambda: server.connections == 0)

    async def test_callers_may_use_tls(self):
        server_side = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        server_side.load_cert_chain(DATA / "loopback.pem", DATA / "loopback.key")
        caller_side = ssl.create_default_context(cafile=DATA / "loopback.pem")
        async with wire_server(tls=server_side) as server:
            connection = await connect(server, ssl=caller_side)
            await connection.query("SELECT 1")
            connection.close()
            with self.assertRaises(Error) as caught:
                await connect(server)
            self.assertEqual(caught.exception.args[0], 1045)

    async def test_oversized_packet_ends_that_connection_only(self):
        async with wire_server() as server:
            one, two = await connect(server), await connect(server)
            with self.assertRaises(Error):
                await one.query("SELECT '" + "x" * 5000 + "'")
            await two.query("SELECT 1")
            two.close()

    async def test_a_character_set_without_a_codec_is_refused(self):
        faults = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _loop, context: faults.append(context))
        async with wire_server() as server:
            reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
            await reader.readexactly(
                int.from_bytes(await reader.readexactly(4), "little")
            )
            response = (1 << 9).to_bytes(4, "little") + bytes(4) + b"\x3f" + bytes(23)
            response += b"caller\0\0"
            writer.write(len(response).to_bytes(3, "little") + b"\x01" + response)
            self.assertIn(b"unknown encoding: binary", await reader.read())
            writer.close()
            await until(lambda: server.connections == 0)
        self.assertEqual(faults, [])

    async def test_connection_limit_counts_unfinished_handshakes(self):
        async with wire_server(max_connections=3) as server:
            held = [
                await asyncio.open_connection("127.0.0.1", server.port)
                for _ in range(3)
            ]
            with self.assertRaises(Error) as caught:
                await connect(server)
            self.assertEqual(caught.exception.args[0], 1040)
            self.assertEqual(server.connections, 3)
            held[0][1].write(b"\x05\x00\x00\x01junk!")  # not a handshake response
            for _, writer in held:
                writer.close()
            await until(lambda: server.connections == 0)
            (await connect(server)).close()


class PlatformTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.platform = await self.enterAsyncContext(StandinPlatform(seed=3))
        session = await self.enterAsyncContext(ClientSession())
        options = PlatformOptions(self.platform.url, "t", "b", "local", "k", "s")
        self.table = make_table(session, options)
        self.objects = ObjectStore(session, options)

    async def test_concurrent_appends_of_one_number_have_one_winner(self):
        outcomes = await asyncio.gather(
            *(self.table.append(STREAM, 1, {"who": str(i)}, f"w{i}") for i in range(5))
        )
        self.assertEqual(sum(isinstance(outcome, Appended) for outcome in outcomes), 1)
        winner = (await self.table.latest(STREAM))["who"]
        for outcome in outcomes:
            if isinstance(outcome, AppendConflict):
                self.assertEqual(outcome.row["who"], winner)

    async def test_lost_answers_are_resolved_by_reading_back(self):
        self.platform.faults.lost_answers = 0.4
        for number in range(1, 13):
            outcome = await self.table.append(STREAM, number, {}, f"id-{number}")
            self.assertNotIsInstance(outcome, AppendConflict)

    async def test_a_repeat_of_the_same_write_is_accepted(self):
        for _ in range(2):
            self.assertIsInstance(await self.table.append(STREAM, 1, {}, "w"), Appended)

    async def test_platform_down(self):
        self.platform.faults.down = True
        self.assertIsInstance(
            await self.table.append(STREAM, 1, {}, "w"), AppendUnknown
        )
        with self.assertRaises(PlatformUnavailable):
            await self.table.latest(STREAM)
        with self.assertRaises(PlatformUnavailable):
            await self.objects.get("x")

    async def test_latest_is_the_highest_number(self):
        for number in (1, 2, 10):
            await self.table.append(STREAM, number, {"n": number}, f"w{number}")
        self.assertEqual((await self.table.latest(STREAM))["n"], 10)

    async def test_objects_are_named_by_their_content(self):
        digest = await self.objects.put(b"body")
        self.assertEqual(digest, digest_of(b"body"))
        self.assertEqual(await self.objects.put(b"body"), digest)
        self.assertEqual(await self.objects.get(digest), b"body")
        self.assertIsNone(await self.objects.get("0" * 64))


class HandshakeTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_instance_runs_one_statement_of_a_text(self):
        """The library asks for several, so "SELECT 1; COMMIT" would run both."""
        flags = asyncio.get_running_loop().create_future()
        greeting = make_handshake_v10(
            DEFAULT_SERVER_CAPABILITIES | Capabilities.CLIENT_MULTI_STATEMENTS,
            *(CharacterSet.utf8mb4, "8.0", 1, bytes(21), ServerStatus(2)),
            "mysql_native_password",
        )

        async def answer(reader, writer):
            writer.write(len(greeting).to_bytes(4, "little") + greeting)
            await reader.readexactly(4)
            flags.set_result(int.from_bytes(await reader.readexactly(4), "little"))
            writer.close()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        async with server:
            port = server.sockets[0].getsockname()[1]
            with self.assertRaises(UpstreamUnreachable):
                await open_connection("127.0.0.1", port, LOGIN, "vm-1", 1.0)
        self.assertFalse(await flags & Capabilities.CLIENT_MULTI_STATEMENTS)


class InstanceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        group = make_group(
            "g",
            ("a", "b", "c"),
            lambda: InstanceOptions(schema=SCHEMA, max_connections=4),
        )
        self.group = await self.enterAsyncContext(group)
        instances = group.instances.values()
        await until(lambda: len({instance.position for instance in instances}) == 1)
        self.connections = {}
        for name, instance in group.instances.items():
            connection = await open_connection(
                "127.0.0.1", instance.port, LOGIN, "vm-1", 2.0
            )
            self.addCleanup(connection.close)
            self.connections[name] = connection

    async def test_fences_and_promotions(self):
        rows = (
            ("a lower term", "b", fence_statement(0, "x"), False),
            ("a term that another owner has", "b", fence_statement(1, "x"), False),
            ("a higher term", "b", fence_statement(5, "x"), True),
            ("the same again", "b", fence_statement(5, "x"), True),
            ("the same by another", "b", fence_statement(5, "y"), False),
            ("promotion by another", "b", promote_statement(5, "y"), False),
            ("promotion at another term", "b", promote_statement(4, "x"), False),
            ("promotion", "b", promote_statement(5, "x"), True),
            ("promotion again", "b", promote_statement(5, "x"), True),
            ("promotion without a fence", "c", promote_statement(6, "x"), False),
        )
        for name, instance, statement, accepted in rows:
            with self.subTest(name):
                status = await self.connections[instance].call(statement)
                self.assertEqual(status.accepted, accepted)
        self.assertEqual(status.fence_term, 1)
        status = await self.connections["b"].status()
        self.assertEqual((status.position.term, status.primary), (5, True))

    async def test_fenced_primary_rolls_back_and_follows(self):
        old = self.connections["a"]
        await old.execute("BEGIN")
        await old.execute("INSERT INTO t (v) VALUES ('lost')")
        for name in ("a", "b"):
            await self.connections[name].call(fence_statement(2, "x"))
        await self.connections["b"].call(promote_statement(2, "x"))
        with self.assertRaises(Exception) as caught:
            await old.execute("COMMIT")
        self.assertEqual(caught.exception.code, 1290)
        await self.connections["b"].execute("INSERT INTO t (v) VALUES ('kept')")
        endpoint = self.group.instances["b"].address
        await old.call(follow_statement(2, endpoint))
        instances = self.group.instances
        await until(lambda: instances["a"].position == instances["b"].position)
        result = await old.execute("SELECT v FROM t")
        self.assertEqual(result.rows, [(b"kept",)])

    async def test_cancelled_statement_makes_the_connection_unusable(self):
        connection = self.connections["a"]
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.05):
                await connection.execute("SELECT /* cost_ms=500 */ 1")
        self.assertFalse(connection.reusable)
        with self.assertRaises(UpstreamUnreachable):
            await connection.execute("SELECT 1")

    async def test_crash_loses_open_connections_and_refuses_new_ones(self):
        instance = self.group.instances["a"]
        statement_task = asyncio.create_task(
            self.connections["a"].execute("SELECT /* cost_ms=500 */ 1")
        )
        await until(lambda: instance.statements > 0)
        instance.crash()
        with self.assertRaises(UpstreamLost):
            await statement_task
        with self.assertRaises(UpstreamUnreachable):
            await open_connection("127.0.0.1", instance.port, LOGIN, "vm-1", 1.0)

    async def test_connection_above_the_limit_is_refused_as_busy(self):
        instance = self.group.instances["a"]
        held = [
            await open_connection("127.0.0.1", instance.port, LOGIN, "vm-1", 1.0)
            for _ in range(3)
        ]
        with self.assertRaises(UpstreamBusy):
            await open_connection("127.0.0.1", instance.port, LOGIN, "vm-1", 1.0)
        for connection in held:
            connection.close()


class PoolTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        group = make_group("g", ("a", "b", "c"), InstanceOptions)
        self.group = await self.enterAsyncContext(group)
        spec = bundle().groups["g"].instances[0]
        port = self.group.instances["a"].port
        spec = type(spec)(spec.name, spec.address, port, spec.failure_domain)
        self.clock = asyncio.get_running_loop().time
        self.pool = await self.enterAsyncContext(
            InstancePool(make_connector(spec, LOGIN, "vm-1"), self.clock)
        )
        self.pool.set_limit(2)

    async def test_acquire_respects_limit_and_deadline(self):
        held = [await self.pool.acquire(self.clock() + 1) for _ in range(2)]
        with self.assertRaises(DeadlinePassed):
            await self.pool.acquire(self.clock() + 0.05)
        waiting = asyncio.create_task(self.pool.acquire(self.clock() + 5))
        await asyncio.sleep(0.01)
        self.pool.release(held.pop())
        held.append(await waiting)
        self.assertEqual(self.pool.size, 2)

    async def test_connection_with_an_answer_outstanding_is_closed(self):
        connection = await self.pool.acquire(self.clock() + 1)
        statement_task = asyncio.create_task(
            connection.execute("SELECT /* cost_ms=500 */ 1")
        )
        await asyncio.sleep(0.01)
        self.pool.release(connection)
        with self.assertRaises(UpstreamLost):
            await statement_task
        other = await self.pool.acquire(self.clock() + 1)
        self.assertIsNot(other, connection)

    async def test_a_connection_with_an_open_transaction_is_not_used_again(self):
        """The next caller's statements were part of the transaction."""
        connection = await self.pool.acquire(self.clock() + 1)
        await connection.execute("BEGIN")
        await connection.execute("SELECT 1")
        self.pool.release(connection)
        self.assertIsNot(await self.pool.acquire(self.clock() + 1), connection)

    async def test_lower_limit_closes_excess_connections(self):
        held = [await self.pool.acquire(self.clock() + 1) for _ in range(2)]
        self.pool.set_limit(1)
        for connection in held:
            self.pool.release(connection)
        self.assertEqual(self.pool.size, 1)


if __name__ == "__main__":
    unittest.main()
