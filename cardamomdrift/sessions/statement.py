"""
Statements
==========

What the proxy needs to know about a statement: its verb and the options in its leading
comments.  A verb that acts on a transaction or on the session must be understood as a
whole; the rest of the other texts is only matched with a few patterns.
"""

import re
from dataclasses import dataclass
from enum import Enum, auto

from cardamomdrift.sessions.lexer import (
    BLANKS,
    CACHED_TEXT_LIMIT,
    LEADING,
    SINGLE,
    TOKEN,
    cache_short_texts,
)

SHAPE_LIMIT = 512  # characters of a long text in its shape
OPTION_PREFIX = "cardamomdrift"

_FLAGS = re.IGNORECASE | re.ASCII
_VERB = re.compile(r"([(\s]*)([A-Za-z]+)(?![\w$\x80-\U0010ffff])", re.ASCII)
_LITERAL = re.compile(
    r"'(?:[^'\\]|\\.|'')*'|\"(?:[^\"\\]|\\.|\"\")*\"|\b\d+(?:\.\d+)?\b"
)
_OPEN_LITERAL = re.compile(r"['\"].*", re.DOTALL)
_OPTION = re.compile(r"([a-z_]+)\s*=\s*(?:'([^']*)'|([^\s,;]+))")
_SET_OPTION = re.compile(
    r"SET\s+(?:SESSION\s+|@@SESSION\.|@@)?cardamomdrift_([a-z_]+)\s*=\s*"
    r"(?:'([^']*)'|\"([^\"]*)\"|([^\s'\",]+))",
    _FLAGS,
)
_READ_OPTION = re.compile(r"SELECT\s+@@(?:SESSION\.)?cardamomdrift_([a-z_]+)", _FLAGS)
# SET statements that have no effect, since connections to instances are like this.
_SET_CHARSET = re.compile(
    r"SET\s+(?:NAMES|CHARACTER\s+SET|CHARSET)\s*(['\"]?)(?<=[\s'\"])"
    r"(?:utf8mb4|utf8mb3|utf8)\1(?:\s*COLLATE\s+(['\"]?)utf8mb4_general_ci\2)?",
    _FLAGS,
)
_NAME = r"(?:\s*`[^`]+`|\s+[^\s`'\"(),;]+)"
_USE = re.compile(rf"USE({_NAME})", _FLAGS)
_AUTOCOMMIT = re.compile(
    r"SET\s+(?:SESSION\s+|@@)?AUTOCOMMIT\s*=\s*(?:(1|ON|TRUE)|0|OFF|FALSE)", _FLAGS
)
_READ_WITH_EFFECTS = re.compile(
    r"\b(?:FOR\s+UPDATE|FOR\s+SHARE|LOCK\s+IN\s+SHARE\s+MODE"
    r"|INTO\s+(?:OUTFILE|DUMPFILE)\b|INTO\s*@)",
    _FLAGS,
)
# Effects that stay on a connection when its caller's transaction has ended.
_LASTING = re.compile(
    r"^(?:CREATE|DROP)\s+TEMPORARY\b"
    r"|\b(?:GET_LOCK|RELEASE_LOCK|RELEASE_ALL_LOCKS)\s*\(",
    _FLAGS,
)
# What reads the state that a connection has from earlier statements.
_OF_CONNECTION = re.compile(
    r"^SHOW\s+(?:COUNT\s*\(\s*\*\s*\)\s*)?(?:WARNINGS|ERRORS)\b"
    r"|\bLAST_INSERT_ID\s*\(\s*\)|\b(?:FOUND_ROWS|ROW_COUNT)\s*\("
    r"|\bSQL_CALC_FOUND_ROWS\b|@@\s*(?:(?:SESSION|LOCAL)\s*\.\s*)?"
    r"(?:IDENTITY|LAST_INSERT_ID|INSERT_ID|WARNING_COUNT|ERROR_COUNT)\b",
    _FLAGS,
)
_VARIABLE = re.compile(r"(?<!@)@(?!@)")
# Words without which a statement is what its first word says.
_SUSPECT_READ = re.compile(
    r"\b(?:UPDATE|SHARE|INTO|WARNINGS|ERRORS)\b|CARDAMOMDRIFT_|LOCKS?\b"
    r"|LAST_INSERT_ID|FOUND_ROWS|ROW_COUNT",
    _FLAGS,
)
_SUSPECT_CHANGE = re.compile(r"_LOCKS?\b|LAST_INSERT_ID|FOUND_ROWS|ROW_COUNT", _FLAGS)
_MODE = r"(?:WITH\s+CONSISTENT\s+SNAPSHOT|READ\s+(?:ONLY|WRITE))"
_END = r"(?:\s+WORK)?(?:\s+AND\s+NO\s+CHAIN)?(?:\s+NO\s+RELEASE)?"
# Each group has the name of its verb.
_CONTROL = re.compile(
    rf"(?P<BEGIN>BEGIN(?:\s+WORK)?|START\s+TRANSACTION(?:\s+{_MODE}(?:\s*,\s*{_MODE})*)?)"
    rf"|(?P<COMMIT>COMMIT{_END})|(?P<ROLLBACK>ROLLBACK{_END})"
    rf"|(?P<SAVEPOINT>(?:(?:RELEASE\s+)?SAVEPOINT"
    rf"|ROLLBACK(?:\s+WORK)?\s+TO(?:\s+SAVEPOINT)?){_NAME})",
    _FLAGS,
)
_ROUTINE = re.compile(r"\b(?:PROCEDURE|FUNCTION|TRIGGER|EVENT)\b", _FLAGS)


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
    CONTROL = auto()  # a transaction's; its text tells which
    UNSUPPORTED = auto()


