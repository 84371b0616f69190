"""Shares the event loop between costly requests and all others.

Costly work is done in turns, one at a time and in the order in which it was
asked for. Between two turns others run, for as long as the turn took.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import anyio.lowlevel

from swifthoist_core.clock import Clock

MAX_PAUSE_MS = 500
"""Longest pause behind a turn, in ms: a machine may have been suspended in
it."""


class FairTurns:
    """Turns of costly requests."""

    def __init__(self, clock: Clock) -> None:
        """Start with nobody waiting.

        :param clock: source of time.
        """
        self._clock = clock
        self._lock = anyio.Lock()

    async def wait(self) -> None:
        """Wait until everybody who asked earlier has had a turn."""
        async with self._lock:
            await anyio.lowlevel.checkpoint()

    @asynccontextmanager
    async def turn(self) -> AsyncIterator[None]:
        """Compute something costly in a turn of its own.

        :returns: a context manager; what it wraps must not wait.
        """
        async with self._lock:
            began_ms = self._clock.boot_ms()
            try:
                yield
            finally:
                took_ms = self._clock.boot_ms() - began_ms
            await anyio.sleep(min(took_ms, MAX_PAUSE_MS) / 1_000)
