"""Holdings: who holds how many accelerators, and whose guarantee lends.

Accelerators that are borrowed come first from what no guarantee covers. What
is borrowed beyond that is lent by the owners whose guarantees are idle, each
in proportion to its idle accelerators.
"""

from collections.abc import Mapping
from typing import NamedTuple

from swifthoist_core.months import month_of, oldest_kept, pieces
from swifthoist_core.types import JobId, Millis, OwnerId


class Holding(NamedTuple):
    """What one attempt of a job holds.

    :ivar job_id: the job.
    :ivar owner: the team.
    :ivar accelerators: how many.
    :ivar lent: whether they are beyond the owner's guarantee.
    :ivar since_ms: log time of the placement.
    """

    job_id: JobId
    owner: OwnerId
    accelerators: int
    lent: bool
    since_ms: Millis


class Promise(NamedTuple):
    """What one owner is guaranteed.

    :ivar owner: the team.
    :ivar accelerators: how many.
    """

    owner: OwnerId
    accelerators: int


class Lending(NamedTuple):
    """What one owner has lent out of its guarantee in one month.

    :ivar month: the month, as ``2026-12``.
    :ivar owner: the team.
    :ivar lent_ms: accelerator-ms.
    """

    month: str
    owner: OwnerId
    lent_ms: int


class LendingKey(NamedTuple):
    """What names a lending.

    :ivar month: the month, as ``2026-12``.
    :ivar owner: the team.
    """

    month: str
    owner: OwnerId


class Holdings:
    """The aggregate of what is held, borrowed and lent now.

    :ivar fleet: accelerators of all workers together.
    """

    DERIVED = frozenset(('_within', '_borrowed'))

    def __init__(self) -> None:
        """Start with an empty fleet."""
        self.fleet = 0
        self._since_ms: Millis = 0
        self._held: dict[JobId, Holding] = {}
        self._promised: dict[OwnerId, int] = {}
        self._lent: dict[LendingKey, int] = {}
        self._within: dict[OwnerId, int] = {}
        self._borrowed = 0

    def rebuild(self) -> None:
        """Compute the sums anew from what is held."""
        self._within = {}
        self._borrowed = 0
        for holding in self._held.values():
            self._add(holding, holding.accelerators)

    def get(self, job_id: JobId) -> Holding | None:
        """Find what a job holds.

        :param job_id: the job.
        :returns: its holding, or ``None``.
        """
        return self._held.get(job_id)

    def promised(self) -> int:
        """Accelerators of all guarantees together."""
        return sum(self._promised.values())

    def left(self, owner: OwnerId) -> int:
        """Accelerators of an owner's guarantee that it does not hold.

        :param owner: the team.
        :returns: how many, 0 or more.
        """
        promised = self._promised.get(owner, 0)
        return max(0, promised - self._within.get(owner, 0))

    def owners(self) -> tuple[OwnerId, ...]:
        """Owners with a guarantee, in order."""
        return tuple(sorted(self._promised))

    def promise(self, promises: Mapping[OwnerId, int]) -> None:
        """Put other guarantees in force; settle the time before first.

        :param promises: accelerators by owner.
        """
        self._promised = {
            owner: count for owner, count in promises.items() if count
        }

    def hold(self, holding: Holding) -> None:
        """Note a placement; settle the time before first.

        :param holding: what the attempt holds.
        """
        self._held[holding.job_id] = holding
        self._add(holding, holding.accelerators)

    def release(self, job_id: JobId) -> None:
        """Note that a place was given back; settle the time before first.

        :param job_id: the job.
        """
        holding = self._held.pop(job_id, None)
        if holding is not None:
            self._add(holding, -holding.accelerators)

    def settle(self, time_ms: Millis) -> None:
        """Settle what was lent until now.

        :param time_ms: log time now.
        """
        lent = self._settled(time_ms)
        oldest = oldest_kept((*(key.month for key in lent), month_of(time_ms)))
        self._lent = {key: lent[key] for key in lent if key.month >= oldest}
        self._since_ms = max(self._since_ms, time_ms)

    def lendings(self, time_ms: Millis) -> tuple[Lending, ...]:
        """What each owner has lent, by month, until now.

        :param time_ms: log time now.
        :returns: the lendings, by month and owner.
        """
        lent = self._settled(time_ms)
        return tuple(Lending(*key, lent[key]) for key in sorted(lent))

    def shares(self) -> tuple[Promise, ...]:
        """How many borrowed accelerators each owner lends now.

        The shares are exact in sum: what division leaves over goes to the
        first owners by name, one accelerator each.

        :returns: the lenders with their shares.
        """
        uncovered = max(0, self.fleet - self.promised())
        idle = {owner: self.left(owner) for owner in self.owners()}
        total = sum(idle.values())
        lent = min(max(0, self._borrowed - uncovered), total)
        if not lent:
            return ()
        shares = {owner: lent * own // total for owner, own in idle.items()}
        rest = lent - sum(shares.values())
        lenders = [owner for owner, own in idle.items() if own]
        for owner in lenders[:rest]:
            shares[owner] += 1
        return tuple(Promise(*pair) for pair in shares.items() if pair[1])

    def _settled(self, time_ms: Millis) -> dict[LendingKey, int]:
        lent = dict(self._lent)
        shares = self.shares() if time_ms > self._since_ms else ()
        if not shares:
            return lent
        for piece in pieces(self._since_ms, time_ms):
            for share in shares:
                key = LendingKey(piece.month, share.owner)
                used = share.accelerators * piece.length_ms
                lent[key] = lent.get(key, 0) + used
        return lent

    def _add(self, holding: Holding, change: int) -> None:
        if holding.lent:
            self._borrowed += change
            return
        within = self._within.pop(holding.owner, 0) + change
        if within:
            self._within[holding.owner] = within
