"""Composition root: wires one entry instance, read from top to bottom."""

import random
import signal
import socket
import sys

import anyio
import httpx
import msgspec
from anyio.abc import TaskGroup
from starlette.applications import Starlette

from swifthoist_core.clock import SystemClock
from swifthoist_core.counting import Counting
from swifthoist_core.ledger import Ledger
from swifthoist_core.records import Author
from swifthoist_platform.instances import InstanceClient, Listed
from swifthoist_platform.log import LogClient
from swifthoistd import http_server
from swifthoistd.answers import Answers
from swifthoistd.api_catalogue import CatalogueApi
from swifthoistd.api_jobs import JobApi
from swifthoistd.api_reports import ReportApi
from swifthoistd.api_requests import RequestApi
from swifthoistd.api_status import Health, StatusApi
from swifthoistd.callers import Gatekeeper
from swifthoistd.choice import Chooser
from swifthoistd.commands import Commands
from swifthoistd.committing import DirectCommitter
from swifthoistd.connections import Connections
from swifthoistd.counters import Counters
from swifthoistd.directory import Directory
from swifthoistd.dispatch import Dispatcher, Parts
from swifthoistd.follower import Follower
from swifthoistd.gangs import GangRunner
from swifthoistd.intents import Intents
from swifthoistd.journal import Journal
from swifthoistd.limits import Limiter
from swifthoistd.members import Heard, Member, Members
from swifthoistd.metrics import Metrics
from swifthoistd.parts import PartBoard
from swifthoistd.peers import Peers
from swifthoistd.permissions import Permissions
from swifthoistd.renewals import Renewals
from swifthoistd.retries import RetryPolicy
from swifthoistd.runners import ListedRunner, Runners, RunnerState
from swifthoistd.scheduling import Scheduler
from swifthoistd.settings import Settings, Sourced
from swifthoistd.shares import Shares
from swifthoistd.tallies import Tallies
from swifthoistd.tenure import Tenure
from swifthoistd.usage import Reconciler, UsageReader
from swifthoistd.workforce import Workforce

FLUSH_S = 5.0
"""How long a shutdown waits for the log, in seconds."""

DRAIN_S = 30.0
"""How long a shutdown waits for requests in progress, in seconds."""

SHARE_S = 0.25
"""Time between two looks at what peers said, in seconds."""

_MS_PER_S = 1_000
_LOG_CONNECTIONS = 8
_WORKER_CONNECTIONS = 256


