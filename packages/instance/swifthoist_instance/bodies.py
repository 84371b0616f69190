"""Receives the bodies of requests, within limits of size, memory and time."""

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any, TypeAlias

import anyio

from swifthoist_instance.body_room import Body, BodyRoom
from swifthoist_instance.fair_turns import FairTurns
from swifthoist_instance.refusals import Refusal

Receive: TypeAlias = Callable[[], Awaitable[dict[str, Any]]]

MAX_BODY_S = 20.0
"""Longest time for a body to arrive, in seconds, however long its caller would
wait: the largest one then comes at 13 KB/s."""

BATCH_PIECES = 16
"""Number of pieces of a body that are taken in a turn. A piece costs the same
however small it is."""

FREE_PIECES = 64
"""Number of pieces of a body that need no turn: at 16 KB each, more than any
body has."""


class Bodies:
    """Receives the bodies of requests."""

    def __init__(self, room: BodyRoom, turns: FairTurns) -> None:
        """Receive bodies into a common room.

        :param room: what all bodies may hold together.
        :param turns: turns of bodies that come in very many pieces.
        """
        self._room = room
        self._turns = turns

    @property
    def held_bytes(self) -> int:
        """Size of all large bodies, in bytes."""
        return self._room.held_bytes

    @property
    def limit_bytes(self) -> int:
        """Largest size of all of them, in bytes."""
        return self._room.limit_bytes

    @contextmanager
    def open(self) -> Iterator[Body]:
        """Hold a body for as long as its request is being served.

        :returns: a context manager of the body.
        """
        body = self._room.open()
        try:
            yield body
        finally:
            self._room.close(body)

    async def receive(
        self, receive: Receive, body: Body, max_bytes: int, wait_s: float
    ) -> Refusal | None:
        """Receive a body.

        :param receive: receives its next piece.
        :param body: where the pieces go.
        :param max_bytes: its largest size, in bytes.
        :param wait_s: how long its caller waits for the answer, in seconds.
        :returns: why it is not whole; none if it is.
        """
        refusal: Refusal | None = Refusal.BODY_LATE
        with anyio.move_on_after(min(wait_s, MAX_BODY_S)) as scope:
            body.stop = scope.cancel
            refusal = await self._receive_all(receive, body, max_bytes)
        return Refusal.BODY_ROOM if body.given_up else refusal

    async def _receive_all(
        self, receive: Receive, body: Body, max_bytes: int
    ) -> Refusal | None:
        pieces = 0
        while not (body.whole or body.given_up):
            message = await receive()
            if message['type'] != 'http.request':
                return Refusal.BODY_BROKEN_OFF
            piece = message.get('body', b'')
            if body.size + len(piece) > max_bytes:
                return Refusal.BODY_LENGTH
            self._room.add(body, piece)
            body.whole = not message.get('more_body')
            pieces += 1
            if pieces >= FREE_PIECES and pieces % BATCH_PIECES == 0:
                await self._turns.wait()
        return None
