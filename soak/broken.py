"""
Broken daemons
==============

Starts a daemon with one decision broken on purpose, to show that the soak catches it.
"""

import sys
from unittest import mock

from cardamomdrift.position import ORIGIN

BREAKS = {
    # Reads go to replicas however far these are.
    "no-floor": (
        "cardamomdrift.routing.cluster.Cluster.find_floor",
        lambda self, since, at_least: ORIGIN,
    ),
    # A primary counts although others may have replaced it.
    "no-permission": (
        "cardamomdrift.failover.permission.Permission.holds",
        lambda self, now: True,
    ),
    # A write whose answer is lost is sent again.
    "repeat-writes": (
        "cardamomdrift.routing.statements.OutcomeUnknown",
        lambda reason: __import__(
            "cardamomdrift.routing.attempt", fromlist=["TryElsewhere"]
        ).TryElsewhere("", reason),
    ),
    # What is in doubt is said not to have run.
    "false-refusals": (
        "cardamomdrift.platform.line_protocol._ERROR_CODES",
        ((Exception, "BUSY"),),
    ),
    # A replacement waits for nobody.
    "hasty": (
        "cardamomdrift.failover.execution.is_released",
        lambda intent, others, quorum_at, now: True,
    ),
}


def main():
    """Run the daemon with the decision that the first argument names broken."""
    from cardamomdrift.platform.main import main as run

    target, value = BREAKS[sys.argv[1]]
    with mock.patch(target, value):
        return run()


if __name__ == "__main__":
    sys.exit(main())
