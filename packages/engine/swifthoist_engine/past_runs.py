"""Runs that are over, as whatever is learned from them sees them."""

from collections.abc import Mapping
from typing import NamedTuple

from swifthoist_core.types import Millis, RackId, RunnerId, ZoneId
from swifthoist_engine.jobs import Job, OpenRun
from swifthoist_engine.model import StepSpec
from swifthoist_engine.records import Ended, Ending


class RunnerFacts(NamedTuple):
    """What is known of a runner beside its runs.

    :ivar machine: the machine that it is a life of; empty if unknown.
    :ivar rack: its rack; empty if unknown.
    :ivar zone: its availability zone; empty if unknown.
    :ivar kind: its kind; empty if unknown.
    :ivar born_ms: when this life began, since the Unix epoch; 0 if unknown.
    """

    machine: str = ''
    rack: RackId = ''
    zone: ZoneId = ''
    kind: str = ''
    born_ms: Millis = 0


class PastRun(NamedTuple):
    """A run that its runner listed as ended.

    :ivar job: its job.
    :ivar step: its step.
    :ivar run: the run of one task; the other members of its gang end, too.
    :ivar ending: how it ended.
    :ivar at_ms: time of the cell when the holder read of it.
    :ivar facts: what is known of its runner.
    :ivar gang: runs of its gang, this one among them; as they were when it
        ended, and only the run itself where there is no gang.
    :ivar gang_facts: what is known of their runners, in the same order.
    :ivar timely: the holder read of the end when it was listed, not behind an
        outage, a runner's silence or a takeover; so it tells a duration.
    """

    job: Job
    step: StepSpec
    run: OpenRun
    ending: Ending
    at_ms: Millis
    facts: RunnerFacts
    gang: tuple[OpenRun, ...]
    gang_facts: tuple[RunnerFacts, ...]
    timely: bool = True

    @property
    def ran_ms(self) -> Millis:
        """Time from its decision to its end."""
        return self.at_ms - self.run.started_ms

    @property
    def comparable(self) -> bool:
        """Whether its time can be held against that of others of its queue.

        Not so for runs whose end was noted late, that did part of the work or
        last, that were far from their data or over several racks, and for the
        ends of a gang behind the first one, which told of all of it.
        """
        step = self.step
        if not self.timely or self.run.checkpoint or self._ran_remotely:
            return False
        if step.lasting or step.filling:
            return False
        return not step.gang or len(self.gang) == step.width

    @property
    def _ran_remotely(self) -> bool:
        """Whether it took longer for where it was, or may have done so."""
        racks = {facts.rack for facts in self.gang_facts}
        step = self.step
        if step.data_rack and racks != {step.data_rack}:
            return True
        return step.gang and step.same_rack and len(racks) > 1


def past_run(
    facts: Mapping[RunnerId, RunnerFacts],
    job: Job,
    run: OpenRun,
    record: Ended,
    gang: tuple[OpenRun, ...],
    at_ms: Millis,
    belated: int,
) -> PastRun:
    """Describe a run that is over to whatever is learned from it.

    :param facts: what is known of runners.
    :param job: its job.
    :param run: the run.
    :param record: its end.
    :param gang: the open runs of its unit before that end.
    :param at_ms: time of the cell.
    :param belated: number of its runner's newest end that was read late.
    :returns: the run.
    """
    unknown = RunnerFacts()
    return PastRun(
        job,
        job.step(run.task),
        run,
        record.ending,
        at_ms,
        facts.get(run.runner, unknown),
        gang,
        tuple(facts.get(member.runner, unknown) for member in gang),
        record.number > belated,
    )
