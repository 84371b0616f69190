"""Tests of the command line against a user's mistakes, as processes."""

from concurrent.futures import ThreadPoolExecutor
from typing import TypeAlias

from swifthoist_core.tokens import Identity, Role, make_token
from tests.cli.verbs import NOWHERE, OPERATOR, Ended, VerbsTest
from tests.programs import SECRET

SORT = 'recife-chemistry-sort'
Mistake: TypeAlias = tuple[tuple[str, ...], tuple[str, ...]]

_AT_ONCE = 4
VERBS = (
    'burn cancel catalogue change debug demo explain follow instances job jobs '
    'load policy publish report show standins submit token validate withdraw'
).split()


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
