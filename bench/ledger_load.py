"""Instances over a log on a virtual clock, for latencies without processors.

An append takes 5 ms in the median and 11 ms at the 99th percentile, by a
lognormal law; a read is answered 2 ms after its first entry; a call between
instances takes 1 ms each way.
"""

import math
import random
from collections.abc import Callable, Sequence
from functools import partial
from typing import NamedTuple

import anyio

from swifthoist_core import records
from swifthoist_core.catalogue import Entry, Work
from swifthoist_core.requests import Phase
from swifthoistd.intents import Granted
from swifthoistd.logs import LEDGER_STREAM
from swifthoistd.snapshotting import Restorer, SnapshotWriter
from tests.daemon.fakes import FakeLog, Instance, Peers, intent

INSTANCES = 8
RATE_PER_S = 1_000
LOAD_S = 3
CHANGES = 100
RESTARTED = 2

_SINGLE = 1_000
_LOG_MEDIAN_S = math.log(0.005)
_LOG_SPREAD = 0.35
_TICK_S = 0.005
_MS_PER_S = 1_000
_ANSWER = b'x' * 200


class Load(NamedTuple):
    """What the load run gave.

    :ivar alone_ms: how long single appends took, in ms.
    :ivar loaded_ms: how long leave took under load, in ms.
    :ivar appends: appends during the load.
    :ivar bytes_per_s: bytes that went to the log.
    """

    alone_ms: list[float]
    loaded_ms: list[float]
    appends: int
    bytes_per_s: float


class SlowLog(FakeLog):
    """A log whose appends take as long as a replicated one's."""

    def __init__(self, seed: int = 0) -> None:
        """Start with empty streams."""
        super().__init__()
        self._dice = random.Random(seed)

    async def append(
        self, stream: str, payloads: Sequence[bytes], timeout_s: float
    ) -> int:
        """Append after a random delay."""
        self.delay_s = self._dice.lognormvariate(_LOG_MEDIAN_S, _LOG_SPREAD)
        return await super().append(stream, payloads, timeout_s)

    def size(self) -> int:
        """Bytes on the stream of records."""
        entries = self.streams.get(LEDGER_STREAM, [])
        return sum(len(entry.payload) for entry in entries)


class Team:
    """Instances that commit through the holder of the cell."""

    def __init__(self, log: SlowLog, tasks: anyio.abc.TaskGroup) -> None:
        """Start all instances."""
        self.log = log
        self.peers = Peers()
        self.entries: list[Instance] = []
        self._tasks = tasks
        for index in range(INSTANCES):
            self.entries.append(self._start(index, 1))

    def restart(self, index: int) -> None:
        """Kill an instance and start another life of it."""
        self.kill(self.entries[index])
        self.entries[index] = self._start(index, 2)

    def kill(self, entry: Instance) -> None:
        """Kill an instance."""
        entry.kill()
        self.peers.gathers.pop(entry.author.instance)

    def holder(self) -> Instance | None:
        """Find the instance that may decide."""
        acting = (one for one in self.entries if one.tenure.may_act())
        return next(acting, None)

    async def until_held(self) -> Instance:
        """Wait until an instance may decide."""
        while True:
            found = self.holder()
            if found is not None:
                return found
            await anyio.sleep(_TICK_S)

    async def until_in_force(self, entry_id: str) -> None:
        """Wait until every instance has an entry."""
        for entry in self.entries:
            while not entry.ledger.catalogue.version(entry_id):
                await entry.follower.changed()

    def _start(self, index: int, life: int) -> Instance:
        name = f'e{index}'
        entry = Instance(
            name,
            self.log,
            life=life,
            bootstrap=Restorer(self.log),
            peers=self.peers,
        )
        self._tasks.start_soon(entry.run)
        return entry


async def load() -> Load:
    """Run single requests, then many from all instances."""
    dice = random.Random(1)
    log = SlowLog()
    alone: list[float] = []
    loaded: list[float] = []
    async with anyio.create_task_group() as tasks:
        single = Instance('single', log)
        tasks.start_soon(partial(single.run, decides=False))
        await _requests(single, _SINGLE, partial(dice.uniform, 0.2, 0.2), alone)
        single.kill()
        team = Team(log, tasks)
        await team.until_held()
        appends, size = log.appends, log.size()
        rate = RATE_PER_S / INSTANCES
        pause = partial(dice.expovariate, rate)
        async with anyio.create_task_group() as callers:
            for entry in team.entries:
                count = int(rate * LOAD_S)
                callers.start_soon(_requests, entry, count, pause, loaded)
        bytes_per_s = (log.size() - size) / LOAD_S
        appends = log.appends - appends
        tasks.cancel_scope.cancel()
    return Load(alone, loaded, appends, bytes_per_s)


async def in_force() -> list[float]:
    """Publish changes while instances restart.

    :returns: how long each took to be in force on every instance, in s.
    """
    taken: list[float] = []
    async with anyio.create_task_group() as tasks:
        team = Team(SlowLog(), tasks)
        holder = await team.until_held()
        writer = SnapshotWriter(
            team.log, holder.ledger, holder.tenure, holder.clock
        )
        await writer.write()
        async with anyio.create_task_group() as operators:
            for index in range(CHANGES):
                operators.start_soon(_publish, team, index, taken)
            await anyio.sleep(_TICK_S)
            for index in range(RESTARTED):
                team.restart(index)
        tasks.cancel_scope.cancel()
    return taken


async def takeover(seed: int) -> float:
    """Kill the holder of the cell.

    :param seed: seed of the delays and of the moment.
    :returns: how long until another instance may decide, in s.
    """
    async with anyio.create_task_group() as tasks:
        team = Team(SlowLog(seed), tasks)
        await team.until_held()
        await anyio.sleep(1 + random.Random(seed).random())
        dead = await team.until_held()
        team.kill(dead)
        team.entries.remove(dead)
        started = anyio.current_time()
        await team.until_held()
        taken = anyio.current_time() - started
        tasks.cancel_scope.cancel()
    return taken


async def _publish(team: Team, index: int, taken: list[float]) -> None:
    started = anyio.current_time()
    entry = Entry(f'x{index}', f't{index}', 'c', Work.REQUEST)
    changed = records.EntryChanged(entry.entry_id, 0, entry, 'op')
    writer = team.entries[RESTARTED + index % (INSTANCES - RESTARTED)]
    await writer.journal.commit(changed, 10)
    await team.until_in_force(entry.entry_id)
    taken.append(anyio.current_time() - started)


async def _requests(
    entry: Instance, count: int, pause: Callable[[], float], waits: list[float]
) -> None:
    name = entry.author.instance
    async with anyio.create_task_group() as tasks:
        for index in range(count):
            key = f'{name}/{index}'
            tasks.start_soon(_request, entry, key, waits)
            await anyio.sleep(pause())


async def _request(entry: Instance, key: str, waits: list[float]) -> None:
    asked = intent(key)
    started = anyio.current_time()
    granted = await entry.intents.open(asked, entry.clock.boot_ms() + 5_000)
    if not isinstance(granted, Granted):
        raise TypeError(f'not granted: {granted}')
    waits.append((anyio.current_time() - started) * _MS_PER_S)
    entry.intents.close(asked, Phase.DONE, 200, _ANSWER)
