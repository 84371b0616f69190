"""The path of a request from its admission to its one true outcome."""

from typing import NamedTuple

import anyio

from swifthoist_core.catalogue import Entry
from swifthoist_core.clock import Clock
from swifthoistd.attempts import Attempts, Job
from swifthoistd.choice import Chooser
from swifthoistd.connections import Connections
from swifthoistd.counters import Counters
from swifthoistd.hedging import IdempotentSending
from swifthoistd.limits import Limiter, Permit, Refusal
from swifthoistd.recorded import RecordedSending
from swifthoistd.retries import RetryPolicy
from swifthoistd.runners import Runners
from swifthoistd.work import Intents, NotRun, Outcome, WorkRequest

_DRAINING_RETRY_MS = 10
_TEND_S = 0.05


class Parts(NamedTuple):
    """What a dispatcher is made of.

    :ivar runners: the table of runners.
    :ivar connections: the connections to them.
    :ivar chooser: chooses among them.
    :ivar limiter: admits requests.
    :ivar policy: allows further attempts.
    :ivar intents: records non-idempotent requests before they are sent.
    :ivar clock: the clock.
    :ivar counters: the counts to keep.
    """

    runners: Runners
    connections: Connections
    chooser: Chooser
    limiter: Limiter
    policy: RetryPolicy
    intents: Intents
    clock: Clock
    counters: Counters


class Dispatcher:
    """The aggregate of all requests in progress at this instance."""

    def __init__(self, parts: Parts) -> None:
        """Wire the parts.

        :param parts: what it is made of.
        """
        self._parts = parts
        self._clock = parts.clock
        self._counters = parts.counters
        self._attempts = Attempts(
            parts.runners,
            parts.connections,
            parts.chooser,
            parts.policy,
            parts.clock,
            parts.counters,
        )
        self._in_progress = 0
        self._idle = anyio.Event()
        self._draining = False

    @property
    def in_progress(self) -> int:
        """Requests taken in and not yet answered."""
        return self._in_progress

    async def send(self, req: WorkRequest, entry: Entry) -> Outcome:
        """Take a request to its outcome.

        A cancelled call frees what it used and records what is known.

        :param req: the request.
        :param entry: the catalogue's entry for its owner and class.
        :returns: the outcome, at the request's deadline at the latest.
        """
        self._counters.count_request()
        self._in_progress += 1
        outcome: Outcome | None = None
        try:
            outcome = await self._take_in(req, entry)
        finally:
            self._leave()
            self._count(req, outcome)
        return outcome

    async def run(self) -> None:
        """Look after connections and waiting requests, without end."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._parts.connections.run)
            while True:
                # Capacity also appears with time or with a new list.
                self._parts.limiter.wake()
                self._parts.chooser.retain(self._parts.runners.listed())
                await anyio.sleep(_TEND_S)

    async def drain(self) -> None:
        """Take in no new request, and wait for those in progress."""
        self._draining = True
        while self._in_progress:
            self._idle = anyio.Event()
            await self._idle.wait()

    def _count(self, req: WorkRequest, outcome: Outcome | None) -> None:
        if outcome is None:
            self._counters.count_cancelled(req.owner, req.class_name)
            return
        self._counters.count_outcome(req.owner, req.class_name, outcome)

    def _leave(self) -> None:
        self._in_progress -= 1
        if not self._in_progress:
            self._idle.set()

    async def _take_in(self, req: WorkRequest, entry: Entry) -> Outcome:
        if self._draining:
            return NotRun('draining', _DRAINING_RETRY_MS)
        longest_ms = entry.limits.deadline_ms
        budget_ms = min(req.deadline_ms or longest_ms, longest_ms)
        job = Job(req, entry, self._clock.boot_ms() + budget_ms)
        admitted = await self._parts.limiter.admit(entry, job.until_ms)
        match admitted:
            case Refusal(reason, retry_after_ms):
                return NotRun(reason, retry_after_ms)
            case Permit():
                return await self._send_admitted(job, admitted)

    async def _send_admitted(self, job: Job, permit: Permit) -> Outcome:
        self._parts.policy.earn()
        try:
            if job.req.idempotent:
                parts = self._parts
                race = IdempotentSending(
                    job, self._attempts, parts.policy, parts.counters
                )
                return await race.run()
            return await self._send_recorded(job)
        finally:
            self._parts.limiter.release(permit)

    async def _send_recorded(self, job: Job) -> Outcome:
        parts = self._parts
        sending = RecordedSending(
            job,
            self._attempts,
            parts.policy,
            parts.intents,
            parts.clock,
            parts.counters,
        )
        return await sending.run()
