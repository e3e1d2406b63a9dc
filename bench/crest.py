"""
Load peak
=========

Measures which share of requests is answered in time when the load rises tenfold at
once, by the order of the queue.  The command line calls the load peak ``crest``.
"""

import asyncio
import random

from bench.load import Callers, LatencyHistogram, first_group, print_table, run_site
from cardamomdrift.limits.admission import Adaptive, Fifo, NewestFirst

SERVICE_TIME = 0.04  # seconds
BASE_RATE = 30  # requests per second
PEAK_FACTOR = 10
PEAK_TIME = 2.0  # seconds
DEADLINE = 1.0  # seconds


async def measure_load_peak(site, seed):
    """Measure the share of requests answered in time at a load peak, by queue order."""
    low_class, high_class = {
        "mittelland": ("map-lookup", "dispatch-view"),
        "vanua": ("availability", "permit-view"),
    }[site]
    rows = []
    for policy in (Fifo(), NewestFirst(), Adaptive()):
        async with run_site(site, policy=policy, service_time=SERVICE_TIME) as fleet:
            _, database = first_group(fleet)
            callers = Callers(fleet, database, random.Random(seed))
            await callers.open_connections(40)
            deadline_ms = int(DEADLINE * 1000)

            def request(number):
                name = high_class if number % 5 == 0 else low_class
                sql = (
                    f"/* cardamomdrift: class={name} deadline_ms={deadline_ms} */ "
                    f"SELECT text FROM places WHERE id = {number % 50}"
                )
                return sql, name

            tasks = await callers.run(
                BASE_RATE, 1.0, lambda number: (request(number)[0], "base")
            )
            tasks += await callers.run(BASE_RATE * PEAK_FACTOR, PEAK_TIME, request)
            await asyncio.gather(*tasks)
            offered = BASE_RATE * PEAK_FACTOR * PEAK_TIME
            counts = {
                class_name: callers.latencies.get(class_name, LatencyHistogram()).count
                for class_name in (high_class, low_class)
            }
            p99 = max(
                callers.latencies[low_class].percentile(99),
                callers.latencies[high_class].percentile(99),
            )
            rows.append(
                (
                    type(policy).__name__,
                    f"{sum(counts.values()) / offered:.0%}",
                    f"{counts[high_class] / (offered / 5):.0%}",
                    f"{counts[low_class] / (offered * 4 / 5):.0%}",
                    f"{p99:.0f}",
                    sum(callers.failures.values()),
                )
            )
    columns = ("queue", "in time", f"{high_class}", f"{low_class}", "p99 ms", "refused")
    print_table(f"{site}: load peak, {PEAK_FACTOR} times the load", columns, rows)
