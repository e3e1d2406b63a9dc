"""
Attempt
=======

One attempt to run a statement on an instance: acquires a placement and a connection,
brings the connection to the session's state, sends the statement and checks the reply.
"""

from contextlib import asynccontextmanager, contextmanager
from dataclasses import replace

from cardamomdrift.clock import boot_clock
from cardamomdrift.deployment import RouteKind
from cardamomdrift.errors import (
    DeadlinePassed,
    RefusedByInstance,
    SessionStateRefused,
    SetupBusy,
    UpstreamBusy,
    UpstreamUnreachable,
)
from cardamomdrift.limits.admission import make_ticket
from cardamomdrift.ports import Refusal, TransactionState
from cardamomdrift.position import ORIGIN
from cardamomdrift.routing.choice import LOAN_TIME
from cardamomdrift.sessions.commands import Execute
from cardamomdrift.sessions.state import (
    SHORT_NAME,
    plan_setup,
    record_setup,
    upstream_name,
)

RETRY_PAUSE = 0.02  # seconds; about one statement's time, after which a slot is free
# Seconds.  The pause doubles up to this limit each time that all instances have refused
# a request, so that many waiting requests do not ask lagging replicas all the time.
RETRY_PAUSE_LIMIT = 0.16
RETRY_AFTER = 0.2  # seconds, sent to callers; a replacement takes about twice as long


class TryElsewhere(Exception):
    """An attempt failed without effect; another instance may be tried.

    Attributes
    ----------
    instance : str
    reason : str
    reply : Reply or None
        Reply with which the instance refused; None if there was none.
    """

    def __init__(self, instance, reason, reply=None):
        super().__init__(f"{instance}: {reason}")
        self.instance = instance
        self.reason = reason
        self.reply = reply

    @property
    def behind(self):
        """Whether the instance was below the floor."""
        return self.reply is not None and self.reply.refusal is Refusal.BEHIND

    @property
    def busy(self):
        """Whether the instance had no room for the statement or its setup."""
        if isinstance(self.__cause__, SetupBusy):
            return True
        return self.reply is not None and self.reply.refusal is Refusal.BUSY


def all_tried(cluster, tried):
    """Whether no usable instance is left that has not been tried."""
    return all(
        name in tried for name, runtime in cluster.instances.items() if runtime.usable
    )


def retry_pause(rounds):
    """Return the seconds to wait after all instances have refused a request.

    Parameters
    ----------
    rounds : int
        Number of times that they had refused it before.
    """
    return min(RETRY_PAUSE * 2**rounds, RETRY_PAUSE_LIMIT)


def find_read_floor(cluster, request):
    """Return the floor of a read, or None if only the primary may serve it.

    Only the primary may serve reads of routes to the primary, reads without a maximum
    age, reads for which no sample is recent enough, and reads whose message has no room
    for the floor.  The floor is also recorded in the request's trace.

    Parameters
    ----------
    cluster : Cluster
    request : StatementRequest
    """
    route = request.route
    if route.kind is RouteKind.PRIMARY or route.max_age is None:
        return None
    if not request.extensible:
        return None
    last_write = request.last_write or ORIGIN
    since = max(request.arrived_boot - route.max_age, request.sample_since)
    floor = cluster.find_floor(since, last_write)
    request.trace.floor = floor
    return floor


def with_floor(command, floor):
    """Return a copy of a command that an instance below the floor refuses."""
    return replace(command, floor=floor)


async def run_command(cluster, connection, instance_name, request, command):
    """Run a command on a connection, after bringing it to the session's state.

    Returns
    -------
    Reply

    Raises
    ------
    UpstreamError
    """
    prepared = request.prepared
    if isinstance(command, Execute) and prepared is not None:
        command = replace(command, name=upstream_name(prepared, request.extensible))
    in_transaction = connection.state is not TransactionState.IDLE
    setup = plan_setup(
        connection.loaded, request.values, prepared, request.extensible, in_transaction
    )
    step = (request.request_id, command)
    request.trace.sent_bytes = None
    reply = await send_with_setup(cluster, connection, instance_name, setup, step)
    request.trace.sent_bytes = reply.sent_bytes
    if reply.refusal is Refusal.NO_SUCH_STATEMENT:
        # The short name is closed before its next use, which needs it to be known.
        connection.loaded.prepared &= {SHORT_NAME}
    return reply


