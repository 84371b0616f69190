"""What the holder of the cell does: sessions with runners, and decisions."""

import logging
from collections import deque

import anyio
from anyio.abc import TaskGroup

from swifthoist_engine.jobs import OpenRun
from swifthoist_engine.planner import Decision
from swifthoist_engine.records import Beat
from swifthoist_engine.standstill import Standstill
from swifthoist_instance.deciding import Decider
from swifthoist_instance.dependencies import HolderDependencies
from swifthoist_instance.job_lines import JobLines
from swifthoist_instance.notifier import Notifier
from swifthoist_instance.outcomes import record_all, record_vanished
from swifthoist_instance.policies import Policies
from swifthoist_instance.roster import Roster
from swifthoist_instance.run_lines import RunLines
from swifthoist_instance.shared import Shared
from swifthoist_instance.tenure import Hold
from swifthoist_instance.waves import Waves

IDLE_S = 0.25
"""Longest pause between two decisions, in seconds: occurrences become due,
and patience ends, without any other event."""

SETTLE_S = 0.005
"""Pause before a decision, in seconds, so that it answers several events."""

CHECK_S = 0.05

MAX_DOUBTS = 1_000
"""Most records of doubts that wait for a decision, which comes at least each 0.25
s; the oldest are forgotten."""

LINES_S = 0.25
"""Pause between looks for lines that have gathered, in seconds."""

_log = logging.getLogger(__name__)


class Holding:
    """Acts as the holder for as long as this instance holds the cell."""

    def __init__(self, dependencies: HolderDependencies) -> None:
        """Wire the holder.

        :param dependencies: what it needs.
        """
        self._dependencies = dependencies

    async def run(self) -> None:
        """Act whenever this instance holds the cell, until canceled."""
        follower = self._dependencies.follower
        while True:
            hold = self._dependencies.tenure.hold
            if hold is not None and follower.caught_up:
                follower.read_continuously = True
                await Term(self._dependencies, hold).run()
                follower.read_continuously = False
            await anyio.sleep(CHECK_S)


class Term:
    """One tenure of the cell, from its beginning to its end."""

    def __init__(self, dependencies: HolderDependencies, hold: Hold) -> None:
        """Begin a tenure.

        :param dependencies: what the holder needs.
        :param hold: the tenure.
        """
        wake = Notifier()
        self._unsettled = True
        self._dependencies = dependencies
        self._registry = dependencies.open_registry()
        self._policies = Policies(
            dependencies.open_advice(), dependencies.clock, wake
        )
        self._shared = Shared(
            dependencies.tenure,
            hold,
            dependencies.follower,
            dependencies.journal,
            deque(maxlen=MAX_DOUBTS),
            Standstill(),
            dependencies.clock,
            wake,
            dependencies.zones,
            RunLines(dependencies.follower.cell, dependencies.clock),
            anyio.Event(),
            dependencies.lives,
        )
        self._roster = Roster(
            self._registry,
            self._shared,
            dependencies.open_runner,
            dependencies.lease_max_ms(),
        )
        self._waves = Waves(
            dependencies.configuration,
            self._shared,
            dependencies.open_machines(),
            dependencies.status,
            self._roster.stop,
        )
        self._decider = Decider(
            self._shared,
            self._roster,
            self._waves,
            self._policies,
            dependencies.aside,
            dependencies.terms,
            dependencies.cold_zones,
        )

    async def run(self) -> None:
        """Act until the tenure ends."""
        epoch = self._shared.epoch
        snapshots = self._dependencies.snapshots
        held_ms = (
            self._dependencies.clock.boot_ms() - self._shared.hold.since_ms
        )
        _log.info('term begins', extra={'epoch': epoch, 'held_ms': held_ms})
        self._shared.cell.mark_all_dirty()
        # An earlier term of this epoch may have sent what is open by now; looks
        # tell what of it is on its runner.
        self._shared.cell.runs.take_fresh()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._registry.run)
            tasks.start_soon(self._wake_on_fold)
            tasks.start_soon(self._write_lines)
            tasks.start_soon(self._roster.run, tasks)
            tasks.start_soon(self._waves.run)
            tasks.start_soon(self._decide_again, tasks)
            tasks.start_soon(snapshots.run, self._dependencies.follower, epoch)
            while self._shared.may_act():
                await self._dependencies.turns.pause()
            tasks.cancel_scope.cancel()
        unread_ms = self._dependencies.follower.age_ms
        _log.info('term ends', extra={'epoch': epoch, 'unread_ms': unread_ms})

    async def _wake_on_fold(self) -> None:
        while True:
            await self._dependencies.follower.wait_progress()
            self._shared.wake.notify()

    async def _write_lines(self) -> None:
        job_lines = JobLines(self._dependencies.follower, self._shared.lines)
        try:
            while True:
                await anyio.sleep(LINES_S)
                self._shared.lines.flush()
                job_lines.tell()
        finally:
            self._shared.lines.flush(everything=True)

    async def _decide_again(self, tasks: TaskGroup) -> None:
        await self._registry.loaded.wait()
        while True:
            await self._shared.wake.wait(IDLE_S)
            await anyio.sleep(SETTLE_S)
            catalogue = self._dependencies.configuration.catalogue
            if catalogue is None or not await self._knows_own_past():
                continue
            began_ms = self._dependencies.clock.boot_ms()
            decision = self._decider.decide(catalogue, tasks)
            took_ms = self._dependencies.clock.boot_ms() - began_ms
            await self._carry_out(decision)
            await self._dependencies.turns.rest(took_ms)

    async def _knows_own_past(self) -> bool:
        """Tell whether whatever this instance decided before is folded.

        A decision whose record got no answer may be on the log all the same,
        and so may one of a term that ended while the store was away. Appends
        keep their order, so a record behind them settles it.
        """
        if not self._shared.may_act():
            return False
        if self._unsettled:
            beat = Beat(self._shared.epoch, self._shared.follower.time.now_ms())
            self._unsettled = not await record_all(self._shared, [beat])
        return not self._unsettled

    async def _carry_out(self, decision: Decision) -> None:
        self._roster.stop(decision.stops)
        doubts = tuple(self._shared.doubts)
        self._shared.doubts.clear()
        starts = decision.starts
        started = await record_all(self._shared, (*doubts, *starts))
        if not started:
            # They may be folded later, and are carried to runners then.
            self._unsettled = True
        await self._send_starts()

    async def _send_starts(self) -> None:
        """Carry every open run of this tenure to its runner, once."""
        unsent: list[OpenRun] = []
        runs = self._shared.cell.runs
        for run in runs.take_fresh():
            if run.epoch != self._shared.epoch:
                continue
            ticket = self._policies.ticket(run.task[:3], run.runner)
            if not self._roster.start(run, ticket):
                unsent.append(run)
        reason = 'never sent, its runner is gone'
        if not await record_vanished(self._shared, unsent, reason):
            for run in unsent:
                runs.note_fresh(run)
