"""Tests of the orders to a runner."""

import unittest
from collections.abc import Sequence
from typing import cast

import anyio

from swifthoist_core.errors import OutcomeUnknownError
from swifthoist_engine.cell import Cell
from swifthoist_engine.crash_records import (
    RunnerCrashed,
)
from swifthoist_engine.model import TaskId, UnitId
from swifthoist_engine.records import (
    Record,
    Vanished,
)
from swifthoist_instance.contacts import Contact
from swifthoist_instance.context import TenureContext
from swifthoist_instance.crash_counts import CrashCounts
from swifthoist_instance.evacuations import EvacuationRequests, ZoneGate
from swifthoist_instance.late_starts import LateStarts
from swifthoist_instance.leases import Lease
from swifthoist_instance.notifier import Notifier
from swifthoist_instance.orders import Orders
from swifthoist_platform.documents import unregistered_runner
from swifthoist_platform.runner_calls import (
    OrderResult,
    PollReply,
    RunnerClient,
)
from tests.engine.scenes import BATCH, Scene, job_spec, task
from tests.instance.fakes import LoopClock, run

LEASE_MS = 8_000
CALL_S = 0.5
TASK = TaskId('j', 0, 0, 0)


class _Runner:
    """A runner that answers nothing until it is up."""

    def __init__(self) -> None:
        self.up = False
        self.starts = 0
        self.result = OrderResult.TAKEN

    async def poll(self, *_: object) -> PollReply:
        """Answer without any run."""
        if not self.up:
            await anyio.sleep(CALL_S)
            raise OutcomeUnknownError('no answer')
        return PollReply(self.result, 1)

    async def start(self, *_: object) -> None:
        """Count a start; its answer is lost."""
        self.starts += 1
        await anyio.sleep(CALL_S)
        raise OutcomeUnknownError('no answer')


class _Context:
    """The part of a tenure that orders use."""

    epoch = 1

    def __init__(self, cell: Cell) -> None:
        self.cell = cell
        self.clock = LoopClock()
        self.crashes = CrashCounts()
        self.late_starts = LateStarts(cell, self.clock)
        self.zones = ZoneGate(
            EvacuationRequests(self.clock), self.clock.boot_ms, lambda: None
        )

        self.journal = self
        self.follower = self
        self.wake = Notifier()

    async def append(self, records: Sequence[Record], _: float) -> int:
        """Fold records at once."""
        for record in records:
            self.cell.fold(record)
        return 0

    async def wait_folded(self, *_: object) -> bool:
        """Return that the records are folded."""
        return True

    def may_act(self) -> bool:
        """Return whether the tenure is in force."""
        return True


class SuspectedStartTest(unittest.TestCase):
    """A start that may be blamed for the next crash needs a runner that is up."""

    def setUp(self) -> None:
        """Submit a job of one task, to a runner that does not answer."""
        self.scene = Scene(job_spec('j', BATCH, task()))
        self.runner = _Runner()

    def _crash_once(self) -> None:
        self.scene.start(UnitId(*TASK), 'old')
        self.scene.fold(
            RunnerCrashed(1, 'old', 'm', ((TASK, 1),), (), True, 1),
            Vanished(1, TASK, 1, 'old', 'gone'),
        )

    def _order(self, number: int) -> tuple[list[int], list[bool]]:
        """Return what was sent while the runner was down, and later."""
        self.scene.start(UnitId(*TASK), 'r', run=number)
        open_run = self.scene.cell.find_run(TASK, number)
        assert open_run is not None
        counts: list[int] = []
        began: list[bool] = []

        async def main() -> None:
            context = _Context(self.scene.cell)
            contact = Contact(
                unregistered_runner('r', 'runner:1'),
                cast(RunnerClient, self.runner),
                Lease(LEASE_MS, LEASE_MS),
                cast(TenureContext, context),
            )
            contact.note_clock(1)
            async with anyio.create_task_group() as tasks:
                orders = Orders(contact, tasks)
                orders.start(open_run, '')
                for up in (False, True):
                    self.runner.up = up
                    await anyio.sleep(CALL_S * 2.5)
                    counts.append(self.runner.starts)
                    began.append(orders.starts.may_have_begun(open_run))
                tasks.cancel_scope.cancel()

        run(main)
        return counts, began

    def test_a_suspected_run_is_not_sent_to_a_runner_that_is_down(self) -> None:
        """It would be blamed for a crash that was before it."""
        self._crash_once()
        counts, began = self._order(2)
        self.assertEqual((counts[0], began[0]), (0, False))
        self.assertEqual((counts[1] > 0, began[1]), (True, True))

    def test_an_unhealthy_runner_is_up(self) -> None:
        """It rejects the start, which then goes elsewhere."""
        self._crash_once()
        self.runner.result = OrderResult.UNHEALTHY
        counts, _ = self._order(2)
        self.assertEqual((counts[0], counts[1] > 0), (0, True))

    def test_other_runs_are_sent_at_once(self) -> None:
        """They don't wait for another answer."""
        counts, began = self._order(1)
        self.assertEqual((counts[0] > 0, began[0]), (True, True))
