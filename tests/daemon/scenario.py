"""Instances over one log that fail in any order, and what must still hold."""

import enum
import random
from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple
from unittest import mock

import anyio

from swifthoist_core import codec, records, requests, snapshots
from swifthoist_core.catalogue import Entry, Limits, Work
from swifthoist_core.errors import LogUnavailableError, OutcomeUnknownError
from swifthoist_core.ledger import Ledger, Verdict
from swifthoist_core.records import Author
from swifthoist_core.requests import Phase
from swifthoistd.intents import Granted, Refused
from swifthoistd.logs import LEDGER_STREAM, SNAPSHOT_STREAM
from swifthoistd.snapshotting import Restorer, SnapshotWriter
from tests.daemon.fakes import FakeLog, Instance, Mode, Peers, intent

_KEYS = 4
_TICK_S = 0.2
_SETTLE_S = 25.0
_ORPHAN_MS = 5_000
_LAG_S = 4.0
_UNDER_WAY = 5
_COUNT_S = 0.15
_DEADLINE_MS = 3_000


class Act(enum.Enum):
    """What happens in a step."""

    UP = 'the log serves'
    DOWN = 'the log refuses'
    REPLY_LOST = 'replies are lost'
    CALL_LOST = 'appends are lost'
    LATE = 'appends take effect late'
    KILL = 'an instance dies and another life of it starts'
    PAUSE = 'an instance stops moving'
    LAG = 'an instance reads the log late'
    RESUME = 'it moves and reads again'
    REQUEST = 'a caller asks for a non-idempotent request'
    PUBLISH = 'an operator changes an entry'
    EXPIRE = 'the log forgets what the newest snapshot holds'


ACTS = (*Act, *(Act.REQUEST,) * 8, *(Act.PUBLISH,) * 3, *(Act.UP,) * 2)
"""What is drawn from; common acts stand there more often."""


class Step(NamedTuple):
    """One step.

    :ivar act: what happens.
    :ivar who: index of the instance, and of the key.
    :ivar wait_ms: how long nothing else happens after it.
    """

    act: Act
    who: int
    wait_ms: int


class Findings(NamedTuple):
    """What went wrong; every count must be 0.

    :ivar double_runs: keys that ran more than once.
    :ivar false_not_run: keys of which every caller heard "not run", that ran.
    :ivar reverts: versions that went back, had two contents, overwrote an
        unseen change, or appeared after they were surely not appended.
    :ivar split: moments with two holders, and orders of two in one epoch.
    :ivar diverged: instances that differ from the fold of the whole log.
    :ivar stuck: instances that did not come back, keys still open.
    :ivar miscounted: instances whose counts were not taken exactly once.
    """

    double_runs: int = 0
    false_not_run: int = 0
    reverts: int = 0
    split: int = 0
    diverged: int = 0
    stuck: int = 0
    miscounted: int = 0


class Worker:
    """A worker that fences orders by epoch."""

    def __init__(self) -> None:
        """Start without orders."""
        self.epoch = 0
        self.authors: dict[int, set[Author]] = {}

    def order(self, epoch: int, author: Author) -> None:
        """Take an order unless a newer epoch has commanded."""
        if epoch < self.epoch:
            return
        self.epoch = epoch
        self.authors.setdefault(epoch, set()).add(author)


