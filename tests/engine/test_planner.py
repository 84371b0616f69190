"""Tests of decisions: order, placement, preemption and reservations."""

import unittest

from swifthoist_engine.demand import DEMAND_WINDOW_MS
from swifthoist_engine.model import GANG_ORDINAL, Schedule, TaskId, UnitId
from swifthoist_engine.queueing import retry_pause_ms
from swifthoist_engine.records import Canceled, Ending, Submitted, Vanished
from tests.engine.scenes import (
    BATCH,
    BULK,
    NOW_MS,
    ROOM,
    URGENT,
    WHOLE_RUNNER,
    Scene,
    gang,
    job_spec,
    runners_by_unit,
    task,
    view,
)


class OrderTest(unittest.TestCase):
    """The order in which units are considered."""

    def test_urgent_jobs_come_first(self) -> None:
        """They precede jobs that were submitted before them."""
        scene = Scene(
            job_spec('a', BULK, task(WHOLE_RUNNER)),
            job_spec('b', URGENT, task(WHOLE_RUNNER)),
        )
        self.assertEqual(
            list(runners_by_unit(scene.decide([view(0)]))),
            [UnitId('b', 0, 0, 0)],
        )

    def test_a_step_waits_for_the_steps_before_it(self) -> None:
        """All tasks of those steps have to be done."""
        scene = Scene(
            job_spec('j', BATCH, task(count=2), task(depends_on=(0,)))
        )
        first = runners_by_unit(scene.decide([view(0)]))
        self.assertEqual({unit.step for unit in first}, {0})
        for ordinal in (0, 1):
            scene.start(UnitId('j', 0, 0, ordinal), 'runner-0')
        scene.end(TaskId('j', 0, 0, 0), 'runner-0', Ending.DONE)
        self.assertEqual(scene.decide([view(0)]).starts, ())
        scene.end(TaskId('j', 0, 0, 1), 'runner-0', Ending.DONE)
        second = runners_by_unit(scene.decide([view(0)]))
        self.assertEqual(list(second), [UnitId('j', 0, 1, 0)])

    def test_an_occurrence_does_not_start_before_its_time(self) -> None:
        """Each occurrence is due at its own time."""
        spec = job_spec('j', BATCH, task())._replace(
            schedule=Schedule(NOW_MS + 500, 1_000, 3)
        )
        scene = Scene(spec)
        self.assertEqual(
            scene.decide([view(0)], now_ms=NOW_MS + 499).starts, ()
        )
        due = runners_by_unit(scene.decide([view(0)], now_ms=NOW_MS + 1_500))
        self.assertEqual([unit.occurrence for unit in due], [0, 1])

    def test_what_runs_or_is_done_is_not_started_again(self) -> None:
        """A unit has at most one open run."""
        scene = Scene(job_spec('j', BATCH, task()))
        scene.start(UnitId('j', 0, 0, 0), 'runner-0')
        self.assertEqual(scene.decide([view(0)]).starts, ())
        scene.end(TaskId('j', 0, 0, 0), 'runner-0', Ending.DONE)
        self.assertEqual(scene.decide([view(0)]).starts, ())


