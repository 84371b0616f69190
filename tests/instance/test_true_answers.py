"""Random orders of lost, late and refused calls among four instances."""

import random
import unittest
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import anyio
import anyio.lowlevel

from swifthoist_core.errors import (
    AnswerLateError,
    LogUnavailableError,
    OutcomeUnknownError,
    UnreachableError,
)
from swifthoist_core.types import Offset
from swifthoist_emulator.site import HOST, STANDARD, write_config
from swifthoist_emulator.topics import AppendId
from swifthoist_engine.cell import Cell
from swifthoist_engine.peers import Peer
from swifthoist_engine.records import decode_record
from swifthoist_instance.configuration import Configuration
from swifthoist_instance.faults import Faults
from swifthoist_instance.follower import Follower
from swifthoist_instance.intake import Intake
from swifthoist_instance.journal import CELL_TOPIC, Journal
from swifthoist_instance.messages import (
    GATEWAY_TIMEOUT,
    INTERNAL_ERROR,
    OK,
)
from swifthoist_instance.metrics import Metrics
from swifthoist_instance.open_calls import OpenCalls
from swifthoist_instance.peers import Peers
from swifthoist_instance.recording import Recorder
from swifthoist_instance.snapshotting import Snapshots
from swifthoist_instance.store_latency import StoreLatency
from swifthoist_instance.supervision import run_supervised
from swifthoist_instance.tenure import Tenure
from swifthoist_instance.turns import LoopMonitor
from swifthoist_instance.web import Sent, ShutdownState, Web
from swifthoist_platform.calls import Call as PeerCall
from swifthoist_platform.calls import Reply
from swifthoist_platform.store import (
    CONFIG_KEY,
    OPERATOR_TOPIC,
    AppendConflictError,
    AppendRequest,
    Conflict,
)
from tests.instance.entry import (
    JOB,
    KEEP_MS,
    LOG_KEEP_MS,
    RECORD_BYTES,
    REVOKE_MS,
)
from tests.instance.fakes import FakeStore, LoopClock, open_guard, run

NODES = 'abcd'
JOBS = 80
SEEDS = 8
CUT_OFF_SHARE = 0.1
LINK_FAILS = 0.2
REPLY_IS_LOST = 0.1
STORE_CHANGES = 0.2
CONFIGURATION_CHANGES = 0.06
HAS_KEYS = 0.6

LAST_S = 20
"""Time after the last call until nothing is on its way any more, in seconds."""

ONE_CALL = ('refuse', 'late', 'silent', 'break', 'ok')
KINDS = (*ONE_CALL, 'ok', 'ok', 'mixed')


class _View(FakeStore):
    """The store as one instance reaches it."""

    def __init__(self, day: '_Day') -> None:
        super().__init__()
        self.kind = 'ok'
        self.topics = day.topics
        self._day = day
        day.views.append(self)

    async def append(
        self, batch: AppendRequest, timeout_s: float, patience: object = None
    ) -> Offset:
        """Append in time, late, or not at all."""
        draw = self._day.draw
        kind = draw.choice(ONE_CALL) if self.kind == 'mixed' else self.kind
        if kind == 'refuse':
            await anyio.sleep(draw.choice((0, 0.3, 0.7)))
            raise LogUnavailableError('refused')
        if kind == 'silent':
            await anyio.sleep(timeout_s)
            raise AnswerLateError('silent')
        after_s = draw.uniform(0.3, 4) if kind == 'late' else 0.004

        carry_out = partial(self._carry_out, batch, after_s)
        done = await self._day.wait(carry_out, timeout_s)
        if kind == 'break':
            raise ValueError('unexpected')
        if done is None:
            raise AnswerLateError('late')
        if done[0]:
            raise AppendConflictError(Conflict(done[0]))
        return done[1]

    async def _carry_out(
        self, batch: AppendRequest, after_s: float
    ) -> tuple[str, Offset]:
        await anyio.sleep(after_s)
        number = AppendId(batch.producer, 1, batch.sequence)
        reply = self.topic(batch.topic).append(batch.records, 0, number)
        for view in self._day.views:
            view._notify_readers()
        return reply.reason, reply.offset


class _Link:
    """Connections to an instance, which lose and delay calls."""

    def __init__(self, day: '_Day', node: str) -> None:
        self._day = day
        self._node = node

    async def call(self, call: PeerCall) -> Reply:
        """Have the instance serve a call, even if nobody waits any more."""
        draw = self._day.draw
        if draw.random() < LINK_FAILS:
            raise UnreachableError('refused')
        path, _, query = call.path.partition('?')
        headers = {name.lower(): text for name, text in call.headers.items()}
        web = self._day.webs[self._node]
        before_s, after_s = draw.choices((0, 0.2, 0.6, 4), (8, 2, 2, 1), k=2)

        async def serve() -> Reply:
            await anyio.sleep(before_s)
            sent = Sent(headers, call.content)
            answer = await web.answer_internal(call.method, path, query, sent)
            await anyio.sleep(after_s)
            return Reply(answer.status, answer.content)

        reply = await self._day.wait(serve, call.timeout_s)
        if reply is None:
            raise AnswerLateError('late')
        if draw.random() < REPLY_IS_LOST:
            raise OutcomeUnknownError('lost')
        return reply

    async def close(self) -> None:
        """Do nothing; no connection is open."""


