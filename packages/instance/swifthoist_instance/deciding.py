"""Makes the holder's decisions on what this instance knows right now."""

import random
from collections.abc import Callable, Iterable, Sequence

from anyio.abc import TaskGroup

from swifthoist_core.types import RunnerId
from swifthoist_engine.breakers import spare_some
from swifthoist_engine.catalogue import Catalogue
from swifthoist_engine.faults import FaultGuard, FaultSource
from swifthoist_engine.model import SiteTerms
from swifthoist_engine.occupancy import Occupancy
from swifthoist_engine.planner import Decision, DecisionInput, decide
from swifthoist_engine.queueing import PendingUnit
from swifthoist_engine.runners import RunnerView
from swifthoist_instance.breaker_lines import BreakerLines
from swifthoist_instance.cold_zones import ColdZones
from swifthoist_instance.faults import Aside
from swifthoist_instance.policies import Policies
from swifthoist_instance.roster import Roster
from swifthoist_instance.shared import Shared
from swifthoist_instance.waves import Waves

ADVISED_RUNNERS = 30
"""Most runners that one question names; each one takes time."""


class Decider:
    """Decides, and has policies asked about what can't be decided yet."""

    def __init__(
        self,
        shared: Shared,
        roster: Roster,
        waves: Waves,
        policies: Policies,
        aside: Aside,
        terms: Callable[[], SiteTerms],
        cold_zones: ColdZones,
    ) -> None:
        """Decide for a tenure.

        :param shared: what the tenure shares.
        :param roster: the runners.
        :param waves: tells which of them get no more work.
        :param policies: permissions by step.
        :param aside: what decisions leave out, since they failed on it.
        :param terms: tells the terms of the site.
        :param cold_zones: tells which zones have cold runners.
        """
        self._shared = shared
        self._roster = roster
        self._waves = waves
        self._policies = policies
        self._aside = aside
        self._terms = terms
        self._cold_zones = cold_zones
        self._occupancy = Occupancy()
        self._lines = BreakerLines(shared.cell)
        self._random = random.Random(shared.epoch)

    def decide(self, catalogue: Catalogue, tasks: TaskGroup) -> Decision:
        """Decide what starts and what is stopped.

        :param catalogue: configuration in force.
        :param tasks: runs the questions to policies.
        :returns: the decision.
        """
        guard = FaultGuard()
        self._aside.renew(catalogue)
        listed = self._roster.views(self._waves.cordoned, guard)
        promised = sum(team.accelerators for team in catalogue.teams)
        views = spare_some(listed, promised)
        self._lines.note(views)
        self._shared.zones.report(self._shared.cell)
        self._cold_zones.note(views)
        now_ms = self._shared.follower.time.now_ms()
        world = DecisionInput(
            self._shared.cell,
            catalogue,
            self._aside.sound(views),
            self._roster.stopping(),
            self._policies.allowed(),
            now_ms,
            self._aside.jobs,
            self._shared.clock.wall_ms() - now_ms,
            terms=self._terms(),
            occupancy=self._occupancy,
        )
        decision = decide(world, self._shared.epoch)
        self._ask_policies(
            decision.awaiting_policy, world.runners, tasks, guard
        )
        self._aside.note((*guard.faults, *decision.faults))
        return decision

    def _ask_policies(
        self,
        awaiting_policy: Sequence[PendingUnit],
        runners: Sequence[RunnerView],
        tasks: TaskGroup,
        guard: FaultGuard,
    ) -> None:
        if not awaiting_policy:
            return
        # Another sample each time, so that no runner is never asked about.
        views = self._random.sample(runners, len(runners))
        views.sort(key=lambda view: view.suspicion)
        for waiting in awaiting_policy:
            with guard.isolate(FaultSource.JOB, waiting.unit.job):
                names = _advisable(waiting, views)[:ADVISED_RUNNERS]
                self._policies.ask(tasks, waiting.unit[:3], names)


def _advisable(
    waiting: PendingUnit, views: Iterable[RunnerView]
) -> list[RunnerId]:
    """List the runners that a policy may be asked about."""
    label = waiting.step.label
    return [
        view.runner
        for view in views
        if view.open
        and view.service == waiting.terms.service
        and (not label or label in view.labels)
    ]
