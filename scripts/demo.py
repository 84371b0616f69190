"""Run the whole system on loopback, with faults, and check its guarantees.

The emulated platform runs in this process. The three instances are child
processes, which are started and ended here.
"""

import functools
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import NamedTuple

import anyio
import httpx

from swifthoist_core.clock import SystemClock
from swifthoist_emulator.callers import Order
from swifthoist_emulator.faults import NO_FAULT, Fault, FaultEffect
from swifthoist_emulator.lives import StepWork
from swifthoist_emulator.serving import ServedWorld
from swifthoist_emulator.site import STANDARD
from swifthoist_emulator.stage import (
    Instance,
    Stage,
    open_stage,
    wait_until,
)

INSTANCES = 3
ROUNDS = 2
PAUSE_S = 0.4
TOLERANCE = 0.1
"""Share by which the account may differ from the runners' records without
faults: it counts a run from the decision until its end was read."""

SMALL = StepWork(600, (4_000, 8_000, 1))
LARGE = StepWork(2_000, (8_000, 32_000, 8), gang=3)
URGENT = StepWork(500, (8_000, 32_000, 8), gang=2)
FAILING = StepWork(200, (1_000, 1_000, 1), fails=True)


class Check(NamedTuple):
    """Result of checking one guarantee.

    :ivar promise: the guarantee.
    :ivar kept: whether it held.
    :ivar seen: what was observed.
    """

    promise: str
    kept: bool
    seen: str


async def run_demo(folder: Path) -> list[Check]:
    """Run the demo.

    :param folder: where settings and logs are written.
    :returns: the result for every guarantee.
    """
    world = ServedWorld(STANDARD, SystemClock(), seed=7)
    async with open_stage(world, folder, INSTANCES) as stage:
        print(f'{INSTANCES} instances are ready', flush=True)
        calm = await submit_jobs(stage)
        for order in calm:
            await stage.wait_state(order, 'complete')
        recorded = world.checker.accelerator_ms / 1_000
        await wait_accounted(stage.instances[0], len(calm))
        usage = await read_usage(stage)
        orders = await submit_jobs(stage)
        await inject_faults(stage)
        await submit_failing_and_canceled(stage)
        for order in orders:
            await stage.wait_state(order, 'complete')
    return check_guarantees(world, [*calm, *orders], usage, recorded)


async def submit_jobs(stage: Stage) -> list[Order]:
    """Submit jobs of both teams to every queue.

    :param stage: the running system.
    :returns: the jobs, all of them accepted.
    """
    orders: list[Order] = []
    for number in range(ROUNDS):
        key = ('key-red', 'key-blue')[number % 2]
        orders.extend(
            (
                stage.order('/bulk/', SMALL, SMALL, width=6, key=key),
                stage.order('/batch/', LARGE, key=key),
                stage.order('/urgent/', URGENT, key=key),
            )
        )
    for order in orders:
        status = await stage.caller.submit(order)
        assert status == httpx.codes.OK, f'{order.job}: {status}'
    print(f'{len(orders)} jobs were accepted', flush=True)
    return orders


async def submit_failing_and_canceled(stage: Stage) -> None:
    """Submit a job that always fails, and one that is canceled at once.

    :param stage: the running system.
    """
    failing = stage.order('/bulk/', FAILING)
    await stage.caller.submit(failing)
    canceled = stage.order('/bulk/', SMALL._replace(work_ms=60_000))
    await stage.caller.submit(canceled)
    await stage.caller.cancel(canceled)
    await stage.wait_state(failing, 'failed')
    await stage.wait_state(canceled, 'canceled')


async def inject_faults(stage: Stage) -> None:
    """Kill the holder and a runner, and lose or delay answers.

    :param stage: the running system.
    """
    faults = stage.world.faults
    faults.store_writes = Fault(FaultEffect.LOST, share=0.1)
    faults.orders = Fault(FaultEffect.LATE, share=0.1, delay_s=1.0)
    holder = await stage.holder()
    holder.end()
    print('the holder was killed; answers are lost', flush=True)
    await anyio.sleep(PAUSE_S)
    fleet = stage.world.fleet
    host = next(iter(fleet.hosts.values()))
    fleet.kill(host)
    fleet.revive(host)
    holder.start()
    await stage.wait_ready(holder)
    faults.store_writes = NO_FAULT
    faults.orders = NO_FAULT
    print('it is back, and so is a runner that crashed', flush=True)


async def wait_accounted(instance: Instance, count: int) -> None:
    """Wait until an instance has read the ends of all runs.

    Another one may show a job as complete up to 0.3 s earlier.

    :param instance: the instance whose account will be read.
    :param count: number of jobs.
    """
    await wait_until(functools.partial(_has_read_ends, instance, count))


async def _has_read_ends(instance: Instance, count: int) -> bool:
    async with httpx.AsyncClient(trust_env=False) as http:
        reply = await http.get(f'http://{instance.internal}/v1/jobs')
    jobs = reply.json()
    ended = [it for it in jobs if it['finished_ms'] and not it['running']]
    return len(ended) == count


async def read_usage(stage: Stage) -> float:
    """Read and print the usage of all teams.

    :param stage: the running system.
    :returns: accelerator-seconds.
    """
    address = stage.instances[0].internal
    async with httpx.AsyncClient(trust_env=False) as http:
        reply = await http.get(f'http://{address}/v1/usage')
    rows = reply.json()
    for line in rows:
        print(
            f'{line["month"]} {line["team"]:5} {line["queue"]:7}'
            f' {line["accelerator_s"]:8.1f} accelerator-seconds,'
            f' {line["prompt"]} urgent in time, {line["tardy"]} late'
        )
    return float(sum(row['accelerator_s'] for row in rows))


def check_guarantees(
    world: ServedWorld, orders: list[Order], usage: float, recorded: float
) -> list[Check]:
    """Check every guarantee against the records of the emulated platform.

    :param world: the emulated platform.
    :param orders: jobs that were accepted.
    :param usage: accelerator-seconds of the account before the faults.
    :param recorded: accelerator-seconds that the runners recorded until then.
    :returns: the results.
    """
    checker = world.checker
    missing = [order.job for order in orders if not is_done(order, world)]
    apart = abs(usage - recorded) / recorded
    return [
        Check(
            'no task ran twice, none over capacity',
            not checker.broken,
            '; '.join(checker.broken) or 'none',
        ),
        Check(
            'every task of every accepted job was done',
            not missing,
            f'{len(orders) - len(missing)} of {len(orders)} jobs',
        ),
        Check(
            'the account agrees with the runners',
            apart <= TOLERANCE,
            f'{usage:.1f} of {recorded:.1f} accelerator-seconds',
        ),
    ]


def is_done(order: Order, world: ServedWorld) -> bool:
    """Return whether every task of a job is done; a gang counts one end.

    :param order: the job.
    :param world: the emulated platform.
    :returns: whether all tasks are done.
    """
    ends = Counter(task.step for task in world.checker.done[order.job])
    needed = (1 if work.gang else order.width for work in order.steps)
    return all(ends[number] >= least for number, least in enumerate(needed))


def main() -> int:
    """Run the demo and print the results.

    :returns: 0 if every guarantee held, else 1.
    """
    began = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        checks = anyio.run(run_demo, Path(folder))
    for result in checks:
        mark = 'kept' if result.kept else 'BROKEN'
        print(f'{mark}: {result.promise} ({result.seen})')
    print(f'{time.monotonic() - began:.1f} s')
    return int(not all(check.kept for check in checks))


if __name__ == '__main__':
    sys.exit(main())
