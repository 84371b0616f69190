"""What a play's decisions come to, to compare two sets of mechanisms."""

from bench.load import SiteLoad
from bench.load_simulation import LoadSimulation
from swifthoist_engine.mechanisms import Mechanisms
from swifthoist_engine.planner import Decision, DecisionInput, decide

Noted = list[tuple[object, ...]]


def starts_and_stops(
    site: SiteLoad, mechanisms: Mechanisms, *figures: float
) -> Noted:
    """Play a load, and note each decision.

    :param site: the load.
    :param mechanisms: parts of the decision that take part.
    :param figures: seed and length of the play, in seconds, and its load.
    :returns: time, starts and stops of each decision.
    """
    found: Noted = []

    def noting(world: DecisionInput, epoch: int) -> Decision:
        decision = decide(world, epoch)
        stops = [(it.run.task, it.run.run) for it in decision.stops]
        found.append((world.now_ms, decision.starts, stops))
        return decision

    LoadSimulation(site, noting, *figures, mechanisms=mechanisms).run()
    return found
