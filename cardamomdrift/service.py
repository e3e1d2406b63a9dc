"""
Service
=======

Serves the requests of a daemon's MySQL callers: finds the group and the request class
of a request and the floor rule of a read, runs the request in the group, and counts its
outcome.
"""

import asyncio
import time
from collections import Counter
from contextlib import AsyncExitStack

from returns.result import Failure, Success

from cardamomdrift.bundle.model import RequestKind
from cardamomdrift.errors import (
    BadRequest,
    CallerError,
    RefusedByInstance,
    ShuttingDown,
    UnknownDatabase,
)
from cardamomdrift.routing.floor import make_floor_rule, needs_primary
from cardamomdrift.routing.group import GroupRuntime
from cardamomdrift.routing.reads import ReadRequest
from cardamomdrift.routing.transactions import IDLE_LIMIT, TransactionRequest
from cardamomdrift.routing.writes import WriteRequest
from cardamomdrift.sessions.options import check_options
from cardamomdrift.sessions.token import decode_token, encode_token
from cardamomdrift.telemetry.burn import GOOD, BurnCounter
from cardamomdrift.telemetry.instruments import add_instruments
from cardamomdrift.telemetry.metrics import Metrics
from cardamomdrift.util import cancel_all, keep_task

MAINTENANCE_INTERVAL = 1.0  # seconds
DRAIN_POLL_INTERVAL = 0.02  # seconds between two checks for unfinished requests


