"""
Explanation
===========

Finds the log lines of one request in the logs of several daemons, the line that decided
its outcome, and nearby events that may have caused it.
"""

import re
from dataclasses import dataclass, field
from datetime import datetime

NEARBY_WINDOW = 2.0  # seconds before a request's arrival from which events are shown
NEARBY_LIMIT = 40  # events shown, the last ones
FAILED = "request failed"
SERVED = "request served"

# Events that may decide requests of their group (GROUP_EVENTS) or of all groups
# (DAEMON_EVENTS).
GROUP_EVENTS = frozenset(
    (
        "primary suspected",
        "replacement waits for the list",
        "replacement begun",
        "replacement seen",
        "candidate chosen",
        "old primary released",
        "promotion called",
        "promotion call failed",
        "replacement succeeded",
        "replacement failed",
        "primary changed",
        "instance not answering",
        "instance back",
        "instance removed",
        "detour begun",
        "detour not usable",
        "detour ended",
    )
)
DAEMON_EVENTS = frozenset(
    (
        "daemon started",
        "daemon stopping",
        "daemon stopped",
        "daemon silent",
        "loan not answered",
        "loan ended",
        "store lost",
        "store answers",
        "configuration in force",
        "log lines left out",
        "loop step failed",
        "session failed",
    )
)

_FIELD = re.compile(r"""([\w.]+)=("(?:[^"\\]|\\.)*"|\S*)""")


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a log.

    Attributes
    ----------
    timestamp : float
        Seconds since the epoch, 1970.
    fields : dict of str to str
    text : str
    """

    timestamp: float
    fields: dict
    text: str

    @property
    def event(self):
        """Event that the line reports."""
        return self.fields.get("event", "")

    @property
    def vm(self):
        """VM whose daemon wrote the line."""
        return self.fields.get("vm", "")


@dataclass(slots=True)
class Explanation:
    """What the logs tell about one request.

    Attributes
    ----------
    lines : list of LogLine
        Lines of the request, in order of time.
    deciding : LogLine or None
        The line that decided the outcome.
    nearby_events : list of LogLine
        Events that may have decided it.
    unreadable : int
        Number of lines that could not be read.
    """

    lines: list = field(default_factory=list)
    deciding: LogLine | None = None
    nearby_events: list = field(default_factory=list)
    unreadable: int = 0


def parse_line(text):
    """Parse a LogLine; return None if the text is not a log line.

    Text before the ``timestamp`` field is ignored.
    """
    start = text.find("timestamp=")
    if start < 0:
        return None
    fields = {}
    for key, value in _FIELD.findall(text[start:]):
        if value.startswith('"') and value.endswith('"') and len(value) > 1:
            value = value[1:-1].replace('\\"', '"').replace("\\\\", "\\")
        fields.setdefault(key, value)
    try:
        stamp = datetime.fromisoformat(fields["timestamp"])
    except ValueError:
        return None
    return LogLine(stamp.timestamp(), fields, text[start:].rstrip("\n"))


def explain(request_id, texts):
    """Return the Explanation of a request's outcome.

    Parameters
    ----------
    request_id : str
    texts : iterable of str
        Log lines of any number of daemons.
    """
    explanation = Explanation()
    events = []
    for text in texts:
        if not text.strip():
            continue
        line = parse_line(text)
        if line is None or not line.event:
            explanation.unreadable += 1
        elif line.fields.get("id") == request_id:
            explanation.lines.append(line)
        elif line.event in GROUP_EVENTS or line.event in DAEMON_EVENTS:
            events.append(line)
    explanation.lines.sort(key=lambda line: line.timestamp)
    if explanation.lines:
        explanation.deciding = _find_deciding(explanation.lines)
        explanation.nearby_events = _select_nearby(events, explanation.deciding)
    return explanation


def _find_deciding(lines):
    failed = [line for line in lines if line.event == FAILED]
    return failed[-1] if failed else lines[-1]


def _select_nearby(events, deciding):
    elapsed = float(deciding.fields.get("took_ms") or 0.0) / 1000.0
    begin, end = deciding.timestamp - elapsed - NEARBY_WINDOW, deciding.timestamp
    group = deciding.fields.get("group")
    chosen = [
        line
        for line in events
        if begin <= line.timestamp <= end and _is_relevant(line, group, deciding.vm)
    ]
    return sorted(chosen, key=lambda line: line.timestamp)[-NEARBY_LIMIT:]


def _is_relevant(line, group, vm):
    if line.event in GROUP_EVENTS:
        return line.fields.get("group") == group
    return line.vm == vm or line.event.startswith("daemon")


# What the outcomes mean to the caller.
OUTCOME_MEANINGS = {
    "served": "answered",
    "OutcomeUnknown": "sent and not answered, or answered by a primary that was"
    " replaced meanwhile: it may have run",
    "DeadlinePassed": "not run: no instance became free in time",
    "NoPrimary": "not run: no primary could be used in time",
    "Overloaded": "not run: refused because of load or too many retries",
    "ReadFailed": "a read that no instance answered in time; it has no effect",
    "TransactionLost": "rolled back: nothing of the transaction is kept",
    "RefusedByInstance": "the instance refused the statement itself",
    "UnknownDatabase": "not run: the configuration in force has no such route",
    "AccessDenied": "not run: no customer holds the key, or it was withdrawn",
    "QuotaExceeded": "not run: the customer is over its rate limit",
    "ProofExpired": "not run: the daemon could not prove that its configuration is the"
    " newest",
    "UnknownStatement": "not run: the session has prepared no such name",
    "BadRequest": "not run: the statement was malformed or out of place",
}


def format_explanation(request_id, explanation):
    """Return an explanation as text."""
    out = []
    if explanation.unreadable:
        out.append(f"{explanation.unreadable} lines could not be read and were skipped")
    if not explanation.lines:
        out.append(f"no line of these logs has id {request_id}")
        return "\n".join(out)
    outcome = explanation.deciding.fields.get("outcome", "")
    out.append(f"request {request_id}: {OUTCOME_MEANINGS.get(outcome, outcome)}")
    out.append("lines of the request:")
    for line in explanation.lines:
        mark = "*" if line is explanation.deciding else " "
        out.append(f" {mark} {line.text}")
    out.append("  * decided the outcome")
    if explanation.nearby_events:
        out.append(
            f"events of its group and its VM in the {NEARBY_WINDOW:.0f} s before:"
        )
        out.extend(f"   {line.text}" for line in explanation.nearby_events)
    else:
        out.append(
            f"no event of its group or its VM in the {NEARBY_WINDOW:.0f} s before"
        )
    return "\n".join(out)
