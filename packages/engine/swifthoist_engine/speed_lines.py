"""What is known of the speed of runners, as operators see it."""

from collections.abc import Iterator
from typing import NamedTuple

from swifthoist_core.types import RackId, RunnerId
from swifthoist_engine.cell import CellState


class SpeedLine(NamedTuple):
    """What is known of a runner's speed.

    :ivar runner: the runner.
    :ivar machine: the machine that it is a life of; empty if unknown.
    :ivar kind: its kind; empty if unknown.
    :ivar rack: its rack; empty if unknown.
    :ivar speed: class of its speed: 0 for the usual one, more for faster ones,
        less for slower ones.
    :ivar factor: what a run takes there, as a multiple of the usual.
    :ivar runs: how many runs that goes by.
    """

    runner: RunnerId
    machine: str
    kind: str
    rack: RackId
    speed: int
    factor: float
    runs: float


def speed_counts(state: CellState) -> dict[str, float]:
    """Tell how many machines each class has, and its factor.

    :param state: state of the cell.
    :returns: figures by name; a factor is 0 where nobody is of its class.
    """
    return state.experience.speeds.describe()


def speed_lines(state: CellState) -> Iterator[SpeedLine]:
    """List the runners that told what they are.

    :param state: state of the cell.
    :returns: a line for each of them, the fastest first.
    """
    speeds = state.experience.speeds
    ranked = sorted(
        (speeds.factor(facts), runner) for runner, facts in state.facts.items()
    )
    for factor, runner in ranked:
        facts = state.facts[runner]
        figure = speeds.machines.get(facts.machine)
        runs = 0 if figure is None else figure.effective_runs(speeds.counted_ms)
        yield SpeedLine(
            runner,
            facts.machine,
            facts.kind,
            facts.rack,
            speeds.speed(facts),
            round(factor, 2),
            round(runs, 1),
        )
