"""The platform's list of instances: read often, believed with care."""

import logging
from collections.abc import Callable
from typing import TypeAlias

import anyio

from swifthoist_core.errors import SwifthoistError
from swifthoist_platform.instances import InstanceClient, Listed

READ_S = 1.0
"""Time between two readings of the list, in seconds."""

_log = logging.getLogger(__name__)

Listener: TypeAlias = Callable[[tuple[Listed, ...]], None]


class Directory:
    """Reads the list and keeps this instance on it.

    While the list cannot be read, everybody goes on with the last one.
    """

    def __init__(self, client: InstanceClient) -> None:
        """Start without a list.

        :param client: client of the list.
        """
        self._client = client
        self._describe: Callable[[], Listed] | None = None
        self._listeners: list[Listener] = []

    def on_list(self, listener: Listener) -> None:
        """Call a function with every list that is read.

        :param listener: must not block.
        """
        self._listeners.append(listener)

    async def run(self, describe: Callable[[], Listed]) -> None:
        """Register and read, for as long as the instance lives.

        :param describe: gives this instance's line.
        """
        self._describe = describe
        while True:
            await self.refresh(describe())
            await anyio.sleep(READ_S)

    async def refresh(self, own: Listed) -> None:
        """Register this instance and read the list once.

        :param own: this instance's line.
        """
        try:
            await self._client.register(own)
            listed = await self._client.list()
        except SwifthoistError as exc:
            _log.warning('list not read', extra={'error': str(exc)})
            return
        for listener in self._listeners:
            listener(listed)

    async def leave(self) -> None:
        """Tell the platform that this instance leaves."""
        if self._describe is None:
            return
        try:
            await self._client.leaving(self._describe().instance_id)
        except SwifthoistError as exc:
            _log.warning('leaving not told', extra={'error': str(exc)})
