"""Tests of each verb of the command line, as processes on loopback."""

import functools
import json
import os
import re
import subprocess
import tempfile
import unittest
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, ClassVar, TypeAlias

from swifthoist_core.tokens import Identity, Role, make_token
from tests.programs import BIN, SECRET, WAIT_S, Program, Programs

EXAMPLE = Path(__file__).parents[2] / 'docs' / 'examples' / 'catalogue.json'
OPERATOR = make_token(SECRET, Identity(Role.OPERATOR, 'ada'))
OWNER = make_token(SECRET, Identity(Role.OWNER, 'recife'))
NOWHERE = 'http://127.0.0.1:1'
SORT = 'recife-chemistry-sort'
ENTRY: dict[str, Any] = {
    'owner': 'recife',
    'class_name': 'chemistry-sort',
    'work': 'job',
}
Mistake: TypeAlias = tuple[tuple[str, ...], tuple[str, ...]]

_AT_ONCE = 4
VERBS = (
    'burn cancel catalogue change debug demo explain follow instances job jobs '
    'load policy publish report show standins submit token validate withdraw'
).split()


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


class UsageTest(VerbsTest):
    """A user's mistake is named, without any instance."""

    def test_help_tells_of_every_verb_and_each_verb_of_itself(self) -> None:
        """Help ends with exit code 0."""
        whole = self.run_verb('--help')
        with ThreadPoolExecutor(_AT_ONCE) as pool:
            helps = list(pool.map(lambda name: Ended((name, '--help')), VERBS))
        for name, own in zip(VERBS, helps, strict=True):
            with self.subTest(verb=name):
                self.assertRegex(whole.out + whole.err, rf'\b{name}\b')
                self.assertEqual(own.code, 0, own.err)
                self.assertIn('SYNOPSIS', own.out + own.err)
                self.assertNotIn('METADATA', own.out + own.err)

    def test_mistakes_are_named_with_exit_code_two(self) -> None:
        """Every finding is listed, with its place."""
        text = self.folder / 'text.json'
        text.write_text('{')
        deep = self.folder / 'deep.json'
        deep.write_text('[' * 100_000)
        scene = self.file('scene.json', {'colour': 1})
        shape = self.file('list.json', [])
        cases: tuple[Mistake, ...] = (
            (('nonesuch',), ('nonesuch',)),
            (('validate',), ('file',)),
            (('validate', f'{self.folder}/none'), ('No such file',)),
            (('validate', str(self.folder)), ('Is a directory',)),
            (('validate', str(text)), ('is not JSON',)),
            (('submit', str(deep)), ('nested too deeply',)),
            (('publish', shape), ('must be an object',)),
            (('demo', f'{self.folder}/none'), ('No such file',)),
            (('demo', scene), ('colour: is not', 'urls: is missing')),
            (('token', 'boss', 'ada', 'short'), ('role: ', 'secret: ')),
            (('token', 'owner', 'a:b', SECRET), ('name: ',)),
            (('standins', 'clock'), ('kind: must be one of',)),
            (
                ('standins', 'all', '--workers=x', '--colour=1'),
                ('colour: is no setting', 'workers: Expected'),
            ),
            (('standins', 'log', '--log_port=99999'), ('log: ', '65535')),
            (
                ('standins', 'all', '--log_port=99999', '--workers=1'),
                ('all: ', '65535'),
            ),
            (('load', 'golf'), ('mix: must be one of',)),
            (('load', 'pilha-certa', '--rate=x'), ('rate: must be',)),
            (('show', 'a/b'), ('entry_id: ',)),
            (('show', '../debug'), ('entry_id: ',)),
            (('job', '..'), ('job_id: ',)),
            (('withdraw', SORT, '-1'), ('version: ',)),
            (('withdraw', SORT, '9' * 30), ('version: ',)),
            (('change', SORT, scene, '--version=x'), ('version: ',)),
            (('report', '--form=x'), ('--form: must be one of',)),
        )
        with ThreadPoolExecutor(_AT_ONCE) as pool:
            ends = list(pool.map(self.run_mistake, cases))
        for (args, said), ended in zip(cases, ends, strict=True):
            with self.subTest(args=args):
                self.check(args, ended, 2, said)

    def run_mistake(self, mistake: Mistake) -> Ended:
        """Run a verb that nobody should get to hear of."""
        target = {'SWIFTHOIST_URL': NOWHERE, 'SWIFTHOIST_TOKEN': OPERATOR}
        return Ended(mistake[0], **target)

    def test_a_bad_target_is_named_and_an_absent_one_is_not_reached(
        self,
    ) -> None:
        """Exit code 2 for a bad one, 3 when nobody answers."""
        missing = Ended(('catalogue',))
        self.assertEqual(missing.code, 2)
        for name in ('SWIFTHOIST_URL', 'SWIFTHOIST_TOKEN'):
            self.assertIn(f'{name}): is missing', missing.err)
        for url in ('nonsense', 'ftp://127.0.0.1:1', 'http://127.0.0.1:x'):
            with self.subTest(url=url):
                self.run_verb('jobs', code=2, url=url, said=(url,))
        self.run_verb('jobs', code=2, token='né', said=('--token',))
        self.run_verb('jobs', code=3, said=('nothing was done',))

    def test_a_token_is_made_for_the_very_name_and_secret(self) -> None:
        """Texts that look like numbers stay as they are."""
        secret = '0012345678901234'
        made = self.run_verb('token', 'owner', '007', secret)
        expected = make_token(secret, Identity(Role.OWNER, '007'))
        self.assertEqual(made.out.strip(), expected)


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


