"""Tests of single connections, over loopback."""

import unittest
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import mock

import anyio
import anyio.lowlevel
from anyio.abc import SocketStream

from swifthoist_emulator.serving import ReservedPorts
from swifthoist_instance import conversations
from swifthoist_instance.listening import ListenAddress, Listening
from swifthoist_instance.refusals import Refusal, Refusals
from tests.instance.fakes import LoopClock
from tests.streams import connect, receive_all

REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
ANSWER_START = b'HTTP/1.1 200'
LIMIT = 5
WAIT_S = 20.0
"""Time after which a test has failed, in seconds."""


async def _app(scope: dict[str, Any], receive: Any, send: Any) -> None:
    """Answer at once, without receiving a body."""
    start = {'type': 'http.response.start', 'status': 200}
    await send({**start, 'headers': [(b'content-length', b'0')]})
    await send({'type': 'http.response.body', 'body': b''})


class ConversationTest(unittest.TestCase):
    """A connection lasts as long as it is of use."""

    def setUp(self) -> None:
        """Count refusals."""
        self.refusals = Refusals(LoopClock())

    def run_client(
        self,
        client: Callable[[str], Awaitable[None]],
        app: Callable[..., Awaitable[None]] = _app,
        **limits: float,
    ) -> None:
        """Run a client against a server, with changed time limits."""

        async def main() -> None:
            ports = ReservedPorts(1)
            address = ports.addresses[0]
            stopped = anyio.Event()
            server = Listening(app, self.refusals)
            with anyio.fail_after(WAIT_S):
                async with anyio.create_task_group() as tasks:
                    bound = ListenAddress(address, lambda: LIMIT)
                    tasks.start_soon(server.run, [bound], stopped)
                    await anyio.lowlevel.checkpoint()
                    await client(address)
                    stopped.set()
            ports.close()

        usual = {'HEAD_S': conversations.HEAD_S}
        with mock.patch.multiple(conversations, **{**usual, **limits}):
            anyio.run(main)

    def test_a_head_in_two_pieces_behind_a_pause_is_served(self) -> None:
        """The time of the head counted from the request before it."""

        async def client(address: str) -> None:
            async with await connect(address) as stream:
                await _ask(stream, REQUEST)
                await anyio.sleep(2.2)
                await stream.send(REQUEST[:10])
                await anyio.sleep(0.1)
                await _ask(stream, REQUEST[10:])

        self.run_client(client, HEAD_S=2)
        self.assertEqual(self.refusals.counts()['refused_head_late'], 0)

    def test_a_connection_without_a_request_is_closed(self) -> None:
        """Whether it has had one before or not."""

        async def client(address: str) -> None:
            for requests in range(2):
                async with await connect(address) as stream:
                    for _ in range(requests):
                        await _ask(stream, REQUEST)
                    with self.assertRaises(anyio.EndOfStream):
                        await stream.receive()

        self.run_client(client, KEEP_ALIVE_S=0.5)

    def test_a_head_that_does_not_end_is_closed(self) -> None:
        """Also if a byte comes now and then."""

        async def client(address: str) -> None:
            async with await connect(address) as stream:
                with self.assertRaises(anyio.BrokenResourceError):
                    while True:
                        await stream.send(b'x')
                        await anyio.sleep(0.1)

        self.run_client(client, HEAD_S=1)
        count = self.refusals.counts()[
            f'refused_{Refusal.HEAD_LATE.name}'.lower()
        ]
        self.assertEqual(count, 1)

    def test_an_answer_that_comes_before_the_body_is_seen(self) -> None:
        """More pieces than wait for the application were a deadlock."""

        async def client(address: str) -> None:
            head = (
                b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5000000\r\n\r\n'
            )
            async with await connect(address) as stream:
                await stream.send(head + b' ' * 4_000_000)
                self.assertIn(ANSWER_START, await stream.receive())

        self.run_client(client)

    def test_a_client_that_ends_its_own_side_gets_its_answer(self) -> None:
        """The end was taken for a client that has gone."""

        async def app(scope: dict[str, Any], receive: Any, send: Any) -> None:
            await anyio.sleep(0.2)
            await _app(scope, receive, send)

        async def client(address: str) -> None:
            for count in (1, 3):
                async with await connect(address) as stream:
                    await stream.send(REQUEST * count)
                    await stream.send_eof()
                    found = await receive_all(stream)
                    self.assertEqual(found.count(ANSWER_START), count)

        self.run_client(client, app)

    def test_a_body_that_its_client_ends_early_is_refused(self) -> None:
        """The connection does not stay open for the rest."""

        async def app(scope: dict[str, Any], receive: Any, send: Any) -> None:
            while (await receive())['type'] == 'http.request':
                pass

        async def client(address: str) -> None:
            head = b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n'
            async with await connect(address) as stream:
                await stream.send(head + b'12345678')
                await stream.send_eof()
                self.assertIn(b'HTTP/1.1 400', await receive_all(stream))

        self.run_client(client, app)

    def test_requests_sent_ahead_are_answered_in_turn(self) -> None:
        """And a connection that is closed leaves the others alone."""

        async def client(address: str) -> None:
            async with await connect(address) as stream:
                await stream.send(REQUEST * 50)
                found = b''
                while found.count(ANSWER_START) < 50:
                    found += await stream.receive()
            async with await connect(address) as stream:
                await _ask(stream, REQUEST)

        self.run_client(client)

    def test_more_connections_than_allowed_close_the_oldest(self) -> None:
        """A request on the newest one is served."""

        async def client(address: str) -> None:
            silent = [await connect(address) for _ in range(LIMIT)]
            async with await connect(address) as stream:
                await _ask(stream, REQUEST)
                with self.assertRaises(anyio.EndOfStream):
                    await silent[0].receive()
            for other in silent:
                await other.aclose()

        self.run_client(client)
        self.assertEqual(self.refusals.counts()['refused_connections'], 1)


async def _ask(stream: SocketStream, request: bytes) -> None:
    await stream.send(request)
    received = await stream.receive()
    assert received.startswith(ANSWER_START), received
