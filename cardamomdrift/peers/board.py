"""
Peer board
==========

What the peers' news say, with its age: the newest bundle, the highest term of each
group and how long ago a peer heard from its primary.
"""

from dataclasses import dataclass

from cardamomdrift.util import MILLISECONDS

NEWS_AGE = 5.0  # seconds


@dataclass(frozen=True, slots=True)
class _Heard:
    """One peer's last news and when it came."""

    news: object
    at: float


class PeerBoard:
    """Last news of every peer."""

    def __init__(self):
        self._heard = {}

    def take(self, news, now):
        """Take in news."""
        self._heard[news.vm] = _Heard(news, now)

    def leaving(self, now):
        """Return the peers that are shutting down."""
        return frozenset(
            vm
            for vm, heard in self._heard.items()
            if heard.news.leaving and now - heard.at < NEWS_AGE
        )

    def term(self, group):
        """Return the highest term that a peer has seen."""
        terms = [
            heard.news.groups[group].term
            for heard in self._heard.values()
            if group in heard.news.groups
        ]
        return max(terms, default=0)

    def contact_age(self, group, term, now):
        """Return the seconds since a peer heard from the primary of a term, or None."""
        ages = []
        for heard in self._heard.values():
            known = heard.news.groups.get(group)
            if known is None or known.term != term or known.contact_age_ms < 0:
                continue
            ages.append(known.contact_age_ms / MILLISECONDS + now - heard.at)
        return min(ages, default=None)
