"""
The four measures
=================

Replica share, write gap, goodput at the crest, and short requests behind long ones, on
stand-ins at the sizes of both sites; each against a baseline in the same run.
"""

import asyncio
import random
import statistics
import time
from unittest import mock

import fire
from asyncmy import connect
from asyncmy.errors import Error

from bench.load import Callers, Times, print_table, query, run_site
from cardamomdrift.limits.admission import Adaptive, Fifo, NewestFirst
from cardamomdrift.membership.rendezvous import rank
from cardamomdrift.routing.cost import CostBook
from cardamomdrift.telemetry.log import setup_logging

LAGS = (0.0, 0.05, 1.0, 30.0)  # seconds
SESSIONS = 6
ROUNDS = 12
READS = 8
LAG_CLASSES = {
    # Replicas 30 s behind cannot confirm a replicated write in time.
    "bench-write": {"kind": "write", "durability": "current_term"}
}
SETTLE_TIME = 6.0  # seconds in which kept connections grow older than their age
LAG_FIGURE_LIMIT = 2.0  # seconds, of the baseline that trusts a lag figure
GAP_REPEATS = 3
CREST_SERVICE = 0.04  # seconds
CREST_BASE = 30  # requests per second
CREST_FACTOR = 10
CREST_TIME = 2.0  # seconds
CREST_DEADLINE = 1.0  # seconds
STRAGGLER_SHARE = 0.02
STRAGGLER_COST = 200  # milliseconds; the short ones take 2
SHORT_RATE = 250  # requests per second
SHORT_TIME = 6.0  # seconds
LEARNING_TIME = 3.0  # seconds


def _first_group(fleet):
    name = next(iter(fleet.deployment.groups))
    return name, fleet.value["groups"][name]["databases"][0]


# Replica share


class _Tally:
    """Reads of one strategy."""

    def __init__(self):
        self.times = Times()
        self.replica = 0
        self.reads = 0
        self.violations = 0

    def row(self, *names):
        share = self.replica / max(self.reads, 1)
        return (
            *names,
            f"{share:.0%}",
            f"{self.times.percentile(50):.1f}",
            f"{self.times.percentile(99):.1f}",
            self.violations,
            self.reads,
        )


async def _session(fleet, database, name, read, tally, random_source):
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
            tally.times.add(time.monotonic() - started)
            tally.reads += 1
            tally.violations += seen < number


def _select(name, class_name=""):
    comment = f"/* cardamomdrift: class={class_name} */ " if class_name else ""
    return f"{comment}SELECT MAX(number) FROM records WHERE session = '{name}'"


def _proxy_reader(fleet, database, class_name, random_source):
    async def read(name):
        vm = random_source.choice(sorted(fleet.daemons))
        connection = await fleet.connect(vm, database)
        rows = await query(connection, _select(name, class_name))
        connection.close()
        return rows[0][0] or 0

    return read


async def _public_reader(fleet, database, class_name, random_source):
    """Return a reader that keeps its connections and never writes."""
    connections = {vm: await fleet.connect(vm, database) for vm in fleet.daemons}
    locks = {vm: asyncio.Lock() for vm in fleet.daemons}

    async def read(_name):
        vm = random_source.choice(sorted(fleet.daemons))
        async with locks[vm]:
            comment = f"/* cardamomdrift: class={class_name} */"
            place = random_source.randrange(50)
            sql = f"{comment} SELECT text FROM places WHERE id = {place}"
            await query(connections[vm], sql)
        return ROUNDS

    settled_at = time.monotonic() + SETTLE_TIME
    while time.monotonic() < settled_at:
        await read("")
        await asyncio.sleep(0.02)
    return read


def _direct_reader(fleet, tally, random_source, by_lag_figure):
    """Return a baseline: all to the primary, or replicas whose lag figure is low."""
    group = next(iter(fleet.deployment.groups.values()))
    instances = list(group.instances.values())
    connections = {}
    locks = {one.name: asyncio.Lock() for one in instances}

    async def read(name):
        target = group.primary
        if by_lag_figure:
            replicas = [one for one in instances if not one.leads]
            figures = [one.status()[6] / 1000 for one in replicas]
            low = [
                r
                for r, f in zip(replicas, figures, strict=True)
                if f < LAG_FIGURE_LIMIT
            ]
            target = random_source.choice(low) if low else target
        tally.replica += not target.leads
        async with locks[target.name]:
            if target.name not in connections:
                connections[target.name] = await connect(
                    host="127.0.0.1", port=target.port, user="x", autocommit=None
                )
            rows = await query(connections[target.name], _select(name))
        return rows[0][0] or 0

    return read


