"""
Deputies of homes
=================

Asks the voters whether they hear the homes of customers and the deputies before this
daemon, so that it may grant in their place.
"""

import asyncio

from cardamomdrift.limits.homes import ECHO_VALIDITY, SILENCE_TIME, VOUCH_TIME
from cardamomdrift.peers.credit import CREDIT_FORMAT, SilenceAnswer
from cardamomdrift.util import MILLISECONDS, cancel_all, keep_task, seconds

QUERY_INTERVAL = VOUCH_TIME / 3  # seconds between two rounds of questions
# Seconds from a question to its last answer.  Of two voters that answer further apart,
# one may have echoed a member's heartbeat before its answer, the other one after it.
ANSWER_TIME = SILENCE_TIME - ECHO_VALIDITY
# Seconds for which the voters are asked after the last sign of need: a request for
# credit, or the home's silence.
WATCH_TIME = SILENCE_TIME + 0.5


class QuotaDeputy:
    """Questions of a deputy to the voters, and the answers of a voter.

    Parameters
    ----------
    roster : Roster
    homes : CustomerHomes
    clock : callable
        Returns the boot clock in seconds.
    log : structlog logger
    """

    def __init__(self, roster, homes, clock, log):
        self._roster = roster
        self._homes = homes
        self._clock = clock
        self._log = log
        self._needed_until = {}
        self._is_watching = False
        self._tasks = set()

    async def close(self):
        """End the questions under way."""
        await cancel_all(self._tasks)

    def answer(self, query):
        """Return the SilenceAnswer to a deputy."""
        silences = tuple(
            int(self._silence(daemon) * MILLISECONDS) for daemon in query.daemons
        )
        epoch = self._roster.voters.epoch
        return SilenceAnswer(CREDIT_FORMAT, query.sequence, epoch, silences)

    def _silence(self, daemon):
        """Return for how long this daemon, as a voter, has not heard another one."""
        peer = self._roster.peers.get(daemon)
        if peer is None or self._roster.vm not in self._roster.voters.names:
            return 0.0
        # An earlier process of this daemon may have heard it until this one began.
        heard_at = peer.added_at if peer.heard_at is None else peer.heard_at
        return max(self._clock() - heard_at, 0.0)

    def require(self, customer, port):
        """Ask the voters for a customer if this daemon is a deputy of its home."""
        if not self._homes.members_before(customer):
            return
        self._needed_until[customer] = self._clock() + WATCH_TIME
        if not self._is_watching:
            self._is_watching = True
            keep_task(self._tasks, self._watch(port))

    async def _watch(self, port):
        """Ask as long as deputies are needed, also for customers with few operations.

        One question to each voter is for all customers.
        """
        try:
            while self._needed_until:
                for customer in await self._ask(port):
                    self._needed_until[customer] = self._clock() + WATCH_TIME
                await asyncio.sleep(QUERY_INTERVAL)
                now = self._clock()
                self._needed_until = {
                    customer: until
                    for customer, until in self._needed_until.items()
                    if until > now and self._homes.members_before(customer)
                }
        finally:
            self._is_watching = False

    async def _ask(self, port):
        """Ask all voters once; return the customers for which this daemon may grant."""
        voters, begun_at = self._roster.voters, self._clock()
        customers = tuple(self._needed_until)
        daemons = tuple(frozenset().union(*map(self._homes.members_before, customers)))
        silent = await asyncio.gather(
            *(
                self._silent_at(name, daemons, voters.epoch, port)
                for name in voters.names
            )
        )
        now = self._clock()
        if not voters.names or voters != self._roster.voters:
            return []
        if now - begun_at > ANSWER_TIME:
            return []
        granted = {each for each in customers if self._homes.vouched_for(each, now) > 0}
        count = len(voters.names)
        vouched = self._homes.vouch(customers, silent, count, begun_at, now)
        for customer in vouched:
            if customer not in granted:
                before = self._homes.members_before(customer)
                self._log.info(
                    "deputy grants for silent home",
                    customer=customer,
                    home=self._homes.home_of(customer),
                    rank=len(before),
                    silent_at=sum(before <= names for names in silent),
                    voters=count,
                )
        return vouched

    async def _silent_at(self, name, daemons, epoch, port):
        """Return those of some daemons that a voter has not heard lately."""
        if name == self._roster.vm:
            silences = [self._silence(daemon) for daemon in daemons]
        else:
            peer = self._roster.peers.get(name)
            answer = None
            if peer is not None:
                answer = await port.ask_silence(peer.address, daemons)
            if answer is None or answer.epoch != epoch:
                return frozenset()
            silences = map(seconds, answer.silences_ms)
        return frozenset(
            daemon
            for daemon, silence in zip(daemons, silences, strict=False)
            if silence >= SILENCE_TIME
        )
