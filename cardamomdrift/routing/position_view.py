"""
Position view
=============

What a daemon knows of a group whose protocol carries positions in its replies: the
position that each instance has reached, and which one may be used as the primary.
"""

from cardamomdrift.routing.expected_position import (
    PositionAnswer,
    expected_catch_up_time,
    shows_delay,
)
from cardamomdrift.routing.view import RATE_WEIGHT, InstanceView


class PositionView:
    """Positions of one group's instances, and the group's primary.

    Parameters
    ----------
    leadership : Leadership
    permitted : callable
        Returns whether a settled primary may be used now.
    history : FloorHistory
        Samples of the primary.
    boot_clock : callable
        Clock of the samples.

    Attributes
    ----------
    answers : dict of str to PositionAnswer
        Last answers, by instance.
    instances : dict of str to InstanceView
    """

    def __init__(self, leadership, permitted, history, boot_clock):
        self._leadership = leadership
        self._permitted = permitted
        self._history = history
        self._boot_clock = boot_clock
        self.answers = {}
        self.instances = {}

    @property
    def primary(self):
        """Name of the primary, or None while it must not be used."""
        leadership = self._leadership
        name = leadership.primary
        if not leadership.settled or name not in self.instances:
            return None
        return name if self._permitted() else None

    @property
    def term(self):
        """Generation: number of the last known replacement of the primary.

        The dispatcher uses it in place of the term of a `GroupView`.
        """
        return self._leadership.generation

    def add(self, name):
        """Add an instance, if it is not known yet."""
        self.instances.setdefault(name, InstanceView())

    def drop(self, name):
        """Remove an instance."""
        self.instances.pop(name, None)
        self.answers.pop(name, None)

    def catch_up_time(self, name, floor):
        """Return the expected seconds until an instance reaches a floor.

        Returns
        -------
        float or None
            None if the lag of the instance is not known.
        """
        if name == self._leadership.primary or self.instances[name].position >= floor:
            return 0.0
        now = self._boot_clock()
        delayed = any(
            shows_delay(answer, self._history, now)
            for other, answer in self.answers.items()
            if other != self._leadership.primary
        )
        answer = self.answers.get(name)
        return expected_catch_up_time(answer, floor, self._history, now, delayed)

    def known_catch_up_time(self, name, floor):
        """Return the expected seconds until a delayed replica reaches a floor.

        Returns
        -------
        float
            0 unless the last answer of this instance shows a delay.
        """
        answer = self.answers.get(name)
        if answer is None or answer.position >= floor:
            return 0.0
        if not shows_delay(answer, self._history, self._boot_clock()):
            return 0.0
        return self.catch_up_time(name, floor) or 0.0

    def observe(self, name, position, now, begun_at=None):
        """Record the position that an instance's log had reached.

        Parameters
        ----------
        name : str
        position : Position or None
        now : float
        begun_at : float, optional
            When the request was sent, by the boot clock.
        """
        instance = self.instances.get(name)
        if instance is None or position is None:
            return
        if instance.answered_at is not None and position.term == instance.position.term:
            elapsed = now - instance.answered_at
            moved = position.sequence - instance.position.sequence
            if elapsed > 0 and moved >= 0:
                instance.rate += RATE_WEIGHT * (moved / elapsed - instance.rate)
        instance.position = position
        instance.answered_at = now
        self.answers[name] = PositionAnswer(position, self._boot_clock(), begun_at)

    def observe_report(self, name, position, at):
        """Record the position that another daemon has reported of an instance.

        It is ignored if an answer to this daemon is as new, or if it is not of the term
        of the newest sample.

        Parameters
        ----------
        name : str
        position : Position
        at : float
            When the request for it was sent, or before, by the boot clock.
        """
        instance, last = self.instances.get(name), self.answers.get(name)
        sample = self._history.newest_sample
        if instance is None or sample is None or sample.floor.term != position.term:
            return
        if last is not None:
            last_at = last.at if last.begun_at is None else last.begun_at
            if at <= last_at:
                return
        instance.position = position
        self.answers[name] = PositionAnswer(position, at, at)
