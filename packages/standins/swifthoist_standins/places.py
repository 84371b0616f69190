"""Places at a worker: what an order may ask for and what is free."""

from collections.abc import Sequence
from typing import NamedTuple

from swifthoist_core.errors import WorkerRefusedError
from swifthoist_core.types import Millis
from swifthoist_platform.orders import HoldOrder

LONGEST_LEASE_MS = 60_000
"""Longest lease that a worker grants, in ms."""


def require(holds: bool, reason: str) -> None:
    """Refuse an order unless a condition holds.

    :param holds: the condition.
    :param reason: why the order is refused otherwise.
    :raises WorkerRefusedError: with the reason.
    """
    if not holds:
        raise WorkerRefusedError(reason)


def check_lease(lease_ms: Millis) -> None:
    """Refuse a lease that a worker does not grant.

    :param lease_ms: length of the lease, in ms.
    :raises WorkerRefusedError: when it is none or too long.
    """
    require(0 < lease_ms <= LONGEST_LEASE_MS, 'malformed lease')


class Capacity(NamedTuple):
    """What a worker has.

    :ivar accelerators: number of accelerators.
    :ivar cores: processor cores.
    :ivar memory_mib: memory, in MiB.
    """

    accelerators: int
    cores: int
    memory_mib: int

    def check_bounds(self, order: HoldOrder) -> None:
        """Refuse a place that the worker does not have.

        :param order: the order.
        :raises WorkerRefusedError: when there is no such place.
        """
        least = min(order.first, order.accelerators, order.cores)
        require(min(least, order.memory_mib) >= 0, 'malformed place')
        last = order.first + order.accelerators
        require(last <= self.accelerators, 'no such accelerators')

    def check_free(self, order: HoldOrder, held: Sequence[HoldOrder]) -> None:
        """Refuse a place that is taken.

        :param order: the order.
        :param held: orders whose places are taken.
        :raises WorkerRefusedError: when they leave too little.
        """
        require(not any(_overlaps(order, other) for other in held), 'busy')
        cores = order.cores + sum(other.cores for other in held)
        require(cores <= self.cores, 'busy')
        memory = order.memory_mib + sum(other.memory_mib for other in held)
        require(memory <= self.memory_mib, 'busy')


def is_same(one: HoldOrder, other: HoldOrder) -> bool:
    """Whether two orders hold the same place for the same work.

    :param one: an order.
    :param other: another one.
    :returns: whether they differ in epoch, offset and lease at most.
    """
    fenced = other._replace(epoch=one.epoch, offset=one.offset)
    return one == fenced._replace(lease_ms=one.lease_ms)


def _overlaps(one: HoldOrder, other: HoldOrder) -> bool:
    if not one.accelerators or not other.accelerators:
        return False
    one_end = one.first + one.accelerators
    other_end = other.first + other.accelerators
    return one.first < other_end and other.first < one_end
