"""Runners, their network and the log's intents, in memory."""

import enum
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from random import Random

import anyio
import httpx
from trio.testing import MockClock

from swifthoist_core.catalogue import Entry, Limits, Urgency, Work
from swifthoistd.choice import DEFAULT_CHOICE, ChoiceConfig, Chooser
from swifthoistd.connections import Connections
from swifthoistd.counters import Counters
from swifthoistd.dispatch import Dispatcher, Parts
from swifthoistd.limits import Limiter
from swifthoistd.retries import RetryPolicy
from swifthoistd.runners import ListedRunner, Runners, RunnerState
from swifthoistd.shares import Shares
from swifthoistd.work import Granted, Outcome, Permission, WorkRequest

FIRST_BYTE = 'http11.send_request_headers.started'
PLENTY = Limits(rate_per_s=1e6, burst=10**6, concurrency=10**4)


class LoopClock:
    """The clock of the event loop, so that tests control all time at once."""

    def boot_ms(self) -> int:
        """The loop's time in ms."""
        return round(anyio.current_time() * 1000)

    def wall_ms(self) -> int:
        """The loop's time in ms."""
        return self.boot_ms()


class Mode(enum.Enum):
    """What a runner does with a request."""

    OK = enum.auto()
    FAIL = enum.auto()
    DECLINE = enum.auto()
    TRUNCATE = enum.auto()
    WRONG_ID = enum.auto()
    LOSE = enum.auto()
    REFUSE_CONNECT = enum.auto()


class _Chunks(httpx.AsyncByteStream):
    def __init__(self, body: bytes) -> None:
        self._body = body

    async def __aiter__(self) -> AsyncIterator[bytes]:
        await anyio.lowlevel.checkpoint()
        yield self._body


class FakeRunner:
    """One runner; counts what it ran and how many connections it has."""

    def __init__(self, name: str, delay_s: float = 0.01) -> None:
        self.name = name
        self.delay_s = delay_s
        self.mode = Mode.OK
        self.leaving = False
        self.silence = 0
        self.ran: Counter[str] = Counter()
        self.started_s: list[float] = []
        self.finished = 0
        self.open = 0
        self.most_open = 0
        self.in_progress = 0
        self.most_in_progress = 0

    @property
    def address(self) -> str:
        return f'{self.name}:8080'

    def listed(
        self, state: RunnerState = RunnerState.LIVE, incarnation: int = 1
    ) -> ListedRunner:
        return ListedRunner(
            self.name, self.address, 'a', state, incarnation, 'svc'
        )

    async def answer(self, request: httpx.Request) -> httpx.Response:
        headers = {'X-Leaving': '1'} if self.leaving else {}
        if request.method == 'GET':
            return self._respond(request, 200, b'well', headers)
        if self.mode is Mode.DECLINE or self.leaving:
            headers['X-Not-Run'] = '1'
            return self._respond(request, 503, b'no', headers)
        self.ran[request.headers['Idempotency-Key']] += 1
        self.started_s.append(anyio.current_time())
        self.in_progress += 1
        self.most_in_progress = max(self.most_in_progress, self.in_progress)
        try:
            await anyio.sleep(self.delay_s)
        finally:
            self.in_progress -= 1
        self.finished += 1
        return self._respond(request, 200, b'echo ' + request.content, headers)

    def _respond(
        self,
        request: httpx.Request,
        status: int,
        body: bytes,
        headers: dict[str, str],
    ) -> httpx.Response:
        headers['X-Request-Id'] = request.headers['X-Request-Id']
        headers['Content-Length'] = str(len(body))
        match self.mode:
            case Mode.LOSE:
                raise httpx.ReadError('reset')
            case Mode.WRONG_ID:
                headers['X-Request-Id'] = 'another'
            case Mode.TRUNCATE:
                body = body[:-1]
            case Mode.FAIL:
                status = 500
        return httpx.Response(status, headers=headers, stream=_Chunks(body))


