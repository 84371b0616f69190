"""Tests of the operators' interface."""

import unittest

import anyio

from swifthoist_instance.api import Api
from tests.instance.entry import JOB, InstanceHarness, configure
from tests.instance.fakes import FakeStore, run

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
