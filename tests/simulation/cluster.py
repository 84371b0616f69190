"""Whole instances and the emulated platform in one process, on virtual time."""

import logging
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import NamedTuple
from urllib.parse import urlencode

import anyio
from anyio.abc import TaskGroup

from swifthoist_core.errors import UnreachableError
from swifthoist_emulator.callers import Order, are_rejections, write_job
from swifthoist_emulator.direct import Link
from swifthoist_emulator.http import Request, Response
from swifthoist_emulator.site import HOST, STANDARD, Site, write_settings
from swifthoist_emulator.world import World
from swifthoist_engine.cell import Cell
from swifthoist_instance.application import Application, Environment
from swifthoist_instance.faults import Faults
from swifthoist_instance.messages import Answer, Call
from swifthoist_instance.supervision import run_supervised
from swifthoist_instance.web import Sent
from swifthoist_platform.boot import BootSettings, decode_boot_settings
from tests.instance.fakes import JumpingClock, LoopClock, run
from tests.simulation.network import Network

STORE = 'store:1'
LISTEN = ('entry:1', 'entry:2', 'entry:3')
CALL_S = 3.0
POLL_S = 0.1
OK = 200
GONE = 410


class FakeLogHandler(NamedTuple):
    """Replaces the log handler, whose dropped lines are counted."""

    dropped: Counter[str]


class _FixedSettings(NamedTuple):
    """Settings that are not read from a file."""

    boot: BootSettings

    async def run(self) -> None:
        """Return at once: the settings never change."""


class Node:
    """An instance that can be killed, frozen and restarted.

    :ivar link_mbps: bandwidth of its link according to its settings, in Mbit/s.
    :ivar supervised: background tasks that fail are restarted, as in the
        program; otherwise an internal fault fails the simulation.
    """

    def __init__(self, name: str, world: World, tasks: TaskGroup) -> None:
        """Create the node without starting it."""
        self.name = name
        self.app: Application | None = None
        self.clock = JumpingClock()
        self.faults: list[Faults] = []
        self.link = Link(world, name, tasks)
        self.supervised = False
        self.link_mbps = float(1_000)
        self._world = world
        self._tasks = tasks
        self._lives = 0
        self._scope = anyio.CancelScope()
        self.open_endpoint = self.link.open_endpoint

    def start(self) -> None:
        """Start the instance unless it is running."""
        if self.app is not None:
            return
        self._lives += 1
        content = write_settings(
            self.name, 'north', LISTEN, STORE, self.link_mbps, self.name
        )
        self._world.instances[self.internal_address] = self._answer_peer
        environment = Environment(
            self.clock, self.open_endpoint, str(self._lives)
        )
        self.app = Application(
            _FixedSettings(decode_boot_settings(content)),
            FakeLogHandler(Counter()),
            environment,
        )
        self.faults.append(self.app.faults)
        self._scope = anyio.CancelScope()
        self._tasks.start_soon(self._run, self.app, self._scope)

    def kill(self) -> None:
        """Stop the instance at once, without cleanup."""
        self._scope.cancel()
        self.app = None
        if self.link.frozen:
            self.link.thaw()

    @property
    def internal_address(self) -> str:
        """Address at which other nodes reach this one."""
        return f'{self.name}:3'

    async def _answer_peer(self, request: Request) -> Response:
        if self.app is None:
            raise UnreachableError(f'{self.name} is down')
        if self.link.frozen:
            await anyio.sleep_forever()
        query = urlencode(request.query)
        answer = await self.app.web.answer_internal(
            request.method,
            request.path,
            query,
            Sent(request.headers, request.content),
        )
        return Response(answer.status, answer.content)

    @property
    def holds(self) -> bool:
        """Whether the instance believes that it holds the cell."""
        return self.app is not None and self.app.tenure.hold is not None

    @property
    def cell(self) -> Cell:
        """State folded from the log; the instance must be running."""
        return self.app._follower.cell

    async def call(
        self, method: str, order: Order, content: bytes = b''
    ) -> Answer | None:
        """Make a call; return none if the instance does not answer in time."""
        if self.app is None or self.link.frozen:
            return None
        call = Call(
            method,
            HOST,
            f'{order.prefix}{order.job}',
            order.key,
            CALL_S,
            content,
        )
        with anyio.move_on_after(CALL_S):
            return await self.app.web.intake.answer(call)
        return None

    async def _run(self, app: Application, scope: anyio.CancelScope) -> None:
        with scope:
            async with anyio.create_task_group() as tasks:
                for task in app.background_tasks():
                    if self.supervised:
                        tasks.start_soon(run_supervised, *task, app.faults)
                    else:
                        tasks.start_soon(task.func)


