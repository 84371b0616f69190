"""Shortfalls: guarantees that were asked for and not given, and why."""

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from swifthoist_core.types import ClassName, JobId, Millis, OwnerId

KEEP_SHORTFALLS = 5_000
"""How many of the latest closed shortfalls are kept one by one."""

MAX_CAUSES = 8
"""How many causes of one shortfall are kept, the first ones."""


class Ask(NamedTuple):
    """A job that waits for a place.

    :ivar owner: the team.
    :ivar class_name: class of work.
    :ivar job_id: the job.
    :ivar accelerators: how many it needs.
    """

    owner: OwnerId
    class_name: ClassName
    job_id: JobId
    accelerators: int


class Shortfall(NamedTuple):
    """A time in which a job waited although the guarantee covered it.

    :ivar ask: the job.
    :ivar since_ms: log time from which the guarantee covered it.
    :ivar until_ms: log time at which it got its place, or the guarantee
        no longer covered it, or it was taken back; 0 while open.
    :ivar causes: why it was not given, in the order of being noted.
    """

    ask: Ask
    since_ms: Millis
    until_ms: Millis = 0
    causes: tuple[str, ...] = ()


class Shortfalls:
    """The aggregate of guarantees asked for and not given.

    :ivar dropped: how many closed ones are no longer kept.
    """

    DERIVED = frozenset(('_by_owner',))

    def __init__(self) -> None:
        """Start with nobody waiting."""
        self.dropped = 0
        self._asks: dict[JobId, Ask] = {}
        self._open: dict[JobId, Shortfall] = {}
        self._closed: list[Shortfall] = []
        self._by_owner: dict[OwnerId, dict[JobId, Ask]] = {}

    def rebuild(self) -> None:
        """Group by owner anew who waits."""
        self._by_owner = {}
        for ask in self._asks.values():
            self._by_owner.setdefault(ask.owner, {})[ask.job_id] = ask

    def opened(self) -> tuple[Shortfall, ...]:
        """Shortfalls that last, oldest first."""
        return tuple(self._open.values())

    def owners(self) -> tuple[OwnerId, ...]:
        """Owners with a job that waits, in order."""
        return tuple(sorted(self._by_owner))

    def ask(self, ask: Ask) -> None:
        """Note that a job waits.

        :param ask: the job.
        """
        self._asks[ask.job_id] = ask
        self._by_owner.setdefault(ask.owner, {})[ask.job_id] = ask

    def settle(self, owner: OwnerId, job_id: JobId, time_ms: Millis) -> None:
        """Note that a job waits no more.

        :param owner: the team.
        :param job_id: the job.
        :param time_ms: time of the record in the log.
        """
        self._asks.pop(job_id, None)
        waiting = self._by_owner.get(owner, {})
        waiting.pop(job_id, None)
        if not waiting:
            self._by_owner.pop(owner, None)
        self._close(job_id, time_ms)

    def review(self, owner: OwnerId, left: int, time_ms: Millis) -> None:
        """Tell which waiting jobs of an owner its guarantee covers now.

        Jobs are covered in the order in which they asked, as far as the
        rest of the guarantee goes.

        :param owner: the team.
        :param left: accelerators of its guarantee that it does not hold.
        :param time_ms: time of the record in the log.
        """
        for ask in tuple(self._by_owner.get(owner, {}).values()):
            if not 0 < ask.accelerators <= left:
                self._close(ask.job_id, time_ms)
                continue
            left -= ask.accelerators
            if ask.job_id not in self._open:
                self._open[ask.job_id] = Shortfall(ask, time_ms)

    def note(self, causes: Mapping[JobId, str]) -> None:
        """Add a cause to shortfalls that last.

        :param causes: the cause for each job.
        """
        for job_id, cause in causes.items():
            found = self._open.get(job_id)
            if found is None or cause in found.causes:
                continue
            if len(found.causes) < MAX_CAUSES:
                every = (*found.causes, cause)
                self._open[job_id] = found._replace(causes=every)

    def all_items(self) -> Iterator[Shortfall]:
        """Go through every shortfall that is kept, oldest first."""
        yield from self._closed
        yield from self._open.values()

    def _close(self, job_id: JobId, time_ms: Millis) -> None:
        found = self._open.pop(job_id, None)
        if found is None or found.since_ms == time_ms:
            return
        self._closed.append(found._replace(until_ms=time_ms))
        if len(self._closed) > KEEP_SHORTFALLS:
            self._closed.pop(0)
            self.dropped += 1
