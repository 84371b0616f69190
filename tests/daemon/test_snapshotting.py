"""Tests of snapshots on the log and from peers."""

import unittest
from collections.abc import Sequence

import anyio

from swifthoist_core import snapshots
from swifthoist_core.requests import Phase
from swifthoistd.logs import LEDGER_STREAM, SNAPSHOT_STREAM
from swifthoistd.snapshotting import Restorer, SnapshotWriter, take
from tests.daemon.fakes import FakeLog, Instance, Mode, intent, run


class Holder:
    """A peer that hands out its state."""

    def __init__(self, entry: Instance) -> None:
        """Keep the instance."""
        self._entry = entry

    async def fetch(self) -> Sequence[bytes]:
        """Take its state."""
        return await take(self._entry.ledger)


async def _grown(log: FakeLog, tasks: anyio.abc.TaskGroup) -> Instance:
    """Run an instance that holds the cell and has folded some records."""
    entry = Instance('e1', log)
    tasks.start_soon(entry.run)
    await anyio.sleep(3)
    for index in range(30):
        await entry.journal.commit(intent(f'{index}'), 5)
    return entry


def _writer(entry: Instance, log: FakeLog, **often: int) -> SnapshotWriter:
    return SnapshotWriter(log, entry.ledger, entry.tenure, entry.clock, **often)


def _newcomer(log: FakeLog, peer: Instance | None = None) -> Instance:
    peers = None if peer is None else Holder(peer)
    return Instance('e9', log, bootstrap=Restorer(log, peers))


class BootstrapTest(unittest.TestCase):
    """A new instance starts although the log has forgotten."""

    def test_a_newcomer_takes_the_newest_whole_snapshot(self) -> None:
        """Torn, damaged and newer ones behind it are passed over."""

        async def main() -> None:
            log = FakeLog()
            async with anyio.create_task_group() as tasks:
                entry = await _grown(log, tasks)
                await _writer(entry, log).write()
                good = entry.ledger.offset
                await entry.journal.commit(intent('later'), 5)
                chunks = await take(entry.ledger)
                log.apply(SNAPSHOT_STREAM, chunks[:-1])
                log.apply(SNAPSHOT_STREAM, [b'\x92\x63\x90', b'\xff'])
                log.expire(LEDGER_STREAM, good)
                late = _newcomer(log)
                tasks.start_soon(lambda: late.run(decides=False))
                await late.follower.wait_for(entry.ledger.offset - 1)
                self.assertEqual(
                    snapshots.clone(late.ledger), snapshots.clone(entry.ledger)
                )
                known = late.ledger.requests.get('a', '0')
                self.assertIs(known.phase, Phase.OPEN)
                self.assertEqual(late.follower.resets, 0)
                tasks.cancel_scope.cancel()

        run(main)

    def test_without_a_snapshot_an_expired_log_is_reported(self) -> None:
        """The instance does not pretend to know anything."""

        async def main() -> None:
            log = FakeLog()
            async with anyio.create_task_group() as tasks:
                await _grown(log, tasks)
                log.expire(LEDGER_STREAM, 10)
                late = _newcomer(log)
                tasks.start_soon(lambda: late.run(decides=False))
                await anyio.sleep(20)
                self.assertEqual(late.follower.expired, 10)
                self.assertIsNone(late.follower.freshness_ms)
                tasks.cancel_scope.cancel()

        run(main)

    def test_while_the_log_is_down_a_peer_serves(self) -> None:
        """Once the log is back, the newcomer goes on from there."""

        async def main() -> None:
            log = FakeLog()
            async with anyio.create_task_group() as tasks:
                entry = await _grown(log, tasks)
                log.mode = Mode.DOWN
                late = _newcomer(log, entry)
                tasks.start_soon(lambda: late.run(decides=False))
                await anyio.sleep(10)
                self.assertEqual(late.ledger.offset, entry.ledger.offset)
                self.assertIsNone(late.follower.freshness_ms)
                log.mode = Mode.UP
                verdict = await late.journal.commit(intent('new'), 30)
                self.assertTrue(verdict.accepted)
                self.assertEqual(late.follower.resets, 0)
                tasks.cancel_scope.cancel()

        run(main)

    def test_a_peers_state_that_the_log_does_not_have_is_dropped(self) -> None:
        """The log is the judge: the newcomer starts again from it."""

        async def main() -> None:
            log, other = FakeLog(), FakeLog()
            async with anyio.create_task_group() as tasks:
                stray = await _grown(other, tasks)
                log.mode = Mode.DOWN
                late = _newcomer(log, stray)
                tasks.start_soon(lambda: late.run(decides=False))
                await anyio.sleep(10)
                self.assertGreater(late.ledger.offset, 0)
                log.mode = Mode.UP
                verdict = await late.journal.commit(intent('new'), 30)
                self.assertEqual(verdict.offset, 0)
                self.assertEqual(late.follower.resets, 1)
                tasks.cancel_scope.cancel()

        run(main)


class WriterTest(unittest.TestCase):
    """The holder of the cell writes, often enough and not too often."""

    def test_one_is_written_when_due_and_not_by_every_holder(self) -> None:
        """A new holder sees what the last one wrote."""

        async def main() -> None:
            log = FakeLog()
            async with anyio.create_task_group() as tasks:
                entry = await _grown(log, tasks)
                first = _writer(entry, log, every_ms=60_000)
                tasks.start_soon(first.run)
                await anyio.sleep(70)
                self.assertEqual(first.written, 2)
                second = _writer(entry, log, every_ms=60_000)
                tasks.start_soon(second.run)
                await anyio.sleep(20)
                self.assertEqual(second.written, 0)
                tasks.cancel_scope.cancel()

        run(main)

    def test_many_records_bring_one_earlier(self) -> None:
        """A burst does not wait for the clock."""

        async def main() -> None:
            log = FakeLog()
            async with anyio.create_task_group() as tasks:
                entry = await _grown(log, tasks)
                writer = _writer(entry, log, every_records=40)
                tasks.start_soon(writer.run)
                await anyio.sleep(10)
                before = writer.written
                for index in range(50):
                    entry.journal.post(intent(f'more {index}'))
                await anyio.sleep(6)
                self.assertEqual(writer.written, before + 1)
                tasks.cancel_scope.cancel()

        run(main)
