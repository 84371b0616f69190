"""Leader election for the cell: claims on the log, and holder heartbeats.

The first claim of an epoch in the log wins, and every instance folds the same
result. A holder that stays silent too long is replaced; whatever it appends
afterwards carries an old epoch and has no effect.
"""

import logging
import random
from typing import NamedTuple

import anyio

from swifthoist_core.clock import Clock
from swifthoist_core.errors import LogUnavailableError, OutcomeUnknownError
from swifthoist_core.types import Epoch, InstanceId, Millis
from swifthoist_engine.cell_state import GENERATION, CellState
from swifthoist_engine.records import (
    Beat,
    Claimed,
    HolderGeneration,
    Released,
)
from swifthoist_instance.follower import Follower
from swifthoist_instance.journal import Journal
from swifthoist_instance.leases import MIN_CLOCK_RATE
from swifthoist_instance.peers import node_of
from swifthoist_instance.store_latency import StoreLatency

HOLDER_TIMEOUT_MS = 1_300
"""Silence after which a holder is replaced, in ms: three heartbeats plus the
response time of a slow store."""

HEARTBEAT_INTERVAL_MS = 400
"""Longest interval between records of the holder, in ms."""

CLAIM_JITTER_MS = 300
"""Upper bound of the random delay of a claim, in ms."""

SUFFICIENT_CORES = 1.0
"""CPU with which an instance claims without delay, in cores: three times the
peak use of the holder of a site of 24 runners."""

MAX_CLAIM_DELAY_MS = 800
"""Claim delay of an instance with no CPU at all, in ms: longer than the jitter
of claims, so that every instance with sufficient CPU claims earlier."""

VACANT_CLAIM_JITTER_MS = 60
"""Upper bound of the random delay while nobody holds the cell, in ms."""

MAX_LOG_OUTAGE_MS = 8_000
"""How long a holder keeps renewing leases without news from the log, in ms.
No instance can replace it while the store is unavailable, but it can't
distinguish that from being partitioned from the store itself. A new holder
waits this long before it gives up runs on runners that it can't reach."""

SLOW_ANSWERS = 6
"""Number of answers of the store for which a holder may be silent besides: its
append, a read, and the same again for those that were under way before."""

CLAIM_ANSWERS = 16
"""Number of answers of the store over which claims are spread at least. The
first claim is seen by others after three of them, so most need not claim."""

OUTDATED_HOLDER_MS = 1_000
"""How long a holder of an earlier generation is left in place, in ms, so that
instances that start together don't replace one after the other."""

SOUND_HOLD_MS = 10_000
"""How long an instance held the cell that claims it as its next life for a second
time without waiting for others, in ms: several times the time of a takeover."""

TAKE_OVER_TIMEOUT_S = 0.35
"""Time for a claim that the holder asked for, in seconds."""

POLL_INTERVAL_S = 0.05
APPEND_TIMEOUT_S = 2.0

_log = logging.getLogger(__name__)


def claim_delay_ms(cores: float) -> float:
    """Return how long an instance lets others claim first.

    :param cores: CPU of its machine, in cores.
    :returns: the delay, in ms; 0 if the CPU is sufficient.
    """
    shortfall = max(SUFFICIENT_CORES - cores, 0) / SUFFICIENT_CORES
    return shortfall * MAX_CLAIM_DELAY_MS


class Hold(NamedTuple):
    """A tenure of this instance.

    :ivar epoch: its epoch.
    :ivar since_ms: when its claim was folded, on the clock that counts
        suspension.
    :ivar others_renew_until_ms: latest time at which earlier holders may have
        renewed leases, on the same clock.
    """

    epoch: Epoch
    since_ms: Millis
    others_renew_until_ms: Millis


class _OutdatedHolder(NamedTuple):
    """A holder of an earlier generation, and when it was noticed."""

    epoch: Epoch
    since_ms: Millis


