"""What the holder knows about runners when it makes a decision."""

from typing import NamedTuple

from swifthoist_core.types import Millis, RackId, RunnerId, ZoneId
from swifthoist_engine.model import Resources


class RunnerView(NamedTuple):
    """A runner at the time of a decision.

    :ivar runner: its id; one life of a machine.
    :ivar service: the service whose queues it may run.
    :ivar room: its capacity.
    :ivar labels: its labels, including its rack.
    :ivar rack: its rack; empty if unknown.
    :ivar zone: its zone.
    :ivar open: tasks may be started on it: it is reachable, has the newest
        fence and is not leaving.
    :ivar suspicion: level of suspicion against its health; 0 for none.
    :ivar leaving_ms: time left while it drains; None if it stays.
    :ivar cold: it is slow for a while after its start.
    :ivar speed: its speed class: 0 for the usual one, higher for faster ones,
        lower for slower ones.
    :ivar trials: number of tasks that may be started on it now as trials; None
        if it is used without limit.
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
        """Whether more tasks may be started on it."""
        return self.open and self.leaving_ms is None


class RunnerAssessment(NamedTuple):
    """The holder's assessment of a runner, beside what the runner reports.

    :ivar usable: tasks may be started on it.
    :ivar suspicion: level of suspicion against its health; 0 for none.
    :ivar cold: it is slow for a while after its start.
    :ivar speed: its speed class, see :class:`RunnerView`.
    :ivar trials: number of trial tasks, see :class:`RunnerView`.
    """

    usable: bool
    suspicion: int = 0
    cold: bool = False
    speed: int = 0
    trials: int | None = None
