"""Limits per owner and class, and early refusals."""

from collections.abc import Callable
from typing import NamedTuple

import anyio

from swifthoist_core.catalogue import Entry, Limits
from swifthoist_core.clock import Clock
from swifthoist_core.types import ClassName, Millis, OwnerId
from swifthoistd.fair_queue import FairQueue, Waiter
from swifthoistd.shares import Shares

_MS_PER_S = 1_000
_MIN_RETRY_MS = 10
_HOLD_WEIGHT = 0.05
_MARGIN = 1.25
_LEAST_RATE = 0.001


class Refusal(NamedTuple):
    """A request that is not admitted.

    :ivar reason: why, as a short stable word.
    :ivar retry_after_ms: when it makes sense to ask again, in ms.
    """

    reason: str
    retry_after_ms: Millis


class Permit(NamedTuple):
    """A request that is admitted; it must be given back once.

    :ivar owner: the team.
    :ivar class_name: class of work.
    :ivar since_ms: when it was admitted, on the boot clock.
    """

    owner: OwnerId
    class_name: ClassName
    since_ms: Millis


class _Usage:
    """What one owner uses of one class at this instance."""

    def __init__(self, now_ms: Millis, burst: float) -> None:
        self.tokens = burst
        self.filled_ms = now_ms
        self.in_progress = 0
        self.queued = 0
        self.hold_ms = float(0)

    def refill(self, now_ms: Millis, limits: Limits) -> None:
        earned = (now_ms - self.filled_ms) * limits.rate_per_s / _MS_PER_S
        self.tokens = min(limits.burst, self.tokens + earned)
        self.filled_ms = now_ms

    def learn(self, held_ms: Millis) -> None:
        if not self.hold_ms:
            self.hold_ms = float(held_ms)
        self.hold_ms += _HOLD_WEIGHT * (held_ms - self.hold_ms)


