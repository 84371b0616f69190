"""Checks that every job must pass before it is accepted.

Folding and decisions rely on them.
"""

from collections.abc import Iterator, Sequence

from swifthoist_core.errors import Finding
from swifthoist_core.types import MAX_NUMBER
from swifthoist_engine.model import Schedule, StepSpec

MAX_PAYLOAD_BYTES = 4_000
"""Largest payload of a job, in bytes."""

MAX_TASKS = 100_000
"""Most tasks of a job over all its occurrences."""


MAX_STEPS = 10_000
"""Most steps of a job: their record is then no larger than the store takes."""


def check_job(
    steps: Sequence[StepSpec], payload: str, schedule: Schedule | None
) -> list[Finding]:
    """Check a job.

    :param steps: its steps.
    :param payload: its payload.
    :param schedule: its occurrences; none if it runs once.
    :returns: all problems that were found.
    """
    times = 1 if schedule is None else schedule.times
    if len(steps) > MAX_STEPS:
        return [too_many_steps(len(steps))]
    findings: list[Finding] = []
    if not steps:
        findings.append(Finding('steps', 'are missing'))
    if times < 1:
        findings.append(Finding('schedule.times', 'must be at least 1'))
    if len(payload.encode(errors='replace')) > MAX_PAYLOAD_BYTES:
        findings.append(
            Finding('payload', f'is over {MAX_PAYLOAD_BYTES} bytes')
        )
    if schedule is not None:
        findings.extend(_check_schedule(schedule))
    if times * sum(step.width for step in steps) > MAX_TASKS:
        findings.append(Finding('steps', f'have over {MAX_TASKS} tasks'))
    for number, step in enumerate(steps):
        findings.extend(_check_step(number, step))
    return findings


def too_many_steps(count: int) -> Finding:
    """Describe a job that has more steps than are decoded and checked.

    :param count: number of its steps.
    :returns: the problem.
    """
    return Finding('steps', f'are {count}, over {MAX_STEPS}')


def _check_schedule(schedule: Schedule) -> Iterator[Finding]:
    if min(schedule) < 0 or max(schedule) > MAX_NUMBER:
        problem = f'has a number below 0 or over {MAX_NUMBER}'
        yield Finding('schedule', problem)


def _check_step(number: int, step: StepSpec) -> Iterator[Finding]:
    path = f'steps[{number}]'
    if any(not 0 <= before < number for before in step.depends_on):
        yield Finding(f'{path}.depends_on', 'must name earlier steps')
    if step.width < 1:
        yield Finding(f'{path}.width', 'must be at least 1')
    figures = (*step.need, step.estimate_ms, step.spread_limit)
    if min(figures) < 0:
        yield Finding(path, 'must not need less than nothing')
    if max(figures) > MAX_NUMBER:
        yield Finding(path, f'has a number over {MAX_NUMBER}')
