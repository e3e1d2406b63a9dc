"""
Leadership
==========

Who leads each database group.  Replacements of a group's primary are numbered; a record
with a higher number, or the settled one of the same number, replaces what was known.
"""

from dataclasses import dataclass


@dataclass(slots=True)
class Leadership:
    """What is known of one group's primary.

    Attributes
    ----------
    group : str
    generation : int
        Number of the last replacement; 0 before the first.
    settled : bool
        Whether ``primary`` leads; otherwise a replacement is under way.
    term : int
        Term that the primary leads, or 0 if it is not known yet.
    primary : str
        The primary, or the instance that is to lead; empty if not known.
    changed_at : float
        When this became known, in seconds of the boot clock.
    released : int
        Generation for which this daemon has stopped using all earlier primaries.
    drain_until : float
        Until when answers of the old primary may still be passed on, by the boot clock.
    """

    group: str
    generation: int = 0
    settled: bool = True
    term: int = 0
    primary: str = ""
    changed_at: float = 0.0
    released: int = 0
    drain_until: float = 0.0

    def adopt(self, generation, settled, term, primary, now):
        """Take in a record; return whether it is newer than what was known."""
        if (generation, settled) <= (self.generation, self.settled):
            return False
        self.generation = generation
        self.settled = settled
        self.term = term
        self.primary = primary
        self.changed_at = now
        return True

    def accepts_answer(self, instance, generation, now):
        """Whether an answer of a primary may be passed on.

        Parameters
        ----------
        instance : str
        generation : int
            Replacement in force when the request was placed there.
        now : float
            Boot clock.
        """
        if instance != self.primary:
            return False
        if self.settled:
            return generation == self.generation
        draining = generation + 1 == self.generation and self.released <= generation
        return draining and now < self.drain_until

    def adopt_listed_primary(self, primary):
        """Take in who takes itself for the primary before any replacement."""
        if self.generation == 0 and primary != self.primary:
            self.primary = primary
            return True
        return False

    def update_term(self, instance, term):
        """Take in the term that the settled primary writes in."""
        if self.settled and instance == self.primary:
            self.term = max(self.term, term)
