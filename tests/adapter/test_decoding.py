"""Tests that any content is decoded to a value or a reason, for each message."""

import re
import unittest
from collections.abc import Sequence
from functools import partial
from typing import NamedTuple

import anyio
import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from swifthoist_core.errors import (
    InvalidInputError,
    LogUnavailableError,
    OutcomeUnknownError,
)
from swifthoist_emulator.site import (
    STANDARD,
    write_config,
    write_settings,
    write_wave,
)
from swifthoist_platform.advice import AdviceClient
from swifthoist_platform.boot import decode_boot_settings
from swifthoist_platform.calls import Call, Reply
from swifthoist_platform.documents import (
    decode_catalogue,
    decode_registration,
    decode_wave,
    find_problems,
)
from swifthoist_platform.job_calls import decode_job
from swifthoist_platform.machines import MachinesClient
from swifthoist_platform.runner_calls import RunnerClient
from swifthoist_platform.store import StoreClient
from swifthoist_platform.store_records import (
    decode_page,
    parse_keyed_record,
    parse_records,
)
from swifthoist_platform.values import MAX_NUMBER

TASK = '0123456789abcdef.0.0.0'
LISTEN = ('a:1', 'a:2', 'a:3')
ANSWERS = (
    msgspec.json.encode(
        {
            'ClockMs': 5,
            'born': 1,
            'Running': [[TASK, 1, 'saved', 100, 0.5]],
            'EndedRuns': [[3, TASK, 1, 'done', '']],
        }
    ),
    msgspec.json.encode(
        {
            'items': [{'Key': 'a', 'Value': 'eA==', 'Offset': 1}],
            'HasMore': True,
            'EndOffset': 7,
        }
    ),
    msgspec.json.encode(
        {
            'Machines': [{'Machine': 'm', 'State': 'up', 'Id': 'r'}],
            'NextToken': 'm',
            'Allowed': [['r', 'ticket']],
            'ValidMs': 5,
        }
    ),
)
DOCUMENTS = (
    msgspec.json.encode(
        {
            'Service': 'pool',
            'Address': '10.0.0.1:80',
            'State': 'ready',
            'Capacity': {'Cpu': 4, 'MemMb': 8, 'Gpu': 1},
            'Labels': ['kind', 'rack'],
            'RemainingMs': 1,
            'ColdLeftMs': 1,
            'born': 1,
        }
    ),
    msgspec.json.encode(
        {
            'Spec': 'text',
            'Steps': [{'Count': 2, 'Cpu': 5}, {'DependsOn': [0]}],
            'RepeatCount': 2,
            'StartAtMs': 10,
            'IntervalMs': 5,
        }
    ),
    write_config(STANDARD, 7),
    write_wave(1, ['m'], 2, 1.5),
    write_settings('i', 'z', LISTEN, 's:4'),
)
SNIPPETS = (
    b'-1',
    b'1.5',
    b'1e300',
    b'1e400',
    b'NaN',
    b'true',
    b'null',
    b'""',
    b'"x"',
    b'[]',
    b'{}',
    b'[[]]',
    b'9007199254740993',
    b'18446744073709551616',
    b'9' * 5_000,
    b'[' * 5_000,
    b'{"a":' * 5_000,
    b'[' * 500 + b']' * 500,
    b'"\\ud800"',
    b'"\xff"',
    b'"\\u0000"',
    '"\u0663"'.encode(),
    b'"0123456789abcdef.0.0.%b"' % (b'9' * 5_000),
)
VALUE = re.compile(rb'(?<=[:\[,])("[^"]*"|[0-9.]+|true|false)(?=[,\]}])')


@st.composite
def altered(draw: st.DrawFn, documents: Sequence[bytes]) -> bytes:
    """Draw a document of which some values are replaced."""
    content = draw(st.sampled_from(documents))
    for _ in range(draw(st.integers(1, 3))):
        found = draw(st.sampled_from(tuple(VALUE.finditer(content))))
        part = draw(st.sampled_from(SNIPPETS))
        content = content[: found.start()] + part + content[found.end() :]
    return content


CONTENTS = st.binary() | st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=12,
).map(msgspec.json.encode)


class _ReplyEndpoint(NamedTuple):
    """An endpoint that replies to every call with the same body."""

    reply: Reply

    async def call(self, call: Call) -> Reply:
        """Reply."""
        return self.reply

    async def close(self) -> None:
        """Do nothing; no connection is open."""


def _numbers(found: object) -> list[float]:
    """Return all numbers in a decoded value."""
    if isinstance(found, int | float):
        return [found]
    if isinstance(found, Sequence | frozenset) and not isinstance(
        found, str | bytes
    ):
        return [number for part in found for number in _numbers(part)]
    return []


class DecodingTest(unittest.TestCase):
    """No content makes a decoder raise anything but its documented errors."""

    @settings(derandomize=True, deadline=None, max_examples=600)
    @given(altered(DOCUMENTS) | CONTENTS)
    def test_documents_and_requests(self, content: bytes) -> None:
        """They are decoded, or there are findings."""
        entry = decode_registration('r', content)
        self.assertTrue(entry.registration or entry.findings)
        wave = decode_wave(content)
        self.assertTrue(wave.wave or wave.findings)
        catalogue = decode_catalogue(content)
        self.assertTrue(catalogue.catalogue or catalogue.findings)
        job = decode_job(content)
        self.assertTrue(job.request or job.findings)
        find_problems(content)
        for found in (entry.registration, wave.wave and wave.wave.number):
            for number in _numbers(found):
                self.assertLessEqual(0, number)
                self.assertLessEqual(number, MAX_NUMBER)

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(altered((*ANSWERS, *DOCUMENTS)) | CONTENTS)
    def test_settings_and_parts_of_the_store(self, content: bytes) -> None:
        """They are decoded, or an error that callers expect is raised."""
        for decode, expected in (
            (decode_boot_settings, InvalidInputError),
            (decode_page, LogUnavailableError),
            (partial(parse_records, 0), LogUnavailableError),
        ):
            try:
                decode(content)
            except expected:
                continue
        parse_keyed_record(content)

    @settings(derandomize=True, deadline=None, max_examples=600)
    @given(
        altered(ANSWERS) | CONTENTS,
        st.sampled_from((200, 200, 200, 200, 409, 503)),
    )
    def test_answers(self, content: bytes, status: int) -> None:
        """They are decoded, or an error that callers expect is raised."""
        endpoint = _ReplyEndpoint(Reply(status, content))
        runner = RunnerClient('r', endpoint)
        store = StoreClient(endpoint)
        calls = (
            partial(runner.poll, 1, 0, None, 0, 1),
            partial(AdviceClient(endpoint).ask, ('j', 0, 0), ['r'], 1),
            partial(MachinesClient(endpoint, 'i').list_all, 1),
            partial(MachinesClient(endpoint, 'i').order_upkeep, 'm', 1, 1, 1),
            partial(store.newest, 'keyed.topic', 1),
            partial(store.put, 'keyed.topic', 'key', b'', 1),
        )

        async def main() -> None:
            for call in calls:
                try:
                    answer = await call()
                except (OutcomeUnknownError, LogUnavailableError):
                    continue
                for number in _numbers(answer):
                    self.assertLessEqual(0, number)
                    self.assertLessEqual(number, MAX_NUMBER)

        anyio.run(main)
