"""Tests of the operators' interface."""

import dataclasses
import json
import unittest

import anyio

from swifthoist_instance.api import Api
from tests.instance.entry import JOB, InstanceHarness, configure
from tests.instance.fakes import FakeStore, open_guard, run

_JOBS = tuple(f'{number:016x}' for number in range(20))


class FreshnessTest(unittest.TestCase):
    """Answers include everything that is on the log."""

    def test_a_question_has_the_log_read_at_once(self) -> None:
        """Without that read, answers lacked the last 0.3 s of the log."""

        async def main() -> None:
            store = FakeStore()
            configure(store)
            first, second = (
                InstanceHarness('first', store),
                InstanceHarness('second', store),
            )
            api = Api(
                second.configuration,
                second.follower,
                second.journal,
                dict,
                open_guard().submissions,
            )
            async with anyio.create_task_group() as tasks:
                first.start(tasks)
                second.start(tasks)
                await anyio.sleep(1)
                for job in _JOBS:
                    await first.call('POST', job, JOB)
                    await anyio.sleep(0.02)
                    answer = await api.answer('GET', '/v1/jobs', '', b'')
                    listed = {row['job'] for row in answer.document}
                    self.assertIn(job, listed)
                tasks.cancel_scope.cancel()

        run(main)


class NumberTest(unittest.TestCase):
    """Operators may write any number."""

    def test_a_number_that_the_log_can_not_hold_is_rejected(self) -> None:
        """It failed as the record was encoded, or the sums made of it did."""
        schedule = {'first_ms': 0, 'interval_ms': 0, 'times': 1}
        jobs = [
            {'steps': [{name: number}]}
            for name in ('cpu', 'memory', 'accelerators', 'estimate_ms')
            for number in (2**64, 2**53 + 1, -1)
        ]
        jobs.extend({'steps': [{'spread_limit': it}]} for it in (2**70, -1))
        jobs.extend(
            {'steps': [{}], 'schedule': schedule | {name: number}}
            for name in ('first_ms', 'interval_ms')
            for number in (2**64, 2**53 + 1, -1)
        )
        statuses: list[int] = []

        async def main() -> None:
            store = FakeStore()
            configure(store)
            instance = InstanceHarness('first', store)
            api = Api(
                instance.configuration,
                instance.follower,
                instance.journal,
                dict,
                open_guard().submissions,
            )
            async with anyio.create_task_group() as tasks:
                instance.start(tasks)
                await anyio.sleep(1)
                for number, job in enumerate(jobs):
                    path = f'/v1/jobs/{number:016x}'
                    content = json.dumps({'queue': 'batch', **job}).encode()
                    answer = await api.answer('POST', path, '', content)
                    statuses.append(answer.status)
                tasks.cancel_scope.cancel()

        run(main)
        self.assertEqual(statuses, [400 for _ in jobs])


class RepeatedTest(unittest.TestCase):
    """A submission without an answer is repeated by its operator."""

    def test_a_repeat_is_not_rejected_after_its_job_was_accepted(self) -> None:
        """Also if its queue has gone, or the job is not allowed any more."""

        async def main() -> None:
            store = FakeStore()
            configure(store)
            instance = InstanceHarness('first', store)
            api = Api(
                instance.configuration,
                instance.follower,
                instance.journal,
                dict,
                open_guard().submissions,
            )
            async with anyio.create_task_group() as tasks:
                instance.start(tasks)
                await anyio.sleep(1)
                path = f'/v1/jobs/{_JOBS[1]}'
                content = b'{"queue": "batch", "steps": [{"cpu": 1}]}'
                accepted = await api.answer('POST', path, '', content)
                self.assertEqual(accepted.status, 200)
                await anyio.sleep(1)
                assert instance.configuration.catalogue is not None
                instance.configuration.catalogue = dataclasses.replace(
                    instance.configuration.catalogue, queues=()
                )
                repeated = await api.answer('POST', path, '', content)
                self.assertEqual(repeated.status, 200)
                other = b'{"queue": "bulk", "steps": [{"cpu": 1}]}'
                rejected = await api.answer('POST', path, '', other)
                self.assertEqual(rejected.status, 409)
                tasks.cancel_scope.cancel()

        run(main)
