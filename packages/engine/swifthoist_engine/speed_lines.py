"""Report of the learned speeds for operators."""

from collections.abc import Iterator
from typing import NamedTuple

from swifthoist_core.types import RackId, RunnerId
from swifthoist_engine.cell_state import CellState


class SpeedLine(NamedTuple):
    """Learned speed of a runner.

    :ivar runner: the runner.
    :ivar machine: machine of which it is a life; empty if unknown.
    :ivar kind: its kind; empty if unknown.
    :ivar rack: its rack; empty if unknown.
    :ivar speed: speed class: 0 for usual, positive for faster, negative for
        slower.
    :ivar factor: duration of a run there, as a multiple of the usual one.
    :ivar runs: number of runs behind it; old ones count less.
    """

    runner: RunnerId
    machine: str
    kind: str
    rack: RackId
    speed: int
    factor: float
    runs: float


def speed_counts(state: CellState) -> dict[str, float]:
    """Return the number of machines and the factor of each speed class.

    :param state: state of the cell.
    :returns: figures by name; a factor is 0 if no machine is of its class.
    """
    return state.experience.speeds.describe()


def speed_lines(state: CellState) -> Iterator[SpeedLine]:
    """Report the speed of each runner that described itself.

    :param state: state of the cell.
    :returns: a line for each runner, the fastest first.
    """
    speeds = state.experience.speeds
    ranked = sorted(
        (speeds.factor(facts), runner) for runner, facts in state.facts.items()
    )
    for factor, runner in ranked:
        facts = state.facts[runner]
        estimate = speeds.machines.get(facts.machine)
        runs = (
            0
            if estimate is None
            else estimate.effective_runs(speeds.counted_ms)
        )
        yield SpeedLine(
            runner,
            facts.machine,
            facts.kind,
            facts.rack,
            speeds.speed(facts),
            round(factor, 2),
            round(runs, 1),
        )
