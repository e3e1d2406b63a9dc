"""
Rendezvous hashing
==================

Orders names for a key so that everyone who knows the same names gets the same order,
and a name that goes away changes nothing for the others.
"""

from cardamomdrift.util import hash_number


def rank(key, names):
    """Return the names in the order that the key gives them."""
    return sorted(names, key=lambda name: hash_number(key, name))


def home_set(key, names, size):
    """Return the names that are home to a key."""
    return tuple(rank(key, names)[:size])
