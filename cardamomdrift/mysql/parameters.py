"""
Binary parameters
=================

Reads the parameters of a prepared statement and the attributes of a query from their
packet.  A BLOB stays bytes: it is text only if the caller says so.
"""

import struct

from mysql_mimic.types import ColumnType, read_uint_len

from cardamomdrift.errors import BadRequest

UNSIGNED_FLAG = 0x80

_LAYOUTS = {
    ColumnType.TINY: "<b",
    ColumnType.BOOL: "<B",
    ColumnType.SHORT: "<h",
    ColumnType.YEAR: "<h",
    ColumnType.LONG: "<i",
    ColumnType.INT24: "<i",
    ColumnType.LONGLONG: "<q",
    ColumnType.FLOAT: "<f",
    ColumnType.DOUBLE: "<d",
}
_INTEGERS = frozenset(_LAYOUTS) - {ColumnType.FLOAT, ColumnType.DOUBLE}
_TEXTS = frozenset((ColumnType.VARCHAR, ColumnType.VAR_STRING, ColumnType.STRING))
_BLOBS = frozenset(
    (
        ColumnType.BLOB,
        ColumnType.TINY_BLOB,
        ColumnType.MEDIUM_BLOB,
        ColumnType.LONG_BLOB,
    )
)


def decode_text(data):
    """Return the text of bytes in utf8mb4.

    Raises
    ------
    BadRequest
        If the bytes are not valid in it.
    """
    try:
        return data.decode()
    except UnicodeDecodeError as error:
        raise BadRequest(f"byte {error.start} of a text is not utf8mb4") from None


def read_parameters(reader, count, named):
    """Return the name and value of each parameter.

    Parameters
    ----------
    reader : io.BytesIO
        Packet, at the bitmap of the parameters that are NULL.
    count : int
    named : bool
        Whether the parameters have names; otherwise these are empty.

    Raises
    ------
    BadRequest
        If a value's type is not supported, or the packet is malformed.
    """
    if not count:
        return []
    null_bitmap = int.from_bytes(_take(reader, (count + 7) // 8), "little")
    if not _take(reader, 1)[0]:
        raise BadRequest("the types of the parameters must be sent with each execution")
    types = []
    for _ in range(count):
        column_type, flags = _take(reader, 2)
        name = decode_text(_take_sized(reader)) if named else ""
        types.append((name, column_type, flags & UNSIGNED_FLAG))
    return [
        (
            name,
            None
            if null_bitmap >> index & 1
            else _read_value(reader, column_type, unsigned),
        )
        for index, (name, column_type, unsigned) in enumerate(types)
    ]


def _read_value(reader, column_type, unsigned):
    if column_type == ColumnType.NULL:
        return None
    if column_type in _TEXTS:
        return decode_text(_take_sized(reader))
    if column_type in _BLOBS:
        return _take_sized(reader)
    layout = _LAYOUTS.get(column_type)
    if layout is None:
        raise BadRequest(f"no parameters of type {column_type}; send them as text")
    if unsigned and column_type in _INTEGERS:
        layout = layout.upper()
    return struct.unpack(layout, _take(reader, struct.calcsize(layout)))[0]


def _take_sized(reader):
    try:
        size = read_uint_len(reader)
    except (struct.error, IndexError, ValueError):
        raise BadRequest("the packet ends within a parameter") from None
    return _take(reader, size)


def _take(reader, size):
    available = len(reader.getbuffer()) - reader.tell()
    data = reader.read(min(size, available))
    if len(data) != size:
        raise BadRequest("the packet ends within a parameter")
    return data
