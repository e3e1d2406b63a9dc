"""
Candidates
==========

Asks the instances of a group whose primary is being replaced, and finds the one to
promote.  The decisions are in `failover.succession`.
"""

import asyncio

from cardamomdrift.clock import boot_clock
from cardamomdrift.errors import ReplacementFailed, UpstreamError
from cardamomdrift.failover.replacement import CATCH_UP_TIMEOUT
from cardamomdrift.failover.succession import (
    Candidate,
    Succession,
    can_take_over,
    choose_candidate,
    is_complete,
    make_holder,
    missing_holders,
)

ANSWER_TIMEOUT = 0.6  # seconds in which enough instances must answer
POLL_INTERVAL = 0.02  # seconds


class CandidateFinder:
    """Finds the instance that a replacement promotes.

    Parameters
    ----------
    holder_keeper : HolderKeeper
    log : structlog logger
    """

    def __init__(self, holder_keeper, log):
        self._holder_keeper = holder_keeper
        self._log = log

    async def find(self, cluster, intent):
        """Return the Candidate to promote, and the highest term seen.

        Raises
        ------
        ReplacementFailed
        """
        succession = self._make_succession(cluster, intent)
        deadline_at = boot_clock() + ANSWER_TIMEOUT
        while True:
            late = boot_clock() >= deadline_at
            candidates = await self._ask_instances(cluster, succession)
            chosen = choose_candidate(succession, candidates, late)
            if chosen is not None:
                self._log.info(
                    "candidate chosen",
                    group=cluster.group.name,
                    generation=intent.generation,
                    candidate=chosen.name,
                    leads=chosen.leads,
                    received=" ".join(
                        f"{candidate.name}={candidate.received}"
                        for candidate in candidates
                    ),
                )
                return chosen, max(
                    cluster.leadership.term,
                    *(candidate.term for candidate in candidates),
                )
            if late:
                raise ReplacementFailed(self._explain(succession, candidates))
            await asyncio.sleep(POLL_INTERVAL)

    async def wait_caught_up(self, cluster, old, intent):
        """Wait until a replica has the last commits of a draining primary.

        After CATCH_UP_TIMEOUT the replacement goes on without them, unless the group
        has synchronous replicas and the primary still answers.
        """
        last = None
        try:
            async with asyncio.timeout(CATCH_UP_TIMEOUT):
                last = await old.prober.ping(read_only=True)
                succession = self._make_succession(cluster, intent)
                while last is not None and not can_take_over(
                    succession, await self._ask_instances(cluster, succession), last
                ):
                    await asyncio.sleep(POLL_INTERVAL)
                return
        except (UpstreamError, TimeoutError) as error:
            self._log.warning(
                "no replica has caught up",
                group=cluster.group.name,
                last=str(last),
                error=f"{type(error).__name__} {error}",
            )
        if last is not None and cluster.group.synchronous:
            raise ReplacementFailed("only the old primary has the last commits")

    async def check_log_kept(self, cluster, candidate):
        """Check that the candidate has not restarted without its log meanwhile."""
        name = candidate.name
        answer = None
        if name in cluster.instances:
            runtime = cluster.instances[name]
            answer = await self._ask_candidate(cluster, name, runtime)
        if answer is None or answer.received < candidate.received:
            raise ReplacementFailed(f"{name} does not answer with its log any more")

    def _make_succession(self, cluster, intent):
        leadership = cluster.leadership
        return Succession(
            leadership.primary,
            leadership.term,
            cluster.group.synchronous,
            self._holder_keeper.holders(cluster),
            intent.called,
        )

    @staticmethod
    def _explain(succession, candidates):
        """Return why there is no candidate, for operators."""
        if is_complete(succession, candidates):
            return "only the old primary has the last commits, and it is draining"
        if not succession.synchronous:
            return "no replica answers"
        names = [holder.name for holder in missing_holders(succession, candidates)]
        return (
            f"acknowledged commits may be missing: {len(names)} logs are not known, "
            f"{succession.synchronous} may be ({', '.join(names)})"
        )

    async def _ask_instances(self, cluster, succession):
        """Return the Candidates among the instances.

        The former primary, which may not answer, is asked only if the others are not
        enough.
        """
        answers = await asyncio.gather(
            *(
                self._ask_candidate(cluster, name, runtime)
                for name, runtime in cluster.instances.items()
                if name != succession.former
            )
        )
        candidates = [answer for answer in answers if answer is not None]
        former = cluster.instances.get(succession.former)
        if former is not None and not is_complete(succession, candidates):
            answer = await self._ask_candidate(cluster, succession.former, former)
            candidates += [] if answer is None else [answer]
        return candidates

    async def _ask_candidate(self, cluster, name, runtime):
        try:
            status = await runtime.prober.status()
        except (UpstreamError, TimeoutError) as error:
            self._log.info(
                "candidate not reached",
                instance=name,
                error=f"{type(error).__name__} {error}",
            )
            return None
        observed = cluster.view.instances.get(name)
        holder = make_holder(runtime.spec)
        if observed is not None and status.received < observed.position:
            # It has restarted without its log since the list was read.
            holder = None
        return Candidate(
            name,
            status.received,
            runtime.spec.draining,
            status.term,
            status.primary,
            holder,
        )
