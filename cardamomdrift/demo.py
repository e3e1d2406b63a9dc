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
# Options of the stand-in instances, in seconds.
SERVICE_TIME = 0.001
LAG = 0.05
CONNECT_TIME = 0.012
LINK_DELAY = 0.001
SESSION_COUNT = 12
LOOKUPS_PER_CALLER = 60
REPORTS_PER_SESSION = 25
PEAK_READS = 1200
LONG_STATEMENT_TIME = 100  # milliseconds
MICROSECONDS_PER_SECOND = 1_000_000
HISTOGRAM_MAX = 60 * MICROSECONDS_PER_SECOND  # microseconds; longest recordable


@dataclass
class Findings:
    """Counts, durations and violations that the demo recorded.

    Attributes
    ----------
    written : dict
        Acknowledged writes as (database, session, number); all values are True.
    unknown : int
        Writes whose outcome is unknown.
    failures : Counter
        Failed requests by error class.
    violations : list of str
        Guarantees that were violated.
    longest_write : float
        Longest time of an acknowledged write, in seconds.
    lookup_times : HdrHistogram
        Times of the answered look-ups, in microseconds.
    """

    written: dict = field(default_factory=dict)
    unknown: int = 0
    failures: Counter = field(default_factory=Counter)
    violations: list = field(default_factory=list)
    longest_write: float = 0.0
    lookup_times: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, HISTOGRAM_MAX, 3)
    )


async def query(connection, sql):
    """Run a statement over a caller's connection and return its rows."""
    async with connection.cursor() as cursor:
        await cursor.execute(sql)
        return await cursor.fetchall() if cursor.description else ()


@dataclass(frozen=True)
class BundleNames:
    """Names of databases and request classes that the demo uses.

    Attributes
    ----------
    databases : tuple of str
        First database of each group.
    write_class : str
    bounded_age_class : str
        Class of reads with a maximum age.
    """

    databases: tuple
    write_class: str
    bounded_age_class: str


def _choose_names(value):
    classes = value["classes"]
    return BundleNames(
        databases=tuple(group["databases"][0] for group in value["groups"].values()),
        write_class=value["defaults"]["write"],
        bounded_age_class=next(
            name
            for name, request_class in classes.items()
            if "max_age_ms" in request_class
        ),
    )


