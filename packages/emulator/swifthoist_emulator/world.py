"""The emulated platform as a whole, without a network."""

from collections.abc import Awaitable, Callable, Sequence
from typing import Any, TypeAlias

import anyio
import msgspec
from anyio.abc import TaskGroup

from swifthoist_core.clock import Clock
from swifthoist_core.types import Millis, RunnerId, ZoneId
from swifthoist_emulator.checker import InvariantChecker
from swifthoist_emulator.duties import Machines, PolicyService, advise
from swifthoist_emulator.faults import Faults
from swifthoist_emulator.fleet import Fleet, Host, Place
from swifthoist_emulator.http import Request, Response
from swifthoist_emulator.runner_calls import RunnerCalls
from swifthoist_emulator.site import (
    EVACUATE_MS,
    RUNNER_CAPACITY,
    RUNNERS_PER_RACK,
    SERVICE,
    Site,
    write_config,
    write_wave,
)
from swifthoist_emulator.store_calls import Store
from swifthoist_platform import names
from swifthoist_platform.store import (
    CONFIG_KEY,
    EVACUATION_PREFIX,
    OPERATOR_TOPIC,
    RUNNER_TOPIC,
    WAVE_PREFIX,
)

TICK_INTERVAL_S = 0.02
HEARTBEAT_S = 1.5
WAVE_DEADLINE_S = 20.0
"""Deadline of a wave of upkeep, in seconds."""


Respond: TypeAlias = Callable[[Request], Awaitable[Response]]
"""What answers the requests to an address."""


