"""Tests of an endpoint: few connections, and independent calls."""

import unittest
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import SocketAttribute, SocketStream

from swifthoist_core.errors import (
    AnswerLateError,
    OutcomeUnknownError,
    UnreachableError,
)
from swifthoist_platform.calls import Call
from swifthoist_platform.endpoint import MAX_CONNECTIONS, Endpoint

ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
ANSWER_DELAY_S = 0.2
UNUSABLE_ADDRESSES = (
    '127.0.0.1:99999',
    '127.0.0.1:65536',
    f'127.0.0.1:{"9" * 20}',
    f'127.0.0.1:{"9" * 5_000}',
    '127.0.0.1:\u0663',
    '127.0.0.1:',
    '\u2603:80',
    'a\x01:80',
    'xn--a:80',
    'xn--:80',
    '999.1.1.1:80',
    '[::1:80',
    '127.0.0.1:1:80',
    f'{"x" * 70_000}:80',
)


class _SlowServer:
    """Answers after a delay, except ``/never`` and ``/reset``.

    :ivar open: connections that are open.
    :ivar max_open: most connections that were open at a time.
    """

    def __init__(self) -> None:
        self.open = 0
        self.max_open = 0

    async def serve(self, stream: SocketStream) -> None:
        """Serve one connection until it closes."""
        self.open += 1
        self.max_open = max(self.max_open, self.open)
        try:
            async with stream:
                while True:
                    request = await stream.receive()
                    if b'/reset' in request:
                        return
                    if b'/never' in request:
                        await anyio.sleep_forever()
                    await anyio.sleep(ANSWER_DELAY_S)
                    await stream.send(ANSWER)
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return
        finally:
            self.open -= 1


class EndpointTest(unittest.TestCase):
    """Calls to one address."""

    def run_with_server(
        self, scenario: Callable[[Endpoint, _SlowServer], Awaitable[None]]
    ) -> None:
        """Run a scenario against a server."""

        async def main() -> None:
            server = _SlowServer()
            listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
            port = listener.extra(SocketAttribute.local_port)
            endpoint = Endpoint(f'127.0.0.1:{port}')
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, server.serve)
                await scenario(endpoint, server)
                await endpoint.close()
                tasks.cancel_scope.cancel()

        anyio.run(main)

    def test_a_call_without_an_answer_ends_no_other(self) -> None:
        """Otherwise one call without an answer fails hundreds of others."""

        async def scenario(endpoint: Endpoint, server: _SlowServer) -> None:
            statuses: list[int] = []

            async def call() -> None:
                reply = await endpoint.call(Call('GET', '/', 2))
                statuses.append(reply.status)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(call)
                await anyio.sleep(ANSWER_DELAY_S / 4)
                with self.assertRaises(OutcomeUnknownError):
                    await endpoint.call(
                        Call('GET', '/never', ANSWER_DELAY_S / 2)
                    )
            self.assertEqual(statuses, [200])

        self.run_with_server(scenario)

    def test_a_call_that_can_not_be_made_counts_as_not_sent(self) -> None:
        """Whoever makes it catches no other error."""

        async def main() -> None:
            for address in UNUSABLE_ADDRESSES:
                endpoint = Endpoint(address)
                with self.subTest(address=address[:30]):
                    with self.assertRaises(UnreachableError):
                        await endpoint.call(Call('GET', '/', 1))
                await endpoint.close()

        anyio.run(main)

    def test_a_call_that_no_request_carries_counts_as_not_sent(self) -> None:
        """A part that came from elsewhere is no text of a URL or a header."""

        async def scenario(endpoint: Endpoint, server: _SlowServer) -> None:
            calls = (
                Call('GET', '/', 1, headers={'Expect-Instance': 'caf\xe9'}),
                Call('GET', '/', 1, headers={'Expect-Instance': '\u2603'}),
                Call('GET', '/?PageToken=\x01', 1),
                Call('GET', f'/?PageToken={"x" * 70_000}', 1),
            )
            for call in calls:
                with self.assertRaises(UnreachableError):
                    await endpoint.call(call)
            self.assertEqual(server.max_open, 0)

        self.run_with_server(scenario)

    def test_an_answer_that_is_late_is_told_apart_from_one_that_breaks_off(
        self,
    ) -> None:
        """Only a late answer means that a smaller read may succeed."""

        async def scenario(endpoint: Endpoint, server: _SlowServer) -> None:
            with self.assertRaises(AnswerLateError):
                await endpoint.call(Call('GET', '/never', ANSWER_DELAY_S / 2))
            with self.assertRaises(OutcomeUnknownError) as caught:
                await endpoint.call(Call('GET', '/reset', 2))
            self.assertNotIsInstance(caught.exception, AnswerLateError)

        self.run_with_server(scenario)

    def test_many_calls_share_few_connections(self) -> None:
        """Many connections at once would overflow the server's backlog."""

        async def scenario(endpoint: Endpoint, server: _SlowServer) -> None:
            async with anyio.create_task_group() as tasks:
                for _ in range(3 * MAX_CONNECTIONS):
                    tasks.start_soon(endpoint.call, Call('GET', '/', 5))
            self.assertLessEqual(server.max_open, MAX_CONNECTIONS)

        self.run_with_server(scenario)
