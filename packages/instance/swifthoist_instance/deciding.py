"""Makes the holder's decisions from the current state of this instance."""

import functools
import logging
import random
from collections.abc import Callable, Iterable, Sequence

from swifthoist_core.types import RunnerId
from swifthoist_engine.breakers import readmit_runners
from swifthoist_engine.capacity import StepKey
from swifthoist_engine.catalogue import AdviceTerms, Catalogue
from swifthoist_engine.faults import FaultGuard, FaultSource
from swifthoist_engine.job_costs import JobCosts, LeftOutJobs
from swifthoist_engine.model import SiteTerms
from swifthoist_engine.occupancy import Occupancy
from swifthoist_engine.planner import Decision, DecisionInput, decide
from swifthoist_engine.queueing import PendingUnit
from swifthoist_engine.runners import RunnerView
from swifthoist_instance.breaker_lines import BreakerLines
from swifthoist_instance.cold_zones import ColdZones
from swifthoist_instance.context import TenureContext
from swifthoist_instance.faults import Quarantine
from swifthoist_instance.policies import Policies, PolicyRequest
from swifthoist_instance.roster import Roster
from swifthoist_instance.waves import Waves

_log = logging.getLogger(__name__)


class Decider:
    """Makes decisions, and queries policies about steps without permission."""

    def __init__(
        self,
        context: TenureContext,
        roster: Roster,
        waves: Waves,
        policies: Policies,
        quarantine: Quarantine,
        terms: Callable[[], SiteTerms],
        cold_zones: ColdZones,
    ) -> None:
        """Create the decider of a tenure.

        :param context: state shared within the tenure.
        :param roster: the runners.
        :param waves: knows the runners that are cordoned.
        :param policies: permissions by step.
        :param quarantine: jobs and runners that made decisions fail.
        :param terms: returns the terms of the site.
        :param cold_zones: tracks the zones that have cold runners.
        """
        self._context = context
        self._roster = roster
        self._waves = waves
        self._policies = policies
        self._quarantine = quarantine
        self._terms = terms
        self._cold_zones = cold_zones
        self._occupancy = Occupancy()
        self._left_out = LeftOutJobs()
        self._breaker_lines = BreakerLines(context.cell)
        self._random = random.Random(context.epoch)

    def decide(self, catalogue: Catalogue) -> Decision:
        """Decide which runs to start and which to stop.

        :param catalogue: the configuration in force.
        :returns: the decision.
        """
        guard = FaultGuard()
        self._quarantine.renew(catalogue)
        listed = self._roster.views(self._waves.cordoned, guard)
        promised = sum(team.accelerators for team in catalogue.teams)
        views = readmit_runners(listed, promised)
        self._breaker_lines.note(views)
        self._context.zones.log_remaining_runs(self._context.cell)
        self._cold_zones.note(views)
        now_ms = self._context.follower.time.now_ms()
        clock = self._context.clock
        left_out = self._left_out.at(clock.boot_ms())
        world = DecisionInput(
            self._context.cell,
            catalogue,
            self._quarantine.filter_runners(views),
            self._roster.stopping(),
            self._policies.allowed(),
            now_ms,
            self._quarantine.jobs | left_out,
            clock.wall_ms() - now_ms,
            terms=self._terms(),
            occupancy=self._occupancy,
            costs=JobCosts(clock),
        )
        decision = decide(world, self._context.epoch)
        self._left_out.note(decision.costly, clock.boot_ms())
        if decision.costly:
            _log.warning('jobs costly', extra={'jobs': dict(decision.costly)})
        self._request_permissions(decision.awaiting_policy, world, guard)
        self._quarantine.note((*guard.faults, *decision.faults))
        return decision

    def _request_permissions(
        self,
        awaiting_policy: Sequence[PendingUnit],
        world: DecisionInput,
        guard: FaultGuard,
    ) -> None:
        """Tell which steps wait for permissions, in the order of their start."""
        requests: dict[StepKey, PolicyRequest] = {}
        for waiting in awaiting_policy:
            with guard.isolate(FaultSource.JOB, waiting.unit.job):
                step = waiting.unit[:3]
                if step not in requests:
                    requests[step] = self._request_for(waiting, world)
        self._policies.request(tuple(requests.values()))

    def _request_for(
        self, waiting: PendingUnit, world: DecisionInput
    ) -> PolicyRequest:
        terms = _advice_terms(waiting, world)
        choose = functools.partial(self._choose, waiting, world)
        return PolicyRequest(
            waiting.unit[:3], waiting.step.width, terms, choose
        )

    def _choose(
        self, waiting: PendingUnit, world: DecisionInput
    ) -> list[RunnerId]:
        """Return the runners to ask about, those with room first."""
        guard = FaultGuard()
        found: list[RunnerView] = []
        with guard.isolate(FaultSource.JOB, waiting.unit.job):
            names = _advisable(waiting, world.runners)
            # A new random order each time, so that every runner is asked about.
            found = self._random.sample(names, len(names))
            found.sort(
                key=lambda it: (self._is_full(it, waiting), it.suspicion)
            )
        self._quarantine.note(guard.faults)
        return [view.runner for view in found]

    def _is_full(self, view: RunnerView, waiting: PendingUnit) -> bool:
        used = self._context.cell.runs.used_on(view.runner)
        return not used.plus(waiting.step.allocated).fits(view.room)


def _advice_terms(waiting: PendingUnit, world: DecisionInput) -> AdviceTerms:
    """Return the terms of the policy that a unit waits for."""
    job = world.cell.find_job(waiting.unit.job)
    queue = job and world.catalogue.queue_named(job.spec.queue)
    return (queue and queue.advice) or AdviceTerms(0)


def _advisable(
    waiting: PendingUnit, views: Iterable[RunnerView]
) -> list[RunnerView]:
    """Return the runners that a policy may be asked about."""
    label = waiting.step.label
    return [
        view
        for view in views
        if view.open
        and view.service == waiting.terms.service
        and (not label or label in view.labels)
    ]
