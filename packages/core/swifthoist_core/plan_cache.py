"""What the planner remembers between two calls; no part of the state."""

from typing import NamedTuple

from swifthoist_core.catalogue import Urgency
from swifthoist_core.reservations import Drain
from swifthoist_core.shapes import Shape
from swifthoist_core.types import JobId, Millis, OwnerId, WorkerId

CACHE_MS = 1_000
"""Without a change nothing is planned anew for so long, in ms."""


class PlacementKey(NamedTuple):
    """Jobs that find a place or find none together.

    :ivar owner: the team.
    :ivar shape: what they need.
    :ivar idempotent: whether they may take lent places.
    :ivar banned: workers on which they failed.
    :ivar reserved: the job itself if a place is kept for it.
    :ivar aged: whether they have waited for long.
    :ivar urgency: order of service.
    """

    owner: OwnerId
    shape: Shape
    idempotent: bool
    banned: tuple[WorkerId, ...]
    reserved: JobId
    aged: bool
    urgency: Urgency


class CachedPlan(NamedTuple):
    """What found no place when the planner was last called.

    :ivar frees: count of the records that freed places until then.
    :ivar changes: count of the other changes, -1 if it did not come to rest.
    :ivar until_ms: log time until which waiting alone changes nothing.
    :ivar failed: jobs that found no place.
    """

    frees: int = -1
    changes: int = -1
    until_ms: Millis = 0
    failed: frozenset[PlacementKey] = frozenset()


class PlanCache:
    """What an instance remembers of its planning; no part of the state.

    :ivar changes: count of the records that may change what is planned.
    :ivar frees: count of those that may free a place.
    :ivar last: what the planner last found, while nothing has changed.
    :ivar drains: places that are drained, by the job that needs them.
    """

    def __init__(self) -> None:
        """Remember nothing."""
        self.changes = 0
        self.frees = 0
        self.last = CachedPlan()
        self.drains: dict[JobId, Drain] = {}
