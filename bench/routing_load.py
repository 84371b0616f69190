"""Entry instances, runners and open-loop load for the routing bench."""

import sys
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from itertools import permutations
from pathlib import Path
from random import Random
from typing import NamedTuple

import anyio
import httpx
import msgspec
from anyio.abc import Process
from routing_runner import Stats

from swifthoist_core.catalogue import Entry, Limits, Urgency, Work
from swifthoist_core.clock import SystemClock
from swifthoistd.choice import ChoiceConfig, Chooser
from swifthoistd.connections import ConnectionConfig, Connections
from swifthoistd.counters import Counters
from swifthoistd.dispatch import Dispatcher, Parts
from swifthoistd.limits import Limiter
from swifthoistd.retries import RetryConfig, RetryPolicy
from swifthoistd.runners import ListedRunner, Runner, Runners, RunnerState
from swifthoistd.shares import Shares
from swifthoistd.work import Done, Granted, Outcome, Permission, WorkRequest

_ZONES = ('a', 'b', 'c', 'd')
_GOSSIP_S = 0.2
_NO_LIMIT = 1_000_000
_OPEN_LIMITS = Limits(rate_per_s=1e6, burst=_NO_LIMIT, concurrency=_NO_LIMIT)


class LogIntents:
    """Intents that are granted as fast as a batch on the log is written."""

    async def open(self, req: WorkRequest) -> Permission:
        """Grant every intent."""
        await anyio.sleep(0.005)
        return Granted(5_000)

    async def close(self, req: WorkRequest, outcome: Outcome) -> None:
        """Keep nothing."""
        await anyio.lowlevel.checkpoint()


class RandomChooser(Chooser):
    """The baseline: any runner with a slot, whatever its time."""

    def _best(self, free: Sequence[Runner]) -> Runner:
        return self._rng.choice(free)


class Variant(NamedTuple):
    """What an instance of the bench is made of.

    :ivar chooser: class of the choice.
    :ivar limited: whether limits and slots are kept.
    :ivar retries: settings of retries.
    """

    chooser: type[Chooser] = Chooser
    limited: bool = True
    retries: RetryConfig = RetryConfig()


OURS = Variant()
RANDOM = Variant(chooser=RandomChooser)
UNLIMITED = Variant(limited=False)
_PLENTY = RetryConfig(ratio=3, burst=_NO_LIMIT)
NO_BUDGET = Variant(retries=_PLENTY)


class Fleet:
    """The runners of one case, in processes of their own.

    :ivar items: the list of instances, as the platform would give it.
    """

    def __init__(self, ports: Sequence[int]) -> None:
        """List the runners.

        :param ports: a port on loopback for each runner.
        """
        self.items = [
            ListedRunner(
                f'r{number}',
                f'127.0.0.1:{port}',
                _ZONES[number % len(_ZONES)],
                RunnerState.LIVE,
                1,
                'bench',
            )
            for number, port in enumerate(ports)
        ]
        # Orders must also arrive once kept connections have gone silent.
        limits = httpx.Limits(max_keepalive_connections=0)
        self._client = httpx.AsyncClient(trust_env=False, limits=limits)

    async def order(self, number: int, mode: str) -> None:
        """Tell a runner how to behave.

        :param number: index of the runner.
        :param mode: ``normal``, ``slow``, ``failing``, ``leaving`` or
            ``silence``.
        """
        await self._client.post(
            f'http://{self.items[number].address}/order/{mode}'
        )

    async def reset(self) -> None:
        """Tell every runner to behave normally."""
        for number, _ in enumerate(self.items):
            await self.order(number, 'normal')

    async def stats(self) -> list[Stats]:
        """Ask every runner what it has seen."""
        found: list[Stats] = []
        for runner in self.items:
            answer = await self._client.get(f'http://{runner.address}/stats')
            found.append(msgspec.json.decode(answer.content, type=Stats))
        return found

    async def aclose(self) -> None:
        """Close the connection of the bench itself."""
        await self._client.aclose()


class FleetSpec(NamedTuple):
    """Runners to be started.

    :ivar count: how many.
    :ivar delay_s: how long each request runs, in s.
    """

    count: int
    delay_s: float


@asynccontextmanager
async def start_fleets(
    specs: Sequence[FleetSpec],
) -> AsyncIterator[list[Fleet]]:
    """Start runners, each fleet in its process, and end them afterwards.

    :param specs: what to start.
    :yields: the runners of each.
    """
    program = str(Path(__file__).with_name('routing_runner.py'))
    async with AsyncExitStack() as stack:
        processes = [
            await stack.enter_async_context(
                await anyio.open_process(
                    (sys.executable, program, *map(str, spec)), stderr=None
                )
            )
            for spec in specs
        ]
        # All of them start at the same time; their ports are read then.
        fleets = [await _meet(process) for process in processes]
        try:
            yield fleets
        finally:
            with anyio.CancelScope(shield=True):
                for fleet, process in zip(fleets, processes, strict=True):
                    await fleet.aclose()
                    await _end(process)


async def _meet(process: Process) -> Fleet:
    assert process.stdout is not None
    ports = await process.stdout.receive()
    return Fleet([int(port) for port in ports.split()])


async def _end(process: Process) -> None:
    assert process.stdin is not None
    await process.stdin.aclose()
    await process.wait()


