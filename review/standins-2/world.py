"""
World of a review script
========================

Stand-ins for the platform's store, the instances, the operator and the clients, with
nothing but the standard library, and the daemons as processes of their own.  They follow
PROTOCOL.md; where that page is silent they behave like sound ones.  Every address is a
loopback address.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
COMMAND = ("-S", "-m", "cardamomdrift.platform")  # as in deploy/system.toml
READY_TIMEOUT = 30.0  # seconds
HEARTBEAT = 1.2  # seconds; heartbeatMs


class CannotRun(Exception):
    """The case could not be played; the script then exits with 2."""


class Record:
    """What was sent, answered and run, written to record.txt."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._started = time.monotonic()

    def __call__(self, text):
        self._file.write(f"{time.monotonic() - self._started:9.4f} {text}\n")

    def close(self):
        self._file.close()


# The platform's store


class Store:
    """Rows of the store, and the call that promotes an instance."""

    def __init__(self, record):
        self._record = record
        self._rows = {}
        self._history = []
        self._version = 0
        self._changed = asyncio.Event()
        self._server = None
        self._writers = set()
        self.promote = lambda backend, name: False
        self.promotions = []
        self.address = ""

    async def start(self, host):
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = "%s:%d" % self._server.sockets[0].getsockname()[:2]

    async def stop(self):
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def put(self, table, key, value):
        self._version += 1
        self._rows[table, key] = (value, self._version)
        self._note(table, key)

    def remove(self, table, key):
        if self._rows.pop((table, key), None) is not None:
            self._version += 1
            self._note(table, key)

    def _note(self, table, key):
        self._history.append((self._version, table, key))
        self._changed.set()
        self._changed = asyncio.Event()

    def get(self, table, key):
        row = self._rows.get((table, key))
        return None if row is None else row[0]

    def _encode(self, table, key):
        row = self._rows.get((table, key))
        head = {"table": table, "part": "", "key": key}
        if row is None:
            return head | {"deleted": True, "rowVersion": self._version}
        value = base64.b64encode(row[0]).decode()
        return head | {"value": value, "rowVersion": row[1]}

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first, *lines = head.split("\r\n")
                headers = {}
                for line in lines:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                method, target, _ = first.split(" ")
                status, answer = await self._handle(method, target, headers, body)
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, method, target, headers, body):
        url = urlsplit(target)
        query = {name: values[-1] for name, values in parse_qs(url.query).items()}
        await asyncio.sleep(0.004)
        match method, unquote(url.path):
            case "GET", "/v1/rows-get":
                return self._rows_get(query)
            case "GET", "/v1/rows-feed":
                return await self._rows_feed(query)
            case "POST", "/v1/rows-tx":
                return self._rows_tx(json.loads(body))
            case "POST", "/promotion":
                return self._promotion(json.loads(body), headers)
        return 404, {}

    def _rows_get(self, query):
        table, start = query["table"], query.get("from", "")
        end, limit = query.get("to"), min(int(query.get("limit", 500)), 500)
        keys = sorted(
            (
                key
                for row_table, key in self._rows
                if row_table == table and key >= start and (end is None or key < end)
            ),
            key=str.encode,
        )
        return 200, {
            "rows": [self._encode(table, key) for key in keys[:limit]],
            "hasMore": len(keys) > limit,
            "rowVersion": self._version,
            "nowMs": round(time.monotonic() * 1000),
        }

    async def _rows_feed(self, query):
        table, after = query["table"], int(query["after"])
        loop = asyncio.get_running_loop()
        deadline = loop.time() + min(int(query.get("waitMs", 0)), 30_000) / 1000
        while True:
            changed = self._changed
            keys = {
                key: None
                for version, row_table, key in self._history
                if row_table == table and version > after
            }
            left = deadline - loop.time()
            if keys or left <= 0:
                return 200, {
                    "rows": [self._encode(table, key) for key in keys],
                    "rowVersion": self._version,
                    "nowMs": round(time.monotonic() * 1000),
                }
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                pass

    def _rows_tx(self, call):
        for expected in call.get("expectedRev", ()):
            key = expected["table"], expected["key"]
            if self._rows.get(key, (None, 0))[1] != expected["rowVersion"]:
                rows = [
                    self._encode(entry["table"], entry["key"])
                    for entry in call["expectedRev"]
                    if (entry["table"], entry["key"]) in self._rows
                ]
                return 412, {"rows": rows, "rowVersion": self._version, "nowMs": 0}
        for row in [*call.get("puts", ()), *call.get("remove", ())]:
            if row["table"] in ("op", "servers"):
                return 403, {}
        for row in call.get("puts", ()):
            self.put(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in call.get("remove", ()):
            self.remove(row["table"], row["key"])
        return 200, {"rowVersion": self._version, "nowMs": 0}

    def _promotion(self, call, headers):
        holder, token = headers.get("x-duty-holder"), headers.get("x-fencing-token")
        self.promotions.append((call["backend"], call["id"], holder, token))
        self._record(f"promotion {call['backend']} {call['id']} {holder} {token}")
        return (200 if self.promote(call["backend"], call["id"]) else 409), {}


# Instances


class Instance:
    """One instance of a service."""

    def __init__(self, service, name, zone):
        self.service = service
        self.name = name
        self.zone = zone
        self.host, self.port = "", 0
        self.primary = False
        self.term = 1
        self.log = []  # (term, item, data, id of the statement)
        self.applied = 0
        self.lag = service.lag
        self.running = False
        self.silent_since = None
        self.deaf_until = 0.0
        self._server = None
        self._writers = set()
        self._slots = asyncio.Semaphore(service.slots)
        self._runs = 0

    @property
    def number(self):
        """Number of the last commit that its statements see."""
        return len(self.log) if self.primary else self.applied

    @property
    def position(self):
        number = self.number
        term = self.log[number - 1][0] if number else 1
        return term, number

    @property
    def position_text(self):
        return "%d.%d" % self.position

    async def start(self, host):
        self._server = await asyncio.start_server(
            self._serve, host, self.port, limit=1 << 21
        )
        self.host, self.port = self._server.sockets[0].getsockname()[:2]
        self.running, self.silent_since = True, None

    async def stop(self):
        if self.running:
            self.running, self.silent_since = False, time.monotonic()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        session = {"state": "I", "values": {}, "names": {}, "writes": [], "read": False}
        try:
            word, service, who, name, *_ = [*(await self._line(reader)).split(" "), ""]
            if (
                word != "START"
                or service != self.service.name
                or name
                not in (
                    "",
                    self.name,
                )
            ):
                writer.write(f"ERROR WRONGNODE {self.name}\r\n".encode())
                return
            if len(self._writers) > self.service.connections:
                writer.write(f"ERROR CONNLIMIT {self.name}\r\n".encode())
                return
            session["who"] = who
            async with self._slots:
                await asyncio.sleep(self.service.handshake)
            writer.write(f"READY I {self.position_text}\r\n".encode())
            while True:
                _, request, text = (await self._line(reader)).split(" ", 2)
                lines = await self._run(session, request, text)
                lines.append(f"READY {session['state']} {self.position_text}")
                writer.write("".join(f"{line}\r\n" for line in lines).encode())
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    @staticmethod
    async def _line(reader):
        return (await reader.readuntil(b"\r\n"))[:-2].decode()

    async def _run(self, session, request, text):
        word, _, rest = text.partition(" ")
        if word == "WAITLSN":
            wanted, _, text = rest.partition(" ")
            if self.position < tuple(map(int, wanted.split("."))):
                self.service.world.record(
                    f"run {self.name} {request} LAGGING at {self.position_text}: {rest}"
                )
                return [f"ERROR LAGGING {self.name}"]
            word, _, rest = text.partition(" ")
        match word:
            case "SET":
                name, _, value = rest.partition(" ")
                session["values"][name] = value
            case "PARSE":
                name, kind, shape = rest.split(" ", 2)
                session["names"][name] = (kind, shape)
            case "CLOSE":
                session["names"].pop(rest, None)
            case "RESET":
                session["values"].clear()
                session["names"].clear()
            case "BEGIN":
                if rest != "READ" and not self.primary:
                    return [f"ERROR READONLY {self.name}"]
                session.update(state="T", read=rest == "READ", writes=[])
            case "ROLLBACK":
                session.update(state="I", writes=[])
            case "STEPDOWN":
                if self.primary and self.term < int(rest):
                    self.primary = False
                    self.applied = len(self.log)
                return [self._status(), "COMPLETE -"]
            case "STATUS":
                return [self._status(), "COMPLETE -"]
            case "READ" | "WRITE" | "EXECUTE" | "COMMIT":
                return await self._run_data(session, request, word, rest, text)
            case _:
                return [f"ERROR MALFORMED {word}"]
        return ["COMPLETE -"]

    def _status(self):
        role = "primary" if self.primary else "replica"
        connections = len(self._writers)
        return f"ROW {role} {self.term} {self.position_text} 0 0 0 {connections}"

    async def _run_data(self, session, request, word, rest, text):
        if session["state"] == "E":
            return ["ERROR MALFORMED failed"]
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in session["names"]:
                return [f"ERROR NOSUCHSTMT {name}"]
            word = session["names"][name][0]
        async with self._slots:
            await asyncio.sleep(self.service.work * random.uniform(0.7, 1.4))
        in_transaction = session["state"] == "T"
        if not self.primary and (
            word == "WRITE"
            or (in_transaction and not session["read"])
            and not (word == "COMMIT" and not session["writes"])
        ):
            session["state"] = "E" if in_transaction else "I"
            if word == "COMMIT":
                session["state"] = "I"
            return [f"ERROR READONLY {self.name}"]
        rows = []
        match word:
            case "READ":
                rows.append(f"ROW {self._value(rest)}")
            case "WRITE":
                item, _, data = rest.partition(" ")
                if in_transaction:
                    session["writes"].append((item, data))
                else:
                    await self.service.commit(self, [(item, data)], request)
            case "COMMIT":
                session["state"] = "I"
                if session["writes"]:
                    await self.service.commit(self, session["writes"], request)
        self._runs += 1
        self.service.runs[request] = (self, self.number, session["who"])
        self.service.world.record(
            f"run {self.name} {request} at {self.position_text}: {text}"
        )
        return [*rows, f"COMPLETE {self.name}.{self._runs:x}"]

    def _value(self, item):
        for _, name, data, _ in reversed(self.log[: self.number]):
            if name == item:
                return data
        return "-"


class Service:
    """A database service of one primary and two replicas.

    Attributes
    ----------
    runs : dict of str to (Instance, int, str)
        Where each statement ran, the number of the last commit in the log then, and who
        sent it, by its id.
    commits : dict of str to int
        Number of each commit, by the id of its statement.
    """

    def __init__(
        self, world, name, slots=6, connections=85, lag=0.15, work=0.01, synchronous=0
    ):
        self.world = world
        self.name = name
        self.slots = slots
        self.connections = connections
        self.handshake = 0.012
        self.lag = lag
        self.work = work
        self.synchronous = synchronous
        self.on_promotion = lambda chosen: None
        self.runs = {}
        self.commits = {}
        zones = world.zones
        self.instances = [
            Instance(self, f"i-{random.getrandbits(40):010x}", zone) for zone in zones
        ]
        self.instances[0].primary = True
        self._tasks = set()

    async def commit(self, primary, writes, request):
        """Commit writes; wait for a replica to have them where that is needed."""
        for item, data in writes:
            primary.log.append((primary.term, item, data, request))
        number = len(primary.log)
        self.commits[request] = number
        replicas = [one for one in self.instances if one is not primary]
        for replica in replicas:
            self._later(self._replicate(primary, replica, number))
        while self.synchronous and not any(len(one.log) >= number for one in replicas):
            await asyncio.sleep(0.002)
            if not primary.running:
                raise ConnectionError("crashed")

    def _later(self, work):
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _replicate(self, primary, replica, number):
        await asyncio.sleep(0.001)
        while replica.running and time.monotonic() < replica.deaf_until:
            await asyncio.sleep(0.01)
        if replica.term > primary.term or not (primary.running and replica.running):
            return
        if len(replica.log) < number:
            replica.log = list(primary.log[:number])
        await asyncio.sleep(replica.lag * random.uniform(0.8, 1.2))
        if replica.term <= primary.term:
            replica.applied = max(replica.applied, number)

    async def crash(self, one):
        """Stop an instance abruptly; its log is kept."""
        self.world.record(f"crash of {one.name}")
        await one.stop()

    async def restart(self, one):
        """Start an instance again, as a replica if another one was promoted."""
        newest = max(self.instances, key=lambda other: other.term)
        if newest.term > one.term:
            one.term, one.primary = newest.term, False
            one.log = one.log[: len(newest.log)]
            one.applied = len(one.log)
        await one.start(one.host)
        self.world.record(f"{one.name} is back")
        self.world.list_instances()

    def promote(self, name):
        chosen = next((one for one in self.instances if one.name == name), None)
        if chosen is None or not chosen.running:
            return False
        if not chosen.primary:
            self._later(self._promote(chosen))
        return True

    async def _promote(self, chosen):
        await asyncio.sleep(0.3)
        term = max(one.term for one in self.instances) + 1
        chosen.term, chosen.primary = term, True
        self.world.record(f"promoted {chosen.name} term {term}")
        self.on_promotion(chosen)
        for other in self.instances:
            if other is not chosen:
                if other.primary:
                    other.applied = len(other.log)
                other.term, other.primary = term, False
                other.log = other.log[: len(chosen.log)]
                other.applied = min(other.applied, len(other.log))
        self.world.list_instances()


# Daemons


class Daemon:
    """Process of one daemon."""

    def __init__(self, name, host, ports, settings):
        self.name = name
        self.host = host
        self.front, self.ready_port = ports
        self._settings = settings
        self._process = None

    async def start(self, log):
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = "target/deps"
        environment["CARDAMOMDRIFT_SETTINGS"] = str(self._settings)
        with open(log, "ab") as output:
            self._process = await asyncio.create_subprocess_exec(
                "python3",
                *COMMAND,
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )

    @property
    def running(self):
        return self._process is not None and self._process.returncode is None

    def signal(self, number):
        if self.running:
            self._process.send_signal(number)

    async def end(self):
        """Kill the process and wait for its end."""
        if self.running:
            self.signal(signal.SIGCONT)
            self._process.kill()
        if self._process is not None:
            await self._process.wait()

    async def is_ready(self):
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self.host, self.ready_port
                )
                writer.write(b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                status = await reader.readline()
                writer.close()
                return b" 200" in status
        except (OSError, TimeoutError):
            return False


class Answer:
    """Answer to a query: its rows, signature or error code, state and position."""

    def __init__(self):
        self.rows, self.signature, self.error = [], "", ""
        self.state, self.position = "", ""

    @property
    def ok(self):
        return not self.error

    def __str__(self):
        what = f"ERROR {self.error}" if self.error else f"COMPLETE {self.signature}"
        return f"{what} READY {self.state} {self.position} rows={self.rows}"


class Client:
    """Session of a client at one daemon."""

    def __init__(self, world, name):
        self._world = world
        self.name = name
        self._reader = self._writer = None

    async def start(self, daemon, database, user="u1"):
        """Open the session; return whether READY came."""
        self._reader, self._writer = await asyncio.open_connection(
            daemon.host, daemon.front, limit=1 << 21
        )
        self._writer.write(f"START {database} {user}\r\n".encode())
        line = (await self._read()).partition(" ")
        return line[0] == "READY"

    async def _read(self):
        return (await self._reader.readuntil(b"\r\n"))[:-2].decode()

    async def query(self, text, request=None):
        """Send a query and return its Answer."""
        request = request or f"{random.getrandbits(64):016x}"
        self._world.record(f"sent {self.name} {request} {text}")
        self._writer.write(f"QUERY {request} {text}\r\n".encode())
        answer = Answer()
        answer.request = request
        while True:
            word, _, rest = (await self._read()).partition(" ")
            match word:
                case "ROW":
                    answer.rows.append(rest)
                case "COMPLETE":
                    answer.signature = rest
                case "ERROR":
                    answer.error = rest.partition(" ")[0]
                case "READY":
                    answer.state, _, answer.position = rest.partition(" ")
                    self._world.record(f"answered {self.name} {request} {answer}")
                    return answer

    def close(self):
        if self._writer is not None:
            self._writer.close()


# All together


class World:
    """Store, services and daemons of one small deployment.

    Parameters
    ----------
    folder : Path
        Folder of the case, for record.txt.
    fronts : int
        Number of daemons.
    bounds : dict
        Bounds of the settings that differ from the ones below.
    """

    zones = ("landshut", "passau", "straubing")

    def __init__(self, folder, fronts=4, bounds=None, contracts=()):
        self.record = Record(Path(folder) / "record.txt")
        self._temporary = tempfile.TemporaryDirectory()
        self.scratch = Path(self._temporary.name)
        self.store = Store(self.record)
        self.store.promote = self._promote
        self.services = {}
        self.daemons = []
        self._fronts = fronts
        self._bounds = bounds or {}
        self._contracts = list(contracts)
        self._tasks = []
        self._sequence = 0
        self.version = 0

    def add_service(self, name, **options):
        self.services[name] = Service(self, name, **options)
        return self.services[name]

    def set_lag(self, lag):
        """Let one of the two replicas of each service apply commits so much later."""
        for service in self.services.values():
            service.instances[-1].lag = lag
        self.record(f"one replica of each service is {lag} s behind")

    def _promote(self, backend, name):
        service = self.services.get(backend)
        return service is not None and service.promote(name)

    def list_instances(self):
        """Write the entries of the instances, as they do at each heartbeat."""
        self._sequence += 1
        for service in self.services.values():
            for one in service.instances:
                if not one.running:
                    self._expire(one)
                    continue
                entry = {
                    "backend": service.name,
                    "address": f"{one.host}:{one.port}",
                    "zone": one.zone,
                    "version": "v1",
                    "slots": service.slots,
                    "state": "ready",
                    "coldLeftMs": 0,
                    "sequence": self._sequence,
                    "born": 1_700_000_000_000,
                    "dbRole": "primary" if one.primary else "replica",
                }
                self.store.put("servers", one.name, json.dumps(entry).encode())

    def _expire(self, one):
        """Remove the entry of an instance after three heartbeat intervals."""
        since = one.silent_since
        if since is not None and time.monotonic() - since >= 2 * HEARTBEAT:
            # Its last heartbeat was up to one interval before it stopped.
            self.store.remove("servers", one.name)

    def configure(self, routes, tenants=None):
        """Write the next configuration; the store's answer is the acknowledgement."""
        self.version += random.randint(1, 3)
        value = {
            "version": self.version,
            "routes": routes,
            "backends": [
                {
                    "name": service.name,
                    "healthPath": "/health",
                    "maxConns": service.connections,
                    "syncReplicas": service.synchronous,
                }
                for service in self.services.values()
            ],
            "limits": {"txIdleMs": 3000, "idleTimeoutMs": 15000},
        }
        if tenants is not None:
            value["tenants"] = tenants
        self.store.put("op", "config", json.dumps(value).encode())
        places = {route["host"]: route["backend"] for route in routes}
        self.record(f"configuration {self.version} acknowledged: {places}")

    async def __aenter__(self):
        base = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
        await self.store.start(f"{base}.200")
        for place, service in enumerate(self.services.values()):
            for index, one in enumerate(service.instances):
                await one.start(f"{base}.{100 + 10 * place + index}")
        self.list_instances()
        self._tasks.append(asyncio.create_task(self._beat()))
        front, ready, control, inner = _free_ports(f"{base}.1")
        for index in range(self._fronts):
            name, host = f"front-{index + 1}", f"{base}.{index + 1}"
            settings = self.scratch / f"{name}.json"
            value = self._settings(name, host, front, ready, control, inner, index)
            settings.write_text(json.dumps(value))
            self.daemons.append(Daemon(name, host, (front, ready), settings))
        for daemon in self.daemons:
            await daemon.start(self.scratch / f"{daemon.name}.log")
        return self

    def _settings(self, name, host, front, ready, control, inner, index):
        return {
            "nodeName": name,
            "role": "entry",
            "machineClass": "front",
            "serves": ["front", "control"],
            "ip": host,
            "zone": self.zones[index % len(self.zones)],
            "region": "r1",
            "zones": {zone: "r1" for zone in self.zones},
            "listen": {
                "front": f"{host}:{front}",
                "ready": f"{host}:{ready}",
                "control": f"{host}:{control}",
            },
            "internalPorts": [inner, inner + 15],
            "seeds": [],
            "bootstrap": True,
            "limits": {"cpuShare": 1.0, "cores": 1, "memoryMb": 300, "maxFds": 4300},
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": round(HEARTBEAT * 1000),
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "recover",
                "sql",
                "platform",
            ]
            + self._contracts,
            "bounds": {
                "contactMs": 5000,
                "drainMs": 10000,
                "graceS": 6,
                "lossSlackMs": 200,
                "configApplyMs": 5000,
                "rollbackSlackMs": 250,
                "fencingEnforced": False,
                "thawMs": 300,
            }
            | self._bounds,
            "platform": {
                "address": self.store.address,
                "form": "table",
                "historyS": 20,
            },
            "cloudApi": {"address": self.store.address, "duties": ["failover"]},
        }

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT)
            self.list_instances()

    async def __aexit__(self, *exc_info):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*(daemon.end() for daemon in self.daemons))
        for service in self.services.values():
            for one in service.instances:
                await one.stop()
        await self.store.stop()
        if os.environ.get("KEEP_LOGS"):
            for daemon in self.daemons:
                log = self.scratch / f"{daemon.name}.log"
                Path(os.environ["KEEP_LOGS"], log.name).write_bytes(log.read_bytes())
        self.record.close()
        self._temporary.cleanup()

    async def wait_ready(self):
        """Wait until all daemons report themselves ready."""
        deadline = time.monotonic() + READY_TIMEOUT
        for daemon in self.daemons:
            while not await daemon.is_ready():
                if time.monotonic() > deadline or not daemon.running:
                    raise CannotRun(f"{daemon.name} is not ready")
                await asyncio.sleep(0.05)


