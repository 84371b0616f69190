"""How fast runners are, from the runs that are over."""

from dataclasses import dataclass

from swifthoist_engine.past_runs import PastRun


@dataclass(slots=True)
class Speeds:
    """How fast each runner was."""

    def note(self, past: PastRun) -> None:
        """Learn from a run that is over.

        :param past: the run.
        """
