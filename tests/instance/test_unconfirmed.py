"""Tests of what a holder does while records of its own are unconfirmed."""

import unittest
from collections import deque
from typing import Any
from unittest import mock

import anyio
from anyio.abc import TaskGroup

from swifthoist_core.errors import OutcomeUnknownError
from swifthoist_core.types import Offset
from swifthoist_engine.hang_detector import HangDetector
from swifthoist_engine.jobs import OpenRun
from swifthoist_engine.model import TaskId, UnitId
from swifthoist_engine.planner import Decision
from swifthoist_engine.records import (
    Placement,
    RunnerGone,
    Started,
    UpkeepBegun,
    Vanished,
    decode_record,
)
from swifthoist_instance.context import TenureContext
from swifthoist_instance.crash_counts import CrashCounts
from swifthoist_instance.evacuations import EvacuationRequests, ZoneGate
from swifthoist_instance.holding import Term
from swifthoist_instance.late_starts import LateStarts
from swifthoist_instance.lives import LifeCounts
from swifthoist_instance.notifier import Notifier
from swifthoist_instance.outcomes import OwnRecords
from swifthoist_instance.run_lines import RunLines
from swifthoist_instance.waves import Waves
from swifthoist_platform.documents import Wave
from swifthoist_platform.machines import Machine, UpkeepStatus
from swifthoist_platform.store import AppendRequest
from tests.instance.entry import JOB, InstanceHarness, configure
from tests.instance.fakes import FakeStore, LoopClock, run

JOB_ID = '00000000000000aa'
TASK = TaskId(JOB_ID, 0, 0, 0)
UPKEEP_S = 2.0
DEADLINE_MS = 20_000


class _MutedStore(FakeStore):
    """A store that answers reads, but for a while no appends.

    :ivar muted_by: kind of record whose append is the first without an answer.
    :ivar muted: whether appends get no answer.
    """

    def __init__(self) -> None:
        """Answer everything."""
        super().__init__()
        self.muted_by: type | None = None
        self.muted = False

    async def append(
        self, batch: AppendRequest, timeout_s: float, patience: object = None
    ) -> Offset:
        """Append, or leave the caller without an answer."""
        kinds = set(map(type, map(decode_record, batch.records)))
        self.muted = self.muted or self.muted_by in kinds
        if self.muted:
            await anyio.sleep(timeout_s)
            raise OutcomeUnknownError('no answer')
        return await super().append(batch, timeout_s, patience)

    def recover(self) -> None:
        """Answer all appends again."""
        self.muted_by = None
        self.muted = False


class _Roster:
    """A runner that can be reached at times.

    :ivar reachable: whether it can.
    :ivar started: runs whose start was sent to it.
    """

    def __init__(self) -> None:
        """Start without it."""
        self.reachable = False
        self.started: list[OpenRun] = []

    def start(self, order: OpenRun, ticket: str) -> bool:
        """Take a start if the runner can be reached."""
        if self.reachable:
            self.started.append(order)
        return self.reachable

    def stop(self, stops: object) -> None:
        """Take stops."""


class _Machines:
    """A service of machines that are in upkeep for a while.

    :ivar ordered: machines whose upkeep began.
    :ivar most_down: most machines that were down at a time.
    :ivar orders_to_lose: number of orders to come that are lost on their way.
    """

    def __init__(self, *names: str) -> None:
        """Start with all machines up."""
        self.ordered: list[str] = []
        self.most_down = 0
        self.orders_to_lose = 0
        self._lives = dict.fromkeys(names, 0)
        self._up_at: dict[str, float] = {}

    async def list_all(self, timeout_s: float) -> tuple[Machine, ...]:
        """List the machines; each upkeep makes a new runner."""
        now = anyio.current_time()
        return tuple(
            Machine(name, self._up_at.get(name, 0) <= now, f'{name}-{life}')
            for name, life in self._lives.items()
        )

    async def order_upkeep(self, name: str, *_: object) -> UpkeepStatus:
        """Take a machine down, once."""
        if self.orders_to_lose:
            self.orders_to_lose -= 1
            raise OutcomeUnknownError('no answer')
        if name not in self.ordered:
            self.ordered.append(name)
            self._up_at[name] = anyio.current_time() + UPKEEP_S
            self._lives[name] += 1
        now = anyio.current_time()
        down = sum(at > now for at in self._up_at.values())
        self.most_down = max(self.most_down, down)
        return UpkeepStatus.TAKEN


