"""Requests under faults that come at any moment, together or twice."""

import unittest
from collections import Counter
from functools import partial
from typing import NamedTuple

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st

from swifthoist_core.catalogue import Urgency
from swifthoistd.work import Done, NotRun, Outcome
from tests.daemon.fake_runners import (
    FakeRunner,
    Instance,
    Mode,
    make_entry,
    make_request,
    run_virtual,
)

_RUNNERS = 3
_LAST_MS = 3_000
_MODES = tuple(Mode)


class _Fault(NamedTuple):
    at_ms: int
    runner: int
    mode: Mode
    silent: bool
    slow: bool


class _Ask(NamedTuple):
    at_ms: int
    idempotent: bool
    urgent: bool
    deadline_ms: int
    cancel_ms: int


_FAULTS = st.lists(
    st.builds(
        _Fault,
        st.integers(0, _LAST_MS),
        st.integers(0, _RUNNERS - 1),
        st.sampled_from(_MODES),
        st.booleans(),
        st.booleans(),
    ),
    max_size=6,
)
_ASKS = st.lists(
    st.builds(
        _Ask,
        st.integers(0, _LAST_MS),
        st.booleans(),
        st.booleans(),
        st.sampled_from((50, 400, 3_000)),
        st.sampled_from((5, 40, 300, 60_000, 60_000, 60_000)),
    ),
    min_size=1,
    max_size=30,
)
_SETTINGS = settings(
    derandomize=True, deadline=None, database=None, max_examples=60
)


class _World:
    """One instance, its runners, and what became of each request."""

    def __init__(self) -> None:
        self.runners = [FakeRunner(f'r{n}') for n in range(_RUNNERS)]
        self.instance = Instance(self.runners, members=['i1', 'i2'])
        self.outcomes: dict[int, Outcome | None] = {}
        self.ended_s: dict[int, float] = {}

    @property
    def ran(self) -> Counter[str]:
        return sum((runner.ran for runner in self.runners), Counter())

    async def strike(self, fault: _Fault) -> None:
        await anyio.sleep(fault.at_ms / 1000)
        runner = self.runners[fault.runner]
        runner.mode = fault.mode
        runner.silence += int(fault.silent)
        runner.delay_s = 1 if fault.slow else 0.01

    async def ask(self, number: int, ask: _Ask) -> None:
        await anyio.sleep(ask.at_ms / 1000)
        urgency = Urgency.URGENT if ask.urgent else Urgency.INTERACTIVE
        req = make_request(
            number, idempotent=ask.idempotent, deadline_ms=ask.deadline_ms
        )
        self.outcomes[number] = None
        with anyio.move_on_after(ask.cancel_ms / 1000):
            self.outcomes[number] = await self.instance.dispatcher.send(
                req, make_entry(urgency=urgency)
            )
        self.ended_s[number] = anyio.current_time()

    async def run(self, faults: list[_Fault], asks: list[_Ask]) -> None:
        async with anyio.create_task_group() as upkeep:
            upkeep.start_soon(self.instance.dispatcher.run)
            async with anyio.create_task_group() as tasks:
                for fault in faults:
                    tasks.start_soon(self.strike, fault)
                for number, ask in enumerate(asks):
                    tasks.start_soon(self.ask, number, ask)
            await self.instance.dispatcher.drain()
            upkeep.cancel_scope.cancel()


