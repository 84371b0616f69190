"""A wave is said to be complete, and one of its machines had no upkeep.

The machine service is down for five seconds from the moment at which the order
for the last machine arrives: that order is not carried out, and not answered.
Meanwhile the runner on that machine crashes, and a new one starts there.
"""

import anyio
import msgspec

from standin.harness import (
    SITE,
    TROUBLE,
    RecordedWorld,
    Scene,
    main,
    wait_until,
)
from swifthoist_core.clock import SystemClock
from swifthoist_core.errors import OutcomeUnknownError
from swifthoist_emulator.http import Request, Response

FIRST, LAST = 'runner-0', 'runner-1'
DOWN_S = 5.0
CRASH_AFTER_S = 0.5


class World(RecordedWorld):
    """A platform whose machine service goes down for a while."""

    down = False
    was_down = False

    async def answer(self, address: str, request: Request) -> Response:
        if self.down and request.path == '/-/machines':
            await self.faults.hold_unanswered()
        return await super().answer(address, request)

    async def answer_order(
        self, call: str, address: str, request: Request
    ) -> Response:
        if call == 'machine-upkeep':
            wanted = request.document()['Machine']
            if TROUBLE and wanted == LAST and not self.was_down:
                self.down = self.was_down = True
                self.record(f'trouble  machine service is down, {DOWN_S} s')
            if self.down:
                await self.faults.hold_unanswered()
                raise OutcomeUnknownError('machine service down')
        return await super().answer_order(call, address, request)


async def play(scene: Scene) -> str:
    world = scene.world
    assert isinstance(world, World)
    await scene.holder()
    world.order_upkeep(1, [FIRST, LAST], 1)
    scene.record(f'operator op/wave/1: {FIRST}, {LAST}, MaxCount 1')
    if TROUBLE:
        await wait_until(lambda: world.down, 30, f'the order for {LAST}')
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_service_returns, scene, world)
            tasks.start_soon(_runner_crashes, scene)
    shown = ''
    for _ in range(400):
        content = world.store.topic('keyed.status').newest().get('wave/1')
        state = msgspec.json.decode(content)['State'] if content else ''
        if state != shown:
            shown = state
            begun = sorted(world.machines.begun(1))
            scene.record(f'status   wave/1 {state}; upkeep begun: {begun}')
        if state == 'complete':
            break
        await anyio.sleep(0.1)
    missing = {FIRST, LAST} - world.machines.begun(1)
    if shown == 'complete' and missing:
        return f'MIXED: wave 1 is complete, no upkeep has begun on {missing}'
    return ''


async def _service_returns(scene: Scene, world: World) -> None:
    await anyio.sleep(DOWN_S)
    world.down = False
    scene.record('trouble  machine service is back')


async def _runner_crashes(scene: Scene) -> None:
    await anyio.sleep(CRASH_AFTER_S)
    host = next(
        it for it in scene.world.fleet.hosts.values() if it.name == LAST
    )
    scene.record(f'crash    {host.runner} on {LAST}')
    scene.world.fleet.crash(host)


main(__file__, play, lambda: World(SITE, SystemClock()))
