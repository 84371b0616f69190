"""Tests of each verb of the command line, as processes on loopback."""

import json
import re
import subprocess
from pathlib import Path

from tests.cli.verbs import ENTRY, OPERATOR, OWNER, RunningTest
from tests.programs import BIN, SECRET, WAIT_S

EXAMPLE = Path(__file__).parents[2] / 'docs' / 'examples' / 'catalogue.json'


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
