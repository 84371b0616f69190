"""Tests of the store's records and of task names on the wire."""

import struct
import unittest
from functools import partial
from typing import NamedTuple

import anyio

from swifthoist_core.errors import (
    AnswerLateError,
    LogSilentError,
    LogUnavailableError,
    OutcomeUnknownError,
    UnreachableError,
)
from swifthoist_engine.model import TaskId
from swifthoist_platform.calls import Call, Reply
from swifthoist_platform.runner_calls import (
    PollReply,
    RunnerClient,
    parse_task,
    task_name,
)
from swifthoist_platform.store import StoreClient
from swifthoist_platform.store_records import (
    KeyedPage,
    KeyedRecord,
    decode_page,
    parse_keyed_record,
    parse_records,
)
from tests.instance.fakes import run


def _reply(*records: bytes) -> bytes:
    head = struct.pack('>QQ', 9, 2)
    framed = (struct.pack('>I', len(item)) + item for item in records)
    return head + b''.join(framed)


class RecordsTest(unittest.TestCase):
    """A reply is decoded completely or rejected."""

    def test_records_come_apart(self) -> None:
        """The records and the end of the topic are decoded."""
        batch = parse_records(7, _reply(b'one', b''))
        self.assertEqual(batch.records, (b'one', b''))
        self.assertEqual(batch.end, 9)

    def test_a_reply_that_is_cut_off_is_no_reply(self) -> None:
        """This holds for every cut, except between two records."""
        whole = _reply(b'one', b'two')
        for length in frozenset(range(len(whole))) - {16, 23}:
            with self.assertRaises(LogUnavailableError):
                parse_records(7, whole[:length])

    def test_keyed_records(self) -> None:
        """A key and a value, or None for a malformed record."""
        self.assertEqual(
            parse_keyed_record(b'\x02abc'), KeyedRecord('ab', b'c')
        )
        self.assertEqual(parse_keyed_record(b'\x02ab'), KeyedRecord('ab', b''))
        for damaged in (b'', b'\x05ab', b'\x01\xff'):
            self.assertIsNone(parse_keyed_record(damaged))


class PageTest(unittest.TestCase):
    """A page of a listing is decoded, or the listing fails."""

    def decode(self, *rows: bytes) -> KeyedPage:
        """Decode a page of some rows."""
        items = b','.join(rows)
        return decode_page(
            b'{"items":[' + items + b'],"HasMore":true,"EndOffset":7}'
        )

    def test_a_key_that_is_no_text_hides_no_other(self) -> None:
        """Otherwise a single entry would make all runners disappear."""
        good = b'{"Key":"a","Value":"eA=="}'
        for odd in (
            b'{"Key":"\xff","Value":"eA=="}',
            b'{"Key":"\\ud800","Value":"eA=="}',
            b'{"Key":"\\udcff\\ud83d","Value":"eA=="}',
            b'{"Key":7,"Value":"eA=="}',
            b'{"Key":"b","Value":7}',
            b'{"Key":"b","Value":"\xe9"}',
            b'7',
        ):
            with self.subTest(odd=odd):
                page = self.decode(good, odd)
                self.assertEqual(page.items[0], KeyedRecord('a', b'x'))
                self.assertEqual(page.end, 7)
                self.assertTrue(page.has_more)

    def test_a_page_that_can_not_be_read_is_no_empty_listing(self) -> None:
        """Otherwise all runners would count as gone."""
        for content in (b'', b'{}', b'[' * 100_000, b'{"items":[],'):
            client = StoreClient(_ReplyEndpoint(content))
            with self.assertRaises(LogUnavailableError):
                anyio.run(partial(client.newest, 'keyed.topic', 1))

    def test_a_key_that_is_no_text_hides_no_other_of_a_listing(self) -> None:
        """The others are on the same page."""
        rows = b'{"Key":"a","Value":"eA=="},{"Key":"\xff","Value":"eA=="}'
        body = b'{"items":[%b],"HasMore":false,"EndOffset":7}' % rows
        client = StoreClient(_ReplyEndpoint(body))
        listing = anyio.run(partial(client.newest, 'keyed.topic', 1))
        self.assertEqual(listing.items[0], KeyedRecord('a', b'x'))
        self.assertEqual(listing.end, 7)

    def test_the_next_page_begins_after_a_key_that_is_no_text(self) -> None:
        """A page that does not advance is the last one."""
        self.assertEqual(self.decode(b'{"Key":"b","Value":7}').last_key, 'b')
        self.assertEqual(self.decode(b'{"Key":7}').last_key, '')
        endpoint = _PagesEndpoint([])
        client = StoreClient(endpoint)
        listing = anyio.run(partial(client.newest, 'keyed.topic', 1))
        self.assertEqual(len(endpoint.paths), 2)
        self.assertEqual(listing.end, 9)


class _PagesEndpoint(NamedTuple):
    """An endpoint that replies with the same page each time."""

    paths: list[str]

    async def call(self, call: Call) -> Reply:
        """Reply with a page that says that others follow."""
        self.paths.append(call.path)
        row = b'{"Key":"\xff","Value":"eA=="}'
        body = b'{"items":[' + row + b'],"HasMore":true,"EndOffset":9}'
        return Reply(200, body)

    async def close(self) -> None:
        """Do nothing; no connection is open."""


