"""
Exposition
==========

Metrics of a daemon on the users' platform as text over HTTP, and the instruments that
read its state.
"""

import asyncio
import heapq
from collections import Counter

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from prometheus_client import REGISTRY, generate_latest

from cardamomdrift.limits.pings import PingWay
from cardamomdrift.telemetry.metrics import Metrics

# Customers with a label of their own; each label set costs memory in the store of the
# metrics, for each daemon.
NAMED_CUSTOMERS = 10
OTHER_CUSTOMERS = "other"


class RequestMetrics:
    """Records counts and times of requests.

    Parameters
    ----------
    metrics : Metrics
    """

    def __init__(self, metrics):
        meter = metrics.meter
        self._duration = metrics.duration
        self._wait = meter.create_histogram(
            "cardamomdrift.request.wait", unit="s", description="Time until placed"
        )
        self._refused = meter.create_counter(
            "cardamomdrift.request.refused",
            unit="{request}",
            description="Requests refused before they were placed",
        )

    def observe(self, kind, outcome, elapsed, waited):
        """Record a request's route kind, outcome and times in seconds."""
        self._duration.record(elapsed, {"kind": kind, "outcome": outcome})
        self._wait.record(waited, {"kind": kind})

    def count(self, kind, outcome):
        """Count a request that was refused before it was built."""
        self._refused.add(1, {"kind": kind, "outcome": outcome})


def _reads(daemon):
    for cluster in daemon.clusters:
        for role, count in cluster.counts.reads.items():
            yield count, {"group": cluster.group.name, "role": role}


def _group_counter(name):
    def read(daemon):
        for cluster in daemon.clusters:
            yield getattr(cluster.counts, name), {"group": cluster.group.name}

    return read


def _waiting(daemon):
    for cluster in daemon.clusters:
        group = cluster.group.name
        yield len(cluster.primary_dispatcher.queue), {"group": group, "need": "primary"}
        yield len(cluster.any_dispatcher.queue), {"group": group, "need": "any"}


def _generations(daemon):
    for cluster in daemon.clusters:
        yield cluster.leadership.generation, {"group": cluster.group.name}


def _instances(daemon):
    for cluster in daemon.clusters:
        for name, runtime in cluster.instances.items():
            yield runtime, {"group": cluster.group.name, "instance": name}


def _in_flight(daemon):
    for runtime, labels in _instances(daemon):
        yield runtime.in_flight, labels


def _connections(daemon):
    for runtime, labels in _instances(daemon):
        yield runtime.pool.size, labels


def _refusals(daemon):
    for runtime, labels in _instances(daemon):
        yield runtime.pool.refusals, labels


def _pings(daemon):
    counts = Counter()
    for runtime, _ in _instances(daemon):
        counts.update(runtime.prober.counts)
    for way in PingWay:
        yield counts[way], {"way": way.value}


def _handshakes(daemon):
    for runtime, labels in _instances(daemon):
        yield runtime.pool.handshakes, labels


def _replaced(daemon):
    for runtime, labels in _instances(daemon):
        yield runtime.pool.replaced, labels


def _customer_connections(daemon):
    """Yield the connections of the largest customers, and of the others together.

    The largest are those with the highest rate limit, so that the names change only
    with the configuration.
    """
    deployment = daemon.clusters.deployment
    if deployment is None or not deployment.customers:
        return
    largest = heapq.nlargest(
        NAMED_CUSTOMERS,
        deployment.customers.values(),
        key=lambda customer: (customer.rate or 0.0, customer.name),
    )
    counts = dict.fromkeys([customer.name for customer in largest], 0)
    counts[OTHER_CUSTOMERS] = 0
    for runtime, _ in _instances(daemon):
        for name, count in runtime.pool.customers.items():
            counts[name if name in counts else OTHER_CUSTOMERS] += count
    for name, count in counts.items():
        yield count, {"customer": name}


def _borrowed(daemon):
    for runtime, labels in _instances(daemon):
        yield runtime.pool.borrowed, labels


def _paced(daemon):
    for runtime, labels in _instances(daemon):
        yield int(runtime.pace.paced), labels


