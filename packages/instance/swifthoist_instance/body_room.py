"""Decides which bodies may be received while memory is short.

Bodies that are not large always may. All large ones together are bounded; when
another piece doesn't fit, the one that has arrived at the lowest rate is given
up, so that clients that stop short don't keep out those that go on.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from swifthoist_core.clock import Clock
from swifthoist_core.types import Millis
from swifthoist_instance.limits import LARGE_BODY_BYTES


def _stop_nothing() -> None:
    """Stop no wait, as none has begun."""


@dataclass(slots=True, eq=False)
class Body:
    """A body that is being received, or whose request is being served.

    :ivar began_ms: when it began.
    :ivar content: what has arrived, unless it was taken.
    :ivar size: size of what has arrived, in bytes.
    :ivar whole: whether all of it has arrived; it is then not given up.
    :ivar given_up: whether its request is to be refused.
    :ivar stop: ends the wait for its next piece.
    """

    began_ms: Millis
    content: bytearray = field(default_factory=bytearray)
    size: int = 0
    whole: bool = False
    given_up: bool = False
    stop: Callable[[], None] = _stop_nothing

    @property
    def counted_bytes(self) -> int:
        """What it counts against the limit, in bytes."""
        return self.size if self.size > LARGE_BODY_BYTES else 0

    def clear(self) -> None:
        """Drop what has arrived."""
        self.content = bytearray()
        self.size = 0

    def take(self) -> bytes:
        """Take the content of a whole body; it still counts.

        :returns: the content.
        """
        content = bytes(self.content)
        self.content = bytearray()
        return content

    def rate(self, now_ms: Millis) -> float:
        """Return how fast it has arrived.

        :param now_ms: current time.
        :returns: the rate, in bytes per ms.
        """
        return self.size / (now_ms - self.began_ms + 1)


class BodyRoom:
    """The bodies that an instance holds."""

    def __init__(self, limit_bytes: Callable[[], int], clock: Clock) -> None:
        """Start with none.

        :param limit_bytes: returns the size that all large ones may have
            together, in bytes.
        :param clock: source of time.
        """
        self._limit_bytes = limit_bytes
        self._clock = clock
        self._bodies: set[Body] = set()
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Size of all large bodies, in bytes."""
        return self._held_bytes

    @property
    def limit_bytes(self) -> int:
        """Largest size of all of them, in bytes."""
        return self._limit_bytes()

    def open(self) -> Body:
        """Begin a body.

        :returns: the body, without content.
        """
        body = Body(self._clock.boot_ms())
        self._bodies.add(body)
        return body

    def close(self, body: Body) -> None:
        """Forget a body.

        :param body: the body.
        """
        self._held_bytes -= body.counted_bytes
        self._bodies.discard(body)
        body.clear()

    def add(self, body: Body, piece: bytes) -> None:
        """Add a piece to a body, and give up what no longer fits.

        The body may be given up itself.

        :param body: the body.
        :param piece: what has arrived of it.
        """
        self._held_bytes -= body.counted_bytes
        body.content += piece
        body.size += len(piece)
        self._held_bytes += body.counted_bytes
        while self._held_bytes > self._limit_bytes() and not body.given_up:
            self._give_up(self._slowest() or body)

    def _slowest(self) -> Body | None:
        """Return the body that has arrived at the lowest rate."""
        now_ms = self._clock.boot_ms()
        return min(
            self._candidates(), key=lambda it: it.rate(now_ms), default=None
        )

    def _candidates(self) -> Iterator[Body]:
        return (
            body
            for body in self._bodies
            if body.counted_bytes and not body.whole
        )

    def _give_up(self, body: Body) -> None:
        self._held_bytes -= body.counted_bytes
        body.clear()
        body.given_up = True
        body.stop()
