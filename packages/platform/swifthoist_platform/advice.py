"""Client of the service that decides which runners a queue's policy allows."""

from collections.abc import Sequence
from typing import NamedTuple

import msgspec

from swifthoist_core.errors import OutcomeUnknownError
from swifthoist_core.types import Millis, RunnerId
from swifthoist_platform import names
from swifthoist_platform.calls import Call
from swifthoist_platform.endpoint import EndpointProtocol
from swifthoist_platform.values import read_json

MAX_RUNNERS = 100
"""Maximum number of runners in one request."""

_OK = 200


class Permission(NamedTuple):
    """Permission to run a step on a runner.

    :ivar runner: the runner.
    :ivar ticket: token that a start order to this runner has to carry.
    """

    runner: RunnerId
    ticket: str


class Permissions(NamedTuple):
    """Reply of the service.

    :ivar allowed: permissions for the runners that may run the step.
    :ivar valid_ms: how long the tickets are valid, in ms.
    """

    allowed: tuple[Permission, ...]
    valid_ms: Millis


class AdviceClient:
    """Asks which runners may run a step."""

    def __init__(self, endpoint: EndpointProtocol) -> None:
        """Create a client.

        :param endpoint: endpoint of the service.
        """
        self._endpoint = endpoint

    async def ask(
        self,
        step: tuple[str, int, int],
        runners: Sequence[RunnerId],
        timeout_s: float,
    ) -> Permissions:
        """Ask which of the given runners may run a step.

        :param step: job, occurrence and number of the step.
        :param runners: the runners; those after the first
            :data:`MAX_RUNNERS` are left out.
        :param timeout_s: timeout of the call, in seconds.
        :returns: the permissions.
        :raises OutcomeUnknownError: if the service gave no valid reply.
        :raises UnreachableError: if no connection could be opened.
        """
        body = {
            names.STEP: '.'.join(map(str, step)),
            names.WORKERS: list(runners[:MAX_RUNNERS]),
        }
        reply = await self._endpoint.call(
            Call(
                'POST',
                f'{names.ROOT}{names.ADVISE}',
                timeout_s,
                msgspec.json.encode(body),
                {'Content-Type': 'application/json'},
            )
        )
        if reply.status != _OK:
            raise OutcomeUnknownError(
                f'advice service returned HTTP {reply.status}'
            )
        reader = read_json(reply.content)
        rows = [
            row for row in reader.array(names.ALLOWED) if _is_permission(row)
        ]
        allowed = tuple(Permission(row[0], row[1]) for row in rows)
        return Permissions(allowed, reader.integer(names.VALID_MS, 1_000))


def _is_permission(row: object) -> bool:
    return (
        isinstance(row, list)
        and len(row) > 1
        and all(isinstance(part, str) for part in row[:2])
    )
