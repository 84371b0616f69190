"""Tests of which bodies are given up, without a network."""

import unittest

import anyio

from swifthoist_instance.body_room import Body, BodyRoom
from swifthoist_instance.limits import LARGE_BODY_BYTES
from tests.instance.fakes import LoopClock, run

LARGE = LARGE_BODY_BYTES + 1
LIMIT = 5 * LARGE


def _room() -> BodyRoom:
    return BodyRoom(lambda: LIMIT, LoopClock())


def _filled(room: BodyRoom, size: int = LARGE) -> Body:
    body = room.open()
    room.add(body, b' ' * size)
    return body


class BodyRoomTest(unittest.TestCase):
    """All large bodies together keep to the limit."""

    def test_small_bodies_are_never_given_up(self) -> None:
        """However many there are, and however full the room is."""

        async def main() -> None:
            room = _room()
            large = [_filled(room) for _ in range(5)]
            small = [_filled(room, LARGE_BODY_BYTES) for _ in range(500)]
            self.assertFalse(any(body.given_up for body in large + small))
            self.assertEqual(room.held_bytes, LIMIT)

        run(main)

    def test_bodies_that_stopped_do_not_keep_out_one_that_arrives(self) -> None:
        """They are given up, the one that came at the lowest rate first."""

        async def main() -> None:
            room = _room()
            stopped = []
            for _ in range(5):
                stopped.append(_filled(room))
                await anyio.sleep(1)
            arriving = _filled(room)
            self.assertFalse(arriving.given_up)
            given_up = [body.given_up for body in stopped]
            self.assertEqual(given_up, [True, False, False, False, False])
            self.assertEqual(stopped[0].content, b'')

        run(main)

    def test_a_body_that_trickles_does_not_keep_out_others(self) -> None:
        """Some bytes a second don't make it one that goes on."""

        async def main() -> None:
            room = _room()
            trickling = _filled(room, 4 * LARGE)
            for _ in range(10):
                await anyio.sleep(1)
                room.add(trickling, b' ')
            arriving = _filled(room)
            self.assertFalse(arriving.given_up)
            self.assertTrue(trickling.given_up)

        run(main)

    def test_a_whole_body_is_kept_and_the_newcomer_is_refused(self) -> None:
        """What is being served has been paid for."""

        async def main() -> None:
            room = _room()
            whole = [_filled(room) for _ in range(5)]
            for body in whole:
                body.whole = True
            newcomer = _filled(room)
            self.assertTrue(newcomer.given_up)
            self.assertFalse(any(body.given_up for body in whole))
            room.close(whole[0])
            self.assertFalse(_filled(room).given_up)

        run(main)

    def test_closed_bodies_leave_nothing(self) -> None:
        """Also those that were given up before."""

        async def main() -> None:
            room = _room()
            bodies = [_filled(room, 2 * LARGE) for _ in range(9)]
            for body in bodies:
                room.close(body)
            self.assertEqual(room.held_bytes, 0)

        run(main)
