"""What the cell has learned from the runs that are over.

It is part of the fold: whoever takes the cell over knows the same, and a
snapshot keeps it.
"""

from dataclasses import dataclass, field

from swifthoist_core.types import Millis
from swifthoist_engine.breakers import Breakers
from swifthoist_engine.durations import Durations
from swifthoist_engine.past_runs import PastRun
from swifthoist_engine.speeds import Speeds

PAUSE_MS = 1_000
"""A holder that noted no time for so long, in ms, was away, or there was none: over
twice the pause between heartbeats."""

CATCH_UP_MS = 2_000
"""Time within which a new holder, or one that is back, has looked at each
runner, in ms."""


@dataclass(slots=True)
class Experience:
    """What was learned.

    :ivar durations: how long tasks take.
    :ivar speeds: how fast runners are.
    :ivar breakers: which runners fail what they start.
    :ivar heard_ms: newest time that a holder noted.
    :ivar resumed_ms: when one did so after a pause.
    """

    durations: Durations = field(default_factory=Durations)
    speeds: Speeds = field(default_factory=Speeds)
    breakers: Breakers = field(default_factory=Breakers)
    heard_ms: Millis = 0
    resumed_ms: Millis = 0

    def hear(self, at_ms: Millis) -> None:
        """Note a time that a holder noted.

        :param at_ms: the time.
        """
        if at_ms - self.heard_ms > PAUSE_MS:
            self.resumed_ms = at_ms
        self.heard_ms = max(self.heard_ms, at_ms)

    def note(self, past: PastRun) -> None:
        """Learn from a run that is over.

        :param past: the run.
        """
        # What ended while nobody took notes is noted soon after that.
        past = past._replace(
            timely=past.timely
            and (
                past.run.started_ms >= self.resumed_ms
                or past.at_ms >= self.resumed_ms + CATCH_UP_MS
            )
        )
        # A speed is weighed against the durations before this run.
        typical_ms = self.durations.typical_ms(past.job.spec.queue, past.step)
        self.speeds.note(past, typical_ms)
        self.durations.note(past)
        self.breakers.note(past)
