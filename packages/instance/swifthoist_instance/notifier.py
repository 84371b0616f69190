"""A notification that resets itself once it was received."""

import anyio


class Notifier:
    """Wakes a waiting task; keeps one notification if none waits."""

    def __init__(self) -> None:
        """Start without a pending notification."""
        self._event = anyio.Event()

    def notify(self) -> None:
        """Notify; it stays pending until a task has waited for it."""
        self._event.set()

    async def wait(self, timeout_s: float) -> None:
        """Wait for a notification or the timeout, and reset the notification.

        :param timeout_s: maximum wait, in seconds.
        """
        with anyio.move_on_after(timeout_s):
            await self._event.wait()
        if self._event.is_set():
            self._event = anyio.Event()
