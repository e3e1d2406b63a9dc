"""
Numbers
=======

Replacements, epochs of the voters and fencing tokens are numbered by rows of the
platform's store.  The store may come back from an older copy, in which the last numbers
are missing.  Each era of the store therefore has a range of its own, so a number is
never drawn twice and a later one is always higher.  All functions here are pure.
"""

NUMBERS_PER_ERA = 1 << 20


def first_number(era):
    """Return the first number of an era; eras 0 and 1 share the first range."""
    return max(era - 1, 0) * NUMBERS_PER_ERA + 1


def next_number(era, last):
    """Return the number after ``last`` that is drawn in an era.

    Parameters
    ----------
    era : int
        Era of the store in which the row is written.
    last : int
        Highest number known; 0 before the first.
    """
    return max(last + 1, first_number(era))


def is_next_number(number, last):
    """Whether no other number can have been drawn between two numbers."""
    era = (number - 1) // NUMBERS_PER_ERA + 1
    return number == next_number(era, last)
