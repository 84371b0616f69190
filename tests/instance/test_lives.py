"""Tests of how a runner's lives are told apart."""

import logging
import unittest

import anyio
import msgspec

from swifthoist_engine.model import TaskId
from swifthoist_instance.lives import (
    EARLIER_BIRTH_TIMEOUT_MS,
    MAX_CLOCK_SKEW_MS,
    MAX_ORDER_DELAY_MS,
    Life,
    PendingStarts,
)
from swifthoist_instance.registry import Registry
from swifthoist_instance.unusable_entries import UnusableEntries
from swifthoist_platform import names
from swifthoist_platform.store import RUNNER_TOPIC
from tests.instance.fakes import FakeStore, run

BORN = 1_780_000_000_000


class _ManualClock:
    """A clock that a test advances."""

    now_ms = 0

    def boot_ms(self) -> int:
        """Return the time since the start, in ms."""
        return self.now_ms

    def wall_ms(self) -> int:
        """Return the time of day, in ms."""
        return BORN + self.now_ms


class LifeTest(unittest.TestCase):
    """A life ends with the first sign of a later one."""

    def setUp(self) -> None:
        """Create a life from the birth in its runner's registry entry."""
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.clock = _ManualClock()
        self.life = Life('r', self.clock, BORN)

    def test_an_entry_or_an_answer_ends_the_life_before(self) -> None:
        """Whichever comes first; later answers of the old life are ignored."""
        self.assertTrue(self.life.note_answer_birth(BORN))
        self.life.note_entry_birth(BORN + 1)
        self.assertTrue(self.life.over)
        self.assertFalse(self.life.note_answer_birth(BORN))
        other = Life('r', self.clock, BORN)
        self.assertFalse(other.note_answer_birth(BORN + 1))
        self.assertEqual(other.next_ms, BORN + 1)
        self.assertFalse(other.note_answer_birth(0))

    def test_bad_births_end_no_life(self) -> None:
        """A birth that is missing, in the future or from an old entry."""
        self.assertTrue(self.life.note_answer_birth(BORN))
        for born_ms in (0, BORN + 2 * MAX_CLOCK_SKEW_MS):
            self.assertTrue(self.life.note_answer_birth(born_ms))
        self.life.note_entry_birth(BORN - 1)
        self.life.note_entry_birth(0)
        self.assertFalse(self.life.over)

    def test_an_entry_that_no_life_answers_to_is_refuted(self) -> None:
        """The birth that the runner answers with is used instead."""
        life = Life('r', self.clock, BORN + 5)
        self.assertTrue(life.note_answer_birth(BORN))
        life.note_entry_birth(BORN + 5)
        self.assertFalse(life.over)
        self.assertEqual(life.born_ms, BORN)

    def test_a_runner_whose_time_of_day_went_back_is_not_lost(self) -> None:
        """After a timeout, an earlier birth counts as the next life.

        Answers of an earlier life that were delayed have arrived by then.
        """
        self.assertTrue(self.life.note_answer_birth(BORN))
        self.assertFalse(self.life.note_answer_birth(BORN - 7))
        self.assertFalse(self.life.over)
        self.clock.now_ms += EARLIER_BIRTH_TIMEOUT_MS + 1
        self.assertFalse(self.life.note_answer_birth(BORN - 7))
        self.assertEqual(self.life.next_ms, BORN - 7)
        self.assertEqual(self.life.false_birth_ms, BORN)

    def test_an_order_without_an_answer_is_kept_for_a_while(self) -> None:
        """Also if a later order is answered; its sender handles that."""
        pending_starts = PendingStarts(self.clock)
        key = (TaskId('j', 0, 0, 0), 1)
        self.assertFalse(pending_starts.note_sent(key))
        self.assertTrue(pending_starts.note_sent(key))
        self.assertIn(key, pending_starts.keys())
        self.clock.now_ms += MAX_ORDER_DELAY_MS
        self.assertNotIn(key, pending_starts.keys())

    def test_a_start_is_certain_once_a_later_look_is_answered(self) -> None:
        """Its own answer may come from the next life without saying so."""
        pending_starts = PendingStarts(self.clock)
        key = (TaskId('j', 0, 0, 0), 1)
        pending_starts.note_sent(key)
        self.clock.now_ms += 5
        pending_starts.note_answered(key)
        pending_starts.note_look(self.clock.now_ms - 1, set())
        self.assertIn(key, pending_starts.keys())
        pending_starts.note_look(self.clock.now_ms, set())
        self.assertNotIn(key, pending_starts.keys())

    def test_a_start_is_certain_once_a_look_shows_its_run(self) -> None:
        """The look may have been sent before it, if no other start is open."""
        for open_starts in (0, 1):
            pending_starts = PendingStarts(self.clock)
            key = (TaskId('j', 0, 0, open_starts), 1)
            for _ in range(open_starts):
                pending_starts.note_sent(key)
            if not pending_starts.note_sent(key):
                pending_starts.note_answered(key)
            pending_starts.note_look(-1, {key})
            self.assertEqual(key in pending_starts.keys(), open_starts > 0)


class EntryTest(unittest.TestCase):
    """A registry entry describes one life, and may be wrong."""

    def test_the_newer_life_holds_and_no_runner_is_lost(self) -> None:
        """This holds for births that are old, invalid or in the future."""
        births = (
            BORN,
            BORN - 1,
            'then',
            None,
            2.5,
            BORN + 10 * MAX_CLOCK_SKEW_MS,
        )
        births_in_use: list[int] = []

        async def main() -> None:
            store = FakeStore()
            clock = _ManualClock()
            registry = Registry(store, clock)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(registry.run)
                await registry.loaded.wait()
                for born in (*births, BORN + 3):
                    store.publish(RUNNER_TOPIC, 'r', _entry(born))
                    await anyio.sleep(1)
                    entry = registry.present('r')
                    births_in_use.append(entry.born_ms if entry else -1)
                tasks.cancel_scope.cancel()

        run(main)
        self.assertEqual(births_in_use, [*(BORN for _ in births), BORN + 3])

    def test_an_odd_entry_changes_no_runner_and_is_logged_once(self) -> None:
        """It names no runner; what was known of the others holds."""
        unusable = UnusableEntries()
        listed: list[bool] = []

        async def main() -> None:
            store = FakeStore()
            registry = Registry(store, _ManualClock(), unusable)
            store.publish(RUNNER_TOPIC, 'r', _entry(BORN))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(registry.run)
                await registry.loaded.wait()
                for key in ('r', 'r', 'odd', 'caf\xe9', ''):
                    store.publish(RUNNER_TOPIC, key, b'[' * 100_000)
                    await anyio.sleep(1)
                    entry = registry.present('r')
                    listed.append(
                        entry is not None and len(registry.listed) == 1
                    )
                tasks.cancel_scope.cancel()

        with self.assertLogs('swifthoist_instance', level='ERROR') as logs:
            run(main)
        self.assertTrue(all(listed))
        keys = [record.key for record in logs.records]
        self.assertEqual(keys, ['r', 'odd', 'caf\xe9', ''])
        self.assertEqual(unusable.count, 5)


def _entry(born: object) -> bytes:
    document = {
        names.SERVICE: 'pool',
        names.ADDRESS: 'runner:1',
        names.STATE: 'ready',
        names.CAPACITY: {names.GPU: 8},
        names.BORN: born,
    }
    return msgspec.json.encode(document)