class PlacementTest(unittest.TestCase):
    """On which runners units are placed."""

    def test_no_runner_is_filled_beyond_its_capacity(self) -> None:
        """Runs that are being stopped still count."""
        scene = Scene(job_spec('j', BATCH, task(count=20)))
        placed = runners_by_unit(scene.decide([view(0)]))
        self.assertEqual(len(placed), ROOM.accelerators)

    def test_a_gang_goes_on_one_rack(self) -> None:
        """The rack that holds all members is chosen."""
        scene = Scene(job_spec('j', BATCH, gang(2)))
        views = [view(0, 0), view(1, 1), view(2, 1)]
        placed = runners_by_unit(scene.decide(views))
        unit = UnitId('j', 0, 0, GANG_ORDINAL)
        self.assertEqual(set(placed[unit]), {'runner-1', 'runner-2'})

    def test_a_gang_waits_for_one_rack_for_a_while(self) -> None:
        """It waits as long as spreading would cost it, which is 2 s here."""
        scene = Scene(
            job_spec('j', BATCH, gang(2)),
            job_spec('k', BULK, task(WHOLE_RUNNER)),
        )
        scene.start(UnitId('k', 0, 0, 0), 'runner-1')
        views = [view(0, 0), view(1, 0), view(2, 1)]
        self.assertEqual(scene.decide(views).starts, ())
        later = scene.decide(views, now_ms=NOW_MS + 1_900)
        self.assertEqual(later.starts, ())
        later = scene.decide(views, now_ms=NOW_MS + 2_100)
        self.assertEqual(len(later.starts), 1)

    def test_a_gang_starts_whole_or_not_at_all(self) -> None:
        """Room for only a part of it is left to others."""
        scene = Scene(
            job_spec('j', BATCH, gang(3)), job_spec('k', BULK, task())
        )
        placed = runners_by_unit(scene.decide([view(0), view(1)]))
        self.assertEqual(list(placed), [UnitId('k', 0, 0, 0)])

    def test_a_label_is_required(self) -> None:
        """Only runners that have the label are eligible."""
        scene = Scene(job_spec('j', BATCH, task(label='b')))
        other = view(1, labels=frozenset(('b', 'rack-0')))
        placed = runners_by_unit(scene.decide([view(0), other]))
        self.assertEqual(placed[UnitId('j', 0, 0, 0)], ['runner-1'])

    def test_the_spread_of_a_step_is_limited(self) -> None:
        """Tasks that already run count towards the limit."""
        scene = Scene(job_spec('j', BATCH, task(count=4, spread_limit=1)))
        scene.start(UnitId('j', 0, 0, 0), 'runner-0')
        placed = runners_by_unit(scene.decide([view(0), view(1), view(2)]))
        self.assertEqual(
            sorted(runner for names in placed.values() for runner in names),
            ['runner-1', 'runner-2'],
        )

    def test_a_runner_that_leaves_or_is_silent_gets_nothing(self) -> None:
        """Neither does a runner of another service."""
        scene = Scene(job_spec('j', BATCH, task()))
        views = [
            view(0, open=False),
            view(1, leaving_ms=5_000),
            view(2, service='other'),
        ]
        self.assertEqual(scene.decide(views).starts, ())

    def test_a_suspect_runner_is_used_last(self) -> None:
        """A healthy runner is preferred, even if it is less full."""
        scene = Scene(job_spec('j', BATCH, task()))
        placed = runners_by_unit(scene.decide([view(0, suspicion=2), view(1)]))
        self.assertEqual(placed[UnitId('j', 0, 0, 0)], ['runner-1'])

    def test_a_retry_avoids_where_the_task_failed(self) -> None:
        """The runner may have caused the failure."""
        scene = Scene(job_spec('j', BATCH, task()))
        scene.start(UnitId('j', 0, 0, 0), 'runner-0')
        scene.end(TaskId('j', 0, 0, 0), 'runner-0', Ending.FAILED)
        later = scene.decide([view(0), view(1)], now_ms=NOW_MS + 1_000)
        self.assertEqual(
            runners_by_unit(later)[UnitId('j', 0, 0, 0)], ['runner-1']
        )


class StopTest(unittest.TestCase):
    """Which runs have to be stopped."""

    def test_runs_of_a_canceled_job_are_stopped(self) -> None:
        """All of them are stopped at once."""
        scene = Scene(job_spec('j', BATCH, task(count=2)))
        for ordinal in (0, 1):
            scene.start(UnitId('j', 0, 0, ordinal), 'runner-0')
        scene.fold(Canceled('j', NOW_MS))
        self.assertEqual(len(scene.decide([view(0)]).stops), 2)

    def test_a_gang_of_which_a_member_is_gone_is_stopped(self) -> None:
        """The remaining members can't work alone."""
        scene = Scene(job_spec('j', BATCH, gang(2)))
        scene.start(UnitId('j', 0, 0, GANG_ORDINAL), 'runner-0', 'runner-1')
        scene.end(TaskId('j', 0, 0, 0), 'runner-0', Ending.LAPSED)
        stops = scene.decide([view(0), view(1)]).stops
        self.assertEqual([stop.run.runner for stop in stops], ['runner-1'])

    def test_checkpointing_tasks_leave_a_draining_runner(self) -> None:
        """Other tasks end there, or are lost with the runner."""
        scene = Scene(
            job_spec('saves', BATCH, task(checkpointing=True)),
            job_spec('plain', BATCH, task()),
        )
        scene.start(UnitId('saves', 0, 0, 0), 'runner-0')
        scene.start(UnitId('plain', 0, 0, 0), 'runner-0')
        stops = scene.decide([view(0, leaving_ms=500)]).stops
        self.assertEqual([stop.run.task.job for stop in stops], ['saves'])
        self.assertEqual(scene.decide([view(0, leaving_ms=5_000)]).stops, ())


