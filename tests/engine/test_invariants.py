"""Invariants of the fold and the decisions under random sequences of events."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from swifthoist_engine.jobs import OpenRun
from swifthoist_engine.model import Resources, StepSpec
from swifthoist_engine.planner import Decision
from swifthoist_engine.records import (
    Canceled,
    Claimed,
    Ended,
    Ending,
    Submitted,
    Vanished,
    decode_record,
    encode_record,
)
from tests.engine.scenes import (
    BATCH,
    BULK,
    NOW_MS,
    ROOM,
    URGENT,
    Scene,
    job_spec,
    view,
)

RUNNERS = 6
PER_RACK = 3
JOBS = 12

STEPS = st.builds(
    lambda width, size, gang, saves: StepSpec(
        width,
        Resources(7_000 * size, 30_000 * size, size),
        1_000,
        checkpointing=saves,
        gang=gang,
        same_rack=gang,
    ),
    st.integers(1, 5),
    st.sampled_from((1, 2, 4, 8)),
    st.booleans(),
    st.booleans(),
)
TERMS = st.sampled_from((URGENT, BATCH, BULK))
ENDINGS = st.sampled_from(list(Ending))


class CellMachine(RuleBasedStateMachine):
    """Submissions, decisions, ends, takeovers and records that come late."""

    def __init__(self) -> None:
        """Start with a held cell."""
        super().__init__()
        self.scene = Scene()
        self.epoch = 1
        self.now_ms = NOW_MS
        self.numbers: dict[str, int] = {}
        self.made = 0
        self.late: list[Ended | Vanished] = []

    @precondition(lambda machine: machine.made < JOBS)
    @rule(terms=TERMS, first=STEPS, second=STEPS, chained=st.booleans())
    def submit(
        self, terms: object, first: StepSpec, second: StepSpec, chained: bool
    ) -> None:
        """Accept a job of two steps."""
        self.made += 1
        steps = (first, second._replace(depends_on=(0,) * chained))
        spec = job_spec(f'j{self.made}', terms, *steps, accepted_ms=self.now_ms)
        self.scene.fold(Submitted(spec))

    @rule(passed_ms=st.integers(0, 3_000))
    def decide(self, passed_ms: int) -> None:
        """Decide, and fold what was decided."""
        self.now_ms += passed_ms
        decision = self._decision()
        assert not decision.faults
        for started in decision.starts:
            job = self.scene.job(started.unit.job)
            unit = job.find_unit(started.unit)
            step = job.step(started.unit)
            assert not job.state.final
            assert unit is None or not (unit.open or unit.done)
            assert unit is None or started.run > unit.last_run
            members = step.width if step.gang else 1
            assert len(started.placements) == members
            for before in step.depends_on:
                assert job.step_done(started.unit.occurrence, before)
            again = decode_record(encode_record(started))
            assert again == started
            self.scene.fold(started._replace(epoch=self.epoch))

    @rule(pick=st.randoms(use_true_random=False), ending=ENDINGS)
    def end(self, pick: object, ending: Ending) -> None:
        """End some open run."""
        run = self._pick(pick)
        if run is not None:
            number = self.numbers.get(run.runner, 0) + 1
            self.numbers[run.runner] = number
            record = Ended(
                self.epoch, run.runner, number, run.task, run.run, ending,
                '', self.now_ms,
            )  # fmt: skip
            self.late.append(record)
            self.scene.fold(record)

    @rule(pick=st.randoms(use_true_random=False))
    def vanish(self, pick: object) -> None:
        """Lose some open run."""
        run = self._pick(pick)
        if run is not None:
            record = Vanished(self.epoch, run.task, run.run, run.runner, 'lost')
            self.late.append(record)
            self.scene.fold(record)

    @rule(number=st.integers(1, JOBS))
    def cancel(self, number: int) -> None:
        """Cancel some job, known or not."""
        self.scene.fold(Canceled(f'j{number}', self.now_ms))

    @rule()
    def take_over(self) -> None:
        """Another instance claims the cell; a second claim comes late."""
        self.epoch += 1
        self.scene.fold(Claimed(self.epoch, 'next', self.now_ms))
        self.scene.fold(Claimed(self.epoch, 'late', self.now_ms))

    @precondition(lambda machine: machine.late)
    @rule(pick=st.randoms(use_true_random=False))
    def repeat(self, pick: object) -> None:
        """A record is folded again, of a deposed holder or repeated."""
        before = self._summary()
        self.scene.fold(pick.choice(self.late))  # type: ignore[attr-defined]
        assert self._summary() == before

    @invariant()
    def no_runner_is_over_its_capacity(self) -> None:
        """Whatever may be on it counts."""
        for number in range(RUNNERS):
            used = Resources()
            for run in self.scene.cell.runs_on(f'runner-{number}'):
                used = used.plus(
                    self.scene.job(run.task.job).step(run.task).need
                )
            assert used.fits(ROOM), used

    @invariant()
    def a_unit_has_runs_of_one_number_only(self) -> None:
        """So no task runs twice."""
        for job in self.scene.jobs():
            for unit in job.units.values():
                assert len({run.run for run in unit.open.values()}) < 2
                assert not any(
                    run.run > unit.last_run for run in unit.open.values()
                )

    @invariant()
    def the_index_agrees_with_the_jobs(self) -> None:
        """Runs by runner and runs by job are the same."""
        cell = self.scene.cell
        by_job = {
            (run.task, run.run)
            for job in cell.state.jobs.values()
            for run in job.open_runs()
        }
        assert by_job == {(run.task, run.run) for run in cell.runs.all()}

    def _decision(self) -> Decision:
        views = [view(number, number // PER_RACK) for number in range(RUNNERS)]
        return self.scene.decide(views, now_ms=self.now_ms)

    def _pick(self, pick: object) -> OpenRun | None:
        runs = sorted(
            self.scene.cell.runs.all(), key=lambda run: (run.task, run.run)
        )
        if not runs:
            return None
        return pick.choice(runs)  # type: ignore[attr-defined]

    def _summary(self) -> list[tuple[str, str, int]]:
        return [
            (job.job, job.state.value, sum(1 for _ in job.open_runs()))
            for job in self.scene.jobs()
        ]


CellMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=40,
    database=None,
)


class InvariantsTest(CellMachine.TestCase, unittest.TestCase):  # type: ignore[misc]
    """Runs the state machine as a test."""
