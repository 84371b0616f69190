"""HTTP API of an instance's own state: health, metrics, debug view."""

from typing import NamedTuple

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from swifthoist_core.cells import CellState
from swifthoist_core.clock import Clock
from swifthoist_core.ledger import Ledger
from swifthoist_core.records import Author
from swifthoist_core.tokens import Identity, Role
from swifthoistd import replies
from swifthoistd.callers import Gatekeeper
from swifthoistd.counters import Counters
from swifthoistd.follower import Follower
from swifthoistd.journal import Journal
from swifthoistd.members import Member, Members
from swifthoistd.metrics import Metrics
from swifthoistd.settings import Sourced
from swifthoistd.shares import Shares

_HIDDEN = frozenset(('secret',))


class InstanceView(NamedTuple):
    """One entry instance as another one sees it.

    :ivar instance: its id.
    :ivar zone: its availability zone, empty if it was never heard.
    :ivar state: ``live``, ``leaving`` or ``silent``.
    :ivar offset: offset of the next record that it will fold.
    :ivar holds_epoch: epoch of the cell that it holds, 0 for none.
    """

    instance: str
    zone: str
    state: str
    offset: int
    holds_epoch: int


class SettingView(NamedTuple):
    """A setting in force.

    :ivar name: its name.
    :ivar text: its text; secrets are left out.
    :ivar source: ``flag``, ``environment`` or ``default``.
    """

    name: str
    text: str
    source: str


class DebugView(NamedTuple):
    """State of an instance, for a bug report.

    :ivar author: the instance and its life.
    :ivar settings: every setting in force.
    :ivar offset: offset of the next record to fold.
    :ivar freshness_ms: how long ago it was at the log's end, if ever.
    :ivar cell: who decides.
    :ivar backlog: records that wait for the log.
    :ivar instances: the other instances.
    :ivar workers: workers in the ledger.
    :ivar open_jobs: jobs that have not ended.
    :ivar request_keys: non-idempotent requests that are remembered.
    :ivar requests: requests taken in since the start.
    :ivar attempts: requests sent to runners since the start.
    :ivar draining: whether it takes no new work.
    """

    author: Author
    settings: tuple[SettingView, ...]
    offset: int
    freshness_ms: int | None
    cell: CellState
    backlog: int
    instances: tuple[InstanceView, ...]
    workers: int
    open_jobs: int
    request_keys: int
    requests: int
    attempts: int
    draining: bool


class Health:
    """Whether the instance should be given work.

    :ivar draining: set when it shuts down.
    """

    def __init__(self, follower: Follower, shares: Shares) -> None:
        """Wire the parts.

        :param follower: the reader of records.
        :param shares: this instance's part of the runners.
        """
        self.draining = False
        self._follower = follower
        self._shares = shares

    @property
    def ready(self) -> bool:
        """Whether it knows the catalogue, has its part of the runners and
        does not shut down.

        It stays ready while the log is down, since it goes on serving what
        needs no new record.
        """
        if self.draining or self._follower.freshness_ms is None:
            return False
        return self._shares.has_part()


