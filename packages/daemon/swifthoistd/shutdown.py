"""Graceful shutdown: leave without cutting anything off."""

import signal
from typing import NamedTuple

import anyio

from swifthoist_core.types import Millis
from swifthoistd.api_status import Health
from swifthoistd.directory import Directory
from swifthoistd.dispatch import Dispatcher
from swifthoistd.journal import Journal
from swifthoistd.tallies import Tallies
from swifthoistd.tenure import Tenure

FLUSH_S = 5.0
"""How long a shutdown waits for the log, in seconds."""

DRAIN_S = 30.0
"""How long a shutdown waits for requests in progress, in seconds."""

_MS_PER_S = 1_000


class Leaving(NamedTuple):
    """What has to know of a shutdown, in this order.

    :ivar health: stops saying that it is ready.
    :ivar directory: tells the platform.
    :ivar tenure: hands the cell over.
    :ivar dispatcher: finishes the requests in progress.
    :ivar tallies: appends the last counts.
    :ivar journal: appends what is left.
    """

    health: Health
    directory: Directory
    tenure: Tenure
    dispatcher: Dispatcher
    tallies: Tallies
    journal: Journal


class Shutdown:
    """Shuts the instance down when it is told to.

    :ivar done: set when nothing is left to finish.
    """

    def __init__(self, leaving: Leaving, drain_ms: Millis) -> None:
        """Wire the parts.

        :param leaving: what has to know of a shutdown.
        :param drain_ms: how long the balancer needs to let go, in ms.
        """
        self.done = anyio.Event()
        self._leaving = leaving
        self._drain_ms = drain_ms

    async def run(self) -> None:
        """Wait for SIGTERM or SIGINT, then shut down."""
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async for _ in signals:
                break
        await self.leave()

    async def leave(self) -> None:
        """Leave without cutting anything off.

        The balancer and the other instances learn of it first, and until
        they have let go, requests are served as before.
        """
        leaving = self._leaving
        leaving.health.draining = True
        await leaving.directory.leave()
        await leaving.tenure.release(FLUSH_S)
        await anyio.sleep(self._drain_ms / _MS_PER_S)
        with anyio.move_on_after(DRAIN_S):
            await leaving.dispatcher.drain()
        await leaving.tallies.append()
        await leaving.journal.flush(FLUSH_S)
        self.done.set()
