"""
Log positions
=============

A position identifies an entry of an instance's log by the term in which it was written
and its sequence number.  Positions are ordered by term first.
"""

from dataclasses import dataclass


@dataclass(frozen=True, order=True, slots=True)
class Position:
    """Position in the log of a database group.

    Attributes
    ----------
    term : int
        Term of the primary that wrote the entry.
    sequence : int
        Number of the entry, counted from 1 across all terms.
    """

    term: int
    sequence: int

    def __str__(self):
        return f"{self.term}:{self.sequence}"


ORIGIN = Position(0, 0)


def parse_position(text, separator=":"):
    """Parse a position such as ``3:17``; return None if the text is not one."""
    term, found, sequence = text.partition(separator)
    if not found or not term.isdecimal() or not sequence.isdecimal():
        return None
    return Position(int(term), int(sequence))
