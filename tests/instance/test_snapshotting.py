"""Tests of snapshots, which keep what the log has dropped."""

import functools
import unittest
from typing import Any
from unittest import mock

import anyio

from swifthoist_core.errors import (
    LogExpiredError,
    LogUnavailableError,
    OutcomeUnknownError,
    SnapshotError,
)
from swifthoist_core.types import Offset
from swifthoist_engine.cell import Cell
from swifthoist_engine.model import UnitId
from swifthoist_engine.snapshots import (
    HEAD_KEY,
    encode_head,
    restore,
    take_snapshot,
)
from swifthoist_instance.follower import Follower
from swifthoist_instance.journal import CELL_TOPIC
from swifthoist_instance.snapshotting import SNAPSHOT_TOPIC, Snapshots
from swifthoist_platform.store_records import Batch, KeyedListing
from tests.engine.scenes import BATCH, KEEP_MS, Scene, job_spec, task
from tests.instance.entry import JOB, InstanceHarness, configure
from tests.instance.fakes import FakeStore, LoopClock, run

MAX_CHUNK_BYTES = 100
JOB_ID = '00000000000000aa'


class _Unstorable:
    """A part of the state that can't be encoded."""


def _make_scene() -> Scene:
    scene = Scene(job_spec('j', BATCH, task(count=3)))
    scene.start(UnitId('j', 0, 0, 1), 'runner-1')
    return scene


class EncodingTest(unittest.TestCase):
    """A snapshot restores the exact state, or fails."""

    def setUp(self) -> None:
        """Take a snapshot of several chunks."""
        self.scene = _make_scene()
        snapshot = take_snapshot(self.scene.cell.state, 7, 0, MAX_CHUNK_BYTES)
        self.contents = dict(snapshot.chunks)
        self.contents[HEAD_KEY] = encode_head(snapshot.head)
        self.assertGreater(len(snapshot.chunks), 1)

    def test_a_state_comes_back_as_it_was(self) -> None:
        """Jobs, open runs, counts of ends and usage."""
        restored = restore(self.contents)
        assert restored is not None
        self.assertEqual(restored.position, 7)
        self.assertEqual(restored.state, self.scene.cell.state)
        cell = Cell(KEEP_MS, restored.state)
        self.assertEqual(len(cell.runs_on('runner-1')), 1)

    def test_a_missing_or_replaced_chunk_is_noticed(self) -> None:
        """The snapshot is rejected as a whole."""
        key = next(key for key in self.contents if key != HEAD_KEY)
        for damaged in (b'', b'other', None):
            contents = dict(self.contents)
            contents.pop(key)
            if damaged is not None:
                contents[key] = damaged
            with self.assertRaises(SnapshotError):
                restore(contents)

    def test_no_snapshot_is_no_error(self) -> None:
        """The first instance reads the log from its beginning."""
        self.assertIsNone(restore({}))


