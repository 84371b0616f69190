"""Verbs that show and change the catalogue."""

from swifthoist_cli.inputs import read_entries, read_json_file
from swifthoist_cli.output import print_json, print_table, print_text
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
        print_json(self._api().get(f'/v1/catalogue/{entry_id}'))

    @verb
    def validate(self, file: str) -> None:
        """Check a catalogue file against the catalogue, without a change.

        :param file: JSON object of entries by id.
        """
        entries = read_entries(file)
        for named in entries:
            change = {'expected_version': 0, 'entry': named.entry}
            path = f'/v1/catalogue/{named.entry_id}/validation'
            self._api().call('POST', path, change)
        print_text(f'{len(entries)} entries are valid')

    @verb
    def publish(self, file: str) -> None:
        """Publish the entries of a catalogue file that are new.

        :param file: JSON object of entries by id.
        """
        for named in read_entries(file):
            self._put(named.entry_id, named.entry, 0)

    @verb
    def change(self, entry_id: str, file: str, version: int) -> None:
        """Change an entry.

        :param entry_id: id of the entry.
        :param file: JSON of the entry's new content.
        :param version: the version that you saw.
        """
        self._put(entry_id, read_json_file(file), version)

    @verb
    def withdraw(self, entry_id: str, version: int) -> None:
        """Withdraw an entry.

        :param entry_id: id of the entry.
        :param version: the version that you saw.
        """
        content = self._api().call(
            'DELETE',
            f'/v1/catalogue/{entry_id}',
            params={'expected_version': version},
        )
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
        change = {'expected_version': version, 'policy': read_json_file(file)}
        print_json(self._api().call('PUT', '/v1/policy', change))

    def _put(self, entry_id: str, entry: object, version: int) -> None:
        change = {'expected_version': version, 'entry': entry}
        path = f'/v1/catalogue/{entry_id}'
        content = self._api().call('PUT', path, change)
        print_text(f'{entry_id}: version {content["version"]} is in force')
