"""Decoding of callers' requests about jobs, and encoding of the answers."""

import re
from enum import StrEnum
from typing import NamedTuple

import msgspec

from swifthoist_core.errors import Finding
from swifthoist_engine.job_checks import (
    MAX_STEPS,
    check_job,
    too_many_steps,
)
from swifthoist_engine.model import Resources, Schedule, StepSpec
from swifthoist_platform import names
from swifthoist_platform.values import DocumentReader, read_json

MAX_LISTED_FINDINGS = 100
"""Most problems of a request that its answer lists."""

_KEY_SCHEME = 'token '
_JOB_ID = re.compile('[0-9a-fA-F]{16}')


class Verb(StrEnum):
    """HTTP methods of requests about a job."""

    SUBMIT = 'POST'
    SHOW = 'GET'
    CANCEL = 'DELETE'


class JobRequest(NamedTuple):
    """A job as a caller submits it.

    :ivar payload: text that is passed to runners.
    :ivar steps: its steps.
    :ivar schedule: times of its occurrences; none if it runs once.
    """

    payload: str
    steps: tuple[StepSpec, ...]
    schedule: Schedule | None


class DecodedJob(NamedTuple):
    """Result of decoding a submission.

    :ivar request: the job; none if it is invalid.
    :ivar findings: all its problems.
    """

    request: JobRequest | None
    findings: tuple[Finding, ...]


def is_job_id(text: str) -> bool:
    """Tell whether a string can be the id of a job.

    :param text: the path after a queue's prefix.
    :returns: whether it consists of 16 hexadecimal digits.
    """
    return _JOB_ID.fullmatch(text) is not None


def parse_api_key(authorization: str) -> str:
    """Parse the API key of a request.

    :param authorization: value of the ``Authorization`` header.
    :returns: the key; empty if there is none.
    """
    if authorization.lower().startswith(_KEY_SCHEME):
        return authorization[len(_KEY_SCHEME) :].strip()
    return ''


def format_api_key(key: str) -> str:
    """Format an API key as the value of the ``Authorization`` header.

    :param key: the key.
    :returns: the value.
    """
    return f'{_KEY_SCHEME}{key}'


def decode_job(content: bytes) -> DecodedJob:
    """Decode and check a submission.

    :param content: body of the request.
    :returns: the job, or all its problems.
    """
    reader = read_json(content)
    count = len(reader.array(names.STEPS))
    if count > MAX_STEPS:
        return DecodedJob(None, (too_many_steps(count),))
    steps = reader.decode_each(names.STEPS, _decode_step)
    payload = reader.string(names.SPEC)
    occurrences = reader.integer(names.REPEAT_COUNT)
    schedule = None
    if occurrences > 0:
        schedule = Schedule(
            reader.integer(names.START_AT_MS),
            reader.integer(names.INTERVAL_MS),
            occurrences,
        )
    findings = [
        *reader.findings,
        *check_job(steps, payload, schedule),
    ]
    if findings:
        return DecodedJob(None, tuple(findings))
    return DecodedJob(JobRequest(payload, steps, schedule), ())


def encode_job_state(state: str) -> bytes:
    """Encode the answer to a request for a job's state.

    :param state: state of the job.
    :returns: the body.
    """
    return msgspec.json.encode({names.STATE: state})


def encode_pending_count(count: int) -> bytes:
    """Encode the answer to a request for a queue's pending jobs.

    :param count: number of jobs of which no task has started.
    :returns: the body.
    """
    return msgspec.json.encode({names.PENDING: count})


def encode_error(findings: tuple[Finding, ...]) -> bytes:
    """Encode the answer to an invalid request.

    :param findings: all problems of the request.
    :returns: the body, with the number of those that it does not list.
    """
    listed = [str(item) for item in findings[:MAX_LISTED_FINDINGS]]
    left = len(findings) - len(listed)
    if left:
        listed.append(f'{left} more problems')
    return msgspec.json.encode({names.ERROR: listed})


def _decode_step(reader: DocumentReader) -> StepSpec:
    dependencies = [
        row for row in reader.array(names.DEPENDS_ON) if isinstance(row, int)
    ]
    return StepSpec(
        width=reader.integer(names.COUNT, 1),
        need=Resources(
            reader.integer(names.CPU),
            reader.integer(names.MEM_MB),
            reader.integer(names.GPU),
        ),
        estimate_ms=reader.integer(names.ESTIMATE_MS),
        depends_on=tuple(dependencies),
        checkpointing=reader.boolean(names.CHECKPOINTING),
        gang=reader.boolean(names.GANG),
        same_rack=reader.boolean(names.SAME_RACK),
        label=reader.string(names.REQUIREMENTS),
        data_rack=reader.string(names.AFFINITY),
        spread_limit=reader.integer(names.ANTI_AFFINITY),
        copies=reader.boolean(names.SPECULATIVE),
        lasting=reader.boolean(names.LONG_RUNNING),
        image=reader.string(names.IMAGE),
        tail_target_ms=reader.integer(names.TARGET_MS),
        filling=reader.boolean(names.FILLS),
        may_miss=reader.integer(names.LOSSY),
    )
