"""How old an instance's knowledge of the configuration may grow."""

import unittest
from collections.abc import Awaitable, Callable

import anyio

from swifthoist_instance.intake import MAX_CONFIGURATION_AGE_SHARE
from tests.instance.entry import Entry, configure
from tests.instance.fakes import FakeStore, run

PATIENCE_S = 0.2
"""Time for a try again and its answer behind an outage, in seconds."""


class LossyStore(FakeStore):
    """A store that does not answer some reads."""

    def __init__(self) -> None:
        """Lose nothing yet."""
        super().__init__()
        self.lost = 0
        self.reads = 0

    async def _fail_to_read(self, timeout_s: float) -> None:
        self.reads += 1
        if self.lost:
            self.lost -= 1
            self.silent = True
        try:
            await super()._fail_to_read(timeout_s)
        finally:
            self.silent = False


class ConfirmationTest(unittest.TestCase):
    """The newest read that succeeded confirms what is known."""

    def test_it_is_confirmed_at_once_behind_an_outage(self) -> None:
        """Not only after a read that waits for a change which does not come."""
        behind_s: list[float] = []

        async def main() -> None:
            store = FakeStore()
            configure(store)
            entry = Entry('a', store)
            async with anyio.create_task_group() as tasks:
                entry.start(tasks)
                await anyio.sleep(5)
                store.refuses = True
                await anyio.sleep(4)
                self.assertFalse(entry.intake.ready)
                store.refuses = False
                back = anyio.current_time()
                while not entry.intake.ready:
                    await anyio.sleep(0.01)
                behind_s.append(anyio.current_time() - back)
                tasks.cancel_scope.cancel()

        run(main)
        self.assertLess(behind_s[0], PATIENCE_S)

    def test_one_lost_read_does_not_end_the_trust_in_it(self) -> None:
        """Whatever the time within which a revoked key is to be refused."""
        for revoke_ms in (4_000, 5_000, 10_000):
            with self.subTest(revoke_ms=revoke_ms):
                self.assertLess(
                    self._oldest_ms(revoke_ms),
                    revoke_ms * MAX_CONFIGURATION_AGE_SHARE,
                )

    def test_more_time_to_revoke_keys_costs_fewer_reads(self) -> None:
        """A quiet configuration is read a few times within it."""
        self.assertLess(self._reads(5_000), 0.7 * self._reads(2_500))

    def _oldest_ms(self, revoke_ms: int) -> int:
        """Tell the greatest age around a read that gets no answer."""
        oldest: list[int] = []

        async def watch(store: LossyStore, entry: Entry) -> None:
            await anyio.sleep(5)
            store.lost = 1
            for _ in range(2 * revoke_ms // 10):
                await anyio.sleep(0.01)
                oldest.append(entry.configuration.age_ms or 0)

        _follow(revoke_ms, watch)
        return max(oldest)

    def _reads(self, revoke_ms: int) -> int:
        """Count the reads of a minute."""
        counted: list[int] = []

        async def watch(store: LossyStore, _entry: Entry) -> None:
            await anyio.sleep(60)
            counted.append(store.reads)

        _follow(revoke_ms, watch)
        return counted[0]


def _follow(
    revoke_ms: int, watch: Callable[[LossyStore, Entry], Awaitable[None]]
) -> None:
    """Have an instance read the configuration while a test watches."""

    async def main() -> None:
        store = LossyStore()
        configure(store)
        entry = Entry('a', store, revoke_ms=revoke_ms)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(entry.configuration.run)
            await watch(store, entry)
            tasks.cancel_scope.cancel()

    run(main)


if __name__ == '__main__':
    unittest.main()
