"""Effects of ended runs on units and jobs, and of gone runners on waves."""

from swifthoist_core.types import Millis, RunnerId
from swifthoist_engine.jobs import Job, OpenRun, Unit
from swifthoist_engine.records import Ended, Ending


def update_unit(job: Job, unit: Unit, record: Ended) -> None:
    """Apply the end of a run to its unit.

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
            job.note_unit(job.unit_of(record.task))
        case Ending.FAILED:
            unit.failed_on.append(record.runner)
            if record.run > unit.failed_run:
                unit.failed_run = record.run
                unit.failures += 1
        case _:
            return


def update_job_outcome(job: Job, unit: Unit, record: Ended) -> None:
    """Update the final state of a job after the end of a run.

    :param job: the job.
    :param unit: unit of the run.
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
    """Create a stand-in for a run that was given up before its end was read.

    :param record: its end.
    :param at_ms: time of the cell.
    :returns: a run that starts at that time, since its length is unknown.
    """
    return OpenRun(record.task, record.run, record.runner, record.epoch, at_ms)


def clear_gone_runner(
    upkeeps: dict[int, dict[str, RunnerId]], runner: RunnerId
) -> None:
    """Clear a gone runner from the upkeep waves.

    Its machine may come back with a runner of the same id.

    :param upkeeps: for each wave, the runner that each machine was before its
        upkeep; entries of the gone runner become empty.
    :param runner: the runner.
    """
    for begun in upkeeps.values():
        for machine, before in begun.items():
            if before == runner:
                begun[machine] = ''
