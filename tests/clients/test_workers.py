"""Tests of the client of workers against their stand-in."""

import anyio
import httpx

from swifthoist_core.clock import ManualClock
from swifthoist_core.errors import (
    OutcomeUnknownError,
    UnreachableError,
    WorkerRefusedError,
)
from swifthoist_platform.workers import (
    CheckpointOrder,
    HoldOrder,
    PartKey,
    RenewOrder,
    StartOrder,
    StopOrder,
    ThrottleOrder,
    WorkerClient,
)
from swifthoist_standins.places import Capacity
from swifthoist_standins.server import address_of, listen
from swifthoist_standins.worker import build_worker
from tests.loopback import (
    HASTY_S,
    LONG_MS,
    PATIENT_S,
    LoopbackTest,
    Target,
    scene,
)

LEASE_MS = 500
HOLD = HoldOrder(
    1, 10, 'job', 1, 0, 'team', 'sort', 0, 4, 1, 64, LEASE_MS, 'run_ms=300'
)
START = StartOrder(1, 10, 'job', 1, 0, LEASE_MS)
STOP = StopOrder(1, 11, 'job', 1, 0, 'cancelled')
RENEW = RenewOrder(1, (PartKey('job', 1, 0),), LEASE_MS)


class WorkerTest(LoopbackTest):
    """Base: a worker whose clock is set by hand."""

    def build(self):
        """Build the worker."""
        self.clock = ManualClock()
        return build_worker(Capacity(8, 64, 4096), self.clock, 1000)

    async def start(self, target: Target) -> WorkerClient:
        """Hold the part and start it."""
        worker = WorkerClient(target.http, target.address)
        await worker.hold(HOLD, PATIENT_S)
        await worker.start(START, PATIENT_S)
        return worker

    async def state(self, target: Target) -> str:
        """State of the part, as a fresh connection tells it."""
        async with httpx.AsyncClient(trust_env=False) as http:
            worker = WorkerClient(http, target.address)
            states = await worker.renew(RENEW._replace(leases=()), PATIENT_S)
        return states[0].state


class CommandTest(WorkerTest):
    """Commands are obeyed or refused with their reason."""

    @scene
    async def test_a_part_runs_from_its_hold_to_its_report(self, target):
        """Every command reaches the lease table."""
        worker = await self.start(target)
        slower = ThrottleOrder(1, 10, 'job', 1, 0, 50)
        await worker.throttle(slower, PATIENT_S)
        await worker.checkpoint(CheckpointOrder(1, 10, 'job', 1, 0), PATIENT_S)
        self.clock.advance(LEASE_MS - 1)
        running = await worker.renew(RENEW, PATIENT_S)
        self.assertEqual(running[0].state, 'checkpointed')
        self.clock.advance(101)
        done = (await worker.renew(RENEW, PATIENT_S))[0]
        self.assertEqual(done.state, 'done')
        self.assertEqual(done.stopped_ms - done.started_ms, 600)
        self.clock.advance(999)
        self.assertEqual(await worker.usage(0, PATIENT_S), ())
        self.clock.advance(1)
        report = (await worker.usage(0, PATIENT_S))[0]
        self.assertEqual(report.stopped_ms, done.stopped_ms)
        later_ms = report.reported_ms + 1
        self.assertEqual(await worker.usage(later_ms, PATIENT_S), ())

    @scene
    async def test_a_refusal_carries_the_reason_of_the_worker(self, target):
        """For commands and renewals alike; a stopped part stays so."""
        worker = await self.start(target)
        await worker.stop(STOP, PATIENT_S)
        with self.assertRaisesRegex(WorkerRefusedError, 'stale offset'):
            await worker.start(START, PATIENT_S)
        await worker.renew(RENEW._replace(epoch=2), PATIENT_S)
        with self.assertRaisesRegex(WorkerRefusedError, 'stale epoch'):
            await worker.renew(RENEW, PATIENT_S)

    @scene
    async def test_a_malformed_order_is_refused(self, target):
        """Neither garbage nor a place out of range takes effect."""
        worker = WorkerClient(target.http, target.address)
        reply = await target.http.post(f'{target.url}/hold', content=b'{}')
        self.assertEqual(reply.status_code, 400)
        self.assertEqual(reply.headers['x-not-run'], '1')
        wide = HOLD._replace(first=7)
        with self.assertRaises(WorkerRefusedError):
            await worker.hold(wide, PATIENT_S)
        worse = HOLD._replace(steps='run_ms=soon')
        with self.assertRaisesRegex(WorkerRefusedError, 'malformed steps'):
            await worker.hold(worse, PATIENT_S)


class WorkerFaultTest(WorkerTest):
    """Errors say whether an order took effect."""

    def test_a_worker_that_is_not_there_obeyed_nothing(self) -> None:
        """A refused connection is told apart from a lost reply."""

        async def scene() -> None:
            sock = listen('127.0.0.1', 0)
            address = address_of(sock)
            sock.close()
            async with httpx.AsyncClient(trust_env=False) as http:
                with self.assertRaises(UnreachableError):
                    await WorkerClient(http, address).hold(HOLD, PATIENT_S)

        anyio.run(scene)

    @scene
    async def test_a_start_whose_reply_is_lost_can_be_repeated(self, target):
        """It took effect, and the repetition does not run it again."""
        worker = WorkerClient(target.http, target.address)
        await worker.hold(HOLD, PATIENT_S)
        await target.fault(lose_next_replies=1)
        with self.assertRaises(OutcomeUnknownError):
            await worker.start(START, PATIENT_S)
        self.assertEqual(await self.state(target), 'running')
        await worker.start(START, PATIENT_S)
        self.assertEqual(len(await target.record()), 1)

    @scene
    async def test_a_silent_worker_leaves_the_outcome_unknown(self, target):
        """Its tasks end with their lease all the same."""
        worker = await self.start(target)
        await target.fault(silent=True)
        with self.assertRaises(OutcomeUnknownError):
            await worker.renew(RENEW, HASTY_S)
        self.clock.advance(300)
        record = await target.record()
        self.assertEqual([run['state'] for run in record], ['done'])

    @scene
    async def test_a_paused_worker_revives_nothing_when_it_wakes(self, target):
        """A renewal that waited out the lease comes too late."""
        worker = WorkerClient(target.http, target.address)
        await worker.hold(HOLD._replace(steps='run_ms=9000'), PATIENT_S)
        await worker.start(START, PATIENT_S)
        await target.fault(paused_ms=LONG_MS)
        with self.assertRaises(OutcomeUnknownError):
            await worker.renew(RENEW, HASTY_S)
        self.clock.advance(LEASE_MS)
        await target.fault(paused_ms=0)
        self.assertEqual(await self.state(target), 'lapsed')

    @scene
    async def test_a_worker_that_fails_all_fails_what_it_starts(self, target):
        """The start is obeyed, and the state tells the failure."""
        await target.fault(fail_all=True)
        await self.start(target)
        self.assertEqual(await self.state(target), 'failed')
