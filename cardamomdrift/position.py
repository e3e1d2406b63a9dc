"""
Log positions
=============

A position names the last entry of an instance's log: the term in which the entry
was written, then its sequence number.  Positions are ordered by term first.
"""

from dataclasses import dataclass


@dataclass(frozen=True, order=True, slots=True)
class Position:
    """Place in the log of a database group.

    Attributes
    ----------
    term : int
        Term of the primary that wrote the entry.
    sequence : int
        Number of the entry, counted from 1 through all terms.
    """

    term: int
    sequence: int

    def __str__(self):
        return f"{self.term}:{self.sequence}"


ORIGIN = Position(0, 0)


def parse_position(text, separator=":"):
    """Return the position in a text, or None if there is none."""
    term, found, sequence = text.partition(separator)
    if not found or not term.isdecimal() or not sequence.isdecimal():
        return None
    return Position(int(term), int(sequence))
