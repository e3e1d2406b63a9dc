"""
Connections of a group
======================

This VM's connections to the instances of a group: its share of each instance's
connections, the connections opened ahead of requests, and the VMs to borrow from.
"""

from cardamomdrift.customers.identity import NO_CUSTOMER
from cardamomdrift.errors import CallerError, UpstreamError
from cardamomdrift.limits.shares import (
    HomeDomains,
    customer_share,
    lending_vms,
    share_with_loans,
)
from cardamomdrift.util import cancel_all, keep_task

# Connections to an instance until the other daemons are known.  None is opened ahead of
# requests, since a fleet that starts may have more daemons than connections.
INITIAL_SHARE = 1
WARM_CONNECTIONS = 1  # opened to each instance ahead of the first request
WARM_TIMEOUT = 1.0  # seconds
# Seconds.  Instances keep the connections of a VM that lost power for 3 s.  If the
# other VMs kept all idle connections, the restarted VM would be refused meanwhile.
IDLE_TIMEOUT = 3.0
# Seconds, with customers: half of the time for which instances keep them.  An eighth of
# the connections is reserved for restarted VMs, and a connection that another customer
# needs is replaced before.
CUSTOMER_IDLE_TIMEOUT = 30.0


class GroupConnections:
    """Connections of one VM to the instances of a group.

    Parameters
    ----------
    cluster : Cluster
    context : ClusterContext
    """

    def __init__(self, cluster, context):
        self._cluster = cluster
        self._context = context
        self._tasks = set()
        self._warmed = set()

    async def close(self):
        """Cancel the connections that are being opened."""
        await cancel_all(list(self._tasks))

    def update_shares(self):
        """Set the limit of each pool to this VM's share of the connections."""
        members = self._context.members()
        limit = self._cluster.group.connections
        instances = self._instance_names()
        domains = self._home_domains(members, instances)
        for name, runtime in self._cluster.instances.items():
            if not members:
                runtime.set_share(INITIAL_SHARE)
                continue
            vm = self._context.vm.name
            find_share = customer_share if self._has_customers else share_with_loans
            share = find_share(limit, members, vm, name, instances, domains)
            is_new = name not in self._warmed
            if is_new or runtime.pool.limit != share:
                self._warmed.add(name)
                runtime.set_share(share)
                self._warm(runtime)
        self._warmed &= self._cluster.instances.keys()

    @property
    def _has_customers(self):
        return self._context.customers_in_force

    def _home_domains(self, members, instances):
        known = self._context.domains()
        specs = [self._cluster.instances[name].spec for name in instances]
        return HomeDomains(
            tuple(known.get(vm, "") for vm in members),
            tuple(spec.failure_domain for spec in specs),
        )

    def _instance_names(self):
        return tuple(sorted(self._cluster.instances))

    def _warm(self, runtime):
        if self._has_customers:
            # It is not known which customer's requests come next.
            return
        missing = min(WARM_CONNECTIONS, runtime.pool.limit) - runtime.pool.size
        for _ in range(missing):
            keep_task(self._tasks, self._open_ahead(runtime))

    async def _open_ahead(self, runtime):
        now = self._context.clock()
        try:
            position = await runtime.pool.open_ahead(now + WARM_TIMEOUT)
        except (UpstreamError, CallerError) as error:
            self._context.log.info(
                "connection not opened ahead",
                instance=runtime.spec.name,
                error=f"{type(error).__name__} {error}",
            )
            return
        self._cluster.view.observe(runtime.spec.name, position, self._context.clock())

    async def borrow(self, name, pinned, deadline_at, identity=NO_CUSTOMER):
        """Borrow a connection to an instance from another VM; return it, or None.

        Parameters
        ----------
        name : str
        pinned : bool
            Whether a transaction will hold it.
        deadline_at : float
        identity : Identity
            Customer that the connection must belong to.
        """
        lenders = self._find_lenders(name)
        return await self._context.borrow(name, lenders, pinned, deadline_at, identity)

    def _find_lenders(self, name):
        """Return the VMs that may have a connection to an instance to lend.

        While the primary does not answer this VM, they are those that it answers.
        """
        cluster = self._cluster
        runtime = cluster.instances.get(name)
        if runtime is not None and name == cluster.leadership.primary:
            reaching = cluster.reaching_daemons()
            unusable = not runtime.usable
            if runtime.uses_detour or (unusable and (reaching or runtime.pool.limit)):
                return reaching
        members, instances = self._context.members(), self._instance_names()
        return lending_vms(
            cluster.group.connections,
            members,
            name,
            instances,
            self._has_customers,
            self._home_domains(members, instances),
        )

    def trim(self, now):
        """Close connections that have been idle for long."""
        for runtime in self._cluster.instances.values():
            if self._has_customers:
                runtime.pool.trim(now, CUSTOMER_IDLE_TIMEOUT)
            else:
                runtime.pool.trim(now, IDLE_TIMEOUT, WARM_CONNECTIONS)
