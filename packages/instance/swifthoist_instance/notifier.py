"""A signal that can be given again and again."""

import anyio


class Notifier:
    """Wakes whoever waits for it."""

    def __init__(self) -> None:
        """Start without the signal given."""
        self._event = anyio.Event()

    def notify(self) -> None:
        """Give the signal; it stays given until somebody waited for it."""
        self._event.set()

    async def wait(self, timeout_s: float) -> None:
        """Wait for the signal, then take it back.

        :param timeout_s: how long to wait at most, in seconds.
        """
        with anyio.move_on_after(timeout_s):
            await self._event.wait()
        if self._event.is_set():
            self._event = anyio.Event()
