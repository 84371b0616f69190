"""Tests of the HTTP side that need no server."""

import unittest
from typing import Any, NamedTuple

import anyio

from swifthoist_instance.intake import OK, Answer, Call
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
        """Take every call."""
        self.calls.append(call)
        return Answer(OK)


class WebTest(unittest.TestCase):
    """Calls get to the intake whole, or not at all."""

    def send_call(self, *messages: dict[str, Any]) -> list[Call]:
        """Have a call come in pieces."""
        intake = _Intake([])
        web = Web(intake, None, Metrics(), ShutdownState(), 2)
        pieces = iter(messages)

        async def receive() -> dict[str, Any]:
            return next(pieces)

        async def send(_: dict[str, Any]) -> None:
            """Nobody waits for it."""

        anyio.run(web, SCOPE, receive, send)
        return intake.calls

    def test_a_whole_call_is_taken(self) -> None:
        """With its pieces put together."""
        calls = self.send_call(
            {'type': 'http.request', 'body': b'ab', 'more_body': True},
            {'type': 'http.request', 'body': b'c', 'more_body': False},
        )
        self.assertEqual([call.content for call in calls], [b'abc'])

    def test_a_call_that_breaks_off_is_not(self) -> None:
        """What came of it is not what its caller sent."""
        calls = self.send_call(
            {'type': 'http.request', 'body': b'ab', 'more_body': True},
            {'type': 'http.disconnect'},
        )
        self.assertEqual(calls, [])
