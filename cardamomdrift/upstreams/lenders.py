"""
Order of lenders
================

Which daemons are asked for a loan first.  Nothing here does input or output.
"""

from cardamomdrift.membership.rendezvous import rank

# Daemons of the borrower's failure domain that are asked before one of another domain.
# `LENDERS_ASKED_LIMIT` leaves two others, in case all connections of the domain are in
# use.
OWN_DOMAIN_FIRST = 4


def order_lenders(key, lenders, domain, domains, last=None):
    """Return lenders in the order in which they are asked.

    Parameters
    ----------
    key : str
        Borrowers with the same key have the same order within a failure domain.
    lenders : sequence of str
    domain : str
        Failure domain of the borrower; empty if it has none.
    domains : dict of str to str
        Failure domain by daemon, as far as known.
    last : str, optional
        Daemon that lent last; it comes first among those of its domain.
    """
    order = rank(key, lenders)
    if last in order:
        order.remove(last)
        order.insert(0, last)
    if not domain:
        return order
    own = [name for name in order if domains.get(name) == domain]
    others = [name for name in order if domains.get(name) != domain]
    return own[:OWN_DOMAIN_FIRST] + others + own[OWN_DOMAIN_FIRST:]