class Scenario:
    """Three instances, a worker, a runner and callers."""

    def __init__(
        self, seed: int = 0, count: int = 3, *, gathers: bool = False
    ) -> None:
        """Start with the log up and nothing on it.

        :param seed: seed of what the steps leave open.
        :param count: how many instances.
        :param gathers: whether they commit through the holder of the cell.
        """
        self.gathers = gathers
        self.peers = Peers()
        self.log = FakeLog()
        self.dice = random.Random(seed)
        self.worker = Worker()
        self.runs: Counter[str] = Counter()
        self.answers: dict[str, list[str]] = {}
        self.contents: dict[int, int] = {}
        self.denied: set[int] = set()
        self.counted: Counter[str] = Counter()
        self.accepted = 0
        self.reverts = 0
        self.split = 0
        self.count = count
        self.entries: list[Instance] = []
        self._playing = True
        self._tasks: anyio.abc.TaskGroup | None = None

    async def play(self, steps: Sequence[Step]) -> Findings:
        """Play the steps, let all recover, and look."""
        with mock.patch.object(requests, 'ORPHAN_MS', _ORPHAN_MS):
            return await self._play(steps)

    async def _play(self, steps: Sequence[Step]) -> Findings:
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            self.log.nursery = tasks
            for index in range(self.count):
                self.entries.append(self._start(index, 1))
            tasks.start_soon(self._watch)
            await anyio.sleep(2)
            for step in steps:
                self._act(step)
                await anyio.sleep(step.wait_ms / 1_000)
            self._playing = False
            self.log.mode = Mode.UP
            for entry in self.entries:
                entry.link.resume()
            await anyio.sleep(_SETTLE_S)
            findings = self._look()
            tasks.cancel_scope.cancel()
        return findings

    def _start(self, index: int, life: int) -> Instance:
        entry = Instance(
            f'e{index}',
            self.log,
            life=life,
            bootstrap=Restorer(self.log),
            peers=self.peers if self.gathers else None,
        )
        entry.follower.on_verdict(self._versions(entry))
        self._tasks.start_soon(entry.run)
        self._tasks.start_soon(self._command, entry)
        self._tasks.start_soon(self._snapshots, entry)
        self._tasks.start_soon(self._count, entry)
        return entry

    def _act(self, step: Step) -> None:
        index = step.who % self.count
        entry = self.entries[index]
        match step.act:
            case Act.KILL:
                entry.kill()
                life = entry.author.incarnation + 1
                self.entries[index] = self._start(index, life)
            case Act.PAUSE:
                entry.link.pause()
            case Act.LAG:
                entry.link.lag_s = _LAG_S
            case Act.RESUME:
                entry.link.resume()
            case Act.REQUEST:
                key = f'k{step.who % _KEYS}'
                self._tasks.start_soon(self._request, entry, key)
            case Act.PUBLISH:
                self._tasks.start_soon(self._publish, entry)
            case Act.EXPIRE:
                self._expire()
            case _:
                self.log.mode = Mode[step.act.name]

    async def _request(self, entry: Instance, key: str) -> None:
        answers = self.answers.setdefault(key, [])
        answers.append('lost')
        place = len(answers) - 1
        with anyio.CancelScope() as scope:
            entry.on_kill(scope)
            answers[place] = await self._answer(entry, key)

    async def _answer(self, entry: Instance, key: str) -> str:
        asked = intent(key)
        until_ms = entry.clock.boot_ms() + _DEADLINE_MS
        given = await entry.intents.open(asked, until_ms)
        match given:
            case Refused():
                return 'not_run'
            case Granted(until_ms=send_ms):
                return await self._send(entry, key, send_ms)
            case _:
                return given.phase.value

    async def _send(self, entry: Instance, key: str, until_ms: int) -> str:
        asked = intent(key)
        await anyio.sleep(self.dice.uniform(0, 0.2))
        await entry.link.motion()
        if entry.clock.boot_ms() >= until_ms or not self.dice.randrange(10):
            entry.intents.close(asked, Phase.NOT_RUN)
            return 'not_run'
        self.runs[key] += 1
        await anyio.sleep(self.dice.uniform(0, 0.5))
        await entry.link.motion()
        phase = self.dice.choice((Phase.DONE, Phase.DONE, Phase.UNKNOWN))
        entry.intents.close(asked, phase, 200, key.encode())
        return phase.value

    async def _publish(self, entry: Instance) -> None:
        version = entry.ledger.catalogue.version('x')
        content = self.dice.randrange(1 << 30)
        item = Entry('x', 'a', 'c', Work.REQUEST, limits=Limits(burst=content))
        changed = records.EntryChanged('x', version, item, 'op')
        patience_s = self.dice.choice((0.1, 0.5, 3))
        try:
            verdict = await entry.journal.commit(changed, patience_s)
        except LogUnavailableError:
            self.denied.add(content)
            return
        except OutcomeUnknownError:
            return
        self.reverts += verdict.accepted and verdict.version != version + 1
        self.accepted = max(self.accepted, verdict.version)

    def _versions(self, entry: Instance) -> object:
        last = 0

        def check(verdict: Verdict) -> None:
            nonlocal last
            found = entry.ledger.catalogue.get('x')
            version = entry.ledger.catalogue.version('x')
            self.reverts += version < last
            last = version
            if found is not None:
                content = found.limits.burst
                known = self.contents.setdefault(version, content)
                self.reverts += known != content

        return check

    async def _command(self, entry: Instance) -> None:
        with anyio.CancelScope() as scope:
            entry.on_kill(scope)
            while True:
                await anyio.sleep(_TICK_S)
                epoch = entry.tenure.epoch
                if epoch:
                    await entry.link.motion()
                    self.worker.order(epoch, entry.author)

    async def _snapshots(self, entry: Instance) -> None:
        with anyio.CancelScope() as scope:
            entry.on_kill(scope)
            writer = SnapshotWriter(
                entry.link,
                entry.ledger,
                entry.tenure,
                entry.clock,
                every_ms=10_000,
            )
            await writer.run()

    async def _count(self, entry: Instance) -> None:
        """Post counts all the time, under a name of this life."""
        name = _life(entry)
        tally = records.Tally(name, 'c', 1, 0, 0, {}, {})
        with anyio.CancelScope() as scope:
            entry.on_kill(scope)
            while self._playing:
                await anyio.sleep(_COUNT_S)
                entry.journal.post(records.RequestsCounted((tally,)))
                self.counted[name] += 1

    async def _watch(self) -> None:
        while True:
            await anyio.sleep(_TICK_S / 2)
            acting = [one for one in self.entries if one.tenure.may_act()]
            self.split += len(acting) > 1

    def _expire(self) -> None:
        found: dict[int, list[snapshots.Chunk]] = {}
        for item in self.log.streams.get(SNAPSHOT_STREAM, []):
            chunk = snapshots.open_chunk(item.payload)
            found.setdefault(chunk.snapshot, []).append(chunk)
        offsets = [
            chunks[0].offset
            for chunks in found.values()
            if snapshots.is_whole(chunks)
        ]
        self.log.expire(LEDGER_STREAM, max(offsets, default=0))

    def _look(self) -> Findings:
        whole = self._fold_all()
        silent = [
            key
            for key, heard in self.answers.items()
            if set(heard) == {'not_run'} and self.runs[key]
        ]
        final = whole.catalogue.version('x')
        clashes = sum(len(item) > 1 for item in self.worker.authors.values())
        behind = [
            one
            for one in self.entries
            if one.ledger.offset + _UNDER_WAY < whole.offset
        ]
        return Findings(
            double_runs=sum(times > 1 for times in self.runs.values()),
            false_not_run=len(silent),
            reverts=self.reverts
            + (final < self.accepted)
            + len(self.denied.intersection(self.contents.values())),
            split=self.split + clashes,
            diverged=sum(
                snapshots.clone(one.ledger)
                != snapshots.clone(self._fold_all(one.ledger.offset))
                for one in self.entries
            ),
            stuck=len(behind) + len(whole.requests._open),
            miscounted=self._miscounted(whole),
        )

    def _miscounted(self, whole: Ledger) -> int:
        """Compare the account with what was posted."""
        alive = {_life(one) for one in self.entries}
        good = {line.owner: line.good for line in whole.account.lines()}
        return sum(
            good.get(name, 0) > posted
            or (name in alive and good.get(name, 0) != posted)
            for name, posted in self.counted.items()
        )

    def _fold_all(self, end: int | None = None) -> Ledger:
        whole = Ledger()
        for item in self.log.streams.get(LEDGER_STREAM, [])[:end]:
            whole.fold(item.offset, item.time_ms, codec.decode(item.payload))
        return whole


def _life(entry: Instance) -> str:
    return f'{entry.author.instance}/{entry.author.incarnation}'


def random_steps(seed: int, count: int) -> list[Step]:
    """Draw steps for a run without Hypothesis."""
    dice = random.Random(seed)
    return [
        Step(
            dice.choice(ACTS),
            dice.randrange(12),
            dice.choice((0, 20, 400, 4000)),
        )
        for _ in range(count)
    ]
