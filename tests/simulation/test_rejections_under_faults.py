"""Tests that rejected jobs never run, under random series of faults."""

import random
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from swifthoist_emulator.callers import Order, are_rejections, write_job
from swifthoist_emulator.faults import NO_FAULT, Fault, FaultEffect
from swifthoist_emulator.lives import StepWork
from swifthoist_emulator.site import HOST, STANDARD, Site, TeamSpec
from swifthoist_emulator.store_calls import USUAL_PACE
from swifthoist_instance.application import DEREGISTRATION_S
from swifthoist_instance.listening import GRACEFUL_TIMEOUT_S
from tests.simulation.cluster import OK, STORE, Cluster, Node, simulate

SEEDS = range(4)
NODES = 5
TROUBLE_S = 12.0
CALLS = 300
CALL_GAP_S = TROUBLE_S / CALLS
WAIT_S = 2
SETTLE_S = 2.5
"""Time until every instance has told the others where it is, in seconds."""

QUIET_S = 10.0
"""Time in which all late appends are done and jobs start, in seconds."""

SLOWDOWN = 20
INTERNAL_ERROR = 500
WORK = StepWork(300, (100, 100, 0))
KEYS = tuple(f'key-{number}' for number in range(4))
PREFIXES = tuple(line.prefix for line in STANDARD.lines)
WRITE_HARMS = (
    FaultEffect.LOST,
    FaultEffect.LATE,
    FaultEffect.SLOW,
    FaultEffect.BUSY,
    FaultEffect.NONE,
)


