"""Calls whose outcome callers were told to be unknown."""

from typing import NamedTuple

from swifthoist_core.clock import Clock
from swifthoist_core.types import Millis
from swifthoist_instance.messages import Call

KEEP_MS = 600_000
"""How long an unknown outcome is remembered, in ms. An append without an answer
is repeated for as long as the store is away."""

MAX_CALLS = 10_000
"""Maximum number of remembered calls; the oldest are forgotten first."""


class _Key(NamedTuple):
    method: str
    path: str


class OpenCalls:
    """Calls that may still take effect, so that no repeat of them is refused."""

    def __init__(self, clock: Clock) -> None:
        """Remember none.

        :param clock: source of time.
        """
        self._clock = clock
        self._noted_ms: dict[_Key, Millis] = {}

    def note(self, call: Call) -> None:
        """Remember a call.

        :param call: the call, whose caller is told that the outcome is unknown.
        """
        key = _Key(call.method, call.path)
        self._noted_ms.pop(key, None)
        self._noted_ms[key] = self._clock.boot_ms()
        if len(self._noted_ms) > MAX_CALLS:
            self._noted_ms.pop(next(iter(self._noted_ms)))

    def __contains__(self, call: Call) -> bool:
        """Return whether an earlier attempt of a call may take effect."""
        noted_ms = self._noted_ms.get(_Key(call.method, call.path))
        if noted_ms is None:
            return False
        return self._clock.boot_ms() - noted_ms < KEEP_MS