async def _hold(store: FakeStore, tasks: TaskGroup) -> TenureContext:
    """Start an instance that holds the cell and knows a job."""
    configure(store)
    instance = InstanceHarness('first', store)
    instance.start(tasks, claims=True)
    await anyio.sleep(1)
    await instance.call('POST', JOB_ID, JOB)
    hold = instance.tenure.hold
    assert hold is not None
    clock = LoopClock()
    zones = ZoneGate(EvacuationRequests(clock), clock.boot_ms, lambda: None)
    return TenureContext(
        instance.tenure,
        hold,
        instance.follower,
        instance.journal,
        deque(),
        HangDetector(),
        clock,
        Notifier(),
        zones,
        RunLines(instance.follower.cell, clock),
        anyio.Event(),
        LifeCounts(),
        CrashCounts(),
        LateStarts(instance.follower.cell, clock),
        instance.follower.faults,
    )


async def _record_start(context: TenureContext, runner: str) -> None:
    """Record the start of the job's only task."""
    started = Started(
        context.epoch,
        UnitId(JOB_ID, 0, 0, 0),
        1,
        '',
        (Placement(0, runner),),
        0,
    )
    offset = await context.journal.append([started], 1)
    assert await context.follower.wait_folded(offset, 1)


def _make_term(context: TenureContext, roster: _Roster) -> Term:
    """Create a term that decides nothing new."""
    dependencies = mock.Mock()
    dependencies.clock = context.clock
    dependencies.lease_max_ms.return_value = 10_000
    dependencies.turns.yield_to_others = mock.AsyncMock()
    term = Term(dependencies, context.hold)
    decider = mock.Mock()
    decider.decide.return_value = Decision((), (), ())
    parts: dict[str, Any] = {
        '_context': context,
        '_own_records': OwnRecords(context),
        '_roster': roster,
        '_decider': decider,
    }
    for name, part in parts.items():
        setattr(term, name, part)
    term._registry.loaded.wait = mock.AsyncMock()
    return term


def _start_wave(
    context: TenureContext,
    machines: _Machines,
    store: FakeStore,
    tasks: TaskGroup,
) -> None:
    """Carry out a wave in which one machine may be down."""
    configuration = mock.Mock()
    configuration.waves = {1: Wave(1, ('m1', 'm2'), DEADLINE_MS, 1)}
    waves = Waves(configuration, context, machines, store, list)
    tasks.start_soon(waves.run)


class UnconfirmedTest(unittest.TestCase):
    """A record without an answer may still be folded."""

    def test_a_run_whose_end_may_be_recorded_is_not_started(self) -> None:
        """Its task would run twice once that end is folded."""

        async def main() -> None:
            store = _MutedStore()
            roster = _Roster()
            async with anyio.create_task_group() as tasks:
                context = await _hold(store, tasks)
                term = _make_term(context, roster)
                tasks.start_soon(term._decide_repeatedly)
                await anyio.sleep(1)
                store.muted_by = Vanished
                await _record_start(context, 'r')
                await anyio.sleep(2.5)
                self.assertTrue(store.muted)
                roster.reachable = True
                await anyio.sleep(2.5)
                store.recover()
                await anyio.sleep(5)
                open_run = context.cell.find_run(TASK, 1)
                self.assertEqual(bool(roster.started), open_run is not None)
                tasks.cancel_scope.cancel()

        run(main)

    def test_an_upkeep_that_may_be_recorded_counts_against_the_limit(
        self,
    ) -> None:
        """Another machine that is ready later comes earlier in the list."""

        async def main() -> None:
            store = _MutedStore()
            machines = _Machines('m1', 'm2')
            async with anyio.create_task_group() as tasks:
                context = await _hold(store, tasks)
                await _record_start(context, 'm1-0')
                _start_wave(context, machines, store, tasks)
                store.muted_by = UpkeepBegun
                await anyio.sleep(8)
                self.assertTrue(store.muted)
                store.recover()
                await anyio.sleep(12)
                self.assertEqual(sorted(machines.ordered), ['m1', 'm2'])
                self.assertEqual(machines.most_down, 1)
                tasks.cancel_scope.cancel()

        run(main)

    def test_a_wave_is_not_complete_without_an_upkeep_whose_order_was_lost(
        self,
    ) -> None:
        """Its runner was away for a while, and is back under its id."""

        async def main() -> None:
            store = FakeStore()
            machines = _Machines('m1')
            machines.orders_to_lose = 1
            async with anyio.create_task_group() as tasks:
                context = await _hold(store, tasks)
                _start_wave(context, machines, store, tasks)
                while machines.orders_to_lose:
                    await anyio.sleep(0.01)
                gone = RunnerGone(context.epoch, 'm1-0')
                await context.journal.append([gone], 1)
                await anyio.sleep(10)
                self.assertEqual(machines.ordered, ['m1'])
                self.assertIn(1, context.cell.state.waves_done)
                tasks.cancel_scope.cancel()

        run(main)
