"""Tests of which connections are closed, without a network."""

import unittest

from swifthoist_instance.connections import Connection, Connections, Phase

LIMIT = 3


def _connection(since_s: float, phase: Phase) -> Connection:
    return Connection('127.0.0.1', since_s, lambda: None, phase)


def _full(*phases: Phase) -> tuple[Connections, list[Connection]]:
    connections = Connections(lambda: LIMIT)
    admitted = [_connection(at, phase) for at, phase in enumerate(phases)]
    for connection in admitted:
        connections.admit(connection)
    return connections, admitted


class ConnectionsTest(unittest.TestCase):
    """An address that is full still takes callers."""

    def test_silent_connections_do_not_keep_out_others(self) -> None:
        """The one that has been silent for longest is closed."""
        connections, admitted = _full(Phase.IDLE, Phase.IDLE, Phase.IDLE)
        closed = connections.admit(_connection(9, Phase.IDLE))
        self.assertIs(closed, admitted[0])
        self.assertEqual(len(connections), LIMIT)

    def test_what_is_of_least_use_is_closed_first(self) -> None:
        """What only drops data, then idle ones, then unfinished requests."""
        connections, admitted = _full(
            Phase.RECEIVING, Phase.IDLE, Phase.CLOSING
        )
        closed = [
            connections.admit(_connection(9, Phase.SERVING)) for _ in range(3)
        ]
        self.assertEqual(closed, list(reversed(admitted)))

    def test_requests_that_are_being_served_stay(self) -> None:
        """The new connection is closed instead."""
        connections, admitted = _full(
            Phase.SERVING, Phase.SERVING, Phase.SERVING
        )
        newcomer = _connection(9, Phase.IDLE)
        self.assertIs(connections.admit(newcomer), newcomer)
        connections.remove(admitted[1])
        self.assertIsNone(connections.admit(newcomer))

    def test_a_phase_that_goes_on_keeps_its_beginning(self) -> None:
        """Bytes now and then don't make a connection a younger one."""
        connection = _connection(1, Phase.RECEIVING)
        connection.enter(Phase.RECEIVING, 5)
        self.assertEqual(connection.since_s, 1)
        connection.enter(Phase.IDLE, 6)
        self.assertEqual(connection.since_s, 6)

    def test_want_of_descriptors_frees_one(self) -> None:
        """Nothing is freed while all connections are being served."""
        connections, admitted = _full(Phase.IDLE, Phase.SERVING)
        self.assertIs(connections.free_one(), admitted[0])
        self.assertIsNone(connections.free_one())
