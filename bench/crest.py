"""
Crest
=====

Measures what is answered in time when demand rises tenfold within a moment, by the
order of the queue.
"""

import asyncio
import random

from bench.load import Callers, Times, first_group, print_table, run_site
from cardamomdrift.limits.admission import Adaptive, Fifo, NewestFirst

CREST_SERVICE = 0.04  # seconds
CREST_BASE = 30  # requests per second
CREST_FACTOR = 10
CREST_TIME = 2.0  # seconds
CREST_DEADLINE = 1.0  # seconds


async def measure_crest(site, seed):
    """Measure what is answered in time when demand rises tenfold within a moment."""
    low, high = {
        "mittelland": ("map-lookup", "dispatch-view"),
        "vanua": ("availability", "permit-view"),
    }[site]
    rows = []
    for policy in (Fifo(), NewestFirst(), Adaptive()):
        async with run_site(site, policy=policy, service_time=CREST_SERVICE) as fleet:
            _, database = first_group(fleet)
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
