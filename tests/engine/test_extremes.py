"""Tests that what is accepted fits everything that is later made of it.

A job with any of its fields at their extremes is decoded, recorded, folded,
decided on, started, ended, canceled, reported, and restored from a snapshot.
"""

import unittest
from collections.abc import Sequence
from typing import Any

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from swifthoist_core.types import MAX_NUMBER
from swifthoist_engine.account import UsageFilter, usage_lines
from swifthoist_engine.burn import burn_lines
from swifthoist_engine.cell import Cell
from swifthoist_engine.footprints import footprint_of
from swifthoist_engine.jobs import OpenRun
from swifthoist_engine.model import (
    JobSpec,
    QueueTerms,
    Resources,
    Schedule,
    StepSpec,
)
from swifthoist_engine.records import (
    Canceled,
    Ended,
    Ending,
    Record,
    Submitted,
    Vanished,
    decode_record,
    encode_record,
)
from swifthoist_engine.snapshots import (
    HEAD_KEY,
    encode_head,
    restore,
    take_snapshot,
)
from swifthoist_instance.job_lines import describe_end
from swifthoist_platform import names
from swifthoist_platform.job_calls import decode_job
from tests.engine.scenes import KEEP_MS, NOW_MS, Scene, view
from tests.simulation.test_faults import EXAMPLES, HYPOTHESIS_SETTINGS

DAY_MS = 86_400_000
CHUNK_BYTES = 100_000
RUNNERS = 3
ROUNDS = 4
MAX_RECORD_BYTES = 262_144

EXTREMES = (0, 1, 1_000, 2**31, 2**32, MAX_NUMBER - 1, MAX_NUMBER)
OLDER_EXTREMES = (0, 1, 2**31, MAX_NUMBER + 1, 2**63, 2**64 - 1)
"""Numbers in records, that the door for operators let in."""

TEXTS = ('', 'a', 'rack-0', '\x00', '\U0010ffff' * 900, '{"a": [1]}')

MANY = settings(HYPOTHESIS_SETTINGS, max_examples=10 * EXAMPLES)

numbers = st.sampled_from(EXTREMES)
flags = st.booleans()
terms = st.builds(
    QueueTerms,
    st.integers(0, 2),
    st.sampled_from((1, 3, MAX_NUMBER)),
    st.sampled_from((1e-9, 1.5, float(MAX_NUMBER))),
    numbers,
    st.just('pool'),
)
ends = st.lists(
    st.tuples(
        st.sampled_from((*Ending, None)),
        st.sampled_from((0, 1, 999, DAY_MS, 400 * DAY_MS)),
    ),
    min_size=6,
    max_size=6,
)


@st.composite
def documents(draw: st.DrawFn) -> dict[str, Any]:
    """Draw the body of a submission."""
    steps = [
        {
            names.COUNT: draw(st.integers(1, 3)),
            names.CPU: draw(numbers),
            names.MEM_MB: draw(numbers),
            names.GPU: draw(numbers),
            names.ESTIMATE_MS: draw(numbers),
            names.DEPENDS_ON: [] if not at or draw(flags) else [at - 1],
            names.CHECKPOINTING: draw(flags),
            names.GANG: draw(flags),
            names.SAME_RACK: draw(flags),
            names.AFFINITY: draw(st.sampled_from(TEXTS)),
            names.ANTI_AFFINITY: draw(numbers),
            names.SPECULATIVE: draw(flags),
            names.LONG_RUNNING: draw(flags),
            names.IMAGE: draw(st.sampled_from(TEXTS)),
            names.TARGET_MS: draw(numbers),
            names.FILLS: draw(flags),
            names.LOSSY: draw(numbers),
        }
        for at in range(draw(st.integers(1, 3)))
    ]
    document = {names.SPEC: draw(st.sampled_from(TEXTS)), names.STEPS: steps}
    if draw(flags):
        document[names.REPEAT_COUNT] = draw(st.sampled_from((1, 3, 5_000)))
        document[names.START_AT_MS] = draw(numbers)
        document[names.INTERVAL_MS] = draw(numbers)
    return document


