"""Hands calls to other instances: callers' requests, and the cell itself.

Each instance tells once on the log where others reach it. A caller's request
that this instance can't serve is passed on as it is, with its id, its key and
the rest of its time; the other instance judges the key by its own
configuration, and passes nothing on again.
"""

import logging
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import NamedTuple
from urllib.parse import urlencode

import anyio
import msgspec

from swifthoist_core.clock import Clock
from swifthoist_core.errors import (
    LogUnavailableError,
    OutcomeUnknownError,
    UnreachableError,
)
from swifthoist_core.types import Epoch, InstanceId, Millis
from swifthoist_engine.cell_state import CellState
from swifthoist_engine.peers import Peer
from swifthoist_engine.records import Joined
from swifthoist_instance.follower import Follower
from swifthoist_instance.journal import Journal
from swifthoist_instance.messages import (
    INTERNAL_ERROR,
    OK,
    UNAVAILABLE,
    Answer,
    Call,
)
from swifthoist_instance.relayed import Relayed, Try, log_relayed
from swifthoist_platform.addresses import is_address
from swifthoist_platform.calls import Call as PeerCall
from swifthoist_platform.endpoint import EndpointProtocol
from swifthoist_platform.job_calls import format_api_key
from swifthoist_platform.values import is_number

RELAY_PATH = '/v1/relay'
HAND_OVER_PATH = '/v1/hand-over'

MIN_VERSION_HEADER = 'Swifthoist-Min-Version'
"""Header with the version of the sender's configuration."""

MAX_TRIES = 3
"""Number of instances that a call is handed to, one after the other."""

AMPLE_SHARE = 0.5
"""Share of the most cores of any instance from which one may be handed the
cell."""

MAX_HOLDER_TRIES = 6
"""Number of instances that are asked to take the cell, one after the other."""

TRY_S = 0.5
"""Time for an instance to answer a relayed call while others are left to try,
in seconds. It must be reached within half of it."""

HAND_OVER_TRY_S = 0.4
"""Time for an instance to claim the cell when asked to, in seconds."""

AVOID_MS = 1_000
"""How long an instance that did not serve a call is asked last, in ms."""

MAX_OPEN_RELAYS = 64
"""Maximum number of calls that are being passed on at a time; others are
refused."""

JOIN_SPREAD_S = 0.3
"""Instances that start together tell where they are reached within this time,
in seconds."""

JOIN_TIMEOUT_S = 3.0

MAX_SHOWN_CHARS = 100
"""Number of characters of a name that the log shows."""

LIFE_SEPARATOR = '.'
"""Separates the name of an instance from that of its life (one start of its
process)."""

_log = logging.getLogger(__name__)


def node_of(instance: InstanceId) -> str:
    """Return the name of an instance without that of its life.

    :param instance: name of a life of the instance.
    :returns: its part that all lives share; empty if there is none.
    """
    return instance.rpartition(LIFE_SEPARATOR)[0]


class HandOver(NamedTuple):
    """Asks an instance to claim the cell.

    :ivar epoch: epoch of the holder that asks.
    """

    epoch: Epoch


@dataclass(slots=True)
class RelayCounts:
    """Counts of calls passed on, for the metrics.

    :ivar served: calls that another instance served.
    :ivar unserved: calls that none served.
    """

    served: int = 0
    unserved: int = 0


