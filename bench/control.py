"""Memory, processor time and traffic of instances on the emulated platform.

Each figure is one line of JSON, for every instance at several site sizes. Jobs
are submitted throughout, so the figures grow with the starts and ends of tasks
as well as with the number of runners.
"""

import os
import sys
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

import anyio

from bench.placement import show
from swifthoist_core.clock import SystemClock
from swifthoist_emulator.lives import StepWork
from swifthoist_emulator.serving import ServedWorld
from swifthoist_emulator.site import STANDARD
from swifthoist_emulator.stage import Instance, Stage, open_stage
from swifthoist_instance.clients import user_agent

RUNNERS = (12, 48, 96)
INSTANCES = 3
WARM_UP_S = 3.0
MEASUREMENT_S = 20.0
JOBS_A_SECOND = 1.0
SHARE = 0.25
"""Approximate share of the runners that the jobs keep busy."""

MEMORY_MB = 32
CORE_SHARE = 0.012
BYTES_A_SECOND = 29_000

WORK = StepWork(2_000, (4_000, 8_000, 1))


class Cost(NamedTuple):
    """Resources that a process has used.

    :ivar cpu_s: processor time, in seconds.
    :ivar memory_mb: peak resident memory, in MB.
    :ivar traffic: bytes exchanged with the platform.
    """

    cpu_s: float
    memory_mb: float
    traffic: int


def cost_of(world: ServedWorld, instance: Instance) -> Cost:
    """Read the resources that an instance has used so far.

    :param world: the emulated platform, which counts the bytes.
    :param instance: the instance.
    :returns: its use of resources.
    """
    assert instance.popen is not None
    process = Path('/proc') / str(instance.popen.pid)
    fields = (process / 'stat').read_text().rpartition(')')[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return Cost(
        ticks / os.sysconf('SC_CLK_TCK'),
        instance.peak_bytes / 1_024**2,
        world.traffic[user_agent(instance.name)],
    )


async def measure(stage: Stage, world: ServedWorld, runners: int) -> bool:
    """Measure all instances under load.

    :param stage: the running system.
    :param world: the emulated platform.
    :param runners: number of runners.
    :returns: whether every bound holds.
    """
    holder = await stage.holder()
    await anyio.sleep(WARM_UP_S)
    before = {it.name: cost_of(world, it) for it in stage.instances}
    began = time.monotonic()
    while time.monotonic() - began < MEASUREMENT_S:
        order = stage.order('/bulk/', WORK, width=int(runners * SHARE))
        await stage.caller.submit(order)
        await anyio.sleep(1 / JOBS_A_SECOND)
    passed_s = time.monotonic() - began
    holds = True
    for instance in stage.instances:
        role = 'holder' if instance is holder else 'other'
        used = cost_of(world, instance)
        old = before[instance.name]
        name = f'control.{runners}.{role}'
        share = (used.cpu_s - old.cpu_s) / passed_s
        rate = (used.traffic - old.traffic) / passed_s
        holds &= show(f'{name}.core', share, 'cores', CORE_SHARE)
        holds &= show(f'{name}.memory', used.memory_mb, 'MB', MEMORY_MB)
        holds &= show(f'{name}.traffic', rate, 'bytes/s', BYTES_A_SECOND)
    return holds


async def measure_site(folder: Path, runners: int) -> bool:
    """Measure a site of the given size.

    :param folder: where settings and logs are written.
    :param runners: number of runners.
    :returns: whether every bound holds.
    """
    world = ServedWorld(STANDARD._replace(runners=runners), SystemClock())
    async with open_stage(world, folder, INSTANCES) as stage:
        return await measure(stage, world, runners)


def main() -> int:
    """Run the benchmark.

    :returns: 0 if every bound holds, else 1.
    """
    holds = True
    for runners in RUNNERS:
        with tempfile.TemporaryDirectory() as folder:
            holds &= anyio.run(measure_site, Path(folder), runners)
    return int(not holds)


if __name__ == '__main__':
    sys.exit(main())