@st.composite
def older_specs(draw: st.DrawFn) -> JobSpec:
    """Draw a job that the log may hold from an earlier version."""
    figures = st.sampled_from(OLDER_EXTREMES)
    need = st.builds(Resources, figures, figures, figures)
    steps = st.builds(
        lambda count, *rest: StepSpec(count, *rest[:2])._replace(
            checkpointing=rest[2],
            gang=rest[3],
            spread_limit=rest[4],
            filling=rest[5],
        ),
        st.integers(1, 3),
        need,
        figures,
        flags,
        flags,
        figures,
        flags,
    )
    first_ms = st.sampled_from((-(2**63), *OLDER_EXTREMES))
    schedule = st.builds(Schedule, first_ms, first_ms, st.integers(1, 3))
    return JobSpec(
        'j',
        'batch',
        'red',
        '',
        tuple(draw(st.lists(steps, min_size=1, max_size=3))),
        draw(terms),
        NOW_MS,
        draw(st.none() | schedule),
    )


def _logged(record: Record) -> Record:
    """Write a record to the log, and read it."""
    content = encode_record(record)
    assert len(content) <= MAX_RECORD_BYTES, len(content)
    found = decode_record(content)
    assert found == record, found
    return found


def _restored(cell: Cell) -> Cell:
    """Take a snapshot of a cell, and restore it."""
    snapshot = take_snapshot(cell.state, 0, 0, CHUNK_BYTES)
    assert not snapshot.left_out, snapshot.left_out
    head = encode_head(snapshot.head)
    restored = restore({**snapshot.chunks, HEAD_KEY: head})
    assert restored is not None
    assert restored.state == cell.state
    return Cell(KEEP_MS, restored.state)


def _report(cell: Cell) -> None:
    """Encode what callers and operators are told."""
    told: list[object] = [
        list(usage_lines(cell.state.account, UsageFilter())),
        list(burn_lines(cell.state)),
        [describe_end(job, {}) for job in cell.state.jobs.values()],
        cell.footprints.total,
    ]
    shown = msgspec.json.decode(msgspec.json.encode(told))
    assert 'null' not in str(shown[0])


class ExtremesTest(unittest.TestCase):
    """Sums and products of a job's figures fit, not only the figures."""

    def play(
        self,
        spec: JobSpec,
        room: int,
        series: Sequence[tuple[Ending | None, int]],
    ) -> None:
        """Let a job live in a cell whose runners say that they have a room."""
        self.assertGreater(footprint_of(spec), 0)
        scene = Scene()
        scene.fold(_logged(Submitted(spec)))
        views = [
            view(number)._replace(room=Resources(room, room, room))
            for number in range(RUNNERS)
        ]
        left = list(series)
        now_ms, number = NOW_MS, 0
        for _ in range(ROUNDS):
            decision = scene.decide(views, now_ms=now_ms)
            self.assertEqual(decision.faults, ())
            for started in decision.starts:
                scene.fold(_logged(started))
            for run in scene.cell.runs.all():
                ending, lasted_ms = left.pop() if left else (Ending.DONE, 1)
                number += 1
                now_ms = max(now_ms, run.started_ms + lasted_ms)
                scene.fold(_logged(_end(run, ending, number, now_ms)))
            scene.beat(now_ms)
            scene.cell = _restored(scene.cell)
            _report(scene.cell)
        scene.fold(_logged(Canceled('j', now_ms)))
        _report(_restored(scene.cell))

    @MANY
    @given(documents(), terms, numbers, ends)
    def test_any_job_that_is_accepted_can_be_carried_out(
        self,
        document: dict[str, Any],
        queue: QueueTerms,
        room: int,
        series: list[tuple[Ending | None, int]],
    ) -> None:
        """Whatever a runner says that it has."""
        decoded = decode_job(msgspec.json.encode(document))
        self.assertEqual(decoded.findings, ())
        assert decoded.request is not None
        payload, steps, schedule = decoded.request
        spec = JobSpec(
            'j', 'batch', 'red', payload, steps, queue, NOW_MS, schedule
        )
        self.play(spec, room, series)

    @MANY
    @given(older_specs(), st.sampled_from((*EXTREMES, 2**64 - 1)), ends)
    def test_a_job_that_an_older_door_let_in_stops_nothing(
        self,
        spec: JobSpec,
        room: int,
        series: list[tuple[Ending | None, int]],
    ) -> None:
        """The log may hold it, and the sums that it led to."""
        self.play(spec, room, series)


def _end(
    run: OpenRun, ending: Ending | None, number: int, at_ms: int
) -> Ended | Vanished:
    """Make the record that ends a run."""
    if ending is None:
        return Vanished(1, run.task, run.run, run.runner, 'lost', 'c')
    key = (run.task, run.run, ending, 'c', at_ms)
    return Ended(1, run.runner, number, *key)
