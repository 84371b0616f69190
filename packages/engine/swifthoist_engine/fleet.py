"""The runners that decisions choose from, and which of them suit a unit.

Runners that differ in nothing that matters are looked at once for all of them.
What is found holds for as long as the runners stay as they are.
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
    """What units have in common that may run on the same runners.

    :ivar service: the service of their queue.
    :ivar label: the label that a runner must have; empty for none.
    :ivar need: what a task takes.
    :ivar spread_limit: most tasks on a runner; 0 for any.
    :ivar width: number of tasks of a step that takes nothing; else 0.
    """

    service: str
    label: str
    need: Resources
    spread_limit: int
    width: int


def requirements_of(pending: PendingUnit) -> RunnerRequirements:
    """Tell the shape of a unit.

    :param pending: the unit.
    :returns: its shape.
    """
    step = pending.step
    return RunnerRequirements(
        pending.terms.service,
        step.label,
        step.counted,
        step.spread_limit,
        0 if any(step.counted) else step.width,
    )


class Candidates:
    """Runners that may run units of one shape, whatever room is free.

    :ivar names: their ids.
    """

    def __init__(
        self, requirements: RunnerRequirements, views: Sequence[RunnerView]
    ) -> None:
        """Describe them.

        :param requirements: the shape.
        :param views: the runners.
        """
        self.names = [view.runner for view in views]
        self._views = views
        self._shape = requirements
        self._faster: dict[int, Candidates] = {}

    @cached_property
    def racks(self) -> Mapping[RackId, list[RunnerId]]:
        """Ids of the runners by rack."""
        racks: dict[RackId, list[RunnerId]] = defaultdict(list)
        for view in self._views:
            racks[view.rack].append(view.runner)
        return dict(racks)

    @cached_property
    def copies(self) -> Mapping[RackId, int]:
        """How many tasks each rack could hold if it were empty."""
        copies: dict[RackId, int] = defaultdict(int)
        held: dict[Resources, int] = {}
        for view in self._views:
            room = view.room
            if room not in held:
                held[room] = _capacity_for(self._shape, room)
            copies[view.rack] += held[room]
        return dict(copies)

    @cached_property
    def suspicion(self) -> Mapping[RackId, int]:
        """How much speaks against the runners of each rack."""
        found: dict[RackId, int] = defaultdict(int)
        for view in self._views:
            found[view.rack] += view.suspicion
        return dict(found)

    def could_hold(self, members: int) -> bool:
        """Tell whether the runners could hold some tasks if they were empty.

        :param members: number of the tasks.
        :returns: whether they could.
        """
        return sum(self.copies.values()) >= members

    def only(self, names: frozenset[RunnerId]) -> 'Candidates':
        """Leave out all runners but some.

        :param names: ids of those that stay.
        :returns: the rest.
        """
        views = [view for view in self._views if view.runner in names]
        return Candidates(self._shape, views)

    @cached_property
    def warm(self) -> 'Candidates':
        """Those of them that are not slow after their start."""
        views = [view for view in self._views if not view.cold]
        return Candidates(self._shape, views)

    def at_least_speed(self, speed: int | None) -> 'Candidates':
        """Leave out the runners that are too slow.

        :param speed: slowest class that stays; none for all of them.
        :returns: the rest.
        """
        if speed is None:
            return self
        found = self._faster.get(speed)
        if found is None:
            views = [view for view in self._views if view.speed >= speed]
            found = Candidates(self._shape, views)
            self._faster[speed] = found
        return found

    def below_suspicion(
        self, suspicion: int, *, exclude_trials: bool = False
    ) -> 'Candidates':
        """Leave out the runners against which too much speaks.

        :param suspicion: least suspicion of those that are left out.
        :param exclude_trials: leave out those that pause or are on trial, too.
        :returns: the rest.
        """
        views = [
            view
            for view in self._views
            if view.suspicion < suspicion
            and not (exclude_trials and view.trials is not None)
        ]
        return Candidates(self._shape, views)


class _RunnerClass(NamedTuple):
    """What runners have in common that suit the same units."""

    open: bool
    leaving: bool
    service: str
    labels: frozenset[str]
    room: Resources


class Fleet:
    """Runners as they are at the time of some decisions.

    :ivar views: the runners by id.
    :ivar listed: the same as they were told of.
    :ivar any_cold: some of them are slow after their start.
    :ivar max_suspicion: highest suspicion of any.
    :ivar speeds: classes of speed of those that may get tasks, slowest first.
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

        :param requirements: shape of the unit.
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
        """Find those of them against which not too much speaks.

        :param requirements: shape of the unit.
        :param suspicion: least suspicion of those that are left out.
        :param exclude_trials: leave out those that pause or are on trial, too.
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
