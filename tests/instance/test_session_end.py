"""Tests of the end of a session with a runner."""

import unittest
from typing import cast

import anyio

from swifthoist_core.errors import (
    OutcomeUnknownError,
    SwifthoistError,
    UnreachableError,
)
from swifthoist_engine.cell import Cell
from swifthoist_engine.model import Resources, TaskId, UnitId
from swifthoist_instance.contacts import Contact
from swifthoist_instance.context import TenureContext
from swifthoist_instance.crash_counts import CrashCounts
from swifthoist_instance.evacuations import EvacuationRequests, ZoneGate
from swifthoist_instance.late_starts import LateStarts
from swifthoist_instance.leases import Lease
from swifthoist_instance.orders import Orders
from swifthoist_instance.run_lines import RunLines
from swifthoist_instance.sessions import Session
from swifthoist_platform.documents import unregistered_runner
from swifthoist_platform.runner_calls import (
    OrderAnswer,
    OrderResult,
    RunnerClient,
)
from tests.engine.scenes import BATCH, Scene, job_spec, task
from tests.instance.fakes import LoopClock, run

ANSWER_S = 1.0
LEASE_MS = 8_000


class _UnresponsiveClient:
    """A runner that answers no poll, and fails a start after a delay."""

    def __init__(self) -> None:
        self.orders = 0

    async def poll(self, *_: object) -> None:
        """Fail after a short delay."""
        await anyio.sleep(ANSWER_S / 10)
        raise UnreachableError('no runner')

    async def start(self, *_: object) -> None:
        """Keep the order pending, even when its caller is cancelled."""
        self.orders += 1
        with anyio.CancelScope(shield=True):
            await anyio.sleep(ANSWER_S)
        raise OutcomeUnknownError('no answer')

    async def close(self) -> None:
        """Do nothing; no connection is open."""


class _AnsweringClient(_UnresponsiveClient):
    """A runner that ends starts in one way after another, after a delay."""

    def __init__(self, *endings: SwifthoistError | OrderResult) -> None:
        super().__init__()
        self.endings = list(endings)

    async def start(self, *_: object) -> OrderAnswer:
        """End in the next way."""
        await anyio.sleep(ANSWER_S)
        ending = self.endings.pop(0)
        if isinstance(ending, SwifthoistError):
            raise ending
        return OrderAnswer(ending, 1)


class _FakeContext:
    """The part of a tenure that a session uses."""

    epoch = 1

    def __init__(self, cell: Cell) -> None:
        self.cell = cell
        self.clock = LoopClock()
        self.crashes = CrashCounts()
        self.late_starts = LateStarts(cell, self.clock)
        self.in_force = True
        self.lines = RunLines(cell, self.clock)
        self.zones = ZoneGate(
            EvacuationRequests(self.clock), self.clock.boot_ms, lambda: None
        )

    def may_act(self) -> bool:
        """Return whether the tenure is in force."""
        return self.in_force


def _make_contact(context: _FakeContext, client: object) -> Contact:
    contact = Contact(
        unregistered_runner('r', 'runner:1'),
        cast(RunnerClient, client),
        Lease(LEASE_MS, LEASE_MS),
        cast(TenureContext, context),
    )
    contact.note_clock(1)
    return contact


class StartUnderWayTest(unittest.TestCase):
    """A start may have begun unless its runner says otherwise."""

    def begun(
        self, *endings: SwifthoistError | OrderResult
    ) -> list[tuple[bool, bool]]:
        """Return for each attempt whether the run may have begun.

        :param endings: how the attempts to start it end.
        :returns: what is told during each attempt, and after it.
        """
        scene = Scene(job_spec('j', BATCH, task(Resources(1, 1, 1))))
        scene.start(UnitId('j', 0, 0, 0), 'r')
        order = scene.cell.find_run(TaskId('j', 0, 0, 0), 1)
        assert order is not None
        scene.cell.runs.take_unsent()
        found: list[tuple[bool, bool]] = []

        async def main() -> None:
            context = _FakeContext(scene.cell)
            contact = _make_contact(context, _AnsweringClient(*endings))
            async with anyio.create_task_group() as tasks:
                orders = Orders(contact, tasks)
                starts = orders.starts
                starts.note_ordered((order.task, order.run))
                for _ in endings:
                    tasks.start_soon(orders._try_start, order, '')
                    await anyio.sleep(ANSWER_S / 2)
                    before = starts.may_have_begun(order)
                    await anyio.sleep(ANSWER_S)
                    found.append((before, starts.may_have_begun(order)))

        run(main)
        return found

    def test_a_start_under_way_counts_when_its_runner_crashes(self) -> None:
        """The runner may have crashed by it before the call got its answer."""
        for ending in (UnreachableError('no'), OrderResult.NO_ROOM):
            self.assertEqual(self.begun(ending), [(True, False)])

    def test_a_refusal_does_not_tell_of_an_earlier_attempt(self) -> None:
        """That one got no answer, and may be carried out."""
        unknown = OutcomeUnknownError('no answer')
        found = self.begun(unknown, OrderResult.NO_ROOM)
        self.assertEqual(found, [(True, True), (True, True)])


class SessionEndTest(unittest.TestCase):
    """A session that is ending accepts no more orders."""

    def test_a_start_is_not_taken_while_the_session_ends(self) -> None:
        """It would be lost, or started in a task group that has closed."""
        scene = Scene(job_spec('j', BATCH, task(Resources(1, 1, 1))))
        scene.start(UnitId('j', 0, 0, 0), 'r')
        order = scene.cell.find_run(TaskId('j', 0, 0, 0), 1)
        assert order is not None

        async def main() -> None:
            context = _FakeContext(scene.cell)
            client = _UnresponsiveClient()
            contact = _make_contact(context, client)
            session = Session(contact)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(session.run)
                await anyio.sleep(ANSWER_S / 20)
                self.assertTrue(session.start(order, ''))
                await anyio.sleep(ANSWER_S / 20)
                self.assertEqual(client.orders, 1)
                context.in_force = False
                await anyio.sleep(ANSWER_S / 2)
                self.assertFalse(session.start(order, ''))

        run(main)
