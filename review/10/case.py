"""A wave of upkeep is told to be complete though a machine of it had none."""

import json
import sys
import time
from pathlib import Path

import anyio

from stage_2 import PagesMachines, TROUBLE, run_case
from swifthoist_emulator.http import Request, Response
from swifthoist_platform.store import STATUS_TOPIC

WAVE = 1
MACHINES = ('runner-3', 'runner-4', 'runner-5')
OUTAGE_S = 4.5
"""How long the machine service is unavailable, in seconds."""

CRASH_AFTER_S = 0.5
"""When the runner crashes, in seconds from the begin of that outage."""


class UnavailableMachines(PagesMachines):
    """A machine service that is unavailable for a while."""

    def attach(self, stage) -> None:
        self.outage_ends = None
        self.ordered = None
        self.stage = stage

    @property
    def out(self) -> bool:
        return self.outage_ends is not None and (
            time.monotonic() < self.outage_ends
        )

    def list_all(self) -> Response:
        return Response(503) if self.out else super().list_all()

    async def order_upkeep(self, request: Request) -> Response:
        name = request.document()['Machine']
        if TROUBLE and self.outage_ends is None and name == MACHINES[-1]:
            self.outage_ends = time.monotonic() + OUTAGE_S
            self.ordered = name
            self.stage.record.note('the machine service becomes unavailable')
        if self.out:
            self.stage.record.note(f'upkeep {name}: 503')
            return Response(503)
        answer = await super().order_upkeep(request)
        self.stage.record.note(f'upkeep {name}: {answer.status}')
        return answer


async def case(stage) -> str:
    world = stage.world
    machines = world.machines
    machines.attach(stage)
    world.order_upkeep(WAVE, MACHINES, 1)
    stage.record.note(f'op/wave/{WAVE}: {MACHINES}, one at a time')
    if TROUBLE:
        await stage.until(lambda: machines.ordered, 40, 'the last order')
        await anyio.sleep(CRASH_AFTER_S)
        hosts = world.fleet.hosts.values()
        host = next(it for it in hosts if it.name == machines.ordered)
        stage.record.note(f'the runner of {host.name} crashes')
        # Its connections are refused for 3 s; then a new life answers.
        world.fleet.crash(host)

    def told() -> bool:
        content = world.store.topic(STATUS_TOPIC).newest().get(f'wave/{WAVE}')
        return bool(content) and json.loads(content)['State'] == 'complete'

    await stage.until(told, 60, 'the wave is told to be complete')
    missing = sorted(set(MACHINES) - machines.begun(WAVE))
    stage.record.note(f'status/wave/{WAVE} is complete; without: {missing}')
    await anyio.sleep(5)
    later = sorted(set(MACHINES) - machines.begun(WAVE))
    stage.record.note(f'5 s later, without upkeep: {later}')
    if not missing:
        return ''
    return f'the wave is told to be complete without the upkeep of {missing}'


if __name__ == '__main__':
    folder = Path(__file__).parent
    sys.exit(run_case(case, folder, machines=UnavailableMachines))
