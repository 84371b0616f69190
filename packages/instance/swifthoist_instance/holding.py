"""What the holder of the cell does: sessions with runners, and decisions."""

import logging
from collections import deque

import anyio
from anyio.abc import TaskGroup

from swifthoist_engine.hang_detector import HangDetector
from swifthoist_engine.jobs import OpenRun
from swifthoist_engine.planner import Decision
from swifthoist_engine.records import Beat
from swifthoist_instance.deciding import Decider
from swifthoist_instance.job_lines import JobLines
from swifthoist_instance.outcomes import record_all, record_vanished
from swifthoist_instance.parts import Parts
from swifthoist_instance.policies import Policies
from swifthoist_instance.roster import Roster
from swifthoist_instance.run_lines import RunLines
from swifthoist_instance.shared import Shared
from swifthoist_instance.signals import Signal
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

    def __init__(self, parts: Parts) -> None:
        """Wire the holder.

        :param parts: what it needs.
        """
        self._parts = parts

    async def run(self) -> None:
        """Act whenever this instance holds the cell, until canceled."""
        follower = self._parts.follower
        while True:
            hold = self._parts.tenure.hold
            if hold is not None and follower.caught_up:
                follower.eager = True
                await Term(self._parts, hold).run()
                follower.eager = False
            await anyio.sleep(CHECK_S)


class Term:
    """One tenure of the cell, from its beginning to its end."""

    def __init__(self, parts: Parts, hold: Hold) -> None:
        """Begin a tenure.

        :param parts: what the holder needs.
        :param hold: the tenure.
        """
        wake = Signal()
        self._unsettled = True
        self._parts = parts
        self._registry = parts.open_registry()
        self._policies = Policies(parts.open_advice(), parts.clock, wake)
        self._shared = Shared(
            parts.tenure,
            hold,
            parts.follower,
            parts.journal,
            deque(maxlen=MAX_DOUBTS),
            HangDetector(),
            parts.clock,
            wake,
            parts.zones,
            RunLines(parts.follower.cell, parts.clock),
            anyio.Event(),
            parts.lives,
        )
        self._roster = Roster(
            self._registry,
            self._shared,
            parts.open_runner,
            parts.lease_max_ms(),
        )
        self._waves = Waves(
            parts.configuration,
            self._shared,
            parts.open_machines(),
            parts.status,
            self._roster.stop,
        )
        self._decider = Decider(
            self._shared,
            self._roster,
            self._waves,
            self._policies,
            parts.aside,
            parts.terms,
            parts.cold_zones,
        )

    async def run(self) -> None:
        """Act until the tenure ends."""
        epoch = self._shared.epoch
        snapshots = self._parts.snapshots
        held_ms = self._parts.clock.boot_ms() - self._shared.hold.since_ms
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
            tasks.start_soon(snapshots.run, self._parts.follower, epoch)
            while self._shared.may_act():
                await self._parts.turns.pause()
            tasks.cancel_scope.cancel()
        unread_ms = self._parts.follower.age_ms
        _log.info('term ends', extra={'epoch': epoch, 'unread_ms': unread_ms})

    async def _wake_on_fold(self) -> None:
        while True:
            await self._parts.follower.wait_progress()
            self._shared.wake.give()

    async def _write_lines(self) -> None:
        job_lines = JobLines(self._parts.follower, self._shared.lines)
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
            catalogue = self._parts.configuration.catalogue
            if catalogue is None or not await self._knows_own_past():
                continue
            began_ms = self._parts.clock.boot_ms()
            decision = self._decider.decide(catalogue, tasks)
            took_ms = self._parts.clock.boot_ms() - began_ms
            await self._carry_out(decision)
            await self._parts.turns.rest(took_ms)

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
