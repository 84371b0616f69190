"""Progress of a job: which of its units may start, run or are done.

It is derived from the units and never stored. What it tells costs the same
whatever number of units the job has, and is updated with each unit that changes.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from itertools import islice
from typing import NamedTuple, TypeVar

from swifthoist_core.types import Millis
from swifthoist_engine.done_units import (
    DoneUnits,
    KnownUnits,
    StepPlace,
    UnitKey,
    UnitNumbers,
    count_units,
    has_bit,
    has_unit,
    set_bit,
)
from swifthoist_engine.model import GANG_ORDINAL, JobSpec, StepSpec

MAX_OPEN_OCCURRENCES = 4_000
"""Most occurrences of a job that are under way at a time, since each of them is
prepared whole; the others wait until some are done."""

_Member = TypeVar('_Member')


class UnitStage(NamedTuple):
    """What the progress of a job depends on in one unit.

    :ivar done: a run of it is done.
    :ivar open: a run of it may still be on its runner.
    :ivar suspected: a runner has crashed that it may have caused.
    """

    done: bool
    open: bool
    suspected: bool


class Progress:
    """Progress of one job.

    A job with very many steps is prepared in slices, unless a unit of it is
    known already. What is done costs a bit or two.

    :ivar open: units with open runs, in the order in which they started.
    :ivar suspected: units that are suspected of crashing their runners.
    :ivar accelerators: accelerators of all tasks of an occurrence together.
    :ivar passing_accelerators: the same without lasting tasks.
    :ivar declared_ms: length of the critical path by declared durations.
    """

    def __init__(
        self,
        spec: JobSpec,
        occurrences: int,
        known: KnownUnits,
        numbers: UnitNumbers,
    ) -> None:
        """Start without any unit.

        :param spec: the job.
        :param occurrences: number of times its steps run.
        :param known: units that were ever started.
        :param numbers: the numbers of the units.
        """
        self.open: dict[UnitKey, None] = {}
        self.suspected: dict[UnitKey, None] = {}
        self.accelerators = 0
        self.passing_accelerators = 0
        self.declared_ms: Millis = 0
        self._spec = spec
        self._occurrences = occurrences
        self._known = known
        self._prepared = 0
        self._ends_ms: list[Millis] = []
        # Most steps have one dependent: a list of each would be work for the
        # garbage collector.
        self._dependent: dict[int, int] = {}
        self._more_dependents: dict[int, list[int]] = defaultdict(list)
        self._dependencies: list[int] = []
        self._first_steps: list[int] = []
        self._done = DoneUnits(spec.steps, numbers)
        self._over = bytearray()
        self._steps_left = occurrences * len(spec.steps)
        self._steps_left_in: dict[int, int] = {}
        # How many dependencies of a step are not done, by occurrence.
        self._blockers: dict[int, list[int]] = {}
        self._next_occurrence = 0
        self._startable: dict[StepPlace, None] = {}
        # Occurrences, with the number of first steps that are startable.
        self._listed_steps: dict[int, int] = {}
        self._idle: dict[StepPlace, set[int]] = {}
        self._fresh: Counter[StepPlace] = Counter()

    def prepare(self, limit: int) -> int:
        """Go through the next steps of the job.

        :param limit: most steps to go through.
        :returns: number of steps gone through.
        """
        first = self._prepared
        steps = self._spec.steps[first : first + limit]
        for number, step in enumerate(steps, first):
            self._prepare_step(number, step)
        return len(steps)

    def _prepare_step(self, number: int, step: StepSpec) -> None:
        needed = step.width * step.need.accelerators
        self.accelerators += needed
        self.passing_accelerators += 0 if step.lasting else needed
        begin_ms = 0
        for before in step.depends_on:
            begin_ms = max(begin_ms, self._ends_ms[before])
        before_all = set(step.depends_on)
        for before in before_all:
            if self._dependent.setdefault(before, number) != number:
                self._more_dependents[before].append(number)
        self._dependencies.append(len(before_all))
        end_ms = begin_ms + step.estimate_ms
        self._ends_ms.append(end_ms)
        self.declared_ms = max(self.declared_ms, end_ms)
        self._prepared += 1
        if not before_all:
            self._first_steps.append(number)

    @property
    def prepared(self) -> bool:
        """Whether all steps have been gone through."""
        return self._prepared == len(self._spec.steps)

    @property
    def demand(self) -> int:
        """Accelerators of all tasks of the occurrences under way."""
        return self.accelerators * max(len(self._steps_left_in), 1)

    @property
    def complete(self) -> bool:
        """Whether every unit of every occurrence is done."""
        return self._steps_left == 0

    @property
    def settled(self) -> bool:
        """Whether nothing can start until a unit changes."""
        opened = self._next_occurrence == self._occurrences
        waiting = self._startable or self._listed_steps
        return self.prepared and opened and not waiting

    def step_done(self, place: StepPlace) -> bool:
        """Return whether all units of a step are done.

        :param place: the step.
        :returns: whether they are.
        """
        return self._done.has_step(place)

    def note(self, key: UnitKey, stage: UnitStage) -> None:
        """Process a change of a unit.

        :param key: the unit.
        :param stage: its stage now.
        """
        if not has_unit(self._spec, self._occurrences, key):
            return
        self.prepare(len(self._spec.steps))
        place = key[:2]
        self._open_occurrence(key[0])
        _set_member(self.open, key, member=stage.open)
        _set_member(self.suspected, key, member=stage.suspected)
        self._note_idle(place, key[2], idle=not (stage.done or stage.open))
        if stage.done and self._done.add(key):
            self._note_step_done(place)
        self._update_startable(place)

    def open_due(self, is_due: Callable[[int], bool], limit: int) -> None:
        """Make the steps of due occurrences startable.

        :param is_due: tells whether an occurrence is due.
        :param limit: most steps to go through, but at least one occurrence.
        """
        most = max(limit // len(self._spec.steps), 1)
        until = min(self._next_occurrence + most, self._occurrences)
        for occurrence in range(self._next_occurrence, until):
            if len(self._blockers) >= MAX_OPEN_OCCURRENCES:
                return
            if occurrence not in self._blockers and not is_due(occurrence):
                return
            self._open_occurrence(occurrence)
            self._next_occurrence = occurrence + 1

    def take_startable(self, limit: int) -> list[StepPlace]:
        """Return steps with units that may start, others at the next call.

        :param limit: most steps to return.
        :returns: steps whose dependencies are done.
        """
        self._list_first_steps(limit)
        taken = list(islice(self._startable, limit))
        if len(self._startable) > limit:
            for place in taken:
                self._startable.pop(place)
                self._startable[place] = None
        return taken

    def startable_ordinals(self, place: StepPlace) -> Iterator[int]:
        """Yield the units of a step without an open run that are not done.

        :param place: the step.
        :returns: their ordinals: units that were started before come first.
        """
        yield from sorted(self._idle.get(place, ()))
        if self._spec.steps[place[1]].gang:
            if (*place, GANG_ORDINAL) not in self._known:
                yield GANG_ORDINAL
            return
        for ordinal in range(
            self._fresh[place], count_units(self._spec.steps[place[1]])
        ):
            if (*place, ordinal) not in self._known:
                yield ordinal

    def _open_occurrence(self, occurrence: int) -> None:
        if occurrence in self._blockers or has_bit(self._over, occurrence):
            return
        self._blockers[occurrence] = self._dependencies.copy()
        self._steps_left_in[occurrence] = len(self._spec.steps)
        self._listed_steps[occurrence] = 0

    def _list_first_steps(self, limit: int) -> None:
        """Make the next steps without dependencies startable."""
        for occurrence in list(islice(self._listed_steps, limit)):
            first = self._listed_steps.pop(occurrence)
            numbers = self._first_steps[first : first + limit]
            for number in numbers:
                self._update_startable((occurrence, number))
            limit -= len(numbers)
            if first + len(numbers) < len(self._first_steps):
                self._listed_steps[occurrence] = first + len(numbers)
            if limit <= 0:
                return

    def _note_idle(self, place: StepPlace, ordinal: int, *, idle: bool) -> None:
        if idle:
            self._idle.setdefault(place, set()).add(ordinal)
            return
        known = self._idle.get(place, set())
        known.discard(ordinal)
        if not known:
            self._idle.pop(place, None)

    def _note_step_done(self, place: StepPlace) -> None:
        occurrence, number = place
        blockers = self._blockers[occurrence]
        self._fresh.pop(place, None)
        self._steps_left -= 1
        self._steps_left_in[occurrence] -= 1
        if not self._steps_left_in[occurrence]:
            self._steps_left_in.pop(occurrence)
            self._blockers.pop(occurrence)
            self._listed_steps.pop(occurrence, None)
            set_bit(self._over, occurrence)
        dependents = list(self._more_dependents.get(number, ()))
        if number in self._dependent:
            dependents.append(self._dependent[number])
        for after in dependents:
            blockers[after] -= 1
            self._update_startable((occurrence, after))

    def _update_startable(self, place: StepPlace) -> None:
        occurrence, number = place
        member = (
            not self.step_done(place)
            and not self._blockers[occurrence][number]
            and (bool(self._idle.get(place)) or self._has_fresh(place))
        )
        _set_member(self._startable, place, member=member)

    def _has_fresh(self, place: StepPlace) -> bool:
        """Return whether a step has units that were never started."""
        if self._spec.steps[place[1]].gang:
            return (*place, GANG_ORDINAL) not in self._known
        ordinal, width = (
            self._fresh[place],
            count_units(self._spec.steps[place[1]]),
        )
        while ordinal < width and (*place, ordinal) in self._known:
            ordinal += 1
        self._fresh[place] = ordinal
        return ordinal < width


def _set_member(
    members: dict[_Member, None], item: _Member, *, member: bool
) -> None:
    """Add an item to an ordered set, or remove it."""
    if member:
        members.setdefault(item)
    else:
        members.pop(item, None)
