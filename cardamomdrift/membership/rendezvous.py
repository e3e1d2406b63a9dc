"""
Rendezvous hashing
==================

Orders names for a key.  All daemons that know the same names get the same order, and
the removal of a name does not change the order of the others.
"""

from cardamomdrift.util import hash_number


def rank(key, names):
    """Return the names, sorted by their hash with the key."""
    return sorted(names, key=lambda name: hash_number(key, name))


def home_set(key, names, size):
    """Return the first ``size`` names in the key's order, or all if there are fewer."""
    return tuple(rank(key, names)[:size])
