"""Tests of the command line, as a process."""

import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import anyio.to_thread

from swifthoist_emulator.lives import StepWork, write_payload
from swifthoist_emulator.stage import Stage
from swifthoist_platform import names
from tests.system.stage import StageCase

BIN = Path(sys.executable).parent / 'swifthoist'
WORK = StepWork(200, (1_000, 1_000, 1))
ID = '00000000000000aa'


def swifthoist(*args: str) -> subprocess.CompletedProcess[str]:
    """Run the command line."""
    command = (str(BIN), *args)
    return subprocess.run(command, capture_output=True, text=True, timeout=60)


class ValidateTest(unittest.TestCase):
    """Documents are checked without any instance."""

    def check(
        self, document: dict[str, object], *args: str
    ) -> subprocess.CompletedProcess[str]:
        """Validate a document."""
        with tempfile.NamedTemporaryFile('w') as file:
            json.dump(document, file)
            file.flush()
            return swifthoist('validate', file.name, *args)

    def test_a_sound_job_has_no_findings(self) -> None:
        """The exit code is 0."""
        checked = self.check({names.SPEC: 'x', names.STEPS: [{names.COUNT: 2}]})
        self.assertEqual(checked.returncode, 0, checked.stderr)

    def test_every_finding_is_told_with_its_place(self) -> None:
        """The exit code is that of wrong input."""
        checked = self.check(
            {names.STEPS: [{names.CPU: -1}, {names.DEPENDS_ON: [4]}]}
        )
        self.assertEqual(checked.returncode, 2)
        self.assertIn(f'{names.STEPS}[0].{names.CPU}', checked.stderr)
        self.assertIn('steps[1].depends_on', checked.stderr)

    def test_a_configuration_is_checked_as_such(self) -> None:
        """One without a version is none."""
        checked = self.check({names.ROUTES: []}, '--kind=config')
        self.assertEqual(checked.returncode, 2)

    def test_an_instance_that_does_not_answer_is_told_apart(self) -> None:
        """Nothing was done."""
        checked = swifthoist('jobs', '--url=http://127.0.0.1:9')
        self.assertEqual(checked.returncode, 3)

    def test_a_target_is_needed(self) -> None:
        """By flag or environment."""
        checked = swifthoist('jobs', '--url=nowhere')
        self.assertEqual(checked.returncode, 2)


class ApiTest(StageCase):
    """The own interface of a running instance."""

    def test_a_job_is_submitted_followed_and_accounted(self) -> None:
        """In the product's own terms."""

        async def scene(stage: Stage) -> None:
            stage.world.witness.submitted.add(ID)
            await anyio.to_thread.run_sync(self.drive, stage)

        self.run_scenario(scene, instances=1)

    def refuse(self, job: dict[str, object], url: str) -> None:
        """Submit a job that the fold could not bear."""
        with tempfile.NamedTemporaryFile('w') as file:
            json.dump(job, file)
            file.flush()
            sent = swifthoist('submit', f'{ID[:-1]}b', file.name, url)
        self.assertEqual(sent.returncode, 1)
        for place in ('depends_on', 'width', 'less than nothing'):
            self.assertIn(place, sent.stderr)

    def drive(self, stage: Stage) -> None:
        """Drive an instance by the command line."""
        url = f'--url=http://{stage.instances[0].internal}'
        job: dict[str, object] = {
            'queue': 'batch',
            'team': 'red',
            'payload': write_payload((WORK,)),
            'steps': [{'width': 2, 'accelerators': 1, 'estimate_ms': 200}],
        }
        with tempfile.NamedTemporaryFile('w') as file:
            json.dump(job, file)
            file.flush()
            sent = swifthoist('submit', ID, file.name, url)
        self.assertEqual(sent.returncode, 0, sent.stderr)
        job['steps'] = [{'width': 0, 'depends_on': [3], 'cpu': -1}]
        self.refuse(job, url)
        state = ''
        while state != 'complete':
            shown = swifthoist('job', ID, url)
            self.assertEqual(shown.returncode, 0, shown.stderr)
            state = json.loads(shown.stdout)['state']
        usage = swifthoist('usage', url, '--json')
        line = json.loads(usage.stdout)[0]
        self.assertEqual((line['team'], line['queue']), ('red', 'batch'))
        self.assertEqual(line['runs'], {'done': 2})
        self.assertIn('red,batch', swifthoist('usage', url, '--csv').stdout)
        self.assertEqual(swifthoist('burn', url).returncode, 0)
        self.assertIn('"holds": true', swifthoist('state', url).stdout)
        unknown = swifthoist('job', '0' * 16, url)
        self.assertEqual(unknown.returncode, 1)
