"""Tests of requests that are recorded here or through another instance."""

import unittest
from collections.abc import Awaitable, Callable

import anyio
import anyio.lowlevel

from swifthoist_core.errors import (
    LogUnavailableError,
    OutcomeUnknownError,
    SwifthoistError,
)
from swifthoist_core.types import Offset
from swifthoist_engine.records import Canceled, Record
from swifthoist_instance.messages import OK, UNAUTHORIZED, Answer, Call
from swifthoist_instance.recording import (
    HEDGE_S,
    NotServedError,
    Recorded,
    Recorder,
    answer_deadline,
)
from swifthoist_instance.relayed import Relayed
from swifthoist_instance.store_latency import StoreLatency
from tests.instance.fakes import LoopClock, run

CALL = Call('POST', 'host', '/batch/1', 'key-red', 3, b'')
RECORD = Canceled('1', 0)
SERVED = Relayed(Answer(OK))
SLOW_S = 0.4
DRAWS = 20
"""Orders in which tasks that are ready together are run."""


class _Journal:
    """A journal whose appends end in one way, after a while."""

    available = True

    def __init__(self, error: SwifthoistError | None, after_s: float) -> None:
        """End with an error, or with an offset."""
        self.error = error
        self.after_s = after_s
        self.appends = 0

    async def append(self, _: list[Record], timeout_s: float) -> Offset:
        """Wait, then end."""
        self.appends += 1
        await anyio.sleep(min(self.after_s, timeout_s))
        if self.error is not None:
            raise self.error
        return 7


class _Peers:
    """Other instances that serve every call in one way."""

    holder = 'other'

    def __init__(self, outcome: Relayed) -> None:
        """Answer each call with an outcome."""
        self.outcome = outcome
        self.targets: list[bool] = []

    async def relay(
        self, call: Call, reason: str, budget_s: float, *, to_holder: bool
    ) -> Relayed:
        """Note whether only the holder was asked."""
        self.targets.append(to_holder)
        await anyio.sleep(0.01)
        return self.outcome


class RecorderTest(unittest.TestCase):
    """What callers are told is true, whoever recorded their request."""

    def record(
        self,
        journal: _Journal,
        peers: _Peers,
        check: Callable[[Awaitable[Recorded]], Awaitable[None]],
        *,
        slow: bool = False,
        call: Call = CALL,
    ) -> None:
        """Record a request, and check the outcome."""

        async def main() -> None:
            latency = StoreLatency(LoopClock())
            latency.note_answer(SLOW_S if slow else 0.004)
            recorder = Recorder(journal, peers, latency)
            await check(recorder.record(RECORD, call, answer_deadline(call)))

        run(main)

    def test_a_slow_store_has_the_holder_record(self) -> None:
        """This instance appends nothing itself."""
        journal, peers = _Journal(None, SLOW_S), _Peers(SERVED)

        async def check(recording: Awaitable[Recorded]) -> None:
            self.assertEqual(await recording, Recorded(answer=SERVED.answer))

        self.record(journal, peers, check, slow=True)
        self.assertEqual((journal.appends, peers.targets), (0, [True]))

    def test_a_request_that_was_passed_on_is_not_passed_on_again(self) -> None:
        """Otherwise two instances could pass it to each other."""
        journal, peers = _Journal(None, SLOW_S), _Peers(SERVED)

        async def check(recording: Awaitable[Recorded]) -> None:
            self.assertEqual(await recording, Recorded(7))

        call = CALL._replace(relayed=True)
        self.record(journal, peers, check, slow=True, call=call)
        self.assertEqual(peers.targets, [])

    def test_an_unanswered_append_is_followed_by_another_instance(self) -> None:
        """The store may be silent for this instance alone."""
        journal = _Journal(OutcomeUnknownError('silent'), 9)

        async def check(recording: Awaitable[Recorded]) -> None:
            began = anyio.current_time()
            self.assertEqual(await recording, Recorded(answer=SERVED.answer))
            self.assertLess(anyio.current_time() - began, HEDGE_S + 0.1)

        self.record(journal, _Peers(SERVED), check)

    def test_no_refusal_is_told_of_a_request_that_may_be_recorded(self) -> None:
        """The other instance refused, and the own append has no answer."""
        journal = _Journal(OutcomeUnknownError('silent'), 9)
        for outcome in (Relayed(Answer(UNAUTHORIZED)), Relayed(refused=3)):

            async def check(recording: Awaitable[Recorded]) -> None:
                with self.assertRaises(OutcomeUnknownError):
                    await recording

            self.record(journal, _Peers(outcome), check)

    def test_a_refused_append_is_no_unknown_one(self) -> None:
        """Unless another instance may have recorded the request."""
        journal = _Journal(LogUnavailableError('refused'), 0.01)

        async def check(recording: Awaitable[Recorded]) -> None:
            with self.assertRaises(NotServedError):
                await recording

        self.record(journal, _Peers(SERVED), check)

        async def check_late(recording: Awaitable[Recorded]) -> None:
            with self.assertRaises(OutcomeUnknownError):
                await recording

        late = _Journal(LogUnavailableError('refused'), HEDGE_S + 0.1)
        self.record(late, _Peers(Relayed(unknown=True)), check_late)

    def test_a_refused_append_is_no_refusal_while_the_request_is_passed_on(
        self,
    ) -> None:
        """The other instance records a request that was sent to it."""
        for draw in range(DRAWS):
            # Both deadlines end together, and each draw orders them anew.
            journal = _Journal(LogUnavailableError('refused'), HEDGE_S)
            peers = _Peers(Relayed(unknown=True))

            async def check(
                recording: Awaitable[Recorded],
                draw: int = draw,
                peers: _Peers = peers,
            ) -> None:
                async with anyio.create_task_group() as tasks:
                    for _ in range(draw):
                        tasks.start_soon(anyio.lowlevel.checkpoint)
                with self.assertRaises(SwifthoistError) as caught:
                    await recording
                refused = isinstance(caught.exception, NotServedError)
                self.assertNotEqual(refused, bool(peers.targets))

            self.record(journal, peers, check)
