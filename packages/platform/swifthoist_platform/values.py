"""Reading values of the platform's documents, whatever they hold.

A document may lack fields, or have fields of other types. Each reader gives
the default then, and notes what was wrong.
"""

from collections.abc import Callable, Mapping
from typing import Any, TypeAlias, TypeVar

import msgspec

from swifthoist_core.errors import Finding

MAX_NUMBER = 1 << 53
"""Largest number of a document: whole numbers beyond it are not exact in JSON,
and records of the log could not hold them."""

Document: TypeAlias = Mapping[str, Any]
_Item = TypeVar('_Item')


class DocumentReader:
    """Reads one document and collects what is wrong with it.

    :ivar findings: what was wrong so far.
    """

    def __init__(
        self,
        document: object,
        location: str = '',
        findings: list[Finding] | None = None,
    ) -> None:
        """Read from a document.

        :param document: what was decoded; anything but a table is wrong.
        :param location: path of the document, for findings.
        :param findings: list that findings are added to.
        """
        self.findings: list[Finding] = [] if findings is None else findings
        self._place = location
        self._table: Document = {}
        if isinstance(document, dict):
            self._table = document
        else:
            self._note('', 'is no table')

    def has(self, name: str) -> bool:
        """Tell whether a field is there and not null.

        :param name: name of the field.
        :returns: whether it is.
        """
        return self._table.get(name) is not None

    def string(self, name: str, default: str = '') -> str:
        """Read a text.

        :param name: name of the field.
        :param default: value if it is absent or no text.
        :returns: the text.
        """
        found = self._table.get(name)
        if found is None:
            return default
        if isinstance(found, str):
            return found
        self._note(name, 'is no text')
        return default

    def number(self, name: str, default: float = 0) -> float:
        """Read a number that is not negative.

        :param name: name of the field.
        :param default: value if it is absent or no such number.
        :returns: the number.
        """
        found = self._table.get(name)
        if found is None:
            return default
        if isinstance(found, bool) or not isinstance(found, int | float):
            self._note(name, 'is no number')
            return default
        if not 0 <= found <= MAX_NUMBER:
            self._note(name, 'is out of range')
            return default
        return found

    def integer(self, name: str, default: int = 0) -> int:
        """Read a whole number that is not negative.

        :param name: name of the field.
        :param default: value if it is absent or no such number.
        :returns: the number.
        """
        return int(self.number(name, default))

    def timestamp_ms(self, name: str) -> int:
        """Read a time in whole milliseconds; 0 if it is absent or none.

        :param name: name of the field.
        :returns: the time since the Unix epoch.
        """
        found = self.number(name)
        if found == int(found):
            return int(found)
        self._note(name, 'is no whole number')
        return 0

    def boolean(self, name: str) -> bool:
        """Read a truth value; false if it is absent.

        :param name: name of the field.
        :returns: the value.
        """
        found = self._table.get(name)
        if found is None or isinstance(found, bool):
            return bool(found)
        self._note(name, 'is no truth value')
        return False

    def array(self, name: str) -> list[Any]:
        """Read a list; empty if it is absent.

        :param name: name of the field.
        :returns: its rows, of any type.
        """
        found = self._table.get(name)
        if found is None:
            return []
        if isinstance(found, list):
            return found
        self._note(name, 'is no list')
        return []

    def strings(self, name: str) -> tuple[str, ...]:
        """Read a list of texts.

        :param name: name of the field.
        :returns: the rows that are texts.
        """
        rows = self.array(name)
        found = tuple(row for row in rows if isinstance(row, str))
        if len(found) < len(rows):
            self._note(name, 'has rows that are no texts')
        return found

    def nested(self, name: str) -> 'DocumentReader':
        """Read a table; an empty one if it is absent.

        :param name: name of the field.
        :returns: a reader of it that shares the findings.
        """
        found = self._table.get(name)
        location = f'{self._place}{name}.'
        return DocumentReader(
            {} if found is None else found, location, self.findings
        )

    def decode_each(
        self, name: str, decode: Callable[['DocumentReader'], _Item | None]
    ) -> tuple[_Item, ...]:
        """Decode each row of a list of tables.

        :param name: name of the field.
        :param decode: decodes a row; none passes over it.
        :returns: what was decoded.
        """
        found: list[_Item] = []
        for index, row in enumerate(self.array(name)):
            location = f'{self._place}{name}[{index}].'
            decoded = decode(DocumentReader(row, location, self.findings))
            if decoded is not None:
                found.append(decoded)
        return tuple(found)

    def _note(self, name: str, problem: str) -> None:
        location = f'{self._place}{name}'.rstrip('.')
        self.findings.append(Finding(location or 'document', problem))


def read_json(content: bytes) -> DocumentReader:
    """Decode a document.

    :param content: its bytes, JSON.
    :returns: a reader; of an empty table, with a finding, if they can't be
        read.
    """
    try:
        document = msgspec.json.decode(content)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        return DocumentReader({}, findings=[Finding('document', str(exc))])
    return DocumentReader(document)
