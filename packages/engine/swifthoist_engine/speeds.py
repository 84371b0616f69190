"""How fast runners are, from the runs that are over."""

from dataclasses import dataclass

from swifthoist_engine.past_runs import PastRun, RunnerFacts


@dataclass(slots=True)
class Speeds:
    """How fast each runner was."""

    def note(self, past: PastRun) -> None:
        """Learn from a run that is over.

        :param past: the run.
        """

    def factor(self, facts: RunnerFacts) -> float:
        """Tell how long a run takes there.

        :param facts: what is known of the runner.
        :returns: multiple of what it takes on a runner of usual speed; 1
            where nothing is known.
        """
        return 1.0