class FakeConnection(httpx.AsyncBaseTransport):
    """One connection; silent once its runner's network lost track of it."""

    def __init__(self, network: 'FakeNetwork') -> None:
        self.network = network
        self.runner: FakeRunner | None = None
        self._silence = 0

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        runner = self.network.runners[request.url.netloc.decode()]
        if self.runner is None:
            self._connect(runner)
        await request.extensions['trace'](FIRST_BYTE, {})
        await request.aread()
        await anyio.lowlevel.checkpoint()
        if runner.silence > self._silence:
            await anyio.sleep_forever()
        return await runner.answer(request)

    def _connect(self, runner: FakeRunner) -> None:
        if runner.mode is Mode.REFUSE_CONNECT:
            raise httpx.ConnectError('refused')
        self.runner = runner
        self._silence = runner.silence
        runner.open += 1
        runner.most_open = max(runner.most_open, runner.open)

    async def aclose(self) -> None:
        await anyio.lowlevel.checkpoint()
        if self.runner is not None:
            self.runner.open -= 1
            self.runner = None


class FakeNetwork:
    """The runners by address."""

    def __init__(self, runners: Sequence[FakeRunner]) -> None:
        self.runners = {runner.address: runner for runner in runners}

    def connect(self) -> FakeConnection:
        return FakeConnection(self)

    def ran(self) -> Counter[str]:
        return sum((item.ran for item in self.runners.values()), Counter())


class FakeIntents:
    """Intents that a test can script."""

    def __init__(self) -> None:
        self.permission: Permission = Granted(60_000)
        self.delay_s: float = 0
        self.error: Exception | None = None
        self.closed: list[Outcome] = []
        self.closed_by_key: dict[str, Outcome] = {}

    async def open(self, req: WorkRequest) -> Permission:
        await anyio.sleep(self.delay_s)
        return self.permission

    async def close(self, req: WorkRequest, outcome: Outcome) -> None:
        await anyio.lowlevel.checkpoint()
        if self.error is not None:
            raise self.error
        self.closed.append(outcome)
        self.closed_by_key[req.key] = outcome


class Instance:
    """One entry instance over a fake network."""

    def __init__(
        self,
        runners: Sequence[FakeRunner],
        name: str = 'i1',
        members: Sequence[str] = ('i1',),
        settle_ms: int = 0,
        cfg: ChoiceConfig = DEFAULT_CHOICE,
    ) -> None:
        clock = LoopClock()
        self.counters = Counters()
        self.shares = Shares(name, clock, settle_ms)
        self.shares.update(members)
        self.runners = Runners(clock)
        self.runners.replace(runner.listed() for runner in runners)
        self.connections = Connections(
            self.runners,
            self.shares,
            clock,
            self.counters,
            FakeNetwork(runners).connect,
        )
        self.chooser = Chooser('a', clock, self.shares, Random(7), cfg)
        self.limiter = Limiter(
            clock,
            self.shares,
            lambda: self.chooser.capacity(self.runners.available()),
        )
        self.policy = RetryPolicy()
        self.intents = FakeIntents()
        self.dispatcher = Dispatcher(
            Parts(
                self.runners,
                self.connections,
                self.chooser,
                self.limiter,
                self.policy,
                self.intents,
                clock,
                self.counters,
            )
        )


def make_entry(
    owner: str = 'team',
    urgency: Urgency = Urgency.INTERACTIVE,
    limits: Limits = PLENTY,
) -> Entry:
    """Make an entry with room for everything unless told otherwise."""
    return Entry(
        f'{owner}-work',
        owner,
        'work',
        Work.REQUEST,
        urgency,
        limits,
        service='svc',
    )


def make_request(
    number: int = 1,
    owner: str = 'team',
    *,
    idempotent: bool = True,
    deadline_ms: int = 5_000,
) -> WorkRequest:
    """Make a request whose key and body carry its number."""
    return WorkRequest(
        f'req-{owner}-{number}',
        owner,
        'work',
        f'key-{number}',
        idempotent,
        f'body {number}'.encode(),
        'text/plain',
        deadline_ms,
    )


def run_virtual(scenario: Callable[[], Awaitable[None]]) -> None:
    """Run a scenario on a clock that jumps over every wait."""
    anyio.run(
        scenario,
        backend='trio',
        backend_options={'clock': MockClock(autojump_threshold=0)},
    )