class _Day:
    """Four instances, and calls to them."""

    def __init__(self, seed: int, tasks: anyio.abc.TaskGroup) -> None:
        self.draw = random.Random(seed)
        self.topics = FakeStore().topics
        self.views: list[_View] = []
        self.latencies: list[StoreLatency] = []
        self.tasks = tasks
        self.told: dict[str, int] = {}
        self.webs = {node: self._start(node) for node in NODES}

    async def wait(
        self, func: Callable[[], Awaitable[Any]], timeout_s: float
    ) -> Any:
        """Run a function to its end, but wait only for a while."""
        results: list[Any] = []
        done = anyio.Event()

        async def run_on() -> None:
            results.append(await func())
            done.set()

        self.tasks.start_soon(run_on)
        with anyio.move_on_after(timeout_s):
            await done.wait()
        return results[0] if results else None

    async def run(self) -> None:
        """Make calls while the store and the configuration change."""
        draw = self.draw
        self._configure(1)
        await anyio.sleep(3)
        for number in range(JOBS):
            self.tasks.start_soon(self._submit, f'{number:016x}')
            await anyio.sleep(draw.choice((0, 0.01, 0.1, 0.3)))
            if draw.random() < STORE_CHANGES:
                draw.choice(self.views).kind = draw.choice(KINDS)
                draw.choice(self.latencies).note_answer(draw.choice((0, 0.3)))
            if draw.random() < CONFIGURATION_CHANGES:
                self._configure(number + 2, with_keys=draw.random() < HAS_KEYS)
        await anyio.sleep(5)
        for view in self.views:
            view.kind = 'ok'
        await anyio.sleep(LAST_S)

    def recorded(self) -> set[str]:
        """Return the jobs on the log."""
        cell = Cell(KEEP_MS)
        for content in self.topics[CELL_TOPIC].read(0) or ():
            record = decode_record(content)
            assert record is not None
            cell.fold(record)
        return set(cell.state.jobs)

    def _configure(self, version: int, *, with_keys: bool = True) -> None:
        accounts = STANDARD.accounts
        if not with_keys:
            accounts = tuple(it._replace(keys=()) for it in accounts)
        content = write_config(STANDARD._replace(accounts=accounts), version)
        self.views[0].publish(OPERATOR_TOPIC, CONFIG_KEY, content)

    async def _submit(self, job: str) -> None:
        draw = self.draw
        wait_ms = str(draw.choice((1_000, 2_000, 4_000)))
        scope = {
            'type': 'http',
            'server': ('127.0.0.1', 1),
            'method': 'POST',
            'path': f'/batch/{job}',
            'query_string': b'',
            'headers': [
                (b'host', HOST.encode()),
                (b'authorization', b'Token key-red'),
                (b'deadline-ms', wait_ms.encode()),
            ],
        }

        async def receive() -> dict[str, Any]:
            await anyio.lowlevel.checkpoint()
            return {'type': 'http.request', 'body': JOB, 'more_body': False}

        async def send(message: dict[str, Any]) -> None:
            await anyio.lowlevel.checkpoint()
            self.told.setdefault(job, message.get('status', 0))

        # Some calls are cut off, as at the end of the server.
        limit_s = (
            draw.uniform(0, 2) if draw.random() < CUT_OFF_SHARE else LAST_S
        )
        with anyio.move_on_after(limit_s):
            await self.webs[draw.choice(NODES)](scope, receive, send)
        # The server answers in the name of a call that nobody finished.
        self.told.setdefault(job, INTERNAL_ERROR)

    def _start(self, node: str) -> Web:
        clock = LoopClock()
        store = _View(self)
        latency = StoreLatency(clock)
        self.latencies.append(latency)
        snapshots = Snapshots(store, LOG_KEEP_MS, RECORD_BYTES)
        follower = Follower(store, Cell(KEEP_MS), clock, snapshots.load)
        own, calls = (
            Journal(store, f'{node}.life{name}', clock, latency=latency)
            for name in ('', '.calls')
        )
        settings = Configuration(store, clock, lambda: REVOKE_MS)
        tenure = Tenure(f'{node}.life', follower, own, clock, 1)
        peers = Peers(
            f'{node}.life',
            Peer(f'{node}:1', 1),
            follower,
            clock,
            lambda address: _Link(self, address.partition(':')[0]),
        )
        recorder = Recorder(calls, peers, latency)
        intake = Intake(
            settings,
            follower,
            recorder,
            peers,
            lambda: REVOKE_MS,
            OpenCalls(clock),
            open_guard(follower.cell).submissions,
        )
        faults = Faults(clock)
        for part in (follower, own, calls, settings, tenure):
            self.tasks.start_soon(run_supervised, node, part.run, faults)
        self.tasks.start_soon(peers.join, own)
        return Web(
            intake,
            None,
            Metrics(),
            ShutdownState(),
            2,
            tenure,
            faults,
            LoopMonitor(LoopClock()),
            open_guard().bodies,
            open_guard().refusals,
        )


class TrueAnswerTest(unittest.TestCase):
    """What a caller is told of its only attempt is true."""

    def test_no_rejected_job_is_on_the_log(self) -> None:
        """And each accepted one is."""

        async def main(seed: int) -> None:
            async with anyio.create_task_group() as tasks:
                day = _Day(seed, tasks)
                await day.run()
                tasks.cancel_scope.cancel()
            recorded = day.recorded()
            for job, status in day.told.items():
                if status != GATEWAY_TIMEOUT:
                    self.assertEqual(job in recorded, status == OK, status)

        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                run(partial(main, seed))
