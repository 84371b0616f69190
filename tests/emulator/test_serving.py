"""Tests of the servers of the emulated platform."""

import errno
import socket
import unittest

from swifthoist_emulator.serving import ReservedPorts


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