class PreemptionTest(unittest.TestCase):
    """Room is made for urgent units."""

    def _full_cell(self) -> Scene:
        scene = Scene(
            job_spec('old', BULK, task(WHOLE_RUNNER)),
            job_spec('new', BULK, task(WHOLE_RUNNER)),
            job_spec('u', URGENT, task(WHOLE_RUNNER)),
        )
        scene.start(UnitId('old', 0, 0, 0), 'runner-0', at_ms=NOW_MS - 5_000)
        scene.start(UnitId('new', 0, 0, 0), 'runner-1', at_ms=NOW_MS - 100)
        return scene

    def test_the_run_with_the_least_loss_is_stopped(self) -> None:
        """That is the run that has worked least."""
        decision = self._full_cell().decide(
            [view(0), view(1)], now_ms=NOW_MS + 900
        )
        self.assertEqual(
            [stop.run.task.job for stop in decision.stops], ['new']
        )

    def test_no_more_is_stopped_while_a_stop_is_under_way(self) -> None:
        """The room of a run that is being stopped counts as available soon."""
        scene = self._full_cell()
        stopping = frozenset(((TaskId('new', 0, 0, 0), 1),))
        decision = scene.decide(
            [view(0), view(1)], stopping, now_ms=NOW_MS + 900
        )
        self.assertEqual(decision.stops, ())

    def test_others_do_not_take_the_room_that_is_made(self) -> None:
        """The room is reserved for the urgent unit."""
        scene = self._full_cell()
        scene.end(TaskId('new', 0, 0, 0), 'runner-1', Ending.STOPPED)
        placed = runners_by_unit(scene.decide([view(0), view(1)]))
        self.assertEqual(list(placed), [UnitId('u', 0, 0, 0)])

    def test_urgent_runs_are_no_victims(self) -> None:
        """Urgent units do not preempt each other."""
        scene = Scene(
            job_spec('a', URGENT, task(WHOLE_RUNNER)),
            job_spec('b', URGENT, task(WHOLE_RUNNER)),
        )
        scene.start(UnitId('a', 0, 0, 0), 'runner-0')
        self.assertEqual(scene.decide([view(0)], now_ms=NOW_MS + 900).stops, ())


class ReservationTest(unittest.TestCase):
    """Small units do not starve large ones."""

    def _cell_with_blocked_gang(self, estimate_ms: int) -> Scene:
        scene = Scene(
            job_spec(
                'g',
                BATCH,
                gang(2, estimate_ms=30_000),
                accepted_ms=NOW_MS - 5_000,
            ),
            job_spec('r', BULK, task()),
            job_spec('s', BULK, task(count=8, estimate_ms=estimate_ms)),
        )
        scene.start(UnitId('r', 0, 0, 0), 'runner-0')
        return scene

    def test_room_is_kept_for_a_blocked_gang(self) -> None:
        """Later tasks that run long do not take it."""
        decision = self._cell_with_blocked_gang(60_000).decide(
            [view(0), view(1)]
        )
        self.assertEqual(decision.starts, ())

    def test_short_tasks_may_pass_a_blocked_gang(self) -> None:
        """They are backfilled, since they end before the gang can start."""
        decision = self._cell_with_blocked_gang(900).decide([view(0), view(1)])
        self.assertEqual(len(decision.starts), 8)

    def test_tasks_may_take_what_the_gang_leaves(self) -> None:
        """Runners that the gang does not need are not reserved."""
        decision = self._cell_with_blocked_gang(60_000).decide(
            [view(0), view(1), view(2, rack=1)]
        )
        used = {
            runner
            for names in runners_by_unit(decision).values()
            for runner in names
        }
        self.assertEqual(used, {'runner-2'})


