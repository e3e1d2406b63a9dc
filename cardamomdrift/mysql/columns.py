"""
Result columns
==============

Result columns that pass text values through as bytes, and encode them in the binary
protocol of prepared statements.
"""

import struct
from functools import lru_cache

from asyncmy.converters import convert_date, convert_datetime, convert_timedelta
from mysql_mimic.charset import CharacterSet
from mysql_mimic.results import ResultColumn
from mysql_mimic.types import ColumnType

BINARY_CHARSET_NUMBER = 63  # MySQL's number of the character set `binary`


def _integer_encoder(layout):
    bits = struct.calcsize(layout) * 8
    mask = (1 << bits) - 1
    unsigned = layout.upper()

    def encode(_column, value):
        return struct.pack(unsigned, int(value) & mask)

    return encode


def _float_encoder(layout):
    def encode(_column, value):
        return struct.pack(layout, float(value))

    return encode


def _parsed_encoder(parse, column_type):
    default_column = ResultColumn("", column_type)

    def encode(_column, value):
        if isinstance(value, bytes):
            value = parse(value.decode())
        return default_column.binary_encoder(default_column, value)

    return encode


_BINARY_ENCODERS = {
    ColumnType.TINY: _integer_encoder("<b"),
    ColumnType.SHORT: _integer_encoder("<h"),
    ColumnType.YEAR: _integer_encoder("<h"),
    ColumnType.LONG: _integer_encoder("<i"),
    ColumnType.INT24: _integer_encoder("<i"),
    ColumnType.LONGLONG: _integer_encoder("<q"),
    ColumnType.FLOAT: _float_encoder("<f"),
    ColumnType.DOUBLE: _float_encoder("<d"),
    ColumnType.DATETIME: _parsed_encoder(convert_datetime, ColumnType.DATETIME),
    ColumnType.TIMESTAMP: _parsed_encoder(convert_datetime, ColumnType.DATETIME),
    ColumnType.DATE: _parsed_encoder(convert_date, ColumnType.DATE),
    ColumnType.TIME: _parsed_encoder(convert_timedelta, ColumnType.TIME),
}


@lru_cache(maxsize=4096)
def make_column(name, type_code, charset_number=0):
    """Return a result column that passes text values through as bytes."""
    column_type = ColumnType(type_code)
    binary = charset_number == BINARY_CHARSET_NUMBER
    return ResultColumn(
        name,
        column_type,
        character_set=CharacterSet.binary if binary else CharacterSet.utf8mb4,
        binary_encoder=_BINARY_ENCODERS.get(column_type),
    )