class CatalogueVerbsTest(RunningTest):
    """Operators drive the system by the catalogue."""

    def test_the_example_is_valid_and_is_published_once(self) -> None:
        """Publishing again refuses each entry by name."""
        example = str(EXAMPLE)
        ids = list(json.loads(EXAMPLE.read_text()))
        self.assertIn('are valid', self.ask('validate', example).out)
        first = self.ask('publish', example)
        self.assertEqual(first.out.count('version 1 is in force'), len(ids))
        again = tuple(f'{entry_id}: refused: ' for entry_id in ids)
        self.ask('publish', example, code=1, said=again)
        listed = self.read('catalogue')['entries']
        self.assertLessEqual(set(ids), {item['entry_id'] for item in listed})
        self.assertIn(ids[0], self.ask('catalogue').out)

    def test_a_bad_file_is_refused_with_every_finding_and_its_place(
        self,
    ) -> None:
        """Findings of all entries come together; nothing is published."""
        limits = {'rate_per_s': -1, 'burst': 'x'}
        shape = {'parts': 100, 'accelerators': 8}
        promise = {'guarantee': [{'shape': shape}]}
        malformed = {
            'a b': {**ENTRY, 'limits': limits, 'colour': 1},
            'c': {'work': 'job'},
            'd': 5,
        }
        said = (
            'a b: its id',
            'a b.limits.rate_per_s',
            'a b.limits.burst',
            'a b.colour',
            'c.owner',
            'c.class_name',
            'd: must be',
        )
        path = self.file('malformed.json', malformed)
        self.ask('validate', path, code=2, said=said)
        self.ask('publish', path, code=2, said=said)
        unfit = {
            'big': {**ENTRY, 'class_name': 'big', **promise},
            'lone': {**ENTRY, 'class_name': 'lone', 'work': 'request'},
        }
        path = self.file('unfit.json', unfit)
        said = ('big: guarantee[0]: ', 'lone: entry.service: is missing')
        self.ask('validate', path, code=1, said=said)
        self.ask('show', 'big', code=1, said=('no such entry',))

    def test_of_two_racing_changes_one_wins_and_the_other_is_told(
        self,
    ) -> None:
        """Both start from version 1, at different instances."""
        self.publish('raced', 'raced')
        seen = self.read('show', 'raced')['version']
        racers = []
        for entry, urgency in zip(
            self.entries, ('batch', 'urgent'), strict=True
        ):
            change = {**ENTRY, 'class_name': 'raced', 'urgency': urgency}
            path = self.file(f'{urgency}.json', change)
            verb = ('change', 'raced', path, str(seen), f'--url={entry.url}')
            racers.append(
                subprocess.Popen(
                    (str(BIN / 'swifthoist'), *verb, f'--token={OPERATOR}'),
                    stdout=subprocess.PIPE,
                    stderr=subprocess.PIPE,
                    text=True,
                )
            )
        ends = [racer.communicate(timeout=WAIT_S) for racer in racers]
        codes = [racer.returncode for racer in racers]
        self.assertEqual(sorted(codes), [0, 1], ends)
        out, err = ends[codes.index(1)]
        self.assertEqual(out, '')
        self.assertIn('refused: version conflict', err)
        shown = self.read('show', 'raced')
        self.assertEqual(shown['version'], 2)
        winner = ('batch', 'urgent')[codes.index(0)]
        self.assertEqual(shown['entry']['urgency'], winner)

    def test_a_withdrawn_entry_is_gone_and_its_version_goes_on(self) -> None:
        """A stale version is refused first."""
        self.publish('brief', 'brief')
        conflict = ('refused: version conflict',)
        self.ask('withdraw', 'brief', '7', code=1, said=conflict)
        self.assertIn('version 2', self.ask('withdraw', 'brief', '1').out)
        self.ask('show', 'brief', code=1, said=('no such entry',))

    def test_a_policy_changes_by_version_and_a_bad_one_gets_findings(
        self,
    ) -> None:
        """A malformed document is refused as the caller's fault."""
        seen = str(self.read('policy')['version'])
        bad = self.file('bad.json', {'reclaim_ms': -2, 'colour': 1})
        said = ('policy.reclaim_ms: ', 'policy.colour: ')
        self.ask('policy', bad, seen, code=1, said=said)
        good = self.file('good.json', {'reclaim_ms': 700})
        self.ask('policy', good, seen)
        self.ask('policy', good, seen, code=1, said=('version conflict',))
        self.assertEqual(self.read('policy')['policy']['reclaim_ms'], 700)

    def test_an_owner_and_a_forged_token_change_nothing(self) -> None:
        """Both are refused with the reason."""
        self.ask('catalogue', code=1, token=OWNER, said=('not allowed',))
        self.ask('jobs', code=1, token='owner:a:0', said=('no valid token',))

    def test_what_is_no_instance_is_told_apart(self) -> None:
        """The platform's log answers in another form."""
        self.ask('catalogue', url=self.programs.log_url, code=1, said=('404',))


