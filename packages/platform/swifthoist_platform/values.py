"""Tolerant reading of the platform's JSON documents.

Where a field is missing or has the wrong type or value, a reader returns a
default. Each problem becomes a finding, except that a field may be missing.
"""

from collections.abc import Callable, Mapping
from typing import Any, TypeAlias, TypeGuard, TypeVar

import msgspec

from swifthoist_core.errors import Finding
from swifthoist_core.types import MAX_NUMBER
from swifthoist_platform.addresses import is_address

Document: TypeAlias = Mapping[str, Any]
_Element = TypeVar('_Element')


def is_number(found: object) -> TypeGuard[float]:
    """Return whether a value is a number from 0 to the largest valid one.

    :param found: decoded JSON.
    :returns: whether it is; a boolean is none.
    """
    if isinstance(found, bool) or not isinstance(found, int | float):
        return False
    return 0 <= found <= MAX_NUMBER


class DocumentReader:
    """Reads the fields of a JSON object and collects its problems.

    :ivar findings: the problems so far.
    """

    def __init__(
        self,
        document: object,
        location: str = '',
        findings: list[Finding] | None = None,
    ) -> None:
        """Create a reader.

        :param document: decoded JSON; anything but an object is a problem.
        :param location: path of the object in its document, for findings.
        :param findings: list that findings are appended to.
        """
        self.findings: list[Finding] = [] if findings is None else findings
        self._place = location
        self._fields: Document = {}
        if isinstance(document, dict):
            self._fields = document
        else:
            self._add_finding('', 'is no table')

    def has(self, name: str) -> bool:
        """Tell whether a field exists and is not null.

        :param name: name of the field.
        :returns: whether it does.
        """
        return self._fields.get(name) is not None

    def string(self, name: str, default: str = '') -> str:
        """Read a string.

        :param name: name of the field.
        :param default: value if the field is missing or no string.
        :returns: the string.
        """
        found = self._fields.get(name)
        if found is None:
            return default
        if isinstance(found, str):
            return found
        self._add_finding(name, 'is no text')
        return default

    def address(self, name: str, *, optional: bool = False) -> str:
        """Read the address of a server.

        :param name: name of the field.
        :param optional: whether an empty text stands for none.
        :returns: ``host:port``; empty if missing or invalid.
        """
        found = self._fields.get(name)
        if not isinstance(found, str):
            return self.string(name)
        if is_address(found) or (optional and not found):
            return found
        self._add_finding(name, 'is no address')
        return ''

    def number(self, name: str, default: float = 0) -> float:
        """Read a number of at least 0.

        :param name: name of the field.
        :param default: value if the field is missing or invalid.
        :returns: the number.
        """
        found = self._fields.get(name)
        if found is None:
            return default
        if is_number(found):
            return found
        if isinstance(found, int | float) and not isinstance(found, bool):
            self._add_finding(name, 'is out of range')
        else:
            self._add_finding(name, 'is no number')
        return default

    def integer(self, name: str, default: int = 0) -> int:
        """Read a number of at least 0 and truncate it to an integer.

        :param name: name of the field.
        :param default: value if the field is missing or invalid.
        :returns: the integer.
        """
        return int(self.number(name, default))

    def timestamp_ms(self, name: str) -> int:
        """Read a time in milliseconds, which has to be an integer.

        :param name: name of the field.
        :returns: the time since the Unix epoch; 0 if missing or invalid.
        """
        found = self.number(name)
        if found == int(found):
            return int(found)
        self._add_finding(name, 'is no whole number')
        return 0

    def boolean(self, name: str) -> bool:
        """Read a boolean; false if it is missing or invalid.

        :param name: name of the field.
        :returns: the value.
        """
        found = self._fields.get(name)
        if found is None or isinstance(found, bool):
            return bool(found)
        self._add_finding(name, 'is no truth value')
        return False

    def array(self, name: str) -> list[Any]:
        """Read an array; empty if it is missing or invalid.

        :param name: name of the field.
        :returns: its elements, of any type.
        """
        found = self._fields.get(name)
        if found is None:
            return []
        if isinstance(found, list):
            return found
        self._add_finding(name, 'is no list')
        return []

    def strings(self, name: str) -> tuple[str, ...]:
        """Read an array of strings.

        :param name: name of the field.
        :returns: those elements that are strings.
        """
        rows = self.array(name)
        found = tuple(row for row in rows if isinstance(row, str))
        if len(found) < len(rows):
            self._add_finding(name, 'has rows that are no texts')
        return found

    def nested(self, name: str) -> 'DocumentReader':
        """Read a nested object; an empty one if it is missing.

        :param name: name of the field.
        :returns: a reader of the object, with the same list of findings.
        """
        found = self._fields.get(name)
        location = f'{self._place}{name}.'
        return DocumentReader(
            {} if found is None else found, location, self.findings
        )

    def decode_each(
        self, name: str, decode: Callable[['DocumentReader'], _Element | None]
    ) -> tuple[_Element, ...]:
        """Decode each element of an array of objects.

        :param name: name of the field.
        :param decode: decodes an element; returns none to skip it.
        :returns: the decoded elements.
        """
        found: list[_Element] = []
        for index, row in enumerate(self.array(name)):
            location = f'{self._place}{name}[{index}].'
            decoded = decode(DocumentReader(row, location, self.findings))
            if decoded is not None:
                found.append(decoded)
        return tuple(found)

    def _add_finding(self, name: str, problem: str) -> None:
        location = f'{self._place}{name}'.rstrip('.')
        self.findings.append(Finding(location or 'document', problem))


def read_json(content: bytes) -> DocumentReader:
    """Decode a JSON document.

    :param content: content of the document.
    :returns: a reader; if the content is no JSON, a reader of an empty object
        with a finding.
    """
    try:
        document = msgspec.json.decode(content)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        return DocumentReader({}, findings=[Finding('document', str(exc))])
    return DocumentReader(document)
