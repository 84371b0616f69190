"""One attempt of a request at one runner, and what it teaches."""

from collections.abc import Callable, Collection
from functools import partial
from urllib.parse import quote

import anyio

from swifthoist_core.catalogue import Entry
from swifthoist_core.clock import Clock
from swifthoist_core.types import Millis, RunnerId
from swifthoistd.choice import Chooser, Scarcity, Slot
from swifthoistd.connections import Connections
from swifthoistd.counters import Counters
from swifthoistd.exchange import (
    Answered,
    Broken,
    Call,
    Declined,
    NotSent,
    Reply,
    Sending,
)
from swifthoistd.retries import RetryPolicy
from swifthoistd.runner_health import Verdict
from swifthoistd.runners import Runner, Runners
from swifthoistd.work import WorkRequest

_MS_PER_S = 1_000
_LOOK_AGAIN_S = 0.05
_SAFE = ':/=@+,'
_SAFE_IN_TYPE = ' !#$&\'*+/;="^`|,:@()<>?{}[]\\'


class Job:
    """One admitted request on its way to an outcome.

    :ivar req: the request.
    :ivar entry: the entry that it belongs to.
    :ivar until_ms: its deadline on the boot clock.
    """

    def __init__(
        self, req: WorkRequest, entry: Entry, until_ms: Millis
    ) -> None:
        """Start before the first attempt.

        :param req: the request.
        :param entry: the entry that it belongs to.
        :param until_ms: its deadline on the boot clock.
        """
        self.req = req
        self.entry = entry
        self.until_ms = until_ms
        self._sendings: list[Sending] = []

    @property
    def may_have_run(self) -> bool:
        """Whether a runner may have run the request by now."""
        return any(sending.sent for sending in self._sendings)

    @property
    def is_on_kept_connection(self) -> bool:
        """Whether the latest attempt uses a connection that was kept."""
        return bool(self._sendings) and self._sendings[-1].on_kept

    def begin(self, guard: Callable[[], None] | None) -> Sending:
        """Start to follow an attempt.

        :param guard: called immediately before the first byte.
        :returns: shows how far the attempt has got.
        """
        sending = Sending(guard)
        self._sendings.append(sending)
        return sending

    def clear(self, sending: Sending) -> None:
        """Stop to follow an attempt that certainly did not run.

        :param sending: the attempt.
        """
        self._sendings.remove(sending)


class Attempts:
    """Makes single attempts and tells the other aggregates how they went."""

    def __init__(
        self,
        runners: Runners,
        connections: Connections,
        chooser: Chooser,
        policy: RetryPolicy,
        clock: Clock,
        counters: Counters,
    ) -> None:
        """Wire the parts.

        :param runners: the table of runners.
        :param connections: the connections to them.
        :param chooser: chooses among them.
        :param policy: learns the usual times.
        :param clock: the clock.
        :param counters: the counts to keep.
        """
        self._runners = runners
        self._connections = connections
        self._chooser = chooser
        self._policy = policy
        self._clock = clock
        self._counters = counters

    def left_ms(self, job: Job) -> Millis:
        """Time left for a request.

        :param job: the request.
        :returns: the time to its deadline, not negative, in ms.
        """
        return max(0, job.until_ms - self._clock.boot_ms())

    def choose(
        self, job: Job, avoid: Collection[RunnerId] = ()
    ) -> Slot | Scarcity:
        """Take a slot that is free now.

        :param job: the request.
        :param avoid: runners that were tried; taken only if no other is
            there.
        :returns: the slot, or why there is none.
        """
        runners = self._runners.serving(job.entry.service)
        choose = partial(
            self._chooser.choose,
            runners,
            trial=job.req.idempotent,
            usual_ms=self._policy.mean_ms(job.req.class_name),
        )
        found = choose(avoid)
        return choose() if found is Scarcity.NONE and avoid else found

    async def choose_in_turn(
        self, job: Job, avoid: Collection[RunnerId] = ()
    ) -> Slot | Scarcity:
        """Take a slot, and wait while all that may be used are taken.

        :param job: the request.
        :param avoid: runners that were tried.
        :returns: the slot, or why there is none.
        """
        found = self.choose(job, avoid)
        while found is Scarcity.BUSY and self.left_ms(job):
            wait_s = min(_LOOK_AGAIN_S, self.left_ms(job) / _MS_PER_S)
            with anyio.move_on_after(wait_s):
                await self._chooser.wait_freed()
            found = self.choose(job, avoid)
        return found

    async def make(
        self,
        job: Job,
        slot: Slot,
        *,
        fresh: bool = False,
        guard: Callable[[], None] | None = None,
    ) -> Reply:
        """Send a request to a runner once.

        :param job: the request.
        :param slot: the slot at a runner; given back at the end.
        :param fresh: whether to use a new connection in any case.
        :param guard: called immediately before the first byte.
        :returns: what is known afterwards, at its deadline at the latest.
        """
        self._counters.count_attempt()
        sending = job.begin(guard)
        began_s = anyio.current_time()
        reply: Reply | None = None
        try:
            reply = await self._exchange(job, slot.runner, sending, fresh)
        finally:
            elapsed_ms = (anyio.current_time() - began_s) * _MS_PER_S
            self._learn(job, slot, reply, elapsed_ms)
        if isinstance(reply, Declined):
            job.clear(sending)
        return reply

    async def _exchange(
        self, job: Job, runner: Runner, sending: Sending, fresh: bool
    ) -> Reply:
        left_ms = self.left_ms(job)
        call = _call(job.req, runner, left_ms)
        with anyio.move_on_after(left_ms / _MS_PER_S):
            return await self._connections.exchange(
                runner, call, sending, fresh=fresh
            )
        return Broken('deadline') if sending.sent else NotSent('deadline')

    def _learn(
        self, job: Job, slot: Slot, reply: Reply | None, elapsed_ms: float
    ) -> None:
        class_name = job.req.class_name
        usual_ms = self._policy.mean_ms(class_name) or elapsed_ms
        slowness = elapsed_ms / max(usual_ms, 1e-3)
        if isinstance(reply, Answered):
            self._policy.record(class_name, elapsed_ms)
        elif slowness < 1 or isinstance(reply, Declined | NotSent):
            slot.free(_verdict(reply))
            return
        slot.free(_verdict(reply), slowness)


def _verdict(reply: Reply | None) -> Verdict:
    match reply:
        case Answered():
            return Verdict.GOOD
        case Broken():
            return Verdict.FAILED
        case NotSent('unreachable'):
            return Verdict.UNREACHABLE
        case _:
            return Verdict.NEUTRAL


def _call(req: WorkRequest, runner: Runner, left_ms: Millis) -> Call:
    # Ids come from callers; quoting keeps them from forming other headers.
    headers = {
        'Idempotency-Key': quote(req.key, _SAFE),
        'X-Owner': quote(req.owner, _SAFE),
        'X-Deadline-Ms': str(left_ms),
        'Content-Type': quote(req.content_type, _SAFE_IN_TYPE),
    }
    return Call(
        method='POST',
        url=f'http://{runner.address}/requests/{quote(req.class_name, "")}',
        request_id=quote(req.request_id, _SAFE),
        headers=headers,
        body=req.body,
        timeout_ms=left_ms,
    )
