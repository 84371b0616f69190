"""Records what became of runs, and waits until that is folded."""

import logging
from collections.abc import Iterable, Mapping, Sequence
from typing import TypeAlias

from swifthoist_core.errors import LogUnavailableError, OutcomeUnknownError
from swifthoist_core.types import JobId, RunnerId
from swifthoist_engine.jobs import OpenRun
from swifthoist_engine.records import (
    Doubt,
    Ended,
    Record,
    RunnerDoubted,
    Vanished,
)
from swifthoist_engine.run_index import RunKey
from swifthoist_instance.shared import Shared
from swifthoist_platform.runner_calls import EndedRun

Checkpoints: TypeAlias = Mapping[RunKey, str]
"""Newest checkpoint that each run was seen with."""

RECORD_S = 3.0
"""How long a record may take until it is folded, in seconds."""

_log = logging.getLogger(__name__)


async def record_all(shared: Shared, records: Sequence[Record]) -> bool:
    """Append records and wait until they are folded.

    :param shared: what the tenure shares.
    :param records: the records.
    :returns: whether they are folded; if not, they may be later.
    """
    if not records:
        return True
    if not shared.may_act():
        return False
    try:
        offset = await shared.journal.append(records, RECORD_S)
    except (LogUnavailableError, OutcomeUnknownError) as exc:
        _log.warning(
            'unrecorded',
            extra={'why': str(exc), 'first': type(records[0]).__name__},
        )
        return False
    last = offset + len(records) - 1
    folded = await shared.follower.wait_folded(last, RECORD_S)
    for record in records:
        _write_line(shared, record)
    shared.wake.give()
    return folded


async def record_vanished(
    shared: Shared,
    runs: Iterable[OpenRun],
    reason: str,
    saved: Checkpoints | None = None,
) -> bool:
    """Record that runs are certainly not on their runners.

    :param shared: what the tenure shares.
    :param runs: the runs.
    :param reason: what made that certain.
    :param saved: newest checkpoints that they were seen with.
    :returns: whether that is folded.
    """
    records = [vanished(shared, run, reason, saved) for run in runs]
    return await record_all(shared, records)


def note_doubt(
    shared: Shared, runner: RunnerId, doubt: Doubt, job: JobId = ''
) -> None:
    """Have it recorded with the next decision what speaks against a runner.

    :param shared: what the tenure shares.
    :param runner: the runner.
    :param doubt: what speaks against it.
    :param job: the job that it happened to; empty for none.
    """
    at_ms = shared.follower.time.now_ms()
    record = RunnerDoubted(shared.epoch, runner, job, doubt, at_ms)
    shared.doubts.append(record)


def ended(shared: Shared, runner: RunnerId, end: EndedRun) -> Ended:
    """Make the record of an end.

    A done end counts whenever it is seen. Whether the runner's lease ended
    before is not known for certain: a renewal without an answer may have been
    carried out.

    :param shared: what the tenure shares.
    :param runner: the runner that lists it.
    :param end: the end.
    :returns: the record.
    """
    return Ended(
        shared.epoch,
        runner,
        end.number,
        end.task,
        end.run,
        end.ending,
        end.checkpoint,
        shared.follower.time.now_ms(),
    )


def vanished(
    shared: Shared,
    run: OpenRun,
    reason: str,
    saved: Checkpoints | None = None,
) -> Vanished:
    """Make the record of a run that is certainly not on its runner.

    :param shared: what the tenure shares.
    :param run: the run.
    :param reason: what made that certain.
    :param saved: newest checkpoints that runs were seen with.
    :returns: the record.
    """
    checkpoint = (saved or {}).get((run.task, run.run), '')
    return Vanished(
        shared.epoch, run.task, run.run, run.runner, reason, checkpoint
    )


def _write_line(shared: Shared, record: Record) -> None:
    match record:
        case Ended():
            about = {'ending': record.ending.value}
        case Vanished():
            about = {'reason': record.reason}
        case _:
            return
    shared.lines.note(
        type(record).__name__.lower(),
        record.task,
        record.run,
        record.runner,
        **about,
    )