class Tenure:
    """Claims the cell when nobody holds it, and keeps it by heartbeats.

    :ivar stopped_claiming: this instance is leaving and claims no more.
    """

    def __init__(
        self,
        instance: InstanceId,
        follower: Follower,
        journal: Journal,
        clock: Clock,
        cores: float = SUFFICIENT_CORES,
        latency: StoreLatency | None = None,
    ) -> None:
        """Create the tenure of an instance.

        :param instance: unique name of this life of the instance; the part
            after the last separator names the life.
        :param follower: folds the log.
        :param journal: appends to it.
        :param clock: source of the time.
        :param cores: CPU of the machine, in cores; with too little, others
            claim first.
        :param latency: measures the time of the store's answers; None creates
            a new one.
        """
        self.stopped_claiming = False
        self._instance = instance
        self._follower = follower
        self._journal = journal
        self._clock = clock
        self._hold: Hold | None = None
        self._fenced: Epoch = 0
        self._random = random.Random(instance)
        self._claim_delay_ms = claim_delay_ms(cores)
        self._jitter_ms = self._random.uniform(0, CLAIM_JITTER_MS)
        self._heartbeat_ms = 0
        self._latency = latency or StoreLatency(clock)
        self._born_ms = clock.boot_ms()
        self._outdated: _OutdatedHolder | None = None

    @property
    def hold(self) -> Hold | None:
        """The tenure of this instance, or None if it may not act."""
        state = self._follower.cell.state
        deposed = state.epoch <= self._fenced or self._follower.in_gap
        if state.holder != self._instance or deposed:
            self._hold = None
            return None
        if self._hold is None or self._hold.epoch != state.epoch:
            now_ms = self._clock.boot_ms()
            others_renew_until_ms = self._others_renew_until_ms(state, now_ms)
            self._hold = Hold(state.epoch, now_ms, others_renew_until_ms)
        return self._hold if self._log_is_recent(MAX_LOG_OUTAGE_MS) else None

    def note_fenced(self, epoch: Epoch) -> None:
        """Record that a runner has seen a newer epoch.

        :param epoch: the epoch that it rejected.
        """
        if epoch > self._fenced:
            _log.warning('deposed', extra={'epoch': epoch})
        self._fenced = max(self._fenced, epoch)

    async def run(self) -> None:
        """Claim the cell and keep it, until canceled."""
        while True:
            if self.hold is not None:
                await self._send_heartbeat()
            elif self._may_claim():
                await self._claim()
            await anyio.sleep(POLL_INTERVAL_S)

    async def release(self, timeout_s: float) -> None:
        """Release the cell, if this instance holds it.

        :param timeout_s: timeout of the append, in seconds.
        """
        self.stopped_claiming = True
        hold = self.hold
        if hold is None:
            return
        try:
            await self._journal.append([Released(hold.epoch)], timeout_s)
        except (LogUnavailableError, OutcomeUnknownError) as exc:
            _log.warning('release of cell failed', extra={'why': str(exc)})

    async def take_over(self, epoch: Epoch) -> bool:
        """Claim the cell, as its holder asked.

        :param epoch: epoch of that holder.
        :returns: whether this instance holds the cell now.
        """
        follower = self._follower
        if self.stopped_claiming or not follower.caught_up:
            return False
        await follower.refresh()
        reads_succeed = follower.reading_since_ms is not None
        if not reads_succeed or follower.cell.state.epoch != epoch:
            return False
        with anyio.move_on_after(TAKE_OVER_TIMEOUT_S):
            await self._claim()
        return self.hold is not None

    def _others_renew_until_ms(
        self, state: CellState, now_ms: Millis
    ) -> Millis:
        """Return the latest time at which earlier holders renewed leases.

        A holder keeps renewing for up to ``MAX_LOG_OUTAGE_MS`` without the
        log. If the former holder was an earlier life of this instance, it has
        ended; if it also held the cell for longer than that, so have the
        holders before it.
        """
        former_held_long = state.former_ms * MIN_CLOCK_RATE > MAX_LOG_OUTAGE_MS
        if former_held_long and self._is_earlier_life(state.former):
            return self._born_ms
        return now_ms + MAX_LOG_OUTAGE_MS

    def _log_is_recent(self, limit_ms: Millis) -> bool:
        last_read_ms = self._follower.last_read_ms
        if last_read_ms is None:
            return False
        return self._clock.boot_ms() - last_read_ms < limit_ms

    def _may_claim(self) -> bool:
        follower = self._follower
        if self.stopped_claiming or not follower.caught_up:
            return False
        reading_since_ms = follower.reading_since_ms
        answer_ms = int(self._latency.answer_s * 1_000)
        timeout_ms = HOLDER_TIMEOUT_MS + SLOW_ANSWERS * answer_ms
        if reading_since_ms is None or not self._log_is_recent(timeout_ms):
            return False
        claim_ms = max(follower.holder_seen_ms, reading_since_ms)
        claim_ms += int(self._claim_delay_ms)
        holder = follower.cell.state.holder
        outdated_ms = self._outdated_since_ms(follower.cell.state)
        if not holder or self._may_continue(follower.cell.state):
            spread_ms = VACANT_CLAIM_JITTER_MS
        else:
            spread_ms = CLAIM_JITTER_MS
            claim_ms += timeout_ms
        if outdated_ms is not None:
            claim_ms = min(claim_ms, outdated_ms + OUTDATED_HOLDER_MS)
        if self._latency.slow:
            spread_ms = max(spread_ms, CLAIM_ANSWERS * answer_ms)
        claim_ms += int(self._jitter_ms * spread_ms / CLAIM_JITTER_MS)
        if self._clock.boot_ms() <= claim_ms:
            return False
        # A read since then would show the claim of another instance.
        return follower.has_read_since(claim_ms)

    def _outdated_since_ms(self, state: CellState) -> Millis | None:
        """Return since when the holder is known to be of an earlier generation.

        :returns: the time at which this instance noticed; None if it is not.
        """
        if not state.holder or state.holder_generation >= GENERATION:
            self._outdated = None
            return None
        if self._outdated is None or self._outdated.epoch != state.epoch:
            self._outdated = _OutdatedHolder(state.epoch, self._clock.boot_ms())
        return self._outdated.since_ms

    def _is_earlier_life(self, holder: InstanceId) -> bool:
        """Return whether a holder is an earlier life of this instance.

        It has certainly ended, since this one runs.
        """
        node = node_of(self._instance)
        return bool(node) and node_of(holder) == node

    def _may_continue(self, state: CellState) -> bool:
        """Return whether this instance claims at once as its next life.

        If it has just done so in vain, others claim first: what ended its
        earlier lives may end this one, too.
        """
        held_ms = state.time_ms - state.claimed_ms
        sound = held_ms >= SOUND_HOLD_MS
        return self._is_earlier_life(state.holder) and (
            sound or not self._is_earlier_life(state.former)
        )

    async def _claim(self) -> None:
        self._jitter_ms = self._random.uniform(0, CLAIM_JITTER_MS)
        state = self._follower.cell.state
        now_ms = self._follower.time.now_ms()
        claim = Claimed(state.epoch + 1, self._instance, now_ms)
        generation = HolderGeneration(claim.epoch, self._instance, GENERATION)
        _log.info(
            'claim',
            extra={'epoch': claim.epoch, 'replaces': state.holder},
        )
        try:
            offset = await self._journal.append(
                [claim, generation], APPEND_TIMEOUT_S
            )
        except (LogUnavailableError, OutcomeUnknownError) as exc:
            _log.warning('claim failed', extra={'why': str(exc)})
            return
        await self._follower.wait_folded(offset, APPEND_TIMEOUT_S)
        if self.hold is not None:
            _log.info('holds', extra={'epoch': claim.epoch})

    async def _send_heartbeat(self) -> None:
        now_ms = self._clock.boot_ms()
        holder_seen_ms = self._follower.holder_seen_ms
        if (
            now_ms - max(holder_seen_ms, self._heartbeat_ms)
            < HEARTBEAT_INTERVAL_MS
        ):
            return
        hold = self.hold
        if hold is None:
            return
        self._heartbeat_ms = now_ms
        beat = Beat(hold.epoch, self._follower.time.now_ms())
        try:
            await self._journal.append([beat], APPEND_TIMEOUT_S)
        except (LogUnavailableError, OutcomeUnknownError) as exc:
            _log.warning('heartbeat failed', extra={'why': str(exc)})
