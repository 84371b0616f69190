"""Sockets without buffers in the process: what is unread stays in the kernel."""

import socket
from contextlib import suppress

import anyio

from swifthoist_instance.limits import RECEIVE_BUFFER_BYTES

BACKLOG = 1_024


def open_listener(address: str) -> socket.socket:
    """Listen on an address.

    :param address: ``host:port``.
    :returns: the socket, whose connections have small receive buffers.
    """
    host, _, port = address.rpartition(':')
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )
    listener.setblocking(False)
    listener.bind((host, int(port)))
    listener.listen(BACKLOG)
    return listener


async def accept(listener: socket.socket) -> socket.socket:
    """Wait for a connection.

    :param listener: the listening socket.
    :returns: the connection.
    :raises OSError: if it can't be accepted, for example for want of a
        descriptor.
    """
    while True:
        try:
            accepted, _ = listener.accept()
        except (BlockingIOError, ConnectionAbortedError):
            await anyio.wait_readable(listener)
            continue
        with suppress(OSError):
            # Fails where the other end has gone, which is found out later.
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        accepted.setblocking(False)
        return accepted


async def receive(conn: socket.socket, max_bytes: int) -> bytes:
    """Wait for data.

    :param conn: the connection.
    :param max_bytes: most data to return, in bytes.
    :returns: the data; nothing once the other end has closed.
    :raises OSError: if the connection is broken.
    """
    while True:
        try:
            return conn.recv(max_bytes)
        except BlockingIOError:
            await anyio.wait_readable(conn)


async def send_all(conn: socket.socket, content: bytes) -> None:
    """Send data, as fast as the other end reads it.

    :param conn: the connection.
    :param content: the data.
    :raises OSError: if the connection is broken.
    """
    left = memoryview(content)
    while left:
        try:
            sent = conn.send(left)
        except BlockingIOError:
            await anyio.wait_writable(conn)
            continue
        left = left[sent:]
