"""Tests of the connections between instances, over real sockets."""

import functools
import unittest
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import SocketAttribute, SocketStream

from swifthoist_core.clock import ManualClock
from swifthoist_core.errors import OutcomeUnknownError, UnreachableError
from swifthoist_core.records import Author
from swifthoistd.committing import Gather
from swifthoistd.gen.peer.ttypes import Heartbeat
from swifthoistd.members import HEARD_MS, Heard, Member, Members
from swifthoistd.peer_calls import PeerGroups, PeerStates
from swifthoistd.peers import Link, Peers, beat_of
from swifthoistd.rpc import Channel, PeerError, serve_channel
from swifthoistd.snapshotting import take
from tests.core.builders import Book

ME = Author('e1', 1)
PEER = Author('e2', 7)


def heard(author: Author, *, leaving: bool = False) -> Heard:
    """Build what an instance says of itself."""
    return Heard(author, 'z', 5, leaving, {'r1': 2}, 0, {'r9': 4})


def play(scene: Callable[[], Awaitable[None]]) -> None:
    """Play a scene over real sockets, and end it if it hangs."""

    async def main() -> None:
        with anyio.fail_after(30):
            await scene()

    anyio.run(main)


class Silence:
    """A server whose first connections never answer."""

    def __init__(self, silent: int) -> None:
        """Choose how many connections stay silent."""
        self.connections = 0
        self._silent = silent

    async def serve(self, stream: SocketStream) -> None:
        """Serve one connection."""
        self.connections += 1
        async with stream:
            if self.connections <= self._silent:
                await stream.receive()
                await anyio.sleep_forever()
            await serve_channel(Channel(stream), {'beat': self._beat})

    async def _beat(self, sender: Heartbeat) -> Heartbeat:
        return beat_of(heard(PEER))


class LinkTest(unittest.TestCase):
    """A connection that has gone silent is noticed and replaced."""

    def test_a_silent_connection_is_replaced_by_a_new_one(self) -> None:
        """The call on the silent one fails; the next one gets its answer."""

        async def scene() -> None:
            server = Silence(silent=1)
            listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
            port = listener.extra(SocketAttribute.local_port)
            async with anyio.create_task_group() as group:
                group.start_soon(listener.serve, server.serve)
                members = Members(ME, ManualClock())
                member = Member('e2', f'127.0.0.1:{port}')
                link = Link(member, members, lambda: heard(ME))
                beat = beat_of(heard(ME))
                with self.assertRaises(PeerError):
                    await link.call('beat', beat, timeout_s=0.2)
                answer = await link.call('beat', beat, timeout_s=10)
                self.assertEqual(answer.instance, 'e2')
                self.assertEqual(server.connections, 2)
                group.cancel_scope.cancel()

        play(scene)

    def test_an_address_without_a_server_is_unreachable(self) -> None:
        """Nothing was sent, and the caller learns just that."""

        async def scene() -> None:
            members = Members(ME, ManualClock())
            link = Link(Member('e2', '127.0.0.1:1'), members, lambda: heard(ME))
            with self.assertRaises(UnreachableError):
                await link.call('beat', beat_of(heard(ME)), timeout_s=10)

        play(scene)