class World:
    """The emulated store, operator and runners.

    :ivar faults: the injected faults.
    :ivar checker: records what runners do and checks the invariants.
    :ivar fleet: the runners.
    :ivar store: the store.
    :ivar machines: the machines that host the runners.
    :ivar store_address: address of the store.
    :ivar policies: a policy service that takes calls in turn; None for one that
        takes them at once.
    :ivar instances: what answers at the internal address of each instance, for
        simulations without a network.
    """

    def __init__(
        self, site: Site, clock: Clock, addresses: Sequence[str], seed: int = 1
    ) -> None:
        """Set up a site.

        :param site: its queues, teams, zones and number of runners.
        :param clock: source of the time.
        :param addresses: address of the store, then of each runner.
        :param seed: seed of the random choices of faults.
        """
        self.faults = Faults(seed)
        self.checker = InvariantChecker()
        self.fleet = Fleet(self.checker, began_ms=clock.wall_ms())
        self.store = Store(self.faults, clock.boot_ms)
        self._site = site
        self._clock = clock
        self._began_ms = clock.boot_ms()
        self.machines = Machines(
            self.fleet, self.store, self.checker, self.faults
        )
        self._runner_calls = RunnerCalls(self.fleet, self.faults)
        self.instances: dict[str, Respond] = {}
        self.policies: PolicyService | None = None
        self._version = 0
        self._evacuated: dict[ZoneId, Millis] = {}
        self.store_address = addresses[0]
        for number, address in enumerate(addresses[1:]):
            self._add_host(number, address)

    def configure(self, site: Site) -> None:
        """Publish a configuration, as the operator does.

        :param site: the site that it describes.
        """
        self._version += 1
        content = write_config(site, self._version)
        self.store.put(OPERATOR_TOPIC, CONFIG_KEY, content)

    def live(self, tasks: TaskGroup) -> None:
        """Publish the configuration and start the background tasks.

        They advance the time of the runners and register them in the store.

        :param tasks: task group that runs them.
        """
        self._runner_calls.tasks = tasks
        self.configure(self._site)
        tasks.start_soon(self._advance_time)
        tasks.start_soon(self._register)

    async def answer(self, address: str, request: Request) -> Response:
        """Answer a request.

        :param address: address that was called.
        :param request: the request.
        :returns: the response.
        """
        if address == self.store_address:
            return await self._answer_service(request)
        instance = self.instances.get(address)
        if instance is not None:
            return await instance(request)
        return await self._runner_calls.answer(request, address)

    def order_upkeep(
        self, number: int, machines: Sequence[str], at_once: int
    ) -> None:
        """Request a wave of upkeep, as the operator does.

        :param number: number of the wave.
        :param machines: names of the machines in the wave.
        :param at_once: maximum number of machines that are down at a time.
        """
        content = write_wave(number, machines, at_once, WAVE_DEADLINE_S)
        self.store.put(OPERATOR_TOPIC, f'{WAVE_PREFIX}{number}', content)

    def evacuate(self, zone: ZoneId) -> None:
        """Request the evacuation of a zone, as the operator does.

        :param zone: the zone.
        """
        self.store.put(OPERATOR_TOPIC, f'{EVACUATION_PREFIX}{zone}', b'{}')
        self._evacuated.setdefault(zone, self._clock.boot_ms())

    def cancel_evacuation(self, zone: ZoneId, cold_s: float = 0) -> None:
        """Cancel the evacuation of a zone, as the operator does.

        :param zone: the zone.
        :param cold_s: how long its runners are slow afterwards, in seconds.
        """
        until_ms = self._now_ms() + int(cold_s * 1_000)
        for host in self.fleet.hosts.values():
            if host.place.zone == zone:
                host.cold_until_ms = until_ms
        self.store.put(OPERATOR_TOPIC, f'{EVACUATION_PREFIX}{zone}', b'')
        self._evacuated.pop(zone, None)

    async def _answer_service(self, request: Request) -> Response:
        match request.path.removeprefix(names.ROOT):
            case names.ADVISE:
                if self.policies is not None:
                    return await self.policies.answer(request)
                return await advise(request)
            case names.MACHINES_LIST:
                return self.machines.list_all()
            case names.MACHINE_UPKEEP:
                return await self.machines.order_upkeep(request)
            case _:
                return await self.store.answer(request)

    def _add_host(self, number: int, address: str) -> None:
        zones = self._site.zones
        rack = f'rack-{number // RUNNERS_PER_RACK}'
        place = Place(address, rack, zones[number % len(zones)])
        host = Host(f'runner-{number}', place, RUNNER_CAPACITY)
        host.keeps_id = self._site.lasting_ids
        self.fleet.add(host)

    async def _advance_time(self) -> None:
        while True:
            now_ms = self._now_ms()
            self.fleet.advance(now_ms)
            self.machines.advance(now_ms)
            self.checker.closed = self._find_closed()
            await anyio.sleep(TICK_INTERVAL_S)

    def _now_ms(self) -> Millis:
        return self._clock.boot_ms() - self._began_ms

    def _find_closed(self) -> frozenset[RunnerId]:
        by_ms = self._clock.boot_ms() - EVACUATE_MS
        zones = {zone for zone, at in self._evacuated.items() if at < by_ms}
        hosts = self.fleet.hosts.values()
        return frozenset(it.runner for it in hosts if it.place.zone in zones)

    async def _register(self) -> None:
        """Keep the registry entries of the runners up to date."""
        listed: dict[str, bytes] = {}
        while True:
            entries = {
                host.runner: _entry(host, self._now_ms())
                for host in self.fleet.hosts.values()
                if host.life is not None and not self.faults.unlisted
            }
            for runner, entry in entries.items():
                if listed.get(runner) != entry:
                    self.store.put(RUNNER_TOPIC, runner, entry)
            for runner in listed.keys() - entries.keys():
                self.store.put(RUNNER_TOPIC, runner, b'')
            listed = entries
            await anyio.sleep(HEARTBEAT_S / 10)


def _entry(host: Host, now_ms: Millis) -> bytes:
    heartbeat_ms = int(HEARTBEAT_S * 1_000)
    cold_ms = max(host.cold_until_ms - now_ms, 0)
    document: dict[str, Any] = {
        names.SERVICE: SERVICE,
        names.ADDRESS: host.place.address,
        names.ZONE: host.place.zone,
        names.STATE: 'draining' if host.draining else 'ready',
        names.CAPACITY: {
            names.CPU: host.room.cpu,
            names.MEM_MB: host.room.memory,
            names.GPU: host.room.accelerators,
        },
        names.LABELS: ['standard', host.place.rack],
        names.MACHINE: host.name,
        names.COLD_LEFT_MS: cold_ms + -cold_ms % heartbeat_ms,
    }
    if host.life is not None and host.life.born_ms:
        document[names.BORN] = host.life.born_ms
    return msgspec.json.encode(document)
