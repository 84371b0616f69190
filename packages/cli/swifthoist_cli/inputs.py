"""What the command line is given: targets and documents."""

import os
from pathlib import Path
from typing import NamedTuple

import msgspec

from swifthoist_cli.client import Target
from swifthoist_core.checks import check_document
from swifthoist_core.documents import EntryDocument
from swifthoist_core.errors import Finding, InvalidInputError, raise_findings

URL_VARIABLE = 'SWIFTHOIST_URL'
TOKEN_VARIABLE = 'SWIFTHOIST_TOKEN'


class NamedEntry(NamedTuple):
    """An entry of a catalogue file.

    :ivar entry_id: its id.
    :ivar entry: its document, checked.
    """

    entry_id: str
    entry: EntryDocument


def read_target(url: str | None, token: str | None) -> Target:
    """Find out where to call and as whom; flags go before the environment.

    :param url: base URLs of instances, separated by commas.
    :param token: bearer token.
    :returns: the target.
    :raises InvalidInputError: with every finding.
    """
    urls = url or os.environ.get(URL_VARIABLE, '')
    token = token or os.environ.get(TOKEN_VARIABLE, '')
    findings = []
    if not urls:
        findings.append(Finding(f'--url ({URL_VARIABLE})', 'is missing'))
    if not token:
        findings.append(Finding(f'--token ({TOKEN_VARIABLE})', 'is missing'))
    raise_findings('target', findings)
    split = (part.strip().rstrip('/') for part in str(urls).split(','))
    return Target(tuple(part for part in split if part), str(token))


def read_json_file(path: str) -> object:
    """Read a document from a file.

    :param path: the file.
    :returns: its content.
    :raises InvalidInputError: when it cannot be read or is not JSON.
    """
    try:
        body = Path(path).read_bytes()
    except OSError as exc:
        finding = Finding(path, exc.strerror or str(exc))
        raise InvalidInputError.of('file', (finding,)) from exc
    try:
        content: object = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        finding = Finding(path, f'is not JSON: {exc}')
        raise InvalidInputError.of('file', (finding,)) from exc
    return content


def read_entries(path: str) -> tuple[NamedEntry, ...]:
    """Read a catalogue file: an object of entries by id.

    :param path: the file.
    :returns: the entries, each checked.
    :raises InvalidInputError: with every finding of every entry.
    """
    content = read_json_file(path)
    if not isinstance(content, dict) or not content:
        finding = Finding(path, 'must be an object of entries by id')
        raise InvalidInputError.of('catalogue', (finding,))
    entries = tuple(NamedEntry(*pair) for pair in content.items())
    findings: list[Finding] = []
    for named in entries:
        findings.extend(
            check_document(EntryDocument, named.entry, named.entry_id)
        )
    raise_findings('catalogue', findings)
    return entries
