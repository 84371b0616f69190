"""Snapshots of the ledger: its whole state, in checked chunks.

The aggregates keep their state in containers of immutable values, so a
shallow copy of the containers is a consistent clone that can be encoded
piece by piece while the fold goes on. What belongs to the state is declared
in :mod:`swifthoist_core.state`; an attribute that is missing there is an
error, never a silent loss. An aggregate names what it can compute anew in a
class attribute ``DERIVED`` and does so in a method ``rebuild``.
"""

import zlib
from collections.abc import Iterable, Iterator, Sequence
from operator import attrgetter
from typing import Any, NamedTuple, get_origin

import msgspec
import xxhash

from swifthoist_core.errors import SnapshotError, SnapshotVersionError
from swifthoist_core.ledger import Ledger
from swifthoist_core.state import FIELDS, Field
from swifthoist_core.types import Millis, Offset

VERSION = 1
"""Version of the format; grows with any change of its fields."""

CHUNK_BYTES = 240 * 1024
"""Bytes of rows in one chunk before compression; a chunk stays below
256 KiB even if nothing of it compresses."""

OLDEST_VERSION = 1
"""Oldest format that this program still reads."""

_ZLIB_LEVEL = 1
_MAX_BODY_BYTES = 1 << 22


_PATHS = frozenset(field.path for field in FIELDS)


class Section(NamedTuple):
    """The rows of one attribute.

    :ivar field: the attribute.
    :ivar rows: pairs of a mapping, items of a list or set, or one value.
    """

    field: Field
    rows: tuple[Any, ...]


class Clone(NamedTuple):
    """The state of a ledger at one offset.

    :ivar offset: offset of the next record to fold.
    :ivar time_ms: log time of the last record.
    :ivar sections: all rows, in the order of :data:`FIELDS`.
    """

    offset: Offset
    time_ms: Millis
    sections: tuple[Section, ...]


class Part(NamedTuple):
    """Rows of one attribute, encoded.

    :ivar field: index into :data:`FIELDS`.
    :ivar body: compressed rows.
    """

    field: int
    body: bytes


class Chunk(NamedTuple):
    """One piece of a snapshot, as it stands on the log.

    :ivar snapshot: hash over all parts; names the snapshot.
    :ivar offset: offset of the next record to fold.
    :ivar time_ms: log time of the last record that is folded in.
    :ivar total: number of chunks in the snapshot.
    :ivar position: position of the chunk in the snapshot, from 0.
    :ivar part: the rows.
    """

    snapshot: int
    offset: Offset
    time_ms: Millis
    total: int
    position: int
    part: Part


class _Frame(NamedTuple):
    version: int
    chunk: msgspec.Raw


_HEAD = 4
_encode = msgspec.msgpack.Encoder().encode
_frame_decoder = msgspec.msgpack.Decoder(_Frame)
_chunk_decoder = msgspec.msgpack.Decoder(Chunk)


def clone(ledger: Ledger) -> Clone:
    """Copy the state of a ledger, cheaply.

    :param ledger: the ledger.
    :returns: its state at its offset.
    :raises SnapshotError: when an attribute is not declared.
    """
    _check_declared(ledger)
    sections = (Section(field, _rows(ledger, field)) for field in FIELDS)
    return Clone(ledger.offset, ledger.time_ms, tuple(sections))


def pack(state: Clone) -> Iterator[Part]:
    """Encode a state, part by part.

    :param state: the state.
    :yields: parts of bounded size, to be sealed together.
    """
    for index, section in enumerate(state.sections):
        for rows in _slices(section.rows):
            yield Part(index, zlib.compress(_encode(rows), _ZLIB_LEVEL))


def seal(state: Clone, parts: Sequence[Part]) -> tuple[bytes, ...]:
    """Make the chunks of a snapshot.

    :param state: the state that was packed.
    :param parts: all its parts, in order.
    :returns: the chunks, each to be one entry of a stream.
    """
    total = len(parts)
    name = _name(state.offset, state.time_ms, parts)
    chunks = (
        Chunk(name, state.offset, state.time_ms, total, index, part)
        for index, part in enumerate(parts)
    )
    return tuple(
        _encode(_Frame(VERSION, msgspec.Raw(_encode(chunk))))
        for chunk in chunks
    )


def open_chunk(payload: bytes) -> Chunk:
    """Read one chunk.

    :param payload: its bytes.
    :returns: the chunk; its content is checked by :func:`restore`.
    :raises SnapshotVersionError: when a newer program wrote it.
    :raises SnapshotError: when it is damaged.
    """
    try:
        frame = _frame_decoder.decode(payload)
    except msgspec.DecodeError as exc:
        raise SnapshotError(f'chunk is damaged: {exc}') from exc
    if frame.version > VERSION:
        raise SnapshotVersionError(frame.version, VERSION)
    if frame.version < OLDEST_VERSION:
        raise SnapshotError(f'format {frame.version} is no longer read')
    try:
        return _chunk_decoder.decode(frame.chunk)
    except msgspec.DecodeError as exc:
        raise SnapshotError(f'chunk is damaged: {exc}') from exc


