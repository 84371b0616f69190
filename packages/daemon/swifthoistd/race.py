"""An idempotent request, tried again or hedged; the first answer wins."""

import anyio
from anyio.abc import TaskGroup

from swifthoist_core.types import Millis, RunnerId
from swifthoistd.attempts import Attempts, Job
from swifthoistd.choice import Scarcity
from swifthoistd.counters import Counters, Extra
from swifthoistd.exchange import Answered, Broken, Declined, NotSent, Reply
from swifthoistd.retries import RetryPolicy
from swifthoistd.runners import Runner
from swifthoistd.work import Done, NotRun, Outcome, Unknown

_MS_PER_S = 1_000
_RETRY_MS = 250


class Race:
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
        with self._sender, self._replies:
            async with anyio.create_task_group() as tasks:
                outcome = await self._run(tasks)
                tasks.cancel_scope.cancel()
        return outcome

    async def _run(self, tasks: TaskGroup) -> Outcome:
        first = await self._attempts.choose_in_turn(self._job)
        if not isinstance(first, Scarcity):
            self._launch(tasks, first, fresh=False)
        wait_ms = self._first_wait_ms()
        while self._running:
            reply = await self._next_reply(wait_ms)
            if isinstance(reply, Answered):
                return Done(reply.status, reply.body, reply.content_type)
            self._note(reply)
            self._go_on(tasks, reply)
            wait_ms = self._silent_ms()
        return self._conclude()

    def _first_wait_ms(self) -> Millis:
        urgency = self._job.entry.urgency
        hedge_ms = self._policy.hedge_after_ms(
            self._job.req.class_name, urgency
        )
        return hedge_ms or self._silent_ms()

    def _silent_ms(self) -> Millis:
        return self._policy.silent_after_ms(self._job.req.class_name)

    def _launch(self, tasks: TaskGroup, runner: Runner, *, fresh: bool) -> None:
        self._running += 1
        self._tried.append(runner.runner_id)
        tasks.start_soon(self._attempt, runner, fresh)

    async def _attempt(self, runner: Runner, fresh: bool) -> None:
        reply = await self._attempts.make(self._job, runner, fresh=fresh)
        self._sender.send_nowait(reply)

    async def _next_reply(self, wait_ms: Millis) -> Reply | None:
        with anyio.move_on_after(wait_ms / _MS_PER_S):
            return await self._replies.receive()
        return None

    def _note(self, reply: Reply | None) -> None:
        if reply is None:
            return
        self._running -= 1
        match reply:
            case Declined(retry_after_ms):
                self._reason = 'declined'
                self._retry_ms = max(self._retry_ms, retry_after_ms)
            case NotSent(reason) | Broken(reason):
                self._reason = reason

    def _go_on(self, tasks: TaskGroup, reply: Reply | None) -> None:
        if reply is not None and self._running:
            return
        if len(self._tried) >= self._policy.cfg.max_attempts:
            return
        if not self._attempts.left_ms(self._job):
            return
        runner = self._attempts.choose(self._job, self._tried)
        if isinstance(runner, Scarcity) or not self._policy.spend():
            return
        extra = Extra.HEDGE if reply is None else Extra.RETRY
        self._counters.count_extra(extra)
        self._launch(tasks, runner, fresh=True)

    def _conclude(self) -> Outcome:
        if self._job.may_have_run:
            return Unknown(self._reason)
        return NotRun(self._reason, self._retry_ms)
