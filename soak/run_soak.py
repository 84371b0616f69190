"""One soak: overlapping faults, then a check that every guarantee held."""

import random
from functools import partial
from pathlib import Path
from typing import NamedTuple

import anyio
from anyio.abc import TaskGroup

from soak.fault_injection import (
    FAULTS,
    MAX_FAULT_S,
    FaultInjector,
    ensure_running,
)
from soak.network_faults import NetworkFaults
from soak.proxy import Proxy
from swifthoist_core.clock import SystemClock
from swifthoist_emulator.callers import CANCELED_STATUSES, Order
from swifthoist_emulator.crowds import Crowd, bad_visits
from swifthoist_emulator.faults import NO_FAULT, Fault, FaultEffect
from swifthoist_emulator.lives import StepWork
from swifthoist_emulator.serving import ServedWorld
from swifthoist_emulator.site import EVACUATE_MS, STANDARD
from swifthoist_emulator.stage import Stage, open_stage
from swifthoist_emulator.store_calls import INSTANT, USUAL_PACE
from swifthoist_engine.job_checks import MAX_TASKS
from swifthoist_instance.clients import user_agent

INSTANCES = 4
MEAN_JOB_INTERVAL_S = 0.5
MAX_FAULT_INTERVAL_S = 1.2
POLL_S = 0.1
COMPLETION_TIMEOUT_S = 60.0
"""Time for all accepted jobs to complete once the faults end, in seconds."""

STABLE_IDS_EVERY = 3
"""Runners keep their ids across restarts for seeds divisible by this."""

CANCEL_SHARE = 0.15

EVACUATE_S = EVACUATE_MS / 1_000
"""Time after which an evacuated zone gets no more work, in seconds."""

SLOW_LINK_BYTES_S = 50_000.0
"""Bandwidth of the last instance's link, in bytes a second: it needs seconds to
read the log of a soak."""

SLOW_FACTORS = (10, 60, 90)
"""How many times as slow as usual the store may become."""

SHORT_STEP = StepWork(500, (4_000, 8_000, 1))
LONG_STEP = StepWork(3_000, (4_000, 8_000, 2))
GANG_STEP = StepWork(1_200, (8_000, 32_000, 8), gang=3)
CRASHING_STEP = StepWork(500, (4_000, 8_000, 1), crashes_ms=10)
HOPELESS_STEP = StepWork(500, (4_000, 8_000, 9))
"""Needs more accelerators than any runner has."""

ODD_STEPS = (
    (HOPELESS_STEP, MAX_TASKS),
    (LONG_STEP, MAX_TASKS),
    (CRASHING_STEP, 1),
)
MEAN_ODD_INTERVAL_S = 2.0
MEAN_CROWD_INTERVAL_S = 1.5

MAX_CROWD = 60
"""Most clients of a crowd: some hundred connections at a time."""

MEMORY_BYTES = 300_000_000
"""Memory that the settings give to an instance, in bytes."""

STOP_TIMEOUT_S = 10.0
"""Time for the tasks of canceled jobs to stop once the faults end, in s."""


class SoakResult(NamedTuple):
    """Result of a soak.

    :ivar accepted: number of jobs accepted.
    :ivar faults: number of faults injected.
    :ivar broken: descriptions of the guarantees that were violated.
    """

    accepted: int
    faults: int
    broken: list[str]


