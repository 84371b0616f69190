"""Tests of which log lines are written and which are dropped."""

import json
import logging
import os
import unittest
from unittest.mock import patch

from pythonjsonlogger.json import JsonFormatter

from swifthoist_engine.model import TaskId, UnitId
from swifthoist_instance.job_lines import JOB_OVER
from swifthoist_instance.jsonlogs import (
    DROPPED,
    MAX_BACKLOG,
    MAX_LINES_PER_S,
    BoundedHandler,
    LineFormatter,
)
from swifthoist_instance.run_lines import RunLines
from tests.engine.scenes import BATCH, Scene, gang, job_spec
from tests.instance.fakes import LoopClock, run

FLOOD = 2 * MAX_LINES_PER_S
PIPE_BYTES = 1_000_000


class LineTest(unittest.TestCase):
    """Lines are read in part as well."""

    def test_a_line_that_is_cut_tells_what_it_is_about(self) -> None:
        """The instance and its zone come last."""
        shared = {'instance': 'i', 'zone': 'z'}
        formatter = LineFormatter('%(message)s', static_fields=shared)
        line = formatter.format(
            logging.makeLogRecord({'msg': 'task given up', 'task': '0.0.3'})
        )
        self.assertEqual(
            list(json.loads(line)), ['message', 'task', 'instance', 'zone']
        )


class DroppedLinesTest(unittest.TestCase):
    """Under load the least informative lines are dropped first."""

    def setUp(self) -> None:
        """Log into a pipe."""
        reader, writer = os.pipe()
        self.reader = reader
        os.set_blocking(self.reader, False)
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.handler = BoundedHandler(writer)
        self.handler.setFormatter(JsonFormatter('%(message)s'))
        self.now_s = 1
        clock = patch('time.monotonic', lambda: self.now_s)
        clock.start()
        self.addCleanup(clock.stop)

    def _log(self, message: str, **fields: object) -> None:
        line = {'msg': message, 'levelno': logging.INFO, **fields}
        self.handler.emit(logging.makeLogRecord(line))

    def _read(self) -> list[dict[str, object]]:
        text = os.read(self.reader, PIPE_BYTES).decode()
        return [json.loads(line) for line in text.splitlines()]

    def test_a_flood_of_starts_drops_no_failure_and_no_job(self) -> None:
        """Otherwise failed ends are missing from the logs."""
        for number in range(FLOOD):
            self._log('start')
            self._log('ended', ending='done')
            if number % 10 == 0:
                self._log('ended', ending='failed')
                self._log(JOB_OVER, job=str(number))
        self.now_s += 1
        self._log('start')
        lines = self._read()
        messages = [line['message'] for line in lines]
        self.assertEqual(messages.count(JOB_OVER), FLOOD // 10)
        failed = [line for line in lines if line.get('ending') == 'failed']
        self.assertEqual(len(failed), FLOOD // 10)
        self.assertLess(len(lines), MAX_LINES_PER_S + FLOOD // 10 + 3)
        report = next(line for line in lines if line['message'] == DROPPED)
        self.assertEqual(report['lines'], dict(self.handler.dropped))
        self.assertEqual(set(self.handler.dropped), {'start', 'ended done'})

    def test_jobs_are_told_once_a_reader_that_stood_still_goes_on(self) -> None:
        """No line is cut, nothing blocks, and the backlog is bounded."""
        text = 'x' * 3_000
        for number in range(MAX_BACKLOG):
            self.now_s += 1
            self._log('start', text=text)
            self._log(JOB_OVER, number=number)
        lines = self._read()
        for _ in range(10):
            self.now_s += 1
            self._log('stop')
            lines += self._read()
        finished = [it['number'] for it in lines if it['message'] == JOB_OVER]
        self.assertEqual(finished, list(range(MAX_BACKLOG)))
        self.assertGreater(self.handler.dropped['start'], 0)


class GangLinesTest(unittest.TestCase):
    """The members of a gang share a line."""

    def test_members_that_tell_the_same_share_a_line(self) -> None:
        """Members that differ get their own lines.

        The reasons of stops are kept for the line of the job.
        """
        scene = Scene(job_spec('j', BATCH, gang(3)))
        scene.start(UnitId('j', 0, 0, -1), 'r', 's', 't')
        name = 'swifthoist_instance.run_lines'

        async def main() -> None:
            lines = RunLines(scene.cell, LoopClock())
            with self.assertLogs(name) as logs:
                for at, runner in enumerate('rst'):
                    task = TaskId('j', 0, 0, at)
                    outcome = 'late' if runner == 's' else 'taken'
                    lines.note('start', task, 1, runner, outcome=outcome)
                    found = scene.cell.find_run(task, 1)
                    assert found is not None
                    lines.note_stop(found, 'gang in part')
                lines.flush()
                self.assertEqual(len(logs.records), 1)
                lines.flush(everything=True)
            logged = [record.__dict__ for record in logs.records]
            self.assertEqual(logged[0]['runners'], {0: 'r', 1: 's', 2: 't'})
            self.assertEqual(logged[0]['task'], '0.0.*')
            self.assertEqual(logged[1]['runners'], {0: 'r', 2: 't'})
            self.assertEqual(logged[2]['runners'], {1: 's'})
            reasons = lines.take_reasons('j')
            unit = UnitId('j', 0, 0, -1)
            self.assertEqual(reasons, {(unit, 1): 'gang in part'})

        run(main)
