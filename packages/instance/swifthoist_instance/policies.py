"""Asks which runners the policy of a queue allows for a step.

Questions take time, and the service answers one at a time, so each step is
asked about in the background, a few steps at once, and the answer is kept for
as long as it is valid.
"""

import logging
from collections.abc import Sequence
from typing import NamedTuple

import anyio
from anyio.abc import TaskGroup

from swifthoist_core.clock import Clock
from swifthoist_core.errors import OutcomeUnknownError, UnreachableError
from swifthoist_core.types import Millis, RunnerId
from swifthoist_engine.capacity import StepKey
from swifthoist_instance.signals import Signal
from swifthoist_platform.advice import MAX_RUNNERS, AdviceClient

ASK_S = 3.0
"""Time for one question, in seconds."""

RETRY_S = 0.3
CONCURRENT = 4
"""Most questions on their way at a time; the service queues them anyway."""

VALID_SHARE = 0.8
"""Share of a ticket's life for which it is used."""

_log = logging.getLogger(__name__)


class _Known(NamedTuple):
    tickets: dict[RunnerId, str]
    until_ms: Millis


class Policies:
    """Permissions by step, as far as they were asked for."""

    def __init__(
        self, client: AdviceClient, clock: Clock, wake: Signal
    ) -> None:
        """Ask through a client.

        :param client: asks the service.
        :param clock: tells the time.
        :param wake: set when an answer came.
        """
        self._client = client
        self._clock = clock
        self._wake = wake
        self._known: dict[StepKey, _Known] = {}
        self._asked: set[StepKey] = set()
        self._gate = anyio.CapacityLimiter(CONCURRENT)

    def allowed(self) -> dict[StepKey, frozenset[RunnerId]]:
        """List the permissions that are valid now.

        :returns: runners by step.
        """
        now_ms = self._clock.boot_ms()
        self._known = {
            step: known
            for step, known in self._known.items()
            if known.until_ms >= now_ms
        }
        return {
            step: frozenset(known.tickets)
            for step, known in self._known.items()
        }

    def ticket(self, step: StepKey, runner: RunnerId) -> str:
        """Find the ticket for a start.

        :param step: the step.
        :param runner: the runner.
        :returns: the ticket; empty if there is none.
        """
        known = self._known.get(step)
        return known.tickets.get(runner, '') if known else ''

    def forget(self, step: StepKey) -> None:
        """Forget the permissions of a step, since one was rejected.

        :param step: the step.
        """
        self._known.pop(step, None)

    def ask(
        self, tasks: TaskGroup, step: StepKey, runners: Sequence[RunnerId]
    ) -> None:
        """Ask about a step in the background, unless that is under way.

        :param tasks: runs the question.
        :param step: the step.
        :param runners: the runners to ask about, best first.
        """
        if step in self._asked or not runners:
            return
        self._asked.add(step)
        tasks.start_soon(self._ask, step, runners[:MAX_RUNNERS])

    async def _ask(self, step: StepKey, runners: Sequence[RunnerId]) -> None:
        try:
            async with self._gate:
                answer = await self._client.ask(step, runners, ASK_S)
        except (OutcomeUnknownError, UnreachableError) as exc:
            _log.warning(
                'policy unknown', extra={'step': step, 'why': str(exc)}
            )
            await anyio.sleep(RETRY_S)
        else:
            tickets = {item.runner: item.ticket for item in answer.allowed}
            life_ms = int(answer.valid_ms * VALID_SHARE)
            until_ms = self._clock.boot_ms() + life_ms
            self._known[step] = _Known(tickets, until_ms)
            _log.info(
                'policy',
                extra={
                    'step': step,
                    'asked': len(runners),
                    'allowed': len(tickets),
                },
            )
        finally:
            self._asked.discard(step)
            self._wake.give()