def route(host, kind, backend, **changes):
    """Return one route of a configuration."""
    entry = {
        "name": f"r-{host}",
        "host": host,
        "prefix": "/",
        "routeType": kind,
        "timeoutMs": 1000,
        "targetLatencyMs": 402,
        "priority": 2,
        "backend": backend,
        "maxAttempts": 2,
    }
    if kind != "primary":
        entry["maxStalenessMs"] = 1500 if kind == "bounded_staleness" else 2500
    return entry | changes


def _free_ports(host):
    """Return ports that are free: front, ready, control, and the first of a range."""
    sockets = []
    try:
        for _ in range(3):
            one = socket.socket()
            one.bind((host, 0))
            sockets.append(one)
        ports = [one.getsockname()[1] for one in sockets]
    finally:
        for one in sockets:
            one.close()
    while True:
        first = random.randint(20000, 31000)
        if not set(ports) & set(range(first, first + 16)):
            return [*ports, first]


def run_case(play):
    """Run the coroutine function of a case; return the exit code of the script.

    ``play`` takes whether there is to be trouble and returns whether the rule held.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def bounded():
        async with asyncio.timeout(110):
            return await play(trouble)

    try:
        held = asyncio.run(bounded())
    except Exception as error:  # noqa: BLE001
        print(f"could not run: {type(error).__name__} {error}", file=sys.stderr)
        return 2
    print("the rule held" if held else "the rule was broken")
    return 0 if held else 1