class MembersTest(unittest.TestCase):
    """The list is a hint; what counts is who was heard."""

    def setUp(self) -> None:
        """List one other instance."""
        self.clock = ManualClock()
        self.members = Members(ME, self.clock)
        self.members.note_listed([Member('e2', '127.0.0.1:1')])

    def test_one_that_is_only_listed_does_not_live(self) -> None:
        """It may be long gone; the list lags."""
        self.assertEqual(self.members.live_ids(), ('e1',))

    def test_one_that_falls_silent_no_longer_lives(self) -> None:
        """Although the list still names it."""
        self.members.note_heard(heard(PEER))
        self.assertEqual(self.members.live_ids(), ('e1', 'e2'))
        self.clock.advance(HEARD_MS)
        self.assertEqual(self.members.live_ids(), ('e1',))

    def test_leaving_wins_over_a_later_live_of_the_same_life(self) -> None:
        """A heartbeat that was late does not bring it back."""
        self.members.note_heard(heard(PEER, leaving=True))
        self.members.note_heard(heard(PEER))
        self.assertEqual(self.members.live_ids(), ('e1',))

    def test_a_new_life_replaces_an_old_one_and_never_the_reverse(
        self,
    ) -> None:
        """What an older incarnation says is passed over."""
        self.members.note_heard(heard(PEER, leaving=True))
        newer = PEER._replace(incarnation=8)
        self.members.note_heard(heard(newer))
        self.members.note_heard(heard(PEER, leaving=True))
        self.assertEqual(self.members.live_ids(), ('e1', 'e2'))
        self.assertIsNone(self.members.holder(PEER))

    def test_one_that_is_heard_outlives_its_place_on_the_list(self) -> None:
        """And it is dropped once it is neither listed nor heard."""
        self.members.note_heard(heard(PEER))
        self.members.note_listed([])
        self.assertEqual(len(self.members.all_members()), 1)
        self.clock.advance(HEARD_MS)
        self.members.note_listed([])
        self.assertEqual(self.members.all_members(), ())


class PeerCallsTest(unittest.TestCase):
    """Groups and states travel between two instances."""

    def connect(self, scene: Callable[[Peers, Peers], Awaitable[None]]) -> None:
        """Play a scene between the instances e1 and e2."""

        async def main() -> None:
            async with anyio.create_task_group() as group:
                pair: list[Peers] = []
                for own, other in ((ME, PEER), (PEER, ME)):
                    members = Members(own, ManualClock())
                    beat = functools.partial(heard, own)
                    peers = Peers(members, beat, '127.0.0.1:0')
                    pair.append(peers)
                    address = await peers.listen(group)
                    pair_members.append((members, other, address))
                first, second = pair_members
                first[0].note_listed([Member('e2', second[2])])
                second[0].note_listed([Member('e1', first[2])])
                for peers in pair:
                    group.start_soon(peers.run, group)
                while not pair[0].live_by_offset():
                    await anyio.sleep(0.01)
                await scene(pair[0], pair[1])
                group.cancel_scope.cancel()

        pair_members: list[tuple[Members, Author, str]] = []
        play(main)

    def test_only_the_holder_takes_groups(self) -> None:
        """Another instance answers who the holder is, and queues nothing."""

        async def scene(first: Peers, second: Peers) -> None:
            gather = Gather(None, ManualClock())  # type: ignore[arg-type]
            own = PeerGroups('e1', lambda: 'e2', gather, first)
            holder = ['e2']
            PeerGroups('e2', lambda: holder[0], gather, second)
            self.assertTrue(await own.offer('e2', [b'a', b'b'], 10))
            holder[0] = 'e3'
            with self.assertRaises(UnreachableError):
                await own.offer('e2', [b'c'], 10)

        self.connect(scene)

    def test_a_call_that_the_other_end_fails_has_an_unknown_outcome(
        self,
    ) -> None:
        """The group may have been queued before the failure."""

        async def scene(first: Peers, second: Peers) -> None:
            gather = Gather(None, ManualClock())  # type: ignore[arg-type]
            own = PeerGroups('e1', lambda: 'e2', gather, first)
            with self.assertRaises(OutcomeUnknownError):
                await own.offer('e2', [b'a'], 10)

        self.connect(scene)

    def test_a_state_comes_over_whole(self) -> None:
        """The chunks are those that the other instance would write."""

        async def scene(first: Peers, second: Peers) -> None:
            book = Book().staffed(workers=3)
            clock = ManualClock()
            wanted = PeerStates(Book().ledger, first, clock)
            PeerStates(book.ledger, second, clock)
            chunks = await wanted.fetch()
            self.assertEqual(tuple(chunks), await take(book.ledger))

        self.connect(scene)
