"""Tests of this version beside earlier ones."""

import signal
import tempfile
import unittest
from pathlib import Path

import anyio
import msgspec

from swifthoist_emulator.lives import StepWork
from swifthoist_emulator.site import STANDARD
from swifthoist_emulator.stage import (
    POLL_S,
    WAIT_TIMEOUT_S,
    Instance,
    Stage,
)
from swifthoist_engine.account import CARRY_MS, HeldTime, UsageTotals
from swifthoist_engine.cell import Cell
from swifthoist_engine.cell_state import CellState
from swifthoist_engine.model import TaskId
from swifthoist_engine.records import (
    Canceled,
    Claimed,
    HolderGeneration,
    Record,
    Submitted,
    encode_record,
)
from swifthoist_engine.snapshots import encode_head, restore, take_snapshot
from swifthoist_engine.suspects import give_up_records
from tests.engine.scenes import BATCH, KEEP_MS, NOW_MS, job_spec, task
from tests.engine.test_crashes import FIRST, CrashScene
from tests.system.stage import StageCase
from tests.system.versions import (
    BEFORE_CRASH_REPORTS,
    BEFORE_TASK_CRASHES,
    BEFORE_WIDE_TOTALS,
    run_in_version,
    unpack_version,
)

SMALL = StepWork(300, (4_000, 8_000, 1))
LONG = StepWork(12_000, (4_000, 8_000, 1))
CRASHING = SMALL._replace(crashes_ms=10)
FEW_RUNNERS = STANDARD._replace(runners=6)
MAX_CRASHES = 3
MAX_CHUNK_BYTES = 65_536

FOLD_ALL = """
import sys, msgspec
from swifthoist_engine.cell import Cell
from swifthoist_engine.records import decode_record
cell = Cell(60_000)
for payload in msgspec.msgpack.decode(sys.stdin.buffer.read()):
    record = decode_record(payload)
    if record is not None:
        cell.fold(record)
print(cell.find_job('j').state)
"""

RESTORE_AND_WRITE = """
import sys, msgspec
from swifthoist_engine.snapshots import encode_head, restore, take_snapshot
contents = msgspec.msgpack.decode(sys.stdin.buffer.read())
state = restore(contents).state
assert state.jobs['j'].units[0, 0, 0].last_run == 2
taken = take_snapshot(state, 7, 0, 65_536)
contents = {'snapshot/head': encode_head(taken.head), **taken.chunks}
sys.stdout.buffer.write(msgspec.msgpack.encode(contents))
"""


def write_snapshot(cell: Cell) -> bytes:
    """Encode a snapshot of a cell with all its chunks."""
    taken = take_snapshot(cell.state, 7, 0, MAX_CHUNK_BYTES)
    head = encode_head(taken.head)
    return msgspec.msgpack.encode({'snapshot/head': head, **taken.chunks})


def _only_totals(state: CellState) -> UsageTotals:
    """Return the totals of the only line of an account."""
    lines = state.account.lines
    return next(iter(lines.values()))


class _VersionCase(unittest.TestCase):
    """A test with the packages of an earlier version.

    :cvar commit: the version.
    :cvar kept_generation: generation that its snapshots keep of a holder that
        reports crashes.
    """

    commit = BEFORE_CRASH_REPORTS
    kept_generation = 0

    @classmethod
    def setUpClass(cls) -> None:
        """Unpack the earlier version."""
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.earlier = unpack_version(cls.commit, Path(folder.name))


class ContentTest(_VersionCase):
    """Records and snapshots of either version are read by the other one."""

    def setUp(self) -> None:
        """Let a task crash two runners, and note the records."""
        self.scene = CrashScene(job_spec('j', BATCH, task(count=2)))
        self.records: list[Record] = []
        fold = self.scene.cell.fold

        def note(record: Record) -> None:
            self.records.append(record)
            fold(record)

        self.scene.cell.fold = note
        for number in (1, 2):
            self.scene.start_and_crash(number, FIRST)

    def test_an_earlier_version_fails_the_job_that_is_given_up(self) -> None:
        """It skips what it doesn't know, and does not start the task again."""
        given_up = give_up_records(self.scene.job(), FIRST, 1, NOW_MS)
        begun = (
            Claimed(1, 'me', NOW_MS),
            Submitted(self.scene.job().spec),
            HolderGeneration(1, 'me', 1),
        )
        payloads = [
            encode_record(it) for it in (*begun, *self.records, *given_up)
        ]
        shown = run_in_version(
            self.earlier, FOLD_ALL, msgspec.msgpack.encode(payloads)
        )
        self.assertEqual(shown.decode().strip(), 'failed')

    def test_a_late_job_is_canceled_in_an_earlier_version_too(self) -> None:
        """It drops the cancel that comes first, and folds the repeat."""
        records = (
            Canceled('j', NOW_MS),
            Submitted(self.scene.job().spec),
            Canceled('j', NOW_MS),
        )
        payloads = list(map(encode_record, records))
        for count, state in ((2, 'queued'), (3, 'canceled')):
            shown = run_in_version(
                self.earlier, FOLD_ALL, msgspec.msgpack.encode(payloads[:count])
            )
            self.assertEqual(shown.decode().strip(), state)

    def test_snapshots_go_from_one_version_to_the_other_and_back(self) -> None:
        """The earlier version drops the crashes, and nothing else."""
        written = run_in_version(
            self.earlier, RESTORE_AND_WRITE, write_snapshot(self.scene.cell)
        )
        restored = restore(msgspec.msgpack.decode(written))
        assert restored is not None
        cell = Cell(KEEP_MS, restored.state)
        job = cell.state.jobs['j']
        unit = job.units[0, 0, 0]
        self.assertEqual((unit.last_run, unit.task_crashes), (2, {}))
        self.assertEqual(cell.state.holder_generation, self.kept_generation)

    def test_an_own_snapshot_keeps_the_crashes(self) -> None:
        """A newcomer knows the suspects."""
        written = write_snapshot(self.scene.cell)
        restored = restore(msgspec.msgpack.decode(written))
        assert restored is not None
        cell = Cell(KEEP_MS, restored.state)
        self.assertEqual(cell.suspects, {'j'})
        job = cell.state.jobs['j']
        crashes = self.scene.crashes(FIRST)
        self.assertEqual(len(crashes), 2)
        self.assertEqual(job.units[0, 0, 0].task_crashes, {0: crashes})


