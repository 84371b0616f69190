"""Permission to send non-idempotent requests, from intents on the log."""

from typing import NamedTuple

import msgspec
import xxhash

from swifthoist_core.clock import Clock
from swifthoist_core.records import RequestIntended
from swifthoist_core.requests import Phase
from swifthoist_core.types import Millis
from swifthoistd import intents, work
from swifthoistd.follower import Follower

VALID_MS: Millis = 5_000
"""How long a granted intent may wait to be sent, in ms."""

_GONE = 410
_NOT_KEPT = b'{"outcome":"done","reason":"the answer was too large to keep"}'


ANSWER_MS: Millis = 100
"""Time kept back to answer the caller within its deadline, in ms."""

LOG_DOWN_MS: Millis = 4_000
"""After this silence the log counts as down; a read waits 1 s, in ms."""

RETRY_AFTER_MS: Millis = 1_000


class _KeptAnswer(NamedTuple):
    content_type: str
    body: bytes


class Permissions:
    """FairQueue the outcomes of the log into those of the request path."""

    def __init__(
        self, recorded: intents.Intents, follower: Follower, clock: Clock
    ) -> None:
        """Wire the parts.

        :param recorded: the intents of this instance.
        :param follower: the reader of records.
        :param clock: clocks of the machine.
        """
        self._recorded = recorded
        self._follower = follower
        self._clock = clock

    async def open(self, req: work.WorkRequest) -> work.Permission:
        """Record the intent to send a request.

        :param req: the request.
        :returns: whether it may be sent.
        """
        if self._log_is_down() and not self._is_known(req):
            # Waiting for a log that has been silent for long would only
            # bring the same answer later.
            return work.Refused('the log is down', RETRY_AFTER_MS)
        now_ms = self._clock.boot_ms()
        wait_ms = max(req.deadline_ms - ANSWER_MS, req.deadline_ms // 2)
        found = await self._recorded.open(_intent(req), now_ms + wait_ms)
        match found:
            case intents.Granted(until_ms):
                return work.Granted(until_ms - now_ms)
            case intents.Refused(reason, retry_after_ms):
                return work.Refused(reason, retry_after_ms)
            case intents.Settled(phase, status, answer):
                return work.Settled(_outcome(phase, status, answer))

    def _log_is_down(self) -> bool:
        freshness_ms = self._follower.freshness_ms
        return freshness_ms is None or freshness_ms > LOG_DOWN_MS

    def _is_known(self, req: work.WorkRequest) -> bool:
        known = self._follower.ledger.requests.get(req.owner, req.key)
        return known is not None

    async def close(self, req: work.WorkRequest, outcome: work.Outcome) -> None:
        """Record what became of a request.

        :param req: the request.
        :param outcome: what became of it.
        """
        match outcome:
            case work.Done(status, body, content_type):
                kept = msgspec.msgpack.encode(_KeptAnswer(content_type, body))
                self._recorded.close(_intent(req), Phase.DONE, status, kept)
            case work.NotRun():
                self._recorded.close(_intent(req), Phase.NOT_RUN)
            case work.Unknown():
                self._recorded.close(_intent(req), Phase.UNKNOWN)


def _intent(req: work.WorkRequest) -> RequestIntended:
    content = f'{req.class_name}\n{req.content_type}\n'.encode() + req.body
    return RequestIntended(
        req.key,
        req.owner,
        req.class_name,
        xxhash.xxh3_128_hexdigest(content),
        VALID_MS,
    )


def _outcome(phase: Phase, status: int, answer: bytes) -> work.Outcome:
    if phase is Phase.NOT_RUN:
        return work.NotRun('not run before', 0)
    if phase is Phase.UNKNOWN:
        return work.Unknown('not known since an earlier attempt')
    if not answer:
        return work.Done(_GONE, _NOT_KEPT, 'application/json')
    kept = msgspec.msgpack.decode(answer, type=_KeptAnswer)
    return work.Done(status, kept.body, kept.content_type)
