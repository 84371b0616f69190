"""Bytes of records on the log: msgpack arrays behind the record's name."""

from typing import NamedTuple, get_args

import msgspec

from swifthoist_core.records import Author, Envelope, Record

_KINDS: dict[str, type[Record]] = {
    kind.__name__: kind for kind in get_args(Record)
}


class _Frame(NamedTuple):
    author: Author
    seq: int
    kind: str
    body: msgspec.Raw


_encoder = msgspec.msgpack.Encoder()
_frame_decoder = msgspec.msgpack.Decoder(_Frame)
_decoders = {
    name: msgspec.msgpack.Decoder(kind) for name, kind in _KINDS.items()
}


def encode(envelope: Envelope) -> bytes:
    """Encode a record for the log.

    :param envelope: a record of a known kind.
    :returns: its bytes.
    """
    record = envelope.record
    body = msgspec.Raw(_encoder.encode(record))
    kind = type(record).__name__
    frame = _Frame(envelope.author, envelope.seq, kind, body)
    return _encoder.encode(frame)


def decode(payload: bytes) -> Envelope:
    """Decode a record from the log.

    :param payload: bytes as :func:`encode` made them.
    :returns: the record; without content if this version of the program
        does not know its kind, so that a newer one can be rolled out.
    :raises msgspec.DecodeError: when the bytes are no record at all.
    """
    frame = _frame_decoder.decode(payload)
    decoder = _decoders.get(frame.kind)
    record = None if decoder is None else decoder.decode(frame.body)
    return Envelope(frame.author, frame.seq, record)
