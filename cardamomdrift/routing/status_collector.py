"""
Status collector
================

Collects the statuses of a group's instances and answers the questions that wait for
them.  One status counts for every question that began before its probe, so the number
of probes does not grow with the number of requests.
"""

import asyncio
from dataclasses import dataclass

from cardamomdrift.routing.proof import (
    FloorProven,
    FloorQuestion,
    Pending,
    answer_question,
    instances_to_probe,
)
from cardamomdrift.routing.samples import FloorHistory, Sample

SAMPLES_PER_AGE = 8  # samples within the maximum age of a read
REFRESH_TIMEOUT = 1.0  # seconds until a sample without an answer is started again


@dataclass(frozen=True, slots=True)
class _TimedStatus:
    """The last status of an instance, and when its probe began."""

    begun_at: float
    status: object


class StatusCollector:
    """Statuses of one group, and the open questions that they answer.

    Parameters
    ----------
    spec : GroupSpec
    view : GroupView
    request_probe : callable
        Requests a new status of an instance, by name.
    """

    def __init__(self, spec, view, request_probe):
        self._spec = spec
        self._view = view
        self._request_probe = request_probe
        self._statuses = {}
        self._questions = {}
        self._floors = FloorHistory()
        self._refresh_question = None

    @property
    def open_questions(self):
        """Number of questions that have no answer yet."""
        return len(self._questions)

    def add_status(self, name, status, begun_at, now):
        """Add a status, and answer the questions that it decides."""
        self._view.observe(name, status, begun_at, now)
        last = self._statuses.get(name)
        if last is None or begun_at > last.begun_at:
            self._statuses[name] = _TimedStatus(begun_at, status)
        for question, _ in list(self._questions.values()):
            self._try_answer(question)

    def probe_again(self, name):
        """Request another probe after a failure, if a question still needs it."""
        for question, _ in self._questions.values():
            statuses = self.statuses_since(question.since)
            if name in instances_to_probe(
                question, statuses, self._spec.instance_names
            ):
                self._request_probe(name)
                return

    def statuses_since(self, time):
        """Return the statuses whose probes began at or after a time, by instance."""
        return {
            name: entry.status
            for name, entry in self._statuses.items()
            if entry.begun_at >= time
        }

    def _try_answer(self, question):
        statuses = self.statuses_since(question.since)
        result = answer_question(question, statuses)
        if isinstance(result, Pending):
            for name in instances_to_probe(
                question, statuses, self._spec.instance_names
            ):
                self._request_probe(name)
            return
        if isinstance(result, FloorProven):
            self._floors.add(Sample(question.since, result.floor))
        _, future = self._questions.pop(id(question))
        if not future.done():
            future.set_result(result)

    async def ask(self, question, deadline_at):
        """Wait for the answer to a question and return it.

        Raises
        ------
        TimeoutError
            If there is none by the deadline.
        """
        future = asyncio.get_running_loop().create_future()
        self._questions[id(question)] = (question, future)
        self._try_answer(question)
        try:
            async with asyncio.timeout_at(deadline_at):
                return await future
        finally:
            self._questions.pop(id(question), None)

    def _sample_ahead(self, rule, now, include_primary):
        """Start a sample for later reads with a maximum age, if one is due.

        A read may use the oldest sample within its maximum age.  The older the sample,
        the more replicas have reached it, so samples must be more frequent than the
        maximum age.
        """
        if rule.since is None or now - self._floors.newest_begun_at < (
            (now - rule.since) / SAMPLES_PER_AGE
        ):
            return
        if self._refresh_question is not None:
            if now - self._refresh_question.since < REFRESH_TIMEOUT and self._is_open(
                self._refresh_question
            ):
                return
            self._questions.pop(id(self._refresh_question), None)
        self._refresh_question = FloorQuestion(
            now, self._spec.majority, include_primary
        )
        future = asyncio.get_running_loop().create_future()
        self._questions[id(self._refresh_question)] = (self._refresh_question, future)
        self._try_answer(self._refresh_question)

    def _is_open(self, question):
        return id(question) in self._questions

    async def floor(self, rule, now, include_primary, deadline_at):
        """Return the floor that satisfies a rule.

        Raises
        ------
        TimeoutError
            If no majority has answered by the deadline.
        """
        floor = self._floors.find(rule)
        if floor is not None:
            self._sample_ahead(rule, now, include_primary)
            return floor
        question = FloorQuestion(now, self._spec.majority, include_primary)
        proven = await self.ask(question, deadline_at)
        return max(proven.floor, rule.at_least)
