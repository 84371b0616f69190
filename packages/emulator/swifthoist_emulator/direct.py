"""Calls to the emulator without a network, for tests in virtual time.

A call is subject to the faults of the world and of its own link: an address
may be cut off from one instance, and a frozen instance neither sends nor reads.
"""

import logging
from urllib.parse import parse_qs

import anyio
from anyio.abc import TaskGroup

from swifthoist_core.errors import AnswerLateError, UnreachableError
from swifthoist_emulator.http import Request
from swifthoist_emulator.world import World
from swifthoist_platform.calls import Call, Reply

TRANSIT_S = 0.002
"""Delay of a call, in seconds."""


_log = logging.getLogger(__name__)


class Link:
    """The link between one instance and the platform.

    :ivar cut: addresses that the instance can't reach.
    :ivar frozen: nothing gets through; calls are delivered after the thaw.
    """

    def __init__(self, world: World, name: str, tasks: TaskGroup) -> None:
        """Connect an instance to a world.

        :param world: the emulated platform.
        :param name: name of the instance.
        :param tasks: task group that delivers held calls, even after the
            instance has ended.
        """
        self.cut: set[str] = set()
        self.frozen = False
        self.name = name
        self._world = world
        self._tasks = tasks
        self._thawed = anyio.Event()

    def open_endpoint(self, address: str) -> 'DirectEndpoint':
        """Open an endpoint.

        :param address: its address.
        :returns: the endpoint.
        """
        return DirectEndpoint(self, address)

    def freeze(self) -> None:
        """Hold all calls."""
        if not self.frozen:
            self.frozen = True
            self._thawed = anyio.Event()

    def thaw(self) -> None:
        """Deliver the held calls, and let new ones through."""
        self.frozen = False
        self._thawed.set()

    async def carry(self, address: str, request: Request) -> Reply:
        """Pass a call to the world, and return its answer.

        :param address: address that is called.
        :param request: the call.
        :returns: the answer.
        :raises UnreachableError: when the address is cut off.
        """
        await anyio.sleep(TRANSIT_S)
        if self.frozen:
            self._tasks.start_soon(self._deliver_late, address, request)
            await anyio.sleep_forever()
        if address in self.cut:
            raise UnreachableError(f'{address}: cut off')
        response = await self._world.answer(address, request)
        if self.frozen or address in self.cut:
            # The answer is lost on its way back.
            await anyio.sleep_forever()
        return Reply(response.status, response.content)

    async def _deliver_late(self, address: str, request: Request) -> None:
        await self._thawed.wait()
        checker = self._world.checker
        checker.late = True
        try:
            await self._world.answer(address, request)
        except UnreachableError as exc:
            _log.info('late call lost', extra={'why': str(exc)})
        finally:
            checker.late = False


class DirectEndpoint:
    """Makes calls to one address of the emulator."""

    def __init__(self, link: Link, address: str) -> None:
        """Create an endpoint.

        :param link: the link of the calling instance.
        :param address: the address.
        """
        self._link = link
        self._address = address

    async def call(self, call: Call) -> Reply:
        """Make a call and wait for the whole reply.

        :param call: the call.
        :returns: the reply, whatever its status.
        :raises UnreachableError: when the address is cut off.
        :raises AnswerLateError: when the reply was lost or late.
        """
        bare, _, query = call.path.partition('?')
        query_values = {
            name: texts[0] for name, texts in parse_qs(query).items()
        }
        sent = {name.lower(): text for name, text in call.headers.items()}
        sent.setdefault('user-agent', self._link.name)
        port = int(self._address.rpartition(':')[2])
        request = Request(
            call.method, bare, query_values, sent, call.content, port
        )
        with anyio.move_on_after(call.timeout_s) as scope:
            if call.patience is not None:
                call.patience.begin(scope)
            return await self._link.carry(self._address, request)
        raise AnswerLateError(f'{self._address}{bare}: no answer')

    async def close(self) -> None:
        """Do nothing: there are no connections to close."""
