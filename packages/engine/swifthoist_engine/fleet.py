"""Runners available to decisions, indexed by what units require.

Runners that do not differ in any relevant property are checked only once. The
results are cached for as long as the runners do not change.
"""

from collections import defaultdict
from collections.abc import Iterator, Mapping, Sequence
from functools import cached_property
from typing import NamedTuple

from swifthoist_core.types import RackId, RunnerId
from swifthoist_engine.model import Resources
from swifthoist_engine.queueing import PendingUnit
from swifthoist_engine.runners import RunnerView


class RunnerRequirements(NamedTuple):
    """Requirements of a unit; units with equal ones may use the same runners.

    :ivar service: the service of their queue.
    :ivar label: label that a runner must have; empty for none.
    :ivar need: resources of a task.
    :ivar spread_limit: most tasks on a runner; 0 for no limit.
    :ivar width: number of tasks, for a step that needs no resources; else 0.
    """

    service: str
    label: str
    need: Resources
    spread_limit: int
    width: int


def requirements_of(pending: PendingUnit) -> RunnerRequirements:
    """Return the requirements of a unit.

    :param pending: the unit.
    :returns: its requirements.
    """
    step = pending.step
    return RunnerRequirements(
        pending.terms.service,
        step.label,
        step.allocated,
        step.spread_limit,
        0 if any(step.allocated) else step.width,
    )


class Candidates:
    """Runners that meet some requirements, whatever room is free on them.

    :ivar names: their ids.
    """

    def __init__(
        self, requirements: RunnerRequirements, views: Sequence[RunnerView]
    ) -> None:
        """Index the runners.

        :param requirements: the requirements.
        :param views: the runners.
        """
        self.names = [view.runner for view in views]
        self._views = views
        self._requirements = requirements
        self._faster: dict[int, Candidates] = {}

    @cached_property
    def racks(self) -> Mapping[RackId, list[RunnerId]]:
        """Runner ids by rack."""
        racks: dict[RackId, list[RunnerId]] = defaultdict(list)
        for view in self._views:
            racks[view.rack].append(view.runner)
        return dict(racks)

    @cached_property
    def copies(self) -> Mapping[RackId, int]:
        """Number of tasks that each rack could hold if it were empty."""
        copies: dict[RackId, int] = defaultdict(int)
        held: dict[Resources, int] = {}
        for view in self._views:
            room = view.room
            if room not in held:
                held[room] = _capacity_for(self._requirements, room)
            copies[view.rack] += held[room]
        return dict(copies)

    @cached_property
    def suspicion(self) -> Mapping[RackId, int]:
        """Total suspicion of the runners of each rack."""
        found: dict[RackId, int] = defaultdict(int)
        for view in self._views:
            found[view.rack] += view.suspicion
        return dict(found)

    def could_hold(self, members: int) -> bool:
        """Tell whether the runners could hold some tasks if they were empty.

        :param members: number of tasks.
        :returns: whether there would be room for all of them.
        """
        return sum(self.copies.values()) >= members

    def only(self, names: frozenset[RunnerId]) -> 'Candidates':
        """Keep only some of the runners.

        :param names: ids of those to keep.
        :returns: the candidates that are left.
        """
        views = [view for view in self._views if view.runner in names]
        return Candidates(self._requirements, views)

    @cached_property
    def warm(self) -> 'Candidates':
        """The candidates that are not cold."""
        views = [view for view in self._views if not view.cold]
        return Candidates(self._requirements, views)

    def at_least_speed(self, speed: int | None) -> 'Candidates':
        """Leave out the runners that are too slow.

        :param speed: slowest speed class to keep; None for all.
        :returns: the candidates that are left.
        """
        if speed is None:
            return self
        found = self._faster.get(speed)
        if found is None:
            views = [view for view in self._views if view.speed >= speed]
            found = Candidates(self._requirements, views)
            self._faster[speed] = found
        return found

    def below_suspicion(
        self, suspicion: int, *, exclude_trials: bool = False
    ) -> 'Candidates':
        """Leave out the suspect runners.

        :param suspicion: lowest suspicion to leave out.
        :param exclude_trials: also leave out runners that are paused or on
            trial.
        :returns: the candidates that are left.
        """
        views = [
            view
            for view in self._views
            if view.suspicion < suspicion
            and not (exclude_trials and view.trials is not None)
        ]
        return Candidates(self._requirements, views)


