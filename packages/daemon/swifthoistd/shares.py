"""This instance's share of what all entry instances have in common.

Every instance divides by the live set that it sees.  No one coordinates, so
a change is made safe by its order: whoever must give up does so at once, and
whoever may gain waits until the others had time to see the change and drain.
"""

from collections.abc import Iterable
from typing import NamedTuple

from xxhash import xxh32_intdigest

from swifthoist_core.clock import Clock
from swifthoist_core.types import InstanceId, Millis, RunnerId

DEFAULT_SETTLE_MS = 5_000
_MOMENT_MS = 250


class _View(NamedTuple):
    members: tuple[InstanceId, ...]
    until_ms: Millis


class Shares:
    """The aggregate of the live set of entry instances, now and lately.

    :ivar instance: id of this instance.
    """

    def __init__(
        self,
        instance: InstanceId,
        clock: Clock,
        settle_ms: Millis = DEFAULT_SETTLE_MS,
    ) -> None:
        """Start without any share, since peers don't know this one yet.

        :param instance: id of this instance.
        :param clock: tells when a change has settled.
        :param settle_ms: time in which every peer sees a change of the set
            and has drained what it must give up, in ms.
        """
        self.instance = instance
        self._clock = clock
        self._settle_ms = settle_ms
        self._members: tuple[InstanceId, ...] = ()
        self._past: list[_View] = []
        self._parts: dict[tuple[int, RunnerId], int] = {}

    def update(self, members: Iterable[InstanceId]) -> None:
        """Take in the live set; call it whenever the set is heard.

        :param members: ids of all live and leaving entry instances.
        """
        current = tuple(sorted({*members, self.instance}))
        if current == self._members:
            return
        until_ms = self._clock.boot_ms() + self._settle_ms
        self._past.append(_View(self._members, until_ms))
        self._members = current
        self._parts.clear()

    def members(self) -> int:
        """Number of entry instances in the live set."""
        return max(1, len(self._members))

    def settling_ms(self) -> Millis:
        """Time until this instance may use its part under the present set.

        :returns: the time in ms, at least a moment.
        """
        now_ms = self._clock.boot_ms()
        ends = [view.until_ms - now_ms for view in self._past]
        return max(_MOMENT_MS, *ends) if ends else _MOMENT_MS

    def part(self, total: int, item: RunnerId) -> int:
        """This instance's part of something every instance uses.

        Until a change has settled this is the least of the parts under the
        sets before and after it, so that the sum never exceeds the total.

        :param total: how many there are, such as slots of a runner.
        :param item: id of the runner; spreads the remainder evenly.
        :returns: how many of them this instance may use.
        """
        now_ms = self._clock.boot_ms()
        if self._past and self._past[0].until_ms <= now_ms:
            self._past = [past for past in self._past if past.until_ms > now_ms]
            self._parts.clear()
        found = self._parts.get((total, item))
        if found is None:
            found = self._least_part(total, item)
            self._parts[total, item] = found
        return found

    def _least_part(self, total: int, item: RunnerId) -> int:
        views = [view.members for view in self._past]
        views.append(self._members)
        return min(self._part_of(total, item, view) for view in views)

    def has_part(self) -> bool:
        """Tell whether every set that may still be seen has this instance.

        :returns: whether peers surely leave it its part.
        """
        now_ms = self._clock.boot_ms()
        past = [view for view in self._past if view.until_ms > now_ms]
        views = [*(view.members for view in past), self._members]
        return all(self.instance in view for view in views)

    def _part_of(
        self, total: int, item: RunnerId, members: tuple[InstanceId, ...]
    ) -> int:
        if self.instance not in members:
            return 0
        count = len(members)
        rank = members.index(self.instance)
        turn = (rank + xxh32_intdigest(item.encode())) % count
        return total // count + int(turn < total % count)