class HeadroomTest(unittest.TestCase):
    """Some room is kept free for urgent gangs."""

    def test_tasks_that_save_nothing_leave_some_room(self) -> None:
        """It is as much as urgent jobs requested in two thirds of a second."""
        views = [view(number) for number in range(3)]
        for saves, starts in ((False, 22), (True, 24)):
            waiting = task(count=40, checkpointing=saves)
            scene = Scene(job_spec('j', BULK, waiting))
            self._end_urgent(scene, 5)
            found = scene.decide(views, now_ms=NOW_MS + 1_000).starts
            self.assertEqual(len(found), starts)

    def test_no_room_is_left_where_nothing_urgent_came_lately(self) -> None:
        """Without recent demand nobody would use the headroom."""
        views = [view(number) for number in range(3)]
        scene = Scene(job_spec('j', BULK, task(count=40)))
        self.assertEqual(len(scene.decide(views).starts), 24)
        self._end_urgent(scene, 5)
        found = scene.decide(views, now_ms=NOW_MS + DEMAND_WINDOW_MS).starts
        self.assertEqual(len(found), 24)

    def _end_urgent(self, scene: Scene, count: int) -> None:
        """Run urgent gangs of eight accelerators that have ended."""
        for number in range(count):
            name = f'u{number}'
            spec = job_spec(name, URGENT, gang(1), accepted_ms=NOW_MS)
            scene.fold(Submitted(spec))
            scene.start(UnitId(name, 0, 0, -1), 'runner-0')
            end = TaskId(name, 0, 0, 0)
            scene.end(end, 'runner-0', Ending.DONE)


class RetryTest(unittest.TestCase):
    """Pauses limit how often a unit that fails to run is started."""

    def test_pauses_double_after_some_runs(self) -> None:
        """Pauses are bounded."""
        pauses = [retry_pause_ms(runs) for runs in range(1, 15)]
        self.assertEqual(pauses[0], pauses[5])
        self.assertEqual(pauses[6], 2 * pauses[5])
        self.assertEqual(pauses[-1], 1_600)

    def test_a_pause_is_no_longer_after_a_clock_was_ahead(self) -> None:
        """Later ends are recorded with the newest time of any holder."""
        scene = Scene(job_spec('j', BATCH, task()))
        scene.start(UnitId('j', 0, 0, 0), 'runner-0')
        scene.beat(NOW_MS + 30_000)
        lost = Vanished(1, TaskId('j', 0, 0, 0), 1, 'runner-0', 'lease ended')
        scene.fold(lost)
        later = scene.decide([view(0)], now_ms=NOW_MS + 200)
        self.assertEqual(list(runners_by_unit(later)), [UnitId('j', 0, 0, 0)])


class PackingTest(unittest.TestCase):
    """Packing leaves whole racks free for gangs, and stops cost little."""

    def test_small_tasks_go_to_the_rack_that_is_used_most(self) -> None:
        """An empty rack stays free."""
        scene = Scene(
            job_spec('a', BULK, task()), job_spec('b', BULK, task(WHOLE_RUNNER))
        )
        scene.start(UnitId('b', 0, 0, 0), 'runner-2')
        views = [view(0, 0), view(1, 0), view(2, 1), view(3, 1)]
        placed = runners_by_unit(scene.decide(views))
        self.assertEqual(placed[UnitId('a', 0, 0, 0)], ['runner-3'])

    def test_members_that_end_together_are_not_stopped(self) -> None:
        """Ends are read one after the other; after 1 s a member is stopped."""
        scene = Scene(job_spec('j', BATCH, gang(2)))
        scene.start(UnitId('j', 0, 0, GANG_ORDINAL), 'runner-0', 'runner-1')
        scene.end(TaskId('j', 0, 0, 0), 'runner-0', Ending.DONE)
        views = [view(0), view(1)]
        self.assertEqual(scene.decide(views, now_ms=NOW_MS + 900).stops, ())
        late = scene.decide(views, now_ms=NOW_MS + 1_000)
        self.assertEqual(len(late.stops), 1)

    def test_a_run_that_was_stopped_before_is_spared(self) -> None:
        """Otherwise its job might never complete."""
        scene = Scene(
            job_spec('often', BULK, task(WHOLE_RUNNER)),
            job_spec('once', BULK, task(WHOLE_RUNNER)),
            job_spec('u', URGENT, task(WHOLE_RUNNER)),
        )
        started_ms = NOW_MS - 300
        unit = UnitId('often', 0, 0, 0)
        scene.start(unit, 'runner-0', run=4, at_ms=NOW_MS - 200)
        scene.start(UnitId('once', 0, 0, 0), 'runner-1', at_ms=started_ms)
        decision = scene.decide([view(0), view(1)])
        self.assertEqual(
            [stop.run.task.job for stop in decision.stops], ['once']
        )
