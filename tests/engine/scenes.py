"""Small cells, jobs and runners for tests of decisions."""

from collections.abc import Callable, Iterable
from typing import Any

from swifthoist_engine.catalogue import Catalogue, Queue, Team
from swifthoist_engine.cell import Cell
from swifthoist_engine.jobs import Job
from swifthoist_engine.kept_units import MAX_UNITS
from swifthoist_engine.mechanisms import DEFAULT_MECHANISMS, Mechanisms
from swifthoist_engine.model import (
    JobSpec,
    QueueTerms,
    Resources,
    RunKey,
    StepSpec,
    TaskId,
    UnitId,
)
from swifthoist_engine.planner import Decision, DecisionInput, decide
from swifthoist_engine.queueing import IN_TIME, PendingUnit
from swifthoist_engine.records import (
    Beat,
    Claimed,
    Ended,
    Ending,
    Placement,
    Record,
    Started,
    Submitted,
)
from swifthoist_engine.runners import RunnerView

NOW_MS = 1_000_000
KEEP_MS = 60_000
ROOM = Resources(64_000, 256_000, 8)
ONE_ACCELERATOR = Resources(4_000, 16_000, 1)
WHOLE_RUNNER = Resources(26_000, 100_000, 8)

URGENT = QueueTerms(0, 3, 1.5, 250, 'pool')
BATCH = QueueTerms(1, 2, 3.0, 1_000, 'pool')
BULK = QueueTerms(2, 3, 3.0, 3_000, 'pool')

CATALOGUE = Catalogue(
    1,
    (
        Queue('urgent', 'host', '/urgent/', URGENT),
        Queue('batch', 'host', '/batch/', BATCH),
        Queue('bulk', 'host', '/bulk/', BULK),
    ),
    (Team('red', frozenset(('key',)), 32),),
    1_000,
)
_QUEUE_NAMES = {0: 'urgent', 1: 'batch', 2: 'bulk'}


def view(number: int, rack: int = 0, **changes: object) -> RunnerView:
    """Make the view of a runner."""
    name = f'runner-{number}'
    base = RunnerView(
        name,
        'pool',
        ROOM,
        frozenset(('a', f'rack-{rack}')),
        f'rack-{rack}',
        'z',
    )
    return base._replace(**changes)


def job_spec(
    name: str, terms: QueueTerms, *steps: StepSpec, accepted_ms: int = NOW_MS
) -> JobSpec:
    """Make the specification of a job."""
    queue = _QUEUE_NAMES[terms.priority]
    return JobSpec(name, queue, 'red', '', steps, terms, accepted_ms)


def task(
    need: Resources = ONE_ACCELERATOR, count: int = 1, **changes: object
) -> StepSpec:
    """Make a step of tasks that run for a second."""
    return StepSpec(count, need, 1_000)._replace(**changes)


def gang(
    count: int, need: Resources = WHOLE_RUNNER, **changes: object
) -> StepSpec:
    """Make a step that is a gang, to be placed on one rack."""
    return task(need, count, gang=True, same_rack=True)._replace(**changes)


def waiting_gang(
    terms: QueueTerms, members: int, accelerators: int
) -> PendingUnit:
    """Make a pending gang for one rack."""
    need = Resources(1_000, 1_000, accelerators)
    return PendingUnit(
        UnitId('waiting', 0, 0, -1),
        gang(members, need),
        None,
        terms,
        'red',
        NOW_MS,
        NOW_MS,
        IN_TIME,
        within_guarantee=False,
        uses_policy=False,
    )


class Scene:
    """A cell with a holder, and shortcuts to fold records into it."""

    def __init__(self, *specs: JobSpec, max_units: int = MAX_UNITS) -> None:
        """Claim the cell and submit some jobs."""
        self.cell = Cell(KEEP_MS, max_units=max_units)
        self.fold(Claimed(1, 'me', NOW_MS))
        self.fold(*map(Submitted, specs))
        self._numbers: dict[str, int] = {}

    def fold(self, *records: Record) -> None:
        """Fold records into the cell."""
        for record in records:
            self.cell.fold(record)

    def start(
        self, unit: UnitId, *runners: str, run: int = 1, at_ms: int = NOW_MS
    ) -> None:
        """Start a unit, one member on each runner."""
        first = max(unit.ordinal, 0)
        placements = tuple(
            Placement(first + number, runner)
            for number, runner in enumerate(runners)
        )
        self.fold(Started(1, unit, run, '', placements, at_ms))

    def end(
        self, task_id: TaskId, runner: str, ending: Ending, run: int = 1
    ) -> None:
        """End a run with the next number of its runner."""
        number = self._numbers.get(runner, 0) + 1
        self._numbers[runner] = number
        self.fold(Ended(1, runner, number, task_id, run, ending, '', NOW_MS))

    def job(self, name: str = 'j') -> Job:
        """Find a job."""
        return self.cell.state.jobs[name]

    def jobs(self) -> list[Job]:
        """List the jobs."""
        return list(self.cell.state.jobs.values())

    def beat(self, at_ms: int) -> None:
        """Fold a heartbeat, which advances the time of the cell."""
        self.fold(Beat(1, at_ms))

    def decide(
        self,
        views: Iterable[RunnerView],
        stopping: frozenset[RunKey] | None = None,
        now_ms: int = NOW_MS,
        catalogue: Catalogue = CATALOGUE,
        excluded_jobs: frozenset[str] | None = None,
        mechanisms: Mechanisms = DEFAULT_MECHANISMS,
    ) -> Decision:
        """Decide what is started and stopped."""
        world = DecisionInput(
            self.cell,
            catalogue,
            tuple(views),
            stopping or frozenset(),
            {},
            now_ms,
            excluded_jobs or frozenset(),
            mechanisms=mechanisms,
        )
        return decide(world, 1)


def failing(
    function: Callable[..., Any], should_fail: Callable[..., bool]
) -> Callable[..., Any]:
    """Wrap a function so that it raises an error for some arguments."""

    def wrapper(*args: Any, **named: Any) -> Any:
        if should_fail(*args):
            raise ValueError('a fault')
        return function(*args, **named)

    return wrapper


def runners_by_unit(decision: Decision) -> dict[UnitId, list[str]]:
    """Map each unit that a decision starts to its runners."""
    return {
        started.unit: [placed.runner for placed in started.placements]
        for started in decision.starts
    }
