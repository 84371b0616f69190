"""One soak: series of faults that overlap, and promises checked behind them."""

import random
from functools import partial
from pathlib import Path
from typing import NamedTuple

import anyio
from anyio.abc import TaskGroup

from soak.proxy import Proxy
from soak.strikes import LONGEST_S, STRIKES, Strikes, revive
from soak.weather import Weather
from swifthoist_core.clock import SystemClock
from swifthoist_emulator.callers import Order
from swifthoist_emulator.faults import NO_FAULT
from swifthoist_emulator.lives import StepWork
from swifthoist_emulator.serving import ServedWorld
from swifthoist_emulator.site import EVACUATE_MS, STANDARD
from swifthoist_emulator.stage import Stage, open_stage
from swifthoist_instance.application import user_agent

INSTANCES = 4
ORDER_S = 0.5
FAULT_S = 1.2
POLL_S = 0.1
SETTLE_S = 60.0
"""Time in which everything that was accepted is done once all is well."""

LASTING_EACH = 3
"""Each seed that this divides is of a site whose runners keep their ids."""

CANCEL_SHARE = 0.15

EVACUATE_S = EVACUATE_MS / 1_000
"""Time within which an evacuated zone gets no more work, in seconds."""

NARROW_BYTES_S = 50_000.0
"""Width of the link of the last instance, in bytes a second: the log of a soak
takes it seconds."""

ONE = StepWork(500, (4_000, 8_000, 1))
LONG = StepWork(3_000, (4_000, 8_000, 2))
GANG = StepWork(1_200, (8_000, 32_000, 8), gang=3)


class Verdict(NamedTuple):
    """What came of a soak.

    :ivar accepted: jobs that were accepted.
    :ivar faults: faults that were brought about.
    :ivar broken: promises that were broken, in words.
    """

    accepted: int
    faults: int
    broken: list[str]


class Soak:
    """One soak."""

    def __init__(self, seed: int, seconds: float, instances: int) -> None:
        """Prepare a soak.

        :param seed: seed of everything that is drawn.
        :param seconds: how long faults come.
        :param instances: number of instances.
        """
        self._rng = random.Random(seed)
        # What it draws leaves the draws of known seeds as they are.
        self._operator = random.Random(seed)
        self._seconds = seconds
        self._instances = instances
        self._weather = Weather(seed)
        self._proxies: list[Proxy] = []
        site = STANDARD._replace(lasting_ids=seed % LASTING_EACH == 0)
        self._world = ServedWorld(site, SystemClock(), seed, self._front)
        self._accepted: list[Order] = []
        self._touched: set[str] = set()
        self._faults = 0

    async def run(self, folder: Path) -> Verdict:
        """Play it.

        :param folder: where settings and logs are written.
        :returns: what came of it.
        """
        async with anyio.create_task_group() as proxies:
            for proxy in self._proxies:
                proxies.start_soon(proxy.run)
            async with open_stage(
                self._world, folder, self._instances
            ) as stage:
                await self._disturb(stage)
                broken = await self._settle(stage)
            proxies.cancel_scope.cancel()
        return Verdict(len(self._accepted), self._faults, broken)

    def _front(self, address: str) -> str:
        proxy = Proxy(address, self._weather)
        self._proxies.append(proxy)
        return proxy.address

    async def _disturb(self, stage: Stage) -> None:
        addresses = [proxy.address for proxy in self._proxies]
        narrow = user_agent(stage.instances[-1].name)
        self._weather.widths[narrow] = NARROW_BYTES_S
        strikes = Strikes(self._rng, self._world, self._weather, addresses)
        with anyio.move_on_after(self._seconds):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._keep_calling, stage, tasks)
                tasks.start_soon(self._keep_evacuating)
                while True:
                    await anyio.sleep(self._rng.uniform(0, FAULT_S))
                    strike = self._rng.choice(STRIKES)
                    self._faults += 1
                    tasks.start_soon(strike, strikes, stage)

    async def _keep_calling(self, stage: Stage, tasks: TaskGroup) -> None:
        while True:
            tasks.start_soon(self._order, stage)
            await anyio.sleep(self._rng.uniform(0, 2 * ORDER_S))

    async def _keep_evacuating(self) -> None:
        """Evacuate one zone after the other; they come back cold."""
        rng = self._operator
        while True:
            await anyio.sleep(rng.uniform(0, EVACUATE_S))
            zone = rng.choice(STANDARD.zones)
            self._world.evacuate(zone)
            await anyio.sleep(rng.uniform(EVACUATE_S, 2 * EVACUATE_S))
            self._world.cancel_evacuation(zone, rng.uniform(0, LONGEST_S))

    async def _order(self, stage: Stage) -> None:
        prefix, steps, width = self._rng.choice(
            (
                ('/bulk/', (ONE, ONE), 6),
                ('/batch/', (LONG,), 4),
                ('/urgent/', (GANG,), 1),
                ('/batch/', (GANG, ONE), 1),
            )
        )
        order = stage.order(prefix, *steps, width=width)
        with anyio.CancelScope(shield=True):
            if await stage.caller.submit(order) != 200:
                return
            self._accepted.append(order)
            if self._rng.random() < CANCEL_SHARE:
                await anyio.sleep(self._rng.uniform(0, 2))
                self._touched.add(order.job)
                await stage.caller.cancel(order)

    async def _settle(self, stage: Stage) -> list[str]:
        """Let all be well, and judge."""
        self._weather.fronts.clear()
        for fault in ('store_writes', 'store_reads', 'orders', 'looks'):
            setattr(self._world.faults, fault, NO_FAULT)
        for host in self._world.fleet.hosts.values():
            host.draining = False
        for zone in STANDARD.zones:
            self._world.cancel_evacuation(zone)
        for instance in stage.instances:
            revive(instance)
        kept = [it for it in self._accepted if it.job not in self._touched]
        with anyio.move_on_after(SETTLE_S):
            for order in kept:
                while await stage.caller.state(order) != 'complete':
                    await anyio.sleep(POLL_S)
            return self._world.checker.broken
        states = [(it.job, await stage.caller.state(it)) for it in kept]
        late = [
            f'{job} is {state or "not shown"}'
            for job, state in states
            if state != 'complete'
        ]
        return [*self._world.checker.broken, *late]


def play(
    seed: int, seconds: float, folder: Path, instances: int = INSTANCES
) -> Verdict:
    """Play one soak.

    :param seed: seed of everything that is drawn.
    :param seconds: how long faults come.
    :param folder: where settings and logs are written.
    :param instances: number of instances, each a process.
    :returns: what came of it.
    """
    return anyio.run(partial(Soak(seed, seconds, instances).run, folder))
