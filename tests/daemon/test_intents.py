"""Tests of the intents of non-idempotent requests."""

import unittest

import anyio

from swifthoist_core.requests import Phase
from swifthoistd.intents import Granted, Refused, Settled
from tests.daemon.fakes import FakeLog, Instance, Mode, intent, run


class IntentTest(unittest.TestCase):
    """Each key is sent at most once, and "not run" is true."""

    def test_a_retry_elsewhere_gets_the_first_answer(self) -> None:
        """The second instance waits for the first one's close."""

        async def main() -> None:
            log = FakeLog()
            first, second = Instance('e1', log), Instance('e2', log)
            async with anyio.create_task_group() as tasks:
                for entry in (first, second):
                    tasks.start_soon(lambda one=entry: one.run(decides=False))
                until_ms = first.clock.boot_ms() + 5_000
                granted = await first.intents.open(intent('k'), until_ms)
                self.assertIsInstance(granted, Granted)

                async def finish() -> None:
                    await anyio.sleep(1)
                    first.intents.close(intent('k'), Phase.DONE, 200, b'yes')

                tasks.start_soon(finish)
                settled = await second.intents.open(intent('k'), until_ms)
                self.assertEqual(settled, Settled(Phase.DONE, 200, b'yes'))
                other = await second.intents.open(intent('k', 'x'), until_ms)
                self.assertIsInstance(other, Refused)
                tasks.cancel_scope.cancel()

        run(main)

    def test_an_open_request_elsewhere_is_unknown_at_the_deadline(self) -> None:
        """Nobody claims to know what another instance is doing."""

        async def main() -> None:
            log = FakeLog()
            first, second = Instance('e1', log), Instance('e2', log)
            async with anyio.create_task_group() as tasks:
                for entry in (first, second):
                    tasks.start_soon(lambda one=entry: one.run(decides=False))
                until_ms = first.clock.boot_ms() + 2_000
                await first.intents.open(intent('k'), until_ms)
                settled = await second.intents.open(intent('k'), until_ms)
                self.assertEqual(settled, Settled(Phase.UNKNOWN))
                tasks.cancel_scope.cancel()

        run(main)

    def test_an_intent_of_unknown_fate_is_given_up_behind_it(self) -> None:
        """The caller hears "not run"; a retry is granted once it settled."""

        async def main() -> None:
            log = FakeLog()
            entry = Instance('e1', log)
            async with anyio.create_task_group() as tasks:
                log.nursery = tasks
                tasks.start_soon(lambda: entry.run(decides=False))
                log.mode = Mode.LATE
                until_ms = entry.clock.boot_ms() + 500
                refused = await entry.intents.open(intent('k'), until_ms)
                self.assertIsInstance(refused, Refused)
                log.mode = Mode.UP
                await anyio.sleep(5)
                known = entry.ledger.requests.get('a', 'k')
                self.assertIs(known.phase, Phase.NOT_RUN)
                until_ms = entry.clock.boot_ms() + 500
                granted = await entry.intents.open(intent('k'), until_ms)
                self.assertIsInstance(granted, Granted)
                tasks.cancel_scope.cancel()

        run(main)

    def test_a_caller_that_leaves_gives_its_intent_up(self) -> None:
        """A cancelled open leaves no key that stays open."""

        async def main() -> None:
            log = FakeLog(delay_s=0.2)
            entry = Instance('e1', log)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(lambda: entry.run(decides=False))
                with anyio.move_on_after(0.1):
                    until_ms = entry.clock.boot_ms() + 5_000
                    await entry.intents.open(intent('k'), until_ms)
                await anyio.sleep(5)
                known = entry.ledger.requests.get('a', 'k')
                self.assertIs(known.phase, Phase.NOT_RUN)
                tasks.cancel_scope.cancel()

        run(main)

    def test_a_dead_authors_request_ends_as_unknown(self) -> None:
        """The holder of the cell gives up on it; it is never granted again."""

        async def main() -> None:
            log = FakeLog()
            first, second = Instance('e1', log), Instance('e2', log)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(lambda: first.run(decides=False))
                tasks.start_soon(second.run)
                until_ms = first.clock.boot_ms() + 2_000
                await first.intents.open(intent('k'), until_ms)
                first.kill()
                await anyio.sleep(90)
                known = second.ledger.requests.get('a', 'k')
                self.assertIs(known.phase, Phase.UNKNOWN)
                until_ms = second.clock.boot_ms() + 2_000
                again = await second.intents.open(intent('k'), until_ms)
                self.assertEqual(again, Settled(Phase.UNKNOWN))
                tasks.cancel_scope.cancel()

        run(main)

    def test_a_close_survives_an_outage(self) -> None:
        """The outcome reaches the log when it is back."""

        async def main() -> None:
            log = FakeLog()
            entry = Instance('e1', log)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(lambda: entry.run(decides=False))
                until_ms = entry.clock.boot_ms() + 2_000
                await entry.intents.open(intent('k'), until_ms)
                log.mode = Mode.DOWN
                entry.intents.close(intent('k'), Phase.DONE, 200, b'yes')
                self.assertFalse(await entry.journal.flush(600))
                log.mode = Mode.UP
                self.assertTrue(await entry.journal.flush(10))
                known = entry.ledger.requests.get('a', 'k')
                self.assertEqual(known.answer, b'yes')
                tasks.cancel_scope.cancel()

        run(main)
