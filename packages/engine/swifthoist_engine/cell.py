"""Replicated state machine of the cell, which folds the records of its log.

Every instance folds the same records in the same order, so all reach the same
state. A record that carries an older epoch than the newest one changes nothing.

A bug that makes folding a record fail does so on every instance alike, and the
changes made before the failure stay. Each record is therefore applied in a
fixed order: first what prevents a task from running twice, then the
consequences for its job, and the account last.
"""

from collections import deque

from swifthoist_core.types import JobId, Millis, RunnerId
from swifthoist_engine.cell_state import CellState
from swifthoist_engine.crash_records import (
    CrashWitnessed,
    RunnerCrashed,
    StartSent,
    TaskGivenUp,
)
from swifthoist_engine.endings import (
    placeholder_run,
    update_job_outcome,
    update_unit,
)
from swifthoist_engine.footprints import Footprints
from swifthoist_engine.histories import VANISHED
from swifthoist_engine.jobs import (
    Job,
    OpenRun,
    find_open_run,
    open_runs_from,
)
from swifthoist_engine.kept_units import MAX_UNITS, KeptUnits
from swifthoist_engine.model import TaskId
from swifthoist_engine.past_runs import past_run
from swifthoist_engine.peers import Peer, add_peer
from swifthoist_engine.records import (
    Beat,
    Canceled,
    Claimed,
    Ended,
    HolderRecord,
    Joined,
    Record,
    RunnerDescribed,
    Started,
    Submitted,
    Vanished,
)
from swifthoist_engine.run_index import RunIndex
from swifthoist_engine.suspects import (
    has_suspects,
    note_crash,
    note_next_life,
    note_unreported_crash,
    note_witnessed,
)

MAX_FINISHED = 20_000
"""Most job ids kept in :attr:`Cell.finished`. The holder drains the list four
times a second; other instances don't use it."""


