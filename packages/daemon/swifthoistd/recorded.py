"""A non-idempotent request, sent once behind a durable intent."""

import anyio

from swifthoist_core.clock import Clock
from swifthoist_core.errors import SwifthoistError
from swifthoist_core.types import Millis
from swifthoistd.attempts import Attempts, Job
from swifthoistd.choice import Scarcity
from swifthoistd.counters import Counters, Extra
from swifthoistd.exchange import (
    Answered,
    Broken,
    Declined,
    NotSent,
    Reply,
    SendingRefusedError,
)
from swifthoistd.retries import RetryPolicy
from swifthoistd.work import (
    Done,
    Granted,
    Intents,
    NotRun,
    Outcome,
    Permission,
    Refused,
    Settled,
    Unknown,
)

_MS_PER_S = 1_000
_RETRY_MS = 250
_CLOSE_S = 1.0
_TOO_LATE = frozenset(('expired', 'deadline'))


class RecordedSending:
    """Sends one request at most once.

    It goes to another runner only when it is certain that no byte has left;
    a runner that declined it has seen it, so that is the end of it here.
    """

    def __init__(
        self,
        job: Job,
        attempts: Attempts,
        policy: RetryPolicy,
        intents: Intents,
        clock: Clock,
        counters: Counters,
    ) -> None:
        """Start before the intent.

        :param job: the request.
        :param attempts: makes each attempt.
        :param policy: allows further ones.
        :param intents: records the request before it is sent.
        :param clock: the clock that the intent's validity is checked on.
        :param counters: the counts to keep.
        """
        self._job = job
        self._attempts = attempts
        self._policy = policy
        self._intents = intents
        self._clock = clock
        self._counters = counters
        self._valid_until_ms: Millis = 0
        self._tried: list[str] = []

    async def run(self) -> Outcome:
        """Record the intent, send the request and record what became of it.

        :returns: the outcome.
        """
        asked_ms = self._clock.boot_ms()
        permission = await self._open()
        match permission:
            case Settled(outcome):
                return outcome
            case Refused(reason, retry_after_ms):
                return NotRun(reason, retry_after_ms)
            case Granted(valid_ms):
                self._valid_until_ms = asked_ms + valid_ms
                return await self._send_and_close()
            case None:
                # An earlier request under this key may have run.
                return Unknown('intent')

    async def _open(self) -> Permission | None:
        left_ms = self._attempts.left_ms(self._job)
        req = self._job.req._replace(deadline_ms=left_ms)
        try:
            with anyio.move_on_after(left_ms / _MS_PER_S):
                return await self._intents.open(req)
        except SwifthoistError:
            return None
        return None

    async def _send_and_close(self) -> Outcome:
        outcome: Outcome | None = None
        try:
            outcome = await self._send()
        finally:
            await self._close(outcome or self._given_up())
        return outcome

    async def _send(self) -> Outcome:
        while True:
            slot = await self._attempts.choose_in_turn(self._job, self._tried)
            if isinstance(slot, Scarcity):
                return NotRun('no-runner', _RETRY_MS)
            self._tried.append(slot.runner.runner_id)
            # A kept connection may have gone silent or be about to close.
            reply = await self._attempts.make(
                self._job, slot, fresh=True, guard=self._check_valid
            )
            if not self._may_go_on(reply):
                return _conclude(reply)

    def _check_valid(self) -> None:
        if self._clock.boot_ms() >= self._valid_until_ms:
            raise SendingRefusedError

    def _may_go_on(self, reply: Reply) -> bool:
        if not isinstance(reply, NotSent) or reply.reason in _TOO_LATE:
            return False
        if len(self._tried) >= self._policy.cfg.max_attempts:
            return False
        if not self._policy.spend():
            return False
        self._counters.count_extra(Extra.RETRY)
        return True

    async def _close(self, outcome: Outcome) -> None:
        # The answer stays true without the record: the intent stays open,
        # and its key is never granted again.
        with anyio.CancelScope(shield=True):
            try:
                with anyio.fail_after(_CLOSE_S):
                    await self._intents.close(self._job.req, outcome)
            except (SwifthoistError, TimeoutError):
                self._counters.count_close_failure()

    def _given_up(self) -> Outcome:
        if self._job.may_have_run:
            return Unknown('cancelled')
        return NotRun('cancelled', _RETRY_MS)


def _conclude(reply: Reply) -> Outcome:
    match reply:
        case Answered(status, body, content_type):
            return Done(status, body, content_type)
        case Declined(retry_after_ms):
            return NotRun('declined', retry_after_ms)
        case NotSent(reason):
            return NotRun(reason, _RETRY_MS)
        case Broken(reason):
            return Unknown(reason)
