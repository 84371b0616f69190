"""Statistics that the cell learns from ended runs.

They are part of the folded state, so a new holder has them after a takeover,
and snapshots include them.
"""

from dataclasses import dataclass, field

from swifthoist_core.types import RunnerId
from swifthoist_engine.breakers import Breakers
from swifthoist_engine.durations import Durations
from swifthoist_engine.past_runs import PastRun
from swifthoist_engine.records import Belated, Record, RunnerDoubted
from swifthoist_engine.speeds import Speeds


@dataclass(slots=True)
class Experience:
    """Statistics learned from ended runs.

    :ivar durations: durations of tasks.
    :ivar speeds: speeds of runners.
    :ivar breakers: runners that fail the runs that they start.
    :ivar belated: number of the newest end of each runner that was read late.
    """

    durations: Durations = field(default_factory=Durations)
    speeds: Speeds = field(default_factory=Speeds)
    breakers: Breakers = field(default_factory=Breakers)
    belated: dict[RunnerId, int] = field(default_factory=dict)

    def observe_record(self, record: Record) -> None:
        """Apply a record about a runner that the statistics depend on.

        :param record: the record; others are ignored.
        """
        match record:
            case Belated():
                self.belated[record.runner] = record.number
            case RunnerDoubted():
                self.breakers.observe_doubt(record)

    def forget(self, runner: RunnerId) -> None:
        """Drop what doesn't outlast a runner.

        :param runner: the runner, which is gone.
        """
        self.belated.pop(runner, None)
        self.breakers.forget(runner)

    def observe(self, past: PastRun) -> None:
        """Learn from an ended run.

        :param past: the run.
        """
        # The speed is compared with the durations learned before this run.
        typical_ms = self.durations.typical_ms(past.job.spec.queue, past.step)
        self.speeds.observe(past, typical_ms)
        self.durations.observe(past, self.speeds)
        self.breakers.observe(past)
