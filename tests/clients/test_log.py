"""Tests of the client of the log against its stand-in."""

import anyio
import httpx

from swifthoist_core.clock import SystemClock
from swifthoist_core.errors import (
    InvalidInputError,
    LogExpiredError,
    LogUnavailableError,
    OutcomeUnknownError,
)
from swifthoist_platform.log import (
    APPEND_LIMIT,
    RECORD_LIMIT,
    Bounds,
    LogClient,
)
from swifthoist_standins.log import build_log
from swifthoist_standins.server import address_of, listen
from swifthoist_standins.streams import Retention
from tests.loopback import (
    HASTY_S,
    LONG_MS,
    PATIENT_S,
    LoopbackTest,
    Target,
    scene,
)


def _batch(number: int) -> list[bytes]:
    return [bytes((number, index)) for index in range(5)]


class LogTest(LoopbackTest):
    """Base: a log without records."""

    def build(self):
        """Build the log."""
        return build_log(SystemClock(), Retention())

    async def read_all(self, target: Target, wait_s: float = 0) -> list[bytes]:
        """Read the records of the ledger over a fresh connection."""
        async with httpx.AsyncClient(trust_env=False) as http:
            log = LogClient(http, target.url, PATIENT_S)
            entries = await log.read('ledger', 0, 100, wait_s)
        return [entry.payload for entry in entries]


class AppendTest(LogTest):
    """Appends are whole and in order."""

    @scene
    async def test_batches_of_many_writers_never_mix(self, target):
        """The records of one append stand next to each other."""
        log = LogClient(target.http, target.url)

        async def write(number: int) -> None:
            offset = await log.append('ledger', _batch(number), PATIENT_S)
            self.assertEqual(offset % 5, 0)

        async with anyio.create_task_group() as group:
            for number in range(8):
                group.start_soon(write, number)
        payloads = await self.read_all(target)
        batches = [payloads[at : at + 5] for at in range(0, 40, 5)]
        written = [_batch(number) for number in range(8)]
        self.assertEqual(sorted(batches), written)

    @scene
    async def test_a_read_in_vain_is_empty(self, target):
        """There is nothing beyond the end."""
        log = LogClient(target.http, target.url)
        await log.append('ledger', [b'one'], PATIENT_S)
        self.assertEqual(await log.read('ledger', 1, 10, 0.01), ())

    @scene
    async def test_records_over_the_limits_are_refused_at_both_ends(
        self, target
    ):
        """The client sends nothing, and the log answers 413."""
        log = LogClient(target.http, target.url)
        full = bytes(RECORD_LIMIT)
        for payloads in ([full + b'x'], [full, full, b'x'], []):
            with self.assertRaises(InvalidInputError):
                await log.append('ledger', payloads, PATIENT_S)
        url = f'{target.url}/log/ledger'
        reply = await target.http.post(url, content=bytes(2 * APPEND_LIMIT))
        self.assertEqual(reply.status_code, 413)
        await log.append('ledger', [full, full], PATIENT_S)
        self.assertEqual(await log.bounds('ledger'), Bounds(0, 2))


