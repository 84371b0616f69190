"""Who holds the cell: claims on the log, and heartbeats of the holder.

The first claim of an epoch that the log has is the holder; every instance
folds the same. A holder that is silent for a while is replaced, and what it
still appends carries an old epoch and changes nothing.
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
from swifthoist_instance.leases import SLOWEST

SILENCE_MS = 1_300
"""How long a holder may be silent before it is replaced, in ms: three
heartbeats and the answers of a slow store."""

BEAT_MS = 400
"""Longest pause between records of the holder, in ms."""

SPREAD_MS = 300
"""Claims of several instances spread over this time, in ms."""

AMPLE_CORES = 1.0
"""Processor, in cores, with which a machine can hold the cell: three times
what the holder of a site of 24 runners uses at its most."""

WEAK_DELAY_MS = 800
"""How long an instance without any processor would let others claim first, in
ms: more than the spread of claims, so that any ample one comes before."""

EMPTY_SPREAD_MS = 60
"""The same where nobody holds the cell."""

OUTAGE_MS = 8_000
"""How long a holder goes on renewing leases without hearing from the log, in
ms. Nobody can replace it while the store is away, but it can't tell that from
being cut off itself; a new holder waits for this time before it gives up runs
on runners that it can't reach."""

LIFE_MARK = '.'
"""What stands between the name of an instance and that of its life."""

CHECK_S = 0.05
CLAIM_TIMEOUT_S = 2.0

_log = logging.getLogger(__name__)


def claim_delay_ms(cores: float) -> float:
    """Tell for how long a machine lets others claim first.

    :param cores: processor of the machine, in cores.
    :returns: the delay, in ms; 0 for an ample one.
    """
    lack = max(AMPLE_CORES - cores, 0) / AMPLE_CORES
    return lack * WEAK_DELAY_MS


class Hold(NamedTuple):
    """A tenure of this instance.

    :ivar epoch: its epoch.
    :ivar since_ms: when it was folded, on the clock that counts suspension.
    :ivar others_ms: until when earlier holders may have renewed leases, on
        the same clock.
    """

    epoch: Epoch
    since_ms: Millis
    others_ms: Millis


