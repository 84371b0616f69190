"""Tests of a call whose timeout is extended while it runs out."""

import unittest
from collections.abc import AsyncIterator

import anyio
import httpx

from swifthoist_core.errors import AnswerLateError
from swifthoist_platform.calls import Call, Patience, send
from tests.instance.fakes import run

TIMEOUT_S = 1.0
ADDRESS = 'http://store'


class _ExtendedTransport(httpx.AsyncHTTPTransport):
    """Gives no answer; a call is extended just after its timeout."""

    def __init__(self, patience: Patience) -> None:
        super().__init__()
        self._patience = patience

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Wait until the call times out."""
        try:
            await anyio.sleep_forever()
        finally:
            self._patience.extend(2 * TIMEOUT_S)
        return httpx.Response(200)


class _LateBody(httpx.AsyncByteStream):
    """Has its first chunk just after the timeout, and no end."""

    async def __aiter__(self) -> AsyncIterator[bytes]:
        with anyio.CancelScope(shield=True):
            await anyio.sleep(TIMEOUT_S)
        yield b'chunk'
        await anyio.sleep_forever()


class _LateTransport(httpx.AsyncHTTPTransport):
    """Answers at once, with a late body."""

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Answer."""
        return httpx.Response(200, stream=_LateBody())


class ExtendedCallTest(unittest.TestCase):
    """As where the process stood still around the end of the timeout."""

    def expect_late(
        self, transport: httpx.AsyncHTTPTransport, call: Call
    ) -> None:
        """Make a call that times out."""

        async def main() -> None:
            request = httpx.Request(call.method, ADDRESS)
            with self.assertRaises(AnswerLateError):
                await send(transport, request, call)

        run(main)

    def test_a_timeout_that_is_extended_too_late_is_a_late_answer(self) -> None:
        """It was the journal's own fault, which ended its task."""
        patience = Patience()
        call = Call('POST', '/', TIMEOUT_S, patience=patience)
        self.expect_late(_ExtendedTransport(patience), call)

    def test_a_chunk_that_comes_at_the_timeout_extends_no_call(self) -> None:
        """The rest of the body is not waited for."""
        call = Call('GET', '/', TIMEOUT_S, read_timeout_s=TIMEOUT_S)
        self.expect_late(_LateTransport(), call)