class Instance:
    """One entry instance.

    :ivar runners: its table of runners.
    :ivar counters: its counts.
    :ivar dispatcher: takes requests.
    """

    def __init__(
        self, name: str, members: Sequence[str], variant: Variant
    ) -> None:
        """Wire the parts.

        :param name: id of the instance.
        :param members: ids of all instances.
        :param variant: what it is made of.
        """
        clock = SystemClock()
        self.counters = Counters()
        shares = Shares(name, clock, settle_ms=0)
        shares.update(members)
        self.runners = Runners(clock)
        per_runner = 64 if variant.limited else _NO_LIMIT
        self.connections = Connections(
            self.runners,
            shares,
            clock,
            self.counters,
            cfg=ConnectionConfig(per_runner=per_runner),
        )
        slots = 8 if variant.limited else _NO_LIMIT
        zone = _ZONES[members.index(name) % len(_ZONES)]
        cfg = ChoiceConfig(slots=slots, reserve=slots)
        self.chooser = variant.chooser(zone, clock, shares, Random(name), cfg)
        policy = RetryPolicy(variant.retries)
        limiter = Limiter(
            clock,
            shares,
            lambda: self.chooser.capacity(self.runners.available()),
        )
        self.dispatcher = Dispatcher(
            Parts(
                self.runners,
                self.connections,
                self.chooser,
                limiter,
                policy,
                LogIntents(),
                clock,
                self.counters,
            )
        )


class Sample(NamedTuple):
    """One request of the load.

    :ivar owner: the team.
    :ivar began_s: when it was made, from the start of the load, in s.
    :ivar took_s: until its outcome, in s.
    :ivar outcome: the outcome.
    :ivar whole: whether a done answer is its own and complete.
    """

    owner: str
    began_s: float
    took_s: float
    outcome: Outcome
    whole: bool


class Load(NamedTuple):
    """An open loop of requests of one owner.

    :ivar owner: the team.
    :ivar rate_per_s: requests a second, at even distances.
    :ivar deadline_ms: deadline of each, in ms.
    :ivar recorded: every how many a request is non-idempotent; 0 for none.
    """

    owner: str
    rate_per_s: float
    deadline_ms: int = 2_000
    recorded: int = 0


class Site:
    """Several instances in front of the same runners.

    :ivar instances: the entry instances.
    :ivar samples: what became of every request.
    """

    def __init__(self, fleet: Fleet, count: int, variant: Variant) -> None:
        """Start the instances.

        :param fleet: the runners.
        :param count: number of instances.
        :param variant: what they are made of.
        """
        names = [f'i{number}' for number in range(count)]
        self.instances = [Instance(name, names, variant) for name in names]
        self.samples: list[Sample] = []
        self._sent = 0
        self.show(fleet.items)

    def show(self, items: Sequence[ListedRunner]) -> None:
        """Show the list of runners to every instance.

        :param items: a copy of the list.
        """
        for instance in self.instances:
            instance.runners.replace(items)

    async def run(
        self,
        loads: Sequence[Load],
        seconds: float,
        *events: Callable[[], Awaitable[None]],
    ) -> None:
        """Put load on the instances, and let things happen meanwhile.

        :param loads: the load of each owner.
        :param seconds: how long requests are made, in s.
        :param events: what happens beside it.
        """
        async with anyio.create_task_group() as upkeep:
            for instance in self.instances:
                upkeep.start_soon(instance.dispatcher.run)
            upkeep.start_soon(self._gossip)
            async with anyio.create_task_group() as tasks:
                for event in events:
                    tasks.start_soon(event)
                for load in loads:
                    tasks.start_soon(self._offer, load, seconds)
            upkeep.cancel_scope.cancel()
        for instance in self.instances:
            await instance.connections.aclose()

    async def _gossip(self) -> None:
        while True:
            for teller, listener in permutations(self.instances, 2):
                use = teller.chooser.in_flight()
                listener.chooser.note_peer_use(str(id(teller)), use)
            await anyio.sleep(_GOSSIP_S)

    async def _offer(self, load: Load, seconds: float) -> None:
        start_s = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            for number in range(round(load.rate_per_s * seconds)):
                due_s = start_s + number / load.rate_per_s
                await anyio.sleep_until(due_s)
                tasks.start_soon(self._ask, load, number, due_s - start_s)

    async def _ask(self, load: Load, number: int, began_s: float) -> None:
        self._sent += 1
        instance = self.instances[self._sent % len(self.instances)]
        req = WorkRequest(
            f'{load.owner}-{number}',
            load.owner,
            'check',
            f'{load.owner}-{number}',
            not load.recorded or number % load.recorded > 0,
            f'{load.owner} asks {number}'.encode(),
            'text/plain',
            load.deadline_ms,
        )
        start_s = anyio.current_time()
        outcome = await instance.dispatcher.send(req, make_entry(load.owner))
        took_s = anyio.current_time() - start_s
        whole = isinstance(outcome, Done) and outcome.body == req.body
        self.samples.append(Sample(load.owner, began_s, took_s, outcome, whole))


def make_entry(owner: str) -> Entry:
    """Make an entry whose own limits never bind.

    :param owner: the team.
    :returns: the entry.
    """
    return Entry(
        f'{owner}-check',
        owner,
        'check',
        Work.REQUEST,
        Urgency.INTERACTIVE,
        _OPEN_LIMITS._replace(queue=_NO_LIMIT),
        service='bench',
    )
