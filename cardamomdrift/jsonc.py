"""
JSON with comments
==================

Reader for the files that operators write.
"""

from pathlib import Path

import json5


def load_jsonc(path):
    """Return the value in a file of JSON with comments.

    Raises
    ------
    OSError
        If the file cannot be read.
    ValueError
        If it is not valid; the message names line and column.
    """
    return json5.loads(Path(path).read_text(encoding="utf-8"))
