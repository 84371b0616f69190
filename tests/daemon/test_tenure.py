"""Tests of the lease of the cell."""

import unittest

import anyio

from swifthoistd.tenure import LEASE_MS
from tests.daemon.fakes import FakeLog, Instance, Mode, run

LEASE_S = LEASE_MS / 1_000


async def _holders(entries: list[Instance]) -> list[str]:
    return [item.author.instance for item in entries if item.tenure.may_act()]


class TenureTest(unittest.TestCase):
    """One instance decides; another takes over when it is gone."""

    def test_one_of_several_holds_and_another_takes_over(self) -> None:
        """The cell is held again within a lease and a half of a death."""

        async def main() -> None:
            log = FakeLog()
            entries = [Instance(f'e{index}', log) for index in range(5)]
            async with anyio.create_task_group() as tasks:
                for entry in entries:
                    tasks.start_soon(entry.run)
                await anyio.sleep(LEASE_S)
                first = (await _holders(entries))[0]
                holder = next(
                    item for item in entries if item.author.instance == first
                )
                holder.kill()
                await anyio.sleep(LEASE_S * 1.5)
                others = [item for item in entries if item is not holder]
                second = (await _holders(others))[0]
                self.assertNotEqual(first, second)
                tasks.cancel_scope.cancel()

        run(main)

    def test_a_paused_holder_knows_that_it_may_not_act(self) -> None:
        """At no time do two instances believe that they hold the cell."""

        async def main() -> None:
            log = FakeLog()
            entries = [Instance(f'e{index}', log) for index in range(3)]
            async with anyio.create_task_group() as tasks:
                for entry in entries:
                    tasks.start_soon(entry.run)
                await anyio.sleep(LEASE_S)
                first = (await _holders(entries))[0]
                holder = next(
                    item for item in entries if item.author.instance == first
                )
                holder.link.pause()
                for _ in range(300):
                    await anyio.sleep(0.02)
                    self.assertLessEqual(len(await _holders(entries)), 1)
                self.assertFalse(holder.tenure.may_act())
                holder.link.resume()
                for _ in range(100):
                    await anyio.sleep(0.02)
                    self.assertEqual(len(await _holders(entries)), 1)
                tasks.cancel_scope.cancel()

        run(main)

    def test_who_cannot_read_does_not_take_a_held_cell(self) -> None:
        """The fold judges by the log's time, not by the claimant's view."""

        async def main() -> None:
            log = FakeLog()
            holder, late = Instance('e0', log), Instance('e1', log)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(holder.run)
                await anyio.sleep(LEASE_S)
                tasks.start_soon(late.run)
                await anyio.sleep(LEASE_S)
                late.link.lag_s = LEASE_S * 10
                for _ in range(300):
                    await anyio.sleep(0.1)
                    self.assertEqual(await _holders([holder, late]), ['e0'])
                self.assertEqual(holder.ledger.cell.state.epoch, 1)
                tasks.cancel_scope.cancel()

        run(main)

    def test_a_holder_that_reads_late_stops_in_time(self) -> None:
        """Its lease counts from before the renewal, not from its reply."""

        async def main() -> None:
            log = FakeLog()
            entries = [Instance(f'e{index}', log) for index in range(5)]
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(entries[0].run)
                await anyio.sleep(LEASE_S)
                entries[0].link.lag_s = LEASE_S * 0.15
                for entry in entries[1:]:
                    tasks.start_soon(entry.run)
                await anyio.sleep(LEASE_S * 3.2)
                entries[0].link.pause()
                for _ in range(400):
                    await anyio.sleep(0.02)
                    self.assertLessEqual(len(await _holders(entries)), 1)
                tasks.cancel_scope.cancel()

        run(main)

    def test_a_released_cell_is_claimed_at_once(self) -> None:
        """A graceful shutdown does not cost a lease."""

        async def main() -> None:
            log = FakeLog()
            entries = [Instance(f'e{index}', log) for index in range(2)]
            async with anyio.create_task_group() as tasks:
                for entry in entries:
                    tasks.start_soon(entry.run)
                await anyio.sleep(LEASE_S)
                first = (await _holders(entries))[0]
                for entry in entries:
                    if entry.author.instance == first:
                        await entry.tenure.release(1)
                await anyio.sleep(LEASE_S / 4)
                second = (await _holders(entries))[0]
                self.assertNotEqual(first, second)
                tasks.cancel_scope.cancel()

        run(main)

    def test_the_holder_goes_on_after_an_outage(self) -> None:
        """During the outage nobody decides; after it one does."""

        async def main() -> None:
            log = FakeLog()
            entries = [Instance(f'e{index}', log) for index in range(3)]
            async with anyio.create_task_group() as tasks:
                for entry in entries:
                    tasks.start_soon(entry.run)
                await anyio.sleep(LEASE_S)
                log.mode = Mode.DOWN
                await anyio.sleep(600)
                self.assertEqual(await _holders(entries), [])
                log.mode = Mode.UP
                await anyio.sleep(LEASE_S)
                self.assertEqual(len(await _holders(entries)), 1)
                tasks.cancel_scope.cancel()

        run(main)
