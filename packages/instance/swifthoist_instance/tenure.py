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
from swifthoist_engine.cell import CellState
from swifthoist_engine.records import Beat, Claimed, Released
from swifthoist_instance.follower import Follower
from swifthoist_instance.journal import Journal
from swifthoist_instance.leases import MIN_CLOCK_RATE

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

LIFE_SEPARATOR = '.'
"""Separates the name of an instance from that of its life (one start of its
process)."""

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
    ) -> None:
        """Create the tenure of an instance.

        :param instance: unique name of this life of the instance; the part
            after the last separator names the life.
        :param follower: folds the log.
        :param journal: appends to it.
        :param clock: source of the time.
        :param cores: CPU of the machine, in cores; with too little, others
            claim first.
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
        self._born_ms = clock.boot_ms()

    @property
    def hold(self) -> Hold | None:
        """The tenure of this instance, or None if it may not act."""
        state = self._follower.cell.state
        if state.holder != self._instance or state.epoch <= self._fenced:
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
        if reading_since_ms is None or not self._log_is_recent(
            HOLDER_TIMEOUT_MS
        ):
            return False
        quiet_ms = self._clock.boot_ms() - max(
            follower.holder_seen_ms, reading_since_ms
        )
        quiet_ms -= int(self._claim_delay_ms)
        holder = follower.cell.state.holder
        if not holder or self._is_earlier_life(holder):
            return (
                quiet_ms
                > self._jitter_ms * VACANT_CLAIM_JITTER_MS / CLAIM_JITTER_MS
            )
        return quiet_ms > HOLDER_TIMEOUT_MS + self._jitter_ms

    def _is_earlier_life(self, holder: InstanceId) -> bool:
        """Return whether a holder is an earlier life of this instance.

        It has certainly ended, since this one runs.
        """
        node = self._instance.rpartition(LIFE_SEPARATOR)[0]
        return bool(node) and holder.rpartition(LIFE_SEPARATOR)[0] == node

    async def _claim(self) -> None:
        self._jitter_ms = self._random.uniform(0, CLAIM_JITTER_MS)
        state = self._follower.cell.state
        now_ms = self._follower.time.now_ms()
        claim = Claimed(state.epoch + 1, self._instance, now_ms)
        _log.info(
            'claim',
            extra={'epoch': claim.epoch, 'replaces': state.holder},
        )
        try:
            offset = await self._journal.append([claim], APPEND_TIMEOUT_S)
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
