"""
Test values
===========

A bundle, a schema and helpers that several test modules use.
"""

import asyncio
import time
from contextlib import asynccontextmanager

from cardamomdrift.bundle.model import check_value, make_bundle
from cardamomdrift.standins.deployment import make_deployment
from cardamomdrift.standins.fleet import LocalFleet
from cardamomdrift.telemetry.log import setup_logging

SCHEMA = (
    "CREATE TABLE t (id BIGINT AUTO_INCREMENT PRIMARY KEY, v VARCHAR(20))",
    "CREATE TABLE wide (id BIGINT PRIMARY KEY, v VARCHAR(200))",
)
INSTANCES = ("a", "b", "c")
BUNDLE = {
    "deployment": "test",
    "groups": {
        "g": {
            "databases": ["d"],
            "instances": {
                name: {"address": "127.0.0.1", "port": 1, "failure_domain": f"z{name}"}
                for name in INSTANCES
            },
        }
    },
    "classes": {
        "fresh": {"kind": "read"},
        "session": {"kind": "read", "consistency": "session"},
        "old": {"kind": "read", "max_age_ms": 1000},
        "w": {"kind": "write", "deadline_ms": 15000},
        "again": {"kind": "write", "repeatable": True, "deadline_ms": 15000},
    },
    "defaults": {"read": "fresh", "write": "w"},
}
CONDITION_TIMEOUT = 20.0  # seconds that a test waits for a condition


def bundle(**changes):
    """Return BUNDLE as a Bundle, with some top-level keys replaced."""
    return make_bundle(check_value({**BUNDLE, **changes}, "test").unwrap())


@asynccontextmanager
async def running_fleet(daemons=2, value=BUNDLE, **options):
    """Run daemons in front of stand-ins; yield the fleet when all are ready.

    Each daemon is then counted by the others and knows the primary of every group.

    Parameters
    ----------
    daemons : int
        Number of daemons, at most four.
    value : dict
        Plain value of the bundle.
    **options
        Options of `make_deployment`.
    """
    setup_logging("error")
    deployment = make_deployment({"g": INSTANCES}, SCHEMA, **options)
    domains = ["za", "zb", "zc", "zd"][:daemons]
    async with LocalFleet(value, deployment, domains) as fleet:
        await until(lambda: all(is_ready(daemon) for daemon in fleet.daemons.values()))
        yield fleet


def is_ready(daemon):
    """Return whether a daemon may connect and knows the primary of every group."""
    groups = daemon.service.groups.values()
    return daemon.keeper.membership.may_connect and all(
        group.view.primary is not None for group in groups
    )


async def until(condition):
    """Wait until a condition holds.

    Raises
    ------
    AssertionError
        If it does not hold within CONDITION_TIMEOUT.
    """
    deadline = time.monotonic() + CONDITION_TIMEOUT
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(
                f"the condition did not hold within {CONDITION_TIMEOUT} s"
            )
        await asyncio.sleep(0.01)


async def query(connection, sql):
    """Run a statement; return its rows, or its affected rows and insert id."""
    async with connection.cursor() as cursor:
        await cursor.execute(sql)
        if cursor.description:
            return [tuple(row) for row in await cursor.fetchall()]
        return cursor.rowcount, cursor.lastrowid
