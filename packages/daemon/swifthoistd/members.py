"""Entry instances: who lives, as far as this instance can know.

The platform's list lags, so it is a hint of where to look. What counts is a
heartbeat heard lately; leaving goes before live, and a newer incarnation
replaces an older one.
"""

from collections.abc import Iterable
from typing import NamedTuple

from swifthoist_core.clock import Clock
from swifthoist_core.records import Author
from swifthoist_core.types import Epoch, InstanceId, Millis, Offset, ZoneId

HEARD_MS = 2_500
"""How long after its last heartbeat an instance counts as live, in ms."""


class Heard(NamedTuple):
    """What an instance said of itself.

    :ivar author: the instance and its life.
    :ivar zone: its availability zone.
    :ivar offset: offset of the next record that it will fold.
    :ivar leaving: whether it takes no new work.
    :ivar in_flight: requests in progress at each runner.
    :ivar holds_epoch: epoch of the cell that it holds, 0 for none.
    :ivar departed: runners that leave, with the incarnation that ends.
    """

    author: Author
    zone: ZoneId
    offset: Offset
    leaving: bool
    in_flight: dict[str, int]
    holds_epoch: Epoch
    departed: dict[str, Millis]


class Member(NamedTuple):
    """Another entry instance.

    :ivar instance: its id.
    :ivar peer: its address for instances.
    :ivar heard: what it said last, ``None`` before the first heartbeat.
    :ivar heard_ms: boot time at which it said so.
    """

    instance: InstanceId
    peer: str
    heard: Heard | None = None
    heard_ms: Millis = 0


class Members:
    """The aggregate of the other entry instances.

    :ivar me: this instance.
    """

    def __init__(self, me: Author, clock: Clock) -> None:
        """Start alone.

        :param me: this instance.
        :param clock: clocks of the machine.
        """
        self.me = me
        self._clock = clock
        self._members: dict[InstanceId, Member] = {}

    def note_listed(self, listed: Iterable[Member]) -> None:
        """Take the platform's list in.

        One that is no longer listed stays for as long as it is heard.

        :param listed: the entry instances on the list.
        """
        named = {member.instance: member for member in listed}
        named.pop(self.me.instance, None)
        for instance, member in named.items():
            known = self._members.get(instance)
            if known is None or known.peer != member.peer:
                self._members[instance] = member
        for instance in tuple(self._members):
            if instance not in named and not self._is_heard(instance):
                self._members.pop(instance)

    def note_heard(self, heard: Heard) -> None:
        """Take a heartbeat in.

        :param heard: what an instance said of itself.
        """
        known = self._members.get(heard.author.instance)
        if known is None:
            return
        before = known.heard
        if before and before.author.incarnation > heard.author.incarnation:
            return
        same_life = before is not None and before.author == heard.author
        if same_life and before is not None and before.leaving:
            heard = heard._replace(leaving=True)
        self._members[known.instance] = known._replace(
            heard=heard, heard_ms=self._clock.boot_ms()
        )

    def all_members(self) -> tuple[Member, ...]:
        """Every other instance that is listed or heard, by id."""
        return tuple(member for _, member in sorted(self._members.items()))

    def live(self) -> tuple[Member, ...]:
        """The other instances that were heard lately and do not leave."""
        return tuple(
            member
            for member in self.all_members()
            if self._is_heard(member.instance)
            and member.heard is not None
            and not member.heard.leaving
        )

    def live_ids(self) -> tuple[InstanceId, ...]:
        """Ids of the live instances with this one, in order."""
        others = (member.instance for member in self.live())
        return tuple(sorted((self.me.instance, *others)))

    def holder(self, author: Author) -> Member | None:
        """Find the instance that holds the cell.

        :param author: the holder by the ledger.
        :returns: the instance, ``None`` if it is this one or not heard.
        """
        known = self._members.get(author.instance)
        if known is None or known.heard is None:
            return None
        return known if known.heard.author == author else None

    def newest_offset(self) -> Offset:
        """The greatest offset that a live instance has folded up to."""
        offsets = (
            member.heard.offset
            for member in self.live()
            if member.heard is not None
        )
        return max(offsets, default=0)

    def _is_heard(self, instance: InstanceId) -> bool:
        member = self._members[instance]
        if member.heard is None:
            return False
        return self._clock.boot_ms() - member.heard_ms < HEARD_MS
