"""The order in which waiting jobs are tried, by the weights of the policy."""

import math
from typing import TYPE_CHECKING, NamedTuple

from swifthoist_core.candidates import LARGE_ACCELERATORS, PATIENCE_MS
from swifthoist_core.catalogue import Policy
from swifthoist_core.job_states import Job
from swifthoist_core.types import JobId, Millis

if TYPE_CHECKING:
    from swifthoist_core.ledger import Ledger


SMALL_PATIENCE_MS = 300_000
"""After so long a job goes before younger ones of any size, in ms."""

_LEAST_WEIGHT = 0.1
_MOST_SHARE = 10


class Rank(NamedTuple):
    """Place of a job in the order; the least goes first.

    :ivar urgency: order of service, from the entry.
    :ivar young: ``False`` for a job that has waited for long.
    :ivar against: minus what speaks for the job.
    :ivar job_id: tie-breaker.
    """

    urgency: int
    young: bool
    against: float
    job_id: JobId


def large_patience_ms(policy: Policy) -> Millis:
    """Tell after what wait a large gang goes before all small work.

    :param policy: settings of placement.
    :returns: the time, longer the more completion time weighs, in ms.
    """
    least = min(policy.fragmentation_weight, policy.completion_weight)
    share = policy.completion_weight / max(least, _LEAST_WEIGHT)
    return int(PATIENCE_MS * min(max(share, 1), _MOST_SHARE))


def rank_of(ledger: 'Ledger', job: Job) -> Rank:
    """Rank a job that waits.

    Completion time is served by the highest response ratio: short work goes
    first, but every job gains on others while it waits. Fragmentation is
    served by large gangs first, for they need the most adjacent room.

    :param ledger: the state.
    :param job: the job.
    :returns: its place in the order.
    """
    spec = job.spec
    policy = ledger.catalogue.policy
    waited_ms = ledger.time_ms - job.submitted_ms
    size = max(1, spec.shape.total_accelerators)
    ratio = waited_ms / ledger.estimates.of(spec).expected_ms
    patience = waited_ms / PATIENCE_MS
    speaks_for = policy.completion_weight * ratio
    speaks_for += policy.fragmentation_weight * (patience + math.log2(size))
    large = size >= LARGE_ACCELERATORS
    patience_ms = large_patience_ms(policy) if large else SMALL_PATIENCE_MS
    if waited_ms >= patience_ms:
        return Rank(spec.urgency, False, -waited_ms, spec.job_id)
    return Rank(spec.urgency, True, -speaks_for, spec.job_id)
