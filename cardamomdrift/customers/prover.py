"""
Prover
======

Renews the proof of freshness by short calls of the store, when `customers.proof` says
that this daemon's turn has come.
"""

import asyncio
import math

from cardamomdrift.clock import boot_clock
from cardamomdrift.customers.proof import call_age, least_call_age
from cardamomdrift.membership.feed import retry_interval
from cardamomdrift.peers.contacts import LIVENESS_TIMEOUT

# Seconds between two looks; proofs that heartbeats forward postpone the next call.
POLL_INTERVAL = 0.05
MIN_CALL_INTERVAL = 0.5  # seconds between two calls while they give no proof


class Prover:
    """Makes the short calls of one daemon.

    Parameters
    ----------
    proof : FreshnessProof
    configuration : Configuration
    roster : Roster
    feed : TableFeed
        Follows the configuration's table.
    count_daemons : callable
        Returns the number of daemons that make such calls while the store is away.
    """

    def __init__(self, proof, configuration, roster, feed, count_daemons):
        self._proof = proof
        self._configuration = configuration
        self._roster = roster
        self._feed = feed
        self._count_daemons = count_daemons
        self._called_at = -math.inf

    def is_due(self, now):
        """Whether to make a call.

        Parameters
        ----------
        now : float
            Boot clock.
        """
        proved_at = self._proof.proved_at(self._configuration.version)
        if now < proved_at + least_call_age(self._proof.validity):
            # The usual case, several times a second.
            return False
        pause = max(MIN_CALL_INTERVAL, retry_interval(self._count_daemons()))
        if now < self._called_at + pause:
            return False
        roster = self._roster
        age = call_age(
            roster.vm,
            roster.voters.names,
            roster.live_voters(now, LIVENESS_TIMEOUT),
            self._proof.validity,
        )
        return now >= proved_at + age

    async def run_step(self):
        """Make a call if it is due, or wait for a moment."""
        now = boot_clock()
        if self.is_due(now):
            self._called_at = now
            await self._feed.call_briefly()
        else:
            await asyncio.sleep(POLL_INTERVAL)
