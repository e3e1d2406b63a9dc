"""
Voters
======

The daemons whose promises give the permission to use primaries, and who alone replace
primaries.  They are a small set, named with an epoch in one row of the store, so the
cost of the permission does not grow with the square of the fleet.

The quorums intersect: a permission needs the promises of all voters but
``tolerated_losses``, a replacement the acknowledgements of one voter more than that.
Voters that know of a replacement, or of a later epoch, no longer promise the earlier
state.  So a change of the set is complete when the former voters have acknowledged it
like a replacement, and the last permissions that they had promised have expired.  All
functions here are pure.
"""

from dataclasses import dataclass

from cardamomdrift.membership.rendezvous import rank

VOTER_COUNT = 5  # daemons; two may be lost at the same time
VOTER_KEY = "voters"  # key of the order in which daemons become voters


@dataclass(frozen=True, slots=True)
class Voters:
    """Voters of one epoch.

    Attributes
    ----------
    epoch : int
        Rises with each change of the set; 0 before the first.
    names : tuple of str
    """

    epoch: int = 0
    names: tuple = ()


def tolerated_losses(count):
    """Return how many of ``count`` voters a permission can do without."""
    return max(count - 1, 0) // 2


def acknowledgements_needed(count):
    """Return how many of ``count`` voters must know of a replacement.

    Each set of voters that suffices for a permission has one of them.
    """
    return tolerated_losses(count) + 1


def has_quorum(acknowledging, voter_sets):
    """Whether enough voters of each set have acknowledged a replacement or an epoch.

    Parameters
    ----------
    acknowledging : set of str
    voter_sets : sequence of sequence of str
        The voters and, until a change of them is complete, also the former ones.
    """
    return all(
        len(acknowledging.intersection(names)) >= acknowledgements_needed(len(names))
        for names in voter_sets
    )


def first_voters(registered):
    """Return the names of the first voters of a deployment."""
    return tuple(sorted(rank(VOTER_KEY, registered)[:VOTER_COUNT]))


def next_voters(voters, registered, live, unfit):
    """Return the names that the set of voters should have.

    A voter that is silent or about to stop gives its place to another daemon, as long
    as there is one.  A small fleet keeps a voter that restarts, since a change of the
    set for each restart would delay replacements.

    Parameters
    ----------
    voters : sequence of str
        Names of the present voters.
    registered : set of str
        Daemons that have a row in the store.
    live : set of str
        Daemons that may become voters.
    unfit : set of str
        Voters that are silent or about to stop.
    """
    present = [name for name in voters if name in registered]
    fit = [name for name in present if name not in unfit]
    candidates = rank(VOTER_KEY, (live & registered) - set(voters))
    replaced = [name for name in present if name in unfit]
    names = [*fit, *candidates, *replaced][:VOTER_COUNT]
    return tuple(sorted(names))
