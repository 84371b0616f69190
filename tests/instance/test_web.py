"""Tests of the HTTP layer that need no server."""

import unittest
from typing import Any, NamedTuple

import anyio

from swifthoist_instance.messages import OK, Answer, Call
from swifthoist_instance.metrics import Metrics
from swifthoist_instance.web import ShutdownState, Web

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

    async def answer(self, call: Call) -> Answer:
        """Record the call and accept it."""
        self.calls.append(call)
        return Answer(OK)


class WebTest(unittest.TestCase):
    """Only complete calls reach the intake."""

    def send_call(self, *messages: dict[str, Any]) -> list[Call]:
        """Send the messages of one call; return the calls of the intake."""
        intake = _Intake([])
        web = Web(intake, None, Metrics(), ShutdownState(), 2, None)
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
