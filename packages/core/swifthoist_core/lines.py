"""Lines: totals of one owner and class in one month."""

from typing import NamedTuple

from swifthoist_core.histograms import Counts
from swifthoist_core.types import ClassName, OwnerId


class Line(NamedTuple):
    """Totals of one owner and class in one month.

    :ivar month: the month, as ``2026-12``.
    :ivar owner: the team.
    :ivar class_name: class of work.
    :ivar guaranteed_ms: accelerator-ms within the guarantee.
    :ivar borrowed_ms: accelerator-ms beyond it.
    :ivar reclaimed_ms: of those borrowed, the ones of attempts that were
        ended by a reclaim.
    :ivar estimated_ms: accelerator-ms that no worker has reported yet.
    :ivar corrected_ms: sum of what late reports added or took away.
    :ivar reclaims: times that a borrowed place was reclaimed.
    :ivar jobs: jobs that ended, by their last state.
    :ivar good: requests complete and within the objective.
    :ivar late: requests complete, but later.
    :ivar failed: requests answered with an error or unknown.
    :ivar refused: refusals by reason.
    :ivar waits: waiting times, counted by bucket.
    """

    month: str
    owner: OwnerId
    class_name: ClassName
    guaranteed_ms: int
    borrowed_ms: int
    reclaimed_ms: int
    estimated_ms: int
    corrected_ms: int
    reclaims: int
    jobs: dict[str, int]
    good: int
    late: int
    failed: int
    refused: dict[str, int]
    waits: Counts


class LineKey(NamedTuple):
    """What names a line of the account.

    :ivar month: the month, as ``2026-12``.
    :ivar owner: the team.
    :ivar class_name: class of work.
    """

    month: str
    owner: OwnerId
    class_name: ClassName


def empty_line(key: LineKey) -> Line:
    """Make a line with nothing on it.

    :param key: month, owner and class.
    :returns: the line.
    """
    return Line(
        *key,
        guaranteed_ms=0,
        borrowed_ms=0,
        reclaimed_ms=0,
        estimated_ms=0,
        corrected_ms=0,
        reclaims=0,
        jobs={},
        good=0,
        late=0,
        failed=0,
        refused={},
        waits={},
    )
