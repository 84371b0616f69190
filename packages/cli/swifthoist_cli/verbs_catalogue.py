"""Verbs that show and change the catalogue."""

from swifthoist_cli.client import CallError
from swifthoist_cli.inputs import (
    read_entries,
    read_id,
    read_json_file,
    read_version,
)
from swifthoist_cli.output import (
    ExitCode,
    print_json,
    print_refusal,
    print_table,
    print_text,
)
from swifthoist_cli.verbs import Verbs, verb


class CatalogueVerbs(Verbs):
    """Verbs for operators."""

    @verb
    def catalogue(self) -> None:
        """List the catalogue entries in force."""
        content = self._api().get('/v1/catalogue')
        if self._json:
            print_json(content)
            return
        rows = [
            {
                'entry_id': item['entry_id'],
                'version': item['version'],
                'owner': item['entry']['owner'],
                'class_name': item['entry']['class_name'],
                'work': item['entry']['work'],
                'guarantees': len(item['entry']['guarantee']),
            }
            for item in content['entries']
        ]
        columns = ('entry_id', 'version', 'owner', 'class_name', 'work')
        print_table(rows, (*columns, 'guarantees'))

    @verb
    def show(self, entry_id: str) -> None:
        """Show one catalogue entry with its version.

        :param entry_id: id of the entry.
        """
        path = _path_of(read_id('entry_id', entry_id))
        print_json(self._api().get(path))

    @verb
    def validate(self, file: str) -> int:
        """Check a catalogue file against the catalogue, without a change.

        Each entry is checked by itself beside what is in force.

        :param file: JSON object of entries by id.
        :returns: 0 if every entry would be accepted, else 1.
        """
        entries = read_entries(file)
        api = self._api()
        refused = 0
        for named in entries:
            change = {'expected_version': 0, 'entry': named.entry}
            path = f'{_path_of(named.entry_id)}/validation'
            try:
                api.call('POST', path, change)
            except CallError as exc:
                refused += 1
                print_refusal(exc, named.entry_id)
        if refused:
            return ExitCode.REFUSED
        print_text(f'{len(entries)} entries are valid')
        return ExitCode.OK

    @verb
    def publish(self, file: str) -> int:
        """Publish the entries of a catalogue file that are new.

        An entry that is refused does not keep the others back.

        :param file: JSON object of entries by id.
        :returns: 0 if every entry is in force, else 1.
        """
        refused = 0
        for named in read_entries(file):
            try:
                self._put(named.entry_id, named.entry, 0)
            except CallError as exc:
                refused += 1
                print_refusal(exc, named.entry_id)
        return ExitCode.REFUSED if refused else ExitCode.OK

    @verb
    def change(self, entry_id: str, file: str, version: int) -> None:
        """Change an entry.

        :param entry_id: id of the entry.
        :param file: JSON of the entry's new content.
        :param version: the version that you saw.
        """
        seen = read_version(version)
        entry = read_json_file(file)
        self._put(read_id('entry_id', entry_id), entry, seen)

    @verb
    def withdraw(self, entry_id: str, version: int) -> None:
        """Withdraw an entry.

        :param entry_id: id of the entry.
        :param version: the version that you saw.
        """
        path = _path_of(read_id('entry_id', entry_id))
        params = {'expected_version': read_version(version)}
        content = self._api().call('DELETE', path, params=params)
        print_text(f'{entry_id}: withdrawn as version {content["version"]}')

    @verb
    def policy(self, file: str | None = None, version: int = 0) -> None:
        """Show the settings of placement, or change them.

        :param file: JSON of the new settings; none to show them.
        :param version: the version that you saw.
        """
        if file is None:
            print_json(self._api().get('/v1/policy'))
            return
        seen = read_version(version)
        change = {'expected_version': seen, 'policy': read_json_file(file)}
        print_json(self._api().call('PUT', '/v1/policy', change))

    def _put(self, entry_id: str, entry: object, version: int) -> None:
        change = {'expected_version': version, 'entry': entry}
        content = self._api().call('PUT', _path_of(entry_id), change)
        print_text(f'{entry_id}: version {content["version"]} is in force')


def _path_of(entry_id: str) -> str:
    return f'/v1/catalogue/{entry_id}'
