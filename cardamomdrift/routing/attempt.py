"""
Attempt
=======

One attempt to run a statement: a place, a connection in the session's state, and the
reply.
"""

from contextlib import asynccontextmanager, contextmanager
from dataclasses import replace

from cardamomdrift.clock import boot_clock
from cardamomdrift.deployment import RouteKind
from cardamomdrift.errors import (
    RefusedByInstance,
    UpstreamBusy,
    UpstreamLost,
    UpstreamUnreachable,
)
from cardamomdrift.limits.admission import make_ticket
from cardamomdrift.ports import Refusal, TransactionState
from cardamomdrift.position import ORIGIN
from cardamomdrift.sessions.commands import Execute
from cardamomdrift.sessions.state import plan_setup, record_setup, upstream_name

RETRY_PAUSE = 0.02  # seconds; about one statement's time, then a slot is free
RETRY_AFTER = 0.2  # seconds told to callers; a replacement takes about twice as long


class TryElsewhere(Exception):
    """An attempt failed and had no effect.

    Attributes
    ----------
    instance : str
    reason : str
    reply : Reply or None
        What the instance answered.
    """

    def __init__(self, instance, reason, reply=None):
        super().__init__(f"{instance}: {reason}")
        self.instance = instance
        self.reason = reason
        self.reply = reply


def find_read_floor(cluster, request):
    """Return the floor of a read, or None if only the primary is safe.

    Parameters
    ----------
    cluster : Cluster
    request : StatementRequest
    """
    route = request.route
    if route.kind is RouteKind.PRIMARY or route.max_age is None:
        return None
    last_write = request.last_write or ORIGIN
    since = request.arrived_boot - route.max_age
    floor = cluster.find_floor(since, last_write)
    request.trace.floor = floor
    return floor


def with_floor(command, floor):
    """Return a command that is refused by an instance short of the floor."""
    return replace(command, floor=floor)


async def run_command(cluster, connection, instance_name, request, command):
    """Run a command with the session's state on a connection.

    Returns
    -------
    Reply

    Raises
    ------
    UpstreamError
    """
    prepared = request.prepared
    if isinstance(command, Execute) and prepared is not None:
        command = replace(command, name=upstream_name(prepared))
    setup = plan_setup(connection.loaded, request.values, prepared)
    step = (request.request_id, command)
    reply = await send_with_setup(cluster, connection, instance_name, setup, step)
    if reply.refusal is Refusal.NO_SUCH_STATEMENT:
        connection.loaded.prepared.clear()
    return reply


async def send_with_setup(cluster, connection, instance_name, setup, step):
    """Send what sets a connection up and a last command; return that one's Reply.

    Raises
    ------
    UpstreamError
    """
    steps = [(None, command) for command in setup]
    steps.append(step)
    runtime = cluster.instances.get(instance_name)
    direct = not connection.lender
    begun_boot = boot_clock()
    if runtime is not None and direct:
        runtime.silence.record_request(cluster.clock())
    replies = await connection.exchange(steps)
    reply = replies[-1]
    cluster.record_reply(instance_name, reply.position, begun_boot, direct)
    if any(setup_reply.refusal is not None for setup_reply in replies[:-1]):
        connection.close()
        raise UpstreamLost("the instance refused the session's state")
    record_setup(connection.loaded, setup)
    return reply


def make_session_filter(request):
    """Return a function that tells whether a connection holds a session's values."""
    return lambda connection: connection.loaded.values == request.values


@contextmanager
def count_primary_write(cluster):
    """Count what a handover of the primary waits for."""
    cluster.writes_in_flight += 1
    try:
        yield
    finally:
        cluster.writes_in_flight -= 1


@asynccontextmanager
async def acquire_connection(cluster, dispatcher, need, request, pinned=False):
    """Hold a place and a connection for a request, or for a whole transaction.

    Raises
    ------
    TryElsewhere
        No connection could be had; nothing was sent.
    CallerError
    """
    ticket = make_ticket(request, cluster.costs.expected(request.route.database))
    async with dispatcher.acquire(need, ticket) as placement:
        trace = request.trace
        trace.attempts += 1
        trace.instance = placement.name
        trace.generation = placement.term
        trace.placed_at = cluster.clock()
        runtime = cluster.instances.get(placement.name)
        if runtime is None:
            raise TryElsewhere(placement.name, "instance is gone")
        try:
            connection = await runtime.pool.acquire(
                request.deadline_at, make_session_filter(request), pinned
            )
        except UpstreamBusy as error:
            cluster.counts.refusals += 1
            raise TryElsewhere(placement.name, f"no connection: {error}") from error
        except UpstreamUnreachable as error:
            if not runtime.uses_detour:
                runtime.record_failure()
            raise TryElsewhere(placement.name, f"not reached: {error}") from error
        if connection.lender:
            trace.lender = connection.lender
        try:
            yield placement, runtime, connection
        finally:
            if connection.state is not TransactionState.IDLE:
                connection.close()
            runtime.pool.release(connection)


def record_unanswered(runtime, connection):
    """Take in that an instance left a statement unanswered."""
    if not connection.lender:
        # Over a loan it may be the lender; a detour's own pings tell.
        runtime.record_failure()


def check_reply(placement, reply):
    """Raise what a refused statement calls for; return the reply otherwise.

    Raises
    ------
    TryElsewhere
        It did not run.
    RefusedByInstance
    """
    if reply.refusal is None:
        return reply
    if reply.not_run:
        raise TryElsewhere(placement.name, reply.code, reply)
    raise RefusedByInstance(reply.code, reply.detail)
