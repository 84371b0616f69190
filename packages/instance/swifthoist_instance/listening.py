"""Accepts connections, as many as each address may have."""

import logging
import socket
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

import anyio
import anyio.lowlevel
from anyio.abc import TaskGroup
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config

from swifthoist_instance.connections import Connection, Connections
from swifthoist_instance.conversations import Conversation, Server, ends_of
from swifthoist_instance.metrics import Metrics
from swifthoist_instance.refusals import Refusal, Refusals
from swifthoist_instance.sockets import accept, open_listener

GRACEFUL_TIMEOUT_S = 1.0
"""Time for requests to be answered when the server stops, in seconds."""

POLL_S = 0.02

MAX_QUEUED_PIECES = 2
"""Most pieces of a body that wait for the application."""

ACCEPT_PAUSE_S = 0.1
"""Pause after a connection could not be accepted, in seconds."""

ACCEPTS_PER_TURN = 16
"""Number of connections that are accepted before others run."""

_log = logging.getLogger(__name__)


class ListenAddress(NamedTuple):
    """An address, and how many connections it may have.

    :ivar address: ``host:port``.
    :ivar limit: returns the largest number.
    """

    address: str
    limit: Callable[[], int]


class Listening:
    """The server of an instance."""

    def __init__(self, app: Any, refusals: Refusals) -> None:
        """Prepare to serve.

        :param app: the ASGI application.
        :param refusals: counts and logs what clients are refused.
        """
        cfg = Config()
        cfg.include_server_header = False
        cfg.accesslog = None
        cfg.errorlog = None
        cfg.max_app_queue_size = MAX_QUEUED_PIECES
        self._refusals = refusals
        self._open: list[Connections] = []
        self._server = Server(
            ASGIWrapper(app), cfg, WorkerContext(None), refusals
        )

    @property
    def connections(self) -> int:
        """Number of open connections at all addresses."""
        return sum(map(len, self._open))

    def register(self, metrics: Metrics) -> None:
        """Register the figures of the server.

        :param metrics: the metrics of the instance.
        """
        metrics.register('open_connections', lambda: self.connections)

    async def run(
        self, addresses: Iterable[ListenAddress], stopped: anyio.Event
    ) -> None:
        """Serve until stopped, then let requests in progress finish.

        :param addresses: the addresses.
        :param stopped: event that stops the server.
        """
        listeners = [
            (open_listener(bound.address), bound) for bound in addresses
        ]
        async with anyio.create_task_group() as conversations:
            async with anyio.create_task_group() as accepting:
                for listener, bound in listeners:
                    accepting.start_soon(
                        self._accept_all, listener, bound, conversations
                    )
                await stopped.wait()
                accepting.cancel_scope.cancel()
            for listener, _ in listeners:
                listener.close()
            await self._finish()
            conversations.cancel_scope.cancel()

    async def _finish(self) -> None:
        """Close idle connections, and wait for requests in progress."""
        await self._server.context.terminated.set()
        with anyio.move_on_after(GRACEFUL_TIMEOUT_S):
            while self.connections:
                for connections in self._open:
                    connections.close_idle()
                await anyio.sleep(POLL_S)

    async def _accept_all(
        self, listener: socket.socket, bound: ListenAddress, tasks: TaskGroup
    ) -> None:
        connections = Connections(bound.limit)
        self._open.append(connections)
        accepted = 0
        while True:
            try:
                conn = await accept(listener)
            except OSError as exc:
                fields = {'address': bound.address, 'why': str(exc)}
                self._refusals.note(Refusal.CONNECTIONS, fields)
                self._abort(connections.free_one())
                await anyio.sleep(ACCEPT_PAUSE_S)
                continue
            self._admit(conn, connections, bound, tasks)
            accepted += 1
            if accepted % ACCEPTS_PER_TURN == 0:
                await anyio.lowlevel.checkpoint()

    def _admit(
        self,
        conn: socket.socket,
        connections: Connections,
        bound: ListenAddress,
        tasks: TaskGroup,
    ) -> None:
        scope = anyio.CancelScope()
        try:
            ends = ends_of(conn)
        except OSError:
            # The client has gone already.
            conn.close()
            return
        connection = Connection(
            ends.client[0], anyio.current_time(), scope.cancel
        )
        surplus = connections.admit(connection)
        if surplus is not None:
            fields = {
                'client': surplus.client,
                'address': bound.address,
                'limit': bound.limit(),
                'phase': surplus.phase.name.lower(),
            }
            self._refusals.note(Refusal.CONNECTIONS, fields)
        if surplus is connection:
            conn.close()
            return
        self._abort(surplus)
        conversation = Conversation(conn, ends, connection, self._server)
        tasks.start_soon(
            _converse, conversation, conn, connection, connections, scope
        )

    def _abort(self, connection: Connection | None) -> None:
        if connection is not None:
            connection.abort()


async def _converse(
    conversation: Conversation,
    conn: socket.socket,
    connection: Connection,
    connections: Connections,
    scope: anyio.CancelScope,
) -> None:
    try:
        with scope:
            await conversation.run()
    except Exception as exc:
        # One connection must not end the others.
        fields = {'client': connection.client, 'error': repr(exc)}
        _log.error('connection failed', extra=fields)
    finally:
        connections.remove(connection)
        conn.close()
