"""
Lexer
=====

The parts of a statement's text that the proxy has to tell apart, as MySQL's lexer does
while backslash escapes are on: quoted text, comments, parameters and semicolons.
"""

import re

BLANKS = " \t\n\v\f\r"  # characters that separate words; no others do

# A token has the group of its kind.  A group `open` is the start of a quoted text or
# comment without an end.  The content of a version comment consists of tokens itself.
TOKEN = re.compile(
    r"(?P<quoted>'(?:[^'\\]++|\\.|'')*+'|\"(?:[^\"\\]++|\\.|\"\")*+\"|`[^`]*+`)"
    r"|(?P<comment>/\*(?!!).*?\*/|(?:\#|--(?=[\x00-\x20\x7f]|\Z))[^\n\0]*+)"
    r"|(?P<version>/\*![0-9]*)"
    r"|(?P<open>['\"`]|/\*)"
    r"|(?P<parameter>\?)"
    r"|(?P<semicolon>;)",
    re.DOTALL,
)
