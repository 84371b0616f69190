"""Runs the tasks of the holder: runner sessions, waves and decisions."""

import logging
from collections import deque
from collections.abc import Iterable, Mapping

import anyio
from anyio.abc import TaskGroup

from swifthoist_engine.faults import FaultGuard, FaultSource
from swifthoist_engine.hang_detector import HangDetector
from swifthoist_engine.jobs import OpenRun
from swifthoist_engine.model import TaskId
from swifthoist_engine.planner import Decision
from swifthoist_engine.records import Canceled, Record
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
from swifthoist_instance.supervision import Task, run_supervised
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
                try:
                    await Term(self._dependencies, hold).run()
                finally:
                    follower.read_continuously = False
            await anyio.sleep(POLL_INTERVAL_S)


class Term:
    """One tenure of the cell, from its beginning to its end.

    Its parts fail and are restarted one by one; only the end of the tenure ends
    it. A new term would meet all runners anew, in the state in which the part
    has failed.
    """

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
            dependencies.quarantine.faults,
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
        self._decider = self._create_decider()
        self._job_lines: JobLines | None = None

    async def run(self) -> None:
        """Act until the tenure ends."""
        epoch = self._context.epoch
        held_ms = (
            self._dependencies.clock.boot_ms() - self._context.hold.since_ms
        )
        _log.info('term begins', extra={'epoch': epoch, 'held_ms': held_ms})
        self._take_over_runs()
        async with anyio.create_task_group() as tasks:
            for name, part in self._parts(tasks).items():
                tasks.start_soon(
                    run_supervised, name, part, self._context.faults
                )
            while self._context.may_act():
                await anyio.sleep(CHECK_INTERVAL_S)
            tasks.cancel_scope.cancel()
        unread_ms = self._dependencies.follower.age_ms
        _log.info('term ends', extra={'epoch': epoch, 'unread_ms': unread_ms})

    def _parts(self, tasks: TaskGroup) -> Mapping[str, Task]:
        """Return the parts of the term, by the name that the log gives them."""
        return {
            'registry': self._registry.run,
            'wake': self._wake_on_fold,
            'lines': self._write_lines,
            'roster': lambda: self._roster.run(tasks),
            'waves': self._waves.run,
            'policies': self._policies.run,
            'decisions': self._decide_or_fail,
            'snapshots': lambda: self._dependencies.snapshots.run(
                self._dependencies.follower,
                self._context.epoch,
                self._context.journal,
            ),
        }

    def _create_decider(self) -> Decider:
        dependencies = self._dependencies
        return Decider(
            self._context,
            self._roster,
            self._waves,
            self._policies,
            dependencies.quarantine,
            dependencies.terms,
            dependencies.cold_zones,
        )

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
        lines = self._context.lines
        if self._job_lines is None:
            self._job_lines = JobLines(self._dependencies.follower, lines)
        try:
            while True:
                await anyio.sleep(LOG_FLUSH_INTERVAL_S)
                lines.flush()
                self._job_lines.write_finished()
        finally:
            lines.flush(everything=True)

    async def _decide_or_fail(self) -> None:
        """Decide repeatedly; after a failure nothing cached is relied on."""
        try:
            await self._decide_repeatedly()
        except Exception:
            self._own_records.note_unsettled()
            self._decider = self._create_decider()
            raise

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
        given_up = self._give_up(decision.given_up)
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

    def _give_up(self, tasks: Iterable[TaskId]) -> list[Record]:
        """Make the records that give tasks up, as far as that doesn't fail."""
        records: list[Record] = []
        guard = FaultGuard()
        for task in tasks:
            with guard.isolate(FaultSource.JOB, task.job):
                records += give_up_tasks(self._context, [task])
        self._dependencies.quarantine.note(guard.faults)
        return records

    async def _send_starts(self) -> None:
        """Send every new run of this tenure to its runner, once."""
        unsent: list[OpenRun] = []
        runs = self._context.cell.runs
        guard = FaultGuard()
        for run in runs.take_unsent():
            if run.epoch != self._context.epoch:
                continue
            # What fails here may be sent: the next look decides whether it is.
            with guard.isolate(FaultSource.RUNNER, run.runner):
                ticket = self._policies.ticket(run.task[:3], run.runner)
                if not self._roster.start(run, ticket):
                    unsent.append(run)
        self._dependencies.quarantine.note(guard.faults)
        reason = 'never sent, its runner is gone'
        if not await record_vanished(self._context, unsent, reason):
            # Their ends may be folded later, so they must not be sent now.
            self._own_records.note_unsettled()
            for run in unsent:
                runs.mark_unsent(run)
