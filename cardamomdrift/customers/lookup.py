"""
Lookup
======

Decides whether an unknown key or database is looked up in the store before it is
refused.  Nothing here does input or output.

Load pattern: a flood of wrong keys.  All waiting callers share one call of the store,
and the calls are limited; beyond that, the configuration in force decides.
"""

from dataclasses import dataclass

# Seconds.  A configuration that was the newest one this short a time ago decides: a
# healthy fleet renews its proof more often, so wrong keys cost no call of the store,
# and a new key is served well within the time that a configuration has to apply.
RECENT_PROOF_AGE = 2.0
LOOKUP_RATE = 1.0  # calls per second of one daemon
LOOKUP_BURST = 3.0  # calls


@dataclass(frozen=True, slots=True)
class BeginLookup:
    """Make a call of the store."""


@dataclass(frozen=True, slots=True)
class JoinLookup:
    """Wait for the call that is running."""


@dataclass(frozen=True, slots=True)
class NoLookup:
    """The configuration in force decides."""


class LookupLimit:
    """Limit on the lookups of one daemon.

    Parameters
    ----------
    now : float
        Boot clock.
    """

    def __init__(self, now):
        self._calls = LOOKUP_BURST
        self._updated_at = now

    def decide(self, proof_age, running, now):
        """Decide about one unknown name; a call that begins counts against the limit.

        Parameters
        ----------
        proof_age : float or None
            Seconds since the configuration in force was the newest; None if unknown.
        running : bool
            Whether a call is running.
        now : float
            Boot clock.

        Returns
        -------
        BeginLookup or JoinLookup or NoLookup
        """
        if proof_age is not None and proof_age <= RECENT_PROOF_AGE:
            return NoLookup()
        if running:
            return JoinLookup()
        earned = LOOKUP_RATE * (now - self._updated_at)
        self._calls = min(LOOKUP_BURST, self._calls + earned)
        self._updated_at = now
        if self._calls < 1.0:
            return NoLookup()
        self._calls -= 1.0
        return BeginLookup()
