"""Runs the tasks of the holder: runner sessions, waves and decisions."""

import logging
from collections import deque

import anyio

from swifthoist_engine.hang_detector import HangDetector
from swifthoist_engine.jobs import OpenRun
from swifthoist_engine.planner import Decision
from swifthoist_engine.records import Canceled
from swifthoist_instance.context import TenureContext
from swifthoist_instance.crashes import give_up_tasks
from swifthoist_instance.deciding import Decider
from swifthoist_instance.dependencies import HolderDependencies
from swifthoist_instance.job_lines import JobLines
from swifthoist_instance.late_starts import LateStarts
from swifthoist_instance.notifier import Notifier
from swifthoist_instance.outcomes import (
    OwnRecords,
    record_all,
    record_vanished,
)
from swifthoist_instance.policies import Policies
from swifthoist_instance.roster import Roster
from swifthoist_instance.run_lines import RunLines
from swifthoist_instance.tenure import Hold
from swifthoist_instance.turns import CHECK_INTERVAL_S
from swifthoist_instance.waves import Waves

MAX_DECISION_INTERVAL_S = 0.25
"""Longest interval between decisions, in seconds: occurrences become due,
and patience limits expire, without any other event."""

DEBOUNCE_S = 0.005
"""Pause before a decision, in seconds, so that it covers several events."""

POLL_INTERVAL_S = 0.05

MAX_PENDING_DOUBTS = 1_000
"""Maximum number of doubt records that wait for the next decision, which comes
within 0.25 s; the oldest are dropped."""

LOG_FLUSH_INTERVAL_S = 0.25
"""Interval at which pending log lines are written, in seconds."""

_log = logging.getLogger(__name__)


class Holding:
    """Starts a term whenever this instance holds the cell."""

    def __init__(self, dependencies: HolderDependencies) -> None:
        """Create the service.

        :param dependencies: components that the holder uses.
        """
        self._dependencies = dependencies

    async def run(self) -> None:
        """Act as the holder whenever this instance is it, until canceled."""
        follower = self._dependencies.follower
        while True:
            hold = self._dependencies.tenure.hold
            if hold is not None and follower.caught_up:
                follower.read_continuously = True
                await Term(self._dependencies, hold).run()
                follower.read_continuously = False
            await anyio.sleep(POLL_INTERVAL_S)


class Term:
    """One tenure of the cell, from its beginning to its end."""

    def __init__(self, dependencies: HolderDependencies, hold: Hold) -> None:
        """Set up the components of a tenure.

        :param dependencies: components that the holder uses.
        :param hold: the tenure.
        """
        wake = Notifier()
        self._dependencies = dependencies
        self._registry = dependencies.open_registry()
        self._policies = Policies(
            dependencies.open_advice(), dependencies.clock, wake
        )
        self._context = TenureContext(
            dependencies.tenure,
            hold,
            dependencies.follower,
            dependencies.journal,
            deque(maxlen=MAX_PENDING_DOUBTS),
            HangDetector(),
            dependencies.clock,
            wake,
            dependencies.zones,
            RunLines(dependencies.follower.cell, dependencies.clock),
            anyio.Event(),
            dependencies.lives,
            dependencies.crashes,
            LateStarts(dependencies.follower.cell, dependencies.clock),
        )
        self._own_records = OwnRecords(self._context)
        self._roster = Roster(
            self._registry,
            self._context,
            dependencies.open_runner,
            dependencies.lease_max_ms(),
        )
        self._waves = Waves(
            dependencies.configuration,
            self._context,
            dependencies.open_machines(),
            dependencies.status,
            self._roster.stop,
        )
        self._decider = Decider(
            self._context,
            self._roster,
            self._waves,
            self._policies,
            dependencies.quarantine,
            dependencies.terms,
            dependencies.cold_zones,
        )

    async def run(self) -> None:
        """Act until the tenure ends."""
        epoch = self._context.epoch
        snapshots = self._dependencies.snapshots
        held_ms = (
            self._dependencies.clock.boot_ms() - self._context.hold.since_ms
        )
        _log.info('term begins', extra={'epoch': epoch, 'held_ms': held_ms})
        self._take_over_runs()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._registry.run)
            tasks.start_soon(self._wake_on_fold)
            tasks.start_soon(self._write_lines)
            tasks.start_soon(self._roster.run, tasks)
            tasks.start_soon(self._waves.run)
            tasks.start_soon(self._policies.run)
            tasks.start_soon(self._decide_repeatedly)
            tasks.start_soon(
                snapshots.run,
                self._dependencies.follower,
                epoch,
                self._context.journal,
            )
            while self._context.may_act():
                await anyio.sleep(CHECK_INTERVAL_S)
            tasks.cancel_scope.cancel()
        unread_ms = self._dependencies.follower.age_ms
        _log.info('term ends', extra={'epoch': epoch, 'unread_ms': unread_ms})

    def _take_over_runs(self) -> None:
        context = self._context
        context.cell.mark_all_dirty()
        # An earlier term of this epoch may have sent the open runs already;
        # looks show which of them are on their runners.
        context.cell.runs.take_unsent()
        context.late_starts.restore(context.follower.time.now_ms())

    async def _wake_on_fold(self) -> None:
        while True:
            await self._dependencies.follower.wait_progress()
            self._context.wake.notify()

    async def _write_lines(self) -> None:
        job_lines = JobLines(self._dependencies.follower, self._context.lines)
        try:
            while True:
                await anyio.sleep(LOG_FLUSH_INTERVAL_S)
                self._context.lines.flush()
                job_lines.write_finished()
        finally:
            self._context.lines.flush(everything=True)

    async def _decide_repeatedly(self) -> None:
        await self._registry.loaded.wait()
        while True:
            await self._context.wake.wait(MAX_DECISION_INTERVAL_S)
            await anyio.sleep(DEBOUNCE_S)
            catalogue = self._dependencies.configuration.catalogue
            if catalogue is None or not await self._own_records.settle():
                continue
            began_ms = self._dependencies.clock.boot_ms()
            decision = self._decider.decide(catalogue)
            took_ms = self._dependencies.clock.boot_ms() - began_ms
            self._dependencies.turns.note_decision(took_ms)
            await self._apply_decision(decision)
            await self._dependencies.turns.yield_to_others(took_ms)

    async def _apply_decision(self, decision: Decision) -> None:
        self._roster.stop(decision.stops)
        doubts = tuple(self._context.doubts)
        self._context.doubts.clear()
        given_up = give_up_tasks(self._context, decision.given_up)
        now_ms = self._context.follower.time.now_ms()
        canceled = [
            Canceled(job, now_ms)
            for job in self._context.cell.state.late_jobs()
        ]
        started = await record_all(
            self._context, (*doubts, *canceled, *given_up, *decision.starts)
        )
        if not started:
            # They may be folded later and are sent to the runners then.
            self._own_records.note_unsettled()
        await self._send_starts()

    async def _send_starts(self) -> None:
        """Send every new run of this tenure to its runner, once."""
        unsent: list[OpenRun] = []
        runs = self._context.cell.runs
        for run in runs.take_unsent():
            if run.epoch != self._context.epoch:
                continue
            ticket = self._policies.ticket(run.task[:3], run.runner)
            if not self._roster.start(run, ticket):
                unsent.append(run)
        reason = 'never sent, its runner is gone'
        if not await record_vanished(self._context, unsent, reason):
            # Their ends may be folded later, so they must not be sent now.
            self._own_records.note_unsettled()
            for run in unsent:
                runs.mark_unsent(run)
