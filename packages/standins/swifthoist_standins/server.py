"""Listeners of stand-ins, served by hypercorn on the loop that runs."""

import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import cast

import anyio
import sniffio
from hypercorn.config import Config
from hypercorn.typing import ASGIFramework

from swifthoist_standins.gate import FaultGate

_BACKLOG = 256
_GRACEFUL_S = 1
_KEEP_ALIVE_S = 60
_REQUESTS_PER_CONNECTION = 1_000_000_000


def listen(host: str, port: int) -> socket.socket:
    """Open a listening socket.

    :param host: IP number to listen on.
    :param port: port, 0 for any that is free.
    :returns: the socket, which takes connections from now on.
    """
    return socket.create_server((host, port), backlog=_BACKLOG)


def address_of(sock: socket.socket) -> str:
    """Address of a listening socket.

    :param sock: the socket.
    :returns: its ``host:port``.
    """
    host, port = sock.getsockname()
    return f'{host}:{port}'


async def serve(app: FaultGate, sock: socket.socket, stop: anyio.Event) -> None:
    """Serve an application until it is told to stop.

    :param app: the application.
    :param sock: its listening socket, which is closed in the end.
    :param stop: set to end, whereupon open calls end without a reply.
    """
    async with anyio.create_task_group() as group:
        group.start_soon(_serve, app, sock, stop)
        await stop.wait()
        app.close()


async def _serve(
    app: FaultGate, sock: socket.socket, stop: anyio.Event
) -> None:
    cfg = Config()
    cfg.bind = [f'fd://{sock.detach()}']
    cfg.loglevel = 'WARNING'
    cfg.backlog = _BACKLOG
    cfg.graceful_timeout = _GRACEFUL_S
    cfg.keep_alive_timeout = _KEEP_ALIVE_S
    cfg.keep_alive_max_requests = _REQUESTS_PER_CONNECTION
    framework = cast(ASGIFramework, app)
    if sniffio.current_async_library() == 'trio':
        from hypercorn import trio as backend

        await backend.serve(framework, cfg, shutdown_trigger=stop.wait)
        return
    from hypercorn import asyncio as loop_backend

    await loop_backend.serve(framework, cfg, shutdown_trigger=stop.wait)


@asynccontextmanager
async def serving(app: FaultGate, port: int = 0) -> AsyncIterator[str]:
    """Serve an application on loopback for the length of a block.

    :param app: the application.
    :param port: port, 0 for any that is free.
    :yields: its ``host:port``.
    """
    sock = listen('127.0.0.1', port)
    address = address_of(sock)
    stop = anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(serve, app, sock, stop)
        try:
            yield address
        finally:
            stop.set()
