"""
Request recorder
================

Records each request in one log line and in the metrics.  The line has the instance and
the generation that decided the request, how long the permission was still valid, and
the request's times and outcome.
"""

from cardamomdrift.clock import boot_clock
from cardamomdrift.errors import NotRun, RefusedByInstance
from cardamomdrift.util import MILLISECONDS

SERVED = "served"
# Requests; more than a daemon serves until its metrics are loaded.
BUFFERED_CALL_LIMIT = 5000


def _milliseconds(seconds):
    return None if seconds is None else round(seconds * MILLISECONDS, 1)


class BufferedMetrics:
    """Buffers requests until the metrics library has been loaded."""

    def __init__(self):
        self._calls = []

    def observe(self, *values):
        """Buffer a request's kind, outcome and times."""
        self._buffer("observe", values)

    def count(self, *values):
        """Buffer a request that was refused before it was built."""
        self._buffer("count", values)

    def _buffer(self, name, values):
        if len(self._calls) < BUFFERED_CALL_LIMIT:
            self._calls.append((name, values))

    def replay(self, metrics):
        """Record everything buffered in the real metrics."""
        for name, values in self._calls:
            getattr(metrics, name)(*values)
        self._calls.clear()


def _refusal_fields(error):
    """Return the code with which an instance refused a statement, if one did."""
    return {"code": error.code} if isinstance(error, RefusedByInstance) else {}


class RequestRecorder:
    """Records requests in the log and in metrics.

    Parameters
    ----------
    log : structlog logger
    permission : Permission
    proof_milliseconds : callable, optional
        Returns for how long the proof of freshness is still valid, in milliseconds.
        None where customers are not in force; the lines then name no customer.
    """

    def __init__(self, log, permission, proof_milliseconds=None):
        self._proof_milliseconds = proof_milliseconds
        self._log = log
        self._permission = permission
        self._metrics = BufferedMetrics()

    def use_metrics(self, metrics):
        """Switch to a RequestMetrics and record in it what was buffered before."""
        self._metrics.replay(metrics)
        self._metrics = metrics

    def record(self, request_id, database, request, error, now):
        """Record the outcome of a request.

        Parameters
        ----------
        request_id : str
        database : str
        request : StatementRequest or None
            None if the request was refused before it was built.
        error : CallerError or None
        now : float
        """
        outcome = SERVED if error is None else type(error).__name__
        if request is None:
            self._metrics.count("none", outcome)
            self._log.warning(
                "request failed",
                id=request_id,
                database=database,
                **self._customer_fields(request),
                outcome=outcome,
            )
            return
        trace = request.trace
        elapsed = now - request.arrived_at
        placed_at = request.deadline_at if trace.placed_at is None else trace.placed_at
        waited = min(placed_at, now) - request.arrived_at
        self._metrics.observe(request.route.kind.name.lower(), outcome, elapsed, waited)
        fields = {
            "id": request_id,
            "database": database,
            "group": request.route.group,
            "kind": request.route.kind.name.lower(),
            **self._customer_fields(request),
            "command": type(request.command).__name__.lower(),
            "instance": trace.instance or None,
            "lender": trace.lender or None,
            "last_write": str(request.last_write) if request.last_write else None,
            "floor": str(trace.floor) if trace.floor else None,
            "generation": trace.generation,
            "permission_ms": _milliseconds(self._permission.until - boot_clock()),
            "payload_bytes": request.payload_bytes or None,
            "sent_bytes": trace.sent_bytes,
            "attempts": trace.attempts,
            "waited_ms": _milliseconds(waited),
            "took_ms": _milliseconds(elapsed),
            "on_the_way": "; ".join(trace.events) or None,
            "outcome": outcome,
        }
        if error is None:
            self._log.info("request served", **fields)
            return
        self._log.warning(
            "request failed",
            **fields,
            not_run=isinstance(error, NotRun) and not trace.sent,
            **_refusal_fields(error),
            reason=str(error),
        )

    def _customer_fields(self, request):
        """Return the fields with which keys were checked; none without customers."""
        if self._proof_milliseconds is None:
            return {}
        customer = None if request is None else request.identity.customer
        return {"customer": customer, "proof_ms": self._proof_milliseconds()}
