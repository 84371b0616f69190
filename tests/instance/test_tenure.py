"""Tests of which instance holds the cell."""

import unittest
from collections.abc import Sequence

import anyio
from anyio.abc import TaskGroup

from swifthoist_engine.records import Beat, Claimed, encode_record
from swifthoist_instance.journal import CELL_TOPIC
from swifthoist_instance.tenure import (
    HOLDER_TIMEOUT_MS,
    MAX_CLAIM_DELAY_MS,
    MAX_LOG_OUTAGE_MS,
    OUTDATED_HOLDER_MS,
    VACANT_CLAIM_JITTER_MS,
)
from tests.instance.entry import InstanceHarness, configure
from tests.instance.fakes import FakeStore, run


def _holders(instances: Sequence[InstanceHarness]) -> list[InstanceHarness]:
    return [
        instance for instance in instances if instance.tenure.hold is not None
    ]


async def _start_instances(
    store: FakeStore, tasks: TaskGroup
) -> list[InstanceHarness]:
    """Start three instances and wait until one holds the cell."""
    configure(store)
    instances = [
        InstanceHarness(f'entry-{number}', store) for number in range(3)
    ]
    for instance in instances:
        instance.start(tasks, claims=True)
    await anyio.sleep(2)
    return instances


class TenureTest(unittest.TestCase):
    """One instance holds the cell; another one takes over after it."""

    def test_one_of_several_holds(self) -> None:
        """Concurrent claims are decided by their order on the log."""

        async def main() -> None:
            store = FakeStore()
            configure(store)
            instances = [
                InstanceHarness(f'entry-{number}', store) for number in range(5)
            ]
            async with anyio.create_task_group() as tasks:
                for instance in instances:
                    instance.start(tasks, claims=True)
                for _ in range(40):
                    await anyio.sleep(0.05)
                    self.assertLessEqual(len(_holders(instances)), 1)
                self.assertEqual(len(_holders(instances)), 1)
                epoch = instances[0].epoch
                await anyio.sleep(10)
                self.assertEqual(instances[0].epoch, epoch)
                tasks.cancel_scope.cancel()

        run(main)

    def test_a_silent_holder_is_replaced(self) -> None:
        """Within the holder timeout and the spread of claims, not earlier."""

        async def main() -> None:
            store = FakeStore()
            configure(store)
            first, second = (
                InstanceHarness('first', store),
                InstanceHarness('second', store),
            )
            async with anyio.create_task_group() as tasks:
                second.start(tasks)
                async with anyio.create_task_group() as tasks_of_first:
                    first.start(tasks_of_first, claims=True)
                    await anyio.sleep(1)
                    self.assertIsNotNone(first.tenure.hold)
                    tasks_of_first.cancel_scope.cancel()
                tasks.start_soon(second.tenure.run)
                await anyio.sleep(HOLDER_TIMEOUT_MS / 1_000 - 0.5)
                self.assertIsNone(second.tenure.hold)
                await anyio.sleep(1.2)
                self.assertIsNotNone(second.tenure.hold)
                tasks.cancel_scope.cancel()

        run(main)

    def test_a_holder_of_an_earlier_version_is_replaced_once(self) -> None:
        """It lacks something, although it is not silent."""

        async def beat(store: FakeStore) -> None:
            topic = store.topic(CELL_TOPIC)
            topic.append([encode_record(Claimed(1, 'earlier', 1))], 0)
            while True:
                topic.append([encode_record(Beat(1, 1))], 0)
                await anyio.sleep(0.2)

        async def main() -> None:
            store = FakeStore()
            configure(store)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(beat, store)
                instances = [
                    InstanceHarness(f'entry-{number}', store)
                    for number in range(3)
                ]
                for instance in instances:
                    instance.start(tasks, claims=True)
                await anyio.sleep(OUTDATED_HOLDER_MS / 1_000 - 0.1)
                self.assertEqual(_holders(instances), [])
                await anyio.sleep(1)
                self.assertEqual(len(_holders(instances)), 1)
                await anyio.sleep(10)
                self.assertEqual(instances[0].epoch, 2)
                tasks.cancel_scope.cancel()

        run(main)

    def test_a_holder_stops_acting_once_it_has_not_read_for_long(self) -> None:
        """Another instance may hold the cell by then."""

        async def main() -> None:
            store = FakeStore()
            configure(store)
            instance = InstanceHarness('entry', store)
            async with anyio.create_task_group() as tasks:
                instance.start(tasks, claims=True)
                await anyio.sleep(1)
                store.refuses = True
                await anyio.sleep(MAX_LOG_OUTAGE_MS / 1_000 - 2)
                self.assertIsNotNone(instance.tenure.hold)
                await anyio.sleep(3)
                self.assertIsNone(instance.tenure.hold)
                tasks.cancel_scope.cancel()

        run(main)

    def test_an_outage_of_the_store_changes_no_holder(self) -> None:
        """The outage is not mistaken for the holder's silence."""

        async def main() -> None:
            store = FakeStore()
            async with anyio.create_task_group() as tasks:
                instances = await _start_instances(store, tasks)
                before = instances[0].epoch
                store.refuses = True
                await anyio.sleep(4)
                store.refuses = False
                await anyio.sleep(3)
                after = instances[0].epoch
                self.assertEqual(before, after)
                tasks.cancel_scope.cancel()

        run(main)

    def test_a_holder_that_leaves_is_replaced_at_once(self) -> None:
        """It releases the cell, so nobody waits for the timeout."""

        async def main() -> None:
            store = FakeStore()
            async with anyio.create_task_group() as tasks:
                instances = await _start_instances(store, tasks)
                holder = _holders(instances)[0]
                await holder.tenure.release(1)
                await anyio.sleep(0.4)
                self.assertIsNone(holder.tenure.hold)
                self.assertEqual(len(_holders(instances)), 1)
                tasks.cancel_scope.cancel()

        run(main)

    def test_a_weak_machine_lets_others_claim_first(self) -> None:
        """It holds the cell only if there is no other instance."""

        async def main() -> None:
            store = FakeStore()
            configure(store)
            weak = [
                InstanceHarness(f'weak-{number}', store, 0.1)
                for number in range(4)
            ]
            ample = InstanceHarness('ample', store, 1)
            async with anyio.create_task_group() as tasks:
                for instance in weak:
                    instance.start(tasks, claims=True)
                async with anyio.create_task_group() as tasks_of_first:
                    await anyio.sleep(0.2)
                    ample.start(tasks_of_first, claims=True)
                    await anyio.sleep(2)
                    self.assertIsNotNone(ample.tenure.hold)
                    tasks_of_first.cancel_scope.cancel()
                await anyio.sleep(4)
                self.assertEqual(len(_holders(weak)), 1)
                tasks.cancel_scope.cancel()

        run(main)

    def test_the_next_life_of_the_holder_claims_at_once(self) -> None:
        """The former life has certainly ended, so no timeout is needed."""

        async def main() -> None:
            store = FakeStore()
            configure(store)
            first, again = (
                InstanceHarness('entry-0.aa', store),
                InstanceHarness('entry-0.bb', store),
            )
            async with anyio.create_task_group() as tasks:
                async with anyio.create_task_group() as tasks_of_first:
                    first.start(tasks_of_first, claims=True)
                    await anyio.sleep(1)
                    self.assertIsNotNone(first.tenure.hold)
                    tasks_of_first.cancel_scope.cancel()
                again.start(tasks, claims=True)
                await anyio.sleep(VACANT_CLAIM_JITTER_MS / 1_000 + 0.2)
                self.assertIsNotNone(again.tenure.hold)
                tasks.cancel_scope.cancel()

        run(main)

    def test_a_fenced_holder_stops_acting(self) -> None:
        """A runner that refuses its fence has seen a newer epoch."""

        async def main() -> None:
            store = FakeStore()
            configure(store)
            instance = InstanceHarness('entry', store)
            async with anyio.create_task_group() as tasks:
                instance.start(tasks, claims=True)
                await anyio.sleep(1)
                hold = instance.tenure.hold
                assert hold is not None
                instance.tenure.note_fenced(hold.epoch)
                self.assertIsNone(instance.tenure.hold)
                tasks.cancel_scope.cancel()

        run(main)


