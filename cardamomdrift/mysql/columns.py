"""
Result columns
==============

Result columns that pass text values through as bytes, and encode them in the binary
protocol of prepared statements.
"""

import re
import struct
from functools import lru_cache

from mysql_mimic.charset import CharacterSet
from mysql_mimic.packets import make_column_definition_41
from mysql_mimic.results import ResultColumn
from mysql_mimic.types import ColumnDefinition, ColumnType

BINARY_CHARSET_NUMBER = 63  # MySQL's number of the character set `binary`
DEFAULT_LENGTH = 256  # bytes
CACHED_NAME_LIMIT = 256  # characters; the longest alias of MySQL

_FRACTION = r"(?:\.(\d{1,6}))?"
_DATE = re.compile(rf"(\d+)-(\d+)-(\d+)(?: (\d+):(\d+):(\d+){_FRACTION})?")
_TIME = re.compile(rf"(-?)(\d+):(\d+):(\d+){_FRACTION}")


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


def _as_text(value):
    return value.decode() if isinstance(value, bytes) else str(value)


def _match(pattern, value):
    match = pattern.fullmatch(_as_text(value))
    if match is None:
        raise ValueError(f"not a date or time: {value!r}")
    return match


def _encode_date(_column, value):
    match = _match(_DATE, value)
    year, month, day, hour, minute, second = (
        int(part or 0) for part in match.groups()[:6]
    )
    micros = int((match[7] or "").ljust(6, "0"))
    data = struct.pack("<HBBBBBI", year, month, day, hour, minute, second, micros)
    if not micros:
        data = data[:7] if hour or minute or second else data[:4]
    return _with_size(data if any(data) else b"")


def _encode_time(_column, value):
    match = _match(_TIME, value)
    days, hour = divmod(int(match[2]), 24)
    minute, second = int(match[3]), int(match[4])
    micros = int((match[5] or "").ljust(6, "0"))
    data = struct.pack("<IBBBI", days, hour, minute, second, micros)
    if not any(data):
        return _with_size(b"")
    data = bytes((bool(match[1]),)) + data
    return _with_size(data if micros else data[:8])


def _with_size(data):
    return bytes((len(data),)) + data


def _encode_text(_column, value):
    return value if isinstance(value, bytes) else str(value).encode()


_BINARY_ENCODERS = {
    ColumnType.TINY: _integer_encoder("<b"),
    ColumnType.SHORT: _integer_encoder("<h"),
    ColumnType.YEAR: _integer_encoder("<h"),
    ColumnType.LONG: _integer_encoder("<i"),
    ColumnType.INT24: _integer_encoder("<i"),
    ColumnType.LONGLONG: _integer_encoder("<q"),
    ColumnType.FLOAT: _float_encoder("<f"),
    ColumnType.DOUBLE: _float_encoder("<d"),
    ColumnType.DATETIME: _encode_date,
    ColumnType.TIMESTAMP: _encode_date,
    ColumnType.DATE: _encode_date,
    ColumnType.TIME: _encode_time,
}


class Column:
    """Column of a result.

    Attributes
    ----------
    name : str
    codec : ResultColumn
        Encodes the values.
    definition : bytes
        Packet that describes the column to a client.
    """

    __slots__ = ("codec", "definition", "name")

    def __init__(self, name, codec, definition):
        self.name = name
        self.codec = codec
        self.definition = definition


def make_column(
    name, type_code, charset_number=0, flags=0, length=DEFAULT_LENGTH, decimals=0
):
    """Return a Column that passes text values through as bytes.

    Parameters
    ----------
    name : str
    type_code : int
    charset_number : int
        Only `BINARY_CHARSET_NUMBER` differs from the others.
    flags : int
        Flags of the column, among them whether it is unsigned.
    length : int
    decimals : int
    """
    # Names of expressions may have the size of their statement.
    make = _make_column if len(name) > CACHED_NAME_LIMIT else _make_cached_column
    return make(name, type_code, charset_number, flags, length, decimals)


def _make_column(name, type_code, charset_number, flags, length, decimals):
    column_type = ColumnType(type_code)
    binary = charset_number == BINARY_CHARSET_NUMBER
    codec = ResultColumn(
        name,
        column_type,
        text_encoder=_encode_text,
        binary_encoder=_BINARY_ENCODERS.get(column_type),
    )
    # Bytes are then written without a call of the encoder.
    codec.use_default_text_encoder = True
    definition = make_column_definition_41(
        server_charset=CharacterSet.utf8mb4,
        name=name,
        character_set=CharacterSet.binary if binary else CharacterSet.utf8mb4,
        column_length=length,
        column_type=column_type,
        flags=ColumnDefinition(flags),
        decimals=decimals,
    )
    return Column(name, codec, definition)


_make_cached_column = lru_cache(maxsize=4096)(_make_column)
