"""Tests of limits, turns and early refusals."""

import unittest

import anyio

from swifthoist_core.catalogue import Entry, Limits, Urgency
from swifthoist_core.clock import ManualClock
from swifthoistd.limits import Limiter, Permit, Refusal
from swifthoistd.shares import Shares
from tests.daemon.fake_runners import (
    PLENTY,
    LoopClock,
    make_entry,
    run_virtual,
)

_BUDGET_MS = 10_000


def _limiter(capacity: int, members: int = 1) -> Limiter:
    clock = LoopClock()
    shares = Shares('i0', clock, 0)
    shares.update([f'i{number}' for number in range(members)])
    return Limiter(clock, shares, lambda: capacity)


class _Crowd:
    """Requests that hold their permit for a while, and what became of them."""

    def __init__(self, limiter: Limiter, hold_s: float = 0.1) -> None:
        self.limiter = limiter
        self.hold_s = hold_s
        self.order: list[str] = []
        self.refusals: list[Refusal] = []
        self.running = 0
        self.most = 0

    async def ask(self, entry: Entry, budget_ms: int = _BUDGET_MS) -> None:
        until_ms = LoopClock().boot_ms() + budget_ms
        admitted = await self.limiter.admit(entry, until_ms)
        if isinstance(admitted, Refusal):
            self.refusals.append(admitted)
            return
        self.order.append(entry.owner)
        self.running += 1
        self.most = max(self.most, self.running)
        await anyio.sleep(self.hold_s)
        self.running -= 1
        self.limiter.release(admitted)

    async def ask_often(self, entry: Entry, count: int) -> None:
        async with anyio.create_task_group() as tasks:
            for _ in range(count):
                tasks.start_soon(self.ask, entry)


class LimiterTest(unittest.TestCase):
    """Limits hold, refusals come at once, and turns are fair."""

    def test_owners_take_turns_whatever_their_queues(self) -> None:
        """Three requests wait behind a hundred of another owner."""

        async def scenario() -> None:
            crowd = _Crowd(_limiter(1))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(crowd.ask_often, make_entry('large'), 100)
                await anyio.sleep(0.01)
                tasks.start_soon(crowd.ask_often, make_entry('small'), 3)
            self.assertEqual(crowd.order[:7].count('small'), 3)

        run_virtual(scenario)

    def test_urgent_goes_first_and_batch_is_not_starved(self) -> None:
        """One turn in sixteen is for batch."""

        async def scenario() -> None:
            crowd = _Crowd(_limiter(1))
            async with anyio.create_task_group() as tasks:
                for urgency in reversed(Urgency):
                    entry = make_entry(urgency.name, urgency)
                    tasks.start_soon(crowd.ask_often, entry, 64)
                    await anyio.sleep(0.01)
            early = crowd.order[1:49]
            self.assertEqual(early.count('BATCH'), 3)
            self.assertGreater(
                early.count('URGENT'), early.count('INTERACTIVE')
            )
            self.assertGreater(early.count('INTERACTIVE'), 3)

        run_virtual(scenario)

    def test_concurrency_is_divided_by_the_instances(self) -> None:
        """Four at one time for all means two at each of two instances."""

        async def scenario() -> None:
            crowd = _Crowd(_limiter(100, members=2))
            entry = make_entry(limits=PLENTY._replace(concurrency=4))
            await crowd.ask_often(entry, 10)
            self.assertEqual(crowd.most, 2)
            self.assertEqual(len(crowd.order), 10)

        run_virtual(scenario)

    def test_a_rate_limit_says_when_to_come_back(self) -> None:
        """Coming back then is enough, and earlier is not."""

        async def scenario() -> None:
            crowd = _Crowd(_limiter(100, members=2))
            limits = Limits(rate_per_s=4, burst=2)
            entry = make_entry(limits=limits)
            await crowd.ask_often(entry, 2)
            refusal = crowd.refusals.pop()
            self.assertEqual(refusal, Refusal('rate', 500))
            await anyio.sleep(refusal.retry_after_ms / 1000 - 0.15)
            await crowd.ask(entry)
            self.assertEqual(len(crowd.refusals), 1)
            await anyio.sleep(0.15)
            await crowd.ask(entry)
            self.assertEqual(len(crowd.order), 2)

        run_virtual(scenario)

    def test_a_full_queue_refuses_at_once(self) -> None:
        """The refusal takes no time, and the queue's bound holds."""

        async def scenario() -> None:
            crowd = _Crowd(_limiter(1), hold_s=1)
            entry = make_entry(limits=PLENTY._replace(queue=2))
            async with anyio.create_task_group() as tasks:
                for _ in range(5):
                    tasks.start_soon(crowd.ask, entry)
                await anyio.sleep(0.01)
                reasons = [item.reason for item in crowd.refusals]
                self.assertEqual(reasons, ['queue', 'queue'])
            self.assertEqual(len(crowd.order), 3)

        run_virtual(scenario)

    def test_what_cannot_be_served_in_time_is_refused_at_once(self) -> None:
        """Once the time of a class is known, hopeless requests don't wait."""

        async def scenario() -> None:
            crowd = _Crowd(_limiter(1), hold_s=1)
            entry = make_entry()
            await crowd.ask(entry)
            async with anyio.create_task_group() as tasks:
                for _ in range(8):
                    tasks.start_soon(crowd.ask, entry, 3_500)
                await anyio.sleep(0.01)
                self.assertGreaterEqual(len(crowd.refusals), 4)
                for refusal in crowd.refusals:
                    self.assertEqual(refusal.reason, 'overload')
                    self.assertGreater(refusal.retry_after_ms, 1_000)

        run_virtual(scenario)

    def test_no_capacity_is_said_at_once(self) -> None:
        """An instance whose share has not settled says when it will."""

        async def scenario() -> None:
            clock = ManualClock()
            shares = Shares('i0', clock, 5_000)
            shares.update(['i1'])
            limiter = Limiter(clock, shares, int)
            refusal = await limiter.admit(make_entry(), clock.now_ms + 100)
            self.assertEqual(refusal, Refusal('no-capacity', 5_000))

        run_virtual(scenario)

    def test_a_cancelled_request_leaves_no_trace(self) -> None:
        """Its place in the queue, or its permit, is free again."""

        async def scenario() -> None:
            limiter = _limiter(1)
            until_ms = LoopClock().boot_ms() + _BUDGET_MS
            permit = await limiter.admit(make_entry(), until_ms)
            assert isinstance(permit, Permit)
            for released in ('never', 'after', 'before'):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(_admit_and_release, limiter)
                    await anyio.sleep(0.01)
                    self.assertEqual(limiter.queued, 1)
                    if released == 'before':
                        limiter.release(permit)
                    tasks.cancel_scope.cancel()
                    if released == 'after':
                        limiter.release(permit)
                self.assertEqual(limiter.queued, 0)
                if released == 'after':
                    permit = await limiter.admit(make_entry(), until_ms)
                    assert isinstance(permit, Permit)
            self.assertEqual(limiter.in_progress, 0)

        # The two event loops differ in who wins, the wake-up or the cancel.
        run_virtual(scenario)
        anyio.run(scenario)


async def _admit_and_release(limiter: Limiter) -> None:
    until_ms = LoopClock().boot_ms() + _BUDGET_MS
    admitted = await limiter.admit(make_entry(), until_ms)
    if isinstance(admitted, Permit):
        limiter.release(admitted)