_VERBS = {
    "SELECT": Verb.READ,
    "SHOW": Verb.READ,
    "DESCRIBE": Verb.READ,
    "DESC": Verb.READ,
    "EXPLAIN": Verb.READ,
    "VALUES": Verb.READ,
    "TABLE": Verb.READ,
    "HELP": Verb.READ,
    "SET": Verb.SET,
    "USE": Verb.USE,
    **dict.fromkeys(
        ("BEGIN", "START", "COMMIT", "ROLLBACK", "SAVEPOINT", "RELEASE"), Verb.CONTROL
    ),
    **dict.fromkeys(
        (
            *("INSERT", "UPDATE", "DELETE", "REPLACE", "WITH", "CALL", "DO", "LOAD"),
            *("CREATE", "ALTER", "DROP", "TRUNCATE", "RENAME", "GRANT", "REVOKE"),
            *("ANALYZE", "CHECK", "CHECKSUM", "OPTIMIZE", "REPAIR", "IMPORT"),
        ),
        Verb.WRITE,
    ),
}
_CHANGES = frozenset(("INSERT", "UPDATE", "DELETE", "REPLACE"))
_DEFINITIONS = frozenset(("CREATE", "ALTER"))
_USES_VARIABLES = _CHANGES | {"SELECT", "VALUES", "TABLE", "WITH", "CALL", "DO"}
_QUERIES = frozenset(("SELECT", "TABLE", "VALUES", "WITH"))

