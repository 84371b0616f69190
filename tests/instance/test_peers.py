"""Tests of calls that are handed to other instances."""

import math
import unittest
from collections.abc import Callable

import anyio

from swifthoist_core.errors import OutcomeUnknownError, UnreachableError
from swifthoist_engine.cell import Cell
from swifthoist_engine.peers import MAX_PEERS, Peer, add_peer
from swifthoist_engine.records import Claimed, Joined
from swifthoist_instance.follower import Follower
from swifthoist_instance.journal import CELL_TOPIC, Journal
from swifthoist_instance.messages import (
    OK,
    UNAUTHORIZED,
    UNAVAILABLE,
    Call,
)
from swifthoist_instance.peers import Peers
from swifthoist_instance.relayed import Relayed
from swifthoist_platform.calls import Call as PeerCall
from swifthoist_platform.calls import Reply
from tests.instance.fakes import FakeStore, LoopClock, run

CALL = Call('POST', 'host', '/batch/x?y#1', 'key-red', 3, b'job')


class _Endpoint:
    """An instance that replies to every call in one way."""

    def __init__(self, status: int, calls: list[PeerCall]) -> None:
        """Reply with a status; 0 can't be reached, -1 never replies."""
        self.status = status
        self.calls = calls

    async def call(self, call: PeerCall) -> Reply:
        """Note the call and reply."""
        self.calls.append(call)
        if not self.status:
            raise UnreachableError('refused')
        if self.status < 0:
            raise OutcomeUnknownError('silent')
        return Reply(self.status, b'{}')

    async def close(self) -> None:
        """Do nothing; no connection is open."""


def _open_silent(_: str) -> _Endpoint:
    return _Endpoint(-1, [])


def _peers(
    statuses: dict[str, int], calls: list[PeerCall], holder: str = ''
) -> Peers:
    cell = Cell(1_000)
    for node in statuses:
        cell.fold(Joined(node, f'{node}:1', 1))
    if holder:
        cell.fold(Claimed(1, f'{holder}.life', 1))
    follower = Follower(FakeStore(), cell, LoopClock())
    return Peers(
        'me.life',
        Peer('me:1', 1),
        follower,
        LoopClock(),
        lambda address: _Endpoint(statuses[address.split(':')[0]], calls),
    )


class RelayTest(unittest.TestCase):
    """A call goes to instances in turn until one serves it."""

    def relay(
        self,
        statuses: dict[str, int],
        check: Callable[[Relayed, list[PeerCall]], None],
        call: Call = CALL,
        *,
        holder: str = '',
        to_holder: bool = False,
    ) -> None:
        """Pass a call on, and check what became of it."""

        async def main() -> None:
            calls: list[PeerCall] = []
            peers = _peers(statuses, calls, holder)
            relayed = await peers.relay(call, 'why', 2, to_holder=to_holder)
            check(relayed, calls)

        run(main)

    def test_refused_and_unreachable_instances_are_passed_over(self) -> None:
        """At most three are tried; the last of them is the holder."""

        def check(relayed: Relayed, calls: list[PeerCall]) -> None:
            assert relayed.answer is not None
            self.assertEqual(relayed.answer.status, OK)
            self.assertLessEqual(len(calls), 3)

        statuses = {'a': 0, 'b': UNAVAILABLE, 'c': UNAVAILABLE, 'd': OK}
        self.relay(statuses, check, holder='d')

    def test_a_call_that_nobody_served_may_have_been_carried_out(self) -> None:
        """If one instance did not reply, it is not known."""

        def check(relayed: Relayed, _: list[PeerCall]) -> None:
            self.assertEqual((relayed.refused, relayed.unknown), (1, True))
            self.assertFalse(relayed.alone)

        self.relay({'a': -1, 'b': UNAVAILABLE, 'c': 0}, check)

    def test_a_later_refusal_is_not_told_of_a_call_that_may_have_run(
        self,
    ) -> None:
        """The job runs from the instance whose answer was lost."""

        def check(relayed: Relayed, calls: list[PeerCall]) -> None:
            self.assertEqual((relayed.answer, relayed.unknown), (None, True))
            self.assertEqual(len(calls), 2)

        for status in (400, 401, 404, 405, 409, 413, 500, 502, UNAVAILABLE):
            with self.subTest(status=status):
                statuses = {'a': -1, 'b': status}
                self.relay(statuses, check, holder='b')

    def test_an_instance_that_fails_may_have_served_the_call(self) -> None:
        """It answers 500 for a call that it did not finish."""

        def check(relayed: Relayed, _: list[PeerCall]) -> None:
            self.assertEqual((relayed.answer, relayed.unknown), (None, True))

        for status in (500, 502):
            with self.subTest(status=status):
                self.relay({'a': status}, check)

    def test_a_question_that_got_no_answer_is_put_to_the_next_one(
        self,
    ) -> None:
        """It has no effect, so each answer to it is true."""

        def check(relayed: Relayed, _: list[PeerCall]) -> None:
            assert relayed.answer is not None
            self.assertEqual(relayed.answer.status, UNAUTHORIZED)

        statuses = {'a': -1, 'b': UNAUTHORIZED}
        question = CALL._replace(method='GET')
        self.relay(statuses, check, question, holder='b')

    def test_a_caller_without_a_key_is_passed_on_without_one(self) -> None:
        """An empty header value can't be sent, and looked like silence."""

        def check(_: Relayed, calls: list[PeerCall]) -> None:
            self.assertNotIn('Authorization', calls[0].headers)

        self.relay({'a': OK}, check, CALL._replace(key=''))

    def test_the_path_of_a_call_can_not_change_the_call(self) -> None:
        """It is a parameter of the call to the other instance."""

        def check(_: Relayed, calls: list[PeerCall]) -> None:
            self.assertTrue(calls[0].path.endswith('%2Fbatch%2Fx%3Fy%231'))

        self.relay({'a': OK}, check)

    def test_only_the_holder_is_asked_where_it_is_wanted(self) -> None:
        """Without a holder nobody is."""

        def check(relayed: Relayed, calls: list[PeerCall]) -> None:
            self.assertEqual((relayed.answer, len(calls)), (None, 0))

        self.relay({'a': OK}, check, to_holder=True)

    def test_only_an_instance_that_reaches_no_other_is_alone(self) -> None:
        """One that knows no other, or must not pass the call on, is not."""
        statuses = {'a': 0, 'b': -1}
        cases = ((statuses, CALL, True), ({}, CALL, False))
        other_key = CALL._replace(key='\xe9')
        for found, call, alone in (*cases, (statuses, other_key, False)):

            def check(
                relayed: Relayed, _: list[PeerCall], alone: bool = alone
            ) -> None:
                self.assertEqual(relayed.alone, alone)

            self.relay(found, check, call)

    def test_an_instance_forgotten_meanwhile_is_unreachable(self) -> None:
        """Its address was taken off the list by newer ones."""

        async def main() -> None:
            peers = _peers({'a': OK}, [])
            peers._state.peers.clear()
            tried = await peers._try('a', CALL, 1)
            self.assertEqual(tried, Relayed(unreached=1))

        run(main)


