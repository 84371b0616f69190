"""Calls of clients: what they ask, decoded once, and how answers look."""

import re
from enum import StrEnum
from typing import NamedTuple

import msgspec

from swifthoist_core.errors import Finding
from swifthoist_engine.job_checks import check_job
from swifthoist_engine.model import Resources, Schedule, StepSpec
from swifthoist_platform import names
from swifthoist_platform.values import DocumentReader, read_json

KEY_SCHEME = 'token '
_JOB_ID = re.compile('[0-9a-fA-F]{16}')


class Verb(StrEnum):
    """What a client does with a job."""

    SUBMIT = 'POST'
    SHOW = 'GET'
    CANCEL = 'DELETE'


class JobRequest(NamedTuple):
    """A job as a client submits it.

    :ivar payload: text that runners get.
    :ivar steps: its steps.
    :ivar schedule: its occurrences in time; none if it runs once.
    """

    payload: str
    steps: tuple[StepSpec, ...]
    schedule: Schedule | None


class DecodedJob(NamedTuple):
    """What came of a submission's body.

    :ivar request: the job; none if it is not valid.
    :ivar findings: everything that is wrong with it.
    """

    request: JobRequest | None
    findings: tuple[Finding, ...]


def is_job_id(text: str) -> bool:
    """Tell whether a text can be the id of a job.

    :param text: rest of the path behind a queue's prefix.
    :returns: whether it is 16 hexadecimal digits.
    """
    return _JOB_ID.fullmatch(text) is not None


def parse_api_key(authorization: str) -> str:
    """Read the key of a call.

    :param authorization: value of the header.
    :returns: the key; empty if there is none.
    """
    if authorization.lower().startswith(KEY_SCHEME):
        return authorization[len(KEY_SCHEME) :].strip()
    return ''


def decode_job(content: bytes) -> DecodedJob:
    """Decode a submission.

    :param content: its body.
    :returns: the job, or everything that is wrong with it.
    """
    reader = read_json(content)
    steps = reader.decode_each(names.STEPS, _step)
    payload = reader.string(names.SPEC)
    times = reader.integer(names.REPEAT_COUNT)
    schedule = None
    if times > 0:
        schedule = Schedule(
            reader.integer(names.START_AT_MS),
            reader.integer(names.INTERVAL_MS),
            times,
        )
    findings = [*reader.findings, *check_job(steps, payload, max(times, 1))]
    if findings:
        return DecodedJob(None, tuple(findings))
    return DecodedJob(JobRequest(payload, steps, schedule), ())


def encode_job_state(state: str) -> bytes:
    """Write the answer to a question about a job.

    :param state: its state.
    :returns: the body.
    """
    return msgspec.json.encode({names.STATE: state})


def encode_pending_count(count: int) -> bytes:
    """Write the answer to a question about a queue.

    :param count: number of jobs of which no task has started.
    :returns: the body.
    """
    return msgspec.json.encode({names.PENDING: count})


def encode_error(findings: tuple[Finding, ...]) -> bytes:
    """Write the answer to a call that is not valid.

    :param findings: everything that is wrong with it.
    :returns: the body.
    """
    return msgspec.json.encode({names.ERROR: [str(item) for item in findings]})


def _step(reader: DocumentReader) -> StepSpec:
    depends = [
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
        depends_on=tuple(depends),
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
