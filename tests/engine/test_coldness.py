"""Tests of placement while runners are cold, that is slow after a start."""

import unittest
from dataclasses import replace

from swifthoist_engine.cold_starts import RAMP_STEP_MS, WARM_RUNNER_WAIT_MS
from swifthoist_engine.model import UnitId
from tests.engine.scenes import (
    BATCH,
    BULK,
    CATALOGUE,
    NOW_MS,
    URGENT,
    Scene,
    gang,
    job_spec,
    runners_by_unit,
    task,
    view,
)

LONG_MS = 10_000


def _used_runners(
    scene: Scene, *views, now_ms: int = NOW_MS, slack: float = 3
) -> list[str]:
    """List the runners on which a decision starts tasks."""
    queues = tuple(
        queue._replace(terms=queue.terms._replace(slack=slack))
        for queue in CATALOGUE.queues
    )
    catalogue = replace(CATALOGUE, queues=queues)
    decision = scene.decide(views, now_ms=now_ms, catalogue=catalogue)
    return sorted(
        name for names in runners_by_unit(decision).values() for name in names
    )


class ChoiceTest(unittest.TestCase):
    """Units that do not tolerate a slow start prefer warm runners."""

    def test_an_urgent_gang_preempts_on_warm_runners(self) -> None:
        """Guards against a start at once in a zone that has just come back."""
        scene = Scene(
            job_spec('low', BULK, task()),
            job_spec('j', URGENT, gang(1)),
        )
        scene.start(UnitId('low', 0, 0, 0), 'runner-1')
        decision = scene.decide([view(0, cold=True), view(1, 1)])
        self.assertEqual(decision.starts, ())
        self.assertEqual([it.run.runner for it in decision.stops], ['runner-1'])

    def test_a_gang_takes_a_cold_rack_where_no_warm_one_could_hold_it(
        self,
    ) -> None:
        """Warm runners on different racks are not worth a wait."""
        scene = Scene(job_spec('j', URGENT, gang(2)))
        cold = [view(0, 0, cold=True), view(1, 0, cold=True)]
        used = _used_runners(scene, *cold, view(2, 1), view(3, 2))
        self.assertEqual(used, ['runner-0', 'runner-1'])

    def test_it_does_not_wait_for_ever(self) -> None:
        """It takes a cold runner if the warm one holds an urgent gang."""
        scene = Scene(
            job_spec('first', URGENT, gang(1)), job_spec('j', URGENT, gang(1))
        )
        scene.start(UnitId('first', 0, 0, -1), 'runner-1')
        runners = (view(0, cold=True), view(1, 1))
        self.assertEqual(_used_runners(scene, *runners), [])
        late_ms = NOW_MS + WARM_RUNNER_WAIT_MS + 1
        self.assertEqual(
            _used_runners(scene, *runners, now_ms=late_ms), ['runner-0']
        )

    def test_a_task_that_would_only_be_late_for_it_goes_elsewhere(self) -> None:
        """With enough slack it takes a cold runner if the warm one is full."""
        for slack, used in ((1.5, []), (4.0, ['runner-0'])):
            scene = Scene(
                job_spec('first', URGENT, gang(1)),
                job_spec('j', BATCH, task(estimate_ms=LONG_MS)),
            )
            scene.start(UnitId('first', 0, 0, -1), 'runner-1')
            with self.subTest(slack=slack):
                runners = (view(0, cold=True), view(1, 1))
                found = _used_runners(scene, *runners, slack=slack)
                self.assertEqual(found, used)

    def test_warm_runners_come_first_for_what_bears_it(self) -> None:
        """Also where packing would prefer the cold one, which is fuller."""
        scene = Scene(
            job_spec('first', BULK, task(), accepted_ms=NOW_MS - 1),
            job_spec('j', BULK, task(estimate_ms=LONG_MS)),
        )
        scene.start(UnitId('first', 0, 0, 0), 'runner-0')
        used = _used_runners(scene, view(0, cold=True), view(1, 1))
        self.assertEqual(used, ['runner-1'])


class StepTest(unittest.TestCase):
    """Cold runners are filled in ramp-up steps."""

    def test_a_cold_runner_fills_within_a_few_steps(self) -> None:
        """Guards against filling it at once, which slows all of its tasks."""
        scene = Scene(
            job_spec('j', BULK, task(count=8, estimate_ms=LONG_MS)),
        )
        counts: list[int] = []
        for step in range(4):
            at_ms = NOW_MS + step * (RAMP_STEP_MS + 1)
            decision = scene.decide([view(0, cold=True)], now_ms=at_ms)
            scene.fold(*decision.starts)
            counts.append(len(scene.cell.runs.on('runner-0')))
        self.assertEqual(counts, [2, 4, 6, 8])

    def test_a_task_larger_than_a_step_is_started_by_itself(self) -> None:
        """The next one starts a ramp-up step later."""
        need = task().need._replace(accelerators=4)
        scene = Scene(
            job_spec('j', BULK, task(need, count=2, estimate_ms=LONG_MS)),
        )
        cold = view(0, cold=True)
        scene.fold(*scene.decide([cold]).starts)
        self.assertEqual(_used_runners(scene, cold), [])
        later_ms = NOW_MS + RAMP_STEP_MS + 1
        self.assertEqual(
            _used_runners(scene, cold, now_ms=later_ms), ['runner-0']
        )


if __name__ == '__main__':
    unittest.main()
