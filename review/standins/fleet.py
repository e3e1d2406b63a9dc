"""Starts the daemons as the deploy file does, and connects clients to them."""

import asyncio
import json
import os
import random
import signal
import socket
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
COMMAND = ("python3", "-S", "-m", "cardamomdrift.platform")  # deploy/system.toml
GRACE = 6.0  # seconds, graceS
BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "contactMs": 4000,
    "ackMs": 5000,
    "catchUpS": 4,
    "drainMs": 7000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 3000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 12000,
    "recoveryS": 12,
    "fencingEnforced": False,
    "thawMs": 300,
}


class Record:
    """Writes record.txt; each line has the seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w")
        self._began = time.monotonic()

    def __call__(self, line):
        """Write one line."""
        self._file.write(f"{self.now():8.3f} {line}\n")
        self._file.flush()

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._began


def _is_free(host, port, kind):
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def choose_addresses(count):
    """Return loopback addresses with the same free ports, and the first port."""
    for _ in range(200):
        net = f"127.{random.randint(2, 250)}.{random.randint(0, 250)}"
        hosts = [f"{net}.{index}" for index in range(10, 10 + count)]
        first = random.randint(12000, 30000)
        if all(
            _is_free(host, first + offset, kind)
            for host in hosts
            for offset in range(20)
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM)
        ):
            return hosts, first
    raise OSError("no free ports")


class Daemon:
    """One daemon process."""

    def __init__(
        self, name, host, first_port, platform, folder, record, bounds=None, zone="z1"
    ):
        self.name, self.host = name, host
        self.front = first_port
        self._folder = Path(folder)
        self._record = record
        self._process = None
        settings = {
            "nodeName": name,
            "role": "entry",
            "machineClass": "front",
            "serves": ["front", "control"],
            "ip": host,
            "zone": zone,
            "region": "r1",
            "zones": {zone: "r1"},
            "listen": {
                "front": f"{host}:{first_port}",
                "ready": f"{host}:{first_port + 1}",
                "control": f"{host}:{first_port + 2}",
            },
            "internalPorts": [first_port + 4, first_port + 19],
            "seeds": [],
            "bootstrap": True,
            "heartbeatMs": 1200,
            "discovery": "platform",
            "entry": "vip",
            "contracts": ["base", "drain", "config", "recover", "sql", "platform"],
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS | (bounds or {}),
            "platform": {
                "address": platform.store_address,
                "form": "table",
                "writesPerS": 400,
                "readsPerS": 2000,
            },
            "cloudApi": {"address": platform.promotion_address, "dutyPerS": 50.0},
        }
        self._settings = self._folder / f"{name}.json"
        self._settings.write_text(json.dumps(settings))

    async def start(self):
        """Start the process."""
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["CARDAMOMDRIFT_SETTINGS"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        with open(self._folder / f"{self.name}.log", "ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._record(f"daemon {self.name} started")

    def signal(self, number):
        """Send a signal to the process."""
        if self.running:
            self._record(f"daemon {self.name} gets {signal.Signals(number).name}")
            self._process.send_signal(number)

    @property
    def pid(self):
        """Id of the process."""
        return self._process.pid

    @property
    def running(self):
        """Whether the process runs."""
        return self._process is not None and self._process.returncode is None

    async def wait(self, timeout):
        """Wait until the process has ended; return whether it has."""
        try:
            async with asyncio.timeout(timeout):
                await self._process.wait()
        except TimeoutError:
            return False
        self._record(f"daemon {self.name} has ended")
        return True

    async def kill(self):
        """Kill the process."""
        if self.running:
            self._process.kill()
            await self._process.wait()
            self._record(f"daemon {self.name} killed")

    async def is_ready(self):
        """Ask as the platform does."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self.host, self.front + 1
                )
                writer.write(b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False


async def wait_ready(daemons, timeout=15.0):
    """Wait until all daemons are ready; raise TimeoutError."""
    async with asyncio.timeout(timeout):
        for daemon in daemons:
            while not await daemon.is_ready():
                await asyncio.sleep(0.1)


class Client:
    """One session of a client."""

    def __init__(self, daemon, record, label):
        self._daemon = daemon
        self._record = record
        self.label = label
        self._reader = self._writer = None

    async def open(self, database):
        """Open the session; raise OSError if it is refused."""
        self._reader, self._writer = await asyncio.open_connection(
            self._daemon.host, self._daemon.front
        )
        self._writer.write(f"START {database} {self.label}\r\n".encode())
        async with asyncio.timeout(2.0):
            line = (await self._reader.readline()).decode().rstrip("\r\n")
        if not line.startswith("READY"):
            self.close()
            raise ConnectionError(f"START answered {line!r}")

    async def query(self, request_id, text, timeout=3.0):
        """Send a statement; return (answer, rows, state).

        The answer is COMPLETE, an ERROR line, or CLOSED if the connection ended
        without a complete answer.
        """
        self._record(
            f"sent by {self.label} to {self._daemon.name}: {request_id} {text}"
        )
        rows, answer = [], ""
        try:
            self._writer.write(f"QUERY {request_id} {text}\r\n".encode())
            async with asyncio.timeout(timeout):
                while True:
                    line = (await self._reader.readuntil(b"\r\n")).decode()[:-2]
                    word, _, rest = line.partition(" ")
                    if word == "ROW":
                        rows.append(rest)
                    elif word in ("COMPLETE", "ERROR"):
                        answer = line
                    elif word == "READY":
                        break
        except (OSError, asyncio.IncompleteReadError) as error:
            if isinstance(error, TimeoutError):
                answer, rest = "NONE", "?"
            else:
                answer, rest = "CLOSED", "?"
        self._record(f"answer to {request_id}: {answer} {rows or ''}")
        return answer, rows, rest[:1]

    def close(self):
        """End the session."""
        if self._writer is not None:
            self._writer.close()


def configuration(group, sync_replicas=0, version=1):
    """Return the operator's configuration with one route of each type."""

    def route(host, kind, timeout, aim, **more):
        return {
            "name": f"r-{host}",
            "host": host,
            "prefix": "/",
            "routeType": kind,
            "timeoutMs": timeout,
            "targetLatencyMs": aim,
            "priority": 1,
            "backend": group,
        } | more

    return {
        "version": version,
        "routes": [
            route("book", "primary", 800, 120),
            route("look", "bounded_staleness", 1500, 400, maxStalenessMs=1500),
            route("crew", "read_your_writes", 800, 200, maxStalenessMs=2500),
        ],
        "backends": [
            {
                "name": group,
                "healthPath": "/health",
                "maxConns": 28,
                "syncReplicas": sync_replicas,
            }
        ],
        "limits": {"txIdleMs": 3000, "idleTimeoutMs": 15000},
    }
