"""Gangs: one task carries each attempt from its place to its end.

An attempt starts in two steps: every part is held, then every part is
started. Whatever goes wrong with one part ends all of them, at the latest
when their leases lapse.
"""

import logging
from collections.abc import Sequence
from typing import Protocol

import anyio

from swifthoist_core.clock import Clock
from swifthoist_core.errors import LogUnavailableError, OutcomeUnknownError
from swifthoist_core.jobs import Job, Status
from swifthoist_core.ledger import Ledger, Verdict
from swifthoist_core.records import (
    JobEnded,
    JobStarted,
    PartUsage,
    Record,
)
from swifthoist_core.types import Epoch, Millis
from swifthoist_platform.orders import PartKey, PartState
from swifthoistd.commands import Commands, Failure, Sighting
from swifthoistd.parts import ENDED, RUNS, PartBoard, usage_of

POLL_S = 0.25
"""How long a task waits for news of its parts, in seconds."""

COMMIT_S = 5.0
"""Time for one record to be folded, in seconds."""

MARGIN_MS = 1_000
"""Added to a lease before a silent part counts as lapsed, in ms."""

_MS_PER_S = 1_000
_log = logging.getLogger(__name__)


class Writer(Protocol):
    """Where decisions are committed."""

    async def commit(self, record: Record, timeout_s: float) -> Verdict:
        """Append a record and wait until it is folded."""


class Ending(Exception):
    """An attempt must end.

    :ivar outcome: as in :class:`swifthoist_core.records.JobEnded`.
    :ivar blamed: the worker on which a part failed, or empty.
    """

    def __init__(self, outcome: str, blamed: str = '') -> None:
        """Keep why it ends.

        :param outcome: as in :class:`swifthoist_core.records.JobEnded`.
        :param blamed: the worker on which a part failed, or empty.
        """
        super().__init__(outcome)
        self.outcome = outcome
        self.blamed = blamed


