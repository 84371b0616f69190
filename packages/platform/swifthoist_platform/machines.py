"""Client of the machine service: lists machines and orders their upkeep.

Upkeep is maintenance that takes a machine down for a while.
"""

from enum import StrEnum
from typing import NamedTuple
from urllib.parse import urlencode

import msgspec

from swifthoist_core.errors import OutcomeUnknownError
from swifthoist_core.types import Epoch, RunnerId
from swifthoist_platform import names
from swifthoist_platform.calls import Call
from swifthoist_platform.endpoint import EndpointProtocol
from swifthoist_platform.values import DocumentReader, read_json

PAGE_LIMIT = 100
"""Maximum number of pages that one listing reads."""

_OK = 200
_CONFLICT = 409
_UP = 'up'


class Machine(NamedTuple):
    """A machine that runs at most one runner.

    :ivar machine: name of the machine.
    :ivar up: whether it is up, that is not moving, down or in upkeep.
    :ivar runner: runner on the machine; empty if there is none.
    """

    machine: str
    up: bool
    runner: RunnerId


class UpkeepStatus(StrEnum):
    """Result of an order for upkeep."""

    TAKEN = 'taken'
    FENCED = 'fence'
    BUSY = 'busy'
    OTHER_WAVE = 'wave'
    REFUSED = 'refused'


class MachinesClient:
    """Lists machines and orders their upkeep."""

    def __init__(self, endpoint: EndpointProtocol, holder: str) -> None:
        """Create a client.

        :param endpoint: endpoint of the service.
        :param holder: name of the instance that gives the orders.
        """
        self._endpoint = endpoint
        self._holder = holder

    async def list_all(self, timeout_s: float) -> tuple[Machine, ...]:
        """List all machines.

        :param timeout_s: timeout for each page, in seconds.
        :returns: the machines.
        :raises OutcomeUnknownError: if the service gave no valid reply.
        :raises UnreachableError: if no connection could be opened.
        """
        listed: list[Machine] = []
        token = ''
        for _ in range(PAGE_LIMIT):
            query = f'?{urlencode({names.PAGE_TOKEN: token})}' if token else ''
            path = f'{names.ROOT}{names.MACHINES_LIST}{query}'
            reply = await self._endpoint.call(Call('GET', path, timeout_s))
            if reply.status != _OK:
                raise OutcomeUnknownError(
                    f'machine service returned HTTP {reply.status}'
                )
            reader = read_json(reply.content)
            listed.extend(reader.decode_each(names.MACHINES, _decode_machine))
            token = reader.string(names.NEXT_TOKEN)
            if not token:
                break
        return tuple(listed)

    async def order_upkeep(
        self, machine: str, wave: int, fence: Epoch, timeout_s: float
    ) -> UpkeepStatus:
        """Order the upkeep of a machine; the call is idempotent.

        :param machine: name of the machine; its runs end at once.
        :param wave: number of the wave.
        :param fence: epoch of the holder.
        :param timeout_s: timeout of the call, in seconds.
        :returns: result of the order.
        :raises OutcomeUnknownError: if the order may have been carried out.
        :raises UnreachableError: if the order was not sent.
        """
        body = {names.MACHINE: machine, names.WAVE: wave}
        reply = await self._endpoint.call(
            Call(
                'POST',
                f'{names.ROOT}{names.MACHINE_UPKEEP}',
                timeout_s,
                msgspec.json.encode(body),
                {
                    names.DUTY_HOLDER: self._holder,
                    names.FENCING_TOKEN: str(fence),
                    'Content-Type': 'application/json',
                },
            )
        )
        if reply.status == _OK:
            return UpkeepStatus.TAKEN
        if reply.status == _CONFLICT:
            return _conflict_status(read_json(reply.content))
        return UpkeepStatus.REFUSED

    async def close(self) -> None:
        """Close the connections."""
        await self._endpoint.close()


def _decode_machine(reader: DocumentReader) -> Machine | None:
    name = reader.string(names.MACHINE)
    if not name:
        return None
    up = reader.string(names.STATE) == _UP
    return Machine(name, up, reader.string(names.ID))


def _conflict_status(reader: DocumentReader) -> UpkeepStatus:
    try:
        return UpkeepStatus(reader.string(names.REASON))
    except ValueError:
        return UpkeepStatus.REFUSED
