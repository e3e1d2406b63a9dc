"""
Pace
====

Limits the rate at which one daemon sends statements to an instance that has just
started or recovered.  The rate follows from the answers; there is no fixed ramp.

Load pattern: an instance comes back cold while requests wait at all daemons.  Each of
up to 134 daemons may send one statement at once, which is more than the instance's
queue holds, so a limit on the number of running statements does not help.
"""

import math
from copy import copy

MIN_RATE = 0.05  # statements per second
MAX_TOKENS = 1.0  # statements that may be sent at once after a pause
GROWTH = 2.0  # factor after a good answer
DECREASE = 0.5  # factor after a bad answer
SLOW_FACTOR = 2.5  # times the usual time; a slower answer is a bad one
# Seconds in which the rate doubles without any answer.  With many members the first
# statement of a daemon would otherwise wait for members x service time.
SILENT_DOUBLING_TIME = 0.25
# Seconds without growth by time after a bad answer; doubled by each further one.
HOLD_TIME = 0.5
MAX_HOLD_TIME = 2.0
# Times the start rate up to which the rate grows without any answer.
SILENT_FACTOR = 8.0
# Seconds without a limited request and without a bad answer after which it ends, if
# the last answer was a good one.
END_TIME = 0.5
# The same if there was no answer since the start, or since a bad one.
SILENT_END_TIME = 4.0
# Seconds after the start in which the instance's times do not change what is usual.  If
# they did, a group whose instances are all cold would be taken for fast.
COLD_TIME = 6.0
# Times the start rate.  The start occupies about one slot of the instance; instances
# have 4 slots, so at this rate the limit is elsewhere.
END_FACTOR = 32.0


class PaceController:
    """Pace of one instance as one daemon sees it; times are in seconds of one clock.

    It does not limit anything before `begin`.

    Parameters
    ----------
    start_rate : callable
        Returns the statements per second to begin with: one for each expected service
        time, divided by the number of daemons.
    phase : float
        Share of the first statement's wait that has passed at the start, from 0 to 1.
        Daemons use different ones, so that their first statements do not coincide.
    """

    def __init__(self, start_rate, phase=0.0):
        self._start_rate = start_rate
        self._phase = phase
        self._start = 0.0
        self._begun_at = 0.0
        self._rate = math.inf
        self._tokens = 0.0
        self._advanced_at = 0.0
        self._raised_at = 0.0
        self._lowered_at = 0.0
        self._limited_at = 0.0
        self._held_until = 0.0
        self._hold = HOLD_TIME
        self._unanswered = 0
        self._refused = False
        self._good = False

    @property
    def paced(self):
        """Whether the rate is limited."""
        return self._rate < math.inf

    @property
    def rate(self):
        """Statements per second that may be sent; infinity if not paced."""
        return self._rate

    @property
    def refused(self):
        """Whether the instance has refused a statement as too many since the start."""
        return self._refused

    def begin(self, now):
        """Begin, or fall to the start because the instance has failed again."""
        self._start = self._rate = max(self._start_rate(), MIN_RATE)
        self._tokens = self._phase
        self._begun_at = now
        self._advanced_at = self._held_until = self._limited_at = now
        self._raised_at = self._lowered_at = now
        self._hold = HOLD_TIME
        self._unanswered = 0
        self._refused = self._good = False

    def may_be_cold(self, now):
        """Whether the instance's times must not be taken for the usual ones."""
        return self.paced and now - self._begun_at < COLD_TIME

    def delay(self, now):
        """Return the seconds until a statement may be sent; 0 if it may be sent now."""
        self.update(now)
        if not self.paced or self._tokens >= 1.0:
            return 0.0
        self._limited_at = now
        return (1.0 - self._tokens) / self._rate

    def preview_delay(self, now):
        """Return what `delay` would return, without noting that it was asked."""
        return copy(self).delay(now)

    def record_sent(self, now):
        """Record that a statement is sent, whether there was an allowance or not."""
        self.update(now)
        if self.paced:
            self._tokens = max(self._tokens - 1.0, -MAX_TOKENS)
            self._unanswered += 1

    def record_end(self, now):
        """Record that a statement that was sent has ended in any way."""
        self.update(now)
        self._unanswered = max(self._unanswered - 1, 0)

    def record_answer(self, sent_at, elapsed, usual, now):
        """Record an answer.

        Parameters
        ----------
        sent_at : float
        elapsed : float
            Seconds that it took.
        usual : float
            Seconds that the statement usually takes.
        now : float
        """
        if elapsed > SLOW_FACTOR * usual:
            self._lower(sent_at, now)
            return
        self.update(now)
        # Answers to statements sent at a lower rate do not justify another increase.
        if self.paced and sent_at >= max(self._raised_at, self._lowered_at):
            self._good = True
            self._rate *= GROWTH
            self._raised_at = now
            self._hold = HOLD_TIME
            self._held_until = now

    def record_refusal(self, sent_at, now):
        """Record that the instance refused a statement because it has too many."""
        self._refused = True
        self._lower(sent_at, now)

    def record_failure(self, sent_at, now):
        """Record that a statement failed at the instance, which goes on answering."""
        self._lower(sent_at, now)

    def _lower(self, sent_at, now):
        self.update(now)
        # Statements that were sent before the last decrease tell nothing new.
        if not self.paced or sent_at < self._lowered_at:
            return
        self._rate = max(self._rate * DECREASE, self._start)
        self._lowered_at = self._limited_at = now
        self._good = False
        self._held_until = now + self._hold
        self._hold = min(2 * self._hold, MAX_HOLD_TIME)

    def update(self, now):
        """Advance to a time: add allowances, grow by time, end if it does not limit.

        The rate grows by time only while no statement is unanswered, and not directly
        after a bad answer.
        """
        if not self.paced:
            return
        elapsed = max(now - self._advanced_at, 0.0)
        growing = 0.0
        if not self._unanswered:
            growing = min(elapsed, max(now - self._held_until, 0.0))
        rate = self._rate * 2 ** (growing / SILENT_DOUBLING_TIME)
        rate = max(min(rate, SILENT_FACTOR * self._start), self._rate)
        # Mean of both rates; an upper bound of the exact integral.
        self._tokens += elapsed * (self._rate + rate) / 2
        self._tokens = min(self._tokens, MAX_TOKENS)
        self._rate = rate
        self._advanced_at = max(now, self._advanced_at)
        end_time = END_TIME if self._good else SILENT_END_TIME
        unlimited = now - self._limited_at >= end_time and now >= self._held_until
        if unlimited or rate >= END_FACTOR * self._start:
            self._rate = math.inf
