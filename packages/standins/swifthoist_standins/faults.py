"""Faults that a stand-in can be told to show."""

from collections import OrderedDict
from collections.abc import Callable
from typing import Annotated, NotRequired, TypeAlias, TypedDict

import anyio
import msgspec

from swifthoist_core.clock import Clock
from swifthoist_core.errors import Finding, InvalidInputError, raise_findings
from swifthoist_core.types import Millis

KNOWN_CONNECTIONS = 4096
"""Connections that one listener remembers, to make them go silent."""

_MS_PER_S = 1000

Peer: TypeAlias = tuple[str, int]
_Count: TypeAlias = Annotated[int, msgspec.Meta(ge=0)]


class Faults(TypedDict):
    """Body of ``POST /faults``; a field that is left out stays as it is.

    :ivar down_ms: answer 503 to everything for this long, in ms.
    :ivar paused_ms: be as a frozen process for this long, in ms: nothing is
        served or answered, and then everything that has waited.
    :ivar slow_ms: wait before each call is served, in ms.
    :ivar late_ms: wait after each call was served, before the reply, in ms.
    :ivar lose_next_replies: serve this many writes, but drop the connection
        in place of the reply.
    :ivar silent: take calls, but neither serve nor answer them.
    :ivar silence_connections: the connections of now go silent for good,
        while new ones work.
    :ivar truncate: cut each reply short of its length.
    :ivar fail_all: fail all work.
    :ivar work_ms: how long a runner works on each request, in ms.
    :ivar expire_before: forget the records before this offset.
    :ivar expire_stream: in this stream only; in all if it is left out.
    :ivar lag_ms: how far the list lags behind, in ms.
    :ivar frozen: the list stays as it is.
    """

    down_ms: NotRequired[_Count]
    paused_ms: NotRequired[_Count]
    slow_ms: NotRequired[_Count]
    late_ms: NotRequired[_Count]
    lose_next_replies: NotRequired[_Count]
    silent: NotRequired[bool]
    silence_connections: NotRequired[bool]
    truncate: NotRequired[bool]
    fail_all: NotRequired[bool]
    work_ms: NotRequired[_Count]
    expire_before: NotRequired[_Count]
    expire_stream: NotRequired[str]
    lag_ms: NotRequired[_Count]
    frozen: NotRequired[bool]


Hook: TypeAlias = Callable[[Faults], None]

COMMON = frozenset(
    (
        'down_ms',
        'paused_ms',
        'slow_ms',
        'late_ms',
        'lose_next_replies',
        'silent',
        'silence_connections',
        'truncate',
    )
)
"""Faults that every stand-in can show."""


def decode_faults(body: bytes, allowed: frozenset[str]) -> Faults:
    """Read and check the body of ``POST /faults``.

    :param body: a JSON object.
    :param allowed: names of the faults that the stand-in can show.
    :returns: the faults.
    :raises InvalidInputError: with everything that is wrong.
    """
    try:
        fields = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    except msgspec.DecodeError as exc:
        problem = Finding('body', str(exc))
        raise InvalidInputError.of('faults', [problem]) from exc
    findings: list[Finding] = []
    for name, raw in fields.items():
        text = _find_problem(name, bytes(raw), allowed)
        if text:
            findings.append(Finding(name, text))
    raise_findings('faults', findings)
    return msgspec.json.decode(body, type=Faults)


def _find_problem(name: str, raw: bytes, allowed: frozenset[str]) -> str:
    if name not in allowed:
        return 'is no fault of this stand-in'
    single = b'{"' + name.encode() + b'":' + raw + b'}'
    try:
        msgspec.json.decode(single, type=Faults)
    except msgspec.DecodeError as exc:
        return str(exc)
    return ''


class FaultBoard:
    """The faults of one listener.

    :ivar allowed: names of the faults that it can show.
    """

    def __init__(
        self, clock: Clock, own: frozenset[str], hook: Hook | None = None
    ) -> None:
        """Start without a fault.

        :param clock: measures how long a fault lasts.
        :param own: faults beside the common ones.
        :param hook: told of the faults that are set.
        """
        self.allowed = COMMON | own
        self._clock = clock
        self._hook = hook
        self._faults = Faults()
        self._changed = anyio.Event()
        self._down_until: Millis = 0
        self._paused_until: Millis = 0
        self._seen: OrderedDict[Peer, bool] = OrderedDict()

    def set(self, faults: Faults) -> None:
        """Show these faults from now on.

        :param faults: the faults; one that is left out stays as it is.
        """
        self._faults.update(faults)
        now_ms = self._clock.boot_ms()
        if 'down_ms' in faults:
            self._down_until = now_ms + faults['down_ms']
        if 'paused_ms' in faults:
            self._paused_until = now_ms + faults['paused_ms']
        if faults.get('silence_connections'):
            self._seen = OrderedDict.fromkeys(self._seen, True)
        self._changed.set()
        self._changed = anyio.Event()
        if self._hook is not None:
            self._hook(faults)

    def get(self) -> Faults:
        """The faults as they were set, with the time that is left of each."""
        faults = self._faults.copy()
        if 'down_ms' in faults:
            faults['down_ms'] = self._left(self._down_until)
        if 'paused_ms' in faults:
            faults['paused_ms'] = self._left(self._paused_until)
        return faults

    def is_down(self) -> bool:
        """Whether calls are answered with 503."""
        return self._left(self._down_until) > 0

    def note(self, peer: Peer) -> None:
        """Remember a connection.

        :param peer: address of its other end.
        """
        self._seen.setdefault(peer, False)
        if len(self._seen) > KNOWN_CONNECTIONS:
            self._seen.popitem(last=False)

    def is_silent(self, peer: Peer) -> bool:
        """Whether a connection gets no answer.

        :param peer: address of its other end.
        """
        return self._faults.get('silent', False) or self._seen.get(peer, False)

    def is_truncating(self) -> bool:
        """Whether replies are cut short."""
        return self._faults.get('truncate', False)

    def take_lost_reply(self) -> bool:
        """Whether the reply at hand must be lost; counts it if so."""
        left = self._faults.get('lose_next_replies', 0)
        if left:
            self._faults['lose_next_replies'] = left - 1
        return left > 0

    async def wait_awake(self) -> None:
        """Wait until the pause is over."""
        left = self._left(self._paused_until)
        while left > 0:
            with anyio.move_on_after(left / _MS_PER_S):
                await self._changed.wait()
            left = self._left(self._paused_until)

    async def wait_slow(self) -> None:
        """Wait as long as each call does before it is served."""
        await anyio.sleep(self._faults.get('slow_ms', 0) / _MS_PER_S)

    async def wait_late(self) -> None:
        """Wait as long as each reply does."""
        await anyio.sleep(self._faults.get('late_ms', 0) / _MS_PER_S)

    def _left(self, until: Millis) -> Millis:
        return max(0, until - self._clock.boot_ms())