class Limiter:
    """The aggregate of all requests in progress and in the queue.

    A request that can't be served in time is refused when it comes, with
    the time after which a place is likely.
    """

    def __init__(
        self, clock: Clock, shares: Shares, capacity: Callable[[], int]
    ) -> None:
        """Start with nothing in progress.

        :param clock: the clock.
        :param shares: tells by how many instances limits are divided.
        :param capacity: tells how many requests can be in progress at this
            instance, over all owners.
        """
        self._clock = clock
        self._shares = shares
        self._capacity = capacity
        self._usage: dict[tuple[OwnerId, ClassName], _Usage] = {}
        self._queue = FairQueue()
        self._in_progress = 0

    @property
    def in_progress(self) -> int:
        """Requests admitted and not yet given back."""
        return self._in_progress

    @property
    def queued(self) -> int:
        """Requests that wait to be admitted."""
        return len(self._queue)

    async def admit(self, entry: Entry, until_ms: Millis) -> Permit | Refusal:
        """Wait for a turn, or refuse at once.

        :param entry: the entry that the request belongs to.
        :param until_ms: deadline of the request on the boot clock.
        :returns: a permit that must be given back, or a refusal.
        """
        usage = self._usage_of(entry)
        refusal = self._refuse_early(entry, usage, until_ms)
        if refusal is not None:
            return refusal
        waiter = Waiter(entry, until_ms)
        self._queue.add(waiter)
        usage.queued += 1
        self.wake()
        if waiter.admitted:
            return self._permit(entry)
        return await self._wait(usage, waiter)

    def release(self, permit: Permit) -> None:
        """Give a permit back.

        :param permit: the permit, given back once only.
        """
        usage = self._usage[permit.owner, permit.class_name]
        usage.learn(self._clock.boot_ms() - permit.since_ms)
        self._end(usage)

    def wake(self) -> None:
        """Admit as many waiting requests as there is capacity for."""
        capacity = self._capacity()
        while self._in_progress < capacity:
            waiter = self._queue.take(self._may_start)
            if waiter is None:
                return
            self._start(waiter)

    def _start(self, waiter: Waiter) -> None:
        usage = self._usage_of(waiter.entry)
        usage.queued -= 1
        if self._left_ms(usage, waiter) > 0 or not usage.in_progress:
            waiter.admitted = True
            usage.in_progress += 1
            self._in_progress += 1
        waiter.woken.set()

    def _left_ms(self, usage: _Usage, waiter: Waiter) -> Millis:
        latest_ms = waiter.until_ms - round(usage.hold_ms * _MARGIN)
        return latest_ms - self._clock.boot_ms()

    async def _wait(self, usage: _Usage, waiter: Waiter) -> Permit | Refusal:
        entry = waiter.entry
        waited = False
        try:
            waited = await self._wait_woken(usage, waiter)
        finally:
            if not waited:
                self._abandon(usage, waiter)
        if not waiter.admitted:
            wait_ms = self._expected_wait_ms(entry, usage)
            return Refusal('overload', wait_ms)
        return self._permit(entry)

    def _permit(self, entry: Entry) -> Permit:
        return Permit(entry.owner, entry.class_name, self._clock.boot_ms())

    async def _wait_woken(self, usage: _Usage, waiter: Waiter) -> bool:
        left_ms = self._left_ms(usage, waiter)
        with anyio.move_on_after(max(0, left_ms) / _MS_PER_S):
            await waiter.woken.wait()
        return waiter.woken.is_set()

    def _abandon(self, usage: _Usage, waiter: Waiter) -> None:
        if waiter.admitted:
            self._end(usage)
        elif not waiter.woken.is_set():
            self._queue.remove(waiter)
            usage.queued -= 1

    def _end(self, usage: _Usage) -> None:
        usage.in_progress -= 1
        self._in_progress -= 1
        self.wake()

    def _may_start(self, entry: Entry) -> bool:
        limit = self._limits_here(entry).concurrency
        return self._usage_of(entry).in_progress < limit

    def _refuse_early(
        self, entry: Entry, usage: _Usage, until_ms: Millis
    ) -> Refusal | None:
        if not self._capacity():
            return Refusal('no-capacity', self._shares.settling_ms())
        now_ms = self._clock.boot_ms()
        limits = self._limits_here(entry)
        usage.refill(now_ms, limits)
        wait_ms = self._expected_wait_ms(entry, usage)
        if usage.queued >= limits.queue:
            return Refusal('queue', wait_ms)
        end_ms = now_ms + wait_ms + usage.hold_ms * _MARGIN
        if usage.queued and end_ms >= until_ms:
            return Refusal('overload', wait_ms)
        if usage.tokens < 1:
            rate = max(limits.rate_per_s, _LEAST_RATE)
            missing_ms = round((1 - usage.tokens) * _MS_PER_S / rate)
            return Refusal('rate', max(_MIN_RETRY_MS, missing_ms))
        usage.tokens -= 1
        return None

    def _expected_wait_ms(self, entry: Entry, usage: _Usage) -> Millis:
        rivals = max(1, self._queue.owners())
        here = max(1, self._capacity()) / rivals
        own = min(here, self._limits_here(entry).concurrency)
        return max(_MIN_RETRY_MS, round(usage.queued * usage.hold_ms / own))

    def _limits_here(self, entry: Entry) -> Limits:
        members = self._shares.members()
        limits = entry.limits
        return limits._replace(
            rate_per_s=limits.rate_per_s / members,
            burst=max(1, limits.burst // members),
            concurrency=max(1, limits.concurrency // members),
            queue=max(1, limits.queue // members),
        )

    def _usage_of(self, entry: Entry) -> _Usage:
        key = (entry.owner, entry.class_name)
        usage = self._usage.get(key)
        if usage is None:
            burst = self._limits_here(entry).burst
            usage = _Usage(self._clock.boot_ms(), burst)
            self._usage[key] = usage
        return usage
