"""Base class of tests of the whole system."""

import tempfile
import unittest
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio

from swifthoist_core.clock import SystemClock
from swifthoist_emulator.serving import ServedWorld
from swifthoist_emulator.site import STANDARD, Site
from swifthoist_emulator.stage import Stage, open_stage


class StageCase(unittest.TestCase):
    """A test that runs instances as processes against the emulated platform."""

    def run_scenario(
        self,
        scenario: Callable[[Stage], Awaitable[None]],
        *,
        instances: int = 3,
        site: Site = STANDARD,
        prepare: Callable[[Stage], None] | None = None,
    ) -> ServedWorld:
        """Run a scenario and check that no guarantee was violated.

        :param prepare: prepares the stage before its instances start.
        """
        world = ServedWorld(site, SystemClock())
        with tempfile.TemporaryDirectory() as folder:
            anyio.run(
                _run_scenario, world, Path(folder), instances, scenario, prepare
            )
        self.assertEqual(world.checker.broken, [])
        return world


async def _run_scenario(
    world: ServedWorld,
    folder: Path,
    count: int,
    scenario: Callable[[Stage], Awaitable[None]],
    prepare: Callable[[Stage], None] | None,
) -> None:
    async with open_stage(world, folder, count, prepare) as stage:
        await scenario(stage)
