"""Clients that keep to no limit: they send what they like, and stay open."""

from collections.abc import Iterator
from typing import NamedTuple

import anyio
from anyio.abc import ByteStream, SocketStream

from swifthoist_emulator.site import HOST, MAX_BODY_BYTES

CONNECT_TIMEOUT_S = 5.0

_CONNECTION_ERRORS = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
)


class Visit(NamedTuple):
    """What a client sends over one connection.

    :ivar head: what it sends first.
    :ivar piece: what it sends after the head.
    :ivar times: how many times it sends the piece.
    """

    head: bytes
    piece: bytes = b''
    times: int = 1

    def sent(self) -> Iterator[bytes]:
        """Yield what is sent, in order."""
        yield self.head
        for _ in range(self.times if self.piece else 0):
            yield self.piece


class Crowd:
    """Clients that all do the same at one address.

    :ivar cut: number of connections that the server has ended while their
        client was sending.
    """

    def __init__(self, address: str, visit: Visit, count: int) -> None:
        """Prepare a crowd.

        :param address: ``host:port`` that they connect to.
        :param visit: what each of them sends.
        :param count: number of clients.
        """
        self.cut = 0
        self._address = address
        self._visit = visit
        self._count = count
        self._streams: list[ByteStream] = []
        self._sending = 0

    async def press(self, patience_s: float) -> None:
        """Connect and send, until all is sent or the time is over.

        The connections then stay open until :meth:`leave`.

        :param patience_s: how long they try to send, in seconds.
        """
        with anyio.move_on_after(patience_s):
            async with anyio.create_task_group() as clients:
                for _ in range(self._count):
                    clients.start_soon(self._send_all)

    async def leave(self) -> None:
        """Close all connections."""
        with anyio.CancelScope(shield=True):
            for stream in self._streams:
                await anyio.aclose_forcefully(stream)
        self._streams.clear()

    async def _send_all(self) -> None:
        stream = await self._connect()
        if stream is None:
            self.cut += 1
            return
        self._streams.append(stream)
        try:
            for piece in self._visit.sent():
                await stream.send(piece)
        except _CONNECTION_ERRORS:
            self.cut += 1

    async def _connect(self) -> SocketStream | None:
        host, _, port = self._address.rpartition(':')
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                return await anyio.connect_tcp(host, int(port))
        except _CONNECTION_ERRORS:
            return None


def head_of(
    method: str, path: str, key: str, *lines: str, host: str = HOST
) -> bytes:
    """Write the head of a request.

    :param method: HTTP method.
    :param path: path.
    :param key: key of a team.
    :param lines: further header lines.
    :param host: host name.
    :returns: the head, with the empty line that ends it.
    """
    first = (
        f'{method} {path} HTTP/1.1',
        f'Host: {host}',
        f'Authorization: Token {key}',
    )
    return '\r\n'.join((*first, *lines, '', '')).encode()


def chunk_of(content: bytes, extension: str = '') -> bytes:
    """Write a chunk of a body that is sent without its length.

    :param content: what it holds.
    :param extension: chunk extension; empty for none.
    :returns: the chunk.
    """
    return b'%x%s\r\n%s\r\n' % (len(content), extension.encode(), content)


def bad_visits(path: str, key: str) -> list[Visit]:
    """List what clients may send that keep to no limit.

    :param path: path of a submission.
    :param key: key of a team.
    :returns: visits that don't end.
    """
    chunked = head_of('POST', path, key, 'Transfer-Encoding: chunked')
    short = head_of('POST', path, key, f'Content-Length: {MAX_BODY_BYTES}')
    endless = head_of('POST', path, key, 'Content-Length: 1000000000')
    piece = b' ' * 50_000
    return [
        Visit(b''),
        Visit(b'POST / HTTP/1.1\r\nX-Long: ', b'x' * 1_000, 10),
        Visit(short, b' ' * (MAX_BODY_BYTES - 1)),
        Visit(endless, piece, 40),
        Visit(chunked, chunk_of(piece), 40),
        Visit(chunked, chunk_of(b'  ') * 500, 40),
        Visit(chunked, chunk_of(b' ', f';x={"x" * 4_000}'), 40),
        Visit(chunked + chunk_of(piece), b'0\r\nX-Trailer: x'),
        Visit(head_of('GET', path, key), head_of('GET', path, key), 500),
        Visit(short, b'{"Steps":[' + b'1,' * 131_066 + b'1]}'),
    ]
