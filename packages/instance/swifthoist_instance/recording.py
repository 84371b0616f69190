"""Records callers' requests, through this instance or through another one.

Requests are recorded at most once by their id, so the same request may be
recorded here and elsewhere. While the store is slow, it takes one append at a
time and few of them a second; the holder then appends what all instances
accept, in as few appends as it makes anyway. An own append that gets no answer
soon is followed by the same request at another instance, since this one may be
cut off from the store.
"""

from typing import NamedTuple

import anyio

from swifthoist_core.errors import (
    LogUnavailableError,
    OutcomeUnknownError,
    SwifthoistError,
)
from swifthoist_core.types import Offset
from swifthoist_engine.records import Record
from swifthoist_instance.journal import Journal
from swifthoist_instance.messages import Answer, Call
from swifthoist_instance.peers import Peers
from swifthoist_instance.relayed import Relayed
from swifthoist_instance.store_latency import StoreLatency

ANSWER_SHARE = 0.8
"""Maximum time until an answer, as a share of the time that the caller waits."""

MAX_WAIT_S = 4.0
"""Longest time that a caller's request is worked on, in seconds."""

HEDGE_S = 0.7
"""How long an append may be unanswered, in seconds, before the request goes to
another instance as well, unless the store is slow: by then a read has told
whether it is."""


_UNKNOWN = Relayed(unknown=True)


class NotServedError(SwifthoistError):
    """This instance can't serve a request, and nothing of it was recorded."""


class Recorded(NamedTuple):
    """How a request was recorded.

    :ivar offset: offset of the record; None if another instance recorded it.
    :ivar answer: answer of that instance; None if this one recorded it.
    """

    offset: Offset | None = None
    answer: Answer | None = None


def answer_deadline(call: Call) -> float:
    """Return until when a call has to be answered.

    :param call: a call that has just arrived.
    :returns: the time, in seconds of the event loop's clock.
    """
    wait_s = min(call.wait_s, MAX_WAIT_S) * ANSWER_SHARE
    return anyio.current_time() + wait_s


class Recorder:
    """Records the requests of callers."""

    def __init__(
        self, journal: Journal, peers: Peers, latency: StoreLatency
    ) -> None:
        """Record through a journal or through another instance.

        :param journal: appends records to the log.
        :param peers: the other instances.
        :param latency: measures the time of the store's answers.
        """
        self._journal = journal
        self._peers = peers
        self._latency = latency

    async def record(
        self, record: Record, call: Call, deadline: float
    ) -> Recorded:
        """Record a request.

        :param record: its record.
        :param call: the request, for another instance.
        :param deadline: until when it has to be answered, in seconds of the
            event loop's clock.
        :returns: how it was recorded.
        :raises NotServedError: if it was certainly not recorded.
        :raises OutcomeUnknownError: if it may be recorded, now or later.
        """
        if call.relayed:
            return await self._append(record, deadline)
        if self._latency.slow and self._peers.holder:
            return await self._record_at_holder(record, call, deadline)
        return await self._hedge(record, call, deadline)

    async def _record_at_holder(
        self, record: Record, call: Call, deadline: float
    ) -> Recorded:
        left_s = deadline - anyio.current_time()
        relayed = await self._peers.relay(
            call, 'store slow', left_s, to_holder=True
        )
        if relayed.answer is not None:
            return Recorded(answer=relayed.answer)
        if relayed.unknown:
            raise OutcomeUnknownError('no answer of the holder in time')
        return await self._append(record, deadline)

    async def _append(self, record: Record, deadline: float) -> Recorded:
        if not self._journal.available:
            raise NotServedError('log away')
        left_s = max(deadline - anyio.current_time(), 0)
        try:
            return Recorded(await self._journal.append([record], left_s))
        except LogUnavailableError as exc:
            raise NotServedError(str(exc)) from exc

    async def _hedge(
        self, record: Record, call: Call, deadline: float
    ) -> Recorded:
        race = _Race()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._relay_late, call, deadline, race)
            tasks.start_soon(self._append_first, record, deadline, race)
            await race.decided.wait()
            tasks.cancel_scope.cancel()
        return race.outcome()

    async def _append_first(
        self, record: Record, deadline: float, race: '_Race'
    ) -> None:
        try:
            race.recorded = await self._append(record, deadline)
        except (NotServedError, OutcomeUnknownError) as exc:
            race.error = exc
            # A relay that has begun may still succeed.
            if race.relaying and isinstance(exc, NotServedError):
                return
        race.decided.set()

    async def _relay_late(
        self, call: Call, deadline: float, race: '_Race'
    ) -> None:
        await anyio.sleep(HEDGE_S)
        if self._latency.slow or race.decided.is_set():
            return
        race.relaying = True
        # Whatever ends this attempt early, it may still take effect.
        race.relayed = _UNKNOWN
        relayed = await self._peers.relay(
            call,
            'append unanswered',
            deadline - anyio.current_time(),
            to_holder=False,
        )
        race.relaying = False
        if relayed.answer is not None:
            # The own append may have taken effect, so no rejection is true.
            relayed = _UNKNOWN.followed_by(relayed)
        race.relayed = relayed
        if relayed.answer is not None or race.error is not None:
            race.decided.set()


class _Race:
    """An own append and the same request at another instance.

    :ivar decided: set once one of them succeeded or none can any more.
    :ivar recorded: the own append, if it succeeded.
    :ivar error: why it did not.
    :ivar relaying: whether another instance is being asked.
    :ivar relayed: what became of the request there; unknown until it ends.
    """

    def __init__(self) -> None:
        """Start with neither."""
        self.decided = anyio.Event()
        self.recorded: Recorded | None = None
        self.error: NotServedError | OutcomeUnknownError | None = None
        self.relaying = False
        self.relayed = Relayed()

    def outcome(self) -> Recorded:
        """Return how the request was recorded, or raise why it was not."""
        if self.recorded is not None:
            return self.recorded
        if self.relayed.answer is not None:
            return Recorded(answer=self.relayed.answer)
        if self.error is None or self.relayed.unknown:
            raise OutcomeUnknownError('no instance answered in time')
        raise self.error
