"""Tests of the command line, run as a separate process."""

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

COMMAND = Path(sys.executable).parent / 'swifthoist'
WORK = StepWork(200, (1_000, 1_000, 1))
ID = '00000000000000aa'


def run_swifthoist(*args: str) -> subprocess.CompletedProcess[str]:
    """Run the swifthoist command."""
    command = (str(COMMAND), *args)
    return subprocess.run(command, capture_output=True, text=True, timeout=60)


class ValidateTest(unittest.TestCase):
    """Documents are validated without an instance."""

    def validate(
        self, document: dict[str, object], *args: str
    ) -> subprocess.CompletedProcess[str]:
        """Validate a document in a temporary file."""
        with tempfile.NamedTemporaryFile('w') as file:
            json.dump(document, file)
            file.flush()
            return run_swifthoist('validate', file.name, *args)

    def test_a_sound_job_has_no_findings(self) -> None:
        """The command exits with 0."""
        checked = self.validate(
            {names.SPEC: 'x', names.STEPS: [{names.COUNT: 2}]}
        )
        self.assertEqual(checked.returncode, 0, checked.stderr)

    def test_every_finding_is_told_with_its_place(self) -> None:
        """The exit code is that of invalid input."""
        checked = self.validate(
            {names.STEPS: [{names.CPU: -1}, {names.DEPENDS_ON: [4]}]}
        )
        self.assertEqual(checked.returncode, 2)
        self.assertIn(f'{names.STEPS}[0].{names.CPU}', checked.stderr)
        self.assertIn('steps[1].depends_on', checked.stderr)

    def test_a_configuration_is_checked_as_such(self) -> None:
        """A configuration without a version is invalid."""
        checked = self.validate({names.ROUTES: []}, '--kind=config')
        self.assertEqual(checked.returncode, 2)

    def test_an_instance_that_does_not_answer_is_told_apart(self) -> None:
        """It has its own exit code; nothing was carried out."""
        for command in ('jobs', 'speeds'):
            checked = run_swifthoist(command, '--url=http://127.0.0.1:9')
            self.assertEqual(checked.returncode, 3)
            self.assertNotIn('Traceback', checked.stderr)

    def test_a_target_is_needed(self) -> None:
        """The flag or the environment has to give a valid address."""
        checked = run_swifthoist('jobs', '--url=nowhere')
        self.assertEqual(checked.returncode, 2)


class ApiTest(StageCase):
    """The commands against a running instance."""

    def test_a_job_is_submitted_followed_and_accounted(self) -> None:
        """Submit a job, poll its state and read the usage."""

        async def scenario(stage: Stage) -> None:
            stage.world.checker.submitted.add(ID)
            await anyio.to_thread.run_sync(self.run_commands, stage)

        self.run_scenario(scenario, instances=1)

    def submit_invalid(self, job: dict[str, object], url: str) -> None:
        """Submit a job that could not be folded; it is refused."""
        with tempfile.NamedTemporaryFile('w') as file:
            json.dump(job, file)
            file.flush()
            result = run_swifthoist('submit', f'{ID[:-1]}b', file.name, url)
        self.assertEqual(result.returncode, 1)
        for place in ('depends_on', 'width', 'less than nothing'):
            self.assertIn(place, result.stderr)

    def run_commands(self, stage: Stage) -> None:
        """Run the commands against an instance."""
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
            result = run_swifthoist('submit', ID, file.name, url)
        self.assertEqual(result.returncode, 0, result.stderr)
        job['steps'] = [{'width': 0, 'depends_on': [3], 'cpu': -1}]
        self.submit_invalid(job, url)
        state = ''
        while state != 'complete':
            shown = run_swifthoist('job', ID, url)
            self.assertEqual(shown.returncode, 0, shown.stderr)
            state = json.loads(shown.stdout)['state']
        usage = run_swifthoist('usage', url, '--json')
        line = json.loads(usage.stdout)[0]
        self.assertEqual((line['team'], line['queue']), ('red', 'batch'))
        self.assertEqual(line['runs'], {'done': 2})
        self.assertIn('red,batch', run_swifthoist('usage', url, '--csv').stdout)
        self.assertEqual(run_swifthoist('burn', url).returncode, 0)
        self.assertIn('"holds": true', run_swifthoist('state', url).stdout)
        unknown = run_swifthoist('job', '0' * 16, url)
        self.assertEqual(unknown.returncode, 1)
