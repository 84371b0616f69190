"""Tests of the reporting of the program's own faults."""

import logging
import unittest

import anyio

from swifthoist_engine.faults import Fault, FaultSource
from swifthoist_instance.faults import (
    FORGET_MS,
    MAX_LOGGED_FAULTS,
    OVERFLOW_NAME,
    QUARANTINE_MS,
    Faults,
    Quarantine,
)
from tests.engine.scenes import CATALOGUE, view
from tests.instance.fakes import LoopClock, run

_LOGGER = 'swifthoist_instance.faults'


def make_fault(kind: FaultSource, name: str) -> Fault:
    """Make a fault with a traceback."""
    try:
        raise ValueError('a fault')
    except ValueError as exc:
        return Fault(kind, name, exc)


class TellingTest(unittest.TestCase):
    """Each fault is logged once, and counted each time."""

    def test_a_fault_that_stays_is_logged_once(self) -> None:
        """The line has the job, the error's class and a traceback."""

        async def main() -> None:
            faults = Faults(LoopClock())
            for _ in range(1_000):
                faults.note(*make_fault(FaultSource.JOB, 'j'))
            self.assertEqual(faults.count, 1_000)
            reported = [
                (row['name'], row['count']) for row in faults.describe()
            ]
            self.assertEqual(reported, [('j', 1_000)])

        with self.assertLogs(_LOGGER, 'ERROR') as logs:
            run(main)
        self.assertEqual(len(logs.records), 1)
        line = logs.records[0]
        self.assertEqual((line.job, line.error), ('j', 'ValueError'))
        self.assertIn('Traceback', logging.Formatter().format(line))

    def test_many_faults_are_logged_together(self) -> None:
        """This bounds the number of log lines and the memory."""

        async def main() -> None:
            faults = Faults(LoopClock())
            for number in range(10 * MAX_LOGGED_FAULTS):
                faults.note(*make_fault(FaultSource.JOB, f'j{number}'))
            rows = faults.describe()
            self.assertEqual(len(rows), MAX_LOGGED_FAULTS + 1)
            self.assertEqual(rows[-1]['name'], OVERFLOW_NAME)
            self.assertEqual(rows[-1]['count'], 9 * MAX_LOGGED_FAULTS)

        with self.assertLogs(_LOGGER, 'ERROR') as logs:
            run(main)
        self.assertEqual(len(logs.records), MAX_LOGGED_FAULTS + 1)

    def test_a_fault_that_comes_back_is_logged_again(self) -> None:
        """It is forgotten after ``FORGET_MS`` without a recurrence."""

        async def main() -> None:
            faults = Faults(LoopClock())
            for _ in range(2):
                faults.note(*make_fault(FaultSource.JOB, 'j'))
                await anyio.sleep(FORGET_MS / 1_000)
            self.assertEqual(faults.describe(), [])

        with self.assertLogs(_LOGGER, 'ERROR') as logs:
            run(main)
        self.assertEqual(len(logs.records), 2)


class AsideTest(unittest.TestCase):
    """Jobs and runners that decisions failed on are quarantined."""

    def _renew_after(self, pause_ms: int, version: int) -> Quarantine:
        quarantines: list[Quarantine] = []

        async def main() -> None:
            clock = LoopClock()
            quarantine = Quarantine(Faults(clock), clock)
            quarantines.append(quarantine)
            quarantine.renew(CATALOGUE)
            quarantine.note([make_fault(FaultSource.JOB, 'j')])
            await anyio.sleep((QUARANTINE_MS - 100) / 1_000)
            quarantine.note([make_fault(FaultSource.RUNNER, 'runner-0')])
            quarantine.renew(CATALOGUE)
            quarantine.note([make_fault(FaultSource.JOB, 'j')])
            self.assertEqual(quarantine.jobs, {'j'})
            self.assertEqual(quarantine.faults.count, 2)
            self.assertEqual(
                quarantine.filter_runners([view(0), view(1)]), (view(1),)
            )
            await anyio.sleep(pause_ms / 1_000)
            quarantine.renew(CATALOGUE.__class__(version, (), (), 0))

        with self.assertLogs(_LOGGER, 'ERROR'):
            run(main)
        return quarantines[0]

    def test_all_of_it_is_looked_at_again_at_once(self) -> None:
        """The next decision then shows which of them still fail."""
        self.assertEqual(len(self._renew_after(99, CATALOGUE.version)), 2)
        self.assertEqual(len(self._renew_after(100, CATALOGUE.version)), 0)

    def test_another_configuration_may_have_mended_it(self) -> None:
        """So the quarantine ends before its pause is over."""
        self.assertEqual(len(self._renew_after(0, CATALOGUE.version + 1)), 0)