def _pace_rates(daemon):
    for runtime, labels in _instances(daemon):
        if runtime.pace.paced:
            yield runtime.pace.rate, labels


def _avoided(daemon):
    for cluster in daemon.clusters:
        group, avoided = cluster.group.name, cluster.pacing.outcomes.avoided
        for name in cluster.instances:
            yield int(name == avoided), {"group": group, "instance": name}


def _loans(daemon):
    for outcome, count in (
        *daemon.lender.counts.items(),
        *daemon.borrower.counts.items(),
    ):
        yield count, {"outcome": outcome}


def _loan_domains(daemon):
    for domain, count in daemon.borrower.domain_counts.items():
        yield count, {"domain": domain}


def _work(daemon):
    now = asyncio.get_running_loop().time()
    for cluster in daemon.clusters:
        for name in cluster.instances:
            labels = {"group": cluster.group.name, "instance": name}
            yield cluster.pacing.load.work(name, now), labels


def _unanswered(daemon):
    for runtime, labels in _instances(daemon):
        yield runtime.silence.unanswered(asyncio.get_running_loop().time()), labels


def _behind(daemon):
    for cluster in daemon.clusters:
        statuses = cluster.view.instances
        primary = statuses.get(cluster.leadership.primary)
        for name, status in statuses.items():
            if primary is None or status.position.term != primary.position.term:
                continue
            behind = max(0, primary.position.sequence - status.position.sequence)
            yield behind, {"group": cluster.group.name, "instance": name}


def _delayed(daemon):
    for cluster in daemon.clusters:
        for name in cluster.instances:
            delayed = cluster.replica_reports.is_delayed(name)
            yield int(delayed), {"group": cluster.group.name, "instance": name}


def _store_calls(daemon):
    for outcome, count in daemon.store.counts.items():
        yield count, {"outcome": outcome}


def _feed_ages(daemon):
    for table, age in daemon.feed_ages().items():
        yield age, {"table": table}


def _replacements(daemon):
    for outcome, count in daemon.replacer.counts.items():
        yield count, {"outcome": outcome}


def _operations(daemon):
    if daemon.gate is not None:
        for (customer, reason), count in daemon.gate.counts.items():
            yield count, {"customer": customer, "reason": reason}


def _proof_ages(daemon):
    age = None if daemon.gate is None else daemon.gate.proof_age()
    if age is not None:
        yield age, {}


def _quota_refusals(daemon):
    gate = daemon.clusters.quota_gate
    for customer, count in gate.refusals.items() if gate else ():
        yield count, {"customer": customer}


def _credit_requests(daemon):
    gate = daemon.clusters.quota_gate
    for outcome, count in gate.requests.items() if gate else ():
        yield count, {"outcome": outcome}


def _credit_outstanding(daemon):
    gate = daemon.clusters.quota_gate
    if gate:
        yield gate.home.outstanding(), {}


def _sessions(daemon):
    yield daemon.callers.session_count, {}


def _held(daemon):
    for part, size in daemon.budget.parts.items():
        yield size, {"part": part}


def _memory_decisions(daemon):
    for decision, count in daemon.budget.counts.items():
        yield count, {"decision": decision}


def _turns(daemon):
    if daemon.turns is not None:
        yield daemon.turns.take_longest(), {}