class JobVerbsTest(RunningTest):
    """Owners submit jobs and follow them."""

    @classmethod
    def setUpClass(cls) -> None:
        """Publish an entry for the jobs."""
        super().setUpClass()
        cls().publish('sort', 'sort')

    def test_a_job_is_followed_to_its_end_and_reported(self) -> None:
        """The owner sees it; the same key gives the same job."""
        path = self.job('sort', 'whole', run_ms=50)
        job_id = self.read('submit', path, token=OWNER)['job_id']
        again = self.read('submit', path, token=OWNER)['job_id']
        self.assertEqual(again, job_id)
        followed = self.ask('follow', job_id, token=OWNER)
        self.assertIn(f'{job_id}: done', followed.out)
        self.assertIn(job_id, self.ask('jobs', token=OWNER).out)
        shown = self.read('job', job_id, token=OWNER)
        self.assertEqual(shown['status'], 'done')

    def test_a_running_job_is_explained_and_cancelled(self) -> None:
        """Following a cancelled job ends with exit code 1."""
        path = self.job('sort', 'long', run_ms=60_000)
        job_id = self.read('submit', path, token=OWNER)['job_id']
        told = self.read('explain', job_id, token=OWNER)
        self.assertEqual(told['job_id'], job_id)
        self.ask('cancel', job_id, token=OWNER)
        ended = self.ask('follow', job_id, token=OWNER, code=1)
        self.assertIn('cancelled', ended.out)
        self.ask('cancel', job_id, token=OWNER)

    def test_a_job_that_can_never_run_is_refused_with_the_reason(self) -> None:
        """So are unknown jobs, classes and roles."""
        job = {
            'class': 'sort',
            'key': 'never',
            'shape': {'parts': 1, 'accelerators': 64},
        }
        never = self.file('never.json', job)
        said = ('no workers could ever hold this shape',)
        self.ask('submit', never, code=1, token=OWNER, said=said)
        other = self.file('other.json', {**job, 'class': 'other'})
        said = ('class: owner recife has no entry',)
        self.ask('submit', other, code=1, token=OWNER, said=said)
        self.ask('submit', never, code=1, said=('not allowed',))
        said = ('job_id: no such job',)
        self.ask('follow', 'none', code=1, token=OWNER, said=said)


class ReportVerbsTest(RunningTest):
    """Managers read reports; operators look at instances."""

    def test_use_is_reported_in_every_form(self) -> None:
        """All forms tell of the same owner and class."""
        self.publish('sort', 'sort')
        job = self.job('sort', 'counted', run_ms=50)
        job_id = self.read('submit', job, token=OWNER)['job_id']
        self.ask('follow', job_id, token=OWNER)
        self.assertIn('totals (1)', self.ask('report').out)
        line = self.read('report', token=OWNER)['lines'][0]
        self.assertEqual(
            (line['owner'], line['class_name']), ('recife', 'sort')
        )
        rows = self.ask('report', '--form=csv', '--table=spans').out
        self.assertEqual(rows.count(f'recife,sort,{job_id}'), 2)
        page = self.folder / 'page.html'
        self.ask('report', f'--html={page}')
        self.assertIn('recife', page.read_text())
        self.assertEqual(self.read('report', '--owner=nobody')['lines'], [])
        self.ask('report', '--month=May', code=1, said=('month: ',))
        self.ask('report', '--table=x', code=2, said=('table: ',))
        no_file = f'--html={self.folder}/none/page.html'
        self.ask('report', no_file, code=2, said=('No such file',))

    def test_the_exit_code_of_burn_is_its_alert(self) -> None:
        """Without a fault it is 0 and the report says so."""
        self.assertIn('exit code 0', self.ask('burn').out)
        self.assertIn('lines', self.read('burn'))
        self.assertIn('budget left', self.ask('burn', '--form=csv').out)

    def test_instances_and_settings_are_shown_without_the_secret(self) -> None:
        """The cell's holder is among them."""
        shown = self.read('instances')['instances']
        names = [view['instance'] for view in shown]
        self.assertEqual(names, ['e1', 'e2'])
        self.assertRegex(self.ask('instances').out, r'(?m)^e1 +zone-0 +live')
        view = self.ask('debug').out
        self.assertNotIn(SECRET, view)
        self.assertTrue(re.search(r'"\(left out\)"', view))

    def test_load_is_played_and_summed_up(self) -> None:
        """Each one that was sent is counted with its outcome."""
        flags = ('--total=10', '--rate=100', '--seconds=2')
        summary = json.loads(
            self.ask('load', 'saltamontes', *flags, token=OWNER).out
        )
        counted = sum(
            kind[name]
            for kind in summary['kinds']
            for name in ('done', 'not_run', 'unknown')
        )
        self.assertEqual(counted, summary['scheduled'])
        self.assertEqual(counted, 10)
