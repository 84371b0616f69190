"""Connections to runners: this instance's share of each runner's total.

Each connection has a transport of its own that holds at most one, so the
share is kept by counting, and a single connection can be closed or trusted
by what was last heard over it.
"""

import socket
import ssl
from collections.abc import Callable
from typing import NamedTuple, TypeAlias

import anyio
import httpx

from swifthoist_core.clock import Clock
from swifthoist_core.types import Millis, RunnerId
from swifthoistd.counters import Counters
from swifthoistd.exchange import (
    Answered,
    Broken,
    Call,
    Declined,
    NotSent,
    Reply,
    Sending,
    exchange,
)
from swifthoistd.runners import Runner, Runners
from swifthoistd.shares import Shares

_MS_PER_S = 1_000
_CLOSE_S = 1.0

_TLS = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)

TransportFactory: TypeAlias = Callable[[], httpx.AsyncBaseTransport]

_SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 4_000),
)


class ConnectionConfig(NamedTuple):
    """Settings of the connections.

    :ivar per_runner: connections that a runner serves, for all instances.
    :ivar trust_ms: a connection over which nothing was heard for longer is
        closed instead of used, in ms.
    :ivar probe_every_ms: time between two looks at every runner, in ms; one
        and a half of it and the next are the bound on unnoticed silence.
    :ivar probe_timeout_ms: a probe without an answer fails after this, in ms.
    :ivar idle_after_ms: a runner that got no request for so long is idle.
    :ivar probe_idle_ms: time between two probes of an idle runner, in ms;
        with a timeout it stays within 3 s, in which it must be found that a
        runner leaves.
    """

    per_runner: int = 64
    trust_ms: Millis = 1_500
    probe_every_ms: Millis = 800
    probe_timeout_ms: Millis = 600
    idle_after_ms: Millis = 5_000
    probe_idle_ms: Millis = 2_000


DEFAULT_CONNECTIONS = ConnectionConfig()


class _Connection:
    """One connection and what is known of it."""

    def __init__(
        self, transport: httpx.AsyncBaseTransport, runner: Runner, now_ms: int
    ) -> None:
        self.transport = transport
        self.runner = runner
        self.heard_ms = now_ms
        self.busy = True


def open_transport() -> httpx.AsyncBaseTransport:
    """Make a transport that holds one connection at most.

    :returns: the transport, not yet connected.
    """
    return httpx.AsyncHTTPTransport(
        verify=_TLS,
        trust_env=False,
        limits=httpx.Limits(max_connections=1, max_keepalive_connections=1),
        socket_options=_SOCKET_OPTIONS,
    )


