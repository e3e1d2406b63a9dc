"""
Instruments of a service
========================

Tables of the counters and gauges of a running `Service`, with the function that reads
each.  `exposition` has those of a daemon on the users' platform.
"""


def _requests(service):
    for (name, outcome), count in service.outcomes().items():
        yield count, {"class": name, "outcome": outcome}


def _reads(service):
    for role, count in service.reads_by_role().items():
        yield count, {"role": role}


def _promotions(service):
    for name, group in service.groups.items():
        yield group.counts.promoted, {"group": name, "outcome": "succeeded"}
        yield group.counts.failed, {"group": name, "outcome": "failed"}


def _suspicions(service):
    for name, group in service.groups.items():
        yield group.counts.suspected, {"group": name}


def _probes(service):
    for name, instance, runtime in _instances(service):
        yield runtime.prober.probes_sent, {"group": name, "instance": instance}


def _refusals(service):
    for name, instance, runtime in _instances(service):
        yield runtime.pool.refusals, {"group": name, "instance": instance}


def _waiting(service):
    for name, group in service.groups.items():
        yield len(group.components.dispatcher.queue), {"group": name}


def _connections(service):
    for name, instance, runtime in _instances(service):
        yield runtime.pool.size, {"group": name, "instance": instance}


def _terms(service):
    for name, group in service.groups.items():
        yield group.view.term, {"group": name}


def _active(service):
    yield service.active_count, {}


def _instances(service):
    for name, group in service.groups.items():
        for instance, runtime in group.components.instances.items():
            yield name, instance, runtime


COUNTERS = (
    ("requests", "{request}", "Requests by outcome", _requests),
    ("reads", "{read}", "Reads by serving role", _reads),
    ("promotions", "{promotion}", "Promotions by outcome", _promotions),
    ("suspicions", "{suspicion}", "Primaries suspected", _suspicions),
    ("probes", "{probe}", "Status questions asked", _probes),
    (
        "connection.refusals",
        "{refusal}",
        "Connections refused as too many",
        _refusals,
    ),
)
GAUGES = (
    ("waiting", "{request}", "Requests that wait", _waiting),
    ("connections", "{connection}", "Open connections", _connections),
    ("term", "1", "Highest term seen", _terms),
    ("active", "{request}", "Requests not finished", _active),
)


def add_instruments(metrics, service):
    """Add all instruments of COUNTERS and GAUGES."""
    metrics.observe_tables(COUNTERS, GAUGES, service)
