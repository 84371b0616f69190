"""Current settings from the platform's file, which may change at any time.

A file that is unreadable or invalid is logged, and the settings stay.
"""

import logging
from collections.abc import Callable
from pathlib import Path

import anyio

from swifthoist_core.errors import InvalidInputError
from swifthoist_platform.boot import BootSettings, decode_boot_settings
from swifthoist_platform.calls import Call, Reply
from swifthoist_platform.endpoint import EndpointProtocol

CHECK_PAUSE_S = 1.0
"""Pause between checks of the file, in seconds: it may change without a
SIGHUP."""

_log = logging.getLogger(__name__)


class Settings:
    """The current settings.

    :ivar boot: the newest valid settings.
    """

    def __init__(self, path: Path, boot: BootSettings) -> None:
        """Start with the settings that were read at startup.

        :param path: path of the file.
        :param boot: settings at startup.
        """
        self.boot = boot
        self._path = path
        self._content = b''

    async def run(self) -> None:
        """Reload the file whenever it changes, until canceled."""
        while True:
            self.reload()
            await anyio.sleep(CHECK_PAUSE_S)

    def reload(self) -> None:
        """Read the file, and apply changes."""
        try:
            content = self._path.read_bytes()
        except OSError as exc:
            _log.error('settings file unreadable', extra={'why': str(exc)})
            return
        if content == self._content:
            return
        self._content = content
        try:
            boot = decode_boot_settings(content)
        except InvalidInputError as exc:
            for finding in exc.findings:
                _log.error('settings', extra={'finding': str(finding)})
            return
        changed = changed_fields(self.boot, boot)
        self.boot = boot
        if changed:
            _log.info('settings changed', extra={'fields': changed})


def changed_fields(old: BootSettings, new: BootSettings) -> list[str]:
    """List the fields that differ between two settings.

    :param old: settings before the change.
    :param new: settings after the change.
    :returns: names of the fields.
    """
    pairs = zip(old._fields, old, new, strict=True)
    return [name for name, before, after in pairs if before != after]


class DynamicEndpoint:
    """Client endpoint that follows changes of its address."""

    def __init__(
        self,
        address: Callable[[], str],
        open_endpoint: Callable[[str], EndpointProtocol],
    ) -> None:
        """Open the current address.

        :param address: returns the current address.
        :param open_endpoint: opens an address.
        """
        self._address = address
        self._open = open_endpoint
        self._current = address()
        self._endpoint = open_endpoint(self._current)

    async def call(self, call: Call) -> Reply:
        """Make a call and wait for the whole reply.

        :param call: the call.
        :returns: the reply, with any status.
        """
        new_address = self._address()
        if new_address != self._current:
            # Calls in progress finish at the old address; its connections close
            # with the last of them.
            self._current = new_address
            self._endpoint = self._open(new_address)
        return await self._endpoint.call(call)

    async def close(self) -> None:
        """Close the connections of the current address."""
        await self._endpoint.close()