# Statements that commit the open transaction implicitly.
_IMPLICIT_COMMIT = frozenset(
    (
        *("CREATE", "ALTER", "DROP", "TRUNCATE", "RENAME", "GRANT", "REVOKE"),
        *("ANALYZE", "CHECK", "OPTIMIZE", "REPAIR", "IMPORT"),
    )
)


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
        Name of the database or option, where the verb has one, or why the statement is
        not supported.
    value : str
        Value of the option that is set.
    keyword : str
        First word, in upper case.
    of_connection : bool
        Whether it reads what earlier statements have left on its connection.
    """

    sql: str
    verb: Verb
    options: tuple = ()
    argument: str = ""
    value: str = ""
    keyword: str = ""
    of_connection: bool = False

    @property
    def commits_implicitly(self):
        """Whether the statement ends an open transaction by committing it."""
        return self.keyword in _IMPLICIT_COMMIT


@dataclass(frozen=True, slots=True)
class _Outline:
    """
    Attributes
    ----------
    text : str
        The first statement of a text, without comments.
    code : str
        The same without the content of strings, and without the marks of names and of
        version comments.
    versioned : bool
        Whether there is a version comment, which instances may or may not run.
    several : bool
        Whether a semicolon is followed by more.
    fault : str
        Why the tokens are not certain, or empty.
    """

    text: str
    code: str
    versioned: bool
    several: bool
    fault: str = ""


def _read_outline(sql, start):
    text, code = [], []
    end = start
    several = ended = versioned = False
    for match in TOKEN.finditer(sql, start):
        gap, token = sql[end : match.start()], match[0]
        end = match.end()
        kind = match.lastgroup
        if ended:
            several = several or kind != "comment" or bool(gap.strip(BLANKS))
            continue
        text.append(gap)
        code.append(gap)
        match kind:
            case "comment":
                text.append(" ")
                code.append(" ")
            case "quoted":
                text.append(token)
                code.append(f" {token[1:-1]} " if token[0] == "`" else "''")
            case "open":
                return _Outline("", "", versioned, several, f"{token} has no end")
            case "version" if not _may_be_skipped(sql, end):
                reason = "a version comment with quoted text, comment or semicolon"
                return _Outline("", "", versioned, several, reason)
            case "semicolon":
                ended = True
            case _:
                text.append(token)
                code.append(" " if kind == "version" else token)
                versioned = versioned or kind == "version"
    rest = sql[end:]
    if ended:
        several = several or bool(rest.strip(BLANKS))
    else:
        text.append(rest)
        code.append(rest)
    joined = "".join(code).strip(BLANKS)
    return _Outline(
        "".join(text).strip(BLANKS),
        joined.replace("*/", " ") if versioned else joined,
        versioned,
        several,
    )


def _may_be_skipped(sql, start):
    """Return whether the tokens are the same if a version comment is skipped."""
    end = sql.find("*/", start)
    return end >= 0 and not TOKEN.search(sql, start, end)


def _parse_options(sql, start):
    """Return the options in the comments before a position."""
    if not start:
        return ()
    options = []
    for match in TOKEN.finditer(sql, 0, start):
        prefix, separator, text = match[0][2:-2].partition(":")
        if not match[0].startswith("/*") or prefix.strip() != OPTION_PREFIX:
            continue
        options.extend(
            (option[1], option[2] if option[2] is not None else option[3])
            for option in _OPTION.finditer(text)
        )
    return tuple(options)


def _parse_set(sql, text, options):
    match = _SET_OPTION.fullmatch(text)
    if match:
        value = next((group for group in match.groups()[1:] if group is not None), "")
        return Statement(sql, Verb.SET_OPTION, options, match[1].lower(), value)
    match = _AUTOCOMMIT.fullmatch(text)
    if match:
        verb = Verb.AUTOCOMMIT_ON if match[1] else Verb.AUTOCOMMIT_OFF
        return Statement(sql, verb, options)
    if _SET_CHARSET.fullmatch(text):
        return Statement(sql, Verb.SET, options)
    reason = "session variables of the database are not kept by the proxy"
    return Statement(sql, Verb.UNSUPPORTED, options, reason)


def _is_plain(sql, start, keyword):
    """Return whether the first word alone gives the verb."""
    if keyword in _CHANGES:
        return not _SUSPECT_CHANGE.search(sql, start)
    return _VERBS.get(keyword) is Verb.READ and not _SUSPECT_READ.search(sql, start)


@cache_short_texts
def parse_statement(sql):
    """Parse a statement's verb and options."""
    start = LEADING.match(sql).end()
    options = _parse_options(sql, start)

    def refuse(reason):
        return Statement(sql, Verb.UNSUPPORTED, options, reason)

    match = _VERB.match(sql, start)
    keyword = match[2].upper() if match else ""
    if _is_plain(sql, start, keyword) and not match[1] and SINGLE.match(sql, start):
        return Statement(sql, _VERBS[keyword], options, keyword=keyword)
    outline = _read_outline(sql, start)
    if outline.fault:
        return refuse(outline.fault)
    if not outline.text and not outline.several:
        return Statement(sql, Verb.WRITE, options)  # instances refuse an empty one
    match = _VERB.match(outline.text)
    keyword = match[2].upper() if match else ""
    verb = _VERBS.get(keyword)
    if verb is None or ("(" in match[1] and keyword not in _QUERIES):
        return refuse("the statement is not known, or needs a connection of its own")
    routine = keyword in _DEFINITIONS and _ROUTINE.search(outline.code)
    if outline.several and not routine:
        return refuse("several statements in one text")
    match verb:
        case Verb.SET:
            return _parse_set(sql, outline.text, options)
        case Verb.USE:
            return _parse_use(sql, outline.text, options)
        case Verb.CONTROL:
            control = _CONTROL.fullmatch(outline.text)
            if control is None:
                return refuse(f"{keyword} in a form that is not supported")
            return Statement(sql, Verb[control.lastgroup], options)
        case Verb.READ if _READ_OPTION.fullmatch(outline.text):
            option = _READ_OPTION.fullmatch(outline.text)[1].lower()
            return Statement(sql, Verb.READ_OPTION, options, option)
        case Verb.READ if _has_effects(outline):
            verb = Verb.WRITE
    if not routine and _LASTING.search(outline.code):
        return refuse("the statement needs a connection of its own")
    return Statement(
        sql,
        verb,
        options,
        keyword=keyword,
        of_connection=_is_of_connection(keyword, outline.code),
    )


def _parse_use(sql, text, options):
    match = _USE.fullmatch(text)
    if match is None:
        return Statement(sql, Verb.UNSUPPORTED, options, "no name of a database")
    return Statement(sql, Verb.USE, options, match[1].strip(BLANKS + "`"))


def _has_effects(outline):
    """Return whether a read may only run on the primary."""
    return outline.versioned or any(
        _READ_WITH_EFFECTS.search(text) for text in (outline.text, outline.code)
    )


def _is_of_connection(keyword, code):
    if keyword in _DEFINITIONS:
        return False
    if _OF_CONNECTION.search(code):
        return True
    # A variable that the statement itself sets has a known value.
    uses = keyword in _USES_VARIABLES and _VARIABLE.search(code)
    return bool(uses) and ":=" not in code


@cache_short_texts
def shape_of(sql):
    """Return the statement with ? for its literals, for grouping by cost.

    The shape of a long text has its beginning and the order of its size.
    """
    start = LEADING.match(sql).end()
    if len(sql) <= CACHED_TEXT_LIMIT:
        return _LITERAL.sub("?", sql[start:])
    head = _LITERAL.sub("?", sql[start : start + SHAPE_LIMIT])
    return f"{_OPEN_LITERAL.sub('?', head)} {len(sql).bit_length()}"
