"""Composition root: wires one entry instance, read from top to bottom."""

import random
import socket
import ssl
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
from swifthoist_core.types import InstanceId
from swifthoist_platform.instances import InstanceClient
from swifthoist_platform.log import LogClient
from swifthoistd import http_server, replies
from swifthoistd.answers import Answers
from swifthoistd.api_catalogue import CatalogueApi
from swifthoistd.api_jobs import JobApi
from swifthoistd.api_reports import ReportApi
from swifthoistd.api_requests import RequestApi
from swifthoistd.api_status import Health, StatusApi
from swifthoistd.callers import Gatekeeper
from swifthoistd.choice import Chooser
from swifthoistd.commands import Commands
from swifthoistd.committing import DirectCommitter, Gather, PeerCommitter
from swifthoistd.connections import Connections
from swifthoistd.counters import Counters
from swifthoistd.directory import Directory
from swifthoistd.dispatch import Dispatcher, Parts
from swifthoistd.follower import Follower
from swifthoistd.gangs import GangRunner
from swifthoistd.intents import Intents
from swifthoistd.journal import Journal
from swifthoistd.limits import Limiter
from swifthoistd.members import Heard, Members
from swifthoistd.metrics import Metrics
from swifthoistd.parts import PartBoard
from swifthoistd.peer_calls import PeerGroups, PeerStates
from swifthoistd.peers import Peers
from swifthoistd.permissions import Permissions
from swifthoistd.presence import Addresses, Presence, Subjects
from swifthoistd.renewals import Renewals
from swifthoistd.retries import RetryPolicy
from swifthoistd.runners import Runners
from swifthoistd.scheduling import Scheduler
from swifthoistd.settings import Settings, Sourced
from swifthoistd.shares import Shares
from swifthoistd.shutdown import Leaving, Shutdown
from swifthoistd.snapshotting import Restorer, SnapshotWriter
from swifthoistd.tallies import Tallies
from swifthoistd.tenure import Tenure
from swifthoistd.usage import Reconciler, UsageReader
from swifthoistd.worker_registry import WorkerRegistry

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
        self._tls = _tls_context(cfg.log_url, cfg.list_url)
        self._me = Author(cfg.instance, self._clock.wall_ms())
        self._listener: socket.socket = http_server.open_listener(cfg.http)

        self._wire_members()
        self._wire_ledger()
        self._health = Health(self._follower, self._shares)
        self._wire_requests()
        self._wire_jobs()
        self._wire_api(sourced)

    def _wire_ledger(self) -> None:
        """The log, the fold of it, and who decides."""
        cfg = self._cfg
        self._log_http = _http_client(self._tls, _LOG_CONNECTIONS)
        log = LogClient(self._log_http, cfg.log_url)
        self._ledger = Ledger()
        states = PeerStates(self._ledger, self._peers, self._clock)
        self._follower = Follower(
            log,
            self._ledger,
            self._clock,
            bootstrap=Restorer(log, states),
        )
        self._gather = Gather(log, self._clock)
        groups = PeerGroups(
            cfg.instance, self._holder, self._gather, self._peers
        )
        committer = PeerCommitter(
            cfg.instance,
            self._holder,
            self._gather,
            groups,
            DirectCommitter(log),
            self._clock,
        )
        self._journal = Journal(committer, self._me, self._clock)
        self._follower.on_verdict(self._journal.resolve)
        self._follower.on_jump(self._settle_journal)
        self._tenure = Tenure(
            self._follower,
            self._journal,
            self._clock,
            lease_ms=cfg.cell_lease_ms,
        )
        self._snapshots = SnapshotWriter(
            log, self._ledger, self._tenure, self._clock
        )
        self._intents = Intents(self._follower, self._journal, self._clock)

    def _wire_members(self) -> None:
        """The other instances and the platform's list."""
        cfg = self._cfg
        self._members = Members(self._me, self._clock)
        self._peers = Peers(self._members, self._presence_heard, cfg.peer)
        self._shares = Shares(cfg.instance, self._clock)
        self._list_http = _http_client(self._tls, _LOG_CONNECTIONS)
        client = InstanceClient(self._list_http, cfg.list_url)
        self._directory = Directory(client)

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
        self._worker_http = _http_client(self._tls, _WORKER_CONNECTIONS)
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
        self._worker_registry = WorkerRegistry(self._ledger, board, lease_ms)
        self._scheduler = Scheduler(
            self._follower,
            self._journal,
            self._tenure,
            gangs,
            self._worker_registry,
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
        self._app = Starlette(
            routes=routes, exception_handlers=replies.HANDLERS
        )

    def _wire_presence(self, addresses: Addresses) -> None:
        """What others are told of this instance, once it listens."""
        about = Subjects(
            self._ledger,
            self._tenure,
            self._health,
            self._members,
            self._shares,
            self._runners,
            self._chooser,
            self._worker_registry,
        )
        self._presence = Presence(self._cfg, self._me, addresses, about)
        self._directory.on_list(self._presence.note_list)
        leaving = Leaving(
            self._health,
            self._directory,
            self._tenure,
            self._dispatcher,
            self._tallies,
            self._journal,
        )
        self._shutdown = Shutdown(leaving, self._cfg.drain_ms)

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully."""
        async with anyio.create_task_group() as group:
            addresses = Addresses(
                http_server.address_of(self._listener),
                await self._peers.listen(group),
            )
            self._wire_presence(addresses)
            self._start_tasks(group)
            group.start_soon(self._serve_http, group)
            self._announce(addresses)
        await self._close()

    async def _serve_http(self, group: TaskGroup) -> None:
        """Serve callers; when that ends, everything else ends too."""
        await http_server.serve_http(
            self._app, self._listener, self._shutdown.done
        )
        group.cancel_scope.cancel()

    def _start_tasks(self, group: TaskGroup) -> None:
        group.start_soon(self._follower.run)
        group.start_soon(self._journal.run)
        group.start_soon(self._gather.run)
        group.start_soon(self._snapshots.run)
        group.start_soon(self._tenure.run)
        group.start_soon(self._intents.run, self._tenure)
        group.start_soon(self._directory.run, self._presence.listed)
        group.start_soon(self._peers.run, group)
        group.start_soon(self._presence.run)
        group.start_soon(self._dispatcher.run)
        group.start_soon(self._renewals.run)
        group.start_soon(self._scheduler.run)
        group.start_soon(self._tallies.run)
        group.start_soon(self._reconciler.run, self._journal, self._tenure)
        group.start_soon(self._shutdown.run)

    async def _close(self) -> None:
        await self._connections.aclose()
        for client in (self._log_http, self._list_http, self._worker_http):
            await client.aclose()

    def _presence_heard(self) -> Heard:
        return self._presence.heard()

    def _holder(self) -> InstanceId:
        cell = self._ledger.cell.state
        return cell.holder.instance

    def _settle_journal(self) -> None:
        """After a jump, learn which own records the snapshot has folded."""
        self._journal.settle(self._ledger.authors.upto(self._me))

    def _capacity(self) -> int:
        return self._chooser.capacity(self._runners.available())

    def _announce(self, addresses: Addresses) -> None:
        ready = {
            'kind': 'entry',
            'instance': self._cfg.instance,
            'address': addresses.http,
            'peer_address': addresses.peer,
        }
        sys.stdout.write(f'{msgspec.json.encode(ready).decode()}\n')
        sys.stdout.flush()


def _http_client(tls: ssl.SSLContext, connections: int) -> httpx.AsyncClient:
    limits = httpx.Limits(
        max_connections=connections, max_keepalive_connections=connections
    )
    return httpx.AsyncClient(limits=limits, verify=tls, trust_env=False)


def _tls_context(*urls: str) -> ssl.SSLContext:
    """Make the one context that all clients share.

    Loading the certificates of authorities takes megabytes for each context,
    so it is done only where a URL asks for them.
    """
    if any(url.startswith('https:') for url in urls):
        return httpx.create_ssl_context()
    return ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
