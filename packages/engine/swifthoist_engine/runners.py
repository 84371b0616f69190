"""What the holder knows of a runner when it decides."""

from typing import NamedTuple

from swifthoist_core.types import Millis, RackId, RunnerId, ZoneId
from swifthoist_engine.model import Resources


class RunnerView(NamedTuple):
    """A runner at the time of a decision.

    :ivar runner: its id; one life of a machine.
    :ivar service: the service whose queues it may run.
    :ivar room: its capacity.
    :ivar labels: its labels, its rack among them.
    :ivar rack: its rack; empty if unknown.
    :ivar zone: its zone.
    :ivar open: tasks may be started on it: it is reachable, has the newest
        fence and is not leaving.
    :ivar suspicion: how much speaks against its health; 0 for nothing.
    :ivar leaving_ms: time that is left while it drains; none if it stays.
    :ivar cold: it is slow for a while after its start.
    :ivar speed: class of its speed: 0 for the usual one, more for faster ones,
        less for slower ones.
    :ivar trials: how many tasks may be started on it now, to try it; none if it
        is in use without limits.
    """

    runner: RunnerId
    service: str
    room: Resources
    labels: frozenset[str]
    rack: RackId
    zone: ZoneId
    open: bool = True
    suspicion: int = 0
    leaving_ms: Millis | None = None
    cold: bool = False
    speed: int = 0
    trials: int | None = None

    @property
    def takes_work(self) -> bool:
        """Whether more may be started on it."""
        return self.open and self.leaving_ms is None


class RunnerAssessment(NamedTuple):
    """What the holder thinks of a runner beside what it tells of itself.

    :ivar usable: tasks may be started on it.
    :ivar suspicion: how much speaks against its health; 0 for nothing.
    :ivar cold: it is slow for a while after its start.
    :ivar speed: class of its speed, see :class:`RunnerView`.
    :ivar trials: how many tasks may try it, see :class:`RunnerView`.
    """

    usable: bool
    suspicion: int = 0
    cold: bool = False
    speed: int = 0
    trials: int | None = None
