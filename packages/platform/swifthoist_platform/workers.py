"""Client of the platform's workers, with the messages it sends."""

from typing import TypeVar

import httpx
import msgspec

from swifthoist_core.errors import OutcomeUnknownError, WorkerRefusedError
from swifthoist_core.types import Millis
from swifthoist_platform import orders
from swifthoist_platform.calls import Call, Reply, send

CheckpointOrder = orders.CheckpointOrder
HoldOrder = orders.HoldOrder
Order = orders.Order
PartKey = orders.PartKey
PartState = orders.PartState
Refusal = orders.Refusal
RenewOrder = orders.RenewOrder
StartOrder = orders.StartOrder
StopOrder = orders.StopOrder
ThrottleOrder = orders.ThrottleOrder
UsageReport = orders.UsageReport

_OK = 200
_NO_CONTENT = 204
_REFUSED = 409
_NOT_SERVED = 503
_TIMEOUT_S = 2.0

_encoder = msgspec.msgpack.Encoder()
_refusal = msgspec.msgpack.Decoder(Refusal)
_states = msgspec.msgpack.Decoder(tuple[PartState, ...])
_reports = msgspec.msgpack.Decoder(tuple[UsageReport, ...])
_Body = TypeVar('_Body')


class WorkerClient:
    """Commands one worker.

    Every call raises :class:`WorkerRefusedError` when the worker refused
    the order, :class:`UnreachableError` when no connection was opened, so
    that the order did not take effect either, and
    :class:`OutcomeUnknownError` when the reply was lost or came too late.
    """

    def __init__(self, http: httpx.AsyncClient, address: str) -> None:
        """Keep where the worker is.

        :param http: client whose connections are used.
        :param address: ``host:port`` of the worker.
        """
        self._http = http
        self._base_url = f'http://{address}'

    async def hold(
        self, order: HoldOrder, timeout_s: float = _TIMEOUT_S
    ) -> None:
        """Hold the place of a part; idempotent.

        :param order: the order.
        :param timeout_s: time for the whole call, in seconds.
        """
        await self._command('hold', order, timeout_s)

    async def start(
        self, order: StartOrder, timeout_s: float = _TIMEOUT_S
    ) -> None:
        """Run a part that is held; idempotent.

        :param order: the order.
        :param timeout_s: time for the whole call, in seconds.
        """
        await self._command('start', order, timeout_s)

    async def checkpoint(
        self, order: CheckpointOrder, timeout_s: float = _TIMEOUT_S
    ) -> None:
        """Save the progress of a part that runs; idempotent.

        :param order: the order.
        :param timeout_s: time for the whole call, in seconds.
        """
        await self._command('checkpoint', order, timeout_s)

    async def throttle(
        self, order: ThrottleOrder, timeout_s: float = _TIMEOUT_S
    ) -> None:
        """Run a part at another speed; idempotent.

        :param order: the order.
        :param timeout_s: time for the whole call, in seconds.
        """
        await self._command('throttle', order, timeout_s)

    async def stop(
        self, order: StopOrder, timeout_s: float = _TIMEOUT_S
    ) -> None:
        """Stop a part for good; idempotent.

        :param order: the order.
        :param timeout_s: time for the whole call, in seconds.
        """
        await self._command('stop', order, timeout_s)

    async def renew(
        self, order: RenewOrder, timeout_s: float = _TIMEOUT_S
    ) -> tuple[PartState, ...]:
        """Renew leases and learn the state of every part.

        :param order: the order.
        :param timeout_s: time for the whole call, in seconds.
        :returns: every part that the worker knows, after the renewal.
        """
        body = _encoder.encode(order)
        call = Call('POST', f'{self._base_url}/renew', timeout_s, body)
        return _decode(_states, await self._send(call))

    async def usage(
        self, since_ms: Millis, timeout_s: float = _TIMEOUT_S
    ) -> tuple[UsageReport, ...]:
        """Read what parts have used, which is reported with a lag.

        :param since_ms: only reports that came out at this time or later,
            by the worker's wall clock.
        :param timeout_s: time for the whole call, in seconds.
        :returns: the reports, in the order in which they came out.
        """
        url = f'{self._base_url}/usage?since_ms={since_ms}'
        reply = await self._send(Call('GET', url, timeout_s))
        return _decode(_reports, reply)

    async def _command(self, verb: str, order: Order, timeout_s: float) -> None:
        body = _encoder.encode(order)
        url = f'{self._base_url}/{verb}'
        await self._send(Call('POST', url, timeout_s, body))

    async def _send(self, call: Call) -> Reply:
        reply = await send(self._http, call)
        if reply.status == _REFUSED:
            raise WorkerRefusedError(_decode(_refusal, reply).reason)
        if reply.status == _NOT_SERVED or 400 <= reply.status < 500:
            raise WorkerRefusedError(f'the worker answered {reply.status}')
        if reply.status not in {_OK, _NO_CONTENT}:
            raise OutcomeUnknownError(f'the worker answered {reply.status}')
        return reply


def _decode(decoder: msgspec.msgpack.Decoder[_Body], reply: Reply) -> _Body:
    try:
        return decoder.decode(reply.content)
    except msgspec.DecodeError as exc:
        raise OutcomeUnknownError('the reply is malformed') from exc
