"""
Odd texts
=========

Parts of texts that a daemon must pass on unchanged, although a careless one trims,
splits, decodes or interprets them.
"""

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
