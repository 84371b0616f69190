"""A log that fails on demand, and instances over it, on a fake clock."""

import enum
import random
from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple, TypeVar

import anyio
import trio
import trio.testing

from swifthoist_core.errors import (
    LogExpiredError,
    LogUnavailableError,
    OutcomeUnknownError,
    SwifthoistError,
    UnreachableError,
)
from swifthoist_core.ledger import Ledger
from swifthoist_core.records import Author, RequestIntended
from swifthoistd.committing import (
    Committer,
    DirectCommitter,
    Gather,
    PeerCommitter,
)
from swifthoistd.follower import Bootstrap, Follower
from swifthoistd.intents import Intents
from swifthoistd.journal import Journal
from swifthoistd.logs import LEDGER_STREAM
from swifthoistd.tenure import Tenure

T = TypeVar('T')
START_MS = 1_800_000_000_000
_READ_S = 0.002
_HOP_S = 0.001


def run(main: Callable[[], Awaitable[T]], seed: int = 0) -> T:
    """Run a test on a clock that jumps, with the same order every time."""
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return anyio.run(main, backend='trio', backend_options={'clock': clock})


class LoopClock:
    """The clock of the event loop."""

    def boot_ms(self) -> int:
        """Milliseconds of the loop's clock."""
        return 1_000 + round(anyio.current_time() * 1_000)

    def wall_ms(self) -> int:
        """Milliseconds since the epoch."""
        return START_MS + self.boot_ms()


class Entry(NamedTuple):
    """One entry of a stream."""

    offset: int
    time_ms: int
    payload: bytes


class Span(NamedTuple):
    """Bounds of a stream."""

    earliest: int
    end: int


class Mode(enum.Enum):
    """How the log treats appends; ``DOWN`` also refuses reads."""

    UP = 'up'
    DOWN = 'down'
    REPLY_LOST = 'applied, reply lost'
    CALL_LOST = 'not applied, outcome unknown'
    LATE = 'applied later, reply lost'


class FakeLog:
    """Streams in memory."""

    def __init__(self, delay_s: float = 0.005) -> None:
        """Start with empty streams."""
        self.mode = Mode.UP
        self.delay_s = delay_s
        self.late_s = 1.0
        self.appends = 0
        self.streams: dict[str, list[Entry]] = {}
        self.earliest: dict[str, int] = {}
        self.nursery: anyio.abc.TaskGroup | None = None
        self._clock = LoopClock()
        self._grown = anyio.Event()

    def apply(self, stream: str, payloads: Sequence[bytes]) -> int:
        """Put a batch on a stream at once."""
        entries = self.streams.setdefault(stream, [])
        first = len(entries)
        now_ms = self._clock.wall_ms()
        for index, payload in enumerate(payloads):
            entries.append(Entry(first + index, now_ms, payload))
        self._grown.set()
        self._grown = anyio.Event()
        return first

    def expire(self, stream: str, earliest: int) -> None:
        """Forget the entries before an offset."""
        self.earliest[stream] = earliest

    async def append(
        self, stream: str, payloads: Sequence[bytes], timeout_s: float
    ) -> int:
        """Append as the mode has it."""
        self.appends += 1
        mode = self.mode
        await anyio.sleep(self.delay_s)
        if mode is Mode.UP:
            return self.apply(stream, payloads)
        if mode is Mode.DOWN:
            raise LogUnavailableError('down')
        if mode is Mode.REPLY_LOST:
            self.apply(stream, payloads)
        if mode is Mode.LATE:
            self.nursery.start_soon(self._late, stream, payloads)
        raise OutcomeUnknownError('no reply')

    async def read(
        self, stream: str, start: int, limit: int, wait_s: float
    ) -> Sequence[Entry]:
        """Read, waiting for the first entry."""
        with anyio.move_on_after(wait_s):
            while start >= len(self.streams.get(stream, [])):
                await self._grown.wait()
        await anyio.sleep(_READ_S)
        span = await self.bounds(stream)
        if start < span.earliest:
            raise LogExpiredError(span.earliest)
        return tuple(self.streams.get(stream, [])[start : start + limit])

    async def bounds(self, stream: str) -> Span:
        """Tell what a stream holds."""
        if self.mode is Mode.DOWN:
            raise LogUnavailableError('down')
        end = len(self.streams.get(stream, []))
        return Span(self.earliest.get(stream, 0), end)

    async def _late(self, stream: str, payloads: Sequence[bytes]) -> None:
        await anyio.sleep(self.late_s)
        self.apply(stream, payloads)


