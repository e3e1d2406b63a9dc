"""
Callers with keys
=================

Each caller has one key and uses an open connection until it ends, also after its key
was withdrawn or while its daemon does not answer.
"""

import asyncio
import itertools
from collections import deque

LINE_SIZE_LIMIT = 4 * 1024 * 1024  # bytes; more than any answer
START_TIMEOUT = 2.5  # seconds; a little more than the daemons'
# Seconds after which a caller sends its next statement without the answer.
PATIENCE = 0.4
MAX_UNANSWERED = 20  # statements of one connection
REOPEN_INTERVAL = 0.2  # seconds
DENIED_INTERVAL = 0.05  # seconds, at least, between operations once a key is denied
TRANSACTION_SHARE = 0.3  # of the operations
WRITE_SHARE = 0.5  # of the single statements


class ConnectionEnded(Exception):
    """The connection has ended or could not be opened."""


class KeyCaller:
    """Caller with one key, which opens one connection after another.

    Parameters
    ----------
    name : str
        Begins the ids of its requests.
    fleet : Fleet
    checker : CustomerChecker
    random : random.Random
    key : str
    database : str
    interval : float
        Seconds between two operations.
    daemon : DaemonProcess, optional
        The only one to which it connects.
    """

    def __init__(
        self, name, fleet, checker, random, key, database, interval, daemon=None
    ):
        self._fleet = fleet
        self._daemon = daemon
        self._checker = checker
        self._random = random
        self._key = key
        self._database = database
        self._interval = interval
        self._item = f"item-{name}"
        self._operations = (f"{name}-{count}" for count in itertools.count())
        self._writer = None
        self._reading = None
        self._pending = deque()

    async def run(self):
        """Send operations until cancelled."""
        while True:
            try:
                await self.open()
                while True:
                    await self._run_operation()
                    await asyncio.sleep(self._interval)
            except (ConnectionEnded, OSError):
                await asyncio.sleep(REOPEN_INTERVAL)
            finally:
                self.close()

    def close(self):
        """Close the connection, if one is open."""
        if self._reading is not None:
            self._reading.cancel()
        if self._writer is not None:
            self._writer.close()
        self._writer = self._reading = None
        self._pending.clear()

    async def open(self):
        """Open a connection; `run` does it itself."""
        daemon = self._daemon
        if daemon is None:
            daemon = self._random.choice(list(self._fleet.daemons.values()))
        try:
            async with asyncio.timeout(START_TIMEOUT):
                reader, self._writer = await asyncio.open_connection(
                    daemon.host, self._fleet.ports[0], limit=LINE_SIZE_LIMIT
                )
                self._writer.write(f"START {self._database} {self._key}\r\n".encode())
                if self._key not in self._checker.keys:
                    # A statement that does not wait for the answer to START.
                    self._send(f"{next(self._operations)}-1", f"WRITE {self._item} x")
                line = await reader.readuntil(b"\r\n")
        except (TimeoutError, asyncio.IncompleteReadError):
            raise ConnectionEnded from None
        if not line.startswith(b"READY"):
            raise ConnectionEnded
        self._reading = asyncio.create_task(self._read_answers(reader))

    async def write_until(self, end, pause):
        """Send single writes until a time of the loop's clock, but at least one."""
        clock = asyncio.get_running_loop().time
        while True:
            text = f"WRITE {self._item} 1"
            await self._ask(f"{next(self._operations)}-1", text)
            if clock() >= end:
                return
            await asyncio.sleep(pause)

    async def _read_answers(self, reader):
        last_line = ""
        try:
            while True:
                line = (await reader.readuntil(b"\r\n")).decode()[:-2]
                if not line.startswith("READY"):
                    last_line = line
                    continue
                request_id, answered = self._pending.popleft()
                self._checker.end(request_id, last_line)
                if last_line.startswith("ERROR AUTHFAIL"):
                    self._interval = max(self._interval, DENIED_INTERVAL)
                if not answered.done():
                    answered.set_result(last_line)
        except (asyncio.IncompleteReadError, OSError):
            return

    def _send(self, request_id, text):
        """Send a statement and return the future of its answer's last line."""
        answered = asyncio.get_running_loop().create_future()
        self._pending.append((request_id, answered))
        self._checker.begin(request_id, self._key)
        self._writer.write(f"QUERY {request_id} {text}\r\n".encode())
        return answered

    async def _ask(self, request_id, text):
        """Return whether a statement succeeded, None if it is not answered in time."""
        if self._reading.done():
            raise ConnectionEnded
        answered = self._send(request_id, text)
        waiting = {answered, self._reading}
        # While a daemon does not answer, its callers go on up to a limit.
        timeout = PATIENCE if len(self._pending) < MAX_UNANSWERED else None
        await asyncio.wait(
            waiting, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
        )
        return answered.result().startswith("COMPLETE") if answered.done() else None

    async def _run_operation(self):
        operation = next(self._operations)
        if self._random.random() >= TRANSACTION_SHARE:
            writes = self._random.random() < WRITE_SHARE
            text = f"WRITE {self._item} 1" if writes else f"READ {self._item}"
            await self._ask(f"{operation}-1", text)
            return
        if await self._ask(f"{operation}-0", "BEGIN") is False:
            return
        if await self._ask(f"{operation}-1", f"WRITE {self._item} 2") is False:
            await self._ask(f"{operation}-0", "ROLLBACK")
            return
        await self._ask(f"{operation}-2", "COMMIT")
