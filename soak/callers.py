"""
Callers
=======

Callers of the soak test: sessions that write, read and run transactions.  A session
ends after a random number of operations, or when its connection fails.
"""

import asyncio
import itertools

from soak.checker import STALENESS_SLACK

RESTING_STATEMENTS = 10  # statements of a transaction that rests between them
RESTING_PAUSE = 0.5  # seconds
ANSWER_TIMEOUT = 3.0  # seconds; longer than a statement may take
STATEMENT_INTERVAL = 0.02  # seconds between two statements of a session
MAX_STALENESS = 1.5  # seconds; limit of the route "look"
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
        self.answers = 0

    async def run(self):
        """Run sessions until cancelled."""
        while True:
            database = self._random.choice(("book", "look", "crew"))
            try:
                await self._open(database)
                for _ in range(self._random.randint(1, 60)):
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
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT):
                self._reader, self._writer = await asyncio.open_connection(*address)
                self._writer.write(f"START {database} soak\r\n".encode())
                line = (await self._reader.readuntil(b"\r\n")).decode()
        except TimeoutError:
            raise SessionEnded from None
        if not line.startswith("READY"):
            raise SessionEnded

    async def _query(self, request_id, text):
        self._writer.write(f"QUERY {request_id} {text}\r\n".encode())
        lines = []
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT):
                while True:
                    line = (await self._reader.readuntil(b"\r\n")).decode()[:-2]
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
        self._last_number += 1
        request_id = next(self._request_ids)
        write = self._checker.begin_write(self._item, self._last_number, request_id)
        lines = await self._query(request_id, f"WRITE {self._item} {self._last_number}")
        self._finish_write(write, lines)

    async def _transact(self):
        await self._query(next(self._request_ids), "BEGIN")
        self._last_number += 1
        request_id = next(self._request_ids)
        text = f"WRITE {self._item} {self._last_number}"
        lines = await self._query(next(self._request_ids), text)
        if lines[-1].startswith("ERROR") or self._random.random() < 0.2:
            await self._query(next(self._request_ids), "ROLLBACK")
            return
        write = self._checker.begin_write(self._item, self._last_number, request_id)
        self._finish_write(write, await self._query(request_id, "COMMIT"))

    async def _rest_in_transaction(self):
        """Run a read transaction of seconds, with pauses between its statements."""
        await self._query(next(self._request_ids), "BEGIN READ")
        for _ in range(RESTING_STATEMENTS):
            request_id = next(self._request_ids)
            lines = await self._query(request_id, f"READ {self._item}")
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
        lines = await self._query(request_id, f"READ {item}")
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
