"""Tests of usage accounting and of error budget burn rates."""

import unittest

from swifthoist_core.series import Outcomes
from swifthoist_engine.account import (
    LineKey,
    UsageFilter,
    UsageLine,
    usage_lines,
)
from swifthoist_engine.burn import SLO_TARGET, Severity, burn_lines, burn_rate
from swifthoist_engine.cell import Cell
from swifthoist_engine.model import (
    GANG_ORDINAL,
    JobSpec,
    Resources,
    TaskId,
    UnitId,
)
from swifthoist_engine.records import Canceled, Ended, Ending
from swifthoist_engine.snapshots import (
    HEAD_KEY,
    encode_head,
    restore,
    take_snapshot,
)
from tests.engine.scenes import (
    BATCH,
    KEEP_MS,
    NOW_MS,
    URGENT,
    Scene,
    gang,
    job_spec,
    task,
)

_ALL = Resources(2**53 - 1, 2**53 - 1, 2**53 - 1)
_ALL_CPU = Resources(2**53 - 1, 10, 0)


def _lines(
    scene: Scene, usage_filter: UsageFilter | None = None
) -> list[UsageLine]:
    account = scene.cell.state.account
    return list(usage_lines(account, usage_filter or UsageFilter()))


def _snapshot_of(scene: Scene) -> Cell:
    """Take a snapshot of a cell, and restore it."""
    snapshot = take_snapshot(scene.cell.state, 0, 0, 100_000)
    head = encode_head(snapshot.head)
    restored = restore({**snapshot.chunks, HEAD_KEY: head})
    assert restored is not None
    return Cell(KEEP_MS, restored.state)


def _play_for_an_hour(spec: JobSpec) -> Scene:
    """Run the only task of a job for an hour, and restore a snapshot."""
    scene = Scene(spec)
    scene.start(UnitId(spec.job, 0, 0, 0), 'r')
    done = TaskId(spec.job, 0, 0, 0)
    end = Ended(1, 'r', 1, done, 1, Ending.DONE, '', NOW_MS + 3_600_000)
    scene.fold(end)
    scene.cell = _snapshot_of(scene)
    return scene


