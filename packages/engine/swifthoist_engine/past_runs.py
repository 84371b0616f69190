"""Ended runs, as input for the statistics learned from them."""

from collections.abc import Mapping
from typing import NamedTuple

from swifthoist_core.types import Millis, RackId, RunnerId, ZoneId
from swifthoist_engine.jobs import Job, OpenRun
from swifthoist_engine.model import StepSpec
from swifthoist_engine.records import Ended, Ending


class RunnerFacts(NamedTuple):
    """What a runner reported about itself.

    :ivar machine: machine of which it is a life; empty if unknown.
    :ivar rack: its rack; empty if unknown.
    :ivar zone: its availability zone; empty if unknown.
    :ivar kind: its kind; empty if unknown.
    :ivar born_ms: start of this life, in ms since the Unix epoch; 0 if unknown.
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
    :ivar run: the run of one task; other members of its gang end separately.
    :ivar ending: how it ended.
    :ivar at_ms: time of the cell at which the holder read the end.
    :ivar facts: facts about its runner.
    :ivar gang: open runs of its gang just before this end, including this one;
        only the run itself if it has no gang.
    :ivar gang_facts: facts about the runners of these runs, in the same order.
    :ivar timely: whether the holder read the end when it was listed, not after
        an outage, a runner's silence or a takeover; only then does it tell a
        duration.
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
        """Time from the decision to start it to its end, in ms."""
        return self.at_ms - self.run.started_ms

    @property
    def comparable(self) -> bool:
        """Whether its duration can be compared with other runs of its queue.

        This excludes runs whose end was read late, that resumed from a
        checkpoint, that belong to lasting or filling steps, or that were far
        from their data or spanned racks. Of a gang it includes only the first
        end, which tells the duration of the whole gang.
        """
        step = self.step
        if not self.timely or self.run.checkpoint or self._ran_remotely:
            return False
        if step.lasting or step.filling:
            return False
        return not step.gang or len(self.gang) == step.width

    @property
    def _ran_remotely(self) -> bool:
        """Whether its location slowed it down, or may have done so."""
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
    """Describe an ended run for the statistics.

    :param facts: facts about runners.
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
