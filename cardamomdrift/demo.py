"""
Demo
====

A scripted day of one deployment: stand-ins and three daemons in one event loop, callers
with an ordinary MySQL client.  Exits with 1 if a promise was broken.
"""

import asyncio
import random
import sys
import time
from collections import Counter
from dataclasses import dataclass, field

import fire
from asyncmy.errors import Error
from hdrh.histogram import HdrHistogram

from cardamomdrift.errors import OutcomeUnknown
from cardamomdrift.jsonc import load_jsonc
from cardamomdrift.standins.deployment import make_deployment
from cardamomdrift.standins.fleet import LocalFleet
from cardamomdrift.telemetry.log import setup_logging

DAEMONS = 3
SEED = 7
SCHEMA = (
    "CREATE TABLE records (id BIGINT AUTO_INCREMENT PRIMARY KEY, "
    "session VARCHAR(32), number BIGINT, text VARCHAR(200))",
    "CREATE TABLE places (id BIGINT PRIMARY KEY, text VARCHAR(200))",
    *(f"INSERT INTO places (id, text) VALUES ({i}, 'valve {i}')" for i in range(50)),
)
SERVICE_TIME = 0.001  # seconds
LAG = 0.05  # seconds
CONNECT_TIME = 0.012  # seconds
LINK_DELAY = 0.001  # seconds
SESSIONS = 12
LOOKUPS = 60
REPORTS = 25
CREST_READS = 1200
LONG_COST = 100  # milliseconds
MICROSECONDS = 1_000_000  # per second
LONGEST = 60 * MICROSECONDS


@dataclass
class Findings:
    """What the demo saw."""

    written: dict = field(default_factory=dict)
    unknown: int = 0
    refused: Counter = field(default_factory=Counter)
    broken: list = field(default_factory=list)
    longest_write: float = 0.0
    short_times: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, LONGEST, 3)
    )


async def query(connection, sql):
    """Run a statement over a caller's connection and return its rows."""
    async with connection.cursor() as cursor:
        await cursor.execute(sql)
        return await cursor.fetchall() if cursor.description else ()


@dataclass(frozen=True)
class Roles:
    """Names that the demo takes from the bundle."""

    databases: tuple
    write: str
    aged: str


def _roles(value):
    classes = value["classes"]
    return Roles(
        databases=tuple(group["databases"][0] for group in value["groups"].values()),
        write=value["defaults"]["write"],
        aged=next(name for name, one in classes.items() if "max_age_ms" in one),
    )


