"""Connections of tests, over loopback."""

import anyio
from anyio.abc import SocketStream

RETRY_S = 0.02
"""Time between two attempts to connect, in seconds."""


async def connect(address: str) -> SocketStream:
    """Connect to a server, which may not have begun to listen.

    :param address: ``host:port``.
    :returns: the connection.
    """
    host, _, port = address.rpartition(':')
    while True:
        try:
            return await anyio.connect_tcp(host, int(port))
        except OSError:
            await anyio.sleep(RETRY_S)


async def receive_all(stream: SocketStream) -> bytes:
    """Receive until the server closes the connection.

    :param stream: the connection.
    :returns: what was received.
    """
    return b''.join([piece async for piece in stream])
