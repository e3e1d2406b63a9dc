"""
Stand-in storage engine
=======================

Storage of a stand-in instance: two in-memory SQLite databases.  The statements of the
open write transaction run on the working database.  Committed transactions are replayed
on the committed database, which serves all other reads.  At most one write transaction
is open at a time.
"""

import re
import sqlite3
from dataclasses import dataclass

from cardamomdrift.errors import StatementRefused
from cardamomdrift.sessions.lexer import TOKEN

# MySQL error codes
DUPLICATE_KEY_ERROR = 1062
NO_SUCH_TABLE_ERROR = 1146
SYNTAX_ERROR = 1064

_FOR_UPDATE = re.compile(r"\s+FOR\s+UPDATE[\s;]*$", re.IGNORECASE)
_BINARY_INTRODUCER = re.compile(r"\b_binary (?=X$)")
_ESCAPED = {quote: re.compile(rf"\\(.)|{quote * 2}", re.DOTALL) for quote in ("'", '"')}
_AUTO_INCREMENT_KEY = re.compile(
    r"\bBIGINT\s+AUTO_INCREMENT\s+PRIMARY\s+KEY\b|\bINT\s+AUTO_INCREMENT\s+PRIMARY\s+KEY\b",
    re.IGNORECASE,
)
_ESCAPES = {"n": "\n", "r": "\r", "t": "\t", "0": "\0", "Z": "\x1a"}


@dataclass(frozen=True, slots=True)
class EngineResult:
    """Result of one statement."""

    column_names: tuple
    rows: list
    affected_rows: int
    insert_id: int


def translate(sql):
    """Return a MySQL statement in SQLite's dialect."""
    sql = _AUTO_INCREMENT_KEY.sub("INTEGER PRIMARY KEY", sql)
    parts = []
    end = 0
    for match in TOKEN.finditer(sql):
        gap = sql[end : match.start()]
        parts.append(_BINARY_INTRODUCER.sub("", gap))
        parts.append(_translate_token(match.lastgroup, match[0]))
        end = match.end()
    parts.append(sql[end:])
    return _FOR_UPDATE.sub("", "".join(parts))


def locks_rows(sql):
    """Return whether a statement ends in FOR UPDATE."""
    return bool(_FOR_UPDATE.search(TOKEN.sub(_without_comment, sql)))


def _without_comment(match):
    return " " if match.lastgroup == "comment" else match[0]


def _translate_token(kind, token):
    if kind == "comment":
        return " "
    if kind != "quoted" or token[0] == "`":
        return token
    escaped = _ESCAPED[token[0]]
    text = escaped.sub(
        lambda found: _ESCAPES.get(found[1], found[1]) if found[1] else token[0],
        token[1:-1],
    )
    if "\0" in text:
        return f"CAST(X'{text.encode().hex()}' AS TEXT)"
    return "'" + text.replace("'", "''") + "'"


def _make_refusal(error):
    """Return the StatementRefused with the MySQL error code of an SQLite error."""
    text = str(error)
    if "UNIQUE" in text:
        return StatementRefused(DUPLICATE_KEY_ERROR, f"Duplicate entry: {text}")
    if "no such table" in text:
        return StatementRefused(NO_SUCH_TABLE_ERROR, text)
    return StatementRefused(SYNTAX_ERROR, text)


def _execute(database, sql):
    try:
        cursor = database.execute(translate(sql))
        rows = cursor.fetchall()
    except sqlite3.Error as error:
        raise _make_refusal(error) from error
    names = tuple(column[0] for column in cursor.description or ())
    return EngineResult(names, rows, max(cursor.rowcount, 0), cursor.lastrowid or 0)


class Engine:
    """Storage engine of one instance."""

    def __init__(self):
        self._open()

    def _open(self):
        self._working = sqlite3.connect(":memory:", isolation_level=None)
        self._committed = sqlite3.connect(":memory:", isolation_level=None)
        self._statements = []

    def close(self):
        """Close both databases."""
        self._working.close()
        self._committed.close()

    def reset(self):
        """Drop all data and start with empty databases."""
        self.close()
        self._open()

    def read(self, sql):
        """Run a statement on the committed database."""
        return _execute(self._committed, sql)

    def begin(self):
        """Open the write transaction."""
        self._working.execute("BEGIN")

    def write(self, sql):
        """Run a statement inside the write transaction."""
        result = _execute(self._working, sql)
        if not result.column_names:
            self._statements.append(sql)
        return result

    def commit(self):
        """Commit the write transaction and return its write statements."""
        statements = tuple(self._statements)
        self._statements.clear()
        self._working.execute("COMMIT")
        self._replay(self._committed, statements)
        return statements

    def rollback(self):
        """Roll the write transaction back, if one is open."""
        self._statements.clear()
        if self._working.in_transaction:
            self._working.execute("ROLLBACK")

    def apply(self, statements):
        """Apply the statements of a transaction committed on another instance."""
        self._replay(self._working, statements)
        self._replay(self._committed, statements)

    @staticmethod
    def _replay(database, statements):
        for sql in statements:
            _execute(database, sql)
