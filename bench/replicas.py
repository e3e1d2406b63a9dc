"""
Replica share
=============

Measures by replication lag which share of reads replicas serve, how fast, and how many
reads miss a write of their session.  Two baselines run without the proxy.
"""

import asyncio
import random
import time

from asyncmy import connect

from bench.load import LatencyHistogram, first_group, print_table, query, run_site

LAGS = (0.0, 0.05, 1.0, 30.0)  # seconds
SESSIONS = 6
ROUNDS = 12  # writes of a session
READS = 8  # after each write
LAG_CLASSES = {
    # Replicas that lag 30 s cannot confirm a replicated write in time.
    "bench-write": {"kind": "write", "durability": "current_term"}
}
# Seconds until kept connections are older than max_age_ms of their class.  A read on a
# younger connection must see what was written before the connection was opened.
SETTLE_TIME = 6.0
TRUSTED_LAG_LIMIT = 2.0  # seconds; a baseline reads from replicas that report less


class _Tally:
    """Latencies and counts of the reads of one strategy.

    A violation is a read that misses the last write of its session.
    """

    def __init__(self):
        self.latencies = LatencyHistogram()
        self.replica_reads = 0
        self.reads = 0
        self.violations = 0

    def row(self, *names):
        share = self.replica_reads / max(self.reads, 1)
        return (
            *names,
            f"{share:.0%}",
            f"{self.latencies.percentile(50):.1f}",
            f"{self.latencies.percentile(99):.1f}",
            self.violations,
            self.reads,
        )


async def _run_session(fleet, database, name, read, tally, random_source):
    for number in range(1, ROUNDS + 1):
        vm = random_source.choice(sorted(fleet.daemons))
        writer = await fleet.connect(vm, database)
        await query(
            writer,
            "/* cardamomdrift: class=bench-write */ "
            f"INSERT INTO records (session, number) VALUES ('{name}', {number})",
        )
        writer.close()
        for _ in range(READS):
            started = time.monotonic()
            seen = await read(name)
            tally.latencies.add(time.monotonic() - started)
            tally.reads += 1
            tally.violations += seen < number


def _make_select(name, class_name=""):
    comment = f"/* cardamomdrift: class={class_name} */ " if class_name else ""
    return f"{comment}SELECT MAX(number) FROM records WHERE session = '{name}'"


def _proxy_reader(fleet, database, class_name, random_source):
    async def read(name):
        vm = random_source.choice(sorted(fleet.daemons))
        connection = await fleet.connect(vm, database)
        rows = await query(connection, _make_select(name, class_name))
        connection.close()
        return rows[0][0] or 0

    return read


async def _kept_connection_reader(fleet, database, class_name, random_source):
    """Return a reader that keeps its connections, on which nothing is written.

    Its reads depend on no write, so it returns a number that never is a violation.
    """
    connections = {vm: await fleet.connect(vm, database) for vm in fleet.daemons}
    locks = {vm: asyncio.Lock() for vm in fleet.daemons}

    async def read(_name):
        vm = random_source.choice(sorted(fleet.daemons))
        async with locks[vm]:
            comment = f"/* cardamomdrift: class={class_name} */"
            place_id = random_source.randrange(50)
            sql = f"{comment} SELECT text FROM places WHERE id = {place_id}"
            await query(connections[vm], sql)
        return ROUNDS

    settled_at = time.monotonic() + SETTLE_TIME
    while time.monotonic() < settled_at:
        await read("")
        await asyncio.sleep(0.02)
    return read


def _direct_reader(fleet, tally, random_source, by_reported_lag):
    """Return a reader of the primary, or of replicas that report little lag."""
    group = next(iter(fleet.deployment.groups.values()))
    instances = list(group.instances.values())
    connections = {}
    locks = {instance.name: asyncio.Lock() for instance in instances}

    async def read(name):
        target = group.primary
        if by_reported_lag:
            replicas = [instance for instance in instances if not instance.leads]
            reported_lags = [instance.status()[6] / 1000 for instance in replicas]
            fresh_replicas = [
                replica
                for replica, reported_lag in zip(replicas, reported_lags, strict=True)
                if reported_lag < TRUSTED_LAG_LIMIT
            ]
            target = random_source.choice(fresh_replicas) if fresh_replicas else target
        tally.replica_reads += not target.leads
        async with locks[target.name]:
            if target.name not in connections:
                connections[target.name] = await connect(
                    host="127.0.0.1", port=target.port, user="x", autocommit=None
                )
            rows = await query(connections[target.name], _make_select(name))
        return rows[0][0] or 0

    return read


async def measure_replica_share(site, seed):
    """Measure replica share, latency and violations by replication lag."""
    classes = {
        "mittelland": ("dispatch-view", "map-lookup"),
        "vanua": ("permit-view", "availability"),
    }[site]
    rows = []
    for lag in LAGS:
        async with run_site(site, classes=LAG_CLASSES, lag=lag) as fleet:
            kept_connections = f"{classes[1]}, kept connections"
            strategies = (*classes, kept_connections, "all to primary", "reported lag")
            for number, strategy in enumerate(strategies):
                random_source = random.Random(seed)
                tally = _Tally()
                _, database = first_group(fleet)
                if number < len(classes):
                    read = _proxy_reader(fleet, database, strategy, random_source)
                elif strategy == kept_connections:
                    read = await _kept_connection_reader(
                        fleet, database, classes[1], random_source
                    )
                else:
                    read = _direct_reader(
                        fleet, tally, random_source, strategy == "reported lag"
                    )
                replica_reads_before = _count_replica_reads(fleet)
                sessions = [
                    _run_session(
                        fleet, database, f"{number}-{i}", read, tally, random_source
                    )
                    for i in range(SESSIONS)
                ]
                await asyncio.gather(*sessions)
                tally.replica_reads += (
                    _count_replica_reads(fleet) - replica_reads_before
                )
                rows.append(tally.row(f"{lag * 1000:.0f} ms", strategy))
    columns = ("lag", "reads", "by replicas", "p50 ms", "p99 ms", "violations", "count")
    print_table(f"{site}: replica share", columns, rows)


def _count_replica_reads(fleet):
    return sum(
        daemon.service.reads_by_role()["replica"] for daemon in fleet.daemons.values()
    )
