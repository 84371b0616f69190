"""Tests of evacuation requests and of pending orders during one."""

import unittest
from types import SimpleNamespace
from typing import cast
from unittest import mock

import anyio

from swifthoist_core.errors import OutcomeUnknownError
from swifthoist_engine.evacuation import MAX_AGE_SHARE
from swifthoist_engine.model import TaskId, UnitId
from swifthoist_instance import orders
from swifthoist_instance.configuration import Configuration
from swifthoist_instance.contacts import Contact
from swifthoist_instance.evacuations import EvacuationRequests, ZoneGate
from swifthoist_instance.lives import PendingStarts
from swifthoist_instance.presence import Presence
from swifthoist_instance.run_lines import RunLines
from swifthoist_platform.runner_calls import (
    OrderAnswer,
    OrderResult,
    StartOrder,
)
from swifthoist_platform.store import EVACUATION_PREFIX, OPERATOR_TOPIC
from tests.engine.scenes import BATCH, ROOM, Scene, job_spec, task
from tests.instance.entry import configure
from tests.instance.fakes import FakeStore, LoopClock, run

BOUND_MS = 5_000


def _publish_request(
    store: FakeStore, zone: str, content: bytes = b'{}'
) -> None:
    store.publish(OPERATOR_TOPIC, f'{EVACUATION_PREFIX}{zone}', content)


class RequestTest(unittest.TestCase):
    """Requests are read from the operator's topic."""

    def test_requests_are_taken_and_taken_back(self) -> None:
        """From a listing, from the log, and from a listing after a gap."""

        async def main() -> None:
            store = FakeStore()
            configure(store)
            _publish_request(store, 'a')
            configuration = Configuration(store, LoopClock(), lambda: BOUND_MS)
            requested = configuration.requests.since
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(configuration.run)
                await anyio.sleep(2)
                self.assertEqual(set(requested), {'a'})
                _publish_request(store, 'b')
                _publish_request(store, 'a', b'')
                await anyio.sleep(2)
                self.assertEqual(set(requested), {'b'})
                store.refuses = True
                await anyio.sleep(1)
                _publish_request(store, 'b', b'')
                _publish_request(store, 'c', b'no document')
                topic = store.topic(OPERATOR_TOPIC)
                topic.forget(topic.end)
                store.refuses = False
                await anyio.sleep(2)
                self.assertEqual(set(requested), {'c'})
                tasks.cancel_scope.cancel()

        run(main)

    def test_the_time_of_a_request_is_that_of_its_first_read(self) -> None:
        """A request that is written again is the same evacuation."""

        async def main() -> None:
            requests = EvacuationRequests(LoopClock())
            requests.begin('a')
            await anyio.sleep(3)
            requests.begin('a')
            self.assertEqual(requests.since, {'a': 0})

        run(main)


class _Client:
    """A runner that leaves starts unanswered and accepts stops."""

    def __init__(self) -> None:
        self.starts = 0
        self.stops = 0

    async def start(self, _: StartOrder, wait_s: float) -> OrderAnswer:
        """Give no answer."""
        self.starts += 1
        await anyio.sleep(wait_s)
        raise OutcomeUnknownError('no answer')

    async def stop(self, *_: object) -> OrderAnswer:
        """Accept the stop."""
        self.stops += 1
        return OrderAnswer(OrderResult.TAKEN, 1)


class OrderTest(unittest.TestCase):
    """Orders that are pending when an evacuation begins."""

    def setUp(self) -> None:
        """Record a run whose start has not been sent yet."""
        scene = Scene(job_spec('j', BATCH, task()))
        scene.start(UnitId('j', 0, 0, 0), 'r')
        recorded = scene.cell.find_run(TaskId('j', 0, 0, 0), 1)
        assert recorded is not None
        self.open_run = recorded
        self.client = _Client()
        self.requests = EvacuationRequests(LoopClock())
        self.age_ms = 0
        context = SimpleNamespace(
            cell=scene.cell,
            clock=LoopClock(),
            epoch=1,
            zones=ZoneGate(
                self.requests, lambda: self.age_ms, lambda: BOUND_MS
            ),
            lines=RunLines(scene.cell, LoopClock()),
            follower=SimpleNamespace(wait_progress=anyio.sleep_forever),
        )
        self.contact = SimpleNamespace(
            registration=SimpleNamespace(zone='a', service='pool', room=ROOM),
            client=self.client,
            context=context,
            silent=False,
            lease=SimpleNamespace(next_expiry=lambda now_ms: now_ms + 1),
            active=lambda: True,
            pending_starts=PendingStarts(LoopClock()),
            presence=Presence(),
            note_answer=mock.Mock(return_value=True),
            note_no_answer=mock.Mock(),
        )

    def test_a_start_without_an_answer_is_not_sent_again(self) -> None:
        """A stop is sent instead, so that a late start has no effect.

        Without that the start was sent again every 0.15 s.
        """

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                self._orders(tasks).start(self.open_run, '')
                await anyio.sleep(0.1)
                self.requests.begin('a')
                await anyio.sleep(5)
                tasks.cancel_scope.cancel()

        run(main)
        self.assertEqual((self.client.starts, self.client.stops), (1, 1))

    def test_a_start_that_was_never_sent_is_given_up(self) -> None:
        """The run is recorded as vanished instead.

        Its record was folded before the evacuation was known.
        """
        vanish = mock.AsyncMock(return_value=True)

        async def main() -> None:
            self.requests.begin('a')
            async with anyio.create_task_group() as tasks:
                self._orders(tasks).start(self.open_run, '')
                await anyio.sleep(5)
                tasks.cancel_scope.cancel()

        with mock.patch.object(orders, 'record_vanished', vanish):
            run(main)
        self.assertEqual((self.client.starts, self.client.stops), (0, 0))
        vanish.assert_awaited_once()

    def test_a_start_waits_while_requests_are_unread(self) -> None:
        """Its zone may be evacuated; the start is sent after the next read."""

        async def main() -> None:
            self.age_ms = int(MAX_AGE_SHARE * BOUND_MS)
            async with anyio.create_task_group() as tasks:
                self._orders(tasks).start(self.open_run, '')
                await anyio.sleep(5)
                self.assertEqual(self.client.starts, 0)
                self.age_ms = 100
                await anyio.sleep(0.5)
                self.assertEqual(self.client.starts, 1)
                tasks.cancel_scope.cancel()

        run(main)

    def _orders(self, tasks: anyio.abc.TaskGroup) -> orders.Orders:
        return orders.Orders(cast(Contact, self.contact), tasks)


if __name__ == '__main__':
    unittest.main()