class Cell:
    """The cell's state with the indexes that decisions use.

    :ivar state: result of the records folded so far.
    :ivar runs: open runs by runner.
    :ivar dirty: jobs with a unit that may be startable or a run that may have
        to stop; a decision removes those that need nothing more.
    :ivar urgent: jobs of urgent queues, including finished ones.
    :ivar finished: jobs that reached a final state, the newest last.
    :ivar suspects: jobs under which runners have crashed.
    :ivar footprints: memory that the jobs hold.
    """

    def __init__(
        self,
        keep_ms: Millis,
        state: CellState | None = None,
        max_units: int = MAX_UNITS,
    ) -> None:
        """Create a cell.

        :param keep_ms: how long finished jobs can still be queried, in ms.
        :param state: state from a snapshot; none to start empty.
        :param max_units: most units that are kept in full before those that
            are done are packed.
        """
        self.state = CellState()
        self.runs = RunIndex()
        self.dirty: set[JobId] = set()
        self.suspects: set[JobId] = set()
        self.footprints = Footprints()
        self.urgent: dict[JobId, Job] = {}
        self.finished: deque[JobId] = deque(maxlen=MAX_FINISHED)
        self._keep_ms = keep_ms
        self._units = KeptUnits(max_units)
        if state is not None:
            self.replace_state(state)

    def replace_state(self, state: CellState) -> None:
        """Replace the state and rebuild all indexes.

        :param state: the new state.
        """
        self.state = state
        self.runs = RunIndex()
        self.mark_all_dirty()
        self.urgent = {
            job.job: job
            for job in state.jobs.values()
            if job.spec.terms.priority == 0
        }
        self.suspects = set()
        self.footprints = Footprints(job.spec for job in state.jobs.values())
        self._units.recount(state.jobs.values())
        for job in state.jobs.values():
            job.forget_progress()
            if has_suspects(job):
                self.suspects.add(job.job)
            for run in job.open_runs():
                self.runs.add(run, job.step(run.task).allocated)

    def mark_all_dirty(self) -> None:
        """Make the next decision examine every job."""
        self.dirty = set(self.state.jobs)

    def find_job(self, job: JobId) -> Job | None:
        """Return a job by id.

        :param job: id of the job.
        :returns: the job; none if it is unknown or already forgotten.
        """
        return self.state.jobs.get(job)

    def newest_end_of(self, runner: RunnerId) -> int:
        """Return the number of a runner's newest folded end.

        :param runner: the runner.
        :returns: that number; 0 if no end of it was folded.
        """
        return self.state.seen.get(runner, 0)

    def runs_on(self, runner: RunnerId) -> list[OpenRun]:
        """Return the open runs of a runner.

        :param runner: the runner.
        :returns: runs that may still be on it.
        """
        return self.runs.on(runner)

    def runners(self) -> set[RunnerId]:
        """Return the runners known by their runs, ends or address."""
        known = self.state.seen.keys() | self.state.addresses.keys()
        return self.runs.runners() | known

    def dirty_jobs(self) -> list[Job]:
        """Return the jobs that the next decision has to examine."""
        jobs = self.state.jobs
        return [jobs[name] for name in sorted(self.dirty) if name in jobs]

    def find_run(self, task: TaskId, run: int) -> OpenRun | None:
        """Return an open run.

        :param task: its task.
        :param run: number of the run.
        :returns: the run; none if it is not open.
        """
        return find_open_run(self.state.jobs, task, run)

    def fold(self, record: Record) -> None:
        """Apply a record to the state.

        :param record: next record of the log.
        """
        try:
            self._apply(record)
        except Exception:
            # The indexes may be out of step with the state. Rebuild them, so
            # that they equal those of an instance restored from a snapshot.
            fresh = self.runs.take_unsent()
            self.replace_state(self.state)
            for run in fresh:
                if self.find_run(run.task, run.run) is not None:
                    self.runs.mark_unsent(run)
            raise

    def _apply(self, record: Record) -> None:
        match record:
            case Submitted(spec):
                job = self.state.jobs.setdefault(spec.job, Job(spec))
                self.footprints.add(job.spec)
                if spec.terms.priority == 0:
                    self.urgent[spec.job] = job
                self.dirty.add(spec.job)
                canceled_ms = self.state.early_cancels.get(spec.job)
                self._finish_early(spec.job, canceled_ms, canceled=True)
            case Canceled(job_id, at_ms):
                self.state.note_cancel(job_id, at_ms)
                self._finish_early(job_id, at_ms, canceled=True)
            case Claimed(epoch, instance, at_ms):
                if epoch == self.state.epoch + 1:
                    self.state.change_holder(epoch, instance, at_ms)
            case Joined(node, address, cores):
                add_peer(self.state.peers, node, Peer(address, cores))
            case _:
                if record.epoch == self.state.epoch:
                    self._apply_from_holder(record)

    def _apply_from_holder(self, record: HolderRecord) -> None:
        match record:
            case Beat():
                self.state.advance_time(record.at_ms)
                self._forget_finished()
            case Started():
                self._start(record)
            case Ended():
                self._end(record)
            case Vanished():
                self._vanish(record)
            case RunnerCrashed():
                blamed = set(note_crash(self.state.jobs, record))
                self.suspects |= blamed
                self.dirty |= blamed
            case CrashWitnessed():
                note_witnessed(self.state.jobs, record)
            case RunnerDescribed():
                self.state.apply(record)
                note_next_life(self.state.jobs, self.suspects, record)
            case StartSent(_, task, number):
                run = self.find_run(task, number)
                if run is not None:
                    run.sent = True
            case TaskGivenUp(_, task, at_ms):
                self._finish_early(task.job, at_ms, canceled=False)
            case _:
                self.state.apply(record)

    def _forget_finished(self) -> None:
        limit = self.state.time_ms - self._keep_ms
        self.state.forget_early_cancels(limit)
        old = [
            job.job
            for job in self.state.jobs.values()
            if 0 < job.finished_ms < limit and not any(job.open_runs())
        ]
        for job_id in old:
            self._units.forget(self.state.jobs.pop(job_id))
            self.footprints.remove(job_id)
            self.urgent.pop(job_id, None)
            self.dirty.discard(job_id)
            self.suspects.discard(job_id)

    def _finish_early(
        self, job_id: JobId, at_ms: Millis | None, *, canceled: bool
    ) -> None:
        """Finish a job unless it is unknown, final or, without a time, wanted."""
        job = self.state.jobs.get(job_id)
        if job is None or job.final or at_ms is None:
            return
        self.dirty.add(job_id)
        job.canceled = canceled
        job.failed = not canceled
        job.finished_ms = max(at_ms, self.state.time_ms)
        self.finished.append(job_id)
        self.state.account.add_finish(job, job.state)

    def _start(self, record: Started) -> None:
        job = self.state.jobs.get(record.unit.job)
        if job is None:
            return
        need = job.step(record.unit).allocated
        known = job.find_unit(record.unit)
        if known is not None and known.done:
            # An earlier run, already given up, turned out to be done.
            return
        unit = self._units.ensure(job, record.unit)
        if unit.open or record.run <= unit.last_run:
            # The start was decided again because it was unknown whether the
            # first record had been appended; the first one is valid.
            return
        first = not job.started
        job.started = True
        unit.last_run = record.run
        unit.open = open_runs_from(record)
        job.note_unit(record.unit)
        for run in unit.open.values():
            self.runs.add(run, need)
            self.runs.mark_unsent(run)
        if first:
            job.history.began_ms = record.at_ms
            self.state.account.add_wait(job, record.at_ms)

    def _end(self, record: Ended) -> None:
        seen = self.state.seen.get(record.runner, 0)
        self.state.seen[record.runner] = max(seen, record.number)
        self.state.advance_time(record.at_ms)
        job = self.state.jobs.get(record.task.job)
        if record.number <= seen or job is None:
            return
        if record.task.step >= len(job.spec.steps):
            return
        unit = job.find_unit(job.unit_of(record.task))
        if unit is None:
            return
        was_final = job.final
        gang = tuple(unit.open.values())
        update_unit(job, unit, record)
        run = self._close_run(record.task, record.run)
        self._units.pack_settled(job, record.task)
        self.dirty.add(job.job)
        update_job_outcome(job, unit, record)
        at_ms = self.state.time_ms
        if job.final and not was_final:
            self.finished.append(job.job)
        ended_run = run or placeholder_run(record, at_ms)
        job.add_to_history(ended_run, record.ending.value, at_ms)
        account = self.state.account
        if run is not None:
            account.add_run(job, run, at_ms, record.ending.value)
        if job.final and not was_final:
            account.add_finish(job, job.state)
        if run is not None:
            _learn(self.state, job, run, record, gang)

    def _vanish(self, record: Vanished) -> None:
        run = self._close_run(record.task, record.run)
        if run is None:
            return
        job = self.state.jobs[record.task.job]
        unit = job.ensure_unit(job.unit_of(record.task))
        unit.idle_since_ms = self.state.time_ms
        if not self.state.holder_generation and note_unreported_crash(
            job, run, record.reason, self.state.time_ms
        ):
            self.suspects.add(job.job)
        if record.checkpoint and record.run == unit.last_run:
            unit.checkpoint = record.checkpoint
        self._units.pack_settled(job, record.task)
        job.add_to_history(run, VANISHED, self.state.time_ms, record.reason)
        self.state.account.add_run(job, run, self.state.time_ms, VANISHED)

    def _close_run(self, task: TaskId, number: int) -> OpenRun | None:
        run = self.find_run(task, number)
        if run is None:
            return None
        job = self.state.jobs[task.job]
        need = job.step(task).allocated
        unit_id = job.unit_of(task)
        job.ensure_unit(unit_id).open.pop(task.ordinal)
        job.note_unit(unit_id)
        self.dirty.add(job.job)
        self.runs.remove(run, need)
        return run


def _learn(
    state: CellState,
    job: Job,
    run: OpenRun,
    record: Ended,
    gang: tuple[OpenRun, ...],
) -> None:
    """Update the statistics with an ended run."""
    learned = state.experience
    belated = learned.belated.get(record.runner, 0)
    past = past_run(state.facts, job, run, record, gang, state.time_ms, belated)
    learned.observe(past)
