"""Tests of single connections to a real process."""

from swifthoist_emulator.callers import write_job
from swifthoist_emulator.crowds import head_of
from swifthoist_emulator.lives import StepWork
from swifthoist_emulator.stage import Stage
from tests.streams import connect, receive_all
from tests.system.stage import StageCase

SMALL = StepWork(300, (4_000, 8_000, 1))


class HalfClosedTest(StageCase):
    """A caller may end its own side behind its request."""

    def test_a_caller_that_ends_its_own_side_gets_its_answers(self) -> None:
        """To a job that has to be recorded first, and to a question."""

        async def scenario(stage: Stage) -> None:
            address = stage.instances[0].callers
            order = stage.order('/batch/', SMALL)
            path = f'/batch/{order.job}'
            body = write_job(order)
            line = f'Content-Length: {len(body)}'
            submission = head_of('POST', path, order.key, line) + body
            for request in (submission, head_of('GET', path, order.key)):
                found = await _ask(address, request)
                self.assertTrue(found.startswith(b'HTTP/1.1 200 '), found)

        self.run_scenario(scenario, instances=1)


async def _ask(address: str, request: bytes) -> bytes:
    """Send a request, end the sending side, and receive until the end."""
    async with await connect(address) as stream:
        await stream.send(request)
        await stream.send_eof()
        return await receive_all(stream)
