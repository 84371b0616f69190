"""Memory that accepted jobs hold, estimated from what was submitted.

A job is held by every instance from its submission until it is forgotten, some
time after its end, and by each snapshot.
"""

from collections import Counter
from collections.abc import Iterable

from swifthoist_core.types import JobId, OwnerId
from swifthoist_engine.done_units import count_units
from swifthoist_engine.model import JobSpec, StepSpec
from swifthoist_engine.progress import MAX_OPEN_OCCURRENCES

JOB_BYTES = 5_000
"""Memory of a job without its steps and payload, in bytes."""

STEP_BYTES = 500
"""Memory of a step and its progress, in bytes: about 300 as it is decoded."""

DEPENDENCY_BYTES = 40

OCCURRENCE_BYTES = 400
"""Memory of an occurrence that is under way, in bytes."""

PLACE_BYTES = 160
"""Memory of a step of such an occurrence, in bytes."""

UNITS_PER_BYTE = 2
"""Units of which a byte tells that they are done: a bit for each is stored, and
another one is derived."""


def footprint_of(spec: JobSpec) -> int:
    """Estimate the memory that a job holds.

    :param spec: the job.
    :returns: its memory, in bytes.
    """
    steps = sum(map(_step_bytes, spec.steps))
    return JOB_BYTES + len(spec.payload) + steps + _progress_bytes(spec)


def _progress_bytes(spec: JobSpec) -> int:
    times = 1 if spec.schedule is None else spec.schedule.times
    occurrence = OCCURRENCE_BYTES + PLACE_BYTES * len(spec.steps)
    units = times * sum(map(count_units, spec.steps))
    under_way = min(times, MAX_OPEN_OCCURRENCES) * occurrence
    return under_way + units // UNITS_PER_BYTE


def _step_bytes(step: StepSpec) -> int:
    texts = len(step.label) + len(step.data_rack) + len(step.image)
    return STEP_BYTES + texts + DEPENDENCY_BYTES * len(step.depends_on)


class Footprints:
    """Memory that all accepted jobs hold.

    :ivar total: memory of all of them, in bytes.
    """

    def __init__(self, specs: Iterable[JobSpec] = ()) -> None:
        """Add up jobs.

        :param specs: the jobs.
        """
        self.total = 0
        self._by_team: Counter[OwnerId] = Counter()
        self._by_job: dict[JobId, tuple[OwnerId, int]] = {}
        for spec in specs:
            self.add(spec)

    def of_team(self, team: OwnerId) -> int:
        """Return what the jobs of a team hold.

        :param team: the team; empty for jobs without one.
        :returns: their memory, in bytes.
        """
        return self._by_team[team]

    def add(self, spec: JobSpec) -> None:
        """Add a job, unless it is held already.

        :param spec: the job.
        """
        if spec.job not in self._by_job:
            size = footprint_of(spec)
            self._by_job[spec.job] = (spec.team, size)
            self.total += size
            self._by_team[spec.team] += size

    def remove(self, job: JobId) -> None:
        """Remove a job that is held no longer.

        :param job: id of the job.
        """
        team, size = self._by_job.pop(job, ('', 0))
        self.total -= size
        self._by_team[team] -= size
        if not self._by_team[team]:
            self._by_team.pop(team)