class Tenure:
    """Claims the cell when nobody holds it, and keeps it.

    :ivar resting: this instance no longer claims, since it leaves.
    """

    def __init__(
        self,
        instance: InstanceId,
        follower: Follower,
        journal: Journal,
        clock: Clock,
        cores: float = AMPLE_CORES,
    ) -> None:
        """Claim for an instance.

        :param instance: name of this life of the instance; unique. Behind the
            last mark stands the life.
        :param follower: folds the log.
        :param journal: appends to it.
        :param clock: tells the time.
        :param cores: processor of the machine, in cores; a weak one lets
            others claim first.
        """
        self.resting = False
        self._instance = instance
        self._follower = follower
        self._journal = journal
        self._clock = clock
        self._hold: Hold | None = None
        self._fenced: Epoch = 0
        self._random = random.Random(instance)
        self._delay_ms = claim_delay_ms(cores)
        self._patience_ms = self._random.uniform(0, SPREAD_MS)
        self._beat_ms = 0
        self._born_ms = clock.boot_ms()

    @property
    def hold(self) -> Hold | None:
        """The tenure of this instance, or none if it may not act."""
        state = self._follower.cell.state
        if state.holder != self._instance or state.epoch <= self._fenced:
            self._hold = None
            return None
        if self._hold is None or self._hold.epoch != state.epoch:
            now_ms = self._clock.boot_ms()
            others_ms = self._others_ms(state, now_ms)
            self._hold = Hold(state.epoch, now_ms, others_ms)
        return self._hold if self._recent(OUTAGE_MS) else None

    def note_fenced(self, epoch: Epoch) -> None:
        """Note that a runner has seen a newer epoch.

        :param epoch: the epoch that it rejected.
        """
        if epoch > self._fenced:
            _log.warning('deposed', extra={'epoch': epoch})
        self._fenced = max(self._fenced, epoch)

    async def run(self) -> None:
        """Claim and keep the cell, until canceled."""
        while True:
            if self.hold is not None:
                await self._beat()
            elif self._claimable():
                await self._claim()
            await anyio.sleep(CHECK_S)

    async def release(self, timeout_s: float) -> None:
        """Give the cell up, if this instance holds it.

        :param timeout_s: time to do so, in seconds.
        """
        self.resting = True
        hold = self.hold
        if hold is None:
            return
        try:
            await self._journal.append([Released(hold.epoch)], timeout_s)
        except (LogUnavailableError, OutcomeUnknownError) as exc:
            _log.warning('cell not released', extra={'why': str(exc)})

    def _others_ms(self, state: CellState, now_ms: Millis) -> Millis:
        """Tell until when earlier holders may have renewed leases.

        They go on for a while without the log. Where the one before was an
        earlier life of this instance, it has ended; so have those before it,
        if it held the cell for longer than they go on.
        """
        long_past = state.former_ms * SLOWEST > OUTAGE_MS
        if long_past and self._is_own_past(state.former):
            return self._born_ms
        return now_ms + OUTAGE_MS

    def _recent(self, limit_ms: Millis) -> bool:
        last_read_ms = self._follower.last_read_ms
        if last_read_ms is None:
            return False
        return self._clock.boot_ms() - last_read_ms < limit_ms

    def _claimable(self) -> bool:
        follower = self._follower
        if self.resting or not follower.caught_up:
            return False
        reading_since_ms = follower.reading_since_ms
        if reading_since_ms is None or not self._recent(SILENCE_MS):
            return False
        quiet_ms = self._clock.boot_ms() - max(
            follower.holder_seen_ms, reading_since_ms
        )
        quiet_ms -= int(self._delay_ms)
        holder = follower.cell.state.holder
        if not holder or self._is_own_past(holder):
            return quiet_ms > self._patience_ms * EMPTY_SPREAD_MS / SPREAD_MS
        return quiet_ms > SILENCE_MS + self._patience_ms

    def _is_own_past(self, holder: InstanceId) -> bool:
        """Tell whether an earlier life of this instance held the cell.

        It has surely ended, since this one runs.
        """
        node = self._instance.rpartition(LIFE_MARK)[0]
        return bool(node) and holder.rpartition(LIFE_MARK)[0] == node

    async def _claim(self) -> None:
        self._patience_ms = self._random.uniform(0, SPREAD_MS)
        state = self._follower.cell.state
        now_ms = self._follower.time.now_ms()
        claim = Claimed(state.epoch + 1, self._instance, now_ms)
        _log.info(
            'claim',
            extra={'epoch': claim.epoch, 'replaces': state.holder},
        )
        try:
            offset = await self._journal.append([claim], CLAIM_TIMEOUT_S)
        except (LogUnavailableError, OutcomeUnknownError) as exc:
            _log.warning('claim failed', extra={'why': str(exc)})
            return
        await self._follower.wait_folded(offset, CLAIM_TIMEOUT_S)
        if self.hold is not None:
            _log.info('holds', extra={'epoch': claim.epoch})

    async def _beat(self) -> None:
        now_ms = self._clock.boot_ms()
        holder_seen_ms = self._follower.holder_seen_ms
        if now_ms - max(holder_seen_ms, self._beat_ms) < BEAT_MS:
            return
        hold = self.hold
        if hold is None:
            return
        self._beat_ms = now_ms
        beat = Beat(hold.epoch, self._follower.time.now_ms())
        try:
            await self._journal.append([beat], CLAIM_TIMEOUT_S)
        except (LogUnavailableError, OutcomeUnknownError) as exc:
            _log.warning('heartbeat failed', extra={'why': str(exc)})
