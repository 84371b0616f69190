"""Tests of the breakdown of jobs' lost time by cause."""

import json
import unittest

from experiments.lines import read_lines
from experiments.losses import accounts_of, summarize

STEPS = [{'tasks': 1, 'estimate_ms': 1_000, 'need': [1, 1, 1]}]


def _line(at_s: float, message: str, **fields: object) -> str:
    document = {'time': '', 'message': message, 'job': 'j', **fields}
    return f'  {at_s} edge-1 {json.dumps(document)}'


def _accepted(at_s: float) -> str:
    return _line(
        at_s, 'recorded', record='Submitted', steps=STEPS, priority=0,
        slack=1.5, objective_ms=250, team='red',
    )  # fmt: skip


def _start(at_s: float, run: int) -> str:
    return _line(at_s, 'start', task='0.0.0', run=run, outcome='taken')


def _end(at_s: float, run: int, ending: str) -> str:
    return _line(at_s, 'ended', task='0.0.0', run=run, ending=ending)


class AccountTest(unittest.TestCase):
    """A job's time is split by cause."""

    def test_refused_tries_and_failed_runs_are_told_apart(self) -> None:
        """The time counts from the first refused call."""
        lines = [
            _line(0, 'refused', method='POST'),
            _accepted(0.5),
            _start(0.7, 1),
            _end(3.7, 1, 'failed'),
            _start(3.9, 2),
            _end(4.9, 2, 'done'),
        ]
        account = accounts_of(read_lines(lines))[0]
        self.assertAlmostEqual(account.parts['not accepted'], 0.5)
        self.assertAlmostEqual(account.parts['no room'], 0.2)
        self.assertAlmostEqual(account.parts['run failed'], 3.0)
        self.assertAlmostEqual(account.parts['last run'], 1.0)
        self.assertEqual(account.verdict, 'late')
        self.assertEqual(account.cause, 'run failed')

    def test_a_wait_on_a_slow_store_is_no_lack_of_room(self) -> None:
        """Every instance tells how long the store was slow."""
        lines = [
            _accepted(0.5),
            _line(2.5, 'store no longer slow', lasted_ms=1_500),
            _line(2.6, 'store no longer slow', lasted_ms=1_500),
            _start(3.0, 1),
            _end(4.0, 1, 'done'),
        ]
        account = accounts_of(read_lines(lines))[0]
        self.assertAlmostEqual(account.parts['store slow'], 1.6)
        self.assertAlmostEqual(account.parts['no room'], 0.9)

    def test_a_job_that_was_never_accepted_counts_with_its_refusals(
        self,
    ) -> None:
        """Its callers wait as much as others."""
        lines = [_line(0, 'refused', method='POST', why='log away')]
        account = accounts_of(read_lines(lines))[0]
        self.assertEqual(account.verdict, 'not accepted')
        self.assertEqual(account.cause, 'not accepted: log away')

    def test_a_pause_of_the_holder_is_no_lack_of_room(self) -> None:
        """No run starts or ends anywhere meanwhile: nobody holds the cell."""
        lines = [
            _start(0, 0),
            _accepted(0.5),
            _start(3.0, 1),
            _end(4.0, 1, 'done'),
        ]
        lines[0] = lines[0].replace('"j"', '"another"')
        account = accounts_of(read_lines(lines))[0]
        self.assertAlmostEqual(account.parts['no holder'], 2.5)
        self.assertEqual(account.cause, 'no holder')

    def test_members_of_a_gang_that_share_a_line_are_told_apart(self) -> None:
        """Otherwise the gang would count as a task that was never done."""
        gang = {'task': '0.0.*', 'run': 1, 'runners': {'0': 'r', '1': 's'}}
        lines = [
            _accepted(0.5),
            _line(0.7, 'start', outcome='taken', **gang),
            _line(1.7, 'ended', ending='done', **gang),
        ]
        moments = list(read_lines(lines))
        runners = [moment.line.get('runner') for moment in moments]
        self.assertEqual(runners, [None, 'r', 's', 'r', 's'])
        self.assertEqual(accounts_of(moments)[0].verdict, 'in time')

    def test_lines_without_a_time_of_a_play_go_by_their_own(self) -> None:
        """Logs outside of the simulation carry only a time of day."""
        text = '{"time": "2026-12-04 05:00:01,500", "message": "start"}'
        later = text.replace('01,500', '02,250')
        moments = list(read_lines([text, later]))
        self.assertAlmostEqual(moments[1].at_s - moments[0].at_s, 0.75)

    def test_a_job_that_is_canceled_is_not_owed(self) -> None:
        """It appears in no account."""
        lines = [_accepted(0), _line(1.0, 'recorded', record='Canceled')]
        self.assertEqual(accounts_of(read_lines(lines)), [])

    def test_jobs_that_were_not_done_are_summed_by_cause(self) -> None:
        """A job that never started has the cause 'never started'."""
        accounts = accounts_of(read_lines([_accepted(0)]))
        first = next(iter(summarize(accounts)))
        self.assertEqual(first['cause'], 'never started')
        self.assertEqual(first['not done'], 1)


if __name__ == '__main__':
    unittest.main()
