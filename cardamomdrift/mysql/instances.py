"""
MySQL instances
===============

Builds the runtime of an instance that speaks MySQL.
"""

from cardamomdrift.limits.concurrency import ConcurrencyLimit
from cardamomdrift.mysql.connection import make_connector
from cardamomdrift.mysql.prober import CONTROL_CONNECTIONS, InstanceProber
from cardamomdrift.routing.instance import InstanceRuntime
from cardamomdrift.upstreams.pool import InstancePool


def make_instance(spec, login, vm, clock, listener):
    """Return the runtime of one instance.

    Parameters
    ----------
    spec : InstanceSpec
    login : Login
    vm : str
        Name of this VM.
    clock : callable
    listener : GroupRuntime
        Receives the answers and failures of probes.
    """
    pool = InstancePool(make_connector(spec, login, vm), clock)
    prober = InstanceProber(spec.name, pool, listener, clock)
    return InstanceRuntime(
        spec, pool, prober, clock, CONTROL_CONNECTIONS, ConcurrencyLimit()
    )