class Cluster:
    """Nodes on an emulated platform, and the answers that callers got."""

    def __init__(
        self,
        site: Site,
        tasks: TaskGroup,
        count: int,
        *,
        over_network: bool = False,
    ) -> None:
        """Start some nodes on a site.

        With over_network they call the emulated platform over connections
        that can fall silent.
        """
        addresses = [STORE]
        addresses += [f'runner-{number}:1' for number in range(site.runners)]
        self.world = World(site, LoopClock(), addresses)
        self.world.live(tasks)
        self.nodes = [
            Node(f'node-{number}', self.world, tasks) for number in range(count)
        ]
        self.tasks = tasks
        self.network = Network(self.world, tasks)
        if over_network:
            for node in self.nodes:
                node.open_endpoint = self.network.endpoint_opener(node.name)
        self.accepted: list[Order] = []
        self.canceled: list[Order] = []
        self.cancel_requested: set[str] = set()
        self.random = random.Random(1)
        self._jobs_made = 0
        for node in self.nodes:
            node.start()

    def order(self, prefix: str, *steps, width: int = 1) -> Order:
        """Make a job with a new id."""
        self._jobs_made += 1
        return Order(f'{self._jobs_made:016x}', prefix, 'key-red', steps, width)

    async def submit(self, order: Order) -> bool:
        """Submit a job, with a few retries; return whether it was accepted."""
        self.world.checker.submitted.add(order.job)
        statuses = await self._call('POST', order, write_job(order))
        if are_rejections(statuses):
            self.world.checker.note_rejected(order.job)
        if statuses[-1] != OK:
            return False
        self.accepted.append(order)
        return True

    async def cancel(self, order: Order) -> None:
        """Cancel a job; the cancel may take effect without an acknowledgement."""
        self.cancel_requested.add(order.job)
        statuses = await self._call('DELETE', order)
        if statuses[-1] in {OK, GONE}:
            self.world.checker.note_canceled(order.job)
        if statuses[-1] == OK:
            self.canceled.append(order)

    async def state(self, order: Order) -> str:
        """Ask a random node for the state of a job; empty without an answer."""
        node = self.random.choice(self.nodes)
        answer = await node.call('GET', order)
        if answer is None or answer.status != OK:
            return ''
        state = answer.content.decode().split('"')[3]
        if state == 'complete':
            self.world.checker.note_complete(order.job, order.units())
        if state == 'failed':
            self.world.checker.note_failed(order.job)
        return state

    @property
    def faults(self) -> list[dict[str, object]]:
        """Internal faults of all nodes, including those of earlier starts."""
        lives = [faults for node in self.nodes for faults in node.faults]
        return [fault for life in lives for fault in life.describe()]

    async def holder(self) -> Node:
        """Wait until a node holds the cell, and return it."""
        await wait_until(lambda: any(node.holds for node in self.nodes))
        return next(node for node in self.nodes if node.holds)

    async def wait_state(
        self, order: Order, state: str, limit_s: float
    ) -> None:
        """Wait until a job is reported in a state, or fail."""
        with anyio.fail_after(limit_s):
            while await self.state(order) != state:
                await anyio.sleep(POLL_S)

    async def _call(
        self, method: str, order: Order, content: bytes = b''
    ) -> list[int]:
        """Call until the answer is final; return the status of each attempt."""
        statuses: list[int] = []
        for _ in range(5):
            node = self.random.choice(self.nodes)
            answer = await node.call(method, order, content)
            statuses.append(answer.status if answer is not None else 0)
            if statuses[-1] in {OK, GONE}:
                break
            await anyio.sleep(0.5)
        return statuses


async def wait_until(holds: Callable[[], bool], limit_s: float = 30) -> None:
    """Wait until a condition holds, or fail."""
    with anyio.fail_after(limit_s):
        while not holds():
            await anyio.sleep(POLL_S)


def simulate(
    scenario: Callable[[Cluster], Awaitable[None]],
    count: int = 3,
    site: Site = STANDARD,
    *,
    expect_faults: bool | None = False,
    over_network: bool = False,
) -> World:
    """Run a scenario on virtual time.

    :param expect_faults: whether the scenario must cause internal faults;
        otherwise it must cause none. None if it causes some at random.
    :returns: the emulated platform, for what it observed.
    """
    worlds: list[World] = []

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            cluster = Cluster(site, tasks, count, over_network=over_network)
            worlds.append(cluster.world)
            await scenario(cluster)
            if expect_faults is not None:
                assert expect_faults == bool(cluster.faults), cluster.faults
            tasks.cancel_scope.cancel()

    level = logging.root.manager.disable
    logging.disable(logging.CRITICAL)
    try:
        run(main)
    finally:
        logging.disable(level)
    return worlds[0]