async def measure_replica_share(site, seed):
    """Measure replica share and latency against replicas' lag."""
    classes = {
        "mittelland": ("dispatch-view", "map-lookup"),
        "vanua": ("permit-view", "availability"),
    }[site]
    rows = []
    for lag in LAGS:
        async with run_site(site, classes=LAG_CLASSES, lag=lag) as fleet:
            public = f"{classes[1]}, kept connections"
            strategies = (*classes, public, "all to primary", "lag figure")
            for number, strategy in enumerate(strategies):
                source = random.Random(seed)
                tally = _Tally()
                _, database = _first_group(fleet)
                if number < len(classes):
                    read = _proxy_reader(fleet, database, strategy, source)
                elif strategy == public:
                    read = await _public_reader(fleet, database, classes[1], source)
                else:
                    read = _direct_reader(
                        fleet, tally, source, strategy == "lag figure"
                    )
                before = _served(fleet)
                sessions = [
                    _session(fleet, database, f"{number}-{i}", read, tally, source)
                    for i in range(SESSIONS)
                ]
                await asyncio.gather(*sessions)
                tally.replica += _served(fleet) - before
                rows.append(tally.row(f"{lag * 1000:.0f} ms", strategy))
    columns = ("lag", "reads", "by replicas", "p50 ms", "p99 ms", "violations", "count")
    print_table(f"{site}: replica share", columns, rows)


def _served(fleet):
    return sum(d.service.reads_by_role()["replica"] for d in fleet.daemons.values())


# Write gap


async def _write_gap(fleet, database, cause):
    """Return the longest time between two acknowledged writes around a failure."""
    vms = sorted(fleet.daemons)
    acknowledged = [time.monotonic()]
    stop = asyncio.Event()

    async def write(number):
        connection = await fleet.connect(vms[number % len(vms)], database)
        count = 0
        while not stop.is_set():
            count += 1
            try:
                await query(
                    connection,
                    f"/* cardamomdrift: key={number}-{count}-{time.time()} */ "
                    f"INSERT INTO records (session, number) VALUES ('w{number}', 1)",
                )
            except (Error, RuntimeError):
                connection.close()
                await asyncio.sleep(0.02)
                vm = random.choice(sorted(fleet.daemons))
                connection = await fleet.connect(vm, database)
                continue
            acknowledged.append(time.monotonic())
            await asyncio.sleep(0.01)
        connection.close()

    writers = [asyncio.create_task(write(number)) for number in range(4)]
    await asyncio.sleep(0.5)
    failed_at = time.monotonic()
    undo = await cause(fleet)
    while acknowledged[-1] < failed_at + 0.5 and time.monotonic() < failed_at + 30:
        await asyncio.sleep(0.05)
    await asyncio.sleep(1.0)
    stop.set()
    await asyncio.gather(*writers)
    if undo is not None:
        undo()
    times = sorted(one for one in acknowledged if one >= failed_at - 0.1)
    return max(b - a for a, b in zip(times, times[1:], strict=False))


def _group(fleet):
    return next(iter(fleet.deployment.groups.values()))


async def _crash(fleet):
    _group(fleet).primary.crash()


async def _partition(fleet):
    primary = _group(fleet).primary
    primary.cut()
    return primary.heal


async def _slow_platform(fleet):
    fleet.deployment.platform.faults.delay = 0.5
    _group(fleet).primary.crash()


async def _down_platform(fleet):
    fleet.deployment.platform.faults.down = True
    _group(fleet).primary.crash()


async def _paused_promoter(fleet):
    """The first promoter fences a majority and then stops for good."""
    name, _ = _first_group(fleet)
    instances = _group(fleet).instances
    old = _group(fleet).primary
    old.crash()
    for one in instances.values():
        if one is not old:
            one.fence(2, f"paused {name}")


async def _partition_and_down_platform(fleet):
    fleet.deployment.platform.faults.down = True
    return await _partition(fleet)


async def _daemon_and_primary(fleet):
    """The daemon that would promote first dies together with the primary."""
    name, _ = _first_group(fleet)
    first = rank(name, sorted(fleet.daemons))[0]
    _group(fleet).primary.crash()
    await fleet.end_daemon(first)


CAUSES = {
    "crash": _crash,
    "partition, old primary still leads": _partition,
    "crash, platform answers 500 ms late": _slow_platform,
    "crash, platform down": _down_platform,
    "crash, first promoter paused after fencing": _paused_promoter,
    "partition and platform down": _partition_and_down_platform,
    "crash of primary and first promoter's daemon": _daemon_and_primary,
}


async def measure_write_gap(site):
    """Measure the write gap by cause, and that of a proxy without failover."""
    rows = []
    for name, cause in CAUSES.items():
        gaps = []
        for _ in range(GAP_REPEATS):
            async with run_site(site, daemons=4) as fleet:
                _, database = _first_group(fleet)
                gaps.append(await _write_gap(fleet, database, cause))
        rows.append(
            (name, f"{statistics.median(gaps):.2f}", f"{max(gaps):.2f}", len(gaps))
        )
    rows.append(("without failover (baseline)", "no end", "no end", "by design"))
    print_table(f"{site}: write gap", ("cause", "median s", "longest s", "runs"), rows)


