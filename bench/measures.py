"""
Measures
========

Measures replica share, write gap, goodput at a load peak, and short requests behind
long ones, on stand-ins with the bundles of both sites.  Each table has a baseline.
"""

import asyncio

import fire

from bench.crest import measure_load_peak
from bench.gap import measure_false_promotions, measure_write_gap
from bench.replicas import measure_replica_share
from bench.stragglers import measure_short_behind_long
from cardamomdrift.telemetry.log import setup_logging

MEASURES = {
    "share": (measure_replica_share,),
    "gap": (measure_write_gap, measure_false_promotions),
    "crest": (measure_load_peak,),
    "short": (measure_short_behind_long,),
}


async def _run(seed, names, sites):
    for site in sites:
        for name in names:
            for measure in MEASURES[name]:
                await measure(site, seed)


def main(seed=7, only="", site=""):
    """Print the tables of the measures.

    Parameters
    ----------
    seed : int
    only : str
        ``share``, ``gap``, ``crest`` (load peak) or ``short``; default: all.
    site : str
        ``mittelland`` or ``vanua``; default: both.
    """
    setup_logging("error")
    sites = (site,) if site else ("mittelland", "vanua")
    names = (only,) if only else tuple(MEASURES)
    asyncio.run(_run(seed, names, sites))


if __name__ == "__main__":
    fire.Fire(main)
