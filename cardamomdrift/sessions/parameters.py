"""
Statement parameters
====================

Inserts the parameters of a prepared statement into its text as literals.  The
substitution of the protocol library does not escape quotes, so a value could change the
statement.
"""

import re
from datetime import date, datetime, timedelta
from functools import lru_cache

SPLIT_CACHE_SIZE = 4096  # statements

# Quoted text, a comment, or a parameter in group 1.
_TOKEN = re.compile(
    r"'(?:[^'\\]|\\.|'')*'|\"(?:[^\"\\]|\\.|\"\")*\"|`[^`]*`"
    r"|/\*.*?\*/|--[ \t][^\n]*|#[^\n]*|(\?)",
    re.DOTALL,
)
_SPECIAL = re.compile(r"['\\\0]")
_ESCAPES = {"'": "''", "\\": "\\\\", "\0": "\\0"}


@lru_cache(maxsize=SPLIT_CACHE_SIZE)
def split_parameters(sql):
    """Return the pieces of a statement's text between its parameters."""
    pieces = []
    start = 0
    for match in _TOKEN.finditer(sql):
        if match[1]:
            pieces.append(sql[start : match.start()])
            start = match.end()
    pieces.append(sql[start:])
    return tuple(pieces)


def quote(text):
    """Return a text as an SQL string literal."""
    return "'" + _SPECIAL.sub(lambda match: _ESCAPES[match[0]], text) + "'"


def make_literal(value):
    """Return a value as an SQL literal.

    Raises
    ------
    TypeError
        If there is no literal for the value's type.
    """
    match value:
        case None:
            return "NULL"
        case bool():
            return "TRUE" if value else "FALSE"
        case int() | float():
            return repr(value)
        case bytes() | bytearray():
            return f"X'{value.hex()}'"
        case str():
            return quote(value)
        case datetime() | date():
            return quote(str(value))
        case timedelta():
            return quote(_format_time(value))
    raise TypeError(f"no literal for {type(value).__name__}")


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