class Connections:
    """The aggregate of all connections to runners."""

    def __init__(
        self,
        runners: Runners,
        shares: Shares,
        clock: Clock,
        counters: Counters,
        factory: TransportFactory = open_transport,
        cfg: ConnectionConfig = DEFAULT_CONNECTIONS,
    ) -> None:
        """Start without any connection.

        :param runners: told when a runner says that it leaves.
        :param shares: this instance's share.
        :param clock: the clock.
        :param counters: the counts to keep.
        :param factory: makes a transport for one connection.
        :param cfg: the settings.
        """
        self._runners = runners
        self._shares = shares
        self._clock = clock
        self._counters = counters
        self._factory = factory
        self._cfg = cfg
        self._held: dict[RunnerId, list[_Connection]] = {}
        self._used_ms: dict[RunnerId, Millis] = {}

    def held(self, runner_id: RunnerId) -> int:
        """Connections to a runner, open or about to be.

        :param runner_id: id of the runner.
        :returns: their number.
        """
        return len(self._held.get(runner_id, ()))

    async def exchange(
        self, runner: Runner, call: Call, sending: Sending, *, fresh: bool
    ) -> Reply:
        """Send a request to a runner and read its whole answer.

        :param runner: the runner.
        :param call: the request.
        :param sending: shows how far it has got.
        :param fresh: whether to use a new connection in any case.
        :returns: what is known afterwards.
        """
        conn = await self._take(runner, sending, fresh)
        if conn is None:
            return NotSent('connections')
        return await self._exchange_over(conn, call, sending)

    async def run(self) -> None:
        """Probe and trim connections for as long as the process runs."""
        async with anyio.create_task_group() as tasks:
            while True:
                # One round may wait for silent connections, the next not.
                tasks.start_soon(self.maintain)
                await anyio.sleep(self._cfg.probe_every_ms / _MS_PER_S)

    async def maintain(self) -> None:
        """Probe every runner once and close what is beyond the share."""
        listed = self._runners.listed()
        kept = {runner.runner_id for runner in listed}
        async with anyio.create_task_group() as tasks:
            for runner in listed:
                tasks.start_soon(self._look_at, runner)
            for gone in self._held.keys() - kept:
                tasks.start_soon(self._trim, gone, 0)
            for unlisted in self._used_ms.keys() - kept:
                self._used_ms.pop(unlisted)

    async def aclose(self) -> None:
        """Close every connection, also those in use."""
        for held in tuple(self._held.values()):
            for conn in tuple(held):
                await self._discard(conn)

    async def _exchange_over(
        self, conn: _Connection, call: Call, sending: Sending
    ) -> Reply:
        reply: Reply | None = None
        try:
            reply = await exchange(conn.transport, call, sending)
        finally:
            await self._give_back(conn, reply)
        self._hear(conn.runner, reply)
        return reply

    def _hear(self, runner: Runner, reply: Reply) -> None:
        match reply:
            case (
                Answered(leaving=True)
                | Declined(leaving=True)
                | Broken(leaving=True)
            ):
                self._runners.note_leaving(runner.runner_id, runner.incarnation)
            case Broken(dropped=cause) if cause is not None:
                self._counters.count_dropped(cause)

    async def _take(
        self, runner: Runner, sending: Sending, fresh: bool
    ) -> _Connection | None:
        share = self._shares.part(self._cfg.per_runner, runner.runner_id)
        idle = self._idle(runner.runner_id)
        self._used_ms[runner.runner_id] = self._clock.boot_ms()
        if not fresh:
            for conn in idle:
                if self._is_trusted(conn, runner):
                    conn.busy = True
                    sending.on_kept = True
                    return conn
        if idle and self.held(runner.runner_id) >= share:
            await self._discard(idle[-1])
        if self.held(runner.runner_id) >= share:
            return None
        return self._open(runner)

    def _open(self, runner: Runner) -> _Connection:
        now_ms = self._clock.boot_ms()
        conn = _Connection(self._factory(), runner, now_ms)
        self._held.setdefault(runner.runner_id, []).append(conn)
        return conn

    def _idle(self, runner_id: RunnerId) -> list[_Connection]:
        held = self._held.get(runner_id, ())
        idle = [conn for conn in held if not conn.busy]
        return sorted(idle, key=lambda conn: conn.heard_ms, reverse=True)

    def _is_trusted(self, conn: _Connection, runner: Runner) -> bool:
        age_ms = self._clock.boot_ms() - conn.heard_ms
        return conn.runner == runner and age_ms <= self._cfg.trust_ms

    async def _give_back(self, conn: _Connection, reply: Reply | None) -> None:
        match reply:
            case Answered() | Declined() | Broken('failed'):
                conn.heard_ms = self._clock.boot_ms()
                conn.busy = False
                runner_id = conn.runner.runner_id
                share = self._shares.part(self._cfg.per_runner, runner_id)
                await self._trim(runner_id, share)
            case _:
                await self._discard(conn)

    async def _trim(self, runner_id: RunnerId, share: int) -> None:
        surplus = self.held(runner_id) - share
        if surplus <= 0:
            return
        for conn in self._idle(runner_id)[-surplus:]:
            await self._discard(conn)

    async def _discard(self, conn: _Connection) -> None:
        # It counts as held until it is closed, and nobody else may take it.
        conn.busy = True
        with anyio.CancelScope(shield=True):
            with anyio.move_on_after(_CLOSE_S):
                await conn.transport.aclose()
        held = self._held.get(conn.runner.runner_id, [])
        if conn in held:
            held.remove(conn)
            self._counters.count_replaced()
        if not held:
            self._held.pop(conn.runner.runner_id, None)

    async def _look_at(self, runner: Runner) -> None:
        share = self._shares.part(self._cfg.per_runner, runner.runner_id)
        await self._trim(runner.runner_id, share)
        oldest_ms = self._clock.boot_ms() - self._probe_after_ms(runner)
        stale = [
            conn
            for conn in self._idle(runner.runner_id)
            if conn.heard_ms <= oldest_ms
        ]
        if not self.held(runner.runner_id) and share:
            stale.append(self._open(runner))
        async with anyio.create_task_group() as tasks:
            for conn in stale:
                conn.busy = True
                tasks.start_soon(self._probe, conn)

    def _probe_after_ms(self, runner: Runner) -> Millis:
        """Tell after which silence a kept connection is probed.

        Nobody waits for an idle runner, and a connection that was not heard
        for longer than trusted is not used anyhow, so only the runner's word
        that it leaves is at stake.
        """
        used_ms = self._used_ms.get(runner.runner_id, 0)
        idle_ms = self._clock.boot_ms() - used_ms
        if idle_ms > self._cfg.idle_after_ms:
            return self._cfg.probe_idle_ms - self._cfg.probe_every_ms
        return self._cfg.probe_every_ms // 2

    async def _probe(self, conn: _Connection) -> None:
        call = Call(
            method='GET',
            url=f'http://{conn.runner.address}/health',
            request_id='',
            headers={},
            body=b'',
            timeout_ms=self._cfg.probe_timeout_ms,
        )
        with anyio.move_on_after(self._cfg.probe_timeout_ms / _MS_PER_S):
            await self._exchange_over(conn, call, Sending())
