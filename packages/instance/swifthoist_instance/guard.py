"""What bounds the clients of an instance, with the settings that it needs."""

from collections.abc import Callable
from typing import NamedTuple

from swifthoist_core.clock import Clock
from swifthoist_engine.cell import Cell
from swifthoist_instance.bodies import Bodies
from swifthoist_instance.body_room import BodyRoom
from swifthoist_instance.fair_turns import FairTurns
from swifthoist_instance.limits import Limits
from swifthoist_instance.metrics import Metrics
from swifthoist_instance.refusals import Refusals
from swifthoist_instance.submissions import Submissions


class Guard(NamedTuple):
    """What bounds the clients of an instance.

    :ivar bodies: receives the bodies of requests.
    :ivar submissions: decodes submissions, and bounds what jobs hold.
    :ivar refusals: counts and logs what clients are refused.
    """

    bodies: Bodies
    submissions: Submissions
    refusals: Refusals

    def register(self, metrics: Metrics) -> None:
        """Register the figures that show how much is used.

        :param metrics: the metrics of the instance.
        """
        metrics.register_all(self.refusals.counts)
        metrics.register('body_bytes', lambda: self.bodies.held_bytes)
        metrics.register('job_bytes', lambda: self.submissions.held_bytes)


def create_guard(
    limits: Callable[[], Limits], cell: Callable[[], Cell], clock: Clock
) -> Guard:
    """Connect the parts.

    :param limits: returns the limits in force.
    :param cell: returns the folded state, with the accepted jobs.
    :param clock: source of time.
    :returns: the parts.
    """
    refusals = Refusals(clock)
    turns = FairTurns(clock)
    room = BodyRoom(lambda: limits().body_bytes, clock)
    return Guard(
        Bodies(room, turns),
        Submissions(cell, limits, turns, refusals),
        refusals,
    )
