"""Tests of placement while zones are evacuated."""

import unittest

from swifthoist_engine.evacuation import (
    Evacuations,
    Gate,
    is_current,
    zone_lines,
)
from swifthoist_engine.model import UnitId
from swifthoist_engine.past_runs import RunnerFacts
from swifthoist_engine.records import Canceled, RunnerDescribed
from tests.engine.scenes import (
    BULK,
    NOW_MS,
    URGENT,
    Scene,
    gang,
    job_spec,
    runners_by_unit,
    task,
    view,
)

BOUND_MS = 5_000


class GateTest(unittest.TestCase):
    """Whether tasks may be started in a zone."""

    def test_what_is_not_proved_allowed_is_not_open(self) -> None:
        """Unknown zones and outdated requests leave the gate unproven."""
        for known, zone, gate in (
            (Evacuations(), 'a', Gate.OPEN),
            (Evacuations(), '', Gate.OPEN),
            (Evacuations(frozenset('a')), 'a', Gate.CLOSED),
            (Evacuations(frozenset('a')), 'b', Gate.OPEN),
            (Evacuations(frozenset('a')), '', Gate.UNPROVEN),
            (Evacuations(frozenset('a'), current=False), 'a', Gate.CLOSED),
            (Evacuations(frozenset('a'), current=False), 'b', Gate.UNPROVEN),
        ):
            with self.subTest(known=known, zone=zone):
                self.assertIs(known.gate(zone), gate)

    def test_requests_are_gone_by_for_part_of_their_time(self) -> None:
        """Without a time limit they are always current."""
        self.assertTrue(is_current(2_900, BOUND_MS))
        self.assertFalse(is_current(3_000, BOUND_MS))
        self.assertFalse(is_current(None, BOUND_MS))
        self.assertTrue(is_current(None, None))


class DecisionTest(unittest.TestCase):
    """Decisions while the runners of one zone get no work."""

    def test_a_promised_gang_preempts_elsewhere(self) -> None:
        """The only free room is in the evacuated zone."""
        scene = Scene(
            job_spec('low', BULK, task(count=16)),
            job_spec('j', URGENT, gang(2)),
        )
        for number in range(16):
            unit = UnitId('low', 0, 0, number)
            scene.start(unit, f'runner-{2 + number // 8}')
        runners = [view(0, 0, open=False), view(1, 0, open=False)]
        runners += [view(2, 1), view(3, 1)]
        decision = scene.decide(runners)
        self.assertEqual(len(decision.stops), 16)
        self.assertEqual(decision.starts, ())

    def test_no_gang_waits_for_a_rack_that_is_evacuated(self) -> None:
        """It spreads over racks at once if no other rack could hold it."""
        scene = Scene(job_spec('j', BULK, gang(2)))
        runners = [view(0, 0, open=False), view(1, 0, open=False)]
        runners += [view(2, 1), view(3, 2)]
        decision = scene.decide(runners)
        self.assertEqual(
            list(map(set, runners_by_unit(decision).values())),
            [{'runner-2', 'runner-3'}],
        )

    def test_no_task_waits_for_data_in_an_evacuated_zone(self) -> None:
        """It starts at once on another rack."""
        scene = Scene(job_spec('j', BULK, task(data_rack='rack-0')))
        decision = scene.decide([view(0, 0, open=False), view(1, 1)])
        self.assertEqual(
            list(runners_by_unit(decision).values()), [['runner-1']]
        )

    def test_free_room_of_an_evacuated_zone_is_no_room_for_urgent_jobs(
        self,
    ) -> None:
        """Guards against tasks that take the headroom of urgent jobs.

        This happens if room of an evacuated zone or of a draining runner
        counts as free.
        """
        urgent = gang(10, task().need._replace(accelerators=8))
        need = task().need._replace(accelerators=4)
        scene = Scene(
            job_spec('asked', URGENT, urgent), job_spec('j', BULK, task(need))
        )
        scene.fold(Canceled('asked', NOW_MS))
        for closed in ({'open': False}, {'leaving_ms': 3_000}):
            with self.subTest(closed=closed):
                runners = [view(0), view(1, 1)._replace(**closed)]
                self.assertEqual(scene.decide(runners).starts, ())
        self.assertEqual(len(scene.decide([view(0), view(1, 1)]).starts), 1)


class ReportTest(unittest.TestCase):
    """The report on zones for operators."""

    def test_runs_that_go_on_are_counted_by_zone(self) -> None:
        """An unknown zone has neither runners nor runs."""
        scene = Scene(job_spec('j', BULK, task(count=2)))
        for name, zone in (('r', 'a'), ('s', 'a'), ('t', 'b')):
            facts = RunnerFacts('m', 'k', zone)
            scene.fold(RunnerDescribed(1, name, *facts))
        scene.start(UnitId('j', 0, 0, 0), 'r')
        scene.start(UnitId('j', 0, 0, 1), 't')
        since = {'nowhere': NOW_MS, 'a': NOW_MS + 1}
        self.assertEqual(
            zone_lines(scene.cell, since),
            (('a', NOW_MS + 1, 2, 1), ('nowhere', NOW_MS, 0, 0)),
        )


if __name__ == '__main__':
    unittest.main()
