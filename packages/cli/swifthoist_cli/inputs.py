"""What the command line is given: targets and documents."""

import os
from pathlib import Path
from typing import NamedTuple

import httpx
import msgspec

from swifthoist_cli.client import Target
from swifthoist_core.checks import check_document, parse_json
from swifthoist_core.documents import EntryDocument, Name
from swifthoist_core.errors import Finding, InvalidInputError, raise_findings
from swifthoist_core.tokens import Identity, Role

URL_VARIABLE = 'SWIFTHOIST_URL'
TOKEN_VARIABLE = 'SWIFTHOIST_TOKEN'

MIN_SECRET = 16
"""Shortest key that instances take, in characters."""

MAX_VERSION = (1 << 63) - 1
_ID_PROBLEM = 'must be 1 to 63 of a-z, 0-9, dot, dash and underscore'
_URL_PROBLEM = 'must be such as http://127.0.0.1:8080'


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
    elif not _is_plain(token):
        problem = 'must be printable ASCII'
        findings.append(Finding(f'--token ({TOKEN_VARIABLE})', problem))
    split = (part.strip().rstrip('/') for part in urls.split(','))
    parts = tuple(part for part in split if part)
    findings.extend(
        Finding(f'--url ({URL_VARIABLE})', f'{part}: {_URL_PROBLEM}')
        for part in parts
        if not _is_url(part)
    )
    raise_findings('target', findings)
    return Target(parts, token)


def read_id(place: str, text: str) -> str:
    """Check an id before it becomes part of a path.

    :param place: name of the argument.
    :param text: the id.
    :returns: the id.
    :raises InvalidInputError: when no id can read so.
    """
    problem = _id_problem(text)
    if problem:
        raise InvalidInputError.of('id', (Finding(place, problem),))
    return text


def read_number(place: str, given: object) -> float:
    """Check that an argument is a number.

    :param place: name of the argument.
    :param given: what was given.
    :returns: the number.
    :raises InvalidInputError: when it is none.
    """
    if isinstance(given, int | float) and not isinstance(given, bool):
        return given
    raise InvalidInputError.of(place, (Finding(place, 'must be a number'),))


def read_version(given: object) -> int:
    """Check the version that an operator saw.

    :param given: what was given.
    :returns: the version.
    :raises InvalidInputError: when it is none.
    """
    if isinstance(given, int) and 0 <= given <= MAX_VERSION:
        return int(given)
    problem = 'must be the version that you saw, a whole number'
    raise InvalidInputError.of('version', (Finding('version', problem),))


def read_caller(role: str, name: str, secret: str) -> Identity:
    """Check whom a token is for, and the key it is signed with.

    :param role: the role.
    :param name: name of the operator or id of the owner.
    :param secret: the key.
    :returns: whom it is for.
    :raises InvalidInputError: with every finding.
    """
    findings = []
    if role not in set(Role):
        findings.append(Finding('role', f'must be one of {", ".join(Role)}'))
    problem = _id_problem(name) if role == Role.OWNER else ''
    if not _is_plain(name):
        problem = 'must be printable ASCII'
    if problem:
        findings.append(Finding('name', problem))
    if len(secret) < MIN_SECRET:
        problem = f'must have {MIN_SECRET} characters or more'
        findings.append(Finding('secret', problem))
    raise_findings('token', findings)
    return Identity(Role(role), name)


def _parsed(path: str, body: bytes) -> object | Finding:
    try:
        return parse_json(path, body)
    except RecursionError:
        return Finding(path, 'is nested too deeply')


def _id_problem(text: str) -> str:
    try:
        msgspec.convert(text, Name)
    except msgspec.ValidationError:
        return _ID_PROBLEM
    return ''


def _is_plain(text: str) -> bool:
    return bool(text) and text.isascii() and text.isprintable()


def _is_url(text: str) -> bool:
    try:
        url = httpx.URL(text)
    except httpx.InvalidURL:
        return False
    return url.scheme in {'http', 'https'} and bool(url.host)


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
    content = _parsed(path, body)
    if isinstance(content, Finding):
        raise InvalidInputError.of('file', (content,))
    return content


def write_file(path: str, text: str) -> None:
    """Write a file.

    :param path: the file.
    :param text: its content.
    :raises InvalidInputError: when it cannot be written.
    """
    try:
        Path(path).write_text(text)
    except OSError as exc:
        finding = Finding(path, exc.strerror or str(exc))
        raise InvalidInputError.of('file', (finding,)) from exc


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
        problem = _id_problem(named.entry_id)
        if problem:
            findings.append(Finding(named.entry_id, f'its id: {problem}'))
        findings.extend(
            check_document(EntryDocument, named.entry, named.entry_id)
        )
    raise_findings('catalogue', findings)
    return entries
