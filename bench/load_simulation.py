"""Simulates a load on the planner alone, with virtual time and no network."""

import heapq
import math
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from bench.load import Arrival, FaultPeriod, SiteLoad, arrivals
from bench.scoring import Scorer, SimulationResult
from swifthoist_engine.breakers import readmit_runners
from swifthoist_engine.catalogue import Catalogue, Queue, Team
from swifthoist_engine.cell import Cell
from swifthoist_engine.hang_detector import HUNG_AFTER_MS
from swifthoist_engine.jobs import OpenRun
from swifthoist_engine.mechanisms import DEFAULT_MECHANISMS, Mechanisms
from swifthoist_engine.model import SiteTerms, StepSpec
from swifthoist_engine.occupancy import Occupancy
from swifthoist_engine.planner import Decision, DecisionInput
from swifthoist_engine.records import (
    Claimed,
    Doubt,
    Ended,
    Ending,
    RunnerDescribed,
    RunnerDoubted,
    Started,
    Submitted,
)
from swifthoist_engine.run_index import RunKey
from swifthoist_engine.runners import RunnerView

START_MS = 20
DECISION_DELAY_MS = 15
RETENTION_MS = 10_000_000
REMOTE_FACTOR = 3
FAILING_RUN_MS = 300
SLOW_FACTOR = 6
RECLAIM_MS = 2_700
"""Time within which a guarantee must be met, in ms; the sites' lowest setting."""

HANG_CHECK_MS = 500
"""Delay until a check notices that a run hangs, in ms."""

DECIDE = 'decide'
IDLE = 'idle'
LEAVE = 'leave'
IDLE_MS = 250

Policy = Callable[[DecisionInput, int], Decision]


@dataclass(slots=True)
class _Running:
    run: OpenRun
    began_ms: float
    ends_ms: float
    pace: float
    fails: bool


