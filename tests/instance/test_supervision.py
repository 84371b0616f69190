"""Tests of recovery from the program's own faults."""

import unittest

import anyio

from swifthoist_engine.records import Beat, Canceled, Record
from swifthoist_instance.faults import Faults
from swifthoist_instance.journal import CELL_TOPIC
from swifthoist_instance.supervision import run_supervised
from tests.instance.entry import JOB, InstanceHarness, configure
from tests.instance.fakes import FakeStore, LoopClock, run

_JOBS = ('1234567890abcdef', '234567890abcdef1')
_OK = 200
_DEEPLY_NESTED_RECORD = b'\x92\xa9Submitted' + b'\x91' * 100_000
"""A record whose arrays are nested too deeply to be decoded."""


class FaultTest(unittest.TestCase):
    """A fault ends neither the instance nor its guarantees."""

    def test_a_task_that_fails_runs_again(self) -> None:
        """It is restarted after a pause, until it returns."""
        runs: list[float] = []

        async def fail_twice() -> None:
            runs.append(anyio.current_time())
            if len(runs) < 3:
                raise ValueError('a fault')

        async def main() -> None:
            await run_supervised('act', fail_twice, Faults(LoopClock()))

        with self.assertLogs('swifthoist_instance.supervision'):
            run(main)
        self.assertEqual(len(runs), 3)
        self.assertGreater(runs[1], runs[0])

    def test_a_record_that_can_not_be_folded_is_passed_over(self) -> None:
        """Every instance skips it alike, and folds the records after it."""

        async def main() -> None:
            store = FakeStore()
            configure(store)
            instance = InstanceHarness('entry', store)
            instance.follower.cell.fold = _fail_on_heartbeats(
                instance.follower.cell.fold
            )
            async with anyio.create_task_group() as tasks:
                instance.start(tasks)
                await anyio.sleep(1)
                await instance.journal.append([Beat(0, 1)], 1)
                answer = await instance.call('POST', _JOBS[0], JOB)
                self.assertEqual(answer.status, _OK)
                await anyio.sleep(1)
                self.assertIsNotNone(instance.follower.cell.find_job(_JOBS[0]))
                tasks.cancel_scope.cancel()

        with self.assertLogs('swifthoist_instance.follower', 'ERROR'):
            run(main)

    def test_a_record_that_fails_again_is_told_of_once(self) -> None:
        """The traceback is logged once; each record has its own line."""

        async def main() -> None:
            store = FakeStore()
            instance = InstanceHarness('entry', store)
            follower = instance.follower
            follower.cell.fold = _fail_on_heartbeats(follower.cell.fold)
            async with anyio.create_task_group() as tasks:
                instance.start(tasks)
                for _ in range(3):
                    await instance.journal.append([Beat(0, 1)], 1)
                await anyio.sleep(1)
                tasks.cancel_scope.cancel()
            reported = [
                (row['name'], row['count'])
                for row in follower.faults.describe()
            ]
            self.assertEqual(reported, [('Beat', 3)])
            self.assertEqual(follower.fold_failures, 3)

        with self.assertLogs('swifthoist_instance', 'ERROR') as logs:
            run(main)
        traces = [line for line in logs.records if line.exc_info]
        self.assertEqual(len(logs.records), 4)
        self.assertEqual(len(traces), 1)

    def test_a_record_that_nests_too_deep_is_passed_over(self) -> None:
        """Otherwise every instance would stop at this record."""

        async def main() -> None:
            store = FakeStore()
            configure(store)
            instance = InstanceHarness('entry', store)
            store.topic(CELL_TOPIC).append([_DEEPLY_NESTED_RECORD], 0)
            async with anyio.create_task_group() as tasks:
                instance.start(tasks)
                await anyio.sleep(1)
                answer = await instance.call('POST', _JOBS[0], JOB)
                self.assertEqual(answer.status, _OK)
                await anyio.sleep(1)
                self.assertIsNotNone(instance.follower.cell.find_job(_JOBS[0]))
                tasks.cancel_scope.cancel()

        with self.assertLogs('swifthoist_instance.follower', 'ERROR'):
            run(main)

    def test_an_instance_without_memory_for_a_record_starts_over(self) -> None:
        """Otherwise its state would differ from the others' for good."""

        async def main() -> None:
            store = FakeStore()
            configure(store)
            short, ample = (
                InstanceHarness('short', store),
                InstanceHarness('ample', store),
            )
            fold, pending_failures = short.follower.cell.fold, [1]

            def fold_and_fail(record: Record) -> None:
                fold(record)
                if isinstance(record, Canceled) and pending_failures:
                    pending_failures.pop()
                    raise MemoryError

            short.follower.cell.fold = fold_and_fail
            async with anyio.create_task_group() as tasks:
                ample.start(tasks)
                follower = short.follower
                tasks.start_soon(
                    run_supervised, 'follower', follower.run, follower.faults
                )
                await anyio.sleep(1)
                for job in _JOBS:
                    await ample.call('POST', job, JOB)
                    await ample.call('DELETE', job)
                await anyio.sleep(3)
                tasks.cancel_scope.cancel()
            self.assertEqual(pending_failures, [])
            self.assertEqual(
                short.follower.cell.state, ample.follower.cell.state
            )
            self.assertEqual(short.follower.position, ample.follower.position)

        with self.assertLogs('swifthoist_instance.supervision'):
            run(main)

    def test_a_journal_that_runs_again_uses_no_number_twice(self) -> None:
        """Otherwise the store takes the second append for a repeat."""

        async def main() -> None:
            store = FakeStore()
            configure(store)
            instance = InstanceHarness('entry', store)
            async with anyio.create_task_group() as tasks:
                instance.start(tasks)
                await anyio.sleep(1)
                store.replies_to_lose = 1
                tasks.start_soon(instance.call, 'POST', _JOBS[0], JOB)
                await anyio.sleep(0.1)
                tasks.cancel_scope.cancel()
            async with anyio.create_task_group() as tasks:
                instance.start(tasks)
                answer = await instance.call('POST', _JOBS[1], JOB)
                self.assertEqual(answer.status, _OK)
                await anyio.sleep(1)
                tasks.cancel_scope.cancel()
            self.assertIsNotNone(instance.follower.cell.find_job(_JOBS[1]))

        run(main)


def _fail_on_heartbeats(fold):  # type: ignore[no-untyped-def]
    """Wrap a fold so that it fails for heartbeats."""

    def fold_or_fail(record):  # type: ignore[no-untyped-def]
        if isinstance(record, Beat):
            raise ValueError('a fault')
        fold(record)

    return fold_or_fail