class _ReplacementCase(_VersionCase, StageCase):
    """A test with instances of both versions side by side."""

    async def replace(
        self, stage: Stage, instance: Instance, import_path: str
    ) -> None:
        """Stop an instance, and start it in another version."""
        instance.send(signal.SIGTERM)
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while instance.popen is None or instance.popen.poll() is None:
                await anyio.sleep(POLL_S)
        instance.import_path = import_path
        instance.start()
        await stage.wait_ready(instance)

    def play_takeover(self) -> None:
        """Replace one old instance; it takes the cell over, and stays."""

        async def scenario(stage: Stage) -> None:
            await self.replace(stage, stage.instances[2], '')
            await anyio.sleep(4)
            holder = await stage.holder()
            self.assertIs(holder, stage.instances[2])
            began = [it for it in holder.lines() if '"term begins"' in it]
            self.assertEqual(len(began), 1)

        self.run_scenario(scenario, site=FEW_RUNNERS, prepare=self.begin_old)

    def begin_old(self, stage: Stage) -> None:
        """Let all instances begin in the earlier version."""
        for instance in stage.instances:
            instance.import_path = self.earlier


class ReplacementTest(_ReplacementCase):
    """Instances of both versions run side by side during an upgrade."""

    def test_an_upgrade_under_load_gives_crashing_tasks_up(self) -> None:
        """The first new instance takes the cell over from an old holder."""

        async def scenario(stage: Stage) -> None:
            lasting = [stage.order('/bulk/', LONG, width=4) for _ in range(2)]
            crashing = stage.order('/batch/', CRASHING)
            for order in (*lasting, crashing):
                await stage.caller.submit(order)
            for instance in stage.instances:
                await self.replace(stage, instance, '')
                order = stage.order('/batch/', SMALL, width=3)
                await stage.caller.submit(order)
                await stage.wait_state(order, 'complete')
            for order in lasting:
                await stage.wait_state(order, 'complete')
            await stage.wait_state(crashing, 'failed')

        self.run_scenario(scenario, site=FEW_RUNNERS, prepare=self.begin_old)

    def test_a_rollback_under_load_starts_no_task_that_was_given_up(
        self,
    ) -> None:
        """Old instances show its job as failed, too."""

        async def scenario(stage: Stage) -> None:
            crashing = stage.order('/batch/', CRASHING)
            await stage.caller.submit(crashing)
            await stage.wait_state(crashing, 'failed')
            starts = stage.world.checker.starts
            for instance in stage.instances:
                await self.replace(stage, instance, self.earlier)
            await anyio.sleep(2)
            self.assertEqual(stage.world.checker.starts, starts)
            await stage.wait_state(crashing, 'failed')
            order = stage.order('/batch/', SMALL, width=3)
            await stage.caller.submit(order)
            await stage.wait_state(order, 'complete')
            task_id = TaskId(crashing.job, 0, 0, 0)
            crashes = stage.world.checker.crashes[task_id]
            self.assertLessEqual(crashes, MAX_CRASHES)

        self.run_scenario(scenario, site=FEW_RUNNERS)

    def test_a_new_instance_takes_over_from_an_old_holder_once(self) -> None:
        """It stays the holder while old instances run beside it."""
        self.play_takeover()


class ContentBeforeTaskCrashesTest(ContentTest):
    """The same with the version that counts crashes for gangs as a whole."""

    commit = BEFORE_TASK_CRASHES
    kept_generation = 1


class ReplacementBeforeTaskCrashesTest(ReplacementTest):
    """The same with the version that counts crashes for gangs as a whole."""

    commit = BEFORE_TASK_CRASHES


class BeforeWideTotalsTest(_ReplacementCase):
    """The version that stands still once a total needs over 64 bits."""

    commit = BEFORE_WIDE_TOTALS

    def test_a_cell_that_stands_still_under_an_old_holder_goes_on(self) -> None:
        """Its heartbeats went on, so that no new instance took it over."""
        self.play_takeover()

    def test_an_earlier_version_reads_totals_of_any_size(self) -> None:
        """It keeps the jobs, and drops what is carried."""
        scene = CrashScene(job_spec('j', BATCH, task(count=2)))
        for number in (1, 2):
            scene.start_and_crash(number, FIRST)
        totals = _only_totals(scene.cell.state)
        totals.add_held(HeldTime(3 * CARRY_MS + 5, 0, 0))
        written = run_in_version(
            self.earlier, RESTORE_AND_WRITE, write_snapshot(scene.cell)
        )
        restored = restore(msgspec.msgpack.decode(written))
        assert restored is not None
        shown = _only_totals(restored.state)
        self.assertEqual(totals.held.used_ms - shown.used_ms, 3 * CARRY_MS)
        self.assertEqual(shown.used_carry, 0)
        self.assertEqual(restored.state.jobs, scene.cell.state.jobs)
