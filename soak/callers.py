"""
Callers
=======

Callers of the soak test: sessions that write, read and run transactions, also with
prepared statements whose names all sessions use.  Data, shapes and session values are
odd texts.  A session ends after a random number of operations, or when its connection
fails.
"""

import asyncio
import itertools

from soak.checker import STALENESS_SLACK
from soak.texts import SessionRecord, as_bytes, as_text, draw_filler

RESTING_STATEMENTS = 10  # statements of a transaction that rests between them
RESTING_PAUSE = 0.5  # seconds
ANSWER_TIMEOUT = 3.0  # seconds; longer than a statement may take
STATEMENT_INTERVAL = 0.02  # seconds between two statements of a session
MAX_STALENESS = 1.5  # seconds; limit of the route "look"
LINE_SIZE_LIMIT = 4 * 1024 * 1024  # bytes; more than any answer
WRITE_NAME = "s1"  # of the prepared write of each session
READ_NAME = "s2"
PREPARED_SHARE = 0.4  # of the statements that could be prepared ones
VALUE_NAMES = ("zone", "lang", as_text(b"z\xff"))
SETUP_SHARE = 0.05  # of the operations, which are preceded by a change of the session
# Error codes of statements that did not run.
NOT_RUN_CODES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT")


class SessionEnded(Exception):
    """The session was refused or was not answered in time."""


