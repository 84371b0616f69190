"""Which runners fail what they start, from the runs that are over."""

from dataclasses import dataclass

from swifthoist_engine.past_runs import PastRun


@dataclass(slots=True)
class Breakers:
    """What speaks against each runner."""

    def note(self, past: PastRun) -> None:
        """Learn from a run that is over.

        :param past: the run.
        """