class Application:
    """One entry instance with all its parts."""

    def __init__(self, cfg: Settings, sourced: tuple[Sourced, ...]) -> None:
        """Wire the parts.

        :param cfg: settings.
        :param sourced: the settings with where they came from.
        """
        self._cfg = cfg
        self._clock = SystemClock()
        self._me = Author(cfg.instance, self._clock.wall_ms())
        self._stopped = anyio.Event()
        self._peer_address = cfg.peer
        self._listener: socket.socket = http_server.open_listener(cfg.http)

        self._wire_ledger()
        self._wire_members()
        self._wire_requests()
        self._wire_jobs()
        self._wire_api(sourced)

    def _wire_ledger(self) -> None:
        """The log, the fold of it, and who decides."""
        cfg = self._cfg
        self._log_http = _http_client(_LOG_CONNECTIONS)
        log = LogClient(self._log_http, cfg.log_url)
        self._ledger = Ledger()
        self._follower = Follower(log, self._ledger, self._clock)
        self._journal = Journal(DirectCommitter(log), self._me, self._clock)
        self._follower.on_verdict(self._journal.resolve)
        self._tenure = Tenure(
            self._follower,
            self._journal,
            self._clock,
            lease_ms=cfg.cell_lease_ms,
        )
        self._intents = Intents(self._follower, self._journal, self._clock)

    def _wire_members(self) -> None:
        """The other instances and the platform's list."""
        cfg = self._cfg
        self._members = Members(self._me, self._clock)
        self._peers = Peers(self._members, self._describe_heard, cfg.peer)
        self._shares = Shares(cfg.instance, self._clock)
        self._health = Health(self._follower, self._shares)
        self._list_http = _http_client(_LOG_CONNECTIONS)
        client = InstanceClient(self._list_http, cfg.list_url)
        self._directory = Directory(client, self._describe_listed)
        self._directory.on_list(self._note_listed)

    def _wire_requests(self) -> None:
        """The path of requests to runners."""
        self._counters = Counters()
        self._counting = Counting()
        self._runners = Runners(self._clock)
        self._connections = Connections(
            self._runners, self._shares, self._clock, self._counters
        )
        self._chooser = Chooser(
            self._cfg.zone, self._clock, self._shares, random.Random()
        )
        limiter = Limiter(self._clock, self._shares, self._capacity)
        self._dispatcher = Dispatcher(
            Parts(
                self._runners,
                self._connections,
                self._chooser,
                limiter,
                RetryPolicy(),
                Permissions(self._intents, self._follower, self._clock),
                self._clock,
                self._counters,
            )
        )
        self._tallies = Tallies(self._counting, self._journal)

    def _wire_jobs(self) -> None:
        """The path of jobs to workers."""
        lease_ms = self._cfg.worker_lease_ms
        self._worker_http = _http_client(_WORKER_CONNECTIONS)
        commands = Commands(self._worker_http, self._ledger, lease_ms)
        board = PartBoard(self._clock)
        answers = Answers(self._me, self._ledger, board, self._peers)
        self._renewals = Renewals(
            self._ledger,
            self._members,
            commands,
            self._clock,
            lease_ms,
            answers.pass_on,
        )
        gangs = GangRunner(
            self._ledger,
            self._journal,
            commands,
            board,
            self._clock,
            lease_ms,
        )
        self._reconciler = Reconciler(
            self._ledger, UsageReader(commands), self._clock
        )
        self._workforce = Workforce(self._ledger, board, lease_ms)
        self._scheduler = Scheduler(
            self._follower,
            self._journal,
            self._tenure,
            gangs,
            self._workforce,
        )

    def _wire_api(self, sourced: tuple[Sourced, ...]) -> None:
        """The HTTP API of callers and operators."""
        gate = Gatekeeper(self._cfg.secret)
        metrics = Metrics()
        requests = RequestApi(
            self._ledger,
            self._dispatcher,
            self._counting,
            metrics,
            self._clock,
        )
        status = StatusApi(
            self._follower,
            self._journal,
            self._members,
            self._health,
            metrics,
            self._counters,
            sourced,
            self._clock,
        )
        routes = [
            *requests.routes(gate),
            *JobApi(self._follower, self._journal).routes(gate),
            *CatalogueApi(self._ledger, self._journal).routes(gate),
            *ReportApi(self._ledger, self._reconciler).routes(gate),
            *status.routes(gate),
        ]
        self._app = Starlette(routes=routes)

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully."""
        async with anyio.create_task_group() as group:
            self._peer_address = await self._peers.listen(group)
            self._start_tasks(group)
            group.start_soon(self._serve_http, group)
            self._announce()
        await self._close()

    async def _serve_http(self, group: TaskGroup) -> None:
        """Serve callers; when that ends, everything else ends too."""
        await http_server.serve_http(self._app, self._listener, self._stopped)
        group.cancel_scope.cancel()

    def _start_tasks(self, group: TaskGroup) -> None:
        group.start_soon(self._follower.run)
        group.start_soon(self._journal.run)
        group.start_soon(self._tenure.run)
        group.start_soon(self._intents.run, self._tenure)
        group.start_soon(self._directory.run)
        group.start_soon(self._peers.run, group)
        group.start_soon(self._share_with_peers)
        group.start_soon(self._connections.run)
        group.start_soon(self._renewals.run)
        group.start_soon(self._scheduler.run)
        group.start_soon(self._tallies.run)
        group.start_soon(self._reconciler.run, self._journal, self._tenure)
        group.start_soon(self._shut_down_on_signal)

    async def _shut_down_on_signal(self) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async for _ in signals:
                break
        await self._shut_down()

    async def _shut_down(self) -> None:
        """Leave without cutting anything off.

        The balancer and the other instances learn of it first, and until
        they have let go, requests are served as before.
        """
        self._health.draining = True
        await self._directory.leave()
        await self._tenure.release(FLUSH_S)
        await anyio.sleep(self._cfg.drain_ms / _MS_PER_S)
        with anyio.move_on_after(DRAIN_S):
            await self._dispatcher.drain()
        await self._tallies.append()
        await self._journal.flush(FLUSH_S)
        self._stopped.set()

    async def _close(self) -> None:
        await self._connections.aclose()
        for client in (self._log_http, self._list_http, self._worker_http):
            await client.aclose()

    async def _share_with_peers(self) -> None:
        """Tell the request path what the heartbeats of peers said."""
        while True:
            self._shares.update(self._members.live_ids())
            for member in self._members.live():
                if member.heard is not None:
                    use = member.heard.in_flight
                    self._chooser.note_peer_use(member.instance, use)
            await anyio.sleep(SHARE_S)

    def _capacity(self) -> int:
        return self._chooser.capacity(self._runners.available())

    def _describe_heard(self) -> Heard:
        return Heard(
            self._me,
            self._cfg.zone,
            self._ledger.offset,
            self._health.draining,
            self._chooser.in_flight(),
            self._tenure.epoch,
        )

    def _describe_listed(self) -> Listed:
        return Listed(
            self._cfg.instance,
            'entry',
            http_server.address_of(self._listener),
            self._peer_address,
            self._cfg.zone,
            self._cfg.rack,
            self._me.incarnation,
            'leaving' if self._health.draining else 'live',
        )

    def _note_listed(self, listed: tuple[Listed, ...]) -> None:
        self._members.note_listed(
            Member(line.instance_id, line.peer_address)
            for line in listed
            if line.kind == 'entry'
        )
        self._workforce.note_listed(
            [line for line in listed if line.kind == 'worker']
        )
        self._runners.replace(
            ListedRunner(
                line.instance_id,
                line.address,
                line.zone,
                RunnerState(line.state),
                line.incarnation,
                line.service,
            )
            for line in listed
            if line.kind == 'runner'
        )
        self._chooser.retain(self._runners.listed())

    def _announce(self) -> None:
        ready = {
            'kind': 'entry',
            'instance': self._cfg.instance,
            'address': http_server.address_of(self._listener),
            'peer_address': self._peer_address,
        }
        sys.stdout.write(f'{msgspec.json.encode(ready).decode()}\n')
        sys.stdout.flush()


def _http_client(connections: int) -> httpx.AsyncClient:
    limits = httpx.Limits(
        max_connections=connections, max_keepalive_connections=connections
    )
    return httpx.AsyncClient(limits=limits, trust_env=False)