class AccountTest(unittest.TestCase):
    """Accelerator time by team, and whether guarantees were met."""

    def test_a_run_counts_its_accelerators_while_it_held_them(self) -> None:
        """Time counts from the start of a run until its end is read."""
        scene = Scene(job_spec('j', BATCH, gang(2)))
        scene.start(UnitId('j', 0, 0, GANG_ORDINAL), 'r', 's')
        for number, runner in enumerate(('r', 's')):
            done = TaskId('j', 0, 0, number)
            end = Ended(1, runner, 1, done, 1, Ending.DONE, '', NOW_MS + 3_000)
            scene.fold(end)
        line = _lines(scene)[0]
        self.assertEqual(line.accelerator_s, 2 * 8 * 3)
        self.assertEqual(line.wasted_s, 0)
        self.assertEqual(line.runs, {'done': 2})
        self.assertEqual(line.jobs, {'complete': 1})

    def test_work_that_came_to_nothing_is_told_apart(self) -> None:
        """Stopping a task without checkpoints wastes all of its time."""
        scene = Scene(job_spec('j', BATCH, task()))
        scene.start(UnitId('j', 0, 0, 0), 'r')
        stopped = TaskId('j', 0, 0, 0)
        scene.fold(
            Ended(1, 'r', 1, stopped, 1, Ending.STOPPED, '', NOW_MS + 2_000)
        )
        self.assertEqual(_lines(scene)[0].wasted_s, 2)

    def test_stops_in_vain_are_told_apart(self) -> None:
        """Stops before progress is saved count, unless the job is over."""
        saving = task(count=2, checkpointing=True)
        scene = Scene(
            job_spec('j', BATCH, task()),
            job_spec('k', BATCH, saving),
            job_spec('over', BATCH, task()),
        )
        for number, (name, ordinal, ran_ms) in enumerate(
            (('j', 0, 9_000), ('k', 0, 300), ('k', 1, 2_000), ('over', 0, 1))
        ):
            unit = UnitId(name, 0, 0, ordinal)
            scene.start(unit, 'r', at_ms=NOW_MS - ran_ms)
            scene.job('over').canceled = True
            end = (TaskId(*unit), 1, Ending.STOPPED, '', NOW_MS)
            scene.fold(Ended(1, 'r', number + 1, *end))
        line = _lines(scene)[0]
        self.assertEqual(line.vain, 2)
        self.assertEqual(line.runs, {'stopped': 4})

    def test_a_filling_task_that_asks_for_any_cpu_leaves_room_for_snapshots(
        self,
    ) -> None:
        """It is charged no cores, since it holds none."""
        spec = job_spec('j', BATCH, task(_ALL_CPU, filling=True))
        line = _lines(_play_for_an_hour(spec))[0]
        self.assertEqual(line.core_s, 0)
        self.assertEqual(line.runs, {'done': 1})

    def test_totals_beyond_one_figure_come_back_from_a_snapshot(self) -> None:
        """A runner may say that it has as much as a task asks for."""
        scene = _play_for_an_hour(job_spec('j', BATCH, task(_ALL)))
        expected_s = (2**53 - 1) * 3_600
        line = _lines(scene)[0]
        self.assertAlmostEqual(line.core_s / expected_s, 1 / 1_000)
        self.assertAlmostEqual(line.accelerator_s / expected_s, 1)
        self.assertAlmostEqual(line.wasted_s, 0)

    def test_totals_of_an_earlier_version_go_on(self) -> None:
        """Its snapshots hold up to 64 bits in one figure."""
        scene = Scene(job_spec('j', BATCH, task()))
        scene.start(UnitId('j', 0, 0, 0), 'r')
        month = _lines(scene)[0].month
        lines = scene.cell.state.account.lines
        lines[LineKey(month, 'red', 'batch')].used_ms = 2**64 - 1
        scene.cell = _snapshot_of(scene)
        done = TaskId('j', 0, 0, 0)
        end = Ended(1, 'r', 1, done, 1, Ending.DONE, '', NOW_MS + 1_000)
        scene.fold(end)
        scene.cell = _snapshot_of(scene)
        line = _lines(scene)[0]
        self.assertEqual(line.accelerator_s, (2**64 - 1 + 1_000) / 1_000)

    def test_urgent_jobs_count_by_whether_they_began_in_time(self) -> None:
        """A guarantee promises that jobs start in time."""
        scene = Scene(
            job_spec('a', URGENT, task()), job_spec('b', URGENT, task())
        )
        scene.start(UnitId('a', 0, 0, 0), 'r', at_ms=NOW_MS + 100)
        scene.start(UnitId('b', 0, 0, 0), 'r', at_ms=NOW_MS + 9_000)
        line = _lines(scene)[0]
        self.assertEqual((line.prompt, line.tardy), (1, 1))
        self.assertEqual(line.waiting.total, 2)

    def test_a_question_names_a_month_and_a_team(self) -> None:
        """Lines of other months and teams are left out."""
        scene = Scene(job_spec('j', BATCH, task()))
        scene.start(UnitId('j', 0, 0, 0), 'r')
        self.assertEqual(len(_lines(scene, UsageFilter(team='red'))), 1)
        self.assertEqual(_lines(scene, UsageFilter(team='blue')), [])
        self.assertEqual(_lines(scene, UsageFilter(month='1999-01')), [])


class BurnTest(unittest.TestCase):
    """Burn rates of error budgets, and the alerts that follow."""

    def test_a_queue_whose_jobs_all_fail_raises_a_page(self) -> None:
        """Canceled jobs do not count as outcomes."""
        specs = [job_spec(f'j{number}', BATCH, task()) for number in range(9)]
        scene = Scene(*specs)
        for spec in specs[1:]:
            for run in (1, 2):
                scene.start(UnitId(spec.job, 0, 0, 0), 'r', run=run)
                failed = TaskId(spec.job, 0, 0, 0)
                scene.end(failed, 'r', Ending.FAILED, run=run)
        scene.fold(Canceled('j0', NOW_MS))
        worst = max(line.severity for line in burn_lines(scene.cell.state))
        self.assertEqual(worst, Severity.PAGE)

    def test_a_budget_that_is_just_spent_has_rate_one(self) -> None:
        """Without outcomes the rate is 0."""
        bad = round((1 - SLO_TARGET) * 100)
        outcomes = Outcomes(good=100 - bad, bad=bad)
        self.assertAlmostEqual(burn_rate(outcomes), 1)
        self.assertEqual(burn_rate(Outcomes()), 0)
