"""What workers report late of their use, against the account."""

import logging

import anyio

from swifthoist_core.clock import Clock
from swifthoist_core.errors import (
    LogUnavailableError,
    OutcomeUnknownError,
    SwifthoistError,
)
from swifthoist_core.ledger import Ledger
from swifthoist_core.reconciliation import (
    Difference,
    ReportedUse,
    reconcile,
)
from swifthoist_core.records import PartUsage, UsageCorrected
from swifthoist_core.spans import Span
from swifthoist_core.types import Millis, WorkerId
from swifthoist_platform.orders import UsageReport
from swifthoistd.commands import Commands
from swifthoistd.journal import Journal
from swifthoistd.tenure import Tenure

READ_S = 2.0
"""Time for one worker's report, in seconds."""

CORRECT_S = 10.0
"""Time between two looks at estimates, in seconds."""

LAG_MS: Millis = 60_000
"""A part that ended longer ago must have been reported, in ms."""

MAX_PARALLEL = 32
"""Workers that are read at the same time."""

_COMMIT_S = 5.0
_log = logging.getLogger(__name__)


class UsageReader:
    """Reads the workers' own reports."""

    def __init__(self, commands: Commands) -> None:
        """Wire the parts.

        :param commands: gives the clients of workers.
        """
        self._commands = commands
        self._limiter = anyio.Semaphore(MAX_PARALLEL)

    async def read(
        self, workers: tuple[WorkerId, ...], since_ms: Millis
    ) -> tuple[ReportedUse, ...]:
        """Read what workers reported; one that is silent reports nothing.

        :param workers: the workers.
        :param since_ms: only reports that came out at this time or later.
        :returns: the reports of all.
        """
        reported: list[ReportedUse] = []
        async with anyio.create_task_group() as group:
            for worker in workers:
                group.start_soon(self._read_one, worker, since_ms, reported)
        return tuple(sorted(reported))

    async def _read_one(
        self, worker: WorkerId, since_ms: Millis, into: list[ReportedUse]
    ) -> None:
        client = self._commands.client(worker)
        if client is None:
            return
        async with self._limiter:
            try:
                reports = await client.usage(since_ms, READ_S)
            except SwifthoistError as exc:
                _log.info('usage not read', extra={'error': str(exc)})
                return
        into.extend(_reported_use(worker, report) for report in reports)


class Reconciler:
    """Shows differences, and replaces estimates by what workers report."""

    def __init__(
        self, ledger: Ledger, reader: UsageReader, clock: Clock
    ) -> None:
        """Wire the parts.

        :param ledger: the state.
        :param reader: reads the workers' reports.
        :param clock: clocks of the machine.
        """
        self._ledger = ledger
        self._reader = reader
        self._clock = clock

    async def differences(self) -> tuple[Difference, ...]:
        """Compare the account's spans with what workers report now.

        :returns: every difference, by job, attempt and part.
        """
        spans = self._ledger.account.spans()
        workers = tuple(spec.worker for spec in self._ledger.fleet.specs())
        since_ms = min((span.started_ms for span in spans), default=0)
        reported = await self._reader.read(workers, since_ms)
        due_ms = self._clock.wall_ms() - LAG_MS
        return reconcile(spans, reported, due_ms)

    async def run(self, journal: Journal, tenure: Tenure) -> None:
        """Correct estimates while this instance holds the cell.

        :param journal: the writer of records.
        :param tenure: whether this instance may decide.
        """
        while True:
            await anyio.sleep(CORRECT_S)
            if not tenure.may_act():
                continue
            for correction in await self.corrections(tenure.epoch):
                await _commit(journal, correction)

    async def corrections(self, epoch: int) -> tuple[UsageCorrected, ...]:
        """Find reports for spans that are estimates so far.

        :param epoch: the epoch in which this instance decides.
        :returns: a record for each estimate that was reported meanwhile.
        """
        estimates = {
            span.key: span
            for span in self._ledger.account.spans()
            if span.estimated
        }
        if not estimates:
            return ()
        workers = tuple({span.worker for span in estimates.values()})
        since_ms = min(span.started_ms for span in estimates.values())
        reported = await self._reader.read(workers, since_ms)
        return tuple(
            UsageCorrected(epoch, item.job_id, item.attempt, item.use)
            for item in reported
            if _is_about(estimates.get(item.key), item.use)
        )


async def _commit(journal: Journal, correction: UsageCorrected) -> None:
    try:
        await journal.commit(correction, _COMMIT_S)
    except (LogUnavailableError, OutcomeUnknownError) as exc:
        # The estimate stays, so the next look finds it again.
        _log.info('usage not corrected', extra={'error': str(exc)})


def _is_about(span: Span | None, use: PartUsage) -> bool:
    return span is not None and span.worker == use.worker


def _reported_use(worker: WorkerId, report: UsageReport) -> ReportedUse:
    use = PartUsage(
        report.part,
        worker,
        report.accelerators,
        report.started_ms,
        report.stopped_ms,
    )
    return ReportedUse(report.job_id, report.attempt, use)
