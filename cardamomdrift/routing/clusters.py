"""
Clusters
========

All database groups of the deployment in force and the routes to them, as session
handlers use them.
"""

import asyncio
import math

from cardamomdrift.routing.cluster import Cluster
from cardamomdrift.routing.request import can_answer
from cardamomdrift.routing.statements import StatementRunner
from cardamomdrift.util import keep_task

MAINTENANCE_INTERVAL = 0.05  # seconds; half of OVERDUE_TIME of `reachability`
TRIM_INTERVAL = 1.0  # seconds


class Clusters:
    """The database groups of one daemon; an async context manager.

    Parameters
    ----------
    context : ClusterContext
    instances : InstanceList
    recorder : RequestRecorder
        Records the outcome of each request.

    Attributes
    ----------
    answer_by : float
        When all requests must have been answered, in seconds of the loop's clock;
        infinity unless the daemon is shutting down.
    quota_gate : QuotaGate or None
        Keeps the customers' rate limits; None if no quotas are in force.
    """

    def __init__(self, context, instances, recorder):
        self._context = context
        self._instances = instances
        self._recorder = recorder
        self.answer_by = math.inf
        self.quota_gate = None
        self._deployment = None
        self._deployed = asyncio.Event()
        self._clusters = {}
        self._runners = {}
        self._background_tasks = set()
        self._handlers_in_transaction = set()

    def __iter__(self):
        return iter(self._clusters.values())

    def __len__(self):
        return len(self._clusters)

    @property
    def deployment(self):
        """The Deployment in force, or None."""
        return self._deployment

    def get(self, group):
        """Return a group's Cluster, or None."""
        return self._clusters.get(group)

    def find_instance(self, name):
        """Return the InstanceRuntime of an instance, or None."""
        for cluster in self._clusters.values():
            if name in cluster.instances:
                return cluster.instances[name]
        return None

    @property
    def transaction_idle_timeout(self):
        """Seconds for which a transaction may be idle; 0 without a deployment."""
        return self._deployment.transaction_idle_timeout if self._deployment else 0.0

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        if self._background_tasks:
            await asyncio.wait(self._background_tasks, timeout=1.0)
        for cluster in self._clusters.values():
            await cluster.__aexit__(*exc_info)

    # Changes of the deployment and of the daemons

    async def set_deployment(self, deployment):
        """Apply a new deployment.

        Groups that it lacks are kept, because requests may still run there.  Without
        a route, no new request reaches them.
        """
        for name, group in deployment.groups.items():
            cluster = self._clusters.get(name)
            if cluster is None:
                cluster = Cluster(group, self._context)
                await cluster.__aenter__()
                self._clusters[name] = cluster
                self._runners[name] = StatementRunner(cluster)
                await cluster.set_instances(self._instances.of_group(name))
            elif cluster.group != group:
                await cluster.set_group(group)
        self._deployment = deployment
        self._deployed.set()

    async def wait_deployed(self, timeout):
        """Wait for the first deployment; return whether there is one.

        Parameters
        ----------
        timeout : float
            Seconds.
        """
        try:
            async with asyncio.timeout(timeout):
                await self._deployed.wait()
        except TimeoutError:
            return False
        return True

    async def set_instances(self):
        """Apply a change of the instance list."""
        for name, cluster in self._clusters.items():
            await cluster.set_instances(self._instances.of_group(name))

    def set_members(self):
        """Apply a change of the daemons that share the connections."""
        for cluster in self._clusters.values():
            cluster.update_shares()

    def dispatch_waiting(self):
        """Dispatch waiting requests, after a permission was granted."""
        for cluster in self._clusters.values():
            cluster.dispatch_waiting()

    def run_checks(self, now):
        """Run the periodic checks of all groups, and end idle transactions."""
        for cluster in self._clusters.values():
            cluster.run_checks(now)
        if self._deployment is None:
            return
        for handler in list(self._handlers_in_transaction):
            if handler.transaction is None:
                self._handlers_in_transaction.discard(handler)
            else:
                handler.expire(now, self.transaction_idle_timeout)

    def trim(self, now):
        """Close connections that have been idle for long."""
        for cluster in self._clusters.values():
            cluster.trim(now)

    # For session handlers

    def clock(self):
        """Return the time of the event loop's clock, in seconds."""
        return self._context.clock()

    def route_of(self, database):
        """Return the Route of a database, or None."""
        return self._deployment and self._deployment.routes.get(database)

    def customer_of(self, caller):
        """Return the Customer whose name a caller bears, or None."""
        return self._deployment and self._deployment.customers.get(caller)

    def cluster_of(self, route):
        """Return the Cluster that a route leads to."""
        return self._clusters[route.group]

    def runner_of(self, route):
        """Return the StatementRunner of the group that a route leads to."""
        return self._runners[route.group]

    def can_answer(self, request):
        """Whether a request is expected to be answered before the daemon exits."""
        costs = self.cluster_of(request.route).costs
        return can_answer(request, costs, self.answer_by)

    def run_in_background(self, work):
        """Run a coroutine in the background; return its task."""
        return keep_task(self._background_tasks, work)

    def track_transaction(self, handler):
        """Track a session with an open transaction, to end it when idle."""
        self._handlers_in_transaction.add(handler)

    def end_withdrawn(self):
        """Roll back the open transactions whose keys have been withdrawn."""
        for handler in list(self._handlers_in_transaction):
            handler.end_if_withdrawn()

    def record(self, request_id, database, request, error):
        """Record the outcome of a request."""
        self._recorder.record(request_id, database, request, error, self.clock())
