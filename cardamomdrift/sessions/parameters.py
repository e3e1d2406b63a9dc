"""
Statement parameters
====================

Inserts the parameters of a prepared statement into its text as literals.  The
substitution of the protocol library does not escape quotes, so a value could change the
statement.
"""

import math
import re
from datetime import date, datetime, timedelta

from cardamomdrift.errors import BadRequest
from cardamomdrift.sessions.lexer import BLANKS, TOKEN, cache_short_texts

MAX_PARAMETERS = 65_535  # of a statement; the protocol counts them in two bytes
# What a literal would join to one word, or to one literal.
_WORD_BEFORE = re.compile(
    r"[\w$@.]$|\b(?:_\w+|DATE|TIME|TIMESTAMP|[BNX])[ \t\n\v\f\r]+$", re.IGNORECASE
)
_WORD_AFTER = re.compile(r"[\w$@.]")
_SPECIAL = re.compile(r"['\\\0]")
_ESCAPES = {"'": "''", "\\": "\\\\", "\0": "\\0"}


@cache_short_texts
def split_parameters(sql):
    """Return the pieces of a statement's text between its parameters.

    Raises
    ------
    BadRequest
        If it is not certain which question marks are parameters, or if a literal could
        mean something else at the place of a parameter.
    """
    if "?" not in sql:
        return (sql,)
    pieces = []
    start = end = 0
    before = ""  # what follows the last quoted text or parameter, without comments
    previous = ""
    versioned = False
    for match in TOKEN.finditer(sql):
        before += sql[end : match.start()]
        end = match.end()
        kind = match.lastgroup
        match kind:
            case "comment":
                before += " "
                continue
            case "open":
                raise BadRequest(f"{match[0]} has no end")
            case "version":
                versioned = True
            case "quoted" if previous == "parameter" and match[0][0] != "`":
                _check_apart(before)
            case "parameter":
                _check_place(sql, match, previous, before)
                pieces.append(sql[start : match.start()])
                start = end
                if len(pieces) > MAX_PARAMETERS:
                    raise BadRequest(f"more than {MAX_PARAMETERS} parameters")
        previous = kind
        before = ""
    if versioned and pieces:
        raise BadRequest("a version comment and parameters in one statement")
    pieces.append(sql[start:])
    return tuple(pieces)


def _check_place(sql, match, previous, before):
    """Raise BadRequest if a literal could not stand for a parameter."""
    if previous in ("quoted", "parameter"):
        _check_apart(before)
    if _WORD_BEFORE.search(before) or _WORD_AFTER.match(sql, match.end()):
        raise BadRequest("a parameter is next to a word or introducer")


def _check_apart(between):
    """Raise BadRequest if adjacent literals would be joined."""
    if not between.strip(BLANKS):
        raise BadRequest("a parameter is next to a quoted text or parameter")


def quote(text):
    """Return a text as an SQL string literal."""
    return "'" + _SPECIAL.sub(lambda match: _ESCAPES[match[0]], text) + "'"


def make_literal(value):
    """Return a value as an SQL literal.

    Raises
    ------
    BadRequest
        If there is no literal for the value.
    """
    match value:
        case None:
            return "NULL"
        case bool():
            return "TRUE" if value else "FALSE"
        case int():
            return repr(value)
        case float():
            return _format_double(value)
        case bytes() | bytearray():
            # Without the introducer it would be a number beside numbers.
            return f"_binary X'{value.hex()}'"
        case str():
            return quote(value)
        case datetime() | date():
            return quote(str(value))
        case timedelta():
            return quote(_format_time(value))
    raise BadRequest(f"no literal for {type(value).__name__}")


def _format_double(value):
    """Return a DOUBLE literal; without an exponent it would be a DECIMAL."""
    if not math.isfinite(value):
        raise BadRequest(f"no literal for the number {value}")
    text = repr(value)
    return text if "e" in text else f"{text}e0"


def _format_time(value):
    sign = "-" if value < timedelta(0) else ""
    seconds, micros = divmod(abs(value) // timedelta(microseconds=1), 1_000_000)
    return (
        f"{sign}{seconds // 3600}:{seconds // 60 % 60:02}:{seconds % 60:02}.{micros:06}"
    )


def bind(pieces, values):
    """Join the pieces of a statement with its parameters as literals."""
    parts = [pieces[0]]
    for value, piece in zip(values, pieces[1:], strict=True):
        parts.append(make_literal(value))
        parts.append(piece)
    return "".join(parts)
