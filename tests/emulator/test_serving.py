"""Tests of what serves the stand-ins."""

import errno
import socket
import unittest

from swifthoist_emulator.serving import ReservedPorts


class ReservedTest(unittest.TestCase):
    """Addresses are for the program that they were reserved for."""

    def setUp(self) -> None:
        """Reserve an address."""
        reserved = ReservedPorts(1)
        self.addCleanup(reserved.close)
        host, _, port = reserved.addresses[0].rpartition(':')
        self.address = (host, int(port))

    def test_nobody_else_is_given_a_reserved_address(self) -> None:
        """An instance could not listen at one that went to a connection."""
        with socket.socket() as other:
            with self.assertRaises(OSError) as caught:
                other.bind(self.address)
        self.assertEqual(caught.exception.errno, errno.EADDRINUSE)

    def test_a_server_may_listen_at_a_reserved_address(self) -> None:
        """Also again, after it has ended."""
        for _ in range(2):
            with socket.socket() as server:
                server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                server.bind(self.address)
                server.listen()
