"""Tests of policy services that take calls in turn, and are slow."""

import unittest

import anyio
from hypothesis import given
from hypothesis import strategies as st

from swifthoist_emulator.duties import PolicyService
from swifthoist_emulator.lives import StepWork
from swifthoist_emulator.site import STANDARD, QueueSpec, Site
from tests.simulation.cluster import Cluster, simulate, wait_until
from tests.simulation.test_faults import HYPOTHESIS_SETTINGS

WORK = StepWork(1_000, (4_000, 8_000, 1), needs_ticket=True)
GANG = StepWork(1_000, (4_000, 8_000, 1), needs_ticket=True, gang=3)
JOBS = 12
LEARNING_CALLS = 6
"""Calls that are given up at most until their time is known, where the stated
figures are too low."""

MARGIN_S = 6.0
"""Time beyond the calls in which the tasks start and some calls are repeated, in
seconds."""


def _site(decision_ms: int, per_runner_ms: int) -> Site:
    query_ms = (decision_ms, per_runner_ms)
    policed = [
        QueueSpec('policed', '/policed/', 1, 3, 3, True, query_ms),
        QueueSpec('prompt', '/prompt/', 0, 3, 3, True, query_ms),
    ]
    return STANDARD._replace(lines=(*STANDARD.lines, *policed))


class SlowPolicyTest(unittest.TestCase):
    """Queries are asked so that each answer is of use."""

    def play(
        self,
        base_s: float,
        per_runner_s: float,
        stated: float = 1,
        *,
        jobs: int = JOBS,
        kill: bool = False,
        stand_still_s: float = 0,
        work: StepWork = WORK,
    ) -> float:
        """Return how long it takes to start some jobs, in seconds."""
        site = _site(
            int(base_s * stated * 1_000), int(per_runner_s * stated * 1_000)
        )
        call_s = base_s + per_runner_s * site.runners
        calls = jobs if stated >= 1 else jobs + LEARNING_CALLS
        took: list[float] = []

        async def scenario(cluster: Cluster) -> None:
            await cluster.holder()
            service = PolicyService(cluster.tasks, base_s, per_runner_s)
            cluster.world.policies = service
            await anyio.sleep(1)
            began = anyio.current_time()
            orders = [cluster.order('/policed/', work) for _ in range(jobs)]
            for order in orders:
                await cluster.submit(order)
            if kill:
                await anyio.sleep(3 * call_s)
                (await cluster.holder()).kill()
            if stand_still_s:
                service.base_s += stand_still_s
                await anyio.sleep(stand_still_s)
                service.base_s = base_s
            checker = cluster.world.checker
            await wait_until(
                lambda: all(it.job in checker.done for it in orders),
                # Half of the runners are allowed, so a call may tell of none.
                2 * calls * call_s + MARGIN_S + 3 * stand_still_s + 30 * kill,
            )
            took.append(anyio.current_time() - began)

        world = simulate(scenario, site=site)
        self.assertEqual(world.checker.broken, [])
        return took[0]

    def test_jobs_start_where_a_call_takes_a_second(self) -> None:
        """Four calls at a time timed out, again and again, behind each other."""
        self.play(0.8, 0.02)

    def test_jobs_start_where_a_call_takes_longer_than_stated(self) -> None:
        """The answers tell how long to wait."""
        self.play(0.8, 0.02, stated=0.1)
        self.play(0.8, 0.02, stated=0)

    def test_jobs_start_where_a_call_takes_four_seconds(self) -> None:
        """Longer than any call was waited for, and nearly as long as tickets."""
        self.play(3.9, 0.01, jobs=6)

    def test_jobs_start_behind_a_standstill(self) -> None:
        """Abandoned calls take their turn first."""
        self.play(0.5, 0.01, stand_still_s=10)

    def test_jobs_start_behind_a_takeover(self) -> None:
        """The next holder has no calls that wait."""
        self.play(0.8, 0.02, kill=True)

    def test_a_gang_learns_of_enough_runners(self) -> None:
        """Fewer runners are named only where that suffices."""
        self.play(0.4, 0.02, work=GANG, jobs=6)

    def test_what_starts_first_is_asked_first(self) -> None:
        """An urgent job waits for one call, not for those of all others."""
        took: list[float] = []

        async def scenario(cluster: Cluster) -> None:
            await cluster.holder()
            cluster.world.policies = PolicyService(cluster.tasks, 0.8, 0.02)
            await anyio.sleep(1)
            for _ in range(20):
                await cluster.submit(cluster.order('/policed/', WORK))
            urgent = cluster.order('/prompt/', WORK)
            await cluster.submit(urgent)
            began = anyio.current_time()
            checker = cluster.world.checker
            await wait_until(lambda: urgent.job in checker.done)
            took.append(anyio.current_time() - began)

        simulate(scenario, site=_site(800, 20))
        # One call may be under way, and each takes a second.
        self.assertLess(took[0], 2 + 1 + 1)

    @HYPOTHESIS_SETTINGS
    @given(
        st.floats(0.05, 4),
        st.floats(0, 0.05),
        st.sampled_from((0, 0.1, 1, 3)),
        st.integers(1, 20),
    )
    def test_all_jobs_start_whatever_a_call_costs(
        self, base_s: float, per_runner_s: float, stated: float, jobs: int
    ) -> None:
        """Calls are answered at the rate of the service."""
        self.play(base_s, per_runner_s, stated, jobs=jobs)
