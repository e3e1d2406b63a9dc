"""
Short requests behind long ones
===============================

Measures the latency of short requests among a few that take a hundred times longer: in
order of arrival, and with a replica for long statements.
"""

import asyncio
import random
from unittest import mock

from bench.load import Callers, first_group, print_table, run_site
from cardamomdrift.routing.cost import CostEstimator

LONG_SHARE = 0.02  # of all requests
LONG_COST = 200  # milliseconds; short requests take 2
REQUEST_RATE = 250  # requests per second
MEASURING_TIME = 6.0  # seconds
LEARNING_TIME = 3.0  # seconds in which daemons learn which statements are long


def _never_long(_costs, _shape):
    """Stand in for `CostEstimator.is_long`, so that no statement counts as long."""
    return False


async def measure_short_behind_long(site, seed):
    """Measure short requests among 2% that take a hundred times longer."""
    low_class = {"mittelland": "map-lookup", "vanua": "availability"}[site]
    rows = []
    for name, is_long in (
        ("first in, first out", _never_long),
        ("replica for long ones", CostEstimator.is_long),
    ):
        with mock.patch.object(CostEstimator, "is_long", is_long):
            async with run_site(site, daemons=4) as fleet:
                _, database = first_group(fleet)
                random_source = random.Random(seed)
                callers = Callers(fleet, database, random_source)
                await callers.open_connections(10)

                def request(number, random_source=random_source):
                    if random_source.random() < LONG_SHARE:
                        text = f"/* cost_ms={LONG_COST} */ COUNT(*) FROM places"
                        return (
                            f"/* cardamomdrift: class={low_class} */ SELECT {text}",
                            "long",
                        )
                    text = f"text FROM places WHERE id = {number % 50}"
                    return (
                        f"/* cardamomdrift: class={low_class} */ SELECT {text}",
                        "short",
                    )

                # The daemons learn first which statements are long.
                tasks = await callers.run(REQUEST_RATE, LEARNING_TIME, request)
                await asyncio.gather(*tasks)
                callers.latencies.clear()
                tasks = await callers.run(REQUEST_RATE, MEASURING_TIME, request)
                await asyncio.gather(*tasks)
        short = callers.latencies["short"]
        cells = [f"{short.percentile(p):.1f}" for p in (50, 95, 99, 99.9)]
        rows.append((name, *cells, f"{callers.latencies['long'].percentile(50):.0f}"))
    columns = ("order", "p50 ms", "p95 ms", "p99 ms", "p99.9 ms", "long p50 ms")
    print_table(f"{site}: short requests among 2% long ones", columns, rows)
