"""Tests of the HTTP layer that need no server."""

import unittest
from typing import Any, NamedTuple

import anyio
import anyio.lowlevel

from swifthoist_instance.bodies import MAX_BODY_S
from swifthoist_instance.faults import Faults
from swifthoist_instance.intake import DEFAULT_WAIT_S
from swifthoist_instance.messages import (
    GATEWAY_TIMEOUT,
    INTERNAL_ERROR,
    NOT_FOUND,
    OK,
    UNAVAILABLE,
    Answer,
    Call,
)
from swifthoist_instance.metrics import Metrics
from swifthoist_instance.peers import MIN_VERSION_HEADER, RELAY_PATH
from swifthoist_instance.turns import RESUME_MS, LoopMonitor
from swifthoist_instance.web import MIN_WAIT_S, Sent, ShutdownState, Web
from tests.instance.fakes import LoopClock, open_guard, run

SCOPE = {
    'type': 'http',
    'server': ('127.0.0.1', 1),
    'method': 'POST',
    'path': '/batch/1',
    'query_string': b'',
    'headers': [],
}


class _Intake(NamedTuple):
    calls: list[Call]
    max_body_bytes: int = 1_000

    async def answer(self, call: Call) -> Answer:
        """Record the call and accept it."""
        self.calls.append(call)
        return Answer(OK)

    def refuse_body(self, *_: object) -> Answer:
        """Refuse a call whose body did not arrive whole."""
        return Answer(UNAVAILABLE)


class _Rejecting(NamedTuple):
    lengths: list[int]
    max_body_bytes: int = 1_000

    def judge_head(self, _: Call, length: int) -> Answer:
        """Reject a call, whatever its body."""
        self.lengths.append(length)
        return Answer(NOT_FOUND)


class _Broken(NamedTuple):
    error: Exception | None
    max_body_bytes: int = 1_000

    async def answer(self, _: Call) -> Answer:
        """Fail, or never end."""
        if self.error is not None:
            raise self.error
        await anyio.sleep_forever()
        raise AssertionError


class _Conversation:
    """One call to the application, and its answer."""

    def __init__(self, intake: object, method: str) -> None:
        """Prepare a call."""
        self.statuses: list[int] = []
        self.faults = Faults(LoopClock())
        self._method = method
        self._web = _web(intake, self.faults)

    async def run(self) -> None:
        """Make the call."""
        scope = {**SCOPE, 'method': self._method}
        await self._web(scope, self._receive, self._send)

    async def _receive(self) -> dict[str, Any]:
        return {'type': 'http.request', 'body': b'', 'more_body': False}

    async def _send(self, message: dict[str, Any]) -> None:
        await anyio.lowlevel.checkpoint()
        if message['type'] == 'http.response.start':
            self.statuses.append(message['status'])


def _web(intake: object, faults: Faults) -> Web:
    return Web(
        intake,
        None,
        Metrics(),
        ShutdownState(),
        2,
        None,
        faults,
        LoopMonitor(LoopClock()),
        open_guard().bodies,
        open_guard().refusals,
    )


class UnfinishedCallTest(unittest.TestCase):
    """A call that nobody finished may have taken effect."""

    def test_a_call_that_is_cut_off_by_the_end_is_not_told_as_failed(
        self,
    ) -> None:
        """Its job was recorded while the server stopped, and ran."""

        async def main() -> None:
            cut_off = _Conversation(_Broken(None), 'POST')
            with anyio.move_on_after(0.01):
                await cut_off.run()
            self.assertEqual(cut_off.statuses, [GATEWAY_TIMEOUT])

        anyio.run(main)

    def test_an_unexpected_error_is_not_told_as_failure_of_a_change(
        self,
    ) -> None:
        """The error may come after the effect; a question has none."""
        error = ExceptionGroup('group', [OverflowError('port')])
        for method, status in (
            ('POST', GATEWAY_TIMEOUT),
            ('DELETE', GATEWAY_TIMEOUT),
            ('GET', INTERNAL_ERROR),
        ):
            with self.subTest(method=method):
                failed = _Conversation(_Broken(error), method)
                anyio.run(failed.run)
                self.assertEqual(failed.statuses, [status])
                self.assertEqual(failed.faults.count, 1)


class BlockedLoopTest(unittest.TestCase):
    """A request may have been sent long before the instance reads it."""

    def test_a_request_that_waited_longer_than_its_caller_is_known(
        self,
    ) -> None:
        """Also if another instance has passed it on."""
        intake = _Intake([])
        web = _web(intake, Faults(LoopClock()))

        async def receive() -> dict[str, Any]:
            return {'type': 'http.request', 'body': b'', 'more_body': False}

        async def send(_: dict[str, Any]) -> None:
            """Discard the answer."""

        async def main() -> None:
            sent = Sent({'deadline-ms': '3000'}, b'')
            for blocked_ms in (0, 3_500, 0):
                if blocked_ms:
                    web.turns.note_delay(blocked_ms)
                headers = [(b'deadline-ms', b'3000')]
                await web({**SCOPE, 'headers': headers}, receive, send)
                await web.answer_internal('POST', RELAY_PATH, 'path=/', sent)
            await anyio.sleep(RESUME_MS / 1_000 + 0.1)
            await web({**SCOPE, 'headers': headers}, receive, send)

        run(main)
        left = [call.wait_s > 0 for call in intake.calls]
        self.assertEqual(left, [True, True] + 4 * [False] + [True])