class LogFaultTest(LogTest):
    """Errors say whether the append took effect."""

    @scene
    async def test_a_log_that_is_down_appends_nothing_and_says_so(self, target):
        """Appends and reads fail with the error for "not applied"."""
        log = LogClient(target.http, target.url)
        await target.fault(down_ms=LONG_MS)
        with self.assertRaises(LogUnavailableError):
            await log.append('ledger', [b'one'], PATIENT_S)
        with self.assertRaises(LogUnavailableError):
            await log.read('ledger', 0, 1, 0)
        await target.fault(down_ms=0)
        self.assertEqual(await log.bounds('ledger'), Bounds(0, 0))

    def test_a_log_that_is_not_there_appends_nothing(self) -> None:
        """A refused connection is no unknown outcome."""

        async def scene() -> None:
            sock = listen('127.0.0.1', 0)
            url = f'http://{address_of(sock)}'
            sock.close()
            async with httpx.AsyncClient(trust_env=False) as http:
                with self.assertRaises(LogUnavailableError):
                    await LogClient(http, url).append('x', [b'one'], PATIENT_S)

        anyio.run(scene)

    @scene
    async def test_a_lost_reply_is_an_unknown_outcome(self, target):
        """The record is there, and the next append works again."""
        log = LogClient(target.http, target.url)
        await target.fault(lose_next_replies=1)
        with self.assertRaises(OutcomeUnknownError):
            await log.append('ledger', [b'one'], PATIENT_S)
        self.assertEqual(await self.read_all(target), [b'one'])
        offset = await log.append('ledger', [b'two'], PATIENT_S)
        self.assertEqual(offset, 1)

    @scene
    async def test_a_late_reply_is_an_unknown_outcome(self, target):
        """The append took effect before the reply was late."""
        log = LogClient(target.http, target.url)
        await log.bounds('ledger')
        await target.fault(late_ms=LONG_MS)
        with self.assertRaises(OutcomeUnknownError):
            await log.append('ledger', [b'one'], HASTY_S)
        await target.fault(late_ms=0)
        self.assertEqual(await self.read_all(target, PATIENT_S), [b'one'])

    def test_a_call_does_not_outlive_its_listener(self) -> None:
        """The server has nothing to break off when it stops."""

        async def leave_open(_: object, target: Target) -> None:
            log = LogClient(target.http, target.url)
            await log.bounds('ledger')
            await target.fault(late_ms=LONG_MS)
            with self.assertRaises(OutcomeUnknownError):
                await log.append('ledger', [b'one'], HASTY_S)

        with self.assertNoLogs('asyncio', 'ERROR'):
            scene(leave_open)(self)

    @scene
    async def test_a_slow_log_is_an_unknown_outcome_too(self, target):
        """The append may still come, so it is not said to be refused."""
        log = LogClient(target.http, target.url)
        await log.bounds('ledger')
        await target.fault(slow_ms=LONG_MS)
        with self.assertRaises(OutcomeUnknownError):
            await log.append('ledger', [b'one'], HASTY_S)
        await target.fault(slow_ms=0)
        self.assertEqual(await self.read_all(target), [])

    @scene
    async def test_a_truncated_reply_is_never_taken_for_whole(self, target):
        """An append is unknown, and a read gives no half records."""
        log = LogClient(target.http, target.url)
        await target.fault(truncate=True)
        with self.assertRaises(OutcomeUnknownError):
            await log.append('ledger', [b'one'], PATIENT_S)
        with self.assertRaises(LogUnavailableError):
            await log.read('ledger', 0, 10, 0)

    @scene
    async def test_expired_records_are_told_with_the_oldest_offset(
        self, target
    ):
        """The reader learns from where it can read on."""
        log = LogClient(target.http, target.url)
        await log.append('ledger', [b'one', b'two', b'three'], PATIENT_S)
        await target.fault(expire_before=2)
        with self.assertRaises(LogExpiredError) as caught:
            await log.read('ledger', 0, 10, 0)
        self.assertEqual(caught.exception.earliest, 2)
        entries = await log.read('ledger', 2, 10, 0)
        self.assertEqual([entry.offset for entry in entries], [2])

    @scene
    async def test_an_old_connection_goes_silent_while_new_ones_work(
        self, target
    ):
        """And it stays silent, for calls that come later too."""
        log = LogClient(target.http, target.url, HASTY_S)
        await log.append('ledger', [b'one'], PATIENT_S)
        await target.fault(silence_connections=True)
        with self.assertRaises(OutcomeUnknownError):
            await log.append('ledger', [b'two'], HASTY_S)
        self.assertEqual(await self.read_all(target), [b'one'])

    @scene
    async def test_a_paused_log_serves_what_has_waited_when_it_wakes(
        self, target
    ):
        """The caller gave up, and the append takes effect all the same."""
        await self.append_while_paused(target)
        await target.fault(paused_ms=0)
        self.assertEqual(await self.read_all(target, PATIENT_S), [b'one'])

    @scene
    async def test_a_paused_log_does_nothing_until_it_wakes(self, target):
        """When it wakes up to be down, nothing was appended."""
        await self.append_while_paused(target)
        await target.fault(paused_ms=0, down_ms=LONG_MS)
        await target.fault(down_ms=0)
        self.assertEqual(await self.read_all(target), [])

    async def append_while_paused(self, target):
        """Append to a log that does not answer."""
        log = LogClient(target.http, target.url)
        await log.bounds('ledger')
        await target.fault(paused_ms=LONG_MS)
        with self.assertRaises(OutcomeUnknownError):
            await log.append('ledger', [b'one'], HASTY_S)
