"""Tests of sessions with runners."""

import unittest
from types import SimpleNamespace

import anyio
from anyio.lowlevel import checkpoint

from swifthoist_engine.cell import Cell
from swifthoist_engine.jobs import OpenRun
from swifthoist_engine.model import TaskId
from swifthoist_instance.orders import Orders
from swifthoist_instance.sessions import Session
from tests.instance.fakes import LoopClock, run

RUN = OpenRun(TaskId('j', 0, 0, 0), 1, 'runner', 1, 0)


class _FakeContact:
    """A runner that is served while the tenure is in force."""

    gone = False
    closed = False
    in_force = True
    runner = 'runner'

    def __init__(self) -> None:
        """Create a contact whose tenure is in force."""
        self.client = self
        self.context = SimpleNamespace(
            may_act=self.active, clock=LoopClock(), cell=Cell(1_000)
        )

    def active(self) -> bool:
        """Return whether the tenure is in force."""
        return self.in_force

    async def close(self) -> None:
        """Do nothing; no connection is open."""


class _IdleSession(Session):
    """A session whose polls show nothing."""

    async def _look_or_close(self, _: Orders) -> None:
        await checkpoint()


class EndTest(unittest.TestCase):
    """A session ends with its tenure."""

    def test_no_start_is_taken_while_the_session_ends(self) -> None:
        """Its task group has closed by then.

        A start there raises an error, which would end the tenure.
        """
        taken: list[bool] = []

        async def main() -> None:
            contact = _FakeContact()
            session = _IdleSession(contact)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(session.run)
                for _ in range(5):
                    await checkpoint()
                contact.in_force = False
                for _ in range(20):
                    taken.append(session.start(RUN, ''))
                    session.stop(RUN, 'preempted')
                    await checkpoint()

        run(main)
        self.assertEqual(set(taken), {False})
