"""Database instances that speak the line protocol of PROTOCOL.md."""

import asyncio
import itertools
import time
from dataclasses import dataclass, field

HEARTBEAT = 1.2  # seconds, heartbeatMs
NETWORK_DELAY = 0.001  # seconds between two instances, one way
QUEUE = 16  # statements that may wait for a slot
LINE_LIMIT = 1 << 21  # bytes; a message has 1 MiB at most


@dataclass
class Session:
    """One connection of a daemon."""

    values: dict = field(default_factory=dict)
    prepared: dict = field(default_factory=dict)
    state: str = "I"
    read_only: bool = False
    lost_lead: bool = False
    writes: list = field(default_factory=list)


class Instance:
    """One instance of a group.

    Attributes
    ----------
    received : list of tuple
        Log as (term, statement id, item, data); the first `applied` are applied.
    deaf : bool
        As a replica it receives nothing.
    """

    def __init__(self, group, name, host, port, zone):
        self.group = group
        self.name = name
        self.host, self.port, self.zone = host, port, zone
        self.born = int(time.time() * 1000)
        self.primary = False
        self.term = 1
        self.received = []
        self.applied = 0
        self.deaf = False
        self.draining = False
        self.running = False
        self._sequence = itertools.count(1)
        self._server = None
        self._writers = set()
        self._tasks = set()
        self._slots = asyncio.Semaphore(group.slots)
        self._waiting = 0

    # Life

    async def start(self):
        """Start listening and register."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=LINE_LIMIT
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.running = True
        self._spawn(self._beat())
        self.group.record(f"instance {self.name} starts at {self.host}:{self.port}")

    async def end(self, why):
        """End the process: all connections close, nothing more is sent."""
        self.group.record(f"instance {self.name} ends: {why}")
        self.running = False
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    def drain(self):
        """Report that it will leave."""
        self.group.record(f"instance {self.name} reports draining")
        self.draining = True
        self.report()

    def report(self):
        """Write the entry of the list of instances."""
        self.group.platform.put(
            "servers",
            self.name,
            {
                "backend": self.group.name,
                "address": f"{self.host}:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": self.group.slots,
                "state": "draining" if self.draining else "ready",
                "coldLeftMs": 0,
                "sequence": next(self._sequence),
                "born": self.born,
                "dbRole": "primary" if self.primary else "replica",
            },
        )

    async def _beat(self):
        while True:
            self.report()
            await asyncio.sleep(HEARTBEAT)

    def _spawn(self, work):
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Log

    @property
    def position(self):
        """Position of the applied log."""
        return self._position_at(self.applied)

    def _position_at(self, length):
        term = self.received[length - 1][0] if length else 1
        return f"{term}.{length}"

    def has(self, position):
        """Whether the applied log has a position."""
        wanted = tuple(int(part) for part in position.split("."))
        return tuple(int(part) for part in self.position.split(".")) >= wanted

    def receive(self, log, term):
        """As a replica, receive the log of the primary of a term."""
        if self.primary or self.deaf or not self.running or term < self.term:
            return False
        self.term = term
        if self.received != log[: len(self.received)]:
            self.received, self.applied = [], 0
        if len(log) > len(self.received):
            self.received = list(log)
        self._spawn(self._apply(len(self.received)))
        return True

    async def _apply(self, length):
        await asyncio.sleep(self.group.apply_lag)
        self.applied = max(self.applied, min(length, len(self.received)))

    async def _commit(self, request_id, writes):
        for item, data in writes:
            self.received.append((self.term, request_id, item, data))
        self.applied = len(self.received)
        receipt = self.group.replicate(self)
        if self.group.sync_replicas:
            await receipt

    def lead(self, term):
        """Lead a term with what was received."""
        self.primary, self.term = True, term
        self.applied = len(self.received)
        self.report()

    def follow(self):
        """Be a replica of the newest primary from now on."""
        self.primary = False
        self.report()

    # Protocol

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        self._tasks.add(asyncio.current_task())
        session = Session()
        try:
            word, *fields = (await self._line(reader)).split(" ")
            service, _who, expected = [*fields, "", "", ""][:3]
            if word != "START" or service != self.group.name:
                writer.write(f"ERROR WRONGNODE {self.name}\r\n".encode())
                return
            if expected and expected != self.name:
                writer.write(f"ERROR WRONGNODE {self.name}\r\n".encode())
                return
            if len(self._writers) > self.group.max_conns:
                writer.write(f"ERROR CONNLIMIT {self.name}\r\n".encode())
                return
            async with self._slots:
                await asyncio.sleep(self.group.handshake)
            writer.write(f"READY I {self.position}\r\n".encode())
            while True:
                verb, _, rest = (await self._line(reader)).partition(" ")
                if verb != "QUERY":
                    return
                request_id, _, text = rest.partition(" ")
                lines = await self._run(session, request_id, text)
                lines.append(f"READY {session.state} {self.position}")
                writer.write("".join(f"{line}\r\n" for line in lines).encode())
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(asyncio.current_task())
            writer.close()

    @staticmethod
    async def _line(reader):
        return (await reader.readuntil(b"\r\n")).decode()[:-2]

    async def _run(self, session, request_id, text):
        word, _, rest = text.partition(" ")
        if word == "WAITLSN":
            position, _, text = rest.partition(" ")
            if not self.has(position):
                return [f"ERROR LAGGING {self.name}"]
            word, _, rest = text.partition(" ")
        if session.state == "E" and word not in ("ROLLBACK", "COMMIT"):
            return ["ERROR MALFORMED the transaction failed"]
        match word:
            case "BEGIN":
                return self._begin(session, rest)
            case "ROLLBACK":
                session.state, session.writes = "I", []
                return ["COMPLETE -"]
            case "SET":
                name, _, value = rest.partition(" ")
                session.values[name] = value
                return ["COMPLETE -"]
            case "PARSE":
                name, kind, _shape = rest.split(" ", 2)
                session.prepared[name] = kind
                return ["COMPLETE -"]
            case "CLOSE":
                session.prepared.pop(rest, None)
                return ["COMPLETE -"]
            case "RESET":
                session.values.clear()
                session.prepared.clear()
                return ["COMPLETE -"]
            case "STATUS":
                return [self._status(), "COMPLETE -"]
            case "STEPDOWN":
                if self.primary and self.term < int(rest):
                    self.follow()
                return [self._status(), "COMPLETE -"]
            case "READ" | "WRITE" | "EXECUTE" | "COMMIT":
                return await self._work(session, request_id, word, rest)
        return [f"ERROR MALFORMED {word}"]

    def _begin(self, session, rest):
        if rest != "READ" and not self.primary:
            return [f"ERROR READONLY {self.name}"]
        session.state, session.read_only = "T", rest == "READ"
        session.writes = []
        return ["COMPLETE -"]

    def _status(self):
        role = "primary" if self.primary else "replica"
        received = self._position_at(len(self.received))
        lag = int(self.group.apply_lag * 1000)
        return f"ROW {role} {self.term} {received} 0 {lag} 0 {len(self._writers)}"

    def _refuse(self, session, code):
        if session.state == "T":
            session.state = "E"
        return [f"ERROR {code} {self.name}"]

    async def _work(self, session, request_id, word, rest):
        self.group.on_arrival(request_id)
        if self._waiting >= QUEUE:
            return self._refuse(session, "BUSY")
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            await asyncio.sleep(self.group.work)
            return await self._effect(session, request_id, word, rest)
        finally:
            self._slots.release()

    async def _effect(self, session, request_id, word, rest):
        lost_lead = session.state == "T" and not session.read_only and not self.primary
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in session.prepared:
                return self._refuse(session, "NOSUCHSTMT")
            word = session.prepared[name]
        if word == "COMMIT":
            writes, session.writes = session.writes, []
            failed, session.state = session.state != "T", "I"
            if failed:
                return ["ERROR ABORTED rolled back"]
            if writes and not self.primary:
                return [f"ERROR READONLY {self.name}"]
            if writes:
                await self._commit(request_id, writes)
            return self._done(request_id, "COMMIT", [])
        if lost_lead:
            return self._refuse(session, "READONLY")
        if word == "WRITE":
            if not self.primary or session.read_only:
                return self._refuse(session, "READONLY")
            item, _, data = rest.partition(" ")
            if session.state == "T":
                session.writes.append((item, data))
            else:
                await self._commit(request_id, [(item, data)])
            return self._done(request_id, f"WRITE {rest}", [])
        values = [
            data for _, _, item, data in self.received[: self.applied] if item == rest
        ]
        return self._done(request_id, f"READ {rest}", [f"ROW {(values or ['-'])[-1]}"])

    def _done(self, request_id, text, rows):
        self.group.record(f"run at {self.name}: {request_id} {text}")
        return [*rows, f"COMPLETE sig.{self.name}.{request_id}"]


class Group:
    """One service: a primary and its replicas.

    Parameters
    ----------
    name : str
    platform : Platform
    record : callable
    sync_replicas : int
    work : float
        Seconds that each read, write and commit takes.
    """

    def __init__(self, name, platform, record, sync_replicas=0, work=0.004):
        self.name = name
        self.platform = platform
        self.record = record
        self.sync_replicas = sync_replicas
        self.work = work
        self.slots, self.max_conns, self.handshake = 2, 28, 0.012
        self.apply_lag = 0.008
        self.promote_time = 0.3
        self.instances = {}
        self.promoted = []
        self.on_promoted = lambda instance: None
        self.on_arrival = lambda request_id: None
        self._tasks = set()

    def _spawn(self, work):
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def add(self, name, host, zone, port=0, log=(), term=1):
        """Start an instance; its log may come from one that left its address."""
        instance = Instance(self, name, host, port, zone)
        instance.received, instance.term = list(log), term
        instance.applied = len(instance.received)
        self.instances[name] = instance
        if len(self.instances) == 1:
            instance.primary = True
        await instance.start()
        return instance

    @property
    def leader(self):
        """The primary of the newest term, running or not."""
        leaders = [each for each in self.instances.values() if each.primary]
        return max(leaders, key=lambda each: each.term)

    def replicate(self, primary):
        """Send the log to the replicas; return a future done on the first receipt."""
        receipt = asyncio.get_running_loop().create_future()
        log = list(primary.received)
        for instance in list(self.instances.values()):
            if instance is not primary:
                self._spawn(self._send(primary, instance, log, receipt))
        return receipt

    async def _send(self, primary, replica, log, receipt):
        await asyncio.sleep(NETWORK_DELAY)
        if not replica.receive(log, primary.term):
            return
        await asyncio.sleep(NETWORK_DELAY)
        if not receipt.done():
            receipt.set_result(None)

    def catch_up(self):
        """Send the leader's log again, as after the end of a disruption."""
        if self.leader.running:
            self.replicate(self.leader)

    def promote(self, service, name, holder, token):
        """Handle a promotion call; return whether the instance runs."""
        self.record(f"promotion call: {service} {name} by {holder} token {token}")
        instance = self.instances.get(name)
        if service != self.name or instance is None or not instance.running:
            return False
        if instance is not self.leader:
            self._spawn(self._finish_promotion(instance))
        return True

    async def _finish_promotion(self, instance):
        await asyncio.sleep(self.promote_time)
        if instance.primary or not instance.running:
            return
        former = self.leader
        instance.lead(former.term + 1)
        self.promoted.append(instance)
        self.record(
            f"{instance.name} leads term {instance.term} with "
            f"{len(instance.received)} log entries"
        )
        self.on_promoted(instance)
        self.catch_up()
        await asyncio.sleep(1.0)
        if former.primary and former.running:
            former.follow()

    async def close(self):
        """End all instances."""
        for task in list(self._tasks):
            task.cancel()
        for instance in self.instances.values():
            if instance.running:
                await instance.end("the script is over")
