"""
Demo
====

Runs a scripted scenario on one deployment: stand-ins and three daemons in one event
loop, and callers with an ordinary MySQL client.  The exit code is 1 if a consistency or
availability guarantee was violated.
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

DAEMON_COUNT = 3
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
SESSION_COUNT = 12
LOOKUPS_PER_CALLER = 60
REPORTS_PER_SESSION = 25
PEAK_READS = 1200
LONG_STATEMENT_TIME = 100  # milliseconds
MICROSECONDS = 1_000_000  # per second
HISTOGRAM_MAX = 60 * MICROSECONDS  # largest recorded duration


@dataclass
class Findings:
    """Counts, durations and violations that the demo recorded.

    Attributes
    ----------
    written : dict
        Acknowledged writes; the keys are (database, session, number).
    unknown : int
        Writes whose outcome is unknown.
    refused : Counter
        Failed requests by error class.
    violations : list of str
        Guarantees that were violated.
    longest_write : float
        Seconds.
    short_times : HdrHistogram
        Microseconds of look-ups.
    """

    written: dict = field(default_factory=dict)
    unknown: int = 0
    refused: Counter = field(default_factory=Counter)
    violations: list = field(default_factory=list)
    longest_write: float = 0.0
    short_times: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, HISTOGRAM_MAX, 3)
    )


async def query(connection, sql):
    """Run a statement over a caller's connection and return its rows."""
    async with connection.cursor() as cursor:
        await cursor.execute(sql)
        return await cursor.fetchall() if cursor.description else ()


@dataclass(frozen=True)
class BundleNames:
    """Names of databases and request classes that the demo uses."""

    databases: tuple
    write_class: str
    aged_read_class: str


def _choose_names(value):
    classes = value["classes"]
    return BundleNames(
        databases=tuple(group["databases"][0] for group in value["groups"].values()),
        write_class=value["defaults"]["write"],
        aged_read_class=next(
            name
            for name, request_class in classes.items()
            if "max_age_ms" in request_class
        ),
    )


