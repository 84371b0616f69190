"""Records the decisions of a simulated load, to compare sets of mechanisms."""

from bench.load import SiteLoad
from bench.load_simulation import LoadSimulation
from swifthoist_engine.mechanisms import Mechanisms
from swifthoist_engine.planner import Decision, DecisionInput, decide

DecisionTrace = list[tuple[object, ...]]


def trace_decisions(
    site: SiteLoad, mechanisms: Mechanisms, *play_arguments: float
) -> DecisionTrace:
    """Simulate a load, and record each decision.

    :param site: the load.
    :param mechanisms: which scheduler mechanisms are enabled.
    :param play_arguments: seed, length in seconds, and intensity of the load.
    :returns: time, starts and stopped runs of each decision.
    """
    trace: DecisionTrace = []

    def record_decision(world: DecisionInput, epoch: int) -> Decision:
        decision = decide(world, epoch)
        stops = [(it.run.task, it.run.run) for it in decision.stops]
        trace.append((world.now_ms, decision.starts, stops))
        return decision

    LoadSimulation(
        site, record_decision, *play_arguments, mechanisms=mechanisms
    ).run()
    return trace