class Day:
    """The scripted day."""

    def __init__(self, fleet, value, random_source):
        self._fleet = fleet
        self._value = value
        self._roles = _roles(value)
        self._random = random_source
        self.findings = Findings()

    @property
    def _vms(self):
        return sorted(self._fleet.daemons)

    async def _connect(self, database):
        return await self._fleet.connect(self._random.choice(self._vms), database)

    def _refused(self, error):
        kind, _, _ = str(error.args[1]).partition(":")
        self.findings.refused[kind] += 1

    async def roaming_session(self, name, database):
        """Write and read on daemons that change; check that each write is seen."""
        seen = 0
        for number in range(1, REPORTS + 1):
            if await self._report(name, database, number):
                seen = number
            await self._check_seen(name, database, seen)

    async def _report(self, name, database, number):
        sql = (
            f"/* cardamomdrift: class={self._roles.write} key={name}-{number} */ "
            f"INSERT INTO records (session, number, text) "
            f"VALUES ('{name}', {number}, 'smell of gas')"
        )
        started = time.monotonic()
        connection = await self._connect(database)
        try:
            await query(connection, sql)
        except Error as error:
            if error.args[0] == OutcomeUnknown.code:
                self.findings.unknown += 1
            else:
                self._refused(error)
            return False
        finally:
            connection.close()
        elapsed = time.monotonic() - started
        self.findings.longest_write = max(self.findings.longest_write, elapsed)
        self.findings.written[(database, name, number)] = True
        return True

    async def _check_seen(self, name, database, seen):
        connection = await self._connect(database)
        try:
            sql = f"SELECT MAX(number) FROM records WHERE session = '{name}'"
            rows = await query(connection, sql)
        except Error as error:
            self._refused(error)
            return
        finally:
            connection.close()
        if (rows[0][0] or 0) < seen:
            self.findings.broken.append(f"{name} wrote {seen} and read {rows[0][0]}")

    async def look_ups(self, database, count):
        """Read data of a stated age."""
        connection = await self._connect(database)
        try:
            for _ in range(count):
                place = self._random.randrange(50)
                sql = (
                    f"/* cardamomdrift: class={self._roles.aged} */ "
                    f"SELECT text FROM places WHERE id = {place}"
                )
                await self._timed(connection, sql)
        finally:
            connection.close()

    async def _timed(self, connection, sql):
        started = time.monotonic()
        try:
            await query(connection, sql)
        except Error as error:
            self._refused(error)
            return
        elapsed = time.monotonic() - started
        self.findings.short_times.record_value(int(elapsed * MICROSECONDS))

    async def long_reads(self, database, count):
        """Run statements that take many times longer than the rest."""
        connection = await self._connect(database)
        try:
            for _ in range(count):
                sql = (
                    f"/* cardamomdrift: class={self._roles.aged} */ "
                    f"SELECT /* cost_ms={LONG_COST} */ COUNT(*) FROM places"
                )
                await query(connection, sql)
        except Error as error:
            self._refused(error)
        finally:
            connection.close()

    async def morning(self):
        """Reports, look-ups and long statements, and a change of primary."""
        databases = self._roles.databases
        sessions = [
            self.roaming_session(f"s{i}", databases[i % len(databases)])
            for i in range(SESSIONS)
        ]
        lookups = [
            self.look_ups(databases[i % len(databases)], LOOKUPS) for i in range(9)
        ]
        longs = [self.long_reads(one, 5) for one in databases]
        await asyncio.gather(*sessions, *lookups, *longs, self.change_primary())

    async def change_primary(self):
        """Crash the primary of the first group and start it again later."""
        await asyncio.sleep(0.4)
        group = next(iter(self._fleet.deployment.groups.values()))
        old = group.primary
        started = time.monotonic()
        old.crash()
        while group.primary is None:
            await asyncio.sleep(0.01)
        gap = time.monotonic() - started
        print(f"  {old.name} crashed; {group.primary.name} leads after {gap:.2f} s")
        await asyncio.sleep(0.3)
        await old.restart()

    async def crest(self):
        """Ten times the callers within a moment; return the share answered in time."""
        before = self.findings.short_times.get_total_count()
        databases = self._roles.databases
        callers = 60
        await asyncio.gather(
            *(
                self.look_ups(databases[i % len(databases)], CREST_READS // callers)
                for i in range(callers)
            )
        )
        answered = self.findings.short_times.get_total_count() - before
        return answered / CREST_READS

    async def roll_out(self):
        """Change the bundle; return the seconds until every daemon obeys it."""
        classes = {**self._value["classes"], "extra": {"kind": "read"}}
        roll_out = await self._fleet.roll_out({**self._fleet.value, "classes": classes})
        started = time.monotonic()
        daemons = self._fleet.daemons.values()
        while any(one.follower.version < roll_out.version for one in daemons):
            await asyncio.sleep(0.01)
        return time.monotonic() - started

    async def graceful_stop(self):
        """Stop a daemon while a transaction is open there; return whether all ended."""
        vm = self._vms[-1]
        database = self._roles.databases[-1]
        connection = await self._fleet.connect(vm, database)
        await query(connection, "BEGIN")
        insert = (
            "INSERT INTO records (session, number, text) "
            "VALUES ('stop', 1, 'all clear')"
        )
        await query(connection, insert)
        stopping = asyncio.create_task(self._fleet.stop_daemon(vm))
        await asyncio.sleep(0.3)
        await query(connection, "COMMIT")
        connection.close()
        clean = await stopping
        self.findings.written[(database, "stop", 1)] = True
        return clean

    async def audit(self):
        """Look for lost and doubled records."""
        for database in self._roles.databases:
            connection = await self._connect(database)
            sql = (
                "SELECT session, number, COUNT(*) FROM records GROUP BY session, number"
            )
            found = {(row[0], row[1]): row[2] for row in await query(connection, sql)}
            connection.close()
            for (base, name, number), _ in self.findings.written.items():
                if base == database and (name, number) not in found:
                    self.findings.broken.append(f"{name}-{number} is lost")
            for key, count in found.items():
                if count != 1:
                    self.findings.broken.append(f"{key} stands {count} times")

    def replica_share(self):
        """Return the share of reads that replicas served."""
        totals = {"replica": 0, "primary": 0}
        for daemon in self._fleet.daemons.values():
            for role, count in daemon.service.reads_by_role().items():
                totals[role] += count
        return totals["replica"] / max(sum(totals.values()), 1)


async def run_day(value, stay, gap_limit=7.0):
    """Run the day and return the exit code."""
    names = {name: tuple(one["instances"]) for name, one in value["groups"].items()}
    deployment = make_deployment(
        names,
        SCHEMA,
        SEED,
        service_time=SERVICE_TIME,
        lag=LAG,
        connect_time=CONNECT_TIME,
        link_delay=LINK_DELAY,
        max_connections=min(one["connections"] for one in value["groups"].values()),
    )
    domains = [
        one["failure_domain"]
        for one in next(iter(value["groups"].values()))["instances"].values()
    ][:DAEMONS]
    async with LocalFleet(value, deployment, domains) as fleet:
        print(f"{value['deployment']}: {len(fleet.daemons)} daemons, bundle version 1")
        while not all(d.keeper.membership.may_connect for d in fleet.daemons.values()):
            await asyncio.sleep(0.05)
        day = Day(fleet, value, random.Random(SEED))
        print("reports, map look-ups, long statements; a primary crashes:")
        await day.morning()
        print(f"  {len(day.findings.written)} reports acknowledged")
        goodput = await day.crest()
        print(f"crest: {CREST_READS} look-ups at once, {goodput:.1%} answered in time")
        elapsed = await day.roll_out()
        print(f"roll-out: version 2 in force on every daemon after {elapsed:.2f} s")
        share = day.replica_share()
        clean = await day.graceful_stop()
        print(f"graceful stop with an open transaction: {'clean' if clean else 'cut'}")
        await day.audit()
        findings = day.findings
        if not clean:
            findings.broken.append("the graceful stop cut a request")
        if findings.longest_write > gap_limit:
            findings.broken.append("the write gap was too long")
        _print_measures(findings, share, goodput)
        if stay:
            await _stay(fleet)
    return 1 if findings.broken else 0


def _print_measures(findings, share, goodput):
    times = findings.short_times
    p99 = times.get_value_at_percentile(99) / MICROSECONDS
    print("measures:")
    print(f"  reads served by replicas         {share:.1%}")
    print(f"  longest write across the change  {findings.longest_write:.2f} s")
    print(f"  answered in time at the crest    {goodput:.1%}")
    print(f"  short statements, 99 of 100 in   {p99 * 1000:.0f} ms")
    refusals = ", ".join(f"{name} {count}" for name, count in findings.refused.items())
    print(f"outcome unknown {findings.unknown}; not answered: {refusals or 0}")
    for line in findings.broken:
        print(f"BROKEN PROMISE: {line}")
    if not findings.broken:
        print("every promise was kept")


async def _stay(fleet):
    for vm, daemon in fleet.daemons.items():
        print(f"{vm}: callers 127.0.0.1:{daemon.port} peers {daemon.peer_address}")
    print("stop with Ctrl-C", flush=True)
    await asyncio.Event().wait()


def demo(bundle="examples/mittelland.jsonc", stay=False):
    """Run the scripted day of a bundle.

    Parameters
    ----------
    bundle : str
    stay : bool
        Leave everything running afterwards.
    """
    setup_logging("error")
    try:
        sys.exit(asyncio.run(run_day(load_jsonc(bundle), stay)))
    except KeyboardInterrupt:
        sys.exit(0)


if __name__ == "__main__":
    fire.Fire(demo)
