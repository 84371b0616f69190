"""The queue of requests that wait to be admitted, and whose turn it is."""

from collections import OrderedDict, deque
from collections.abc import Callable
from typing import TypeAlias

import anyio

from swifthoist_core.catalogue import Entry, Urgency
from swifthoist_core.types import ClassName, Millis, OwnerId

_NATURAL = tuple(Urgency)
_BATCH_FIRST = (Urgency.BATCH, Urgency.INTERACTIVE, Urgency.URGENT)
_INTERACTIVE_FIRST = (Urgency.INTERACTIVE, Urgency.URGENT, Urgency.BATCH)
_BATCH_TURN = 16
_INTERACTIVE_TURN = 4


class Waiter:
    """One request in the queue.

    :ivar entry: the entry that it belongs to.
    :ivar until_ms: its deadline on the boot clock.
    :ivar woken: set when its turn has come.
    :ivar admitted: whether it may start; else it is too late.
    """

    def __init__(self, entry: Entry, until_ms: Millis) -> None:
        """Start to wait.

        :param entry: the entry that it belongs to.
        :param until_ms: its deadline on the boot clock.
        """
        self.entry = entry
        self.until_ms = until_ms
        self.woken = anyio.Event()
        self.admitted = False


_Classes: TypeAlias = OrderedDict[ClassName, deque[Waiter]]
_Owners: TypeAlias = OrderedDict[OwnerId, _Classes]


class FairQueue:
    """The aggregate of all waiting requests.

    Owners of the same urgency take turns, whatever the length of their
    queues, and so do the classes of one owner.  Urgent requests go before
    interactive ones and these before batch, but each urgency goes first in
    a share of the turns, so that none starves.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._waiting: dict[Urgency, _Owners] = {
            urgency: OrderedDict() for urgency in Urgency
        }
        self._taken = 0
        self._size = 0

    def __len__(self) -> int:
        """Number of waiting requests."""
        return self._size

    def owners(self) -> int:
        """Number of owners with waiting requests, for each urgency."""
        return sum(map(len, self._waiting.values()))

    def add(self, waiter: Waiter) -> None:
        """Put a request at the end of its class's queue.

        :param waiter: the request.
        """
        entry = waiter.entry
        owners = self._waiting[entry.urgency]
        classes = owners.setdefault(entry.owner, OrderedDict())
        classes.setdefault(entry.class_name, deque()).append(waiter)
        self._size += 1

    def remove(self, waiter: Waiter) -> None:
        """Take a request out before its turn.

        :param waiter: a request that is in the queue.
        """
        entry = waiter.entry
        classes = self._waiting[entry.urgency][entry.owner]
        classes[entry.class_name].remove(waiter)
        self._took_from(entry)

    def take(self, may_start: Callable[[Entry], bool]) -> Waiter | None:
        """Take out the request whose turn it is.

        :param may_start: tells whether an entry's limits allow one more.
        :returns: the request, or ``None`` if none may start.
        """
        for urgency in self._order():
            waiter = self._first(self._waiting[urgency], may_start)
            if waiter is not None:
                self._taken += 1
                return waiter
        return None

    def _order(self) -> tuple[Urgency, ...]:
        if self._taken % _BATCH_TURN == _BATCH_TURN - 1:
            return _BATCH_FIRST
        if self._taken % _INTERACTIVE_TURN == _INTERACTIVE_TURN - 1:
            return _INTERACTIVE_FIRST
        return _NATURAL

    def _first(
        self, owners: _Owners, may_start: Callable[[Entry], bool]
    ) -> Waiter | None:
        heads = (
            queue[0]
            for classes in owners.values()
            for queue in classes.values()
        )
        ready = next((head for head in heads if may_start(head.entry)), None)
        if ready is None:
            return None
        self._rotate(owners, ready.entry)
        return ready

    def _rotate(self, owners: _Owners, entry: Entry) -> None:
        classes = owners[entry.owner]
        classes[entry.class_name].popleft()
        owners.move_to_end(entry.owner)
        classes.move_to_end(entry.class_name)
        self._took_from(entry)

    def _took_from(self, entry: Entry) -> None:
        self._size -= 1
        owners = self._waiting[entry.urgency]
        classes = owners[entry.owner]
        if not classes[entry.class_name]:
            classes.pop(entry.class_name)
        if not classes:
            owners.pop(entry.owner)