class StatusApi:
    """Tells how the instance is."""

    def __init__(
        self,
        follower: Follower,
        journal: Journal,
        members: Members,
        health: Health,
        metrics: Metrics,
        counters: Counters,
        sourced: tuple[Sourced, ...],
        clock: Clock,
    ) -> None:
        """Wire the parts.

        :param follower: the reader of records.
        :param journal: the writer of records.
        :param members: the other instances.
        :param health: whether it takes work.
        :param metrics: the metrics to expose.
        :param counters: counts of the request path.
        :param sourced: settings and where they came from.
        :param clock: clocks of the machine.
        """
        self._follower = follower
        self._ledger: Ledger = follower.ledger
        self._journal = journal
        self._members = members
        self._health = health
        self._metrics = metrics
        self._counters = counters
        self._sourced = sourced
        self._clock = clock

    def routes(self, gate: Gatekeeper) -> list[Route]:
        """The routes of this part of the API.

        :param gate: lets operators through.
        :returns: the routes.
        """
        operator = Role.OPERATOR
        return [
            Route('/health/live', self.live),
            Route('/health/ready', self.ready),
            Route('/metrics', self.metrics),
            Route('/v1/instances', gate.allow(self.instances, operator)),
            Route('/v1/debug', gate.allow(self.debug, operator)),
        ]

    async def live(self, request: Request) -> Response:
        """Tell that the process runs.

        :param request: the call.
        :returns: always 200.
        """
        return replies.json_reply({'live': True})

    async def ready(self, request: Request) -> Response:
        """Tell the balancer whether to send work.

        :param request: the call.
        :returns: 200 or 503.
        """
        ready = self._health.ready
        status = replies.OK if ready else replies.UNAVAILABLE
        return replies.json_reply({'ready': ready}, status)

    async def metrics(self, request: Request) -> Response:
        """Expose the metrics.

        :param request: the call.
        :returns: the Prometheus text format.
        """
        self._set_figures()
        return Response(
            self._metrics.expose(), media_type='text/plain; version=0.0.4'
        )

    async def instances(self, request: Request, identity: Identity) -> Response:
        """List the entry instances as this one sees them.

        :param request: the call.
        :param identity: the operator.
        :returns: every instance that is listed or heard.
        """
        return replies.json_reply({'instances': self._instance_views()})

    async def debug(self, request: Request, identity: Identity) -> Response:
        """Show settings and state, for a bug report.

        :param request: the call.
        :param identity: the operator.
        :returns: the view, without secrets.
        """
        ledger = self._ledger
        view = DebugView(
            author=self._journal.author,
            settings=tuple(_setting_view(item) for item in self._sourced),
            offset=ledger.offset,
            freshness_ms=self._follower.freshness_ms,
            cell=ledger.cell.state,
            backlog=self._journal.backlog,
            instances=self._instance_views(),
            workers=len(ledger.fleet.specs()),
            open_jobs=sum(1 for _ in ledger.jobs.open_jobs()),
            request_keys=len(ledger.requests),
            requests=self._counters.requests,
            attempts=self._counters.attempts,
            draining=self._health.draining,
        )
        return replies.json_reply(view)

    def _set_figures(self) -> None:
        ledger = self._ledger
        figures = {
            'ready': int(self._health.ready),
            'offset': ledger.offset,
            'freshness_ms': self._follower.freshness_ms or 0,
            'backlog': self._journal.backlog,
            'live_instances': len(self._members.live_ids()),
            'workers': len(ledger.fleet.specs()),
            'open_jobs': sum(1 for _ in ledger.jobs.open_jobs()),
            'free_accelerators': ledger.fleet.free_accelerators(),
            'attempts': self._counters.attempts,
        }
        for figure, number in figures.items():
            self._metrics.set_state(figure, number)

    def _instance_views(self) -> tuple[InstanceView, ...]:
        live = set(self._members.live_ids())
        views = [self._own_view()]
        for member in self._members.all_members():
            views.append(_peer_view(member, member.instance in live))
        return tuple(sorted(views))

    def _own_view(self) -> InstanceView:
        author = self._journal.author
        cell = self._ledger.cell.state
        zone = next(
            item.text or ''
            for item in self._sourced
            if item.option.name == 'zone'
        )
        return InstanceView(
            author.instance,
            zone,
            'leaving' if self._health.draining else 'live',
            self._ledger.offset,
            cell.epoch if cell.holder == author else 0,
        )


def _peer_view(member: Member, is_live: bool) -> InstanceView:
    heard = member.heard
    if heard is None:
        return InstanceView(member.instance, '', 'silent', 0, 0)
    state = 'live' if is_live else 'silent'
    return InstanceView(
        member.instance,
        heard.zone,
        'leaving' if heard.leaving else state,
        heard.offset,
        heard.holds_epoch,
    )


def _setting_view(item: Sourced) -> SettingView:
    text = item.text or ''
    if item.option.name in _HIDDEN:
        text = '(left out)'
    return SettingView(item.option.name, text, item.source)