async def measure_false_promotions(site):
    """Count promotions while a primary is merely slow."""
    async with run_site(site, daemons=4) as fleet:
        _, database = _first_group(fleet)
        callers = Callers(fleet, database, random.Random(0))
        sql = "SELECT /* cost_ms=800 */ COUNT(*) FROM places FOR UPDATE"
        tasks = await callers.run(20, 6.0, lambda _: (sql, "slow"))
        await asyncio.gather(*tasks)
        promoted = sum(
            group.counts.promoted
            for daemon in fleet.daemons.values()
            for group in daemon.service.groups.values()
        )
    print(f"\n{site}: primary saturated for 6 s, promotions: {promoted} (target 0)")


# Crest


async def measure_crest(site, seed):
    """Measure what is answered in time when demand rises tenfold within a moment."""
    low, high = {
        "mittelland": ("map-lookup", "dispatch-view"),
        "vanua": ("availability", "permit-view"),
    }[site]
    rows = []
    for policy in (Fifo(), NewestFirst(), Adaptive()):
        async with run_site(site, policy=policy, service_time=CREST_SERVICE) as fleet:
            _, database = _first_group(fleet)
            callers = Callers(fleet, database, random.Random(seed))
            await callers.warm(40)
            milliseconds = int(CREST_DEADLINE * 1000)

            def request(number):
                name = high if number % 5 == 0 else low
                sql = (
                    f"/* cardamomdrift: class={name} deadline_ms={milliseconds} */ "
                    f"SELECT text FROM places WHERE id = {number % 50}"
                )
                return sql, name

            tasks = await callers.run(
                CREST_BASE, 1.0, lambda n: (request(n)[0], "base")
            )
            tasks += await callers.run(CREST_BASE * CREST_FACTOR, CREST_TIME, request)
            await asyncio.gather(*tasks)
            offered = CREST_BASE * CREST_FACTOR * CREST_TIME
            counts = {one: callers.times.get(one, Times()).count for one in (high, low)}
            slow = max(
                callers.times[low].percentile(99), callers.times[high].percentile(99)
            )
            rows.append(
                (
                    type(policy).__name__,
                    f"{sum(counts.values()) / offered:.0%}",
                    f"{counts[high] / (offered / 5):.0%}",
                    f"{counts[low] / (offered * 4 / 5):.0%}",
                    f"{slow:.0f}",
                    sum(callers.failures.values()),
                )
            )
    columns = ("queue", "in time", f"{high}", f"{low}", "p99 ms", "refused")
    print_table(f"{site}: crest, {CREST_FACTOR} times the load", columns, rows)


# Short behind long


def _never_long(_costs, _shape):
    return False


async def measure_short_behind_long(site, seed):
    """Measure short requests among 2% that take a hundred times longer."""
    low = {"mittelland": "map-lookup", "vanua": "availability"}[site]
    rows = []
    for name, is_long in (
        ("first in, first out", _never_long),
        ("long ones in lanes", CostBook.is_long),
    ):
        with mock.patch.object(CostBook, "is_long", is_long):
            async with run_site(site, daemons=4) as fleet:
                _, database = _first_group(fleet)
                source = random.Random(seed)
                callers = Callers(fleet, database, source)
                await callers.warm(10)

                def request(number, source=source):
                    if source.random() < STRAGGLER_SHARE:
                        text = f"/* cost_ms={STRAGGLER_COST} */ COUNT(*) FROM places"
                        return f"/* cardamomdrift: class={low} */ SELECT {text}", "long"
                    text = f"text FROM places WHERE id = {number % 50}"
                    return f"/* cardamomdrift: class={low} */ SELECT {text}", "short"

                # What is long has to be learned first.
                tasks = await callers.run(SHORT_RATE, LEARNING_TIME, request)
                await asyncio.gather(*tasks)
                callers.times.clear()
                tasks = await callers.run(SHORT_RATE, SHORT_TIME, request)
                await asyncio.gather(*tasks)
        short = callers.times["short"]
        cells = [f"{short.percentile(p):.1f}" for p in (50, 95, 99, 99.9)]
        rows.append((name, *cells, f"{callers.times['long'].percentile(50):.0f}"))
    columns = ("order", "p50 ms", "p95 ms", "p99 ms", "p99.9 ms", "long p50 ms")
    print_table(f"{site}: short requests among 2% long ones", columns, rows)


async def _run(seed, only, sites):
    for site in sites:
        if only in ("", "share"):
            await measure_replica_share(site, seed)
        if only in ("", "gap"):
            await measure_write_gap(site)
            await measure_false_promotions(site)
        if only in ("", "crest"):
            await measure_crest(site, seed)
        if only in ("", "short"):
            await measure_short_behind_long(site, seed)


def main(seed=7, only="", site=""):
    """Print the tables of the measures.

    Parameters
    ----------
    seed : int
    only : str
        ``share``, ``gap``, ``crest`` or ``short``; default: all.
    site : str
        ``mittelland`` or ``vanua``; default: both.
    """
    setup_logging("error")
    sites = (site,) if site else ("mittelland", "vanua")
    asyncio.run(_run(seed, only, sites))


if __name__ == "__main__":
    fire.Fire(main)