class FaultTest(unittest.TestCase):
    """What is said is true, and nothing is held for good."""

    @_SETTINGS
    @given(_FAULTS, _ASKS)
    def test_outcomes_are_true(
        self, faults: list[_Fault], asks: list[_Ask]
    ) -> None:
        """Of every request, whatever happened to it."""

        async def scenario() -> None:
            world = _World()
            await world.run(faults, asks)
            for number, ask in enumerate(asks):
                runs = world.ran[f'key-{number}']
                match world.outcomes[number]:
                    case NotRun(retry_after_ms=retry_after_ms):
                        self.assertEqual(runs, 0)
                        self.assertGreater(retry_after_ms, 0)
                    case Done(status, body):
                        self.assertEqual(status, 200)
                        self.assertEqual(body, f'echo body {number}'.encode())
                        self.assertGreater(runs, 0)
                if not ask.idempotent:
                    self.assertLessEqual(runs, 1)

        run_virtual(scenario)

    @_SETTINGS
    @given(_FAULTS, _ASKS)
    def test_the_log_is_told_the_truth(
        self, faults: list[_Fault], asks: list[_Ask]
    ) -> None:
        """Also of requests whose caller went away."""

        async def scenario() -> None:
            world = _World()
            await world.run(faults, asks)
            closed = world.instance.intents.closed_by_key
            for number, ask in enumerate(asks):
                outcome = closed.get(f'key-{number}')
                if isinstance(outcome, NotRun):
                    self.assertEqual(world.ran[f'key-{number}'], 0)
                if world.ran[f'key-{number}'] and not ask.idempotent:
                    self.assertIsNotNone(outcome)

        run_virtual(scenario)

    @_SETTINGS
    @given(_FAULTS, _ASKS)
    def test_nothing_is_held_afterwards(
        self, faults: list[_Fault], asks: list[_Ask]
    ) -> None:
        """Slots, permits and places in the queue are free again."""

        async def scenario() -> None:
            world = _World()
            await world.run(faults, asks)
            instance = world.instance
            self.assertEqual(instance.chooser.in_flight(), {})
            self.assertEqual(instance.limiter.in_progress, 0)
            self.assertEqual(instance.limiter.queued, 0)
            for runner in world.runners:
                held = instance.connections.held(runner.name)
                self.assertLessEqual(runner.open, held)
                self.assertLessEqual(runner.most_open, 32)

        run_virtual(scenario)

    @_SETTINGS
    @given(_FAULTS, _ASKS)
    def test_every_outcome_comes_by_its_deadline(
        self, faults: list[_Fault], asks: list[_Ask]
    ) -> None:
        """No wait is without an end."""

        async def scenario() -> None:
            world = _World()
            began_s = anyio.current_time()
            await world.run(faults, asks)
            for number, ask in enumerate(asks):
                took_s = world.ended_s[number] - began_s
                limit_ms = ask.at_ms + min(ask.deadline_ms, ask.cancel_ms)
                self.assertLess(took_s, limit_ms / 1000 + 0.02)

        run_virtual(scenario)

    def test_attempts_stay_a_bounded_multiple_of_requests(self) -> None:
        """Every runner fails everything; retries don't multiply the load."""

        async def scenario() -> None:
            world = _World()
            for runner in world.runners:
                runner.mode = Mode.FAIL
            asks = [
                _Ask(10 * n, True, False, 3_000, 60_000) for n in range(500)
            ]
            await world.run([], asks)
            attempts = world.instance.counters.attempts
            self.assertLessEqual(attempts, 1.2 * len(asks))
            self.assertGreater(world.instance.counters.extras.total(), 6)

        run_virtual(scenario)

    def test_only_urgent_idempotent_work_is_hedged(self) -> None:
        """A hedge is answered while the first attempt is still running."""

        async def scenario(urgency: Urgency, idempotent: bool) -> None:
            world = _World()
            for number in range(30):
                await world.ask(number, _Ask(0, True, True, 900, 60_000))
            for runner in world.runners:
                runner.delay_s = 0.4
            entry = make_entry(urgency=urgency)
            req = make_request(99, idempotent=idempotent)
            began_s = anyio.current_time()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(world.instance.dispatcher.send, req, entry)
                await anyio.sleep(0.005)
                for runner in world.runners:
                    runner.delay_s = 0.01
            seconds.append(anyio.current_time() - began_s)
            runs.append(world.ran['key-99'])

        seconds: list[float] = []
        runs: list[int] = []
        cases = (
            (Urgency.URGENT, True),
            (Urgency.INTERACTIVE, True),
            (Urgency.URGENT, False),
        )
        for urgency, idempotent in cases:
            run_virtual(partial(scenario, urgency, idempotent))
        self.assertEqual(runs, [2, 1, 1])
        self.assertLess(seconds[0], 0.1)
        self.assertGreaterEqual(min(seconds[1:]), 0.4)
