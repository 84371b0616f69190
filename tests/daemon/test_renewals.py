"""Tests of the renewal of leases, shared by all instances."""

import unittest

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st

from swifthoist_core.jobs import Status
from swifthoist_core.records import Author
from swifthoistd.members import Heard, Member, Members
from swifthoistd.parts import WorkerAnswer
from swifthoistd.renewals import Renewals, renewer_of
from tests.daemon.sites import LEASE_MS, Site, play

ME = Author('e1', 1)
PEER = Author('e2', 1)


class Renewing:
    """One instance that renews at a site, and what it passes on."""

    def __init__(self, site: Site) -> None:
        """Wire the renewals of the instance e1."""
        self.answers: list[WorkerAnswer] = []
        self.members = Members(ME, site.clock)
        self.renewals = Renewals(
            site.book.ledger,
            self.members,
            site.commands,
            site.clock,
            LEASE_MS,
            self.pass_on,
        )

    def hear_peer(self, offset: int) -> None:
        """Hear the instance e2, which has folded up to an offset."""
        self.members.note_listed([Member('e2', '127.0.0.1:1')])
        self.members.note_heard(Heard(PEER, 'z', offset, False, {}, 0, {}))

    async def pass_on(self, answers: tuple[WorkerAnswer, ...]) -> None:
        """Keep what the holder would be told."""
        self.answers.extend(answers)


class RenewerTest(unittest.TestCase):
    """Each worker is renewed by one live instance."""

    @settings(derandomize=True, deadline=None, database=None)
    @given(
        st.lists(st.text(min_size=1), min_size=2, max_size=8, unique=True),
        st.integers(0, 1_000),
    )
    def test_a_death_moves_only_the_workers_of_the_dead(
        self, instances: list[str], number: int
    ) -> None:
        """The others keep their shares, so that no lease waits for them."""
        worker = f'worker-{number}'
        before = renewer_of(worker, instances)
        left = [item for item in instances if item != instances[0]]
        after = renewer_of(worker, left)
        if before != instances[0]:
            self.assertEqual(after, before)
        self.assertIn(after, left)


class RenewalsTest(unittest.TestCase):
    """Renewals keep running parts alive and nothing else."""

    def test_a_running_gang_lives_on_while_its_leases_are_renewed(
        self,
    ) -> None:
        """Three leases later both parts still run."""

        async def scene() -> None:
            site = Site()
            renewing = Renewing(site)
            job = site.place('j', 'run_ms=60000')
            await site.commands.hold(1, job)
            await site.commands.start(1, job)
            with anyio.move_on_after(3 * LEASE_MS / 1_000):
                await renewing.renewals.run()
            states = {
                line['state']
                for name in ('w0', 'w1')
                for line in await site.runs(name)
            }
            self.assertEqual(states, {'running'})

        play(scene)

    def test_a_part_that_was_told_to_stop_is_not_renewed(self) -> None:
        """If the order to stop is lost, the lease ends it."""

        async def scene() -> None:
            site = Site()
            renewing = Renewing(site)
            job = site.place('j', 'run_ms=60000', lent=True)
            await site.commands.hold(1, job)
            await site.commands.start(1, job)
            site.cancel('j')
            self.assertEqual(site.job('j').status, Status.STOPPING)
            with anyio.move_on_after(2 * LEASE_MS / 1_000):
                await renewing.renewals.run()
            states = [line['state'] for line in await site.runs('w0')]
            self.assertEqual(states, ['lapsed'])

        play(scene)

    def test_an_instance_that_is_behind_the_others_renews_nothing(
        self,
    ) -> None:
        """They may know of an end that it has not read."""

        async def scene() -> None:
            site = Site()
            renewing = Renewing(site)
            site.place('j', 'run_ms=60000')
            await anyio.sleep(2 * LEASE_MS / 1_000)
            renewing.hear_peer(site.book.ledger.offset + 1)
            await renewing.renewals.renew_round()
            self.assertEqual(renewing.answers, [])
            renewing.hear_peer(site.book.ledger.offset)
            await renewing.renewals.renew_round()
            self.assertNotEqual(renewing.answers, [])

        play(scene)

    def test_each_answer_says_whether_the_worker_was_reached(self) -> None:
        """A silent worker is told to the holder as such."""

        async def scene() -> None:
            site = Site()
            renewing = Renewing(site)
            await site.fault('w1', silent=True)
            await renewing.renewals.renew_round()
            reached = {item.worker: item.reached for item in renewing.answers}
            self.assertEqual(reached, {'w0': True, 'w1': False})

        play(scene)
