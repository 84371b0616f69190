"""Workers under a virtual clock, in memory, for the placement bench."""

import heapq
from collections.abc import Iterator
from typing import NamedTuple, Protocol

from bench.placement_trace import (
    HORIZON_MS,
    LARGE_ACCELERATORS,
    RACK_WORKERS,
    WIDTH,
    Arrival,
    User,
)
from swifthoist_core.records import JobSpec, PartPlacement

START_MS = 150
"""From a placement until every part runs, in ms."""

STOP_MS = 500
"""What a worker takes to checkpoint and stop, in ms."""

FAIL_MS = 3_000
"""How long a job runs on a failing worker before it fails, in ms."""

TICK_MS = 200
"""The planner is called at least so often, in ms."""

SAMPLE_MS = 10_000
"""Time between two samples of fragmentation, in ms."""

_LATEST_MS = 4 * HORIZON_MS


class Start(NamedTuple):
    """A scheduler gives a job its place.

    :ivar job_id: the job.
    :ivar parts: a place for each part.
    """

    job_id: str
    parts: tuple[PartPlacement, ...]


class Stop(NamedTuple):
    """A scheduler takes the place of a job.

    :ivar job_id: the job.
    :ivar outcome: ``reclaimed`` or ``cancelled``.
    """

    job_id: str
    outcome: str


class Scheduler(Protocol):
    """What is compared: it decides, the world runs."""

    def submit(self, spec: JobSpec, now_ms: int) -> None:
        """Take a job in."""

    def cancel(self, spec: JobSpec, now_ms: int) -> list[Stop]:
        """Take a job back."""

    def started(self, job_id: str, now_ms: int) -> None:
        """Note that every part runs."""

    def ended(
        self, job_id: str, outcome: str, blamed: str, ran_ms: int, now_ms: int
    ) -> bool:
        """Note that an attempt is over; tell whether the job waits again."""

    def decide(self, now_ms: int) -> list[Start | Stop]:
        """Decide what to start and stop."""


class Running(NamedTuple):
    """An attempt in progress.

    :ivar parts: its place.
    :ivar since_ms: when its parts began to run.
    :ivar serial: number of the attempt in the world.
    """

    parts: tuple[PartPlacement, ...]
    since_ms: int
    serial: int


class Event(NamedTuple):
    """Something that happens at a time.

    :ivar at_ms: when.
    :ivar order: tie-breaker.
    :ivar kind: ``submit``, ``cancel``, ``start``, ``end``, ``tick`` or
        ``sample``.
    :ivar job_id: the job.
    :ivar serial: number of the attempt.
    :ivar outcome: how an attempt ends.
    :ivar blamed: the worker at fault.
    """

    at_ms: int
    order: int
    kind: str
    job_id: str = ''
    serial: int = 0
    outcome: str = ''
    blamed: str = ''


class Outcome(NamedTuple):
    """What a run led to.

    :ivar completions: from submission to done, by job, in ms.
    :ivar waits: from submission to first running, by job, in ms.
    :ivar useful_ms: accelerator ms of work done within the horizon.
    :ivar stuck: free accelerators that serve no largest shape, summed.
    :ivar free: free accelerators, summed over the same samples.
    """

    completions: dict[str, int]
    waits: dict[str, int]
    useful_ms: int
    stuck: int
    free: int


