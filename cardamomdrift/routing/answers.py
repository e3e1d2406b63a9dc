"""
Answers
=======

Converts a complete result of an instance to the answer for the caller.
"""

from cardamomdrift.mysql.wire import Ok, Rows


def make_answer(result):
    """Return Rows if the result has columns, otherwise Ok."""
    if result.columns:
        return Rows(result.columns, result.rows)
    return Ok(result.affected_rows, result.insert_id)