def is_whole(chunks: Iterable[Chunk]) -> bool:
    """Tell whether chunks are all those of one snapshot, undamaged.

    :param chunks: chunks, each once, in any order.
    :returns: whether they are.
    """
    ordered = sorted(chunks, key=_position)
    if len({chunk[:_HEAD] for chunk in ordered}) != 1:
        return False
    first = ordered[0]
    if [chunk.position for chunk in ordered] != list(range(first.total)):
        return False
    parts = [chunk.part for chunk in ordered]
    return _name(first.offset, first.time_ms, parts) == first.snapshot


def restore(ledger: Ledger, chunks: Iterable[Chunk]) -> None:
    """Put a ledger into the state of a snapshot, wholly or not at all.

    :param ledger: the ledger; its aggregates stay the same objects.
    :param chunks: the chunks of one snapshot, in any order.
    :raises SnapshotError: when a chunk is missing or damaged.
    """
    ordered = sorted(set(chunks), key=_position)
    if not is_whole(ordered):
        raise SnapshotError('chunks are missing or damaged')
    rows: dict[int, list[Any]] = {}
    for chunk in ordered:
        rows.setdefault(chunk.part.field, []).extend(_unpack(chunk.part))
    state = [
        _value(item.kind, rows[index]) for index, item in enumerate(FIELDS)
    ]
    for item, found in zip(FIELDS, state, strict=True):
        setattr(_owner(ledger, item.path), item.name, found)
    for path in sorted(_PATHS):
        owner = _owner(ledger, path)
        if hasattr(owner, 'rebuild'):
            owner.rebuild()


def reset(ledger: Ledger) -> None:
    """Put a ledger back to before the first record.

    :param ledger: the ledger; its aggregates stay the same objects.
    """
    state = clone(Ledger())
    restore(ledger, map(open_chunk, seal(state, tuple(pack(state)))))


def _position(chunk: Chunk) -> int:
    return chunk.position


def _name(offset: Offset, time_ms: Millis, parts: Iterable[Part]) -> int:
    digest = xxhash.xxh64(f'{offset} {time_ms}'.encode())
    for part in parts:
        digest.update(part.field.to_bytes(2, 'big'))
        digest.update(xxhash.xxh64_digest(part.body))
    return digest.intdigest()


def _owner(ledger: Ledger, path: str) -> Any:
    return attrgetter(path)(ledger) if path else ledger


def _check_declared(ledger: Ledger) -> None:
    for path in _PATHS:
        owner = _owner(ledger, path)
        declared = {field.name for field in FIELDS if field.path == path}
        declared |= getattr(owner, 'DERIVED', frozenset())
        declared |= _inner(path)
        missing = set(owner.__dict__) - declared
        if missing:
            names = ', '.join(sorted(missing))
            raise SnapshotError(f'not declared for snapshots: {path}.{names}')


def _inner(path: str) -> set[str]:
    """Name the attributes of an aggregate that are aggregates themselves."""
    return {
        inner.removeprefix(path).strip('.').split('.')[0]
        for inner in _PATHS
        if inner.startswith(path) and inner != path
    }


def _rows(ledger: Ledger, field: Field) -> tuple[Any, ...]:
    found = getattr(_owner(ledger, field.path), field.name)
    if get_origin(field.kind) is dict:
        return tuple(found.items())
    if get_origin(field.kind) in {set, list}:
        return tuple(found)
    return (found,)


def _slices(rows: tuple[Any, ...]) -> Iterator[list[msgspec.Raw]]:
    """Cut rows into runs of bounded size; at least one, maybe empty."""
    run: list[msgspec.Raw] = []
    size = 0
    for row in rows:
        raw = msgspec.Raw(_encode(row))
        if run and size + len(raw) > CHUNK_BYTES:
            yield run
            run = []
            size = 0
        run.append(raw)
        size += len(raw)
    yield run


def _unpack(part: Part) -> list[Any]:
    try:
        rows: list[Any] = msgspec.msgpack.decode(
            zlib.decompressobj().decompress(part.body, _MAX_BODY_BYTES),
            type=_rows_type(FIELDS[part.field].kind),
        )
    except (msgspec.DecodeError, zlib.error, IndexError) as exc:
        raise SnapshotError(f'part is damaged: {exc}') from exc
    return rows


def _rows_type(kind: Any) -> Any:
    arguments = getattr(kind, '__args__', ())
    if get_origin(kind) is dict:
        return list[tuple[arguments]]  # type: ignore[valid-type]
    if get_origin(kind) in {set, list}:
        return list[arguments]  # type: ignore[valid-type]
    return list[kind]


def _value(kind: Any, rows: list[Any]) -> Any:
    origin = get_origin(kind)
    if origin is not None:
        return origin(rows)
    return rows[0]