@dataclass
class LoadSimulation:
    """One simulation of a load under a policy.

    :ivar site: the site.
    :ivar policy: makes the decisions.
    :ivar mechanisms: mechanisms of the planner in use.
    """

    site: SiteLoad
    policy: Policy
    seed: int
    seconds: float = 60
    intensity: float = 1
    mechanisms: Mechanisms = DEFAULT_MECHANISMS
    _events: list[tuple[float, int, object]] = field(default_factory=list)
    _event_count: int = 0
    _now: float = 0
    _wasted: float = 0
    _urgent_waits_ms: list[int] = field(default_factory=list)

    def run(self) -> SimulationResult:
        """Run the simulation and return its result."""
        self._prepare()
        limit_ms = self.seconds * 1_000 * 3
        while self._events:
            event = self._next()
            if self._now > limit_ms:
                break
            self._handle(event)
        scorer = Scorer(self._cell, self._jobs)
        return scorer.score(self._wasted, self._urgent_waits_ms)

    @property
    def cell(self) -> Cell:
        """The cell on which decisions are made."""
        return self._cell

    @property
    def jobs(self) -> dict[str, Arrival]:
        """The jobs that arrive, by id."""
        return self._jobs

    def _next(self) -> object:
        at_ms, _, event = heapq.heappop(self._events)
        self._now = at_ms
        return event

    def _prepare(self) -> None:
        self._rng = random.Random(self.seed + 1)
        self._cell = Cell(RETENTION_MS)
        self._cell.fold(Claimed(1, 'bench', 0))
        self._occupancy = Occupancy()
        self._numbers: dict[str, int] = {}
        self._running: dict[RunKey, _Running] = {}
        self._stopping: set[RunKey] = set()
        self._saved: dict[tuple[str, int], float] = {}
        self._decision_scheduled = False
        self._idle_scheduled = False
        kinds = self.site.kinds
        queues = tuple(
            Queue(kind.queue, 'h', f'/{kind.queue}/', kind.terms)
            for kind in kinds
        )
        fleet = self.site.fleet
        self._fleet = fleet
        names = [f'team-{number}' for number in range(fleet.teams)]
        guaranteed = (
            fleet.guaranteed_share * fleet.runners * self.site.room.accelerators
        )
        share = int(guaranteed / fleet.teams)
        teams = tuple(Team(name, frozenset(), share) for name in names)
        self._catalogue = Catalogue(1, queues, teams, 0)
        self._guaranteed = share * len(teams)
        self._speeds = [
            self._rng.choice(fleet.speeds) for _ in range(fleet.runners)
        ]
        span = self.seconds * 1_000
        for number in range(fleet.runners):
            name, rack = _name(number), f'rack-{self._rack(number)}'
            self._cell.fold(RunnerDescribed(1, name, name, rack, 'z', '', 0))
        self._failing = self._draw_fault_periods(fleet.failing, span)
        self._hangs = self._draw_fault_periods(fleet.hanging, span)
        self._slow = self._draw_fault_periods(fleet.slow, span)
        gone = FaultPeriod(fleet.leaving, math.inf)
        self._leaving = self._draw_fault_periods(gone, span)
        for began, _ in self._leaving.values():
            self._push(began, LEAVE)
        self._jobs: dict[str, Arrival] = {}
        for item in arrivals(
            self.site, self.seed, self.seconds, self.intensity
        ):
            self._jobs[item.spec.job] = item
            self._push(item.spec.accepted_ms, item)

    def _draw_fault_periods(
        self, period: FaultPeriod, span: float
    ) -> dict[int, tuple[float, float]]:
        runners = self._fleet.runners
        chosen = self._rng.sample(range(runners), round(period.share * runners))
        began = self._rng.uniform(0, span)
        return {n: (began, began + period.length_ms) for n in chosen}

    def _push(self, at_ms: float, event: object) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (at_ms, self._event_count, event))

    def _handle(self, event: object) -> None:
        match event:
            case Arrival():
                self._cell.fold(Submitted(event.spec))
                self._schedule_decision()
            case _Running():
                self._finish(event)
            case ('stopped', key):
                self._stopped(key)
            case ('hung', key):
                self._report_hang(key)
            case 'leave':
                self._leave()
            case 'idle':
                self._idle_scheduled = False
                self._schedule_decision()
            case _:
                self._decision_scheduled = False
                self._decide()

    def _schedule_decision(self) -> None:
        if not self._decision_scheduled:
            self._decision_scheduled = True
            self._push(self._now + DECISION_DELAY_MS, DECIDE)

    def _views(self) -> Iterator[RunnerView]:
        breakers = self._cell.state.experience.breakers
        now = int(self._now)
        for number in range(self._fleet.runners):
            if self._is_affected(self._leaving, number):
                continue
            rack = f'rack-{self._rack(number)}'
            name = _name(number)
            state = self._cell.state
            speed = state.experience.speeds.speed(state.facts[name])
            yield RunnerView(
                name, 'pool', self.site.room, frozenset((rack,)), rack, 'z',
                suspicion=breakers.suspicion(name, now), speed=speed,
                trials=breakers.trials(name, now, self._cell.runs_on(name)),
            )  # fmt: skip

    def _decide(self) -> None:
        world = DecisionInput(
            self._cell,
            self._catalogue,
            readmit_runners(list(self._views()), self._guaranteed),
            frozenset(self._stopping),
            {},
            int(self._now),
            mechanisms=self.mechanisms,
            terms=SiteTerms(
                self._fleet.restore_ms,
                RECLAIM_MS,
                REMOTE_FACTOR,
            ),
            occupancy=self._occupancy,
        )
        decision = self.policy(world, 1)
        assert not decision.faults
        for stop in decision.stops:
            self._stop((stop.run.task, stop.run.run))
        for started in decision.starts:
            self._start(started)
        if decision.starts:
            self._schedule_decision()
        elif self._cell.dirty and not self._idle_scheduled:
            self._idle_scheduled = True
            self._push(self._now + IDLE_MS, IDLE)

    def _stop(self, key: RunKey) -> None:
        if key not in self._stopping:
            self._stopping.add(key)
            self._push(self._now + self._fleet.stop_ms, ('stopped', key))

    def _start(self, started: Started) -> None:
        job = self._cell.find_job(started.unit.job)
        assert job is not None
        spec = job.spec
        if not job.started and spec.terms.priority == 0:
            self._urgent_waits_ms.append(int(self._now) - spec.accepted_ms)
        self._cell.fold(started)
        unit = job.find_unit(started.unit)
        assert unit is not None
        self._launch(list(unit.open.values()))

    def _launch(self, runs: list[OpenRun]) -> None:
        item = self._jobs[runs[0].task.job]
        step = item.spec.steps[0]
        numbers = [_number(run) for run in runs]
        racks = set(map(self._rack, numbers))
        slowdown = REMOTE_FACTOR if step.same_rack and len(racks) > 1 else 1
        key = (runs[0].task.job, -1 if step.gang else runs[0].task.ordinal)
        left = item.work_ms - self._saved.get(key, 0)
        if key in self._saved:
            left += self._fleet.restore_ms
        took = self._time_for(left * slowdown, numbers)
        pace = left / took
        ends = self._now + START_MS + took
        fails = (
            item.always_fails or self._rng.random() < item.kind.failure_share
        )
        for run in runs:
            self._run(run, ends, pace, fails=fails and run is runs[0])

    def _run(
        self, run: OpenRun, ends_ms: float, pace: float, *, fails: bool
    ) -> None:
        number = _number(run)
        if self._is_affected(self._hangs, number):
            ends_ms = math.inf
        on_failing = self._is_affected(self._failing, number)
        running = _Running(run, self._now, ends_ms, pace, fails or on_failing)
        self._running[run.task, run.run] = running
        if on_failing:
            ends_ms = self._now + START_MS + FAILING_RUN_MS
        if ends_ms == math.inf:
            found_ms = self._now + HUNG_AFTER_MS + HANG_CHECK_MS
            self._push(found_ms, ('hung', (run.task, run.run)))
            return
        # Ends of a gang's members are observed one after another.
        self._push(ends_ms + number / 100, running)

    def _rack(self, number: int) -> int:
        return number // self._fleet.per_rack

    def _report_hang(self, key: RunKey) -> None:
        running = self._running.get(key)
        if running is None:
            return
        run = running.run
        now = int(self._now)
        self._cell.fold(
            RunnerDoubted(1, run.runner, run.task.job, Doubt.HANG, now)
        )
        self._stop(key)

    def _leave(self) -> None:
        """End the runs on runners that left, so that they restart elsewhere."""
        for key, running in list(self._running.items()):
            gone = self._is_affected(self._leaving, _number(running.run))
            # It may have ended with its gang in this loop.
            if gone and key in self._running:
                self._end(key, Ending.STOPPED)
                self._break_gang(running.run)
        self._schedule_decision()

    def _time_for(self, work: float, numbers: list[int]) -> float:
        """Return how long work takes; slow runners recover in the meantime."""
        usual = min(self._speeds[number] for number in numbers)
        slow = [n for n in numbers if self._is_affected(self._slow, n)]
        if not slow:
            return work / usual
        pace = min(self._speeds[number] for number in slow) / SLOW_FACTOR
        left_ms = self._slow[slow[0]][1] - self._now
        if work <= left_ms * pace:
            return work / pace
        return left_ms + (work - left_ms * pace) / usual

    def _is_affected(
        self, periods: dict[int, tuple[float, float]], number: int
    ) -> bool:
        began, ended = periods.get(number, (-1, -1))
        return began <= self._now < ended

    def _finish(self, running: _Running) -> None:
        run = running.run
        key = (run.task, run.run)
        if self._running.get(key) is not running:
            return
        self._end(key, Ending.FAILED if running.fails else Ending.DONE)
        if running.fails:
            self._break_gang(run)

    def _stopped(self, key: RunKey) -> None:
        self._stopping.discard(key)
        if key not in self._running:
            return
        run = self._running[key].run
        self._end(key, Ending.STOPPED)
        self._break_gang(run)

    def _break_gang(self, ended: OpenRun) -> None:
        if not self._step(ended).gang:
            return
        job = ended.task.job
        members = [key for key in self._running if key[0].job == job]
        for key in members:
            self._end(key, Ending.BROKEN)

    def _end(self, key: RunKey, ending: Ending) -> None:
        running = self._running.pop(key)
        run = running.run
        if ending is not Ending.DONE:
            self._record_lost_work(running, stopped=ending is Ending.STOPPED)
        now = int(self._now)
        number = self._numbers.get(run.runner, 0) + 1
        self._numbers[run.runner] = number
        self._cell.fold(
            Ended(1, run.runner, number, run.task, run.run, ending, '', now)
        )
        self._schedule_decision()

    def _record_lost_work(self, running: _Running, *, stopped: bool) -> None:
        run = running.run
        step = self._step(run)
        worked = max(self._now - running.began_ms - START_MS, 0)
        lost = worked
        if step.checkpointing:
            key = (run.task.job, -1 if step.gang else run.task.ordinal)
            gained = worked * running.pace
            whole = (
                gained
                // self._fleet.checkpoint_interval_ms
                * self._fleet.checkpoint_interval_ms
            )
            if stopped:
                whole = gained
            if run.task.ordinal == 0 or not step.gang:
                self._saved[key] = self._saved.get(key, 0) + whole
            lost = worked - whole / running.pace
        cores = step.need.cpu / 1_000 + 8 * step.need.accelerators
        self._wasted += cores * lost / 1_000

    def _step(self, run: OpenRun) -> StepSpec:
        spec = self._jobs[run.task.job].spec
        return spec.steps[0]


def _name(number: int) -> str:
    return f'runner-{number:03}'


def _number(run: OpenRun) -> int:
    return int(run.runner.rpartition('-')[2])