class _RunnerClass(NamedTuple):
    """Properties that decide which units a runner suits."""

    open: bool
    leaving: bool
    service: str
    labels: frozenset[str]
    room: Resources


class Fleet:
    """The runners at the time of some decisions.

    :ivar views: the runners by id.
    :ivar listed: the runners as they were given.
    :ivar any_cold: some of them are cold.
    :ivar max_suspicion: highest suspicion of any.
    :ivar any_on_trial: some of them are paused or on trial.
    :ivar speeds: speed classes of those that may get tasks, slowest first.
    """

    def __init__(self, views: tuple[RunnerView, ...]) -> None:
        """Index the runners.

        :param views: the runners.
        """
        self.listed = views
        self.views = {view.runner: view for view in views}
        self.any_cold = any(it.cold for it in views)
        self.max_suspicion = max((it.suspicion for it in views), default=0)
        self.any_on_trial = any(it.trials is not None for it in views)
        self.speeds = tuple(sorted({it.speed for it in views if it.open}))
        self._classes = [_class_of(view) for view in self.views.values()]
        self._samples = dict(
            zip(self._classes, self.views.values(), strict=True)
        )
        self._capable: dict[RunnerRequirements, Candidates] = {}
        self._healthy: dict[
            tuple[RunnerRequirements, int, bool], Candidates
        ] = {}

    def capable(self, requirements: RunnerRequirements) -> Candidates:
        """Find the runners that could run a task of a unit at all.

        :param requirements: requirements of the unit.
        :returns: the runners.
        """
        found = self._capable.get(requirements)
        if found is None:
            found = Candidates(requirements, list(self._find(requirements)))
            self._capable[requirements] = found
        return found

    def healthy(
        self,
        requirements: RunnerRequirements,
        suspicion: int,
        *,
        exclude_trials: bool = False,
    ) -> Candidates:
        """Find the capable runners that are not too suspect.

        :param requirements: requirements of the unit.
        :param suspicion: lowest suspicion to leave out.
        :param exclude_trials: also leave out runners that are paused or on
            trial.
        :returns: the runners.
        """
        key = (requirements, suspicion, exclude_trials)
        found = self._healthy.get(key)
        if found is None:
            found = self.capable(requirements).below_suspicion(
                suspicion, exclude_trials=exclude_trials
            )
            self._healthy[key] = found
        return found

    def _find(self, requirements: RunnerRequirements) -> Iterator[RunnerView]:
        capable = {
            runner_class
            for runner_class, view in self._samples.items()
            if _may_run(requirements, view)
        }
        for runner_class, view in zip(
            self._classes, self.views.values(), strict=True
        ):
            if runner_class in capable:
                yield view


def _class_of(view: RunnerView) -> _RunnerClass:
    return _RunnerClass(
        view.open,
        view.leaving_ms is not None,
        view.service,
        view.labels,
        view.room,
    )


def _may_run(requirements: RunnerRequirements, view: RunnerView) -> bool:
    if not view.open or view.service != requirements.service:
        return False
    if requirements.label and requirements.label not in view.labels:
        return False
    if view.leaving_ms is not None:
        return False
    return requirements.need.fits(view.room)


def _capacity_for(requirements: RunnerRequirements, room: Resources) -> int:
    counts = [
        have // want
        for have, want in zip(room, requirements.need, strict=True)
        if want > 0
    ]
    most = min(counts, default=requirements.width)
    return (
        min(most, requirements.spread_limit)
        if requirements.spread_limit
        else most
    )
