"""
Answers
=======

Turns an instance's complete result into the answer that a caller gets.
"""

from cardamomdrift.mysql.wire import Ok, Rows


def make_answer(result):
    """Return the answer for a result that holds all its rows."""
    if result.columns:
        return Rows(result.columns, result.rows)
    return Ok(result.affected_rows, result.insert_id)
