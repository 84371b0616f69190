"""Reads the inputs of the command line: targets and documents."""

import os
from pathlib import Path

import httpx

from swifthoist_cli.client import Target
from swifthoist_core.errors import Finding, InvalidInputError, raise_findings
from swifthoist_platform.job_calls import is_job_id

URL_VARIABLE = 'SWIFTHOIST_URL'

_URL_PROBLEM = 'must be a URL such as http://127.0.0.1:7000'


def read_target(url: str | None) -> Target:
    """Determine the target; the flag takes precedence over the environment.

    :param url: base URLs of instances, separated by commas.
    :returns: the target.
    :raises InvalidInputError: when a URL is missing or invalid.
    """
    urls = url or os.environ.get(URL_VARIABLE, '')
    location = f'--url ({URL_VARIABLE})'
    findings: list[Finding] = []
    if not urls:
        findings.append(Finding(location, 'is missing'))
    stripped = (part.strip().rstrip('/') for part in urls.split(','))
    base_urls = tuple(part for part in stripped if part)
    findings.extend(
        Finding(location, f'{part}: {_URL_PROBLEM}')
        for part in base_urls
        if not _is_url(part)
    )
    raise_findings('target', findings)
    return Target(base_urls)


def read_file(path: str) -> bytes:
    """Read a file given on the command line.

    :param path: path of the file.
    :returns: its content.
    :raises InvalidInputError: when it is unreadable.
    """
    try:
        return Path(path).read_bytes()
    except OSError as exc:
        finding = Finding(path, exc.strerror or str(exc))
        raise InvalidInputError.from_findings('file', (finding,)) from exc


def read_job_id(job_id: str) -> str:
    """Validate a job id before it becomes part of a URL.

    :param job_id: the id.
    :returns: the id.
    :raises InvalidInputError: when it is not a valid id.
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
