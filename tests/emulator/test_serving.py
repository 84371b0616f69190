"""Tests of the servers of the emulated platform."""

import errno
import socket
import unittest

import anyio

from swifthoist_core.clock import SystemClock
from swifthoist_emulator.http import Request, Response
from swifthoist_emulator.serving import ReservedPorts, ServedWorld
from swifthoist_emulator.site import STANDARD
from tests.streams import connect


class _SceneError(Exception):
    """What went wrong in a scene."""


class _SlowWorld(ServedWorld):
    """A world that answers nothing, and says when it is asked."""

    def expect(self) -> None:
        """Prepare to be asked."""
        self.asked = anyio.Event()

    async def answer(self, address: str, request: Request) -> Response:
        """Wait until the world ends, and for a moment longer."""
        self.asked.set()
        try:
            await anyio.sleep_forever()
        finally:
            with anyio.CancelScope(shield=True):
                await anyio.sleep(0.05)
        raise AssertionError('woken')


class ReservedTest(unittest.TestCase):
    """A reserved address can be used only by its program."""

    def setUp(self) -> None:
        """Reserve an address."""
        reserved = ReservedPorts(1)
        self.addCleanup(reserved.close)
        host, _, port = reserved.addresses[0].rpartition(':')
        self.address = (host, int(port))

    def test_nobody_else_is_given_a_reserved_address(self) -> None:
        """Otherwise an outgoing connection could take it.

        The instance that it was reserved for could not listen there.
        """
        with socket.socket() as other:
            with self.assertRaises(OSError) as caught:
                other.bind(self.address)
        self.assertEqual(caught.exception.errno, errno.EADDRINUSE)

    def test_a_server_may_listen_at_a_reserved_address(self) -> None:
        """It may also listen again after it has ended."""
        for _ in range(2):
            with socket.socket() as listener:
                listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                listener.bind(self.address)
                listener.listen()


class ServedWorldTest(unittest.TestCase):
    """A world ends with whoever runs it."""

    def test_the_error_of_a_scene_is_not_joined_by_one_of_the_server(
        self,
    ) -> None:
        """The one that was printed last hid the first one."""

        async def main() -> None:
            world = _SlowWorld(STANDARD, SystemClock())
            world.expect()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(world.run, tasks)
                async with await connect(world.store_address) as stream:
                    await stream.send(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
                    await world.asked.wait()
                    raise _SceneError

        with self.assertRaises(ExceptionGroup) as caught:
            anyio.run(main)
        kinds = [type(exc) for exc in caught.exception.exceptions]
        self.assertEqual(kinds, [_SceneError])
