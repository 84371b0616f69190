"""What a worker remembers of jobs, so that old orders stay refused."""

from collections import OrderedDict
from typing import NamedTuple

from swifthoist_core.errors import WorkerRefusedError
from swifthoist_core.types import JobId, Offset
from swifthoist_platform.orders import Order, PartKey

FENCE_LIMIT = 4096
"""Jobs that a worker remembers beyond those that it holds or runs."""


class _Fence(NamedTuple):
    attempt: int
    offset: Offset
    ended: frozenset[int]


class Fences:
    """The newest attempt and offset of each job, and its ended parts.

    The memory is bounded. When a job is forgotten, every hold that is not
    newer than its last order is refused from then on, whatever its job.
    """

    def __init__(self, limit: int = FENCE_LIMIT) -> None:
        """Start without a job.

        :param limit: how many jobs to remember.
        """
        self._limit = limit
        self._floor: Offset = -1
        self._fences: OrderedDict[JobId, _Fence] = OrderedDict()

    def check(self, order: Order) -> None:
        """Refuse an order that is older than what is known of its job.

        :param order: the order.
        :raises WorkerRefusedError: when it is older.
        """
        fence = self._fences.get(order.job_id)
        if fence is None:
            return
        if order.attempt < fence.attempt:
            raise WorkerRefusedError('stale attempt')
        if order.offset < fence.offset:
            raise WorkerRefusedError('stale offset')

    def check_new(self, order: Order) -> None:
        """Refuse to let a part in that has ended or may have.

        :param order: the order that would let it in.
        :raises WorkerRefusedError: when it must stay out.
        """
        fence = self._fences.get(order.job_id)
        if fence is None and order.offset <= self._floor:
            raise WorkerRefusedError('stale offset')
        if fence is None or fence.attempt != order.attempt:
            return
        if order.part in fence.ended:
            raise WorkerRefusedError('ended')

    def note(self, order: Order) -> None:
        """Remember an order that was checked.

        :param order: the order.
        """
        fence = self._fences.get(order.job_id)
        ended: frozenset[int] = frozenset()
        if fence is not None and fence.attempt == order.attempt:
            ended = fence.ended
        fresh = _Fence(order.attempt, order.offset, ended)
        self._fences[order.job_id] = fresh
        self._fences.move_to_end(order.job_id)

    def end(self, key: PartKey) -> None:
        """Remember that a part has ended.

        :param key: the part; its job was noted.
        """
        fence = self._fences.get(key.job_id)
        if fence is None or fence.attempt != key.attempt:
            return
        ended = fence.ended | {key.part}
        self._fences[key.job_id] = fence._replace(ended=ended)

    def trim(self, live: frozenset[JobId]) -> None:
        """Forget the oldest jobs beyond the limit.

        :param live: jobs that must not be forgotten.
        """
        excess = len(self._fences) - self._limit
        if excess <= 0:
            return
        idle = [job_id for job_id in self._fences if job_id not in live]
        for job_id in idle[:excess]:
            fence = self._fences.pop(job_id)
            self._floor = max(self._floor, fence.offset)