class Peers:
    """The other instances, as told by the log.

    :ivar counts: what became of the calls passed on.
    """

    def __init__(
        self,
        instance: InstanceId,
        own: Peer,
        follower: Follower,
        clock: Clock,
        open_endpoint: Callable[[str], EndpointProtocol],
    ) -> None:
        """Know the instances that the log names.

        :param instance: name of this life of the instance.
        :param own: where others reach this instance; without an address it
            tells nobody.
        :param follower: maintains the cell state from the log.
        :param clock: source of time.
        :param open_endpoint: opens the internal address of an instance.
        """
        self.counts = RelayCounts()
        self._node = node_of(instance) or instance
        self._own = own
        self._follower = follower
        self._clock = clock
        self._open = open_endpoint
        self._endpoints: dict[str, EndpointProtocol] = {}
        self._avoid_until_ms: dict[str, Millis] = {}
        self._open_relays = 0
        self._logged_unusable: set[str] = set()
        self._random = random.Random(instance)

    @property
    def holder(self) -> str:
        """Name of another instance that holds the cell and can be reached."""
        node = node_of(self._state.holder)
        return node if node in self.others else ''

    @property
    def others(self) -> dict[str, Peer]:
        """The other known instances by name."""
        known = self._state.peers.items()
        return {
            node: peer
            for node, peer in known
            if node != self._node and self._is_usable(node, peer)
        }

    @property
    def _state(self) -> CellState:
        return self._follower.cell.state

    async def join(self, journal: Journal) -> None:
        """Tell on the log, once, where others reach this instance.

        :param journal: appends records to the log.
        """
        if not self._own.address:
            return
        while not self._follower.caught_up:
            await self._follower.wait_progress()
        await anyio.sleep(self._random.uniform(0, JOIN_SPREAD_S))
        told = self._state.peers.get(self._node) == self._own
        while not told:
            told = await self._tell_address(journal)

    async def _tell_address(self, journal: Journal) -> bool:
        joined = Joined(self._node, *self._own)
        try:
            await journal.append([joined], JOIN_TIMEOUT_S)
        except (LogUnavailableError, OutcomeUnknownError) as exc:
            _log.warning('address not told', extra={'why': str(exc)})
            await self._follower.wait_progress()
            return False
        return True

    async def relay(
        self, call: Call, reason: str, budget_s: float, *, to_holder: bool
    ) -> Relayed:
        """Pass a call on until an instance serves it.

        :param call: the call.
        :param reason: why this instance does not serve it, for the log.
        :param budget_s: time for all attempts together, in seconds.
        :param to_holder: only the holder of the cell is asked.
        :returns: what became of the call.
        """
        targets = [self.holder] if to_holder else self._draw_targets()
        if self._open_relays >= MAX_OPEN_RELAYS or not call.key.isascii():
            return Relayed()
        self._open_relays += 1
        # Logged if the attempts are canceled.
        found = Relayed(unknown=call.changes_state)
        tries: list[Try] = []
        try:
            found = await self._try_each(
                call, filter(None, targets), budget_s, tries
            )
        finally:
            self._open_relays -= 1
            log_relayed(call, reason, found, tries)
        served = found.answer is not None
        self.counts.served += served
        self.counts.unserved += not served
        return found

    async def hand_over(self, epoch: Epoch) -> str:
        """Ask others to claim the cell, one after the other.

        :param epoch: epoch of this instance, which holds the cell.
        :returns: name of the instance that did; empty if none did.
        """
        body = msgspec.json.encode(HandOver(epoch))
        call = PeerCall('POST', HAND_OVER_PATH, HAND_OVER_TRY_S, body)
        for node in self._shuffled(self._ample_others())[:MAX_HOLDER_TRIES]:
            try:
                reply = await self._endpoint(node).call(call)
            except (OutcomeUnknownError, UnreachableError) as exc:
                fields = {'to': node, 'epoch': epoch, 'why': str(exc)}
                _log.warning('cell not handed over', extra=fields)
                continue
            if reply.status == OK:
                return node
        return ''

    def _ample_others(self) -> list[str]:
        """Return the others that have cores like the best of them.

        A weak holder decides and renews leases late for as long as it holds
        the cell. If no ample one can take it, the claims of all decide.
        """
        others = self.others
        most = max((peer.cores for peer in others.values()), default=0)
        ample = AMPLE_SHARE * most
        return [node for node, peer in others.items() if peer.cores >= ample]

    async def _try_each(
        self,
        call: Call,
        targets: Iterable[str],
        budget_s: float,
        tries: list[Try],
    ) -> Relayed:
        total = Relayed()
        left = list(targets)
        deadline = anyio.current_time() + budget_s
        while left and anyio.current_time() < deadline:
            node = left.pop(0)
            left_s = deadline - anyio.current_time()
            tries.append(Try(node))
            tried = await self._try(
                node, call, min(left_s, TRY_S) if left else left_s
            )
            tries[-1] = Try(node, tried.describe())
            total = total.followed_by(tried)
            if tried.answer is not None:
                break
        return total

    async def _try(self, node: str, call: Call, timeout_s: float) -> Relayed:
        try:
            answer = await self._ask(node, call, timeout_s)
        except UnreachableError:
            self._avoid(node)
            return Relayed(unreached=1)
        except OutcomeUnknownError:
            self._avoid(node)
            return Relayed(unknown=call.changes_state, unreached=1)
        if answer.status == UNAVAILABLE:
            self._avoid(node)
            return Relayed(refused=1, status=UNAVAILABLE)
        if answer.status >= INTERNAL_ERROR:
            # It may have failed half-way.
            unknown = call.changes_state
            return Relayed(refused=1, unknown=unknown, status=answer.status)
        return Relayed(answer, status=answer.status)

    async def _ask(self, node: str, call: Call, timeout_s: float) -> Answer:
        query = urlencode({'path': call.path})
        headers = {
            'Host': call.host,
            'Deadline-Ms': str(int(timeout_s * 1_000)),
            MIN_VERSION_HEADER: str(call.min_version),
        }
        if call.key:
            headers['Authorization'] = format_api_key(call.key)
        request = PeerCall(
            call.method,
            f'{RELAY_PATH}?{query}',
            timeout_s,
            call.content,
            headers,
        )
        reply = await self._endpoint(node).call(request)
        return Answer(reply.status, reply.content)

    def _draw_targets(self) -> list[str]:
        """Draw instances, those that served lately first, then the holder.

        The holder certainly reaches the store, but is to be spared.
        """
        holder = self.holder
        now_ms = self._clock.boot_ms()
        nodes = [node for node in self._shuffled(self.others) if node != holder]
        nodes.sort(key=lambda node: self._avoid_until_ms.get(node, 0) > now_ms)
        return [*nodes[: MAX_TRIES - bool(holder)], holder]

    def _shuffled(self, nodes: Iterable[str]) -> list[str]:
        drawn = list(nodes)
        self._random.shuffle(drawn)
        return drawn

    def _avoid(self, node: str) -> None:
        self._avoid_until_ms[node] = self._clock.boot_ms() + AVOID_MS

    def _is_usable(self, node: str, peer: Peer) -> bool:
        """Return whether an instance told an address; log if it didn't."""
        usable = is_address(peer.address) and is_number(peer.cores)
        if not usable and node not in self._logged_unusable:
            self._logged_unusable.add(node)
            fields = {'node': node[:MAX_SHOWN_CHARS]}
            _log.error('address of instance unusable', extra=fields)
        return usable

    def _endpoint(self, node: str) -> EndpointProtocol:
        peer = self._state.peers.get(node)
        if peer is None:
            raise UnreachableError(f'{node}: its address was forgotten')
        address = peer.address
        endpoint = self._endpoints.get(address)
        if endpoint is None:
            endpoint = self._open(address)
            self._endpoints[address] = endpoint
        return endpoint
