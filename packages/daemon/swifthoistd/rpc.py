"""Calls between instances: framed thrift over an anyio stream.

The generated code is synchronous; its argument and result structures are
read and written here, so that a handler can wait without a thread.
"""

import struct
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, TypeAlias

import anyio
from anyio.abc import ByteStream
from anyio.streams.buffered import BufferedByteReceiveStream
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.Thrift import TApplicationException, TException, TMessageType
from thrift.transport.TTransport import TMemoryBuffer

from swifthoist_core.errors import SwifthoistError
from swifthoistd.gen.peer import Peer

MAX_FRAME = 4 * 1024 * 1024
"""Largest frame that is read, in bytes."""

_LENGTH = struct.Struct('!I')

Handler: TypeAlias = Callable[..., Awaitable[object]]


class PeerError(SwifthoistError):
    """A call to another instance failed; it may have taken effect."""


class Message(NamedTuple):
    """A decoded message, up to its arguments or result.

    :ivar name: name of the method.
    :ivar kind: kind of message, of thrift's ``TMessageType``.
    :ivar seq: number of the call.
    :ivar protocol: where the rest is read from.
    """

    name: str
    kind: int
    seq: int
    protocol: Any


class Channel:
    """One framed connection, for calls one after the other."""

    def __init__(self, stream: ByteStream) -> None:
        """Wrap a connection.

        :param stream: the open connection.
        """
        self._stream = stream
        self._reader = BufferedByteReceiveStream(stream)
        self._seq = 0

    async def call(self, name: str, *args: object) -> Any:
        """Call a method at the other end.

        :param name: name of the method in the service.
        :param args: its arguments.
        :returns: its result.
        :raises PeerError: when there is no whole, matching answer.
        :raises TException: as declared by the method.
        """
        self._seq += 1
        request = getattr(Peer, f'{name}_args')(*args)
        frame = _encode(name, TMessageType.CALL, self._seq, request)
        try:
            await self.send_frame(frame)
            reply = _decode(await self.receive_frame())
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as exc:
            raise PeerError('connection is broken') from exc
        except (anyio.EndOfStream, anyio.IncompleteRead) as exc:
            raise PeerError('connection was closed') from exc
        if reply.seq != self._seq or reply.name != name:
            raise PeerError('answer to another call')
        return _result(reply)

    async def send_frame(self, frame: bytes) -> None:
        """Send one frame.

        :param frame: its content.
        """
        await self._stream.send(_LENGTH.pack(len(frame)) + frame)

    async def receive_frame(self) -> bytes:
        """Receive one frame.

        :returns: its content.
        :raises PeerError: when it is larger than allowed.
        """
        head = await self._reader.receive_exactly(_LENGTH.size)
        size = _LENGTH.unpack(head)[0]
        if size > MAX_FRAME:
            raise PeerError(f'frame of {size} bytes is too large')
        return await self._reader.receive_exactly(size)

    async def aclose(self) -> None:
        """Close the connection without waiting for the other end."""
        await anyio.aclose_forcefully(self._stream)


async def serve_channel(channel: Channel, handlers: dict[str, Handler]) -> None:
    """Answer the calls that come over one connection, until it ends.

    :param channel: the connection.
    :param handlers: a handler for each method.
    """
    while True:
        try:
            request = _decode(await channel.receive_frame())
        except (anyio.EndOfStream, anyio.IncompleteRead):
            return
        await channel.send_frame(await _answer(request, handlers))


async def _answer(request: Message, handlers: dict[str, Handler]) -> bytes:
    handler = handlers.get(request.name)
    if handler is None:
        kind = TApplicationException.UNKNOWN_METHOD
        error = TApplicationException(kind, f'no method {request.name}')
        return _encode(request.name, TMessageType.EXCEPTION, request.seq, error)
    args = getattr(Peer, f'{request.name}_args')()
    args.read(request.protocol)
    result = getattr(Peer, f'{request.name}_result')()
    values = [getattr(args, field) for field in args.__slots__]
    try:
        success = await handler(*values)
    except TException as exc:
        _set_declared(result, exc)
    else:
        if 'success' in result.__slots__:
            result.success = success
    return _encode(request.name, TMessageType.REPLY, request.seq, result)


def _set_declared(result: Any, exc: TException) -> None:
    for spec in result.thrift_spec:
        if spec is None or spec[2] == 'success':
            continue
        if isinstance(exc, spec[3][0]):
            setattr(result, spec[2], exc)
            return
    raise exc


def _result(reply: Message) -> Any:
    if reply.kind == TMessageType.EXCEPTION:
        error = TApplicationException()
        error.read(reply.protocol)
        raise PeerError(str(error))
    result = getattr(Peer, f'{reply.name}_result')()
    result.read(reply.protocol)
    for name in result.__slots__:
        declared = getattr(result, name)
        if isinstance(declared, TException):
            raise declared
    return getattr(result, 'success', None)


def _encode(name: str, kind: int, seq: int, content: Any) -> bytes:
    buffer = TMemoryBuffer()
    protocol = TCompactProtocolAccelerated(buffer, fallback=True)
    protocol.writeMessageBegin(name, kind, seq)
    content.write(protocol)
    protocol.writeMessageEnd()
    encoded: bytes = buffer.getvalue()
    return encoded


def _decode(frame: bytes) -> Message:
    protocol = TCompactProtocolAccelerated(TMemoryBuffer(frame), fallback=True)
    name, kind, seq = protocol.readMessageBegin()
    return Message(name, kind, seq, protocol)
