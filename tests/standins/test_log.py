"""Tests of the log's stand-in without a network."""

import unittest

import anyio
import trio.testing

from swifthoist_core.clock import ManualClock
from swifthoist_core.errors import LogExpiredError
from swifthoist_platform.log import Bounds
from swifthoist_standins.log import LogService
from swifthoist_standins.streams import REPLY_BYTES, Retention, Stream


class StreamTest(unittest.TestCase):
    """A stream orders records and forgets the oldest."""

    def test_time_never_goes_back(self) -> None:
        """Not even when the clock does."""
        stream = Stream(Retention())
        for now_ms in (50, 20, 60):
            stream.append([b'x'], now_ms)
        times = [entry.time_ms for entry in stream.read(0, 10)]
        self.assertEqual(times, [50, 50, 60])

    def test_records_over_any_limit_are_forgotten(self) -> None:
        """By number, by age and by size; offsets go on."""
        limits = (
            Retention(records=2),
            Retention(age_ms=5),
            Retention(size_bytes=9),
        )
        for limit, earliest in zip(limits, (2, 3, 1), strict=True):
            stream = Stream(limit)
            for now_ms in (0, 1, 2):
                stream.append([b'abc'], now_ms)
            stream.append([b'def'], 8)
            self.assertEqual(stream.bounds, Bounds(earliest, 4))
            with self.assertRaises(LogExpiredError):
                stream.read(earliest - 1, 1)

    def test_a_reply_is_bounded_but_never_empty(self) -> None:
        """A record of any size gets through."""
        stream = Stream(Retention())
        stream.append([bytes(REPLY_BYTES + 1), b'x'], 0)
        self.assertEqual(len(stream.read(0, 10)), 1)


class LogServiceTest(unittest.TestCase):
    """Reads wait for records."""

    def test_a_waiting_reader_wakes_at_the_append(self) -> None:
        """It does not sit out its wait."""

        async def scene() -> None:
            service = LogService(ManualClock(), Retention())

            async def append_later() -> None:
                await anyio.sleep(1)
                service.append('ledger', [b'late'])

            async with anyio.create_task_group() as group:
                group.start_soon(append_later)
                found = await service.read('ledger', 0, 10, 60_000)
            self.assertEqual(len(found), 1)
            self.assertLess(trio.current_time(), 2)

        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(scene, clock=clock)
