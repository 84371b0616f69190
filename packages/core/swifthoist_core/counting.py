"""Counting: what an instance counts of requests until the log has it."""

from typing import NamedTuple, TypeAlias

from swifthoist_core.histograms import Counts, add_wait, merge
from swifthoist_core.records import RequestsCounted, Tally
from swifthoist_core.types import ClassName, Millis, OwnerId


class Answered(NamedTuple):
    """The caller got the runner's whole answer.

    :ivar elapsed_ms: from the request's arrival to the answer, in ms.
    :ivar within_ms: the objective's time, in ms.
    :ivar wait_ms: how long it waited for a runner, in ms.
    """

    elapsed_ms: Millis
    within_ms: Millis
    wait_ms: Millis = 0


class Failed(NamedTuple):
    """The caller got an error, or an honest "unknown".

    :ivar wait_ms: how long it waited for a runner, in ms.
    """

    wait_ms: Millis = 0


class Refused(NamedTuple):
    """The request was refused and did not run.

    :ivar reason: why.
    """

    reason: str


Finished: TypeAlias = Answered | Failed | Refused


class TallyKey(NamedTuple):
    """What names a tally.

    :ivar owner: the team.
    :ivar class_name: class of work.
    """

    owner: OwnerId
    class_name: ClassName


class Counting:
    """The aggregate of finished requests that the log does not have yet.

    A record that was drained is outstanding until the caller says what
    became of it. Whether a lost reply hides a success is settled by reading
    the log on, never by counting again.
    """

    def __init__(self) -> None:
        """Start with nothing counted."""
        self._tallies: dict[TallyKey, Tally] = {}
        self._drained: list[RequestsCounted] = []

    def note(
        self, owner: OwnerId, class_name: ClassName, finished: Finished
    ) -> None:
        """Count one finished request.

        :param owner: the team.
        :param class_name: class of work.
        :param finished: how it ended.
        """
        empty = Tally(owner, class_name, 0, 0, 0, {}, {})
        self._add(_noted(empty, finished))

    def drain(self) -> RequestsCounted | None:
        """Take what was counted since the last time.

        :returns: the record to append, or ``None`` if there is nothing.
        """
        if not self._tallies:
            return None
        ordered = sorted(self._tallies.items(), key=lambda pair: pair[0])
        counted = RequestsCounted(tuple(tally for _, tally in ordered))
        self._tallies = {}
        self._drained.append(counted)
        return counted

    def confirm(self, counted: RequestsCounted) -> bool:
        """Note that a drained record is on the log.

        :param counted: the record, as :meth:`drain` gave it.
        :returns: whether it was outstanding.
        """
        return self._take(counted)

    def merge_back(self, counted: RequestsCounted) -> bool:
        """Count a drained record again, which surely is not on the log.

        :param counted: the record, as :meth:`drain` gave it.
        :returns: whether it was outstanding; if not, nothing is counted.
        """
        if not self._take(counted):
            return False
        for tally in counted.tallies:
            self._add(tally)
        return True

    def _take(self, counted: RequestsCounted) -> bool:
        for index, outstanding in enumerate(self._drained):
            if outstanding is counted:
                self._drained.pop(index)
                return True
        return False

    def _add(self, tally: Tally) -> None:
        key = TallyKey(tally.owner, tally.class_name)
        known = self._tallies.get(key)
        self._tallies[key] = _sum(known, tally) if known else tally


def _noted(empty: Tally, finished: Finished) -> Tally:
    match finished:
        case Answered(elapsed_ms, within_ms, wait_ms):
            good = int(elapsed_ms <= within_ms)
            waits = add_wait({}, wait_ms)
            return empty._replace(good=good, late=1 - good, waits=waits)
        case Failed(wait_ms):
            return empty._replace(failed=1, waits=add_wait({}, wait_ms))
        case Refused(reason):
            return empty._replace(refused={reason: 1})


def _sum(one: Tally, other: Tally) -> Tally:
    refused = dict(one.refused)
    for reason, times in other.refused.items():
        refused[reason] = refused.get(reason, 0) + times
    waits: Counts = merge(one.waits, other.waits)
    return Tally(
        one.owner,
        one.class_name,
        one.good + other.good,
        one.late + other.late,
        one.failed + other.failed,
        refused,
        waits,
    )
