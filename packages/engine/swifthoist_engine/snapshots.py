"""Snapshots of the fold, so that the log may forget its oldest records.

A snapshot is cut into chunks that fit into records. Its head names the chunks
and their checksum, so a reader notices chunks that are missing or were
replaced meanwhile.
"""

import zlib
from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from swifthoist_core.errors import SnapshotError
from swifthoist_core.types import Epoch, Offset
from swifthoist_engine.cell import CellState

FORMAT = 1
"""Format of the state that this version writes and reads."""

HEAD_KEY = 'snapshot/head'
CHUNK_KEY_PREFIX = 'snapshot/chunk/'

_COMPRESSION_LEVEL = 1
"""Level of compression: the fastest, since the holder has decisions to make."""


class Head(NamedTuple):
    """What names a whole snapshot.

    :ivar format: format of the state.
    :ivar position: offset of the first record that it does not hold.
    :ivar slot: names its chunks.
    :ivar chunks: number of its chunks.
    :ivar checksum: CRC-32 of the chunks together.
    """

    format: int
    position: Offset
    slot: str
    chunks: int
    checksum: int


class Snapshot(NamedTuple):
    """A snapshot, ready to be written.

    :ivar head: its head; it is written last.
    :ivar chunks: its chunks by key.
    """

    head: Head
    chunks: dict[str, bytes]


class Restored(NamedTuple):
    """A state that was read from a snapshot.

    :ivar state: the state.
    :ivar position: offset from which to read on.
    """

    state: CellState
    position: Offset


_heads = msgspec.msgpack.Decoder(Head)
_states = msgspec.msgpack.Decoder(CellState)


def take_snapshot(
    state: CellState, position: Offset, number: int, max_chunk_bytes: int
) -> Snapshot:
    """Take a snapshot.

    :param state: state of the cell.
    :param position: offset of the first record that it does not hold.
    :param number: number of the snapshot in this life; two slots are used
        in turn, so that the one before stays whole meanwhile.
    :param max_chunk_bytes: largest chunk, in bytes.
    :returns: the snapshot.
    """
    packed = zlib.compress(msgspec.msgpack.encode(state), _COMPRESSION_LEVEL)
    slot = f'{state.epoch}-{number % 2}'
    pieces = [
        packed[start : start + max_chunk_bytes]
        for start in range(0, len(packed), max_chunk_bytes)
    ]
    chunks = {
        chunk_key(slot, index): piece for index, piece in enumerate(pieces)
    }
    head = Head(FORMAT, position, slot, len(pieces), zlib.crc32(packed))
    return Snapshot(head, chunks)


def chunk_key(slot: str, number: int) -> str:
    """Name a chunk.

    :param slot: slot of its snapshot.
    :param number: number of the chunk, from 0.
    :returns: its key.
    """
    return f'{CHUNK_KEY_PREFIX}{slot}/{number}'


def encode_head(head: Head) -> bytes:
    """Encode a head.

    :param head: the head.
    :returns: its bytes.
    """
    return msgspec.msgpack.encode(head)


def restore(contents: Mapping[str, bytes]) -> Restored | None:
    """Read the newest whole snapshot.

    :param contents: values of the topic by key.
    :returns: the state; none if there never was a snapshot.
    :raises SnapshotError: when it is damaged or of another format.
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
    if head.format != FORMAT:
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
    """List the chunks that earlier tenures left.

    :param contents: values of the topic by key.
    :param epoch: epoch of the tenure.
    :returns: keys to drop, once a snapshot of this tenure is written.
    """
    own = f'{CHUNK_KEY_PREFIX}{epoch}-'
    return tuple(
        key
        for key in contents
        if key.startswith(CHUNK_KEY_PREFIX) and not key.startswith(own)
    )
