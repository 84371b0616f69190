"""Client of the service that knows which runners a policy allows."""

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
"""Most runners that one question may name."""

_OK = 200


class Permission(NamedTuple):
    """A runner that may run a step.

    :ivar runner: the runner.
    :ivar ticket: what a start on it carries.
    """

    runner: RunnerId
    ticket: str


class Permissions(NamedTuple):
    """Answer to a question.

    :ivar allowed: the runners that may run the step.
    :ivar valid_ms: how long the tickets hold, in ms.
    """

    allowed: tuple[Permission, ...]
    valid_ms: Millis


class AdviceClient:
    """Asks which runners may run a step."""

    def __init__(self, endpoint: EndpointProtocol) -> None:
        """Use an endpoint.

        :param endpoint: address of the service.
        """
        self._endpoint = endpoint

    async def ask(
        self,
        step: tuple[str, int, int],
        runners: Sequence[RunnerId],
        timeout_s: float,
    ) -> Permissions:
        """Ask which of some runners may run a step.

        :param step: job, occurrence and number of the step.
        :param runners: the runners, at most :data:`MAX_RUNNERS`.
        :param timeout_s: time for the call, in seconds.
        :returns: the permissions.
        :raises OutcomeUnknownError: when the service did not say.
        :raises UnreachableError: when it was not reached.
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
            raise OutcomeUnknownError(f'advice answered {reply.status}')
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
