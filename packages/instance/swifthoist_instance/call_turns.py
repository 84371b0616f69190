"""Estimates when a server that takes calls in turn answers the next one."""

from swifthoist_core.clock import Clock
from swifthoist_core.types import Millis

GRACE_MS = 1_000
"""Time beyond twice the estimate after which a call is given up, in ms."""

MAX_TIMEOUT_MS = 20_000
"""Longest time to wait for an answer, in ms: a connection that went silent is
noticed no earlier."""

MAX_SLOWNESS = 32.0
SLOWNESS_STEP = 2.0
"""Factor by which a call without an answer raises the estimate."""

MIN_COST_MS = 100
"""Cost of a call for which less is stated, in ms: a wrong figure must not keep
the estimate low."""

LEARNING_SHARE = 0.3
"""Weight of an answer in the estimate."""


class CallTurns:
    """Calls to a server that takes those of one caller in turn.

    One call at a time is under way: more of them would only wait at the server,
    where they can't be put in another order. A call that was given up still
    takes its turn.

    :ivar slowness: time that calls take, as a multiple of their stated cost.
    """

    def __init__(self, clock: Clock) -> None:
        """Expect the stated costs, and no earlier calls.

        :param clock: source of the time.
        """
        self.slowness = 1.0
        self._clock = clock
        self._abandoned_ms: float = 0
        self._cost_ms: float = 0
        self._sent_ms: Millis = 0

    def begin(self, cost_ms: float) -> float:
        """Begin a call.

        :param cost_ms: what it costs the server, as stated, in ms.
        :returns: how long to wait for its answer, in seconds.
        """
        self._cost_ms = max(cost_ms, MIN_COST_MS)
        self._sent_ms = self._clock.boot_ms()
        expected_ms = (self._abandoned_ms + self._cost_ms) * self.slowness
        return min(2 * expected_ms + GRACE_MS, MAX_TIMEOUT_MS) / 1_000

    def note_answer(self) -> None:
        """Process the answer: earlier calls have had their turn, too."""
        took_ms = self._clock.boot_ms() - self._sent_ms
        seen = took_ms / max(self._abandoned_ms + self._cost_ms, 1)
        if self._abandoned_ms and seen < self.slowness:
            # Some of the earlier calls had been served before.
            seen = self.slowness
        change = (seen - self.slowness) * LEARNING_SHARE
        self.slowness = min(max(self.slowness + change, 1), MAX_SLOWNESS)
        self._abandoned_ms = 0

    def note_abandoned(self) -> None:
        """Process a call that got no answer in time, and waits on."""
        self._abandoned_ms += self._cost_ms
        self.slowness = min(self.slowness * SLOWNESS_STEP, MAX_SLOWNESS)

    def pause_s(self) -> float:
        """Return how long to wait after the server refused to queue a call.

        :returns: the time in which it takes some turns, in seconds.
        """
        return min(4 * self._cost_ms * self.slowness, MAX_TIMEOUT_MS) / 1_000
