"""
Callers
=======

Sessions that write, read and open transactions, and keep their connection until the
daemon closes it.
"""

import asyncio
import itertools

from soak.checker import STALE_SLACK

ANSWER_TIME = 3.0  # seconds; more than the longest time for a statement
PAUSE = 0.02  # seconds between two statements of a session
STALENESS = 1.5  # seconds, as the route says
NOT_RUN = ("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT")


class SessionEnded(Exception):
    """The connection is gone."""


class Caller:
    """One caller; it takes another daemon when its own is gone."""

    def __init__(self, number, fleet, checker, random):
        self._fleet = fleet
        self._checker = checker
        self._random = random
        self._ids = (f"c{number}x{count}" for count in itertools.count())
        self._item = f"item{number}"
        self._number = 0
        self._reader = None
        self._writer = None
        self._daemon = None
        self._own = 0
        self.answers = 0

    async def run(self):
        """Work until cancelled."""
        while True:
            kind = self._random.choice(("book", "look", "crew"))
            try:
                await self._open(kind)
                for _ in range(self._random.randint(1, 60)):
                    await self._work(kind)
                    await asyncio.sleep(PAUSE)
            except (SessionEnded, OSError, asyncio.IncompleteReadError):
                await asyncio.sleep(PAUSE)
            finally:
                if self._writer is not None:
                    self._writer.close()
                    self._writer = None

    async def _open(self, database):
        self._daemon = self._random.choice(list(self._fleet.daemons.values()))
        address = (self._daemon.host, self._fleet.ports[0])
        self._own = 0
        try:
            async with asyncio.timeout(ANSWER_TIME):
                self._reader, self._writer = await asyncio.open_connection(*address)
                self._writer.write(f"START {database} soak\r\n".encode())
                line = (await self._reader.readuntil(b"\r\n")).decode()
        except TimeoutError:
            raise SessionEnded from None
        if not line.startswith("READY"):
            raise SessionEnded

    async def _ask(self, request_id, text):
        self._writer.write(f"QUERY {request_id} {text}\r\n".encode())
        lines = []
        try:
            async with asyncio.timeout(ANSWER_TIME):
                while True:
                    line = (await self._reader.readuntil(b"\r\n")).decode()[:-2]
                    if line.startswith("READY"):
                        break
                    lines.append(line)
        except TimeoutError:
            raise SessionEnded from None
        self.answers += 1
        self._checker.check_answer(request_id, lines)
        return lines

    async def _work(self, kind):
        choice = self._random.random()
        if choice < 0.4 and kind != "look":
            await self._write()
        elif choice < 0.5 and kind != "look":
            await self._transact()
        elif choice < 0.55:
            await self._look_for_route()
        else:
            await self._read(kind)

    async def _write(self):
        self._number += 1
        request_id = next(self._ids)
        write = self._checker.begin_write(self._item, self._number, request_id)
        lines = await self._ask(request_id, f"WRITE {self._item} {self._number}")
        self._end(write, lines)

    async def _transact(self):
        await self._ask(next(self._ids), "BEGIN")
        self._number += 1
        request_id = next(self._ids)
        text = f"WRITE {self._item} {self._number}"
        lines = await self._ask(next(self._ids), text)
        if lines[-1].startswith("ERROR") or self._random.random() < 0.2:
            await self._ask(next(self._ids), "ROLLBACK")
            return
        write = self._checker.begin_write(self._item, self._number, request_id)
        self._end(write, await self._ask(request_id, "COMMIT"))

    def _end(self, write, lines):
        word = lines[-1].split(" ")
        now = asyncio.get_running_loop().time()
        if word[0] == "COMPLETE":
            self._own = write.number
            outcome = "done"
        else:
            outcome = "not run" if word[1] in NOT_RUN else "in doubt"
        self._checker.end_write(write, outcome, now)

    async def _read(self, kind):
        items = [*self._checker.by_item, self._item]
        item = self._item if kind == "crew" else self._random.choice(items)
        now = asyncio.get_running_loop().time()
        before = now - (STALENESS + STALE_SLACK if kind == "look" else 0.0)
        floor = self._checker.floor_of(item, before)
        if kind == "crew":
            floor = self._own
        request_id = next(self._ids)
        lines = await self._ask(request_id, f"READ {item}")
        if not lines[0].startswith("ROW"):
            return
        value = lines[0].partition("=")[2]
        # A promotion may undo a write meanwhile.
        floor = min(floor, self._checker.floor_of(item, now))
        self._checker.check_read(kind, item, floor, value, request_id)

    async def _look_for_route(self):
        version = self._random.randint(1, self._fleet.version)
        daemon, number = self._daemon, self._daemon.incarnation
        async with asyncio.timeout(ANSWER_TIME):
            address = (daemon.host, self._fleet.ports[0])
            reader, writer = await asyncio.open_connection(*address)
            writer.write(f"START v{version} soak\r\n".encode())
            line = (await reader.readuntil(b"\r\n")).decode()
            writer.close()
        if daemon.incarnation == number and not line.startswith("ERROR MALFORMED"):
            self._checker.check_route(daemon, version, line.startswith("READY"))
