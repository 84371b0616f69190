"""Finds what is to blame where looking at a job failed.

The job's unit was compared with runners and with the runs of other jobs there.
If one of these can't be looked at by itself, the job is not to blame.
"""

from collections.abc import Iterable

from swifthoist_core.types import JobId, Millis
from swifthoist_engine.board import Board
from swifthoist_engine.cell import Cell
from swifthoist_engine.faults import Fault, Guard, Kind
from swifthoist_engine.model import QueueTerms, Resources, StepSpec, UnitId
from swifthoist_engine.occupancy import occupancy_of, share_of
from swifthoist_engine.placing import Placer
from swifthoist_engine.preemption import Preemption
from swifthoist_engine.queueing import IN_TIME, Waiting
from swifthoist_engine.runners import RunnerView


def find_roots(
    cell: Cell,
    runners: Iterable[RunnerView],
    aside: frozenset[JobId],
    now_ms: Millis,
) -> tuple[Fault, ...]:
    """Find the runners and runs that can't be looked at.

    :param cell: the cell.
    :param runners: the runners.
    :param aside: jobs whose runs are not looked at.
    :param now_ms: time of the cell.
    :returns: a fault for each runner, and for each job of such a run.
    """
    guard = Guard()
    for view in runners:
        with guard.looking_at(Kind.RUNNER, view.runner):
            board = Board(cell, occupancy_of(cell, (view,)), now_ms, aside)
            Placer(board, now_ms, {}).place(_plain_unit(view, now_ms))
    board = Board(cell, occupancy_of(cell, ()), now_ms, aside)
    placer = Placer(board, now_ms, {})
    preemption = Preemption(cell, placer, frozenset(), now_ms)
    # Runs of a step differ in little; one stands for all.
    runs = {run.task[:3]: run for run in cell.runs.all()}
    for run in runs.values():
        if run.task.job in aside:
            continue
        with guard.looking_at(Kind.JOB, run.task.job):
            share = share_of(cell, run)
            preemption.weigh(share)
            board.expected_end(share)
    return guard.faults


def _plain_unit(view: RunnerView, now_ms: Millis) -> Waiting:
    """Make a unit of no job that any sound runner of a service may take."""
    return Waiting(
        UnitId('', 0, 0, 0),
        StepSpec(1, Resources()),
        None,
        QueueTerms(1, 1, 1, 0, view.service),
        '',
        now_ms,
        now_ms,
        IN_TIME,
        promised=False,
        advised=False,
    )
