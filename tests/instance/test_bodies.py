"""Tests of the reception of bodies, without a network."""

import unittest
from collections.abc import Iterable
from typing import Any

import anyio

from swifthoist_instance.bodies import BATCH_PIECES, FREE_PIECES, MAX_BODY_S
from swifthoist_instance.refusals import Refusal
from tests.instance.fakes import open_guard, run


class _Client:
    """Sends pieces, and then nothing more."""

    def __init__(self, pieces: Iterable[bytes], *, ends: bool = True) -> None:
        """Send the pieces; the last one ends the body if ``ends`` is set."""
        self._pieces = list(pieces)
        self._ends = ends

    async def receive(self) -> dict[str, Any]:
        """Return the next piece."""
        if not self._pieces:
            await anyio.sleep_forever()
        piece = self._pieces.pop(0)
        more = bool(self._pieces) or not self._ends
        return {'type': 'http.request', 'body': piece, 'more_body': more}


async def _break_off() -> dict[str, Any]:
    return {'type': 'http.disconnect'}


class ReceptionTest(unittest.TestCase):
    """A body arrives whole, or there is a reason."""

    def test_pieces_become_one_body(self) -> None:
        """However many they are."""

        async def main() -> None:
            count = FREE_PIECES + 3 * BATCH_PIECES
            client = _Client((b'ab',) * count)
            bodies = open_guard().bodies
            with bodies.open() as body:
                found = await bodies.receive(client.receive, body, 1_000, 3)
                self.assertIsNone(found)
                self.assertEqual(body.content, b'ab' * count)

        run(main)

    def test_a_body_without_a_length_meets_the_limit_as_it_arrives(
        self,
    ) -> None:
        """Nothing behind the limit is read."""

        async def main() -> None:
            client = _Client((b' ' * 400,) * 9, ends=False)
            bodies = open_guard().bodies
            with bodies.open() as body:
                found = await bodies.receive(client.receive, body, 1_000, 3)
                self.assertIs(found, Refusal.BODY_LENGTH)
                self.assertEqual(len(body.content), 800)

        run(main)

    def test_a_body_that_stops_short_is_given_up(self) -> None:
        """It was waited for as long as its connection stayed open."""

        async def main() -> None:
            for wait_s, limit_s in ((3, 3), (60, MAX_BODY_S)):
                with self.subTest(wait_s=wait_s):
                    client = _Client([b' '], ends=False)
                    began = anyio.current_time()
                    bodies = open_guard().bodies
                    with bodies.open() as body:
                        found = await bodies.receive(
                            client.receive, body, 1_000, wait_s
                        )
                    self.assertIs(found, Refusal.BODY_LATE)
                    took_s = anyio.current_time() - began
                    self.assertAlmostEqual(took_s, limit_s)

        run(main)

    def test_a_client_that_goes_leaves_no_body(self) -> None:
        """Its request is not served with the part that arrived."""

        async def main() -> None:
            bodies = open_guard().bodies
            with bodies.open() as body:
                found = await bodies.receive(_break_off, body, 1_000, 3)
                self.assertIs(found, Refusal.BODY_BROKEN_OFF)

        run(main)

    def test_a_body_that_is_given_up_stops_waiting(self) -> None:
        """Its caller is told at once that there is no room."""

        async def main() -> None:
            bodies = open_guard().bodies
            client = _Client([b' ' * 100_000], ends=False)
            with bodies.open() as body:
                async with anyio.create_task_group() as tasks:

                    async def give_up() -> None:
                        await anyio.sleep(1)
                        body.given_up = True
                        body.stop()

                    tasks.start_soon(give_up)
                    found = await bodies.receive(
                        client.receive, body, 200_000, 3
                    )
                self.assertIs(found, Refusal.BODY_ROOM)
                self.assertAlmostEqual(anyio.current_time(), 1)

        run(main)
