"""Tests of committing through the holder of the cell."""

import unittest
from collections.abc import Callable

import anyio

from swifthoistd.committing import DirectCommitter, Gather, PeerCommitter
from tests.daemon.fakes import FakeLog, Instance, Mode, Peers, intent, run


class Team:
    """Instances that commit through ``e0``."""

    def __init__(self, log: FakeLog, count: int) -> None:
        """Wire them."""
        self.peers = Peers()
        self.holder = 'e0'
        self.gather = Gather(log, Instance('x', log).clock)
        self.peers.gathers['e0'] = self.gather
        self.entries = [
            self._instance(f'e{index}', log) for index in range(count)
        ]

    def _instance(self, name: str, log: FakeLog) -> Instance:
        committer = PeerCommitter(
            name,
            lambda: self.holder,
            self.gather,
            self.peers,
            DirectCommitter(log),
            Instance('x', log).clock,
        )
        return Instance(name, log, committer=committer)

    async def burst(self, log: FakeLog, count: int) -> set[str]:
        """Commit on all instances at once and return the reasons."""
        reasons: set[str] = set()

        async def commit(entry: Instance, key: str) -> None:
            verdict = await entry.journal.commit(intent(key), 10)
            reasons.add(verdict.reason)

        async with anyio.create_task_group() as tasks:
            for entry in self.entries:
                for index in range(count):
                    key = f'{entry.author.instance}/{index}/{log.appends}'
                    tasks.start_soon(commit, entry, key)
                    await anyio.sleep(0.001)
        return reasons


def _with_team(check: Callable[[Team, FakeLog], object]) -> None:
    async def main() -> None:
        log = FakeLog()
        team = Team(log, 4)
        async with anyio.create_task_group() as tasks:
            log.nursery = tasks
            tasks.start_soon(team.gather.run)
            for entry in team.entries:
                tasks.start_soon(lambda one=entry: one.run(decides=False))
            await anyio.sleep(0.1)
            await check(team, log)  # type: ignore[misc]
            tasks.cancel_scope.cancel()

    run(main)


class GatherTest(unittest.TestCase):
    """One append carries the records of many instances."""

    def test_instances_share_appends(self) -> None:
        """Four hundred commits over 0.4 s need fewer than ninety appends."""

        async def check(team: Team, log: FakeLog) -> None:
            self.assertEqual(await team.burst(log, 100), {''})
            self.assertLess(log.appends, 90)
            self.assertEqual(log.appends, team.gather.appends)

        _with_team(check)

    def test_every_record_lands_once_when_the_holder_is_gone(self) -> None:
        """The instances append for themselves."""

        async def check(team: Team, log: FakeLog) -> None:
            team.peers.gathers.clear()
            self.assertEqual(await team.burst(log, 20), {''})

        _with_team(check)

    def test_every_record_lands_once_when_the_holder_is_silent(self) -> None:
        """A call without an answer costs a tenth of a second, then no more."""

        async def check(team: Team, log: FakeLog) -> None:
            team.peers.silent = True
            started = anyio.current_time()
            self.assertEqual(await team.burst(log, 20), {''})
            self.assertLess(anyio.current_time() - started, 0.6)

        _with_team(check)

    def test_every_record_lands_once_when_the_holder_drops_it(self) -> None:
        """Groups that were queued and lost are appended by their authors."""

        async def check(team: Team, log: FakeLog) -> None:
            log.mode = Mode.CALL_LOST
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._expect_all, team, log)
                await anyio.sleep(0.05)
                log.mode = Mode.UP
            self.assertGreater(team.gather.dropped, 0)

        _with_team(check)

    def test_a_group_that_overtook_an_earlier_one_is_sent_again(self) -> None:
        """The way changes while a group still waits at the old holder."""

        async def check(team: Team, log: FakeLog) -> None:
            entry = team.entries[1]
            log.delay_s = 0.1
            async with anyio.create_task_group() as tasks:
                for key in ('a', 'b', 'c', 'd'):
                    tasks.start_soon(entry.journal.commit, intent(key), 10)
                    await anyio.sleep(0.02)
                    team.holder = '' if key == 'b' else 'e0'
            self.assertEqual(entry.ledger.authors.upto(entry.author), 4)

        _with_team(check)

    async def _expect_all(self, team: Team, log: FakeLog) -> None:
        self.assertEqual(await team.burst(log, 10), {''})
