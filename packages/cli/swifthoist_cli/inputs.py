"""What the command line is given: targets and documents."""

import os
from pathlib import Path

import httpx

from swifthoist_cli.client import Target
from swifthoist_core.errors import Finding, InvalidInputError, raise_findings
from swifthoist_platform.job_calls import is_job_id

URL_VARIABLE = 'SWIFTHOIST_URL'

_URL_PROBLEM = 'must be such as http://127.0.0.1:7000'


def read_target(url: str | None) -> Target:
    """Find out where to call; the flag goes before the environment.

    :param url: base URLs of instances, separated by commas.
    :returns: the target.
    :raises InvalidInputError: with every finding.
    """
    urls = url or os.environ.get(URL_VARIABLE, '')
    place = f'--url ({URL_VARIABLE})'
    findings: list[Finding] = []
    if not urls:
        findings.append(Finding(place, 'is missing'))
    split = (part.strip().rstrip('/') for part in urls.split(','))
    parts = tuple(part for part in split if part)
    findings.extend(
        Finding(place, f'{part}: {_URL_PROBLEM}')
        for part in parts
        if not _is_url(part)
    )
    raise_findings('target', findings)
    return Target(parts)


def read_file(path: str) -> bytes:
    """Read a file that an operator names.

    :param path: where it is.
    :returns: its bytes.
    :raises InvalidInputError: when it can't be read.
    """
    try:
        return Path(path).read_bytes()
    except OSError as exc:
        finding = Finding(path, exc.strerror or str(exc))
        raise InvalidInputError.from_findings('file', (finding,)) from exc


def read_job_id(job_id: str) -> str:
    """Check the id of a job before it becomes part of a path.

    :param job_id: the id.
    :returns: the id.
    :raises InvalidInputError: when it is no such id.
    """
    if is_job_id(job_id):
        return job_id
    finding = Finding('job', 'must be 16 hexadecimal digits')
    raise InvalidInputError.from_findings('job id', (finding,))


def _is_url(text: str) -> bool:
    try:
        url = httpx.URL(text)
    except httpx.InvalidURL:
        return False
    return url.scheme in {'http', 'https'} and bool(url.host)
