"""
Instance contract
=================

Procedures that each instance of a database group provides to the daemons, as SQL
statements, with the status that they return.  docs/UPSTREAM.md describes each procedure
and how it maps to MySQL.
"""

from dataclasses import dataclass

from cardamomdrift.position import Position

MILLISECONDS = 1000.0  # per second

STATUS = "CALL cardamomdrift_status()"
REQUEST_TABLE = "cardamomdrift_requests"


@dataclass(frozen=True, slots=True)
class FencedInstanceStatus:
    """Status that an instance reports, with the term at which it is fenced.

    Attributes
    ----------
    fence_term : int
        Highest term that the instance has accepted.
    fence_owner : str
        Who fenced the instance at that term.
    position : Position
        Position of the last entry of its log.
    primary : bool
        Whether it is the primary of its fence term.
    source : str
        ``ip:port`` of the instance that it replicates from, or empty.
    source_silence : float
        Seconds since it last heard from its source.
    accepted : bool
        Whether the procedure that returned this row took effect.
    """

    fence_term: int
    fence_owner: str
    position: Position
    primary: bool
    source: str
    source_silence: float
    accepted: bool = True


def parse_status(row):
    """Parse the row that a procedure returns, whose values are text."""
    return FencedInstanceStatus(
        fence_term=int(row[0]),
        fence_owner=row[1].decode(),
        position=Position(int(row[2]), int(row[3])),
        primary=bool(int(row[4])),
        source=row[5].decode(),
        source_silence=int(row[6]) / MILLISECONDS,
        accepted=bool(int(row[7])),
    )


def fence_statement(term, owner):
    """Return the statement that makes an instance refuse all lower terms."""
    return f"CALL cardamomdrift_fence({term}, '{owner}')"


def promote_statement(term, owner):
    """Return the statement that makes a fenced instance the primary of the term."""
    return f"CALL cardamomdrift_promote({term}, '{owner}')"


def follow_statement(term, source):
    """Return the statement that makes an instance replicate from a primary."""
    return f"CALL cardamomdrift_follow({term}, '{source}')"