class GangRunner:
    """Runs attempts in one epoch of the cell."""

    def __init__(
        self,
        ledger: Ledger,
        writer: Writer,
        commands: Commands,
        board: PartBoard,
        clock: Clock,
        lease_ms: Millis,
    ) -> None:
        """Wire the parts.

        :param ledger: the state.
        :param writer: where decisions are committed.
        :param commands: sends commands to workers.
        :param board: what workers said.
        :param clock: clocks of the machine.
        :param lease_ms: lease of a running part, in ms.
        """
        self._ledger = ledger
        self._writer = writer
        self._commands = commands
        self._board = board
        self._clock = clock
        self._lease_ms = lease_ms

    async def run(self, epoch: Epoch, job: Job) -> None:
        """Carry one attempt to its end.

        :param epoch: the epoch in which this instance decides.
        :param job: a job with a place, as it stands now.
        """
        try:
            if job.status is Status.STARTING:
                await self._start(epoch, job)
            await self._watch(epoch, job)
        except Ending as ending:
            await self._end(epoch, job, ending)

    async def _start(self, epoch: Epoch, job: Job) -> None:
        _stop_if_failed(await self._commands.hold(epoch, job), 'unstarted')
        self._check_wanted(job)
        _stop_if_failed(await self._commands.start(epoch, job), 'lost')
        started = JobStarted(epoch, job.spec.job_id, job.attempt)
        await self._commit(started)

    async def _watch(self, epoch: Epoch, job: Job) -> None:
        while True:
            self._check_wanted(job)
            self._check_parts(job)
            with anyio.move_on_after(POLL_S):
                await self._board.changed()

    def _check_wanted(self, job: Job) -> None:
        """End the attempt when the log says that it must stop."""
        now = self._ledger.jobs.get(job.spec.job_id)
        if now is None or now.attempt != job.attempt or not now.parts:
            raise Ending('stale')
        if now.status is Status.STOPPING:
            raise Ending('cancelled' if now.cancelled else 'reclaimed')

    def _check_parts(self, job: Job) -> None:
        """End the attempt when a part failed or all are done."""
        states = self._states(job)
        for part, state in enumerate(states):
            self._check_part(job, part, state)
        if _all_done(states):
            raise Ending('done')

    def _check_part(self, job: Job, part: int, state: PartState | None) -> None:
        name = state.state if state else ''
        if name == 'failed':
            raise Ending('failed', job.parts[part].worker)
        if name in {'stopped', 'lapsed'}:
            raise Ending('lost')
        if self._is_silent(job, part):
            raise Ending('lost')

    def _states(self, job: Job) -> list[PartState | None]:
        job_id, attempt = job.spec.job_id, job.attempt
        return [
            self._board.get(PartKey(job_id, attempt, index))
            for index in range(len(job.parts))
        ]

    async def _end(self, epoch: Epoch, job: Job, ending: Ending) -> None:
        if ending.outcome == 'stale':
            return
        if ending.outcome == 'reclaimed':
            await self._save(epoch, job)
        usage = await self._settle_usage(epoch, job, ending)
        outcome = ending.outcome
        if outcome in {'cancelled', 'reclaimed'} and _all_done(
            self._states(job)
        ):
            outcome = 'done'
        ended = JobEnded(
            epoch,
            job.spec.job_id,
            job.attempt,
            outcome,
            usage,
            ending.blamed,
        )
        await self._commit(ended)
        self._board.forget_attempt(job.spec.job_id, job.attempt)

    async def _save(self, epoch: Epoch, job: Job) -> None:
        reclaim_s = self._ledger.catalogue.policy.reclaim_ms / _MS_PER_S
        with anyio.move_on_after(reclaim_s):
            await self._commands.checkpoint(epoch, job)

    async def _settle_usage(
        self, epoch: Epoch, job: Job, ending: Ending
    ) -> tuple[PartUsage, ...]:
        """Stop what still runs, until each part is over or has lapsed.

        Each worker is asked after its stop was sent, since a part may have
        started and stopped between two renewals.
        """
        states = dict(enumerate(self._states(job)))
        open_parts = set() if ending.outcome == 'done' else set(states)
        until_ms = self._clock.boot_ms() + self._lease_ms + MARGIN_MS
        while open_parts and self._clock.boot_ms() < until_ms:
            await self._commands.stop(epoch, job, ending.outcome)
            for seen in await self._over(epoch, job):
                open_parts.discard(seen.part)
                states[seen.part] = seen.state or states[seen.part]
            if all(self._is_silent(job, part) for part in open_parts):
                break
            with anyio.move_on_after(POLL_S):
                await self._board.changed()
        return tuple(
            self._usage(job, index, state) for index, state in states.items()
        )

    def _is_silent(self, job: Job, part: int) -> bool:
        """Tell whether a part must have lapsed, since its worker is silent."""
        worker = job.parts[part].worker
        return self._board.silent_ms(worker) > self._lease_ms + MARGIN_MS

    async def _over(self, epoch: Epoch, job: Job) -> list[Sighting]:
        """Find the parts that surely run no more."""
        sightings = await self._commands.look(epoch, job)
        return [
            seen for seen in sightings if seen.answered and _is_over(seen.state)
        ]

    def _usage(
        self, job: Job, index: int, state: PartState | None
    ) -> PartUsage:
        part = job.parts[index]
        if state is None:
            return PartUsage(index, part.worker, part.accelerators, 0, 0)
        if state.state in ENDED:
            return usage_of(state, part.worker)
        # The worker is silent; its part lapsed a lease after its last
        # renewal, so that is when it ended at the latest.
        silent_ms = self._board.silent_ms(part.worker)
        end_ms = self._clock.wall_ms() - silent_ms + self._lease_ms
        estimate = usage_of(state._replace(stopped_ms=end_ms), part.worker)
        return estimate._replace(estimated=True)

    async def _commit(self, record: JobStarted | JobEnded) -> None:
        """Commit a record, however long the log is down.

        The scope of the epoch ends this task when another one is opened.
        """
        while True:
            try:
                verdict = await self._writer.commit(record, COMMIT_S)
            except (LogUnavailableError, OutcomeUnknownError) as exc:
                _log.info('waits for the log', extra={'error': str(exc)})
                continue
            if not verdict.accepted:
                _log.warning(
                    'decision rejected',
                    extra={'job_id': record.job_id, 'reason': verdict.reason},
                )
            return


def _all_done(states: Sequence[PartState | None]) -> bool:
    return all(state and state.state == 'done' for state in states)


def _is_over(state: PartState | None) -> bool:
    return state is None or state.state not in RUNS | {'held'}


def _stop_if_failed(failures: tuple[Failure, ...], outcome: str) -> None:
    if not failures:
        return
    first = failures[0]
    _log.warning(
        'gang did not start',
        extra={'worker': first.worker, 'reason': first.reason},
    )
    raise Ending(outcome, first.worker)
