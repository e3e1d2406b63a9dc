"""
Platform entries
================

Test data of the platform: rows that the operator and the instances write to its store,
and settings files of daemons.
"""

import json


def instance_entry(group, instance, **changes):
    """Return an instance's entry in the list of instances, as JSON bytes.

    Parameters
    ----------
    group : str
    instance : LineInstance
    **changes
        Keys to replace or add.
    """
    entry = {
        "backend": group,
        "address": instance.address,
        "zone": "z1",
        "version": "v1",
        "slots": 2,
        "state": "draining" if instance.draining else "ready",
        "coldLeftMs": 0,
        "dbRole": "primary" if instance.primary else "replica",
        "sequence": 1,
        "born": 1000,
    }
    return json.dumps(entry | changes).encode()


def route(database, kind, group, **changes):
    """Return one route of a configuration.

    Parameters
    ----------
    database : str
    kind : str
        ``primary``, ``bounded_staleness`` or ``read_your_writes``.
    group : str
    **changes
        Keys to replace or add.
    """
    entry = {
        "name": f"r-{database}",
        "host": database,
        "prefix": "/",
        "routeType": kind,
        "timeoutMs": 800,
        "targetLatencyMs": 200,
        "priority": 1,
        "backend": group,
    }
    if kind != "primary":
        entry["maxStalenessMs"] = 1500
    return entry | changes


def tenant(name, *keys, rate=100.0, burst=100.0, priority=1):
    """Return one customer of a configuration, with its keys."""
    return {
        "name": name,
        "apiKeys": list(keys),
        "priority": priority,
        "ratePerS": rate,
        "burst": burst,
    }


def configuration(
    version,
    routes,
    groups,
    transaction_idle_ms=3000,
    synchronous=0,
    tenants=None,
):
    """Return a configuration as JSON bytes.

    Parameters
    ----------
    version : int
    routes : list
    groups : dict of str to int
        Connection limit of each instance, by group.
    transaction_idle_ms : int
        Milliseconds after which an idle transaction is ended.
    synchronous : int
        Replicas that have a commit before it is acknowledged.
    tenants : list, optional
        Customers; without it the configuration has no such field.
    """
    backends = [
        {
            "name": name,
            "healthPath": "/health",
            "maxConns": connection_limit,
            "syncReplicas": synchronous,
        }
        for name, connection_limit in groups.items()
    ]
    value = {
        "version": version,
        "routes": routes,
        "backends": backends,
        "limits": {"txIdleMs": transaction_idle_ms, "idleTimeoutMs": 15000},
    }
    if tenants is not None:
        value["tenants"] = tenants
    return json.dumps(value).encode()


def settings(name, address, store, ports, **changes):
    """Return the text of a daemon's settings file.

    Parameters
    ----------
    name, address : str
        Name and IP address of the VM.
    store : str
        ``host:port`` of the platform's store.
    ports : sequence of int
        Port for callers, port for readiness, and first and last port for peers.
    **changes
        Keys to replace or add.
    """
    front, ready, first, last = ports
    value = {
        "nodeName": name,
        "role": "entry",
        "ip": address,
        "zone": "z1",
        "listen": {"front": f"{address}:{front}", "ready": f"{address}:{ready}"},
        "internalPorts": [first, last],
        "seeds": [],
        "heartbeatMs": 1200,
        "bounds": {"graceS": 6, "drainMs": 7000},
        "platform": {"address": store, "form": "table"},
        "cloudApi": {"address": store, "ratePerS": 50.0},
    }
    return json.dumps(value | changes)