class Link:
    """One instance's way to the log; while it is paused, nothing moves."""

    def __init__(self, log: FakeLog) -> None:
        """Start in motion; ``lag_s`` delays the replies of reads."""
        self._log = log
        self._moving = anyio.Event()
        self._moving.set()
        self.lag_s: float = 0

    async def append(
        self, stream: str, payloads: Sequence[bytes], timeout_s: float
    ) -> int:
        """Append; the call and its reply wait while paused."""
        await self.motion()
        try:
            first = await self._log.append(stream, payloads, timeout_s)
        except SwifthoistError:
            await self.motion()
            raise
        await self.motion()
        return first

    async def read(
        self, stream: str, start: int, limit: int, wait_s: float
    ) -> Sequence[Entry]:
        """Read; the call and its reply wait while paused."""
        await self.motion()
        entries = await self._log.read(stream, start, limit, wait_s)
        if self.lag_s:
            await anyio.sleep(self.lag_s)
        await self.motion()
        return entries

    async def bounds(self, stream: str) -> Span:
        """Ask for the bounds of a stream."""
        return await self._log.bounds(stream)

    def pause(self) -> None:
        """Stop every call and every reply."""
        self._moving = anyio.Event()

    def resume(self) -> None:
        """Let calls and replies go on, and reads come in time."""
        self.lag_s = 0
        self._moving.set()

    async def motion(self) -> None:
        """Wait until it is not paused."""
        await self._moving.wait()


class Peers:
    """Calls between instances in one process."""

    def __init__(self) -> None:
        """Start with no instance reachable."""
        self.gathers: dict[str, Gather] = {}
        self.links: dict[str, Link] = {}
        self.silent = False

    async def offer(
        self, holder: str, payloads: Sequence[bytes], timeout_s: float
    ) -> bool:
        """Hand a group on; a silent peer never answers."""
        await anyio.sleep(_HOP_S)
        if holder not in self.gathers:
            raise UnreachableError(holder)
        if self.silent:
            await anyio.sleep_forever()
        if holder in self.links:
            await self.links[holder].motion()
        queued = self.gathers[holder].offer(payloads)
        await anyio.sleep(_HOP_S)
        return queued


class Instance:
    """One entry instance's parts that decide by the log."""

    def __init__(
        self,
        name: str,
        log: FakeLog,
        *,
        life: int = 1,
        committer: Committer | None = None,
        bootstrap: Bootstrap | None = None,
        peers: Peers | None = None,
    ) -> None:
        """Wire the parts; with peers, commit through the holder."""
        dice = random.Random(f'{name}/{life}')
        self.author = Author(name, life)
        self.clock = LoopClock()
        self.link = Link(log)
        self.ledger = Ledger()
        self.follower = Follower(
            self.link,
            self.ledger,
            self.clock,
            bootstrap=bootstrap,
            dice=dice,
        )
        self.gather = Gather(self.link, self.clock)
        if peers is not None:
            committer = self._through(peers)
        self.journal = Journal(
            committer or DirectCommitter(self.link),
            self.author,
            self.clock,
            dice=dice,
        )
        self.tenure = Tenure(self.follower, self.journal, self.clock, dice=dice)
        self.intents = Intents(
            self.follower, self.journal, self.clock, dice=dice
        )
        self._scopes = [anyio.CancelScope()]
        self.follower.on_verdict(self.journal.resolve)
        self.follower.on_jump(self._jumped)

    async def run(self, *, decides: bool = True) -> None:
        """Run the parts until the instance is killed."""
        with self._scopes[0]:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.follower.run)
                tasks.start_soon(self.journal.run)
                tasks.start_soon(self.gather.run)
                tasks.start_soon(self.intents.run, self.tenure)
                if decides:
                    tasks.start_soon(self.tenure.run)

    def kill(self) -> None:
        """End it without a word."""
        for scope in self._scopes:
            scope.cancel()

    def on_kill(self, scope: anyio.CancelScope) -> None:
        """Let a task of the instance die with it."""
        self._scopes.append(scope)

    def _through(self, peers: Peers) -> Committer:
        name = self.author.instance
        peers.gathers[name] = self.gather
        peers.links[name] = self.link
        return PeerCommitter(
            name,
            self._holder,
            self.gather,
            peers,
            DirectCommitter(self.link),
            self.clock,
        )

    def _holder(self) -> str:
        cell = self.ledger.cell
        return cell.state.holder.instance

    def _jumped(self) -> None:
        self.journal.settle(self.ledger.authors.upto(self.author))


def intent(key: str, digest: str = 'd') -> RequestIntended:
    """Build an intent of team ``a``."""
    return RequestIntended(key, 'a', 'sort', digest, 5_000)


def stream_size(log: FakeLog) -> int:
    """Count the records on the ledger's stream."""
    return len(log.streams.get(LEDGER_STREAM, []))
