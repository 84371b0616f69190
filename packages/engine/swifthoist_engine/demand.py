"""What urgent jobs have asked for lately, from the fold.

Whoever takes the cell over finds the same, since the fold keeps finished jobs.
"""

from swifthoist_core.types import Millis
from swifthoist_engine.cell import Cell

DEMAND_WINDOW_MS = 10_000
"""Span over which jobs are counted, in ms: some ten urgent jobs of a site of 24
runners, and short against the spells of a day."""


def urgent_accelerators(cell: Cell, now_ms: Millis) -> float:
    """Tell how many accelerators urgent jobs ask for in a second.

    Nothing is taken for granted: it is 0 before the first urgent job.

    :param cell: the cell.
    :param now_ms: time of the cell.
    :returns: accelerators a second, over the last :data:`DEMAND_WINDOW_MS`.
    """
    demand = sum(
        step.width * step.need.accelerators
        for job in cell.urgent.values()
        if 0 <= now_ms - job.spec.accepted_ms < DEMAND_WINDOW_MS
        for step in job.spec.steps
        if not step.lasting
    )
    return demand / DEMAND_WINDOW_MS * 1_000
