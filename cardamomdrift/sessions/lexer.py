"""
Lexer
=====

The parts of a statement's text that the proxy has to tell apart, as MySQL's lexer does
while backslash escapes are on: quoted text, comments, parameters and semicolons.
"""

import re
from functools import lru_cache, wraps

CACHED_TEXT_LIMIT = 4096  # characters
CACHE_SIZE = 4096  # texts
BLANKS = " \t\n\v\f\r"  # characters that separate words; no others do

_QUOTED = r"'(?:[^'\\]++|\\.|'')*+'|\"(?:[^\"\\]++|\\.|\"\")*+\"|`[^`]*+`"
_LINE_COMMENT = r"(?:\#|--(?=[\x00-\x20\x7f]|\Z))[^\n\0]*+"
_COMMENT = rf"/\*(?!!).*?\*/|{_LINE_COMMENT}"
_SPACE = rf"(?:[ \t\n\v\f\r]++|{_COMMENT})*+"

# Blanks and comments.
LEADING = re.compile(_SPACE, re.DOTALL)
# The rest of a text that is one statement, whose quoted texts and comments all have an
# end, without version comments and variables.
SINGLE = re.compile(
    rf"(?:[^'\"`\#;@/-]++|{_QUOTED}|{_COMMENT}|/(?!\*)|-(?!-[\x00-\x20\x7f]|-\Z))*+"
    rf"(?:;{_SPACE})?\Z",
    re.DOTALL,
)
# A token has the group of its kind.  A group `open` is the start of a quoted text or
# comment without an end.  The content of a version comment consists of tokens itself.
TOKEN = re.compile(
    rf"(?P<quoted>{_QUOTED})|(?P<comment>{_COMMENT})|(?P<version>/\*![0-9]*)"
    r"|(?P<open>['\"`]|/\*)|(?P<parameter>\?)|(?P<semicolon>;)",
    re.DOTALL,
)


def cache_short_texts(function):
    """Cache the results of a function of a text, unless the text is long."""
    cached = lru_cache(maxsize=CACHE_SIZE)(function)

    @wraps(function)
    def call(sql):
        return (cached if len(sql) <= CACHED_TEXT_LIMIT else function)(sql)

    call.cache_info = cached.cache_info
    return call
