"""What the end of a run means for its unit and job, and that of a runner for waves."""

from swifthoist_core.types import Millis, RunnerId
from swifthoist_engine.jobs import Job, OpenRun, Unit
from swifthoist_engine.records import Ended, Ending


def update_unit(job: Job, unit: Unit, record: Ended) -> None:
    """Note what an end says of its unit.

    :param job: the job.
    :param unit: the unit.
    :param record: the end.
    """
    unit.idle_since_ms = record.at_ms
    if record.checkpoint and record.run == unit.last_run:
        unit.checkpoint = record.checkpoint
    match record.ending:
        case Ending.DONE if not job.step(record.task).lasting:
            unit.done = True
            unit.done_ms = record.at_ms
        case Ending.FAILED:
            unit.failed_on.append(record.runner)
            if record.run > unit.failed_run:
                unit.failed_run = record.run
                unit.failures += 1
        case _:
            return


def update_job_outcome(job: Job, unit: Unit, record: Ended) -> None:
    """Tell what the end of a unit's run means for its job.

    :param job: the job.
    :param unit: the unit.
    :param record: the end.
    """
    if job.final or job.step(record.task).lasting:
        return
    match record.ending:
        case Ending.DONE:
            job.complete = job.all_done()
        case Ending.FAILED:
            job.failed = unit.failures >= job.spec.terms.max_attempts
        case _:
            return
    if job.final:
        job.finished_ms = record.at_ms


def placeholder_run(record: Ended, at_ms: Millis) -> OpenRun:
    """Stand for a run that was given up before its end was read.

    :param record: its end.
    :param at_ms: time of the cell.
    :returns: a run of no known length.
    """
    return OpenRun(record.task, record.run, record.runner, record.epoch, at_ms)


def clear_gone_runner(
    upkeeps: dict[int, dict[str, RunnerId]], runner: RunnerId
) -> None:
    """Note that a runner is gone: its machine may return under the same id.

    :param upkeeps: the runner that each machine of a wave was before; those
        that were this one are told as gone.
    :param runner: the runner.
    """
    for begun in upkeeps.values():
        for machine, before in begun.items():
            if before == runner:
                begun[machine] = ''
