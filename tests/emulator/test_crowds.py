"""Tests of the clients that keep to no limit."""

import unittest

import anyio
from anyio.abc import SocketAttribute, SocketStream

from swifthoist_emulator.crowds import Crowd, Visit, bad_visits

COUNT = 5


class CrowdTest(unittest.TestCase):
    """A crowd sends all that it can, and stays until it leaves."""

    def test_every_client_sends_its_pieces_and_stays(self) -> None:
        """The other end sees all of it, and no end before the crowd leaves."""
        received: list[bytes] = []
        ended: list[bool] = []

        async def serve(stream: SocketStream) -> None:
            async with stream:
                content = await stream.receive()
                while len(content) < 5:
                    content += await stream.receive()
                received.append(content)
                ended.append(leaving.is_set())
                with self.assertRaises(anyio.EndOfStream):
                    await stream.receive()
                ended.append(leaving.is_set())

        async def main() -> None:
            listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
            port = listener.extra(SocketAttribute.local_port)
            async with listener, anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, serve)
                visit = Visit(b'a', b'bc', 2)
                crowd = Crowd(f'127.0.0.1:{port}', visit, COUNT)
                await crowd.press(5)
                while len(received) < COUNT:
                    await anyio.sleep(0.01)
                leaving.set()
                await crowd.leave()
                while len(ended) < 2 * COUNT:
                    await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()

        leaving = anyio.Event()
        anyio.run(main)
        self.assertEqual(set(received), {b'abcbc'})
        self.assertEqual(ended.count(True), COUNT)

    def test_no_visit_is_a_whole_submission_that_is_accepted(self) -> None:
        """Crowds add no jobs that a soak would have to expect."""
        for visit in bad_visits('/bulk/1', 'key'):
            sent = b''.join(visit.sent())
            self.assertNotIn(b'"Count"', sent)
