"""Adjusts the pace of the filling tasks of one runner."""

import logging
from collections.abc import Iterable, Iterator

from swifthoist_engine.cell import Cell
from swifthoist_engine.model import StepSpec
from swifthoist_engine.pacing import Tail, next_pace
from swifthoist_instance.contacts import CALL_S, NO_ANSWER_ERRORS, Contact
from swifthoist_platform.runner_calls import RunningTask

_log = logging.getLogger(__name__)


def step_of(cell: Cell, row: RunningTask) -> StepSpec | None:
    """Find the step of a running task.

    :param cell: the folded state.
    :param row: the task, as reported by its runner.
    :returns: the step; None if the task is not known.
    """
    job = cell.find_job(row.task.job)
    if job is None or row.task.step >= len(job.spec.steps):
        return None
    return job.step(row.task)


def filling_tasks(
    cell: Cell, rows: Iterable[RunningTask]
) -> Iterator[RunningTask]:
    """Select the filling tasks.

    :param cell: the folded state.
    :param rows: running tasks.
    :returns: those whose step is filling.
    """
    for row in rows:
        step = step_of(cell, row)
        if step is not None and step.filling:
            yield row


def is_always_busy(cell: Cell, row: RunningTask) -> bool:
    """Return whether a task should use its CPU all the time.

    :param cell: the folded state.
    :param row: the task.
    :returns: False for tasks that are paused, filling, serving or unknown.
    """
    step = step_of(cell, row)
    if step is None or row.pace == 0:
        return False
    return not step.filling and not step.tail_target_ms


async def keep_pace(contact: Contact, rows: Iterable[RunningTask]) -> None:
    """Set the pace of filling tasks by the tail latencies of serving ones.

    :param contact: the contact with the runner.
    :param rows: tasks that run on it.
    """
    cell = contact.context.cell
    running = tuple(rows)
    tails = tuple(_tails(cell, running))
    for row in filling_tasks(cell, running):
        pace = next_pace(row.pace, tails)
        if pace != row.pace:
            await _set_pace(contact, row, pace)


def _tails(cell: Cell, rows: Iterable[RunningTask]) -> Iterator[Tail]:
    for row in rows:
        step = step_of(cell, row)
        if step and step.tail_target_ms and row.gauge is not None:
            yield Tail(row.gauge, step.tail_target_ms)


async def _set_pace(contact: Contact, row: RunningTask, pace: int) -> None:
    fields = {
        'job': row.task.job,
        'runner': contact.runner,
        'old': row.pace,
        'new': pace,
    }
    try:
        epoch = contact.context.epoch
        answer = await contact.client.pace(row, pace, epoch, CALL_S)
    except NO_ANSWER_ERRORS as exc:
        _log.warning('pace unanswered', extra={**fields, 'why': str(exc)})
    else:
        if answer.born_ms:
            contact.life.note_answer_birth(answer.born_ms)
        _log.info('pace', extra=fields)
