"""The aggregate of the leases at one worker."""

from collections import deque

from swifthoist_core.clock import Clock
from swifthoist_core.errors import InvalidInputError, WorkerRefusedError
from swifthoist_core.types import Epoch, Millis
from swifthoist_platform.orders import (
    CheckpointOrder,
    HoldOrder,
    Order,
    PartKey,
    PartState,
    RenewOrder,
    StartOrder,
    StopOrder,
    ThrottleOrder,
    UsageReport,
)
from swifthoist_standins.fences import FENCE_LIMIT, Fences
from swifthoist_standins.parts import FULL_SPEED, Part, Steps, parse_steps
from swifthoist_standins.places import (
    Capacity,
    check_lease,
    is_same,
    require,
)

REPORT_MS = 60_000
"""How long an ended part is reported unless it is forgotten, in ms."""

RUN_LIMIT = 10_000
"""How many of the parts that ran a worker remembers, for its record."""

PART_LIMIT = 4096
"""Parts that a worker reports, beyond which it takes no other."""

_STARTED = frozenset(('running', 'checkpointed', 'done', 'failed'))


class LeaseTable:
    """Parts at a worker, by rules that fence old holders of the cell.

    The clock is read before each act, and what ended in the meantime ends
    first. So a worker that was suspended revives nothing when it wakes up.

    :ivar fail_all: whether every part fails as soon as it is started.
    """

    def __init__(
        self, capacity: Capacity, clock: Clock, fence_limit: int = FENCE_LIMIT
    ) -> None:
        """Start without a part.

        :param capacity: what the worker has.
        :param clock: measures leases, suspension included.
        :param fence_limit: ended jobs to remember.
        """
        self.fail_all = False
        self._capacity = capacity
        self._clock = clock
        self._epoch: Epoch = 0
        self._fences = Fences(fence_limit)
        self._parts: dict[PartKey, Part] = {}
        self._ran: deque[Part] = deque(maxlen=RUN_LIMIT)

    @property
    def epoch(self) -> Epoch:
        """The newest epoch that was seen."""
        return self._epoch

    def hold(self, order: HoldOrder) -> None:
        """Hold the place of a part; idempotent.

        :param order: the order.
        :raises WorkerRefusedError: when the order is stale or malformed,
            the part has ended, or the place is taken.
        """
        now_ms = self._enter(order)
        key = _key(order)
        part = self._parts.get(key)
        if part is not None and part.is_live:
            require(is_same(part.order, order), 'other place')
            self._fences.note(order)
            return
        self._fences.check_new(order)
        steps = _read_steps(order.steps)
        check_lease(order.lease_ms)
        self._capacity.check_bounds(order)
        require(len(self._parts) < PART_LIMIT, 'busy')
        self._supersede(order, now_ms)
        self._capacity.check_free(order, self._held())
        self._fences.note(order)
        skew_ms = self._clock.wall_ms() - now_ms
        self._parts[key] = Part(order, steps, now_ms, skew_ms)

    def start(self, order: StartOrder) -> None:
        """Run a part that is held; idempotent, also once it has finished.

        :param order: the order.
        :raises WorkerRefusedError: when the order is stale, or the part is
            unknown, was stopped or has lapsed.
        """
        now_ms = self._enter(order)
        check_lease(order.lease_ms)
        known = self._parts.get(_key(order))
        if known is not None and known.state in _STARTED:
            return
        part = self._live(order)
        self._fences.note(order)
        part.start(now_ms, order.lease_ms)
        self._ran.append(part)
        if self.fail_all:
            part.end('failed', now_ms, 'worker fault')

    def checkpoint(self, order: CheckpointOrder) -> None:
        """Save the progress of a part that runs; idempotent.

        :param order: the order.
        :raises WorkerRefusedError: when the order is stale, or the part
            does not run or cannot save its progress.
        """
        self._enter(order)
        part = self._live(order)
        require(part.is_running, 'not running')
        require(bool(part.steps.checkpoint), 'no checkpoint')
        self._fences.note(order)
        part.checkpoint()

    def throttle(self, order: ThrottleOrder) -> None:
        """Run a part at another speed; idempotent.

        :param order: the order.
        :raises WorkerRefusedError: when the order is stale, or the part
            does not run.
        """
        now_ms = self._enter(order)
        part = self._live(order)
        require(part.is_running, 'not running')
        require(0 < order.percent <= FULL_SPEED, 'malformed percent')
        self._fences.note(order)
        part.throttle(now_ms, order.percent)

    def stop(self, order: StopOrder) -> None:
        """Stop a part for good, also one that was never held; idempotent.

        :param order: the order.
        :raises WorkerRefusedError: when the order is stale.
        """
        now_ms = self._enter(order)
        self._supersede(order, now_ms)
        part = self._parts.get(_key(order))
        if part is not None and part.is_live:
            part.end('stopped', now_ms, order.reason or 'stopped')
        self._fences.note(order)
        self._fences.end(_key(order))

    def renew(self, order: RenewOrder) -> tuple[PartState, ...]:
        """Renew the leases of parts that run, and report every part.

        :param order: the order.
        :returns: every part, after the renewal.
        :raises WorkerRefusedError: when the epoch is stale.
        """
        now_ms = self._settle()
        self._admit(order.epoch)
        check_lease(order.lease_ms)
        for key in order.leases:
            part = self._parts.get(key)
            if part is not None and part.is_running:
                part.renew(now_ms, order.lease_ms)
        for gone in order.forget:
            self._forget(gone)
        return self.states()

    def states(self) -> tuple[PartState, ...]:
        """Every part that is live, or ended and not yet forgotten."""
        self._settle()
        return tuple(part.snapshot() for part in self._parts.values())

    def runs(self) -> tuple[Part, ...]:
        """Every part that ran, in the order of their starts."""
        self._settle()
        return tuple(self._ran)

    def usage(
        self, since_ms: Millis, lag_ms: Millis
    ) -> tuple[UsageReport, ...]:
        """Report what ended parts have used.

        :param since_ms: only reports that came out then or later, by the
            wall clock.
        :param lag_ms: how long after its end a part is reported.
        :returns: the reports, in the order in which they came out.
        """
        self._settle()
        now_ms = self._clock.wall_ms()
        ended = [part for part in self._ran if not part.is_live]
        reports = [part.report(lag_ms) for part in ended]
        due = [
            report
            for report in reports
            if since_ms <= report.reported_ms <= now_ms
        ]
        return tuple(sorted(due, key=lambda report: report.reported_ms))

    def _enter(self, order: Order) -> Millis:
        now_ms = self._settle()
        self._admit(order.epoch)
        self._fences.check(order)
        return now_ms

    def _admit(self, epoch: Epoch) -> None:
        require(epoch >= self._epoch, 'stale epoch')
        self._epoch = epoch

    def _settle(self) -> Millis:
        now_ms = self._clock.boot_ms()
        for part in tuple(self._parts.values()):
            part.settle(now_ms)
            if part.is_live:
                continue
            self._fences.end(part.key)
            if now_ms - part.ended_ms >= REPORT_MS:
                self._parts.pop(part.key)
        live = (key.job_id for key in self._parts)
        self._fences.trim(frozenset(live))
        return now_ms

    def _live(self, order: Order) -> Part:
        self._fences.check_new(order)
        part = self._parts.get(_key(order))
        if part is None:
            raise WorkerRefusedError('unknown')
        require(part.is_live, 'ended')
        return part

    def _supersede(self, order: Order, now_ms: Millis) -> None:
        for part in self._parts.values():
            same_job = part.order.job_id == order.job_id
            if same_job and part.is_live and part.order.attempt < order.attempt:
                part.end('stopped', now_ms, 'superseded')

    def _held(self) -> tuple[HoldOrder, ...]:
        return tuple(
            part.order for part in self._parts.values() if part.is_live
        )

    def _forget(self, key: PartKey) -> None:
        part = self._parts.get(key)
        if part is not None and not part.is_live:
            self._parts.pop(key)


def _read_steps(text: str) -> Steps:
    try:
        return parse_steps(text)
    except InvalidInputError as exc:
        raise WorkerRefusedError('malformed steps') from exc


def _key(order: Order) -> PartKey:
    return PartKey(order.job_id, order.attempt, order.part)
