"""Queries which runners the policy of a queue allows for a step.

The service answers one query at a time, so queries are made one by one, each for
the step that would start next. Answers are cached while they are valid.
"""

import logging
import math
from collections import Counter
from collections.abc import Callable, Sequence
from typing import NamedTuple

import anyio

from swifthoist_core.clock import Clock
from swifthoist_core.errors import (
    AnswerLateError,
    OutcomeUnknownError,
    SwifthoistError,
    UnreachableError,
)
from swifthoist_core.types import Millis, RunnerId
from swifthoist_engine.capacity import StepKey
from swifthoist_engine.catalogue import AdviceTerms
from swifthoist_instance.call_turns import CallTurns
from swifthoist_instance.notifier import Notifier
from swifthoist_platform.advice import AdviceClient, Permissions

RETRY_S = 0.3
"""Pause after a failed query, in seconds."""

MAX_ADVISED_RUNNERS = 30
"""Maximum number of runners in one query; each one costs the service time."""

MIN_ADVISED_RUNNERS = 4
SPARE_RUNNERS = 2
"""Number of allowed runners to learn of beyond those that a step needs."""

PRIOR_ALLOWED_SHARE = 0.5
"""Share of runners that a policy is expected to allow before any answer."""

LEARNING_SHARE = 0.2
"""Weight of an answer in the share of allowed runners."""

USABLE_LIFE_SHARE = 0.8
"""Share of its validity for which a ticket is used."""

MAX_USELESS = 10_000
"""Most steps whose unused answers are counted."""

_log = logging.getLogger(__name__)


class PolicyRequest(NamedTuple):
    """A step that waits for permissions.

    :ivar step: the step.
    :ivar runners: number of runners that it needs.
    :ivar terms: terms of its queue's policy.
    :ivar choose: returns the runners to ask about, best first.
    """

    step: StepKey
    runners: int
    terms: AdviceTerms
    choose: Callable[[], Sequence[RunnerId]]


class _Permissions(NamedTuple):
    tickets: dict[RunnerId, str]
    until_ms: Millis


class Policies:
    """Cache of the permissions by step.

    :ivar waiting: steps without permissions, in the order of their start.
    """

    def __init__(
        self, client: AdviceClient, clock: Clock, wake: Notifier
    ) -> None:
        """Create an empty cache.

        :param client: client of the policy service.
        :param clock: source of the time.
        :param wake: signal given after each query.
        """
        self.waiting: tuple[PolicyRequest, ...] = ()
        self._client = client
        self._clock = clock
        self._wake = wake
        self._permissions: dict[StepKey, _Permissions] = {}
        self._answers: Counter[StepKey] = Counter()
        self._turns = CallTurns(clock)
        self._allowed_share = PRIOR_ALLOWED_SHARE
        self._requested = anyio.Event()

    def allowed(self) -> dict[StepKey, frozenset[RunnerId]]:
        """Return the permissions that are valid now.

        :returns: allowed runners by step.
        """
        now_ms = self._clock.boot_ms()
        self._permissions = {
            step: permissions
            for step, permissions in self._permissions.items()
            if permissions.until_ms >= now_ms
        }
        return {
            step: frozenset(permissions.tickets)
            for step, permissions in self._permissions.items()
        }

    def ticket(self, step: StepKey, runner: RunnerId) -> str:
        """Return the ticket for a start.

        :param step: the step.
        :param runner: the runner.
        :returns: the ticket; empty if there is none.
        """
        permissions = self._permissions.get(step)
        return permissions.tickets.get(runner, '') if permissions else ''

    def request(self, waiting: Sequence[PolicyRequest]) -> None:
        """Replace the steps to ask about.

        :param waiting: the steps, in the order of their start.
        """
        self.waiting = tuple(waiting)
        if waiting:
            self._requested.set()

    async def run(self) -> None:
        """Ask about the waiting steps, one by one, until canceled."""
        while True:
            await self._requested.wait()
            request = self._next_request()
            if request is None:
                self._requested = anyio.Event()
            else:
                await self._ask(request)

    def _next_request(self) -> PolicyRequest | None:
        """Return the step to ask about now.

        Those whose earlier answers were of no use, since there was no room,
        come behind the others.
        """
        waiting = [
            it for it in self.waiting if it.step not in self._permissions
        ]
        return min(waiting, key=lambda it: self._answers[it.step], default=None)

    def _count(self, request: PolicyRequest) -> int:
        """Return how many runners to ask about.

        As long as others wait, no more than the step probably needs.
        """
        if len(self.waiting) < 2:
            return MAX_ADVISED_RUNNERS
        needed = (request.runners + SPARE_RUNNERS) / self._allowed_share
        least = max(math.ceil(needed), MIN_ADVISED_RUNNERS)
        more = least * (1 + self._answers[request.step])
        return min(more, MAX_ADVISED_RUNNERS)

    async def _ask(self, request: PolicyRequest) -> None:
        runners = request.choose()[: self._count(request)]
        if not runners:
            self.waiting = tuple(it for it in self.waiting if it != request)
            return
        terms = request.terms
        cost_ms = terms.decision_ms + terms.per_runner_ms * len(runners)
        timeout_s = self._turns.begin(cost_ms)
        try:
            answer = await self._client.ask(request.step, runners, timeout_s)
        except (OutcomeUnknownError, UnreachableError) as exc:
            await self._note_failure(request, exc)
        except Exception:
            # The others are asked about first, so that this one can't hold
            # them up.
            self._answers[request.step] += 1
            raise
        else:
            self._turns.note_answer()
            self._note_answer(request, len(runners), answer)

    async def _note_failure(
        self, request: PolicyRequest, exc: SwifthoistError
    ) -> None:
        late = isinstance(exc, AnswerLateError)
        if late:
            self._turns.note_abandoned()
        fields = {'step': request.step, 'why': str(exc), 'late': late}
        _log.warning('policy query failed', extra=fields)
        pause_s = RETRY_S if late else self._turns.pause_s()
        await anyio.sleep(max(pause_s, RETRY_S))

    def _note_answer(
        self, request: PolicyRequest, asked: int, answer: Permissions
    ) -> None:
        tickets = {item.runner: item.ticket for item in answer.allowed}
        share = max(len(tickets), 1) / asked
        change = (share - self._allowed_share) * LEARNING_SHARE
        self._allowed_share += change
        life_ms = int(answer.valid_ms * USABLE_LIFE_SHARE)
        until_ms = self._clock.boot_ms() + life_ms
        self._permissions[request.step] = _Permissions(tickets, until_ms)
        if len(self._answers) >= MAX_USELESS:
            self._answers.clear()
        self._answers[request.step] += 1
        fields: dict[str, object] = {
            'step': request.step,
            'asked': asked,
            'allowed': len(tickets),
            'waiting': len(self.waiting),
            'slowness': round(self._turns.slowness, 2),
        }
        _log.info('policy', extra=fields)
        self._wake.notify()