class WeakInstanceTest(unittest.TestCase):
    """A weak machine claims later, so it may read less often."""

    def test_it_reads_the_log_less_often(self) -> None:
        """Reads cost, and most machines of a large fleet are weak."""
        self.assertLess(_count_reads(0.5), 0.6 * _count_reads(1))

    def test_it_replaces_a_silent_holder_where_nobody_else_does(self) -> None:
        """It is later by its claim delay and one pause between reads."""

        async def main() -> None:
            store = FakeStore()
            configure(store)
            first, weak = (
                InstanceHarness('first', store),
                InstanceHarness('weak', store, 0.5),
            )
            async with anyio.create_task_group() as tasks:
                weak.start(tasks)
                async with anyio.create_task_group() as tasks_of_first:
                    first.start(tasks_of_first, claims=True)
                    await anyio.sleep(3)
                    tasks_of_first.cancel_scope.cancel()
                tasks.start_soon(weak.tenure.run)
                limit_s = (HOLDER_TIMEOUT_MS + 2 * MAX_CLAIM_DELAY_MS) / 1_000
                await anyio.sleep(limit_s + 1)
                self.assertIsNotNone(weak.tenure.hold)
                tasks.cancel_scope.cancel()

        run(main)


def _count_reads(cores: float) -> int:
    """Count the reads of a follower while the log keeps growing."""
    counts: list[int] = []

    async def main() -> None:
        store = FakeStore()
        configure(store)
        holder, other = (
            InstanceHarness('holder', store),
            InstanceHarness('other', store, cores),
        )
        async with anyio.create_task_group() as tasks:
            holder.start(tasks, claims=True)
            other.start(tasks)
            for _ in range(100):
                await anyio.sleep(0.1)
                beat = Beat(holder.epoch, holder.follower.time.now_ms())
                await holder.journal.append([beat], 1)
            counts.append(other.follower.reads)
            tasks.cancel_scope.cancel()

    run(main)
    return counts[0]
