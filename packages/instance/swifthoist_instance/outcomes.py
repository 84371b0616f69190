"""Records the outcomes of runs and waits until the records are folded."""

import logging
from collections.abc import Iterable, Mapping, Sequence
from typing import TypeAlias

from swifthoist_core.errors import LogUnavailableError, OutcomeUnknownError
from swifthoist_core.types import JobId, RunnerId
from swifthoist_engine.crash_records import StartSent
from swifthoist_engine.jobs import OpenRun
from swifthoist_engine.model import RunKey
from swifthoist_engine.records import (
    Beat,
    Doubt,
    Ended,
    Record,
    RunnerDoubted,
    Vanished,
)
from swifthoist_engine.unanswered import StartUnanswered
from swifthoist_instance.context import TenureContext
from swifthoist_platform.runner_calls import EndedRun

Checkpoints: TypeAlias = Mapping[RunKey, str]
"""Newest checkpoint reported for each run."""

RECORD_TIMEOUT_S = 3.0
"""Timeout of an append, and then of the wait until it is folded, in seconds."""

_log = logging.getLogger(__name__)


async def record_all(context: TenureContext, records: Sequence[Record]) -> bool:
    """Append records and wait until they are folded.

    :param context: state shared within the tenure.
    :param records: the records.
    :returns: whether they are folded; if not, they may be folded later.
    """
    if not records:
        return True
    if not context.may_act():
        return False
    try:
        offset = await context.journal.append(records, RECORD_TIMEOUT_S)
    except (LogUnavailableError, OutcomeUnknownError) as exc:
        _log.warning(
            'unrecorded',
            extra={'why': str(exc), 'first': type(records[0]).__name__},
        )
        return False
    last = offset + len(records) - 1
    folded = await context.follower.wait_folded(last, RECORD_TIMEOUT_S)
    if folded:
        for record in records:
            _log_outcome(context, record)
    else:
        fields = {'first': type(records[0]).__name__, 'offset': offset}
        _log.warning('recorded, not folded in time', extra=fields)
    context.wake.notify()
    return folded


class OwnRecords:
    """Tells whether the earlier records of a component are all settled.

    An append without an answer may still take effect, and so may one of a term
    that ended during an outage of the store. Appends keep their order, so once
    a later record is folded, they are folded too, or never will be.
    """

    def __init__(self, context: TenureContext) -> None:
        """Start with records of earlier terms that may be under way.

        :param context: state shared within the tenure.
        """
        self._context = context
        self._settled = False

    def note_unsettled(self) -> None:
        """Note that a record was appended and is not known to be folded."""
        self._settled = False

    async def settle(self) -> bool:
        """Make sure that no earlier record can still be folded.

        :returns: whether that is certain; if not, decisions have to wait.
        """
        context = self._context
        if not context.may_act():
            return False
        if not self._settled:
            beat = Beat(context.epoch, context.follower.time.now_ms())
            self._settled = await record_all(context, [beat])
        return self._settled


async def record_vanished(
    context: TenureContext,
    runs: Iterable[OpenRun],
    reason: str,
    checkpoints: Checkpoints | None = None,
) -> bool:
    """Record that runs are certainly no longer on their runners.

    :param context: state shared within the tenure.
    :param runs: the runs.
    :param reason: why that is certain.
    :param checkpoints: newest checkpoints reported for them.
    :returns: whether the records are folded.
    """
    records = [
        vanished_record(context, run, reason, checkpoints) for run in runs
    ]
    return await record_all(context, records)


async def record_sent(context: TenureContext, run: OpenRun) -> bool:
    """Record that the start of a run is about to reach its runner.

    :param context: state shared within the tenure.
    :param run: the run.
    :returns: whether the record is folded.
    """
    sent = StartSent(context.epoch, run.task, run.run)
    return run.sent or await record_all(context, [sent])


def unanswered_record(
    context: TenureContext, runner: RunnerId, key: RunKey
) -> StartUnanswered:
    """Build the record of a start that may still be carried out.

    :param context: state shared within the tenure.
    :param runner: the runner.
    :param key: the run.
    :returns: the record.
    """
    now_ms = context.follower.time.now_ms()
    return StartUnanswered(context.epoch, runner, *key, now_ms)


def note_doubt(
    context: TenureContext, runner: RunnerId, doubt: Doubt, job: JobId = ''
) -> None:
    """Queue a doubt about a runner, to be recorded with the next decision.

    :param context: state shared within the tenure.
    :param runner: the runner.
    :param doubt: the kind of doubt.
    :param job: the job that was affected; empty if none.
    """
    at_ms = context.follower.time.now_ms()
    record = RunnerDoubted(context.epoch, runner, job, doubt, at_ms)
    context.doubts.append(record)


def ended_record(
    context: TenureContext, runner: RunnerId, end: EndedRun
) -> Ended:
    """Build the record of an end.

    An end with the outcome "done" counts no matter when it is seen. It is not
    certain whether the runner's lease had expired before: a renewal that got
    no answer may have been carried out.

    :param context: state shared within the tenure.
    :param runner: the runner that reports it.
    :param end: the end.
    :returns: the record.
    """
    return Ended(
        context.epoch,
        runner,
        end.number,
        end.task,
        end.run,
        end.ending,
        end.checkpoint,
        context.follower.time.now_ms(),
    )


def vanished_record(
    context: TenureContext,
    run: OpenRun,
    reason: str,
    checkpoints: Checkpoints | None = None,
) -> Vanished:
    """Build the record of a run that is certainly not on its runner.

    :param context: state shared within the tenure.
    :param run: the run.
    :param reason: why that is certain.
    :param checkpoints: newest checkpoints reported for runs.
    :returns: the record.
    """
    checkpoint = (checkpoints or {}).get((run.task, run.run), '')
    return Vanished(
        context.epoch, run.task, run.run, run.runner, reason, checkpoint
    )


def _log_outcome(context: TenureContext, record: Record) -> None:
    match record:
        case Ended():
            fields = {'ending': record.ending.value}
        case Vanished():
            fields = {'reason': record.reason}
        case _:
            return
    context.lines.note(
        type(record).__name__.lower(),
        record.task,
        record.run,
        record.runner,
        **fields,
    )
