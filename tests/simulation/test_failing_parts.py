"""Tests of terms whose parts fail, on virtual time: jobs go on all the same."""

import unittest
from typing import Any, NamedTuple
from unittest import mock

import anyio
from hypothesis import given
from hypothesis import strategies as st

from swifthoist_emulator import store_calls
from swifthoist_emulator.lives import StepWork
from swifthoist_engine.account import Account
from swifthoist_instance import holding, snapshotting
from swifthoist_instance.deciding import Decider
from swifthoist_instance.holding import Term
from swifthoist_instance.job_lines import JobLines
from swifthoist_instance.orders import Orders
from swifthoist_instance.policies import Policies
from swifthoist_instance.registry import Registry
from swifthoist_instance.roster import Roster
from swifthoist_instance.run_lines import RunLines
from swifthoist_instance.sessions import Session
from swifthoist_instance.waves import Waves
from tests.simulation.cluster import Cluster, simulate
from tests.simulation.test_faults import HYPOTHESIS_SETTINGS

KEEP_MS = 20_000
"""How long the log keeps records, in ms: snapshots are due every 4 s."""

TINY = StepWork(500, (4_000, 8_000, 1))
JOBS = 3
JOB_S = 4.0
"""Time in which an urgent job of half a second is done, in seconds: it starts
within 3 s."""

WARM_UP_S = 12.0
"""Time in which a new cell has met all runners, in seconds."""

SETTLE_S = 40.0
"""Time in which all accepted jobs complete once nothing fails any more, in
seconds: several times an unrenewed lease."""

NODES = 2

ALWAYS = 1_000_000


class Part(NamedTuple):
    """A function that fails.

    :ivar owner: its class or module.
    :ivar name: its name.
    """

    owner: Any
    name: str


NEEDLESS = (
    Part(snapshotting, 'take_snapshot'),
    Part(snapshotting, 'stale_chunks'),
    Part(holding, 'give_up_tasks'),
    Part(RunLines, 'flush'),
    Part(RunLines, '_note'),
    Part(RunLines, '_write'),
    Part(RunLines, 'take_reasons'),
    Part(JobLines, 'write_finished'),
    Part(JobLines, '__init__'),
    Part(Waves, 'run'),
    Part(Waves, '_current'),
    Part(Policies, 'run'),
    Part(Roster, '_note_addresses'),
    Part(Roster, '_close_gone'),
    Part(Roster, '_forget_unlisted'),
    Part(Account, 'add_run'),
)
"""What jobs don't need: it may fail at every call."""

NEEDED = (
    Part(Decider, 'decide'),
    Part(Registry, '_read_all'),
    Part(Registry, '_read_changes'),
    Part(Registry, '_apply'),
    Part(Roster, 'stop'),
    Part(Roster, '_open_or_update'),
    Part(Session, '_process_look'),
    Part(Session, '_note_synced'),
    Part(Orders, 'start'),
    Part(Orders, '_try_start'),
    Part(Term, '_send_starts'),
    Part(Term, '_apply_decision'),
)
"""What jobs need: it fails for a while."""


class _Failing:
    """Lets calls of a function fail.

    :ivar failed: number of calls that failed.
    """

    def __init__(self, part: Part, first: int, count: int) -> None:
        self._original = getattr(part.owner, part.name)
        self._passes = first
        self._count = count
        self.failed = 0

    def __get__(self, owner: object, _: object = None) -> Any:
        """Bind the function to its object."""
        return self if owner is None else lambda *it: self(owner, *it)

    def __call__(self, *args: Any, **named: Any) -> Any:
        """Call the function, or fail."""
        if self._passes <= 0 and self.failed < self._count:
            self.failed += 1
            raise RuntimeError('a fault')
        self._passes -= 1
        return self._original(*args, **named)


class _Outcome(NamedTuple):
    """What a play showed.

    :ivar terms: number of terms that began.
    :ivar late: urgent jobs that were not done in time.
    :ivar left: jobs that were not done in the end.
    :ivar failed: number of calls that failed.
    """

    terms: int
    late: int
    left: int
    failed: int


async def _start_supervised(cluster: Cluster) -> None:
    """Start all nodes anew, with supervision, and let them meet all runners."""
    for node in cluster.nodes:
        node.kill()
        node.supervised = True
        node.start()
    await cluster.holder()
    await anyio.sleep(WARM_UP_S)


async def _submit_urgent_jobs(cluster: Cluster) -> int:
    """Submit jobs one by one; return how many of them were not done in time."""
    late = 0
    for _ in range(JOBS):
        order = cluster.order('/urgent/', TINY)
        await cluster.submit(order)
        await anyio.sleep(JOB_S)
        late += await cluster.state(order) != 'complete'
    return late


async def _count_left(cluster: Cluster) -> int:
    """Return how many jobs are not done."""
    states = [await cluster.state(order) for order in cluster.accepted]
    return len(states) - states.count('complete')


def _play(part: Part, first: int, count: int) -> _Outcome:
    """Let a part fail from some call on, a number of times."""
    failing = _Failing(part, first, count)
    terms: list[Term] = []
    counts: list[int] = []
    run = Term.run

    async def count_term(term: Term) -> None:
        terms.append(term)
        await run(term)

    async def scenario(cluster: Cluster) -> None:
        await _start_supervised(cluster)
        late = await _submit_urgent_jobs(cluster)
        await anyio.sleep(SETTLE_S if late else 0)
        counts.extend((late, await _count_left(cluster)))

    with (
        mock.patch.object(store_calls, 'RETENTION_MS', KEEP_MS),
        mock.patch.object(snapshotting, 'MAX_AGE_MS', KEEP_MS // 5),
        mock.patch.object(part.owner, part.name, failing),
        mock.patch.object(Term, 'run', count_term),
    ):
        world = simulate(scenario, NODES, expect_faults=None)
    assert world.checker.broken == [], world.checker.broken
    return _Outcome(len(terms), *counts, failing.failed)


class FailingPartTest(unittest.TestCase):
    """A part that fails ends neither the term nor other parts."""

    def test_a_snapshot_that_can_not_be_taken_holds_up_no_job(self) -> None:
        """It ended the term, and the next one met the same state."""
        for first in (0, 3):
            found = _play(Part(snapshotting, 'take_snapshot'), first, ALWAYS)
            self.assertEqual(found[:3], (1, 0, 0))
            self.assertGreater(found.failed, 0)

    def test_a_part_that_jobs_do_not_need_holds_up_none(self) -> None:
        """It may fail at every call."""
        for part in NEEDLESS:
            with self.subTest(part=part.name):
                self.assertEqual(_play(part, 0, ALWAYS)[:3], (1, 0, 0))

    def test_a_part_that_jobs_need_is_tried_again(self) -> None:
        """No job is left behind, and no other runner is met anew."""
        for part in NEEDED:
            with self.subTest(part=part.name):
                found = _play(part, 0, 4)
                self.assertEqual((found.terms, found.left), (1, 0))
                self.assertGreater(found.failed, 0)

    @HYPOTHESIS_SETTINGS
    @given(
        st.sampled_from((*NEEDLESS, *NEEDED)),
        st.integers(0, 60),
        st.integers(1, 6),
    )
    def test_any_part_may_fail_at_any_time(
        self, part: Part, first: int, count: int
    ) -> None:
        """All jobs are done in the end, in one and the same term."""
        found = _play(part, first, count)
        self.assertEqual((found.terms, found.left), (1, 0))
