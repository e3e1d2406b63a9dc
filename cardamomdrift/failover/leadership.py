"""
Leadership
==========

What this daemon knows of the primary of each database group.  Replacements of a group's
primary are numbered by generation.  A replacement has two states: in progress, then
settled.  A record with a higher generation, or the settled record of the same
generation, replaces the previous state.
"""

from dataclasses import dataclass

from cardamomdrift.failover.numbers import is_next_number


@dataclass(slots=True)
class Leadership:
    """State of one group's primary.

    Attributes
    ----------
    group : str
    generation : int
        Number of the last replacement; 0 before the first.
    settled : bool
        Whether that replacement is complete, so that ``primary`` may be used;
        otherwise it is in progress.
    term : int
        Term in which the primary writes, or 0 if it is not known yet.
    primary : str
        The primary, or the old one while a replacement is in progress; empty if not
        known.
    changed_at : float
        When the generation or ``settled`` last changed here, in seconds of the boot
        clock.
    released : int
        Highest generation for which this daemon uses no earlier primary any more.
    drain_until : float
        End of the time in which answers of the old primary are still passed on, in
        seconds of the boot clock.
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
        """Apply a record if it is newer; return whether it was applied."""
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
            Generation in force when the request was sent to the instance.
        now : float
            Boot clock.
        """
        if instance != self.primary:
            return False
        if self.settled:
            return generation == self.generation
        is_next = is_next_number(self.generation, generation)
        draining = is_next and self.released <= generation
        return draining and now < self.drain_until

    def adopt_listed_primary(self, primary):
        """Set the primary that the list of instances names; return whether it changed.

        Ignored after the first replacement.
        """
        if self.generation == 0 and primary != self.primary:
            self.primary = primary
            return True
        return False

    def update_term(self, instance, term):
        """Raise the term to the one in which the settled primary writes."""
        if self.settled and instance == self.primary:
            self.term = max(self.term, term)
