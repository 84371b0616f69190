"""Tests of calls to the platform."""

import unittest

import anyio
import httpx
import trio.testing

from swifthoist_core.errors import OutcomeUnknownError
from swifthoist_platform.calls import Call, send


class CallTest(unittest.TestCase):
    """A call takes no longer than it may."""

    def test_a_reply_that_trickles_in_is_given_up_in_time(self) -> None:
        """However often a further byte arrives."""

        async def trickle():
            while True:
                await anyio.sleep(0.5)
                yield b'x'

        async def handle(_: httpx.Request) -> httpx.Response:
            return httpx.Response(200, content=trickle())

        async def scene() -> None:
            transport = httpx.MockTransport(handle)
            async with httpx.AsyncClient(transport=transport) as http:
                call = Call('GET', 'http://127.0.0.1:1/', 2.0)
                with (
                    trio.move_on_after(50),
                    self.assertRaises(OutcomeUnknownError),
                ):
                    await send(http, call)
            self.assertAlmostEqual(trio.current_time(), 2.0)

        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(scene, clock=clock)
