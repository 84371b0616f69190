"""The settings in force: the platform's file, which may change at any time.

A file that can't be read, or is not valid, changes nothing and is reported.
"""

import logging
from collections.abc import Callable
from pathlib import Path

import anyio

from swifthoist_core.errors import InvalidInputError
from swifthoist_platform.boot import BootSettings, decode_boot_settings
from swifthoist_platform.calls import Call, Reply
from swifthoist_platform.endpoint import EndpointProtocol

CHECK_S = 1.0
"""Pause between looks at the file, in seconds: it may change without a
signal."""

_log = logging.getLogger(__name__)


class Settings:
    """The settings in force.

    :ivar boot: the newest that are valid.
    """

    def __init__(self, path: Path, boot: BootSettings) -> None:
        """Watch a file.

        :param path: where it is.
        :param boot: what it held at the start.
        """
        self.boot = boot
        self._path = path
        self._content = b''

    async def run(self) -> None:
        """Watch the file, until canceled."""
        while True:
            self.reload()
            await anyio.sleep(CHECK_S)

    def reload(self) -> None:
        """Read the file, and take over what has changed."""
        try:
            content = self._path.read_bytes()
        except OSError as exc:
            _log.error('settings unread', extra={'why': str(exc)})
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
    """Name what differs between two settings.

    :param old: settings.
    :param new: others.
    :returns: names of their fields.
    """
    pairs = zip(old._fields, old, new, strict=True)
    return [name for name, before, after in pairs if before != after]


class MovingEndpoint:
    """Makes calls to an address that the settings may change."""

    def __init__(
        self,
        address: Callable[[], str],
        open_endpoint: Callable[[str], EndpointProtocol],
    ) -> None:
        """Call wherever the settings say.

        :param address: tells the address in force.
        :param open_endpoint: opens an address.
        """
        self._address = address
        self._open = open_endpoint
        self._current = address()
        self._endpoint = open_endpoint(self._current)

    async def call(self, call: Call) -> Reply:
        """Make a call and wait for the whole reply.

        :param call: the call.
        :returns: the reply, whatever its status.
        """
        wanted = self._address()
        if wanted != self._current:
            # Calls under way end at the old address; their connections close
            # with the last of them.
            self._current = wanted
            self._endpoint = self._open(wanted)
        return await self._endpoint.call(call)

    async def close(self) -> None:
        """Close the connections."""
        await self._endpoint.close()
