"""Tests of settings that change while an instance runs."""

import signal
import tempfile
import unittest
from pathlib import Path

import anyio
import msgspec

from swifthoist_emulator.site import write_settings
from swifthoist_emulator.stage import Stage, wait_until
from swifthoist_instance.settings import DynamicEndpoint, Settings
from swifthoist_platform import names
from swifthoist_platform.boot import decode_boot_settings
from swifthoist_platform.calls import Call, Reply
from tests.system.stage import StageCase

LISTEN = ('entry:1', 'entry:2', 'entry:3')
LOGGER = 'swifthoist_instance.settings'


class _EchoEndpoint:
    """An endpoint that answers with its own address."""

    def __init__(self, address: str) -> None:
        self._address = address

    async def call(self, _: Call) -> Reply:
        """Answer with the address."""
        return Reply(200, self._address.encode())


class SettingsTest(unittest.TestCase):
    """Valid settings are applied, invalid ones are reported."""

    def setUp(self) -> None:
        """Write a settings file."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / 'settings.json'
        content = write_settings('entry', 'north', LISTEN, 'store:1')
        self.path.write_bytes(content)
        self.settings = Settings(self.path, decode_boot_settings(content))

    def test_a_change_is_taken_over(self) -> None:
        """The log names the changed settings."""
        content = write_settings('entry', 'south', LISTEN, 'store:2')
        self.path.write_bytes(content)
        with self.assertLogs(LOGGER) as logs:
            self.settings.reload()
        self.assertEqual(self.settings.boot.zone, 'south')
        self.assertEqual(
            logs.records[0].fields,
            ['zone', 'store', 'advice_address', 'machines_address'],
        )

    def test_a_file_that_is_not_valid_changes_nothing(self) -> None:
        """Neither does a missing file."""
        self.path.write_bytes(msgspec.json.encode({names.NODE_NAME: 3}))
        with self.assertLogs(LOGGER, 'ERROR'):
            self.settings.reload()
        self.path.unlink()
        with self.assertLogs(LOGGER, 'ERROR'):
            self.settings.reload()
        self.assertEqual(self.settings.boot.store.address, 'store:1')

    def test_calls_go_to_the_address_in_force(self) -> None:
        """The address may change without a restart."""
        address = ['store:1']
        endpoint = DynamicEndpoint(lambda: address[0], _EchoEndpoint)

        async def main() -> None:
            reply = await endpoint.call(Call('GET', '/', 1))
            self.assertEqual(reply.content, b'store:1')
            address[0] = 'store:2'
            reply = await endpoint.call(Call('GET', '/', 1))
            self.assertEqual(reply.content, b'store:2')

        anyio.run(main)


class SignalTest(StageCase):
    """An instance reloads its settings without a restart."""

    def test_sighup_has_the_file_read_again(self) -> None:
        """The instance logs the change and continues to serve."""

        async def scenario(stage: Stage) -> None:
            instance = stage.instances[0]
            document = msgspec.json.decode(instance.settings.read_bytes())
            document[names.ZONE] = 'elsewhere'
            instance.settings.write_bytes(msgspec.json.encode(document))
            instance.send(signal.SIGHUP)

            async def is_changed() -> bool:
                return any('settings changed' in it for it in instance.lines())

            await wait_until(is_changed)
            await stage.wait_ready(instance)

        self.run_scenario(scenario, instances=1)
