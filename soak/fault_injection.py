"""Faults that a soak injects into the instances, the platform and the network."""

import random
import signal
from collections.abc import Awaitable, Callable, Sequence

import anyio
import msgspec

from soak.network_faults import (
    NetworkEffect,
    NetworkFault,
    NetworkFaults,
    sample_addresses,
)
from swifthoist_emulator.faults import NO_FAULT, Fault, FaultEffect
from swifthoist_emulator.serving import ServedWorld
from swifthoist_emulator.site import STANDARD
from swifthoist_emulator.stage import Instance, Stage
from swifthoist_instance.clients import user_agent
from swifthoist_platform import names

MAX_FAULT_S = 4.0
"""Longest duration of a fault, in seconds; faults overlap."""


class FaultInjector:
    """Injects faults, each for a random duration."""

    def __init__(
        self,
        rng: random.Random,
        world: ServedWorld,
        network_faults: NetworkFaults,
        addresses: Sequence[str],
    ) -> None:
        """Prepare to inject faults.

        :param rng: draws the target and the duration of each fault.
        :param world: the emulated platform.
        :param network_faults: faults applied to connections to the platform.
        :param addresses: proxy addresses of the platform.
        """
        self._rng = rng
        self._world = world
        self._network_faults = network_faults
        self._addresses = addresses

    async def kill(self, stage: Stage) -> None:
        """Kill an instance and restart it."""
        instance = self._rng.choice(stage.instances)
        instance.end()
        await self._wait_fault()
        ensure_running(instance)

    async def kill_holder(self, stage: Stage) -> None:
        """Kill the instance that holds the cell and restart it."""
        for instance in stage.instances:
            if instance.holds():
                instance.end()
                await self._wait_fault()
                ensure_running(instance)
                return

    async def kill_all(self, stage: Stage) -> None:
        """Kill every instance and restart them."""
        for instance in stage.instances:
            instance.end()
        await self._wait_fault()
        for instance in stage.instances:
            ensure_running(instance)

    async def freeze(self, stage: Stage) -> None:
        """Suspend an instance's process and resume it."""
        instance = self._rng.choice(stage.instances)
        _signal(instance, signal.SIGSTOP)
        await self._wait_fault()
        _signal(instance, signal.SIGCONT)

    async def replace(self, stage: Stage) -> None:
        """Terminate an instance gracefully and restart it."""
        instance = self._rng.choice(stage.instances)
        _signal(instance, signal.SIGTERM)
        await self._wait_fault()
        ensure_running(instance)

    async def change_settings(self, stage: Stage) -> None:
        """Change an instance's settings file and signal it to reload."""
        instance = self._rng.choice(stage.instances)
        document = msgspec.json.decode(instance.settings.read_bytes())
        document[names.ZONE] = f'zone-{self._rng.randrange(9)}'
        instance.settings.write_bytes(msgspec.json.encode(document))
        _signal(instance, signal.SIGHUP)

    async def disturb_network(self, stage: Stage) -> None:
        """Apply a network fault to connections of one or all instances."""
        agents = ('', *(user_agent(it.name) for it in stage.instances))
        fault = NetworkFault(
            self._rng.choice(list(NetworkEffect)),
            self._rng.choice(agents),
            self._rng.choice(
                (
                    frozenset(),
                    frozenset((self._world.store_address,)),
                    sample_addresses(self._rng, self._addresses, 4),
                )
            ),
            self._rng.choice((0.1, 1)),
        )
        self._network_faults.active.append(fault)
        await self._wait_fault()
        if fault in self._network_faults.active:
            self._network_faults.active.remove(fault)

    async def fail_store_calls(self, _: Stage) -> None:
        """Make the store lose, delay or refuse writes."""
        faults = self._world.faults
        harm = self._rng.choice(
            (
                FaultEffect.LOST,
                FaultEffect.LATE,
                FaultEffect.BUSY,
                FaultEffect.SLOW,
            )
        )
        faults.store_writes = Fault(harm, share=0.5, delay_s=1.5)
        await self._wait_fault()
        faults.store_writes = NO_FAULT

    async def fail_orders(self, _: Stage) -> None:
        """Make runners lose, delay or refuse orders."""
        faults = self._world.faults
        harm = self._rng.choice(
            (FaultEffect.LOST, FaultEffect.LATE, FaultEffect.BUSY)
        )
        faults.orders = Fault(harm, share=0.3, delay_s=2.5)
        await self._wait_fault()
        faults.orders = NO_FAULT

    async def crash_runner(self, _: Stage) -> None:
        """Crash a runner and restart it; whether its id stays is the site's choice."""
        fleet = self._world.fleet
        host = self._rng.choice(list(fleet.hosts.values()))
        if host.life is None:
            return
        fleet.kill(host)
        await self._wait_fault()
        if host.life is None:
            fleet.revive(host)

    async def drain_runner(self, _: Stage) -> None:
        """Drain a runner for a while."""
        host = self._rng.choice(list(self._world.fleet.hosts.values()))
        host.draining = True
        await self._wait_fault()
        host.draining = False

    async def configure(self, _: Stage) -> None:
        """Publish the configuration again, as a new version."""
        self._world.configure(STANDARD)

    async def _wait_fault(self) -> None:
        with anyio.CancelScope(shield=True):
            await anyio.sleep(self._rng.uniform(0, MAX_FAULT_S))


InjectFault = Callable[[FaultInjector, Stage], Awaitable[None]]

FAULTS: tuple[InjectFault, ...] = (
    FaultInjector.kill,
    FaultInjector.kill_holder,
    FaultInjector.kill_all,
    FaultInjector.freeze,
    FaultInjector.replace,
    FaultInjector.change_settings,
    FaultInjector.disturb_network,
    FaultInjector.disturb_network,
    FaultInjector.fail_store_calls,
    FaultInjector.fail_orders,
    FaultInjector.crash_runner,
    FaultInjector.drain_runner,
    FaultInjector.configure,
)


def _signal(instance: Instance, number: signal.Signals) -> None:
    if instance.popen is not None and instance.popen.poll() is None:
        instance.send(number)


def ensure_running(instance: Instance) -> None:
    """Start an instance if it is not running, else resume it."""
    if instance.popen is None or instance.popen.poll() is not None:
        instance.start()
    else:
        instance.send(signal.SIGCONT)
