"""An idempotent request, tried again or hedged; the first answer wins."""

import anyio
from anyio.abc import TaskGroup

from swifthoist_core.types import Millis, RunnerId
from swifthoistd.attempts import Attempts, Job
from swifthoistd.choice import Scarcity, Slot
from swifthoistd.counters import Counters, Extra
from swifthoistd.exchange import Answered, Broken, Declined, NotSent, Reply
from swifthoistd.retries import RetryPolicy
from swifthoistd.work import Done, NotRun, Outcome, Unknown

_MS_PER_S = 1_000
_RETRY_MS = 250


class IdempotentSending:
    """The attempts of one idempotent request."""

    def __init__(
        self,
        job: Job,
        attempts: Attempts,
        policy: RetryPolicy,
        counters: Counters,
    ) -> None:
        """Start before the first attempt.

        :param job: the request.
        :param attempts: makes each attempt.
        :param policy: allows further ones.
        :param counters: the counts to keep.
        """
        self._job = job
        self._attempts = attempts
        self._policy = policy
        self._counters = counters
        self._tried: list[RunnerId] = []
        self._running = 0
        self._paid = False
        self._latest = anyio.CancelScope()
        class_name = job.req.class_name
        self._silent_ms = policy.silent_after_ms(class_name)
        self._hedge_ms = policy.hedge_after_ms(
            class_name, job.entry.urgency, self._silent_ms
        )
        self._reason = 'no-runner'
        self._retry_ms: Millis = _RETRY_MS
        limit = policy.cfg.max_attempts
        streams = anyio.create_memory_object_stream[Reply](limit)
        self._sender = streams[0]
        self._replies = streams[1]

    async def run(self) -> Outcome:
        """Run the race.

        :returns: the outcome, at the request's deadline at the latest.
        """
        # Every attempt begins, even if it is cancelled at once, so that it
        # gives its slot back.
        with self._sender, self._replies:
            async with anyio.create_task_group() as tasks:
                outcome = await self._run(tasks)
                tasks.cancel_scope.cancel()
        return outcome

    async def _run(self, tasks: TaskGroup) -> Outcome:
        first = await self._attempts.choose_in_turn(self._job)
        if not isinstance(first, Scarcity):
            self._launch(tasks, first, fresh=False)
        wait_ms = self._hedge_ms or self._silent_ms
        while self._running:
            reply = await self._next_reply(wait_ms)
            if isinstance(reply, Answered):
                return Done(reply.status, reply.body, reply.content_type)
            if reply is None:
                self._hurry(tasks, wait_ms)
            else:
                self._note(reply)
                await self._try_again(tasks)
            wait_ms = self._silent_ms
        return self._conclude()

    def _launch(self, tasks: TaskGroup, slot: Slot, *, fresh: bool) -> None:
        self._running += 1
        self._tried.append(slot.runner.runner_id)
        tasks.start_soon(self._attempt, slot, fresh)

    async def _attempt(self, slot: Slot, fresh: bool) -> None:
        reply: Reply = Broken('silent')
        with anyio.CancelScope() as scope:
            self._latest = scope
            reply = await self._attempts.make(self._job, slot, fresh=fresh)
        self._sender.send_nowait(reply)

    async def _next_reply(self, wait_ms: Millis) -> Reply | None:
        with anyio.move_on_after(wait_ms / _MS_PER_S):
            return await self._replies.receive()
        return None

    def _note(self, reply: Reply) -> None:
        self._running -= 1
        match reply:
            case Declined(retry_after_ms):
                self._reason = 'declined'
                self._retry_ms = max(self._retry_ms, retry_after_ms)
            case NotSent(reason) | Broken(reason):
                self._reason = reason

    def _hurry(self, tasks: TaskGroup, waited_ms: Millis) -> None:
        if not self._may_add():
            return
        silent = waited_ms >= self._silent_ms and self._running == 1
        if silent and self._job.is_on_kept_connection:
            # Such a connection may have gone silent; a new one may not.  The
            # attempt gives its slot back, or there might be no free one.
            if self._policy.spend_on_silence():
                self._paid = True
                self._latest.cancel()
            return
        slot = self._attempts.choose(self._job, self._tried)
        if isinstance(slot, Scarcity):
            return
        if not self._policy.spend():
            slot.free()
            return
        hedge = waited_ms < self._silent_ms
        self._counters.count_extra(Extra.HEDGE if hedge else Extra.RETRY)
        self._launch(tasks, slot, fresh=True)

    async def _try_again(self, tasks: TaskGroup) -> None:
        if self._running or not self._may_add():
            return
        if not self._paid and not self._policy.spend():
            return
        self._paid = False
        slot = await self._attempts.choose_in_turn(self._job, self._tried)
        if not isinstance(slot, Scarcity):
            self._counters.count_extra(Extra.RETRY)
            self._launch(tasks, slot, fresh=True)

    def _may_add(self) -> bool:
        if len(self._tried) >= self._policy.cfg.max_attempts:
            return False
        return self._attempts.left_ms(self._job) > 0

    def _conclude(self) -> Outcome:
        if self._job.may_have_run:
            return Unknown(self._reason)
        return NotRun(self._reason, self._retry_ms)