class Service:
    """The group runtimes of one daemon and the requests that they run.

    Parameters
    ----------
    context : GroupContext
    token_key : bytes
        Key that signs session tokens.
    """

    def __init__(self, context, token_key):
        self._context = context
        self._token_key = token_key
        self._clock = context.clock
        self._bundle = None
        self._include_primary = False
        self._groups = {}
        self._exit_stacks = {}
        self._databases = {}
        self._closing_tasks = set()
        self._membership = None
        self._active_requests = 0
        self._transactions = set()
        self._draining = False
        self._maintenance_task = None
        self._outcomes = Counter()
        self._reads_by_role = {"replica": 0, "primary": 0}
        self.metrics = Metrics(context.vm.name)
        self.burn = BurnCounter()
        add_instruments(self.metrics, self)

    @property
    def bundle(self):
        """The Bundle in force, or None before the first."""
        return self._bundle

    @property
    def groups(self):
        """Group runtimes by name."""
        return self._groups

    @property
    def active_count(self):
        """Number of unfinished requests and transactions."""
        return self._active_requests + len(self._transactions)

    @property
    def draining(self):
        """Whether the daemon refuses new requests."""
        return self._draining

    def outcomes(self):
        """Return the number of finished requests by request class and outcome."""
        return dict(self._outcomes)

    def reads_by_role(self):
        """Return the number of reads by the role of the instance that served them."""
        return dict(self._reads_by_role)

    async def __aenter__(self):
        self._maintenance_task = asyncio.create_task(self._run_maintenance())
        return self

    async def __aexit__(self, *exc_info):
        await cancel_all([self._maintenance_task, *self._closing_tasks])
        await self.close_groups()
        self.metrics.close()

    # Bundle and membership

    async def apply_bundle(self, bundle_in_force):
        """Apply a newer bundle: start new and changed groups and close old ones."""
        bundle = bundle_in_force.bundle
        removed = dict(self._groups)
        groups = {}
        for name, spec in bundle.groups.items():
            if name in removed and removed[name].spec == spec:
                groups[name] = removed.pop(name)
            else:
                groups[name] = await self._start_group(spec)
        self._groups = groups
        self._bundle = bundle
        self._include_primary = needs_primary(
            request_class
            for request_class in bundle.classes.values()
            if request_class.kind is RequestKind.WRITE
        )
        self._databases = {
            database: groups[spec.name]
            for spec in bundle.groups.values()
            for database in spec.databases
        }
        for group in removed.values():
            self._close_when_idle(group)

    async def _start_group(self, spec):
        group = GroupRuntime(spec, self._context)
        stack = AsyncExitStack()
        await stack.enter_async_context(group)
        self._exit_stacks[group] = stack
        if self._membership is not None:
            self._apply_membership(group)
        return group

    def _close_when_idle(self, group):
        keep_task(self._closing_tasks, self._close_group(group))

    async def _close_group(self, group):
        """Close a group's connections when its requests have ended.

        After the idle limit of transactions it closes them in any case.
        """
        deadline_at = self._clock() + IDLE_LIMIT
        while self._clock() < deadline_at and any(
            instance.in_flight for instance in group.components.instances.values()
        ):
            await asyncio.sleep(DRAIN_POLL_INTERVAL)
        await self._exit_stacks.pop(group).aclose()

    def set_membership(self, membership):
        """Apply a Membership to all groups.

        It determines this VM's share of upstream connections, and which VMs and
        instances are leaving.
        """
        self._membership = membership
        for group in self._groups.values():
            self._apply_membership(group)

    def _apply_membership(self, group):
        membership = self._membership
        group.set_members(len(membership.counted), membership.may_connect)
        group.set_leaving(membership.leaving)

    # Requests

    def group_for(self, database):
        """Return the group that holds a database; the first group for None.

        Raises
        ------
        UnknownDatabase
        ShuttingDown
        """
        if self._draining:
            raise ShuttingDown("the daemon is shutting down", 0.1)
        if self._bundle is None:
            raise ShuttingDown("no bundle is in force yet", 1.0)
        if database is None:
            return next(iter(self._groups.values()))
        group = self._databases.get(database)
        if group is None:
            raise UnknownDatabase(f"database {database} is in no group")
        return group

    def check_options(self, values, kind):
        """Return the RequestOptions of a request.

        Raises
        ------
        BadRequest
        ShuttingDown
            If no bundle is in force yet.
        """
        if self._bundle is None:
            raise ShuttingDown("no bundle is in force yet", 1.0)
        match check_options(values, self._bundle, kind):
            case Success(options):
                return options
            case Failure(error):
                raise error

    def read_token(self, text):
        """Return the positions by group in a session token.

        Raises
        ------
        BadToken
        """
        match decode_token(self._token_key, text):
            case Success(positions):
                return positions
            case Failure(error):
                raise error

    def make_token(self, positions):
        """Return the session token that holds positions by group."""
        return encode_token(self._token_key, positions)

    async def read(self, sql, options, session):
        """Run a read and return its ReadAnswer.

        Raises
        ------
        CallerError
        """
        with self.counted(options):
            group = self.group_for(session.database)
            now = self._clock()
            token = self._token_position(options, group)
            request = ReadRequest(
                sql=sql,
                database=session.database,
                caller=session.caller,
                rule=make_floor_rule(
                    options,
                    now,
                    session.connected_at,
                    session.positions.get(group.spec.name),
                    token,
                ),
                token_position=token,
                include_primary=self._include_primary,
                priority=options.request_class.priority,
                arrived_at=now,
                deadline_at=now + options.deadline,
            )
            answer = await group.read(request)
            role = "replica" if answer.replica else "primary"
            self._reads_by_role[role] += 1
            return answer

    def _token_position(self, options, group):
        if options.token is None:
            return None
        return self.read_token(options.token).get(group.spec.name)

    async def write(self, sql, options, session):
        """Run a write, record its position in the session and return its answer.

        Raises
        ------
        CallerError
        """
        with self.counted(options):
            if session.database is None:
                raise UnknownDatabase("a write needs a database")
            group = self.group_for(session.database)
            now = self._clock()
            request_class = options.request_class
            answer = await group.write(
                WriteRequest(
                    sql=sql,
                    database=session.database,
                    caller=session.caller,
                    key=options.key,
                    repeatable=request_class.repeatable,
                    durability=request_class.durability,
                    priority=request_class.priority,
                    arrived_at=now,
                    deadline_at=now + options.deadline,
                )
            )
            session.record_write(group.spec.name, answer.position)
            return answer.answer

    async def begin(self, sql, options, session):
        """Open a transaction; return it and the name of its group.

        Raises
        ------
        CallerError
        """
        group = self.group_for(session.database)
        request_class = options.request_class
        transaction = await group.begin(
            TransactionRequest(
                begin_sql=sql,
                database=session.database,
                caller=session.caller,
                key=options.key,
                durability=request_class.durability,
                priority=request_class.priority,
                at_least=session.floor_for(group.spec.name, self, options),
                arrived_at=self._clock(),
                statement_deadline=options.deadline,
            )
        )
        self._transactions.add(transaction)
        return transaction, group.spec.name

    def transaction_ended(self, transaction):
        """Remove a transaction from the unfinished ones."""
        self._transactions.discard(transaction)

    def counted(self, options):
        """Return a context manager that counts its body as one request."""
        return _CountedRequest(self, options.request_class.name, self._clock)

    def request_started(self):
        """Count a request as unfinished."""
        self._active_requests += 1

    def request_finished(self, class_name, outcome, started):
        """Record a finished request in the metrics and the error budget.

        Parameters
        ----------
        class_name : str
            Name of the request class.
        outcome : str
            ``good`` or the name of the error class.
        started : float
            Clock time at which the request began.
        """
        self._active_requests -= 1
        self._outcomes[class_name, outcome] += 1
        self.metrics.duration.record(self._clock() - started, {"class": class_name})
        if outcome not in _CALLER_FAULT_OUTCOMES:
            self.burn.record(class_name, outcome, time.time())

    # Maintenance and shutdown

    async def _run_maintenance(self):
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL)
            now = self._clock()
            for group in self._groups.values():
                group.trim(now)
            for transaction in list(self._transactions):
                if now - transaction.idle_since > IDLE_LIMIT:
                    await transaction.abandon()

    def refuse_new_requests(self):
        """Refuse new requests from now on."""
        self._draining = True

    async def close_groups(self):
        """Close all groups and their connections to instances."""
        self._groups = {}
        while self._exit_stacks:
            _, stack = self._exit_stacks.popitem()
            await stack.aclose()

    async def drain(self, timeout):
        """Refuse new requests; return whether the running ones ended in time."""
        self.refuse_new_requests()
        deadline_at = self._clock() + timeout
        while self.active_count and self._clock() < deadline_at:
            await asyncio.sleep(DRAIN_POLL_INTERVAL)
        return not self.active_count


class _CountedRequest:
    """Context manager that counts one request and its outcome."""

    __slots__ = ("_class_name", "_clock", "_service", "_started")

    def __init__(self, service, class_name, clock):
        self._service = service
        self._class_name = class_name
        self._clock = clock

    def __enter__(self):
        self._started = self._clock()
        self._service.request_started()

    def __exit__(self, error_type, error, traceback):
        if error_type is None:
            outcome = GOOD
        elif issubclass(error_type, CallerError | asyncio.CancelledError):
            outcome = error_type.__name__
        else:
            outcome = "InternalError"
        self._service.request_finished(self._class_name, outcome, self._started)


def _error_class_names(error_class):
    yield error_class.__name__
    for subclass in error_class.__subclasses__():
        yield from _error_class_names(subclass)


# Outcomes that do not spend the error budget of their request class.
_CALLER_FAULT_OUTCOMES = frozenset(
    [*_error_class_names(BadRequest), RefusedByInstance.__name__]
)
