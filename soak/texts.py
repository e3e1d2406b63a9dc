"""
Texts
=====

Parts of odd texts, which a daemon must pass on unchanged although a careless one trims,
splits, decodes or interprets them, and the comparison of the statements that callers
sent with those that the instances received.
"""

from collections import Counter
from dataclasses import dataclass

SHOWN_BYTES = 60  # of a text in a report
LARGE_SHARE = 0.005  # of the fillers
LARGE_SIZES = (5_000, 5_000, 70_000, 70_000, 1_000_000)  # bytes

BLANKS = (
    b" ",
    b"  ",
    b"\t",
    b"\v",
    b"\f",
    b"\x1c",
    *(text.encode() for text in ("\x85", "\xa0", "\u2003", "\u2028", "\u3000")),
)
# Overlong forms of NUL, / and a blank, lone surrogates, truncated sequences, a code
# point above the last one, and bytes that begin no sequence.
NOT_TEXT = (
    b"\xff",
    b"\x80",
    b"\xc0\x80",
    b"\xc0\xaf",
    b"\xe0\x80\xa0",
    b"\xed\xa0\x80",
    b"\xed\xb3\xbf",
    b"\xe2\x82",
    b"\xf0\x9f\x92",
    b"\xf4\x90\x80\x80",
)
PROTOCOL_WORDS = (
    b"WAITLSN 1.1",
    b"QUERY",
    b"-",
    b"EXECUTE s1",
    b"COMMIT",
    b"TERM",
    b"READY I 1.1",
    b"ERROR BUSY",
    b"COMPLETE -",
)
ODD_PARTS = (*BLANKS, *NOT_TEXT, *PROTOCOL_WORDS, b"\\x41", b"%20", b"'", b'"', b"\x7f")


def as_text(data):
    """Return bytes as the text by which the daemons know them."""
    return data.decode("utf-8", "surrogateescape")


def as_bytes(text):
    """Return the bytes of a text from `as_text`."""
    return text.encode("utf-8", "surrogateescape")


def without_name(text):
    """Return the text of a statement without the name of a prepared one."""
    word, _, rest = text.partition(" ")
    if word != "EXECUTE":
        return text
    return word + rest[len(rest.partition(" ")[0]) :]


def shorten(text):
    """Return a text's bytes for a report, without the middle of a long one."""
    data = as_bytes(text)
    if len(data) <= SHOWN_BYTES:
        return repr(data)
    half = SHOWN_BYTES // 2
    return f"{data[:half]!r} .. {data[-half:]!r} ({len(data)} bytes)"


@dataclass(frozen=True)
class SentStatement:
    """Read, write, execution or commit as a caller sent it.

    Attributes
    ----------
    text : str
        Without the name of a prepared statement.
    kind : str
        ``READ``, ``WRITE`` or ``COMMIT``: what an instance is to run.
    shape : str or None
        Shape of the prepared statement that is executed.
    values : dict of str to str
        Values that the session had been told it has.
    """

    text: str
    kind: str
    shape: str | None
    values: dict


class SentStatements:
    """Statements that callers sent, to compare with what the instances received."""

    def __init__(self):
        self._by_id = {}

    def add(self, request_id, statement):
        """Record a SentStatement that is about to be sent."""
        self._by_id.setdefault(request_id, []).append(statement)

    def find_changes(self, instances):
        """Return a line for each statement that no caller had sent like that.

        Parameters
        ----------
        instances : iterable of LineInstance
        """
        faults, run_counts = [], Counter()
        for instance in instances:
            for received in instance.received:
                fault = self._compare(received)
                if fault is not None:
                    faults.append(f"{instance.name} received {fault}")
            for request_id, text, _values in instance.executed_statements:
                run_counts[request_id, text.partition(" ")[0]] += 1
        for (request_id, kind), count in run_counts.items():
            kinds = [sent.kind for sent in self._by_id.get(request_id, ())]
            if kind not in kinds or (kind != "READ" and count > kinds.count(kind)):
                faults.append(f"{request_id!r} ran {count} times as {kind}")
        return faults

    def _compare(self, received):
        """Return how a received statement differs from all sent with its id."""
        text = without_name(received.text)
        sent_with_id = self._by_id.get(received.request_id)
        if not sent_with_id:
            return f"{shorten(received.text)} with an id of no caller"
        same_text = [sent for sent in sent_with_id if sent.text == text]
        if not same_text:
            sent_texts = ", ".join(shorten(sent.text) for sent in sent_with_id)
            return f"{shorten(text)}, sent was {sent_texts}"
        same_shape = [sent for sent in same_text if sent.shape == received.shape]
        if not same_shape:
            shapes = ", ".join(shorten(sent.shape or "") for sent in same_text)
            return (
                f"{shorten(text)} with shape {shorten(received.shape or '')}, "
                f"sent was {shapes}"
            )
        if all(sent.values != received.values for sent in same_shape):
            names = sorted(
                name
                for name in received.values.keys() | same_shape[0].values.keys()
                if received.values.get(name) != same_shape[0].values.get(name)
            )
            shown = ", ".join(
                f"{shorten(name)} is {shorten(received.values.get(name, '(none)'))}, "
                f"sent was {shorten(same_shape[0].values.get(name, '(none)'))}"
                for name in names
            )
            return f"{shorten(text)} with other values: {shown}"
        return None


class SessionRecord:
    """What a session has been told that it holds.

    Parameters
    ----------
    sent : SentStatements
        Gets the session's statements.

    Attributes
    ----------
    values : dict of str to str
    prepared : dict of str to tuple
        Kind and shape of the prepared statements, by name.
    """

    def __init__(self, sent):
        self._sent = sent
        self.values = {}
        self.prepared = {}

    def begin(self, request_id, text):
        """Record a statement that is about to be sent."""
        word, _, rest = text.partition(" ")
        kind, shape = word, None
        if word == "EXECUTE":
            kind, shape = self.prepared.get(rest.partition(" ")[0], (None, None))
        if kind in ("READ", "WRITE", "COMMIT"):
            statement = SentStatement(
                without_name(text), kind, shape, dict(self.values)
            )
            self._sent.add(request_id, statement)

    def acknowledge(self, text):
        """Record that a statement has succeeded."""
        word, *fields = text.split(" ", 3)
        match word:
            case "SET":
                self.values[fields[0]] = text.split(" ", 2)[2]
            case "PARSE":
                self.prepared[fields[0]] = (fields[1], fields[2])
            case "CLOSE":
                self.prepared.pop(fields[0], None)


def draw_filler(random):
    """Return an odd end of a text, which is empty, short or large."""
    draw = random.random()
    if draw < LARGE_SHARE:
        return "\udcff" * random.choice(LARGE_SIZES)
    if draw < 0.5:
        return ""
    parts = random.choices(ODD_PARTS, k=random.randint(1, 4))
    return as_text(b"".join(parts) + b" " * random.randint(0, 2))
