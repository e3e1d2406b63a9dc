"""
Succession
==========

Decides which instance becomes the next primary of a group, and whether the logs that
are known include every acknowledged commit.  All functions here are pure.

With *s* synchronous replicas, an acknowledged commit is in the log of its primary and
of *s* other instances.  As long as the logs of at most *s* instances are missing, the
newest of the known logs has it.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Holder:
    """Process of an instance whose log may hold acknowledged commits.

    Attributes
    ----------
    name : str
    started_at_ms : int
        Start time of the process; a later one with the same name may lack its log.
    address : str
    draining : bool
        Whether it was last seen draining.  Its log then goes to the instance that takes
        its address.
    """

    name: str
    started_at_ms: int
    address: str
    draining: bool

    @property
    def key(self):
        """What identifies the process."""
        return self.name, self.started_at_ms


def make_holder(record):
    """Return the Holder of an entry of the instance list.

    Parameters
    ----------
    record : InstanceRecord
    """
    address = f"{record.address}:{record.port}"
    return Holder(record.name, record.started_at_ms, address, record.draining)


@dataclass(frozen=True, slots=True)
class Candidate:
    """Instance that has answered and may be promoted.

    Attributes
    ----------
    name : str
    received : Position
        Last log entry that it has received.
    draining : bool
    term : int
        Term of the primary that it follows, or its own if it leads.
    leads : bool
        Whether it reports itself as the primary.
    holder : Holder or None
        Its process.
    """

    name: str
    received: object
    draining: bool
    term: int = 0
    leads: bool = False
    holder: Holder | None = None


@dataclass(frozen=True, slots=True)
class Succession:
    """State of a group whose primary is being replaced.

    Attributes
    ----------
    former : str
        The primary that is being replaced.
    term : int
        Its term, or 0 if it is not known.
    synchronous : int
        Number of replicas that have received a commit before it is acknowledged.
    holders : frozenset of Holder
        Processes that may hold acknowledged commits.
    called : tuple of str or None
        Instances that unfinished replacements may have had promoted; None if it is not
        known.
    """

    former: str
    term: int
    synchronous: int
    holders: frozenset = frozenset()
    called: tuple | None = None


def has_log_of(candidate, holder, candidates):
    """Whether a candidate's log has what a process had received.

    A primary that restarts keeps its log.  Of a restarted replica this is not known.

    Parameters
    ----------
    candidate : Candidate
    holder : Holder
    candidates : list of Candidate
        All that have answered.
    """
    own = candidate.holder
    if own is None:
        return False
    if own.key == holder.key:
        return True
    if own.name != holder.name:
        return holder.draining and own.address == holder.address
    newest = max(other.received for other in candidates)
    return candidate.leads and candidate.received >= newest


def missing_holders(succession, candidates):
    """Return the Holders whose log no candidate has, in the order of their names."""
    missing = [
        holder
        for holder in succession.holders
        if not any(has_log_of(one, holder, candidates) for one in candidates)
    ]
    return sorted(missing, key=lambda holder: holder.key)


def is_complete(succession, candidates):
    """Whether the newest log of the candidates has all acknowledged commits.

    It has them if at most as many logs are missing as there are synchronous replicas,
    or if none is missing of the instances that may have acknowledged commits as
    primaries.  Without synchronous replicas nothing can show this, and any candidate is
    enough.

    Parameters
    ----------
    succession : Succession
    candidates : list of Candidate
    """
    if not succession.synchronous or not candidates:
        return bool(candidates)
    missing = missing_holders(succession, candidates)
    if len(missing) <= succession.synchronous:
        return True
    if succession.called is None:
        return False
    primaries = {succession.former, *succession.called}
    known = {one.name for one in candidates} - {holder.name for holder in missing}
    return primaries <= known


def leads_as_before(succession, candidate):
    """Whether a candidate is the former primary and leads in the same term."""
    if not candidate.leads or candidate.name != succession.former:
        return False
    return not succession.term or candidate.term <= succession.term


def is_outdated(succession, candidate, candidates):
    """Whether a candidate leads, but others follow a primary of a higher term."""
    newest_term = max(succession.term, *(one.term for one in candidates))
    return candidate.leads and candidate.term < newest_term


def choose_candidate(succession, candidates, late=False):
    """Return the Candidate to promote, or None while there is none.

    The newest log decides, since the commits that only it has would be lost otherwise.
    Among equal logs the one of a primary that an unfinished replacement has promoted is
    preferred, then that of an instance that is not draining, then the name decides.
    Without synchronous replicas, a primary that does not know yet that it was replaced
    is the last choice, since its log may have commits that were rolled back.

    The former primary, if it still leads, is chosen only if no replica has caught up
    with it in time, and not while it is draining, since it would have to be replaced
    again.

    Parameters
    ----------
    succession : Succession
    candidates : list of Candidate
    late : bool
        Whether there is no more time to wait for other instances.
    """
    if not is_complete(succession, candidates):
        return None
    newest = max(one.received for one in candidates)
    former, others = [], []
    for one in candidates:
        (former if leads_as_before(succession, one) else others).append(one)
    if not succession.synchronous:
        current = [one for one in others if not is_outdated(succession, one, others)]
        others = current or others
    best = max(others, key=_preference, default=None)
    if best is not None:
        if not succession.synchronous or best.received >= newest:
            return best
    if late and former and not former[0].draining:
        return former[0]
    return None


def _preference(candidate):
    return (
        candidate.received,
        candidate.leads,
        not candidate.draining,
        candidate.name,
    )


def can_take_over(succession, candidates, last):
    """Whether a planned replacement loses no commit and needs no second one.

    Parameters
    ----------
    succession : Succession
    candidates : list of Candidate
    last : Position
        End of the former primary's log, which answers.
    """
    if not is_complete(succession, candidates):
        return False
    replicas = [one for one in candidates if not leads_as_before(succession, one)]
    staying = [one for one in replicas if not one.draining]
    return any(one.received >= last for one in staying or replicas)


def droppable_holders(absent, sample, received, synchronous):
    """Return the keys of absent processes that hold no commit alone any more.

    What they had received was in the primary's log when they were gone.  Once enough
    present replicas have received that much, each acknowledged commit has as many
    holders without them.

    Parameters
    ----------
    absent : dict of tuple to float
        When each process was first found absent, by its key; boot clock.
    sample : Sample
        Position of the primary's log.
    received : list of Position
        What the present replicas have received.
    synchronous : int
    """
    caught_up = sum(position >= sample.floor for position in received)
    if caught_up < synchronous:
        return set()
    return {key for key, since in absent.items() if sample.begun_at >= since}
