"""What the cell has learned from the runs that are over.

It is part of the fold: whoever takes the cell over knows the same, and a
snapshot keeps it.
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
    """What was learned.

    :ivar durations: how long tasks take.
    :ivar speeds: how fast runners are.
    :ivar breakers: which runners fail what they start.
    :ivar belated: number of the newest end of each runner that was read late.
    """

    durations: Durations = field(default_factory=Durations)
    speeds: Speeds = field(default_factory=Speeds)
    breakers: Breakers = field(default_factory=Breakers)
    belated: dict[RunnerId, int] = field(default_factory=dict)

    def observe_record(self, record: Record) -> None:
        """Note what the holder said of runners for whoever learns.

        :param record: a record; others than such are passed over.
        """
        match record:
            case Belated():
                self.belated[record.runner] = record.number
            case RunnerDoubted():
                self.breakers.observe_doubt(record)

    def forget(self, runner: RunnerId) -> None:
        """Forget what ends with a runner.

        :param runner: the runner; it is gone.
        """
        self.belated.pop(runner, None)
        self.breakers.forget(runner)

    def observe(self, past: PastRun) -> None:
        """Learn from a run that is over.

        :param past: the run.
        """
        # A speed is weighed against the durations before this run.
        typical_ms = self.durations.typical_ms(past.job.spec.queue, past.step)
        self.speeds.observe(past, typical_ms)
        self.durations.observe(past, self.speeds)
        self.breakers.observe(past)