async def send_with_setup(cluster, connection, instance_name, setup, step):
    """Send setup commands and a final step in one exchange; return the last Reply.

    Parameters
    ----------
    cluster : Cluster
    connection : StatementConnection
    instance_name : str
    setup : list
        Commands from `plan_setup`.
    step : tuple of (str or None, command)
        See `StatementConnection.exchange`.

    Raises
    ------
    UpstreamError
    RefusedByInstance
        The instance refused the setup, and the final step did not run.  It is SetupBusy
        if it had no room for the setup.
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
    behind = reply.refusal is Refusal.BEHIND
    cluster.record_reply(instance_name, reply.position, begun_boot, direct, behind)
    elapsed = boot_clock() - begun_boot - (0.0 if direct else LOAN_TIME)
    usual = cluster.costs.typical
    now = cluster.clock()
    cluster.pacing.load.record(instance_name, elapsed, usual, now)
    if any(reply.refusal is Refusal.BUSY for reply in replies):
        cluster.pacing.room.record_refusal(instance_name, now)
    refused = [reply for reply in replies[:-1] if reply.refusal is not None]
    if not refused:
        record_setup(connection.loaded, setup)
        return reply
    connection.close()
    if reply.not_run:
        is_busy = refused[0].refusal is Refusal.BUSY
        error = SetupBusy if is_busy else RefusedByInstance
        raise error(refused[0].code, refused[0].detail)
    reason = f"the session's state was refused: {refused[0].code}"
    raise SessionStateRefused(reason)


def make_session_filter(request):
    """Return a predicate: whether a connection already holds the session's values."""
    return lambda connection: connection.loaded.values == request.values


@contextmanager
def count_primary_write(cluster):
    """Count a write or a commit while it runs on the primary.

    A planned replacement waits for a limited time until none is running.
    """
    cluster.writes_in_flight += 1
    try:
        yield
    finally:
        cluster.writes_in_flight -= 1


def make_statement_ticket(costs, request):
    """Return the Ticket with which a StatementRequest queues.

    Parameters
    ----------
    costs : CostEstimator
    request : StatementRequest
    """
    cost = costs.expected(request.route.database)
    ticket = make_ticket(request, cost, aim_at=request.aim_at)
    ticket.customer = request.identity.customer
    return ticket


@asynccontextmanager
async def acquire_connection(cluster, dispatcher, need, request, pinned=False):
    """Hold a placement and a connection for a request, or for a whole transaction.

    Parameters
    ----------
    cluster : Cluster
    dispatcher : Dispatcher
    need : ForRead or ForWrite or ForTransaction
    request : StatementRequest
    pinned : bool
        Whether a transaction will hold the connection.

    Yields
    ------
    tuple of (Placement, InstanceRuntime, StatementConnection)

    Raises
    ------
    TryElsewhere
        No connection could be acquired; nothing was sent.
    CallerError
    """
    ticket = make_statement_ticket(cluster.costs, request)
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
                request.deadline_at,
                make_session_filter(request),
                pinned,
                request.identity,
            )
        except UpstreamBusy as error:
            raise TryElsewhere(placement.name, f"no connection: {error}") from error
        except UpstreamUnreachable as error:
            if not runtime.uses_detour:
                runtime.record_failure()
            raise TryElsewhere(placement.name, f"not reached: {error}") from error
        if connection.lender:
            trace.lender = connection.lender
        try:
            await request.guard.charge()
            if cluster.clock() >= request.deadline_at:
                raise DeadlinePassed("no time is left to send it", RETRY_AFTER)
            request.guard.check_access()
            yield placement, runtime, connection
        finally:
            if connection.state is not TransactionState.IDLE:
                connection.close()
            runtime.pool.release(connection)


def record_unanswered(runtime, connection, error):
    """Record an unanswered statement, unless the connection is borrowed.

    An instance that refused the session's state has answered.
    """
    if not connection.lender and not isinstance(error, SessionStateRefused):
        # On a borrowed connection the lender may be the one that failed; the pings over
        # the detour tell whether the instance answers.
        runtime.record_failure()


def check_reply(placement, reply):
    """Return the reply of a successful statement; raise an error for a refused one.

    Raises
    ------
    TryElsewhere
        The statement did not run.
    RefusedByInstance
    """
    if reply.refusal is None:
        return reply
    if reply.not_run:
        raise TryElsewhere(placement.name, reply.code, reply)
    raise RefusedByInstance(reply.code, reply.detail)