class HandOverTest(unittest.TestCase):
    """The cell goes to an instance that can bear it."""

    def test_an_instance_that_told_no_address_is_not_asked(self) -> None:
        """Neither as the holder nor as another one."""
        odd = (
            Joined('b', '127.0.0.1:99999', 1),
            Joined('c', 'a\x01:80', 1),
            Joined('d', 'd:1', math.nan),
            Joined('e', 'e:1', math.inf),
        )
        cell = Cell(1_000)
        for joined in (*odd, Joined('f', 'f:1', 1)):
            cell.fold(joined)
        cell.fold(Claimed(1, 'b.life', 1))
        found: list[object] = []

        async def main() -> None:
            follower = Follower(FakeStore(), cell, LoopClock())
            own = Peer('a:1', 1)
            peers = Peers('a.life', own, follower, LoopClock(), _open_silent)
            for _ in range(2):
                found.extend((list(peers.others), peers.holder))

        with self.assertLogs(level='ERROR') as logs:
            run(main)
        self.assertEqual(found, 2 * [['f'], ''])
        self.assertEqual(len(logs.records), len(odd))

    def test_a_weak_instance_is_not_asked_to_hold_the_cell(self) -> None:
        """Its decisions and renewals would come late; others claim instead."""

        async def main() -> None:
            calls: list[PeerCall] = []
            peers = _peers({'weak': OK, 'ample': UNAVAILABLE}, calls)
            known = peers._state.peers
            known['ample'] = known['ample']._replace(cores=2)
            known['weak'] = known['weak']._replace(cores=0.5)
            self.assertEqual(await peers.hand_over(1), '')
            self.assertEqual(len(calls), 1)

        run(main)


class JoinTest(unittest.TestCase):
    """Each instance tells its address once."""

    def test_many_that_start_together_tell_it_once_each(self) -> None:
        """Also those that newer ones have pushed off the list by then."""
        count = 2 * MAX_PEERS

        async def main() -> None:
            store = FakeStore()
            async with anyio.create_task_group() as tasks:
                for number in range(count):
                    follower = Follower(store, Cell(1_000), LoopClock())
                    journal = Journal(store, f'n{number}.life', LoopClock())
                    peers = Peers(
                        f'n{number}.life',
                        Peer(f'n{number}:1', 1),
                        follower,
                        LoopClock(),
                        _open_silent,
                    )
                    tasks.start_soon(follower.run)
                    tasks.start_soon(journal.run)
                    tasks.start_soon(peers.join, journal)
                await anyio.sleep(5)
                self.assertEqual(store.topic(CELL_TOPIC).end, count)
                tasks.cancel_scope.cancel()

        run(main)


class KnownPeersTest(unittest.TestCase):
    """A bounded number of instances is known."""

    def test_the_ample_are_kept(self) -> None:
        """A cell was handed to a weak instance, as no ample one was known."""
        peers: dict[str, Peer] = {}
        add_peer(peers, 'ample', Peer('a:1', 2))
        for number in range(2 * MAX_PEERS):
            add_peer(peers, f'n{number}', Peer('a:1', 0.5))
        self.assertIn('ample', peers)
        self.assertIn(f'n{2 * MAX_PEERS - 1}', peers)

    def test_the_newest_are_kept(self) -> None:
        """One that tells its address again counts as new."""
        peers: dict[str, Peer] = {}
        for number in range(MAX_PEERS):
            add_peer(peers, f'n{number}', Peer('a:1', 1))
        add_peer(peers, 'n0', Peer('b:1', 1))
        add_peer(peers, 'late', Peer('a:1', 1))
        self.assertEqual(len(peers), MAX_PEERS)
        self.assertNotIn('n1', peers)
        self.assertEqual(peers['n0'].address, 'b:1')