class RelayedCallTest(unittest.TestCase):
    """Calls that another instance passed on."""

    def test_a_version_that_is_no_number_fails_no_call(self) -> None:
        """It may come from any writer."""
        intake = _Intake([])
        web = _web(intake, Faults(LoopClock()))
        versions = ('7', '', 'x', '9' * 5_000)
        for version in versions:
            sent = Sent({MIN_VERSION_HEADER.lower(): version}, b'')
            anyio.run(web.answer_internal, 'POST', RELAY_PATH, 'path=/', sent)
        found = [call.min_version for call in intake.calls]
        self.assertEqual(found, [7, 0, 0, 0])


class EarlyAnswerTest(unittest.TestCase):
    """What is wrong with a head is told without the body."""

    def test_no_body_is_received_and_the_connection_closes(self) -> None:
        """What follows on it would be the rest of that body."""
        intake = _Rejecting([])
        web = _web(intake, Faults(LoopClock()))
        sent: list[dict[str, Any]] = []

        async def receive() -> dict[str, Any]:
            raise AssertionError('the body was received')

        async def send(message: dict[str, Any]) -> None:
            await anyio.lowlevel.checkpoint()
            sent.append(message)

        for header in (
            (b'content-length', b'1000'),
            (b'content-length', b'9' * 20),
            (b'transfer-encoding', b'chunked'),
        ):
            anyio.run(web, {**SCOPE, 'headers': [header]}, receive, send)
        starts = sent[::2]
        self.assertEqual(
            [row['status'] for row in starts], [NOT_FOUND, NOT_FOUND, NOT_FOUND]
        )
        for row in starts:
            self.assertIn((b'connection', b'close'), row['headers'])
        self.assertEqual(intake.lengths[0], 1_000)
        self.assertGreater(intake.lengths[1], 10**12)


class PatienceTest(unittest.TestCase):
    """A body has as long to arrive as its caller waits."""

    def test_a_slow_body_leaves_its_caller_less_time(self) -> None:
        """Without a deadline, the time to answer begins behind the body."""
        intake = _Intake([])
        web = _web(intake, Faults(LoopClock()))

        async def receive() -> dict[str, Any]:
            await anyio.sleep(2)
            return {'type': 'http.request', 'body': b'', 'more_body': False}

        async def send(_: dict[str, Any]) -> None:
            """Discard the answer."""

        async def main() -> None:
            for headers in ([(b'deadline-ms', b'5000')], []):
                await web({**SCOPE, 'headers': headers}, receive, send)

        run(main)
        left = [round(call.wait_s, 3) for call in intake.calls]
        self.assertEqual(left, [3, DEFAULT_WAIT_S])

    def test_a_body_behind_the_deadline_of_its_caller_is_given_up(self) -> None:
        """It was waited for as long as the connection stayed open."""
        intake = _Intake([])
        web = _web(intake, Faults(LoopClock()))

        async def send(_: dict[str, Any]) -> None:
            """Discard the answer."""

        async def main() -> None:
            for headers, took_s in (
                ([(b'deadline-ms', b'5000')], 5),
                ([(b'deadline-ms', b'0')], MIN_WAIT_S),
                ([(b'deadline-ms', b'x')], MAX_BODY_S),
                ([], MAX_BODY_S),
            ):
                began = anyio.current_time()
                scope = {**SCOPE, 'headers': headers}
                await web(scope, anyio.sleep_forever, send)
                self.assertAlmostEqual(anyio.current_time() - began, took_s)

        run(main)
        self.assertEqual(intake.calls, [])


class WebTest(unittest.TestCase):
    """Only complete calls reach the intake."""

    def send_call(self, *messages: dict[str, Any]) -> list[Call]:
        """Send the messages of one call; return the calls of the intake."""
        intake = _Intake([])
        web = _web(intake, Faults(LoopClock()))
        pieces = iter(messages)

        async def receive() -> dict[str, Any]:
            return next(pieces)

        async def send(_: dict[str, Any]) -> None:
            """Discard the answer."""

        anyio.run(web, SCOPE, receive, send)
        return intake.calls

    def test_a_whole_call_is_taken(self) -> None:
        """Its body is put together from several messages."""
        calls = self.send_call(
            {'type': 'http.request', 'body': b'ab', 'more_body': True},
            {'type': 'http.request', 'body': b'c', 'more_body': False},
        )
        self.assertEqual([call.content for call in calls], [b'abc'])

    def test_a_call_that_breaks_off_is_not(self) -> None:
        """Its body is incomplete."""
        calls = self.send_call(
            {'type': 'http.request', 'body': b'ab', 'more_body': True},
            {'type': 'http.disconnect'},
        )
        self.assertEqual(calls, [])