class World:
    """Workers that run what a scheduler decides."""

    def __init__(self, user: User, scheduler: Scheduler) -> None:
        """Start with an idle fleet.

        :param user: what is run.
        :param scheduler: what decides.
        """
        self._user = user
        self._scheduler = scheduler
        self._jobs = {item.spec.job_id: item for item in user.arrivals}
        self._left = {item.spec.job_id: item.run_ms for item in user.arrivals}
        self._running: dict[str, Running] = {}
        self._busy = {spec.worker: 0 for spec in user.workers}
        self._events: list[Event] = []
        self._serial = 0
        self._order = 0
        self._outcome = Outcome({}, {}, 0, 0, 0)

    def run(self) -> Outcome:
        """Run the whole trace.

        :returns: what it led to.
        """
        self._schedule()
        open_jobs = len(self._jobs)
        while self._events:
            event = heapq.heappop(self._events)
            if event.at_ms > _LATEST_MS:
                break
            self._handle(event)
            self._decide(event.at_ms)
            done = len(self._outcome.completions)
            if event.at_ms > HORIZON_MS and done == open_jobs:
                break
        return self._outcome

    def _schedule(self) -> None:
        for item in self._user.arrivals:
            self._push(Event(item.at_ms, 0, 'submit', item.spec.job_id))
            if item.cancel_ms:
                self._push(Event(item.cancel_ms, 0, 'cancel', item.spec.job_id))
        for at_ms in range(0, HORIZON_MS, SAMPLE_MS):
            self._push(Event(at_ms, 0, 'sample'))
        for at_ms in range(0, HORIZON_MS * 2, TICK_MS * 5):
            self._push(Event(at_ms, 0, 'tick'))

    def _push(self, event: Event) -> None:
        self._order += 1
        heapq.heappush(self._events, event._replace(order=self._order))

    def _handle(self, event: Event) -> None:
        match event.kind:
            case 'submit':
                spec = self._jobs[event.job_id].spec
                self._scheduler.submit(spec, event.at_ms)
            case 'cancel':
                spec = self._jobs[event.job_id].spec
                for stop in self._scheduler.cancel(spec, event.at_ms):
                    self._stop(stop, event.at_ms)
            case 'start':
                self._begin(event)
            case 'end':
                self._end(event)
            case 'sample':
                self._sample()

    def _decide(self, now_ms: int) -> None:
        for decision in self._scheduler.decide(now_ms):
            match decision:
                case Start(job_id, parts):
                    self._place(job_id, parts, now_ms)
                case Stop():
                    self._stop(decision, now_ms)

    def _place(
        self, job_id: str, parts: tuple[PartPlacement, ...], now_ms: int
    ) -> None:
        self._serial += 1
        for part in parts:
            self._busy[part.worker] += part.accelerators
            if self._busy[part.worker] > WIDTH:
                raise RuntimeError(f'worker {part.worker} is used twice')
        self._running[job_id] = Running(parts, 0, self._serial)
        at_ms = now_ms + START_MS
        self._push(Event(at_ms, 0, 'start', job_id, self._serial))

    def _begin(self, event: Event) -> None:
        run = self._running.get(event.job_id)
        if run is None or run.serial != event.serial:
            return
        now_ms = event.at_ms
        self._running[event.job_id] = run._replace(since_ms=now_ms)
        waited = now_ms - self._jobs[event.job_id].at_ms
        self._outcome.waits.setdefault(event.job_id, waited)
        self._scheduler.started(event.job_id, now_ms)
        end_ms = now_ms + self._left[event.job_id]
        end = Event(end_ms, 0, 'end', event.job_id, run.serial, 'done')
        for worker in self._failing(run, now_ms):
            failed = end._replace(outcome='failed', blamed=worker)
            end = failed._replace(at_ms=now_ms + FAIL_MS)
        self._push(end)

    def _failing(self, run: Running, now_ms: int) -> Iterator[str]:
        workers = {part.worker for part in run.parts}
        for bad in self._user.bad:
            if bad.worker in workers and bad.from_ms <= now_ms < bad.to_ms:
                yield bad.worker

    def _stop(self, stop: Stop, now_ms: int) -> None:
        run = self._running[stop.job_id]
        at_ms = now_ms + STOP_MS
        self._push(
            Event(at_ms, 0, 'end', stop.job_id, run.serial, stop.outcome)
        )

    def _end(self, event: Event) -> None:
        run = self._running.get(event.job_id)
        if run is None or run.serial != event.serial:
            return
        self._running.pop(event.job_id)
        for part in run.parts:
            self._busy[part.worker] -= part.accelerators
        ran_ms = event.at_ms - run.since_ms if run.since_ms else 0
        if event.outcome != 'failed':
            self._left[event.job_id] -= min(ran_ms, self._left[event.job_id])
            self._count_use(event, run, ran_ms)
        job = self._jobs[event.job_id]
        self._scheduler.ended(
            event.job_id, event.outcome, event.blamed, ran_ms, event.at_ms
        )
        if event.outcome == 'done':
            took = event.at_ms - job.at_ms
            self._outcome.completions[event.job_id] = took

    def _count_use(self, event: Event, run: Running, ran_ms: int) -> None:
        since_ms = event.at_ms - ran_ms
        within = max(0, min(event.at_ms, HORIZON_MS) - since_ms)
        if event.outcome == 'cancelled':
            return
        size = sum(part.accelerators for part in run.parts)
        useful = self._outcome.useful_ms + within * size
        self._outcome = self._outcome._replace(useful_ms=useful)

    def _sample(self) -> None:
        free = sum(WIDTH - busy for busy in self._busy.values())
        usable = 0
        names = [spec.worker for spec in self._user.workers]
        parts = LARGE_ACCELERATORS // WIDTH
        for first in range(0, len(names), RACK_WORKERS):
            rack = names[first : first + RACK_WORKERS]
            idle = sum(self._busy[name] == 0 for name in rack)
            usable += idle // parts * LARGE_ACCELERATORS
        self._outcome = self._outcome._replace(
            stuck=self._outcome.stuck + free - usable,
            free=self._outcome.free + free,
        )


def is_large(item: Arrival) -> bool:
    """Tell whether a job is a large gang.

    :param item: the job.
    :returns: whether it is.
    """
    return item.spec.shape.total_accelerators >= LARGE_ACCELERATORS