class Scenario:
    """The scripted scenario and its findings."""

    def __init__(self, fleet, value, random_source):
        self._fleet = fleet
        self._value = value
        self._names = _choose_names(value)
        self._random = random_source
        self.findings = Findings()

    @property
    def _vms(self):
        return sorted(self._fleet.daemons)

    async def _connect(self, database):
        return await self._fleet.connect(self._random.choice(self._vms), database)

    def _count_refusal(self, error):
        kind, _, _ = str(error.args[1]).partition(":")
        self.findings.refused[kind] += 1

    async def roaming_session(self, name, database):
        """Write and read through changing daemons; check that reads see the writes."""
        acknowledged = 0
        for number in range(1, REPORTS_PER_SESSION + 1):
            if await self._write_report(name, database, number):
                acknowledged = number
            await self._check_seen(name, database, acknowledged)

    async def _write_report(self, name, database, number):
        sql = (
            f"/* cardamomdrift: class={self._names.write_class} key={name}-{number} */ "
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
                self._count_refusal(error)
            return False
        finally:
            connection.close()
        elapsed = time.monotonic() - started
        self.findings.longest_write = max(self.findings.longest_write, elapsed)
        self.findings.written[(database, name, number)] = True
        return True

    async def _check_seen(self, name, database, acknowledged):
        connection = await self._connect(database)
        try:
            sql = f"SELECT MAX(number) FROM records WHERE session = '{name}'"
            rows = await query(connection, sql)
        except Error as error:
            self._count_refusal(error)
            return
        finally:
            connection.close()
        if (rows[0][0] or 0) < acknowledged:
            self.findings.violations.append(
                f"{name} wrote {acknowledged} and read {rows[0][0]}"
            )

    async def look_ups(self, database, count):
        """Run reads that state a maximum age, and record their times."""
        connection = await self._connect(database)
        try:
            for _ in range(count):
                place = self._random.randrange(50)
                sql = (
                    f"/* cardamomdrift: class={self._names.aged_read_class} */ "
                    f"SELECT text FROM places WHERE id = {place}"
                )
                await self._run_timed(connection, sql)
        finally:
            connection.close()

    async def _run_timed(self, connection, sql):
        started = time.monotonic()
        try:
            await query(connection, sql)
        except Error as error:
            self._count_refusal(error)
            return
        elapsed = time.monotonic() - started
        self.findings.short_times.record_value(int(elapsed * MICROSECONDS))

    async def long_reads(self, database, count):
        """Run statements that take many times longer than the others."""
        connection = await self._connect(database)
        try:
            for _ in range(count):
                sql = (
                    f"/* cardamomdrift: class={self._names.aged_read_class} */ "
                    f"SELECT /* cost_ms={LONG_STATEMENT_TIME} */ COUNT(*) FROM places"
                )
                await query(connection, sql)
        except Error as error:
            self._count_refusal(error)
        finally:
            connection.close()

    async def run_regular_load(self):
        """Run reports, look-ups and long statements while the primary crashes."""
        databases = self._names.databases
        sessions = [
            self.roaming_session(f"s{i}", databases[i % len(databases)])
            for i in range(SESSION_COUNT)
        ]
        lookups = [
            self.look_ups(databases[i % len(databases)], LOOKUPS_PER_CALLER)
            for i in range(9)
        ]
        long_statements = [self.long_reads(database, 5) for database in databases]
        await asyncio.gather(
            *sessions, *lookups, *long_statements, self.change_primary()
        )

    async def change_primary(self):
        """Crash the first group's primary; restart it after the replacement."""
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

    async def run_peak_load(self):
        """Multiply the callers by ten at once; return the share of answered reads."""
        before = self.findings.short_times.get_total_count()
        databases = self._names.databases
        callers = 60
        await asyncio.gather(
            *(
                self.look_ups(databases[i % len(databases)], PEAK_READS // callers)
                for i in range(callers)
            )
        )
        answered = self.findings.short_times.get_total_count() - before
        return answered / PEAK_READS

    async def roll_out(self):
        """Roll out a changed bundle; return the seconds until all daemons apply it."""
        classes = {**self._value["classes"], "extra": {"kind": "read"}}
        roll_out = await self._fleet.roll_out({**self._fleet.value, "classes": classes})
        started = time.monotonic()
        daemons = self._fleet.daemons.values()
        while any(daemon.follower.version < roll_out.version for daemon in daemons):
            await asyncio.sleep(0.01)
        return time.monotonic() - started

    async def graceful_stop(self):
        """Stop a daemon with an open transaction; return whether all requests ended."""
        vm = self._vms[-1]
        database = self._names.databases[-1]
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
        """Check that no acknowledged record is lost and none was written twice."""
        for database in self._names.databases:
            connection = await self._connect(database)
            sql = (
                "SELECT session, number, COUNT(*) FROM records GROUP BY session, number"
            )
            record_counts = {
                (row[0], row[1]): row[2] for row in await query(connection, sql)
            }
            connection.close()
            for (written_database, name, number), _ in self.findings.written.items():
                if written_database == database and (name, number) not in record_counts:
                    self.findings.violations.append(f"{name}-{number} is lost")
            for key, count in record_counts.items():
                if count != 1:
                    self.findings.violations.append(f"{key} stands {count} times")

    def replica_share(self):
        """Return the share of reads that replicas served."""
        totals = {"replica": 0, "primary": 0}
        for daemon in self._fleet.daemons.values():
            for role, count in daemon.service.reads_by_role().items():
                totals[role] += count
        return totals["replica"] / max(sum(totals.values()), 1)


async def run_scenario(value, stay, write_gap_limit=7.0):
    """Run the scenario on a bundle and return the exit code.

    Parameters
    ----------
    value : dict
        The bundle as a JSON value.
    stay : bool
        Keep the fleet running afterwards.
    write_gap_limit : float
        Longest time in seconds that a write may take across the crash.
    """
    names = {name: tuple(spec["instances"]) for name, spec in value["groups"].items()}
    deployment = make_deployment(
        names,
        SCHEMA,
        SEED,
        service_time=SERVICE_TIME,
        lag=LAG,
        connect_time=CONNECT_TIME,
        link_delay=LINK_DELAY,
        max_connections=min(spec["connections"] for spec in value["groups"].values()),
    )
    domains = [
        spec["failure_domain"]
        for spec in next(iter(value["groups"].values()))["instances"].values()
    ][:DAEMON_COUNT]
    async with LocalFleet(value, deployment, domains) as fleet:
        print(f"{value['deployment']}: {len(fleet.daemons)} daemons, bundle version 1")
        while not all(
            daemon.keeper.membership.may_connect for daemon in fleet.daemons.values()
        ):
            await asyncio.sleep(0.05)
        scenario = Scenario(fleet, value, random.Random(SEED))
        print("reports, map look-ups, long statements; a primary crashes:")
        await scenario.run_regular_load()
        print(f"  {len(scenario.findings.written)} reports acknowledged")
        goodput = await scenario.run_peak_load()
        print(f"crest: {PEAK_READS} look-ups at once, {goodput:.1%} answered in time")
        elapsed = await scenario.roll_out()
        print(f"roll-out: version 2 in force on every daemon after {elapsed:.2f} s")
        share = scenario.replica_share()
        clean = await scenario.graceful_stop()
        print(f"graceful stop with an open transaction: {'clean' if clean else 'cut'}")
        await scenario.audit()
        findings = scenario.findings
        if not clean:
            findings.violations.append("the graceful stop cut a request")
        if findings.longest_write > write_gap_limit:
            findings.violations.append("the write gap was too long")
        _print_measures(findings, share, goodput)
        if stay:
            await _serve_until_interrupted(fleet)
    return 1 if findings.violations else 0


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
    for line in findings.violations:
        print(f"BROKEN PROMISE: {line}")
    if not findings.violations:
        print("every promise was kept")


async def _serve_until_interrupted(fleet):
    for vm, daemon in fleet.daemons.items():
        print(f"{vm}: callers 127.0.0.1:{daemon.port} peers {daemon.peer_address}")
    print("stop with Ctrl-C", flush=True)
    await asyncio.Event().wait()


def demo(bundle="examples/mittelland.jsonc", stay=False):
    """Run the scripted scenario on the deployment of a bundle.

    Parameters
    ----------
    bundle : str
        Path of the bundle file.
    stay : bool
        Keep the daemons and stand-ins running afterwards.
    """
    setup_logging("error")
    try:
        sys.exit(asyncio.run(run_scenario(load_jsonc(bundle), stay)))
    except KeyboardInterrupt:
        sys.exit(0)


if __name__ == "__main__":
    fire.Fire(demo)
