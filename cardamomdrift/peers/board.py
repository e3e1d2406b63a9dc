"""
Peer board
==========

What the peers' news say, with its age: how long ago a peer heard from the primary of a
term.
"""

from dataclasses import dataclass

from cardamomdrift.util import MILLISECONDS


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

    def contact_age(self, group, term, now):
        """Return the seconds since a peer heard from the primary of a term, or None."""
        ages = []
        for heard in self._heard.values():
            known = heard.news.groups.get(group)
            if known is None or known.term != term or known.contact_age_ms < 0:
                continue
            ages.append(known.contact_age_ms / MILLISECONDS + now - heard.at)
        return min(ages, default=None)