class Scenario:
    """The scripted scenario and its findings.

    Parameters
    ----------
    fleet : LocalFleet
    value : dict
        The bundle as a JSON value.
    random_source : random.Random
    """

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

    def _count_failure(self, error):
        kind, _, _ = str(error.args[1]).partition(":")
        self.findings.failures[kind] += 1

    async def run_roaming_session(self, session, database):
        """Write and read, each on a random daemon; check that reads see the writes."""
        acknowledged = 0
        for number in range(1, REPORTS_PER_SESSION + 1):
            if await self._write_report(session, database, number):
                acknowledged = number
            await self._check_seen(session, database, acknowledged)

    async def _write_report(self, session, database, number):
        sql = (
            f"/* cardamomdrift: class={self._names.write_class} "
            f"key={session}-{number} */ "
            f"INSERT INTO records (session, number, text) "
            f"VALUES ('{session}', {number}, 'smell of gas')"
        )
        started = time.monotonic()
        connection = await self._connect(database)
        try:
            await query(connection, sql)
        except Error as error:
            if error.args[0] == OutcomeUnknown.code:
                self.findings.unknown += 1
            else:
                self._count_failure(error)
            return False
        finally:
            connection.close()
        elapsed = time.monotonic() - started
        self.findings.longest_write = max(self.findings.longest_write, elapsed)
        self.findings.written[(database, session, number)] = True
        return True

    async def _check_seen(self, session, database, acknowledged):
        """Check that a read sees the last acknowledged report of its session."""
        connection = await self._connect(database)
        try:
            sql = f"SELECT MAX(number) FROM records WHERE session = '{session}'"
            rows = await query(connection, sql)
        except Error as error:
            self._count_failure(error)
            return
        finally:
            connection.close()
        if (rows[0][0] or 0) < acknowledged:
            self.findings.violations.append(
                f"{session}: report {acknowledged} acknowledged, read gave {rows[0][0]}"
            )

    async def run_lookups(self, database, count):
        """Run reads of the class with a maximum age, and record their times."""
        connection = await self._connect(database)
        try:
            for _ in range(count):
                place_id = self._random.randrange(50)
                sql = (
                    f"/* cardamomdrift: class={self._names.bounded_age_class} */ "
                    f"SELECT text FROM places WHERE id = {place_id}"
                )
                await self._run_timed(connection, sql)
        finally:
            connection.close()

    async def _run_timed(self, connection, sql):
        started = time.monotonic()
        try:
            await query(connection, sql)
        except Error as error:
            self._count_failure(error)
            return
        elapsed = time.monotonic() - started
        self.findings.lookup_times.record_value(int(elapsed * MICROSECONDS_PER_SECOND))

    async def run_long_reads(self, database, count):
        """Run statements that take many times longer than the others."""
        connection = await self._connect(database)
        try:
            for _ in range(count):
                sql = (
                    f"/* cardamomdrift: class={self._names.bounded_age_class} */ "
                    f"SELECT /* cost_ms={LONG_STATEMENT_TIME} */ COUNT(*) FROM places"
                )
                await query(connection, sql)
        except Error as error:
            self._count_failure(error)
        finally:
            connection.close()

    async def run_regular_load(self):
        """Run reports, look-ups and long statements while a primary crashes."""
        databases = self._names.databases
        sessions = [
            self.run_roaming_session(f"s{i}", databases[i % len(databases)])
            for i in range(SESSION_COUNT)
        ]
        lookups = [
            self.run_lookups(databases[i % len(databases)], LOOKUPS_PER_CALLER)
            for i in range(9)
        ]
        long_statements = [self.run_long_reads(database, 5) for database in databases]
        await asyncio.gather(
            *sessions, *lookups, *long_statements, self.change_primary()
        )

    async def change_primary(self):
        """Crash the first group's primary; restart it when it has been replaced."""
        await asyncio.sleep(0.4)
        group = next(iter(self._fleet.deployment.groups.values()))
        old_primary = group.primary
        started = time.monotonic()
        old_primary.crash()
        while group.primary is None:
            await asyncio.sleep(0.01)
        elapsed = time.monotonic() - started
        print(
            f"  {old_primary.name} crashed; "
            f"{group.primary.name} is primary after {elapsed:.2f} s"
        )
        await asyncio.sleep(0.3)
        await old_primary.restart()

    async def run_peak_load(self):
        """Run look-ups of many callers at once; return the share that was answered."""
        before = self.findings.lookup_times.get_total_count()
        databases = self._names.databases
        caller_count = 60
        await asyncio.gather(
            *(
                self.run_lookups(
                    databases[i % len(databases)], PEAK_READS // caller_count
                )
                for i in range(caller_count)
            )
        )
        answered = self.findings.lookup_times.get_total_count() - before
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

    async def stop_gracefully(self):
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
            for (written_database, session, number), _ in self.findings.written.items():
                if (
                    written_database == database
                    and (session, number) not in record_counts
                ):
                    self.findings.violations.append(
                        f"report {session}-{number} is lost"
                    )
            for key, count in record_counts.items():
                if count != 1:
                    self.findings.violations.append(
                        f"report {key} was written {count} times"
                    )

    def replica_share(self):
        """Return the share of reads that replicas served."""
        totals = {"replica": 0, "primary": 0}
        for daemon in self._fleet.daemons.values():
            for role, count in daemon.service.reads_by_role().items():
                totals[role] += count
        return totals["replica"] / max(sum(totals.values()), 1)


async def run_scenario(value, stay, write_time_limit=7.0):
    """Run the scenario on a bundle and return the exit code.

    Parameters
    ----------
    value : dict
        The bundle as a JSON value.
    stay : bool
        Keep the fleet running afterwards.
    write_time_limit : float
        Longest time in seconds that a write may take, failover included.
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
        print(f"load peak: {PEAK_READS} look-ups, {goodput:.1%} answered in time")
        elapsed = await scenario.roll_out()
        print(f"roll-out: version 2 in force on every daemon after {elapsed:.2f} s")
        share = scenario.replica_share()
        clean = await scenario.stop_gracefully()
        print(f"graceful stop with an open transaction: {'clean' if clean else 'cut'}")
        await scenario.audit()
        findings = scenario.findings
        if not clean:
            findings.violations.append("the graceful stop cut a request")
        if findings.longest_write > write_time_limit:
            findings.violations.append("the longest write exceeded its limit")
        _print_measures(findings, share, goodput)
        if stay:
            await _serve_until_interrupted(fleet)
    return 1 if findings.violations else 0


def _print_measures(findings, share, goodput):
    lookup_times = findings.lookup_times
    p99 = lookup_times.get_value_at_percentile(99) / MICROSECONDS_PER_SECOND
    print("measures:")
    print(f"  reads served by replicas         {share:.1%}")
    print(f"  longest write, failover included {findings.longest_write:.2f} s")
    print(f"  answered in time at load peak    {goodput:.1%}")
    print(f"  99th percentile of look-ups      {p99 * 1000:.0f} ms")
    failures = ", ".join(f"{name} {count}" for name, count in findings.failures.items())
    print(f"outcome unknown {findings.unknown}; failed: {failures or 0}")
    for violation in findings.violations:
        print(f"VIOLATION: {violation}")
    if not findings.violations:
        print("no violations")


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
