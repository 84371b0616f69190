"""Leave to send non-idempotent requests, each at most once.

A request is sent only after its intent is known to be on the log and was
accepted there. An intent whose fate is unknown is given up: nobody else may
send under it, so the caller hears "not run" and that is true; the intent is
closed behind it in the same order.
"""

import random
from typing import NamedTuple

import anyio

from swifthoist_core.clock import Clock
from swifthoist_core.errors import LogUnavailableError, OutcomeUnknownError
from swifthoist_core.records import RequestClosed, RequestIntended
from swifthoist_core.requests import Phase, RequestId, RequestState
from swifthoist_core.types import Millis
from swifthoistd.follower import Follower
from swifthoistd.journal import Journal
from swifthoistd.tenure import Tenure

KEEP_ANSWER_BYTES = 4_096
"""A longer answer is not kept; a retry then learns the outcome only."""

SWEEP_S = 5.0
"""How often the holder of the cell looks for orphans, in seconds."""

_POLL_S = 0.5
_RETRY_AFTER_MS = 500
_MS_PER_S = 1_000


class Granted(NamedTuple):
    """This instance, and nobody else, may send the request.

    :ivar until_ms: boot time before which it must be sent.
    """

    until_ms: Millis


class Settled(NamedTuple):
    """The request was dealt with before.

    :ivar phase: ``DONE``, ``NOT_RUN`` or ``UNKNOWN``.
    :ivar status: status of the runner's answer, 0 for none.
    :ivar answer: the runner's answer, if it was small enough to keep.
    """

    phase: Phase
    status: int = 0
    answer: bytes = b''


class Refused(NamedTuple):
    """The request was not run, and will not be.

    :ivar reason: why.
    :ivar retry_after_ms: when to try again, 0 for never.
    """

    reason: str
    retry_after_ms: Millis = 0


class Intents:
    """The intents of this instance, over the journal and the ledger."""

    def __init__(
        self,
        follower: Follower,
        journal: Journal,
        clock: Clock,
        *,
        dice: random.Random | None = None,
    ) -> None:
        """Start without intents.

        :param follower: the reader of records.
        :param journal: the writer of records.
        :param clock: clocks of the machine.
        :param dice: source of jitter.
        """
        self._follower = follower
        self._ledger = follower.ledger
        self._journal = journal
        self._clock = clock
        self._dice = dice or random.Random()
        self._own: set[RequestId] = set()

    async def open(
        self, intent: RequestIntended, until_ms: Millis
    ) -> Granted | Settled | Refused:
        """Ask for leave to send a request.

        Whoever is granted it must call :meth:`close` in any case, also when
        it is cancelled; what was not sent is closed as ``NOT_RUN``.

        :param intent: the request.
        :param until_ms: boot time by which the caller must have an answer.
        :returns: leave to send it, or what became of it.
        """
        request_id = RequestId(intent.owner, intent.key)
        while self._clock.boot_ms() < until_ms:
            known = self._ledger.requests.get(intent.owner, intent.key)
            answer = _known(known, intent)
            if answer is not None:
                return answer
            if request_id in self._own or _is_open(known):
                await self._change(until_ms)
                continue
            granted = await self._intend(intent, until_ms)
            if granted is not None:
                return granted
        return self._too_late(intent)

    def close(
        self,
        intent: RequestIntended,
        phase: Phase,
        status: int = 0,
        answer: bytes = b'',
    ) -> None:
        """Settle a request that was granted; the log learns it in time.

        :param intent: the request.
        :param phase: ``DONE``, ``NOT_RUN`` or ``UNKNOWN``.
        :param status: status of the runner's answer, 0 for none.
        :param answer: the runner's answer.
        """
        kept = answer if len(answer) <= KEEP_ANSWER_BYTES else b''
        self._journal.post(_closed(intent, phase, status, kept))
        self._own.discard(RequestId(intent.owner, intent.key))

    async def run(self, tenure: Tenure) -> None:
        """While this instance holds the cell, give up on silent authors.

        :param tenure: whether it does.
        """
        while True:
            await anyio.sleep(SWEEP_S * self._dice.uniform(0.5, 1.0))
            if tenure.may_act():
                await self._sweep()

    async def _sweep(self) -> None:
        unknown = Phase.UNKNOWN.value
        for owner, key in self._ledger.requests.orphans(self._ledger.time_ms):
            closed = RequestClosed(key, owner, unknown, 0, b'')
            try:
                await self._journal.commit(closed, SWEEP_S)
            except (LogUnavailableError, OutcomeUnknownError):
                return

    async def _intend(
        self, intent: RequestIntended, until_ms: Millis
    ) -> Granted | Refused | None:
        request_id = RequestId(intent.owner, intent.key)
        started_ms = self._clock.boot_ms()
        granted = False
        self._own.add(request_id)
        try:
            granted = await self._commit(intent, until_ms - started_ms)
        except (LogUnavailableError, OutcomeUnknownError) as exc:
            return Refused(str(exc), self._retry_after_ms())
        finally:
            if not granted:
                self._own.discard(request_id)
        if not granted:
            return None
        return Granted(min(started_ms + intent.valid_ms, until_ms))

    async def _commit(self, intent: RequestIntended, wait_ms: Millis) -> bool:
        verdict = await self._journal.commit(
            intent,
            wait_ms / _MS_PER_S,
            undo=_closed(intent, Phase.NOT_RUN),
        )
        return verdict.accepted

    async def _change(self, until_ms: Millis) -> None:
        left_s = (until_ms - self._clock.boot_ms()) / _MS_PER_S
        with anyio.move_on_after(min(left_s, _POLL_S)):
            await self._follower.changed()

    def _too_late(self, intent: RequestIntended) -> Settled | Refused:
        known = self._ledger.requests.get(intent.owner, intent.key)
        own = RequestId(intent.owner, intent.key) in self._own
        if own or _is_open(known):
            return Settled(Phase.UNKNOWN)
        return Refused('its time had passed', self._retry_after_ms())

    def _retry_after_ms(self) -> Millis:
        return int(_RETRY_AFTER_MS * self._dice.uniform(1, 2))


def _closed(
    intent: RequestIntended, phase: Phase, status: int = 0, kept: bytes = b''
) -> RequestClosed:
    return RequestClosed(intent.key, intent.owner, phase.value, status, kept)


def _is_open(known: RequestState | None) -> bool:
    return known is not None and known.phase is Phase.OPEN


def _known(
    known: RequestState | None, intent: RequestIntended
) -> Settled | Refused | None:
    if known is None:
        return None
    if known.digest not in {'', intent.digest}:
        return Refused('key reused for another request')
    if known.phase in {Phase.OPEN, Phase.NOT_RUN}:
        return None
    return Settled(known.phase, known.status, known.answer)