class _FailingEndpoint(NamedTuple):
    """An endpoint whose calls all fail with the same error."""

    error: Exception

    async def call(self, call: Call) -> Reply:
        """Raise the error."""
        raise self.error

    async def close(self) -> None:
        """Do nothing; no connection is open."""


class ReadTest(unittest.TestCase):
    """A failed read reports whether its answer was late."""

    def test_only_a_late_answer_counts_as_silence(self) -> None:
        """A refused or broken connection counts as a refusal."""
        failures = (
            (AnswerLateError('late'), LogSilentError),
            (OutcomeUnknownError('reset'), LogUnavailableError),
            (UnreachableError('refused'), LogUnavailableError),
        )
        for error, expected in failures:
            client = StoreClient(_FailingEndpoint(error))
            with self.assertRaises(LogUnavailableError) as caught:
                run(partial(client.read, 'topic', 0, 0, 1))
            self.assertIs(type(caught.exception), expected)


class _StatusEndpoint(NamedTuple):
    """An endpoint that replies to every call with the same status."""

    status: int

    async def call(self, call: Call) -> Reply:
        """Reply with the status and an empty body."""
        return Reply(self.status, b'{}')

    async def close(self) -> None:
        """Do nothing; no connection is open."""


class PutTest(unittest.TestCase):
    """A failed write reports whether the value may have been written."""

    def test_only_a_refusal_counts_as_not_written(self) -> None:
        """A proxy's 502 says nothing about the store behind it."""
        failures = ((429, LogUnavailableError), (502, OutcomeUnknownError))
        for status, expected in failures:
            client = StoreClient(_StatusEndpoint(status))
            with self.assertRaises(expected):
                run(partial(client.put, 'keyed.topic', 'key', b'x', 1))


class TaskNameTest(unittest.TestCase):
    """Names of tasks in calls to runners."""

    def test_names_come_back_as_they_were(self) -> None:
        """All four parts of the id are kept."""
        task = TaskId('0123456789abcdef', 2, 1, 17)
        self.assertEqual(parse_task(task_name(task)), task)

    def test_a_name_of_another_form_is_none(self) -> None:
        """Digits of other scripts and numbers without end are no parts."""
        job = '0123456789abcdef'
        for name in (
            f'{job}.0.0.\u0663',
            f'{job}.0.0.{"9" * 5_000}',
            f'{job}.0.0.-1',
            f'{job}.0.0',
            f'{job}.0.0.0.0',
            f'{"x" * 70_000}.0.0.0',
            '.0.0.0',
            7,
        ):
            self.assertIsNone(parse_task(name))


class _ReplyEndpoint(NamedTuple):
    """An endpoint that replies to every call with the same body."""

    content: bytes

    async def call(self, call: Call) -> Reply:
        """Reply with the body."""
        return Reply(200, self.content)

    async def close(self) -> None:
        """Do nothing; no connection is open."""


class PollTest(unittest.TestCase):
    """Rows of a runner's answer that can't be recorded are left out."""

    def poll(self, content: bytes) -> PollReply:
        """Poll a runner that gives an answer."""
        client = RunnerClient('r', _ReplyEndpoint(content))
        return anyio.run(partial(client.poll, 1, 0, None, 0, 1))

    def test_rows_with_numbers_out_of_range_are_left_out(self) -> None:
        """A record of the log could not hold them."""
        name = b'"0123456789abcdef.0.0.0"'
        for number in (
            b'-1',
            b'true',
            b'1.5',
            b'9007199254740993',
            b'18446744073709551616',
            b'9' * 30,
        ):
            with self.subTest(number=number):
                running = b'[%b,%b,"",100,0]' % (name, number)
                ended = b'[%b,%b,1,"done",""]' % (number, name)
                reply = self.poll(
                    b'{"ClockMs":5,"Running":[%b],"EndedRuns":[%b]}'
                    % (running, ended)
                )
                self.assertEqual((reply.running, reply.ends), ((), ()))
                self.assertFalse(reply.complete)

    def test_a_figure_out_of_range_is_unknown(self) -> None:
        """The run counts nevertheless."""
        row = b'["0123456789abcdef.0.0.0",1,"",100,%b]'
        for figure in (b'-1', b'true', b'1e300', b'"x"'):
            body = b'{"ClockMs":5,"Running":[%b],"EndedRuns":[]}'
            reply = self.poll(body % (row % figure))
            self.assertEqual([it.gauge for it in reply.running], [None])

    def test_a_checkpoint_that_fits_into_no_append_is_none(self) -> None:
        """The run is resumed from the beginning instead of never."""
        body = b'{"ClockMs":5,"Running":[],"EndedRuns":[%b]}'
        row = b'[3,"0123456789abcdef.0.0.0",1,"stopped","%b"]'
        reply = self.poll(body % (row % (b'x' * 300_000)))
        self.assertEqual([end.checkpoint for end in reply.ends], [''])

    def test_other_names_are_no_tasks(self) -> None:
        """They are ignored."""
        for name in ('a.1.2', 'a.1.2.x', 'a.1.2.3.4', '', None, 7):
            self.assertIsNone(parse_task(name))
