"""Tests of calls whose outcome is unknown."""

import unittest

import anyio

from swifthoist_instance.messages import Call
from swifthoist_instance.open_calls import KEEP_MS, MAX_CALLS, OpenCalls
from tests.instance.fakes import LoopClock, run

CALL = Call('POST', 'host', '/batch/1', 'key-red', 3, b'')


class OpenCallsTest(unittest.TestCase):
    """A bounded number of calls is remembered for a bounded time."""

    def test_a_repeat_is_the_same_call_and_another_method_is_not(self) -> None:
        """A key or body may differ between attempts."""

        async def main() -> None:
            calls = OpenCalls(LoopClock())
            calls.note(CALL)
            self.assertIn(CALL._replace(key='key-blue', relayed=True), calls)
            self.assertNotIn(CALL._replace(method='DELETE'), calls)
            await anyio.sleep(KEEP_MS / 1_000)
            self.assertNotIn(CALL, calls)

        run(main)

    def test_the_newest_calls_are_kept(self) -> None:
        """One that is noted again counts as new."""

        async def main() -> None:
            calls = OpenCalls(LoopClock())
            for number in range(MAX_CALLS):
                calls.note(CALL._replace(path=f'/batch/{number}'))
            calls.note(CALL._replace(path='/batch/0'))
            calls.note(CALL._replace(path='/batch/new'))
            self.assertIn(CALL._replace(path='/batch/0'), calls)
            self.assertNotIn(CALL._replace(path='/batch/1'), calls)

        run(main)
