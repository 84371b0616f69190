"""Runs of the command line as processes, for the tests of its verbs."""

import functools
import json
import os
import subprocess
import tempfile
import unittest
from pathlib import Path
from typing import Any, ClassVar

from swifthoist_core.tokens import Identity, Role, make_token
from tests.programs import BIN, SECRET, WAIT_S, Program, Programs

OPERATOR = make_token(SECRET, Identity(Role.OPERATOR, 'ada'))
OWNER = make_token(SECRET, Identity(Role.OWNER, 'recife'))
NOWHERE = 'http://127.0.0.1:1'
ENTRY: dict[str, Any] = {
    'owner': 'recife',
    'class_name': 'chemistry-sort',
    'work': 'job',
}


class Ended:
    """A run of the command line that has ended."""

    def __init__(self, args: tuple[str, ...], **env: str) -> None:
        """Run it."""
        done = subprocess.run(
            (str(BIN / 'swifthoist'), *args),
            capture_output=True,
            text=True,
            stdin=subprocess.DEVNULL,
            env={'PATH': os.environ['PATH'], 'PAGER': 'cat', **env},
            timeout=WAIT_S,
        )
        self.code = done.returncode
        self.out = done.stdout
        self.err = done.stderr


class VerbsTest(unittest.TestCase):
    """What every test of a verb needs."""

    folder: ClassVar[Path]

    @classmethod
    def setUpClass(cls) -> None:
        """Make a folder for files."""
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.folder = Path(folder.name)

    def file(self, name: str, content: object) -> str:
        """Write a JSON file."""
        path = self.folder / name
        path.write_text(json.dumps(content))
        return str(path)

    def run_verb(
        self,
        *args: str,
        code: int = 0,
        said: tuple[str, ...] = (),
        url: str = NOWHERE,
        token: str = OPERATOR,
    ) -> Ended:
        """Run a verb; complaints go to standard error without traceback."""
        ended = Ended(args, SWIFTHOIST_URL=url, SWIFTHOIST_TOKEN=token)
        self.check(args, ended, code, said)
        return ended

    def check(
        self,
        args: tuple[str, ...],
        ended: Ended,
        code: int,
        said: tuple[str, ...],
    ) -> None:
        """Check how a run ended and what it complained of."""
        self.assertEqual(ended.code, code, f'{args}: {ended.err[-500:]}')
        self.assertNotIn('Traceback', ended.err)
        for text in said:
            self.assertIn(text, ended.err)
            self.assertNotIn(text, ended.out)


class RunningTest(VerbsTest):
    """Two instances over stand-ins, all of them processes."""

    programs: ClassVar[Programs]
    entries: ClassVar[tuple[Program, Program]]
    urls: ClassVar[str]

    @classmethod
    def setUpClass(cls) -> None:
        """Start the set and publish the example once."""
        super().setUpClass()
        cls.programs = Programs()
        cls.addClassCleanup(cls.programs.end)
        cls.programs.start_platform(workers=6, runners=2)
        cls.entries = (
            cls.programs.start_entry('e1'),
            cls.programs.start_entry('e2'),
        )
        cls.urls = ','.join(entry.url for entry in cls.entries)
        for entry in cls.entries:
            entry.wait_ready()
            entry.wait_for(functools.partial(_knows_workers, entry, 6))

    def ask(self, *args: str, **options: Any) -> Ended:
        """Run a verb against the instances."""
        return self.run_verb(*args, **{'url': self.urls, **options})

    def read(self, *args: str, **options: Any) -> Any:
        """Run a verb that prints JSON."""
        return json.loads(self.ask(*args, '--json', **options).out)

    def publish(self, entry_id: str, class_name: str) -> None:
        """Publish an entry for jobs of a class."""
        entry = {**ENTRY, 'class_name': class_name}
        path = self.file(f'{entry_id}.json', {entry_id: entry})
        self.ask('publish', path)

    def job(self, class_name: str, key: str, run_ms: int) -> str:
        """Write a job's file."""
        job = {
            'class': class_name,
            'key': key,
            'shape': {'parts': 2, 'accelerators': 2, 'adjacency': 'rack'},
            'steps': f'run_ms={run_ms}',
        }
        return self.file(f'{key}.json', job)


def _knows_workers(entry: Program, count: int) -> bool:
    view = entry.call('GET', '/v1/debug').json()
    return bool(view['workers'] == count)
