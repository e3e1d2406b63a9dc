"""
Limits of callers' sessions
===========================

Applies the memory budget and the descriptor plan to callers' connections: which
statement is refused, and which connection is closed.
"""

import asyncio
from collections import deque

from cardamomdrift.limits.idle_sessions import SessionUse, choose_idle
from cardamomdrift.limits.memory import MemoryBudget, MemoryHolder, choose_victims
from cardamomdrift.loops import repeat
from cardamomdrift.util import cancel_all

# Seconds for a message to be complete while memory is short.  A message of 1 MiB takes
# 1.7 s on the slowest link, of 5 Mbit/s.
SLOW_MESSAGE_TIMEOUT = 5.0
RELIEF_INTERVAL = 0.1  # seconds between two looks at the budget
RESUMED_AT_ONCE = 8  # connections that read on after one look
# Seconds after which a connection without START gives way to a new one.
UNSTARTED_GRACE = 0.5
# Idle sessions that are chosen at once, and seconds between two choices, since each
# looks at all sessions.
CHOSEN_AT_ONCE = 64
CHOICE_INTERVAL = 0.1


def _is_closable(session):
    return session.closable


class SessionLimits:
    """Limits of all callers' connections; an async context manager.

    Parameters
    ----------
    budget : MemoryBudget or None
        By default one of the default size.
    connection_limit : int or None
        Connections at once; None for any number.
    clock : callable
    log : structlog logger

    Attributes
    ----------
    budget : MemoryBudget
    refused_connections : int
    """

    def __init__(self, budget, connection_limit, clock, log):
        self.budget = budget or MemoryBudget()
        self._connection_limit = connection_limit
        self._clock = clock
        self._log = log
        self._sessions = set()
        self._unstarted = {}
        self._uses = {}
        self._chosen = deque()
        self._chosen_at = float("-inf")
        self._task = None
        self._relief = None
        self.refused_connections = 0

    async def __aenter__(self):
        self.budget.on_pressure = self._request_relief
        self._task = asyncio.create_task(repeat("memory relief", self._run, self._log))
        return self

    async def __aexit__(self, *exc_info):
        self.budget.on_pressure = None
        await cancel_all([self._task])

    # Connections

    def admit(self, session):
        """Return whether a new connection may stay, and account for it if so.

        At the limit the one that has waited longest for its START gives way, or else an
        idle session.
        """
        limit = self._connection_limit
        if limit is not None and len(self._sessions) >= limit:
            self.refused_connections += 1
            if not self._give_way():
                return False
        session.holder = session.stream.holder = MemoryHolder(self.budget)
        self._sessions.add(session)
        self._unstarted[session] = self._clock()
        return True

    def _give_way(self):
        """Close a connection in favour of a new one; return whether there is one."""
        oldest = next(iter(self._unstarted), None)
        if oldest is not None and self._waited(oldest) >= UNSTARTED_GRACE:
            victim = oldest
        else:
            victim = self._next_idle()
        if victim is None:
            return False
        self._close(victim, "too many connections")
        self.forget(victim)
        return True

    def _next_idle(self):
        """Return an idle session that may be closed, or None."""
        now = self._clock()
        if now - self._chosen_at >= CHOICE_INTERVAL:
            # An earlier choice is dropped: another owner may have most sessions now.
            chosen = choose_idle(self._uses, _is_closable, now, CHOSEN_AT_ONCE)
            self._chosen = deque(chosen)
            self._chosen_at = now
        while self._chosen:
            session = self._chosen.popleft()
            use = self._uses.get(session)
            if use and use.idle_time_over(now) and session.closable:
                return session
        return None

    def _waited(self, session):
        return self._clock() - self._unstarted[session]

    def mark_started(self, session):
        """Record that a connection has sent its START."""
        self._unstarted.pop(session, None)
        self._uses[session] = SessionUse(session.owner, self._clock())

    def mark_used(self, session):
        """Record that a statement was sent, or that it has ended."""
        use = self._uses.get(session)
        if use is not None:
            use.record_statement(self._clock())

    def forget(self, session):
        """Release what a connection held."""
        self._sessions.discard(session)
        self._unstarted.pop(session, None)
        self._uses.pop(session, None)
        session.stream.holder = None
        if session.holder is not None:
            session.holder.close()

    # Memory

    def refuses(self, session, size):
        """Return whether a statement that needs so many bytes is to be refused."""
        if size <= self.budget.share or session.holder.may_grow(size):
            return False
        self.budget.counts["refused"] += 1
        return True

    def _request_relief(self):
        if self._relief is None:
            self._relief = asyncio.get_running_loop().call_soon(self._relieve)

    def _relieve(self):
        """Close connections until something can grow again."""
        self._relief = None
        if self.budget.held <= self.budget.closing_limit:
            return
        entries = [
            (session, session.holder, session.idle and session.handler is not None)
            for session in self._sessions
        ]
        for session in choose_victims(self.budget, entries):
            self._close(session, "memory is short")

    async def _run(self):
        await asyncio.sleep(RELIEF_INTERVAL)
        if not self.budget.tight:
            return
        now = self._clock()
        for session in list(self._sessions):
            begun_at = session.message_begun_at(now)
            if begun_at is not None and now - begun_at > SLOW_MESSAGE_TIMEOUT:
                self._close(session, "message not complete")
        self._relieve()
        for _ in range(RESUMED_AT_ONCE):
            self.budget.resume_next()

    def _close(self, session, reason):
        self.budget.counts["closed"] += 1
        self._log.info(
            "caller's connection closed",
            reason=reason,
            held=session.holder.held,
            held_by_all=self.budget.held,
        )
        session.end()
