"""The HTTP server of an instance, by hypercorn."""

import socket
from collections.abc import Awaitable, Callable

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config
from starlette.applications import Starlette

BACKLOG = 1_024
KEEP_ALIVE_S = 30.0
MAX_HEADERS = 32 * 1024
"""Largest head of a request, in bytes."""

GRACEFUL_S = 2.0
"""How long connections may take to close; requests were finished before."""


def open_listener(address: str) -> socket.socket:
    """Bind the listening socket, so that its port is known.

    :param address: ``host:port``; port 0 takes any.
    :returns: the bound socket.
    """
    host, _, port = address.rpartition(':')
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host.strip('[]'), int(port)))
    listener.setblocking(False)
    return listener


def address_of(listener: socket.socket) -> str:
    """Tell where a socket listens.

    :param listener: a bound socket.
    :returns: ``host:port``.
    """
    host, port = listener.getsockname()[:2]
    return f'{host}:{port}'


async def serve_http(
    app: Starlette, listener: socket.socket, stopped: anyio.Event
) -> None:
    """Serve until told to stop, then let requests in progress finish.

    :param app: the application.
    :param listener: a bound socket.
    :param stopped: set to stop.
    """
    cfg = Config()
    cfg.bind = [f'fd://{listener.fileno()}']
    cfg.backlog = BACKLOG
    cfg.keep_alive_timeout = KEEP_ALIVE_S
    cfg.graceful_timeout = GRACEFUL_S
    cfg.h11_max_incomplete_size = MAX_HEADERS
    cfg.include_server_header = False
    cfg.accesslog = None
    cfg.errorlog = None
    trigger: Callable[..., Awaitable[None]] = stopped.wait
    await serve(app, cfg, shutdown_trigger=trigger)  # type: ignore[arg-type]