class Soak:
    """One soak."""

    def __init__(self, seed: int, seconds: float, instances: int) -> None:
        """Prepare a soak.

        :param seed: seed of all random choices.
        :param seconds: how long faults are injected.
        :param instances: number of instances.
        """
        self._rng = random.Random(seed)
        # Separate generators, so that evacuations, trouble with the store, odd
        # callers and crowds don't change the other draws of known seeds.
        self._evacuation_rng = random.Random(seed)
        self._store_rng = random.Random(seed)
        self._caller_rng = random.Random(seed)
        self._crowd_rng = random.Random(seed)
        self._seconds = seconds
        self._instances = instances
        self._network_faults = NetworkFaults(seed)
        self._proxies: list[Proxy] = []
        site = STANDARD._replace(lasting_ids=seed % STABLE_IDS_EVERY == 0)
        self._world = ServedWorld(site, SystemClock(), seed, self._add_proxy)
        self._accepted: list[Order] = []
        self._canceled: set[str] = set()
        self._odd: list[Order] = []
        self._faults = 0

    async def run(self, folder: Path) -> SoakResult:
        """Run the soak.

        :param folder: where settings and logs are written.
        :returns: the result.
        """
        async with anyio.create_task_group() as proxies:
            for proxy in self._proxies:
                proxies.start_soon(proxy.run)
            async with open_stage(
                self._world, folder, self._instances
            ) as stage:
                await self._inject_faults(stage)
                broken = await self._check_completion(stage)
            proxies.cancel_scope.cancel()
        return SoakResult(len(self._accepted), self._faults, broken)

    def _add_proxy(self, address: str) -> str:
        proxy = Proxy(address, self._network_faults)
        self._proxies.append(proxy)
        return proxy.address

    async def _inject_faults(self, stage: Stage) -> None:
        addresses = [proxy.address for proxy in self._proxies]
        slow_link = user_agent(stage.instances[-1].name)
        self._network_faults.bandwidths[slow_link] = SLOW_LINK_BYTES_S
        injector = FaultInjector(
            self._rng, self._world, self._network_faults, addresses
        )
        with anyio.move_on_after(self._seconds):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._submit_jobs, stage, tasks)
                tasks.start_soon(self._evacuate_zones)
                tasks.start_soon(self._trouble_store, stage)
                tasks.start_soon(self._submit_odd_jobs, stage, tasks)
                tasks.start_soon(self._send_crowds, stage)
                while True:
                    await anyio.sleep(
                        self._rng.uniform(0, MAX_FAULT_INTERVAL_S)
                    )
                    inject = self._rng.choice(FAULTS)
                    self._faults += 1
                    tasks.start_soon(inject, injector, stage)

    async def _submit_jobs(self, stage: Stage, tasks: TaskGroup) -> None:
        while True:
            tasks.start_soon(self._submit_job, stage)
            await anyio.sleep(self._rng.uniform(0, 2 * MEAN_JOB_INTERVAL_S))

    async def _evacuate_zones(self) -> None:
        """Evacuate zones one after another; each returns with slow runners."""
        rng = self._evacuation_rng
        while True:
            await anyio.sleep(rng.uniform(0, EVACUATE_S))
            zone = rng.choice(STANDARD.zones)
            self._world.evacuate(zone)
            await anyio.sleep(rng.uniform(EVACUATE_S, 2 * EVACUATE_S))
            self._world.cancel_evacuation(zone, rng.uniform(0, MAX_FAULT_S))

    async def _trouble_store(self, stage: Stage) -> None:
        """Slow the store down, or have it turn the holder away, in turn."""
        rng = self._store_rng
        faults = self._world.faults
        while True:
            await anyio.sleep(rng.uniform(0, 2 * MAX_FAULT_S))
            factor = rng.choice(SLOW_FACTORS)
            self._world.store.pace = USUAL_PACE.slowed(factor)
            await anyio.sleep(rng.uniform(0, MAX_FAULT_S))
            self._world.store.pace = INSTANT
            await anyio.sleep(rng.uniform(0, 2 * MAX_FAULT_S))
            holders = [it.name for it in stage.instances if it.holds()]
            agents = frozenset(map(user_agent, holders))
            busy = Fault(FaultEffect.BUSY, callers=agents)
            if agents:
                faults.store_writes = busy
                faults.store_reads = busy
            await anyio.sleep(rng.uniform(0, MAX_FAULT_S))
            faults.store_writes = NO_FAULT
            faults.store_reads = NO_FAULT

    async def _submit_job(self, stage: Stage) -> None:
        prefix, steps, width = self._rng.choice(
            (
                ('/bulk/', (SHORT_STEP, SHORT_STEP), 6),
                ('/batch/', (LONG_STEP,), 4),
                ('/urgent/', (GANG_STEP,), 1),
                ('/batch/', (GANG_STEP, SHORT_STEP), 1),
            )
        )
        order = stage.order(prefix, *steps, width=width)
        with anyio.CancelScope(shield=True):
            if await stage.caller.submit(order) != 200:
                return
            self._accepted.append(order)
            if self._rng.random() < CANCEL_SHARE:
                await anyio.sleep(self._rng.uniform(0, 2))
                self._canceled.add(order.job)
                await stage.caller.cancel(order)

    async def _submit_odd_jobs(self, stage: Stage, tasks: TaskGroup) -> None:
        """Submit jobs of the largest size, and ones that crash their runners.

        None of them is expected to complete; they are canceled, some of them
        while they are still being submitted.
        """
        rng = self._caller_rng
        while True:
            await anyio.sleep(rng.uniform(0, 2 * MEAN_ODD_INTERVAL_S))
            step, width = rng.choice(ODD_STEPS)
            prefix = rng.choice(('/urgent/', '/batch/', '/bulk/'))
            order = stage.order(prefix, step, width=width)
            self._odd.append(order)
            tasks.start_soon(self._submit_and_cancel, stage, order)

    async def _send_crowds(self, stage: Stage) -> None:
        """Have clients that keep to no limit press at one instance or another.

        Some come to the address for operators and other instances.
        """
        rng = self._crowd_rng
        while True:
            await anyio.sleep(rng.uniform(0, 2 * MEAN_CROWD_INTERVAL_S))
            instance = rng.choice(stage.instances)
            address = rng.choice((instance.callers, instance.internal))
            visit = rng.choice(bad_visits('/bulk/ffffffffffffffff', 'key-red'))
            crowd = Crowd(address, visit, rng.randint(1, MAX_CROWD))
            stay_s = rng.uniform(0, MAX_FAULT_S)
            try:
                await crowd.press(stay_s)
                await anyio.sleep(stay_s)
            finally:
                await crowd.leave()

    def _list_oversized(self, stage: Stage) -> list[str]:
        """List instances that have had more memory than their settings give."""
        return [
            f'{instance.name} has had {instance.peak_bytes} bytes of memory'
            for instance in stage.instances
            if instance.peak_bytes > MEMORY_BYTES
        ]

    async def _submit_and_cancel(self, stage: Stage, order: Order) -> None:
        pause_s = self._caller_rng.uniform(0, MAX_FAULT_S)
        with anyio.CancelScope(shield=True):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(stage.caller.submit, order)
                await anyio.sleep(pause_s)
                await stage.caller.cancel(order)

    def _list_running(self) -> list[str]:
        """List tasks that run on behind an acknowledged cancel."""
        checker = self._world.checker
        return [
            f'{task} runs on, though it was canceled'
            for job in checker.canceled
            for task in checker.running_of(job)
        ]

    async def _check_completion(self, stage: Stage) -> list[str]:
        """End all faults and check that the accepted jobs complete."""
        self._end_faults(stage)
        for order in self._odd:
            while await stage.caller.cancel(order) not in CANCELED_STATUSES:
                await anyio.sleep(POLL_S)
        expected = [it for it in self._accepted if it.job not in self._canceled]
        with anyio.move_on_after(COMPLETION_TIMEOUT_S):
            for order in expected:
                while await stage.caller.state(order) != 'complete':
                    await anyio.sleep(POLL_S)
            with anyio.move_on_after(STOP_TIMEOUT_S):
                while self._list_running():
                    await anyio.sleep(POLL_S)
            return [
                *self._world.checker.broken,
                *self._list_running(),
                *self._list_oversized(stage),
            ]
        states = [(it.job, await stage.caller.state(it)) for it in expected]
        incomplete = [
            f'{job} is {state or "not shown"}'
            for job, state in states
            if state != 'complete'
        ]
        return [*self._world.checker.broken, *incomplete]

    def _end_faults(self, stage: Stage) -> None:
        self._network_faults.active.clear()
        self._world.store.pace = INSTANT
        for fault in ('store_writes', 'store_reads', 'orders', 'looks'):
            setattr(self._world.faults, fault, NO_FAULT)
        for host in self._world.fleet.hosts.values():
            host.draining = False
        for zone in STANDARD.zones:
            self._world.cancel_evacuation(zone)
        for instance in stage.instances:
            ensure_running(instance)


def run_soak(
    seed: int, seconds: float, folder: Path, instances: int = INSTANCES
) -> SoakResult:
    """Run one soak.

    :param seed: seed of all random choices.
    :param seconds: how long faults are injected.
    :param folder: where settings and logs are written.
    :param instances: number of instances, each a process.
    :returns: the result.
    """
    return anyio.run(partial(Soak(seed, seconds, instances).run, folder))
