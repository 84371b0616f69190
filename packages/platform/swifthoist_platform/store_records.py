"""Records as the store frames them, and their decoding."""

import base64
import re
import struct
from typing import NamedTuple

from swifthoist_core.errors import LogUnavailableError
from swifthoist_core.types import Offset
from swifthoist_platform import names
from swifthoist_platform.values import read_json

_READ_HEADER = struct.Struct('>QQ')
_RECORD_LENGTH = struct.Struct('>I')
_SURROGATE = re.compile(rb'\\u[dD][89a-fA-F][0-9a-fA-F]{2}')


class Batch(NamedTuple):
    """Records of a topic.

    :ivar start: offset of the first of them.
    :ivar records: the records, in order.
    :ivar end: offset that the next record of the topic will get.
    :ivar earliest: offset of the oldest record that is retained.
    """

    start: Offset
    records: tuple[bytes, ...]
    end: Offset
    earliest: Offset = 0


class KeyedRecord(NamedTuple):
    """The newest record of a key.

    :ivar key: the key.
    :ivar content: its value; empty if the key was deleted.
    """

    key: str
    content: bytes


class KeyedListing(NamedTuple):
    """The newest record of each key of a keyed topic.

    :ivar items: the records, one for each key.
    :ivar end: offset from which to continue reading.
    """

    items: tuple[KeyedRecord, ...]
    end: Offset


def parse_records(start: Offset, content: bytes) -> Batch:
    """Split the reply to a read into records.

    :param start: offset that was requested.
    :param content: body of the reply.
    :returns: the records.
    :raises LogUnavailableError: if the reply is truncated.
    """
    if len(content) < _READ_HEADER.size:
        raise LogUnavailableError('truncated reply from the store')
    end, earliest = _READ_HEADER.unpack_from(content)
    records: list[bytes] = []
    position = _READ_HEADER.size
    while position < len(content):
        if position + _RECORD_LENGTH.size > len(content):
            raise LogUnavailableError('truncated reply from the store')
        length = _RECORD_LENGTH.unpack_from(content, position)[0]
        position += _RECORD_LENGTH.size
        records.append(content[position : position + length])
        position += length
    if position > len(content):
        raise LogUnavailableError('truncated reply from the store')
    return Batch(start, tuple(records), end, earliest)


def parse_keyed_record(record: bytes) -> KeyedRecord | None:
    """Split a record of a keyed topic into key and value.

    :param record: length of the key in one byte, the key and the value.
    :returns: the key and its value; none if the record is invalid.
    """
    if not record or len(record) < 1 + record[0]:
        return None
    try:
        key = record[1 : 1 + record[0]].decode()
    except UnicodeDecodeError:
        return None
    return KeyedRecord(key, record[1 + record[0] :])


class KeyedPage(NamedTuple):
    """One page of a listing.

    :ivar items: the records whose key and value are valid.
    :ivar end: offset that the next record of the topic will get.
    :ivar has_more: whether other pages follow.
    :ivar last_key: key after which the next page begins; empty if none has one.
    """

    items: tuple[KeyedRecord, ...]
    end: Offset
    has_more: bool
    last_key: str


def decode_page(content: bytes) -> KeyedPage:
    """Decode a page of a listing.

    :param content: body of the reply.
    :returns: the page.
    :raises LogUnavailableError: if it can't be decoded as a whole.
    """
    reader = read_json(content)
    if reader.findings:
        # One key that is no text must not hide the others.
        reader = read_json(_replace_undecodable(content))
    rows = [row for row in reader.array(names.ITEMS) if isinstance(row, dict)]
    end = reader.integer(names.END_OFFSET)
    has_more = reader.boolean(names.HAS_MORE)
    if reader.findings or not reader.has(names.END_OFFSET):
        found = '; '.join(map(str, reader.findings))
        raise LogUnavailableError(
            f'undecodable listing from the store: {found}'
        )
    keys = [
        row[names.KEY] for row in rows if isinstance(row.get(names.KEY), str)
    ]
    found_items = (
        decode_item(row.get(names.KEY), row.get(names.VALUE)) for row in rows
    )
    return KeyedPage(
        tuple(item for item in found_items if item is not None),
        end,
        has_more,
        keys[-1] if keys else '',
    )


def _replace_undecodable(content: bytes) -> bytes:
    """Replace bytes that are no UTF-8, and halves of surrogate pairs."""
    text = content.decode(errors='replace').encode()
    return _SURROGATE.sub(rb'\\ufffd', text)


def decode_item(key: object, encoded: object) -> KeyedRecord | None:
    """Decode an entry of a listing.

    :param key: its key.
    :param encoded: its value, in base64.
    :returns: the record, with an empty value if that is invalid; none if the
        key is.
    """
    if not isinstance(key, str) or not isinstance(encoded, str):
        return None
    try:
        return KeyedRecord(key, base64.b64decode(encoded))
    except ValueError:
        return KeyedRecord(key, b'')


def add_length(record: bytes) -> bytes:
    """Put the length of a record in front of it.

    :param record: the record.
    :returns: the bytes to append.
    """
    return _RECORD_LENGTH.pack(len(record)) + record
