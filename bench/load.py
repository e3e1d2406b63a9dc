"""
Load generation
===============

Callers, latency histograms and tables that the measurements share.
"""

import asyncio
import time
from collections import Counter
from contextlib import asynccontextmanager

from asyncmy.errors import Error
from hdrh.histogram import HdrHistogram

from cardamomdrift.jsonc import load_jsonc
from cardamomdrift.standins.deployment import make_deployment
from cardamomdrift.standins.fleet import LocalFleet

MICROSECONDS_PER_SECOND = 1_000_000
MAX_LATENCY = 120 * MICROSECONDS_PER_SECOND  # microseconds
READY_TIMEOUT = 20.0  # seconds
SCHEMA = (
    "CREATE TABLE records (id BIGINT AUTO_INCREMENT PRIMARY KEY, "
    "session VARCHAR(32), number BIGINT)",
    "CREATE TABLE places (id BIGINT PRIMARY KEY, text VARCHAR(200))",
    *(f"INSERT INTO places (id, text) VALUES ({i}, 'valve {i}')" for i in range(50)),
)
SITES = {
    "mittelland": "examples/mittelland.jsonc",
    "vanua": "examples/vanua.jsonc",
}


class LatencyHistogram:
    """Histogram of the durations of requests."""

    def __init__(self):
        self._histogram = HdrHistogram(1, MAX_LATENCY, 3)

    @property
    def count(self):
        """Number of durations recorded."""
        return self._histogram.get_total_count()

    def add(self, seconds):
        """Record a duration in seconds."""
        self._histogram.record_value(max(1, int(seconds * MICROSECONDS_PER_SECOND)))

    def percentile(self, percent):
        """Return a percentile in milliseconds."""
        return self._histogram.get_value_at_percentile(percent) / 1000


@asynccontextmanager
async def run_site(site, daemons=4, policy=None, classes=None, **options):
    """Run daemons with one site's bundle, and stand-ins for its groups.

    Parameters
    ----------
    site : str
        Key of ``SITES``.
    daemons : int
        Number of daemons.
    policy : Fifo or NewestFirst or Adaptive, optional
        Order of the daemons' queues.
    classes : dict, optional
        Request classes added to the bundle.
    **options
        Options of the stand-ins that replace the defaults.
    """
    value = load_jsonc(SITES[site])
    value["classes"].update(classes or {})
    instance_names = {
        name: tuple(group["instances"]) for name, group in value["groups"].items()
    }
    defaults = {"connect_time": 0.012, "link_delay": 0.001, "service_time": 0.002}
    defaults["max_connections"] = next(iter(value["groups"].values()))["connections"]
    deployment = make_deployment(instance_names, SCHEMA, 0, **{**defaults, **options})
    domains = sorted(
        {
            instance["failure_domain"]
            for group in value["groups"].values()
            for instance in group["instances"].values()
        }
    )
    daemon_domains = [domains[i % len(domains)] for i in range(daemons)]
    async with LocalFleet(value, deployment, daemon_domains, policy) as fleet:
        await _wait_until_ready(fleet)
        yield fleet


async def _wait_until_ready(fleet):
    deadline_at = time.monotonic() + READY_TIMEOUT
    while time.monotonic() < deadline_at:
        ready = all(
            daemon.keeper.membership.may_connect
            and all(group.view.primary for group in daemon.service.groups.values())
            for daemon in fleet.daemons.values()
        )
        if ready:
            return
        await asyncio.sleep(0.05)
    raise TimeoutError("the fleet did not become ready")


def first_group(fleet):
    """Return the name of the first group and its first database."""
    name = next(iter(fleet.deployment.groups))
    return name, fleet.value["groups"][name]["databases"][0]


async def query(connection, sql):
    """Run a statement and return its rows."""
    async with connection.cursor() as cursor:
        await cursor.execute(sql)
        return await cursor.fetchall() if cursor.description else ()


class Callers:
    """Open-loop callers: requests start on schedule, also while others wait.

    Attributes
    ----------
    latencies : dict of str to LatencyHistogram
        Durations of the requests that succeeded, by label.
    failures : Counter
        Number of failed requests by label and error.
    """

    def __init__(self, fleet, database, random_source):
        self._fleet = fleet
        self._database = database
        self._random = random_source
        self._idle = {vm: [] for vm in fleet.daemons}
        self.latencies = {}
        self.failures = Counter()

    async def request(self, sql, label):
        """Send one request over an idle or new connection to a random daemon."""
        vm = self._random.choice(sorted(self._idle))
        idle = self._idle[vm]
        connection = (
            idle.pop() if idle else await self._fleet.connect(vm, self._database)
        )
        started = time.monotonic()
        try:
            await query(connection, sql)
        except Error as error:
            self.failures[label, str(error.args[1]).partition(":")[0]] += 1
        else:
            elapsed = time.monotonic() - started
            self.latencies.setdefault(label, LatencyHistogram()).add(elapsed)
        idle.append(connection)

    async def open_connections(self, count):
        """Open connections until there are this many idle ones to each daemon."""
        for vm, idle in self._idle.items():
            while len(idle) < count:
                idle.append(await self._fleet.connect(vm, self._database))

    async def run(self, rate, seconds, make_request):
        """Start requests at a rate and return their tasks.

        Parameters
        ----------
        rate : float
            Requests per second.
        seconds : float
        make_request : callable
            Returns the statement and the label of a request, by its number.
        """
        started = time.monotonic()
        tasks = []
        for number in range(int(rate * seconds)):
            pause = started + number / rate - time.monotonic()
            if pause > 0:
                await asyncio.sleep(pause)
            tasks.append(asyncio.create_task(self.request(*make_request(number))))
        return tasks


def print_table(title, columns, rows):
    """Print a table in Markdown."""
    print(f"\n### {title}\n")
    print("| " + " | ".join(columns) + " |")
    print("|" + " --- |" * len(columns))
    for row in rows:
        print("| " + " | ".join(str(cell) for cell in row) + " |", flush=True)
