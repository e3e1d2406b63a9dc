"""
Statements
==========

What the proxy needs to know about a statement: its verb and the options in its leading
comment.  The rest of the text is not parsed, only matched with a few patterns.
"""

import re
from dataclasses import dataclass
from enum import Enum, auto
from functools import lru_cache

STATEMENT_CACHE_SIZE = 4096  # statements
OPTION_PREFIX = "cardamomdrift"

_LEADING_COMMENT = re.compile(
    r"\s*(?:(?:/\*(?!!)(.*?)\*/|--[^\n]*\n|#[^\n]*\n)\s*)?", re.DOTALL
)
_VERB = re.compile(r"\(*\s*([A-Za-z]+)")
_LITERAL = re.compile(
    r"'(?:[^'\\]|\\.|'')*'|\"(?:[^\"\\]|\\.|\"\")*\"|\b\d+(?:\.\d+)?\b"
)
_OPTION = re.compile(r"([a-z_]+)\s*=\s*(?:'([^']*)'|([^\s,;]+))")
_SET_OPTION = re.compile(
    r"SET\s+(?:SESSION\s+|@@SESSION\.|@@)?cardamomdrift_([a-z_]+)\s*=\s*"
    r"(?:'([^']*)'|\"([^\"]*)\"|(\S+))\s*;?\s*$",
    re.IGNORECASE,
)
_READ_OPTION = re.compile(
    r"SELECT\s+@@(?:SESSION\.)?cardamomdrift_([a-z_]+)\s*;?\s*$", re.IGNORECASE
)
_USE = re.compile(r"USE\s+`?([^`;\s]+)`?\s*;?\s*$", re.IGNORECASE)
_AUTOCOMMIT = re.compile(
    r"SET\s+(?:SESSION\s+|@@)?AUTOCOMMIT\s*=\s*(\w+)", re.IGNORECASE
)
_READ_WITH_EFFECTS = re.compile(
    r"\b(?:FOR\s+UPDATE|FOR\s+SHARE|LOCK\s+IN\s+SHARE\s+MODE|GET_LOCK\s*\("
    r"|RELEASE_LOCK\s*\(|INTO\s+(?:OUTFILE|DUMPFILE|@))",
    re.IGNORECASE,
)


class Verb(Enum):
    """How the proxy treats a statement."""

    READ = auto()
    WRITE = auto()
    BEGIN = auto()
    COMMIT = auto()
    ROLLBACK = auto()
    SAVEPOINT = auto()
    SET_OPTION = auto()
    READ_OPTION = auto()
    USE = auto()
    AUTOCOMMIT_ON = auto()
    AUTOCOMMIT_OFF = auto()
    SET = auto()
    UNSUPPORTED = auto()


_VERBS = {
    "SELECT": Verb.READ,
    "SHOW": Verb.READ,
    "DESCRIBE": Verb.READ,
    "DESC": Verb.READ,
    "EXPLAIN": Verb.READ,
    "VALUES": Verb.READ,
    "TABLE": Verb.READ,
    "BEGIN": Verb.BEGIN,
    "START": Verb.BEGIN,
    "COMMIT": Verb.COMMIT,
    "ROLLBACK": Verb.ROLLBACK,
    "SAVEPOINT": Verb.SAVEPOINT,
    "RELEASE": Verb.SAVEPOINT,
    "SET": Verb.SET,
    "USE": Verb.USE,
    # Their effect is bound to one upstream connection, which no caller owns.
    "LOCK": Verb.UNSUPPORTED,
    "UNLOCK": Verb.UNSUPPORTED,
    "PREPARE": Verb.UNSUPPORTED,
    "EXECUTE": Verb.UNSUPPORTED,
    "DEALLOCATE": Verb.UNSUPPORTED,
    "HANDLER": Verb.UNSUPPORTED,
    "XA": Verb.UNSUPPORTED,
    "KILL": Verb.UNSUPPORTED,
}

# Statements that commit the open transaction implicitly.
_IMPLICIT_COMMIT = {"CREATE", "ALTER", "DROP", "TRUNCATE", "RENAME", "GRANT", "REVOKE"}


@dataclass(frozen=True, slots=True)
class Statement:
    """A caller's statement.

    Attributes
    ----------
    sql : str
        The text as the caller sent it.
    verb : Verb
    options : tuple of (str, str)
        Options of the leading comment.
    argument : str
        Name of the database or option, where the verb has one.
    value : str
        Value of the option that is set.
    """

    sql: str
    verb: Verb
    options: tuple = ()
    argument: str = ""
    value: str = ""

    @property
    def commits_implicitly(self):
        """Whether the statement ends an open transaction by committing it."""
        match = _VERB.match(self.sql, _LEADING_COMMENT.match(self.sql).end())
        return bool(match) and match[1].upper() in _IMPLICIT_COMMIT


def _parse_options(comment):
    if not comment:
        return ()
    prefix, separator, text = comment.strip().partition(":")
    if not separator or prefix.strip() != OPTION_PREFIX:
        return ()
    return tuple(
        (match[1], match[2] if match[2] is not None else match[3])
        for match in _OPTION.finditer(text)
    )


def _parse_set(sql, text, options):
    match = _SET_OPTION.match(text)
    if match:
        value = next((group for group in match.groups()[1:] if group is not None), "")
        return Statement(sql, Verb.SET_OPTION, options, match[1].lower(), value)
    match = _AUTOCOMMIT.match(text)
    if match:
        enabled = match[1].upper() in ("1", "ON", "TRUE")
        return Statement(
            sql, Verb.AUTOCOMMIT_ON if enabled else Verb.AUTOCOMMIT_OFF, options
        )
    return Statement(sql, Verb.SET, options)


@lru_cache(maxsize=STATEMENT_CACHE_SIZE)
def parse_statement(sql):
    """Parse a statement's verb and options."""
    leading = _LEADING_COMMENT.match(sql)
    options = _parse_options(leading[1])
    start = leading.end()
    match = _VERB.match(sql, start)
    keyword = match[1].upper() if match else ""
    verb = _VERBS.get(keyword, Verb.WRITE)
    text = sql[start:]
    match verb:
        case Verb.SET:
            return _parse_set(sql, text, options)
        case Verb.USE:
            use = _USE.match(text)
            return Statement(sql, verb, options, use[1] if use else "")
        case Verb.READ:
            option = _READ_OPTION.match(text)
            if option:
                return Statement(sql, Verb.READ_OPTION, options, option[1].lower())
            if _READ_WITH_EFFECTS.search(text):
                return Statement(sql, Verb.WRITE, options)
        case Verb.ROLLBACK if re.match(
            r"ROLLBACK\s+(WORK\s+)?TO\b", text, re.IGNORECASE
        ):
            return Statement(sql, Verb.SAVEPOINT, options)
    return Statement(sql, verb, options)


@lru_cache(maxsize=STATEMENT_CACHE_SIZE)
def shape_of(sql):
    """Return the statement with ? for its literals, for grouping by cost."""
    return _LITERAL.sub("?", sql[_LEADING_COMMENT.match(sql).end() :])