class GapTest(unittest.TestCase):
    """Records expired while no instance was running."""

    def test_an_instance_goes_on_behind_a_gap(self) -> None:
        """It first waits for a snapshot that no instance writes."""

        async def main() -> None:
            store = FakeStore()
            configure(store)
            first = InstanceHarness('first', store)
            async with anyio.create_task_group() as tasks:
                first.start(tasks, claims=True)
                await anyio.sleep(1)
                tasks.cancel_scope.cancel()
            topic = store.topic(CELL_TOPIC)
            topic.forget(topic.end)
            second = InstanceHarness('second', store)
            async with anyio.create_task_group() as tasks:
                second.start(tasks, claims=True)
                await anyio.sleep(2)
                self.assertFalse(second.intake.ready)
                await anyio.sleep(4)
                self.assertTrue(second.intake.ready)
                tasks.cancel_scope.cancel()

        run(main)

    def test_an_instance_with_a_gap_waits_while_another_has_the_state(
        self,
    ) -> None:
        """It would answer that accepted jobs don't exist, and claim the cell."""

        async def main() -> None:
            store = FakeStore()
            configure(store)
            first = InstanceHarness('first', store)
            second = InstanceHarness('second', store)
            async with anyio.create_task_group() as tasks:
                first.start(tasks, claims=True)
                await anyio.sleep(1)
                await first.call('POST', JOB_ID, JOB)
                store.topic(CELL_TOPIC).forget(first.follower.position)
                second.start(tasks, claims=True)
                await anyio.sleep(30)
                self.assertFalse(second.intake.ready)
                self.assertIsNone(second.tenure.hold)
                answer = await second.call('GET', JOB_ID, wait_s=1)
                self.assertNotEqual(answer.status, 410)
                with anyio.move_on_after(0.2):
                    await first.snapshots.run(first.follower, first.epoch)
                await anyio.sleep(2)
                self.assertTrue(second.intake.ready)
                answer = await second.call('GET', JOB_ID)
                self.assertEqual(answer.status, 200)
                tasks.cancel_scope.cancel()

        run(main)

    def test_short_tenures_write_snapshots(self) -> None:
        """The first one of a tenure waited for a fifth of the retention time."""

        async def main() -> None:
            store = FakeStore()
            snapshots = Snapshots(store, 20_000, 1_000)
            follower = Follower(store, Cell(KEEP_MS), LoopClock())
            written: list[int] = []
            for _ in range(12):
                with anyio.move_on_after(1.5):
                    await snapshots.run(follower, 0)
                written.append(snapshots.written)
            self.assertEqual(written[0], 1)
            self.assertGreaterEqual(written[-1], 12 * 1.5 // 4)
            self.assertLessEqual(written[-1], 1 + 12 * 1.5 // 4)

        run(main)


class FailingTest(unittest.TestCase):
    """A snapshot that can't be taken is tried again, and told of."""

    def test_a_snapshot_that_keeps_failing_is_told_of_in_time(self) -> None:
        """Its lines say for how long the log still has it all."""

        async def main() -> None:
            store = FakeStore()
            snapshots = Snapshots(store, 20_000, 1_000)
            follower = Follower(store, Cell(KEEP_MS), LoopClock())
            with anyio.move_on_after(0.5):
                await snapshots.run(follower, 0)
            follower.cell.state.jobs['j'] = _Unstorable
            with anyio.move_on_after(25):
                await snapshots.run(follower, 0)
            self.assertEqual(snapshots.written, 1)
            # It is due every 4 s, and tried again after 1 s at most.
            self.assertGreaterEqual(snapshots.failed, 15)
            self.assertLessEqual(snapshots.failed, 25)
            self.assertEqual(follower.faults.count, snapshots.failed)
            del follower.cell.state.jobs['j']
            with anyio.move_on_after(2):
                await snapshots.run(follower, 0)
            self.assertEqual(snapshots.written, 2)

        with self.assertLogs('swifthoist_instance.snapshotting') as logs:
            run(main)
        left_ms = [it.left_ms for it in logs.records if hasattr(it, 'left_ms')]
        self.assertGreater(left_ms[0], 15_000)
        self.assertLess(left_ms[-1], 0)

    def test_an_instance_tells_of_records_that_only_instances_have(
        self,
    ) -> None:
        """The log has dropped them, and no snapshot has them."""

        async def main() -> None:
            store = FakeStore()
            configure(store)
            first = InstanceHarness('first', store)
            async with anyio.create_task_group() as tasks:
                first.start(tasks, claims=True)
                await anyio.sleep(1)
                await first.call('POST', JOB_ID, JOB)
                self.assertEqual(first.follower.history.forgotten, 0)
                store.topic(CELL_TOPIC).forget(first.follower.position)
                await anyio.sleep(1)
                self.assertGreater(first.follower.history.forgotten, 0)
                self.assertTrue(first.intake.ready)
                with anyio.move_on_after(0.5):
                    await first.snapshots.run(first.follower, first.epoch)
                await anyio.sleep(1)
                self.assertEqual(first.follower.history.forgotten, 0)
                tasks.cancel_scope.cancel()

        with self.assertLogs('swifthoist_instance.history') as logs:
            run(main)
        told = [it.getMessage() for it in logs.records]
        self.assertIn('records expired that no snapshot has', told)
        self.assertIn('all records are covered again', told)


class ContinuedTest(unittest.TestCase):
    """A term may continue the epoch of an earlier one."""

    def test_the_snapshot_before_an_outage_outlasts_the_next_one(self) -> None:
        """Its chunks are kept until another head is written."""

        async def main() -> None:
            store = FakeStore()
            snapshots = Snapshots(store, 1_000, 1_000)
            follower = Follower(store, Cell(KEEP_MS), LoopClock())
            with anyio.move_on_after(0.15):
                await snapshots.run(follower, 0)
            self.assertEqual(snapshots.written, 1)
            follower.cell.replace_state(_make_scene().cell.state)
            follower.cell.state.epoch = 0
            put = store.put

            async def put_chunks_only(topic, key, content, timeout_s) -> None:
                if key == HEAD_KEY:
                    raise LogUnavailableError('the writer crashed')
                await put(topic, key, content, timeout_s)

            with mock.patch.object(store, 'put', put_chunks_only):
                with anyio.move_on_after(0.3):
                    await snapshots.run(follower, 0)
            self.assertIsNotNone(await snapshots.load())

        run(main)

    def test_a_snapshot_whose_head_got_no_answer_outlasts_the_next_one(
        self,
    ) -> None:
        """Its head may have been written, and then needs its chunks."""
        for written in (True, False):
            with self.subTest(written=written):
                run(functools.partial(self._lose_answer, written=written))

    async def _lose_answer(self, *, written: bool) -> None:
        store = FakeStore()
        snapshots = Snapshots(store, 1_000, 1_000)
        follower = Follower(store, Cell(KEEP_MS), LoopClock())
        with anyio.move_on_after(0.3):
            await snapshots.run(follower, 0)
        put = store.put
        heads: list[bytes] = []

        async def lose_answer(topic, key, content, timeout_s) -> None:
            if key == HEAD_KEY:
                heads.append(content)
                if written and len(heads) == 1:
                    await put(topic, key, content, timeout_s)
                raise OutcomeUnknownError('no answer')
            await put(topic, key, content, timeout_s)

        with mock.patch.object(store, 'put', lose_answer):
            for time_ms in (1, 2, 3):
                follower.cell.state.time_ms = time_ms
                with anyio.move_on_after(0.3):
                    await snapshots.run(follower, 0)
                self.assertIsNotNone(await snapshots.load())
        self.assertEqual(len(heads), 3)
        follower.cell.state.time_ms = 4
        with anyio.move_on_after(0.5):
            await snapshots.run(follower, 0)
        restored = await snapshots.load()
        assert restored is not None
        self.assertEqual(restored.state.time_ms, 4)


class _ReplacingStore(FakeStore):
    """A store whose snapshot is replaced while it is listed.

    :ivar count: snapshots written so far.
    :ivar replaces_while_listed: whether each listing has snapshots written
        meanwhile.
    """

    def __init__(self) -> None:
        """Create a store without a snapshot."""
        super().__init__()
        self.count = 0
        self.replaces_while_listed = True

    async def write(self) -> None:
        """Write another snapshot, of a different state."""
        scene = _make_scene()
        scene.cell.state.time_ms = self.count
        snapshot = take_snapshot(
            scene.cell.state, self.count, self.count, MAX_CHUNK_BYTES
        )
        for key, chunk in snapshot.chunks.items():
            await self.put(SNAPSHOT_TOPIC, key, chunk, 1)
        head = encode_head(snapshot.head)
        await self.put(SNAPSHOT_TOPIC, HEAD_KEY, head, 1)
        self.count += 1

    async def newest(self, topic: str, timeout_s: float) -> KeyedListing:
        """List the chunks first; the head comes with a later page."""
        early = await super().newest(topic, timeout_s)
        if self.replaces_while_listed:
            await self.write()
            await self.write()
        late = await super().newest(topic, timeout_s)
        chunks = [item for item in early.items if item.key != HEAD_KEY]
        heads = [item for item in late.items if item.key == HEAD_KEY]
        return KeyedListing((*chunks, *heads), early.end)


async def _make_replacing_store() -> _ReplacingStore:
    """Create a store with both snapshot slots in use."""
    store = _ReplacingStore()
    await store.write()
    await store.write()
    return store


class ListingTest(unittest.TestCase):
    """Snapshots may be written while a listing is under way."""

    def test_a_snapshot_that_is_replaced_while_it_is_listed_is_not_lost(
        self,
    ) -> None:
        """Without it a new instance starts empty, though a holder is alive."""

        async def main() -> None:
            store = await _make_replacing_store()
            restored = await Snapshots(store, 1_000, 1_000).load()
            assert restored is not None
            self.assertEqual(restored.position, store.count - 1)

        run(main)

    def test_what_was_written_since_may_take_several_reads(self) -> None:
        """Here each read returns one record."""

        async def main() -> None:
            store = await _make_replacing_store()
            read = store.read

            async def read_one(*args: Any) -> Batch:
                batch = await read(*args)
                return batch._replace(records=batch.records[:1])

            with mock.patch.object(store, 'read', read_one):
                restored = await Snapshots(store, 1_000, 1_000).load()
            assert restored is not None
            self.assertEqual(restored.position, store.count - 1)

        run(main)

    def test_a_store_that_forgot_what_was_written_is_listed_again(
        self,
    ) -> None:
        """No snapshot is written during the second listing."""

        async def main() -> None:
            store = await _make_replacing_store()

            async def forget(*_: Any) -> Batch:
                store.replaces_while_listed = False
                raise LogExpiredError(0)

            with mock.patch.object(store, 'read', forget):
                restored = await Snapshots(store, 1_000, 1_000).load()
            assert restored is not None
            self.assertEqual(restored.position, store.count - 1)

        run(main)

    def test_answers_without_records_do_not_hold_up_a_newcomer(self) -> None:
        """It gives up after a limited number of tries."""

        async def main() -> None:
            store = await _make_replacing_store()

            async def read_none(topic: str, start: Offset, *_: Any) -> Batch:
                await anyio.sleep(0.01)
                return Batch(start, (), start + 1)

            with mock.patch.object(store, 'read', read_none):
                with anyio.fail_after(10):
                    restored = await Snapshots(store, 1_000, 1_000).load()
            self.assertIsNone(restored)

        run(main)


class ForgettingTest(unittest.TestCase):
    """The log drops records that a snapshot covers."""

    def test_a_newcomer_starts_from_a_snapshot(self) -> None:
        """It knows jobs whose records are no longer on the log."""

        async def main() -> None:
            store = FakeStore()
            configure(store)
            first = InstanceHarness('first', store)
            async with anyio.create_task_group() as tasks:
                first.start(tasks, claims=True)
                await anyio.sleep(1)
                await first.call('POST', '00000000000000aa', JOB)
                hold = first.tenure.hold
                assert hold is not None
                tasks.start_soon(
                    first.snapshots.run, first.follower, hold.epoch
                )
                await anyio.sleep(10)
                topic = store.topic(CELL_TOPIC)
                topic.forget(topic.end - 1)
                second = InstanceHarness('second', store)
                second.start(tasks)
                await anyio.sleep(1)
                shown = await second.call('GET', '00000000000000aa')
                self.assertEqual(shown.status, 200)
                self.assertEqual(second.epoch, first.epoch)
                tasks.cancel_scope.cancel()

        run(main)
