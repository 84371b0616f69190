"""Tests of the age of an instance's copy of the configuration."""

import unittest
from collections.abc import Awaitable, Callable

import anyio

from swifthoist_instance.admission import MAX_CONFIGURATION_AGE_SHARE
from tests.instance.entry import InstanceHarness, configure
from tests.instance.fakes import FakeStore, run

MAX_CONFIRMATION_S = 0.2
"""Time for a retry and its answer after an outage, in seconds."""


class LossyStore(FakeStore):
    """A store that leaves some reads unanswered.

    :ivar reads_to_lose: number of reads to come that get no answer.
    :ivar reads: reads so far.
    """

    def __init__(self) -> None:
        """Create a store that answers every read."""
        super().__init__()
        self.reads_to_lose = 0
        self.reads = 0

    async def _inject_read_fault(self, timeout_s: float) -> None:
        self.reads += 1
        if self.reads_to_lose:
            self.reads_to_lose -= 1
            self.silent = True
        try:
            await super()._inject_read_fault(timeout_s)
        finally:
            self.silent = False


class ConfirmationTest(unittest.TestCase):
    """The newest successful read confirms the configuration."""

    def test_it_is_confirmed_at_once_behind_an_outage(self) -> None:
        """It must not depend on a long poll that returns only on a change."""
        delays_s: list[float] = []

        async def main() -> None:
            store = FakeStore()
            configure(store)
            instance = InstanceHarness('a', store)
            async with anyio.create_task_group() as tasks:
                instance.start(tasks)
                await anyio.sleep(5)
                store.refuses = True
                await anyio.sleep(4)
                self.assertFalse(instance.intake.ready)
                store.refuses = False
                restored_s = anyio.current_time()
                while not instance.intake.ready:
                    await anyio.sleep(0.01)
                delays_s.append(anyio.current_time() - restored_s)
                tasks.cancel_scope.cancel()

        run(main)
        self.assertLess(delays_s[0], MAX_CONFIRMATION_S)

    def test_one_lost_read_does_not_end_the_trust_in_it(self) -> None:
        """This holds for any bound on the refusal of revoked keys."""
        for revoke_ms in (4_000, 5_000, 10_000):
            with self.subTest(revoke_ms=revoke_ms):
                self.assertLess(
                    self._max_age_ms(revoke_ms),
                    revoke_ms * MAX_CONFIGURATION_AGE_SHARE,
                )

    def test_more_time_to_revoke_keys_costs_fewer_reads(self) -> None:
        """An unchanged configuration is read a few times per bound."""
        self.assertLess(
            self._count_reads(5_000), 0.7 * self._count_reads(2_500)
        )

    def _max_age_ms(self, revoke_ms: int) -> int:
        """Return the greatest age around an unanswered read, in ms."""
        ages_ms: list[int] = []

        async def watch(store: LossyStore, instance: InstanceHarness) -> None:
            await anyio.sleep(5)
            store.reads_to_lose = 1
            for _ in range(2 * revoke_ms // 10):
                await anyio.sleep(0.01)
                ages_ms.append(instance.configuration.age_ms or 0)

        _watch_configuration(revoke_ms, watch)
        return max(ages_ms)

    def _count_reads(self, revoke_ms: int) -> int:
        """Count the reads within a minute."""
        counts: list[int] = []

        async def watch(store: LossyStore, _instance: InstanceHarness) -> None:
            await anyio.sleep(60)
            counts.append(store.reads)

        _watch_configuration(revoke_ms, watch)
        return counts[0]


def _watch_configuration(
    revoke_ms: int,
    watch: Callable[[LossyStore, InstanceHarness], Awaitable[None]],
) -> None:
    """Run ``watch`` while an instance reads the configuration."""

    async def main() -> None:
        store = LossyStore()
        configure(store)
        instance = InstanceHarness('a', store, revoke_ms=revoke_ms)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(instance.configuration.run)
            await watch(store, instance)
            tasks.cancel_scope.cancel()

    run(main)


if __name__ == '__main__':
    unittest.main()
