"""Snapshots of the folded state, so that the log can drop its oldest records.

A snapshot is split into chunks that fit into records. Its head lists the number
of chunks and their checksum, so that a reader detects chunks that are missing
or were replaced in the meantime.
"""

import zlib
from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from swifthoist_core.errors import SnapshotError
from swifthoist_core.types import Epoch, Offset
from swifthoist_engine.cell_state import CellState
from swifthoist_engine.storable import ENCODE_ERRORS, storable_state

FORMAT = 1
"""Format of the state."""

PACKED_FORMAT = 2
"""Format of a state with packed units. Versions that don't know them would
start those again, and refuse the format."""

HEAD_KEY = 'snapshot/head'
CHUNK_KEY_PREFIX = 'snapshot/chunk/'

_COMPRESSION_LEVEL = 1
"""The fastest compression, since the holder has decisions to make."""


class Head(NamedTuple):
    """Describes a complete snapshot.

    :ivar format: format of the state.
    :ivar position: offset of the first record that is not included.
    :ivar slot: slot of its chunks, a part of their keys.
    :ivar chunks: number of its chunks.
    :ivar checksum: CRC-32 of all chunks together.
    """

    format: int
    position: Offset
    slot: str
    chunks: int
    checksum: int


class Snapshot(NamedTuple):
    """A snapshot, ready to be written.

    :ivar head: its head, to be written last.
    :ivar chunks: its chunks by key.
    :ivar left_out: paths of totals and estimates that it lacks.
    """

    head: Head
    chunks: dict[str, bytes]
    left_out: tuple[str, ...] = ()


class Restored(NamedTuple):
    """State read from a snapshot.

    :ivar state: the state.
    :ivar position: offset of the next record to read.
    """

    state: CellState
    position: Offset


_heads = msgspec.msgpack.Decoder(Head)
_states = msgspec.msgpack.Decoder(CellState)


def take_snapshot(
    state: CellState, position: Offset, number: int, max_chunk_bytes: int
) -> Snapshot:
    """Create a snapshot.

    Totals and estimates that can't be encoded are left out of it.

    :param state: state of the cell.
    :param position: offset of the first record that is not included.
    :param number: number of the snapshot in this life; two slots are used
        alternately, so that the previous snapshot stays complete meanwhile.
    :param max_chunk_bytes: largest size of a chunk, in bytes.
    :returns: the snapshot.
    """
    encoded, left_out = _encode_state(state)
    packed = zlib.compress(encoded, _COMPRESSION_LEVEL)
    slot = f'{state.epoch}-{number % 2}'
    pieces = [
        packed[start : start + max_chunk_bytes]
        for start in range(0, len(packed), max_chunk_bytes)
    ]
    chunks = {
        chunk_key(slot, index): piece for index, piece in enumerate(pieces)
    }
    units_packed = any(job.packed for job in state.jobs.values())
    head = Head(
        PACKED_FORMAT if units_packed else FORMAT,
        position,
        slot,
        len(pieces),
        zlib.crc32(packed),
    )
    return Snapshot(head, chunks, left_out)


def _encode_state(state: CellState) -> tuple[bytes, tuple[str, ...]]:
    try:
        return msgspec.msgpack.encode(state), ()
    except ENCODE_ERRORS:
        reduced, left_out = storable_state(state)
        return msgspec.msgpack.encode(reduced), left_out


def chunk_key(slot: str, number: int) -> str:
    """Return the key of a chunk.

    :param slot: slot of its snapshot.
    :param number: number of the chunk, from 0.
    :returns: the key.
    """
    return f'{CHUNK_KEY_PREFIX}{slot}/{number}'


def encode_head(head: Head) -> bytes:
    """Encode a head.

    :param head: the head.
    :returns: its bytes.
    """
    return msgspec.msgpack.encode(head)


def restore(contents: Mapping[str, bytes]) -> Restored | None:
    """Read the newest complete snapshot.

    :param contents: values of the topic by key.
    :returns: the state; none if no snapshot was ever written.
    :raises SnapshotError: if it is damaged or of another format.
    """
    encoded = contents.get(HEAD_KEY)
    if not encoded:
        return None
    try:
        head = _heads.decode(encoded)
        packed = b''.join(
            contents[chunk_key(head.slot, number)]
            for number in range(head.chunks)
        )
    except (msgspec.MsgspecError, KeyError) as exc:
        raise SnapshotError(f'snapshot is incomplete: {exc!r}') from exc
    if head.format not in {FORMAT, PACKED_FORMAT}:
        raise SnapshotError(f'snapshot has format {head.format}')
    if zlib.crc32(packed) != head.checksum:
        raise SnapshotError('snapshot does not match its checksum')
    try:
        state = _states.decode(zlib.decompress(packed))
    except (msgspec.MsgspecError, zlib.error) as exc:
        raise SnapshotError(f'snapshot is damaged: {exc!r}') from exc
    return Restored(state, head.position)


def stale_chunks(
    contents: Mapping[str, bytes], epoch: Epoch
) -> tuple[str, ...]:
    """Return the chunks left behind by earlier epochs.

    :param contents: values of the topic by key.
    :param epoch: epoch of the current holder.
    :returns: keys that can be dropped once a snapshot of this epoch is written.
    """
    own = f'{CHUNK_KEY_PREFIX}{epoch}-'
    return tuple(
        key
        for key in contents
        if key.startswith(CHUNK_KEY_PREFIX) and not key.startswith(own)
    )