class _Trouble:
    """Callers, and the faults that are drawn while they call.

    :ivar rejected: statuses of the answers to each job that was rejected at
        each attempt.
    """

    def __init__(self, cluster: Cluster, seed: int) -> None:
        """Draw from a seed."""
        self.rejected: dict[str, list[int]] = {}
        self._cluster = cluster
        self._random = random.Random(seed)
        self._calls: dict[anyio.CancelScope, Node] = {}
        self._stopping: list[Node] = []

    async def play(self) -> None:
        """Make calls under faults, then heal everything."""
        self._configure(KEYS, STANDARD)
        await anyio.sleep(SETTLE_S)
        async with anyio.create_task_group() as tasks:
            with anyio.move_on_after(TROUBLE_S):
                tasks.start_soon(self._repeat, 0.3, self._harm_store)
                tasks.start_soon(self._repeat, 0.25, self._harm_node)
                tasks.start_soon(self._repeat, 0.2, self._reconfigure)
                tasks.start_soon(self._submit_steadily, tasks)
                await anyio.sleep_forever()
        self._cluster.world.faults.store_writes = NO_FAULT
        self._cluster.world.store.pace = USUAL_PACE
        await anyio.sleep(QUIET_S)

    async def _repeat(
        self, mean_s: float, act: Callable[[], Awaitable[None]]
    ) -> None:
        until = anyio.current_time() + TROUBLE_S
        async with anyio.create_task_group() as tasks:
            while anyio.current_time() < until:
                tasks.start_soon(act)
                await anyio.sleep(self._random.uniform(0, 2 * mean_s))

    async def _harm_store(self) -> None:
        effect = self._random.choice(WRITE_HARMS)
        share = self._random.choice((0.3, 0.6))
        fault = Fault(effect, share, self._random.choice((0.6, 1.5)))
        self._cluster.world.faults.store_writes = fault
        factor = self._random.choice((1, 1, 1, SLOWDOWN))
        self._cluster.world.store.pace = USUAL_PACE.slowed(factor)

    async def _harm_node(self) -> None:
        node = self._random.choice(self._cluster.nodes)
        pause_s = self._random.uniform(0.2, 2)
        match self._random.randrange(4):
            case 0 if not node.link.frozen:
                node.link.freeze()
                await anyio.sleep(pause_s / 2)
                node.link.thaw()
            case 1 if node not in self._stopping:
                await self._stop(node)
            case _ if STORE not in node.link.cut:
                node.link.cut.add(STORE)
                await anyio.sleep(2 * pause_s)
                node.link.cut.discard(STORE)

    async def _stop(self, node: Node) -> None:
        """Restart an instance as signals do, but without release of the cell."""
        self._stopping.append(node)
        await anyio.sleep(DEREGISTRATION_S + GRACEFUL_TIMEOUT_S)
        for scope, server in self._calls.items():
            if server is node:
                scope.cancel()
        node.kill()
        self._stopping.remove(node)
        node.start()

    async def _reconfigure(self) -> None:
        """Take a key and mostly a queue away, and give others back."""
        keys = tuple(self._random.sample(KEYS, 3))
        gone = self._random.choice((*STANDARD.lines, None))
        lines = tuple(line for line in STANDARD.lines if line != gone)
        self._configure(keys, STANDARD._replace(lines=lines))

    def _configure(self, keys: tuple[str, ...], site: Site) -> None:
        accounts = (TeamSpec('red', keys, 24),)
        self._cluster.world.configure(site._replace(accounts=accounts))

    async def _submit_steadily(self, tasks: Any) -> None:
        for _ in range(CALLS):
            prefix = self._random.choice(PREFIXES)
            order = self._cluster.order(prefix, WORK)
            order = order._replace(key=self._random.choice(KEYS))
            tasks.start_soon(self._submit, order, self._random.randint(1, 3))
            await anyio.sleep(CALL_GAP_S)

    async def _submit(self, order: Order, tries: int) -> None:
        checker = self._cluster.world.checker
        checker.submitted.add(order.job)
        told: list[int] = []
        for _ in range(tries):
            node = self._random.choice(self._cluster.nodes)
            told.append(await self._call(node, order))
            if told[-1] == OK or 400 <= told[-1] < INTERNAL_ERROR:
                break
            await anyio.sleep(self._random.uniform(0, 1))
        if are_rejections(told):
            checker.note_rejected(order.job)
            self.rejected[order.job] = told

    async def _call(self, node: Node, order: Order) -> int:
        """Submit a job once; return the status, as the server sends it."""
        if node.app is None or node.link.frozen:
            return 0
        headers = [
            (b'host', HOST.encode()),
            (b'authorization', f'Token {order.key}'.encode()),
            (b'deadline-ms', b'%d000' % WAIT_S),
        ]
        scope = {
            'type': 'http',
            'method': 'POST',
            'path': f'{order.prefix}{order.job}',
            'query_string': b'',
            'server': ('entry', 1),
            'headers': headers,
        }
        sent: list[int] = []

        async def receive() -> dict[str, Any]:
            return {'type': 'http.request', 'body': write_job(order)}

        async def send(message: dict[str, Any]) -> None:
            if message['type'] == 'http.response.start':
                sent.append(message['status'])

        app = node.app
        with anyio.CancelScope() as stop, anyio.move_on_after(WAIT_S) as wait:
            self._calls[stop] = node
            await app.web(scope, receive, send)
        self._calls.pop(stop)
        if wait.cancelled_caught or node.link.frozen:
            return 0
        # The server answers for an application that ends without an answer.
        return sent[0] if sent else INTERNAL_ERROR


class RejectionsUnderFaultsTest(unittest.TestCase):
    """A rejection is a promise that the job never runs."""

    def find_broken(self, seed: int) -> dict[str, list[int]]:
        """Return the recorded jobs of which all attempts were rejected."""
        broken: dict[str, list[int]] = {}

        async def scenario(cluster: Cluster) -> None:
            trouble = _Trouble(cluster, seed)
            await trouble.play()
            recorded = (await cluster.holder()).cell.state.jobs.keys()
            self.assertGreater(len(recorded), 0)
            self.assertGreater(len(trouble.rejected), 0)
            broken.update(
                (job, trouble.rejected[job])
                for job in recorded & trouble.rejected.keys()
            )

        world = simulate(scenario, NODES)
        self.assertEqual(world.checker.broken, [])
        return broken

    def test_no_job_runs_of_which_all_attempts_were_rejected(self) -> None:
        """While instances pass calls on, pause and stop, and keys go."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(self.find_broken(seed), {})