COUNTERS = (
    ("reads", "{read}", "Reads by serving role", _reads),
    ("hedges", "{read}", "Reads asked a second time", _group_counter("hedges")),
    ("retries", "{attempt}", "Attempts made again", _group_counter("retries")),
    (
        "primary_retries",
        "{attempt}",
        "Retries of reads after LAGGING that took no token",
        _group_counter("primary_retries"),
    ),
    (
        "refused_lagging",
        "{read}",
        "Reads refused because the primary had no room and the replicas lagged",
        _group_counter("refused_lagging"),
    ),
    ("behind", "{read}", "Reads refused by lagging replicas", _group_counter("behind")),
    ("connection.refusals", "{refusal}", "Connections refused as too many", _refusals),
    ("pings", "{ping}", "Pings by the connection that they used", _pings),
    ("handshakes", "{connection}", "Connections opened", _handshakes),
    (
        "connections.replaced",
        "{connection}",
        "Connections closed to open one of another customer",
        _replaced,
    ),
    ("loans", "{loan}", "Connections lent between daemons", _loans),
    ("loans.domain", "{loan}", "Borrowed by the lender's domain", _loan_domains),
    (
        "memory.decisions",
        "{decision}",
        "Statements refused, reads paused and connections closed to save memory",
        _memory_decisions,
    ),
    (
        "sessions.refused",
        "{session}",
        "Callers' connections beyond the limit",
        lambda daemon: [(daemon.callers.limits.refused_connections, {})],
    ),
    ("store.calls", "{call}", "Calls of the platform's store", _store_calls),
    ("operations", "{operation}", "Operations by customer and reason", _operations),
    ("replacements", "{replacement}", "Replacements of primaries", _replacements),
    ("quota.refused", "{operation}", "Operations refused by quota", _quota_refusals),
    ("quota.requests", "{request}", "Requests for credit", _credit_requests),
    (
        "log.dropped",
        "{line}",
        "Log lines left out",
        lambda daemon: [(daemon.writer.dropped, {})],
    ),
)
GAUGES = (
    ("waiting", "{request}", "Requests that wait", _waiting),
    ("generation", "1", "Replacements of the primary so far", _generations),
    ("in_flight", "{request}", "Requests at an instance", _in_flight),
    ("connections", "{connection}", "Open connections", _connections),
    (
        "customer.connections",
        "{connection}",
        "Open connections by customer",
        _customer_connections,
    ),
    ("borrowed", "{connection}", "Connections of other daemons in use", _borrowed),
    ("paced", "1", "Whether the rate to an instance is limited", _paced),
    ("pace.rate", "{request}/s", "Rate to an instance while paced", _pace_rates),
    ("avoided", "1", "Whether reads avoid an instance", _avoided),
    ("work", "s", "Recent times of answers, by which reads leave a primary", _work),
    ("unanswered", "s", "Time without an answer", _unanswered),
    ("position.behind", "{entry}", "Entries behind the primary", _behind),
    ("replica.delayed", "1", "Whether a replica is known to be delayed", _delayed),
    (
        "sessions",
        "{session}",
        "Callers connected",
        _sessions,
    ),
    (
        "quota.outstanding",
        "{operation}",
        "Credit that this daemon has granted and that has not ended",
        _credit_outstanding,
    ),
    ("memory.held", "By", "Bytes held for clients", _held),
    (
        "memory.capacity",
        "By",
        "Bytes that may be held for clients",
        lambda daemon: [(daemon.budget.capacity, {})],
    ),
    ("loop.turn", "s", "Longest turn of the event loop", _turns),
    (
        "feed.age",
        "s",
        "Time since the store last answered this daemon or its voters",
        _feed_ages,
    ),
    ("proof.age", "s", "Time since the configuration was the newest", _proof_ages),
    ("version", "1", "Configuration in force", lambda daemon: [(daemon.version, {})]),
    (
        "members",
        "{daemon}",
        "Daemons counted",
        lambda daemon: [(len(daemon.roster.names), {})],
    ),
    (
        "loop.delay",
        "s",
        "Worst delay",
        lambda daemon: [(daemon.loop_delay.take_worst(), {})],
    ),
)


class Exposition:
    """Serves the metrics of a daemon.

    Parameters
    ----------
    vm : str
    daemon : object
        The daemon, whose attributes the instruments read.
    """

    def __init__(self, vm, daemon):
        self._metrics = Metrics(vm, PrometheusMetricReader(disable_target_info=True))
        self.requests = RequestMetrics(self._metrics)
        self._metrics.observe_tables(COUNTERS, GAUGES, daemon)

    def render(self):
        """Return HTTP status, content type and text of all metrics."""
        return 200, "text/plain", generate_latest(REGISTRY)

    def close(self):
        """Stop the instruments."""
        self._metrics.close()