class Caller:
    """Caller that runs one session after another, each on a random daemon.

    The database of a session selects its route: ``book`` reads from the primary,
    ``look`` allows bounded staleness, ``crew`` reads at least the caller's own writes.
    No other caller writes this caller's item.

    Attributes
    ----------
    answers : int
        Number of answers received.
    """

    def __init__(self, number, fleet, checker, random, resting=False):
        self._fleet = fleet
        self._checker = checker
        self._random = random
        self._resting = resting
        self._request_ids = (f"c{number}x{count}" for count in itertools.count())
        self._item = f"item{number}"
        self._last_number = 0
        self._reader = None
        self._writer = None
        self._daemon = None
        self._incarnation = 0
        self._acknowledged_number = 0
        self._record = None
        self.answers = 0

    async def run(self):
        """Run sessions until cancelled."""
        while True:
            database = self._random.choice(("book", "look", "crew"))
            try:
                await self._open(database)
                for text in self._draw_setup():
                    await self._set_up(text)
                for _ in range(self._random.randint(1, 60)):
                    if self._random.random() < SETUP_SHARE:
                        await self._set_up(self._random.choice(self._draw_setup()))
                    await self._run_operation(database)
                    await asyncio.sleep(STATEMENT_INTERVAL)
            except (SessionEnded, OSError, asyncio.IncompleteReadError):
                await asyncio.sleep(STATEMENT_INTERVAL)
            finally:
                if self._writer is not None:
                    self._writer.close()
                    self._writer = None

    async def _open(self, database):
        self._daemon = self._random.choice(list(self._fleet.daemons.values()))
        self._incarnation = self._daemon.incarnation
        address = (self._daemon.host, self._fleet.ports[0])
        self._acknowledged_number = 0
        self._record = SessionRecord(self._checker.sent)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT):
                self._reader, self._writer = await asyncio.open_connection(
                    *address, limit=LINE_SIZE_LIMIT
                )
                self._writer.write(f"START {database} soak\r\n".encode())
                line = (await self._reader.readuntil(b"\r\n")).decode()
        except TimeoutError:
            raise SessionEnded from None
        if not line.startswith("READY"):
            raise SessionEnded

    def _draw_setup(self):
        """Return the statements that make a session's values and statements new."""
        random = self._random
        return [
            f"PARSE {WRITE_NAME} WRITE {self._item}{draw_filler(random)}",
            f"PARSE {READ_NAME} READ {self._item}{draw_filler(random)}",
            f"SET {random.choice(VALUE_NAMES)} {draw_filler(random)}",
        ]

    async def _set_up(self, text):
        lines = await self._query(next(self._request_ids), text)
        if lines[-1].startswith("ERROR"):
            raise SessionEnded

    def _draw_statement(self, verb, name, rest):
        """Return a statement, or the execution of a prepared one in its place."""
        is_prepared = self._random.random() < PREPARED_SHARE
        return f"EXECUTE {name} {rest}" if is_prepared else f"{verb} {rest}"

    async def _query(self, request_id, text):
        self._record.begin(request_id, text)
        self._writer.write(as_bytes(f"QUERY {request_id} {text}\r\n"))
        lines = []
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT):
                while True:
                    line = as_text(await self._reader.readuntil(b"\r\n"))[:-2]
                    if line.startswith("READY"):
                        break
                    lines.append(line)
        except TimeoutError:
            raise SessionEnded from None
        except (asyncio.IncompleteReadError, ConnectionError):
            self._checker.note_cut(request_id, self._daemon, self._incarnation)
            raise
        self.answers += 1
        self._checker.check_answer(request_id, lines)
        if lines[-1].startswith("COMPLETE"):
            self._record.acknowledge(text)
        return lines

    async def _run_operation(self, database):
        if self._resting:
            await self._rest_in_transaction()
            return
        draw = self._random.random()
        if draw < 0.4 and database != "look":
            await self._write()
        elif draw < 0.5 and database != "look":
            await self._transact()
        elif draw < 0.55:
            await self._check_route()
        else:
            await self._read(database)

    async def _write(self):
        request_id = next(self._request_ids)
        data, text = self._draw_write()
        write = self._begin_write(data, request_id)
        self._finish_write(write, await self._query(request_id, text))

    def _draw_write(self):
        """Return data with the next number, and the statement that writes it."""
        self._last_number += 1
        data = f"{self._last_number} {draw_filler(self._random)}"
        text = self._draw_statement("WRITE", WRITE_NAME, f"{self._item} {data}")
        return data, text

    def _begin_write(self, data, request_id):
        return self._checker.begin_write(
            self._item, self._last_number, data, request_id
        )

    async def _transact(self):
        await self._query(next(self._request_ids), "BEGIN")
        request_id = next(self._request_ids)
        data, text = self._draw_write()
        lines = await self._query(next(self._request_ids), text)
        if lines[-1].startswith("ERROR") or self._random.random() < 0.2:
            await self._query(next(self._request_ids), "ROLLBACK")
            return
        write = self._begin_write(data, request_id)
        self._finish_write(write, await self._query(request_id, "COMMIT"))

    async def _rest_in_transaction(self):
        """Run a read transaction of seconds, with pauses between its statements."""
        await self._query(next(self._request_ids), "BEGIN READ")
        for _ in range(RESTING_STATEMENTS):
            request_id = next(self._request_ids)
            text = self._draw_statement("READ", READ_NAME, self._item)
            lines = await self._query(request_id, text)
            if lines[-1].startswith("ERROR"):
                await self._query(next(self._request_ids), "ROLLBACK")
                return
            await asyncio.sleep(RESTING_PAUSE)
        await self._query(next(self._request_ids), "COMMIT")

    def _finish_write(self, write, lines):
        words = lines[-1].split(" ")
        now = asyncio.get_running_loop().time()
        if words[0] == "COMPLETE":
            self._acknowledged_number = write.number
            outcome = "done"
        else:
            outcome = "not run" if words[1] in NOT_RUN_CODES else "in doubt"
        self._checker.end_write(write, outcome, now)

    async def _read(self, database):
        items = [*self._checker.by_item, self._item]
        item = self._item if database == "crew" else self._random.choice(items)
        now = asyncio.get_running_loop().time()
        acknowledged_before = now - (
            MAX_STALENESS + STALENESS_SLACK if database == "look" else 0.0
        )
        floor = self._checker.find_floor(item, acknowledged_before)
        if database == "crew":
            floor = self._acknowledged_number
        request_id = next(self._request_ids)
        text = self._draw_statement("READ", READ_NAME, item)
        lines = await self._query(request_id, text)
        if not lines[0].startswith("ROW"):
            return
        value = lines[0].partition("=")[2]
        # A promotion during the read may undo a write, so the floor may be lower now.
        floor = min(floor, self._checker.find_floor(item, now))
        self._checker.check_read(database, item, floor, value, request_id)

    async def _check_route(self):
        """Check that the daemon serves the route of a random configuration version."""
        version = self._random.randint(1, self._fleet.version)
        daemon, incarnation = self._daemon, self._daemon.incarnation
        async with asyncio.timeout(ANSWER_TIMEOUT):
            address = (daemon.host, self._fleet.ports[0])
            reader, writer = await asyncio.open_connection(*address)
            writer.write(f"START v{version} soak\r\n".encode())
            line = (await reader.readuntil(b"\r\n")).decode()
            writer.close()
        if daemon.incarnation == incarnation and not line.startswith("ERROR MALFORMED"):
            self._checker.check_route(daemon, version, line.startswith("READY"))
