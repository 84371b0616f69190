"""Queries which runners the policy of a queue allows for a step.

Queries are slow and the service answers one at a time, so steps are queried in
the background, a few at once, and answers are cached while they are valid.
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
from swifthoist_instance.notifier import Notifier
from swifthoist_platform.advice import MAX_RUNNERS, AdviceClient

ASK_TIMEOUT_S = 3.0
"""Timeout of one query, in seconds."""

RETRY_S = 0.3
MAX_CONCURRENT_ASKS = 4
"""Maximum number of concurrent queries; the service queues them anyway."""

USABLE_LIFE_SHARE = 0.8
"""Share of its validity for which a ticket is used."""

_log = logging.getLogger(__name__)


class _Permissions(NamedTuple):
    tickets: dict[RunnerId, str]
    until_ms: Millis


class Policies:
    """Cache of the permissions by step."""

    def __init__(
        self, client: AdviceClient, clock: Clock, wake: Notifier
    ) -> None:
        """Create an empty cache.

        :param client: client of the policy service.
        :param clock: source of the time.
        :param wake: signal given after each query.
        """
        self._client = client
        self._clock = clock
        self._wake = wake
        self._permissions: dict[StepKey, _Permissions] = {}
        self._asked: set[StepKey] = set()
        self._limiter = anyio.CapacityLimiter(MAX_CONCURRENT_ASKS)

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

    def forget(self, step: StepKey) -> None:
        """Forget the permissions of a step after one was rejected.

        :param step: the step.
        """
        self._permissions.pop(step, None)

    def ask(
        self, tasks: TaskGroup, step: StepKey, runners: Sequence[RunnerId]
    ) -> None:
        """Query a step in the background, unless a query is in progress.

        :param tasks: task group that runs the query.
        :param step: the step.
        :param runners: the runners to ask about, best first.
        """
        if step in self._asked or not runners:
            return
        self._asked.add(step)
        tasks.start_soon(self._ask, step, runners[:MAX_RUNNERS])

    async def _ask(self, step: StepKey, runners: Sequence[RunnerId]) -> None:
        try:
            async with self._limiter:
                answer = await self._client.ask(step, runners, ASK_TIMEOUT_S)
        except (OutcomeUnknownError, UnreachableError) as exc:
            _log.warning(
                'policy query failed', extra={'step': step, 'why': str(exc)}
            )
            await anyio.sleep(RETRY_S)
        else:
            tickets = {item.runner: item.ticket for item in answer.allowed}
            life_ms = int(answer.valid_ms * USABLE_LIFE_SHARE)
            until_ms = self._clock.boot_ms() + life_ms
            self._permissions[step] = _Permissions(tickets, until_ms)
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
            self._wake.notify()
