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
from swifthoist_instance.leases import MIN_CLOCK_RATE

HOLDER_TIMEOUT_MS = 1_300
"""How long a holder may be silent before it is replaced, in ms: three
heartbeats and the answers of a slow store."""

HEARTBEAT_INTERVAL_MS = 400
"""Longest pause between records of the holder, in ms."""

CLAIM_JITTER_MS = 300
"""Claims of several instances spread over this time, in ms."""

SUFFICIENT_CORES = 1.0
"""Processor, in cores, with which a machine can hold the cell: three times
what the holder of a site of 24 runners uses at its most."""

MAX_CLAIM_DELAY_MS = 800
"""How long an instance without any processor would let others claim first, in
ms: more than the spread of claims, so that any ample one comes before."""

VACANT_CLAIM_JITTER_MS = 60
"""The same where nobody holds the cell."""

MAX_LOG_OUTAGE_MS = 8_000
"""How long a holder goes on renewing leases without hearing from the log, in
ms. Nobody can replace it while the store is away, but it can't tell that from
being cut off itself; a new holder waits for this time before it gives up runs
on runners that it can't reach."""

LIFE_SEPARATOR = '.'
"""What stands between the name of an instance and that of its life."""

POLL_INTERVAL_S = 0.05
APPEND_TIMEOUT_S = 2.0

_log = logging.getLogger(__name__)


def claim_delay_ms(cores: float) -> float:
    """Tell for how long a machine lets others claim first.

    :param cores: processor of the machine, in cores.
    :returns: the delay, in ms; 0 for an ample one.
    """
    shortfall = max(SUFFICIENT_CORES - cores, 0) / SUFFICIENT_CORES
    return shortfall * MAX_CLAIM_DELAY_MS


class Hold(NamedTuple):
    """A tenure of this instance.

    :ivar epoch: its epoch.
    :ivar since_ms: when it was folded, on the clock that counts suspension.
    :ivar others_renew_until_ms: until when earlier holders may have renewed leases, on
        the same clock.
    """

    epoch: Epoch
    since_ms: Millis
    others_renew_until_ms: Millis


class Tenure:
    """Claims the cell when nobody holds it, and keeps it.

    :ivar stopped_claiming: this instance no longer claims, since it leaves.
    """

    def __init__(
        self,
        instance: InstanceId,
        follower: Follower,
        journal: Journal,
        clock: Clock,
        cores: float = SUFFICIENT_CORES,
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
        """The tenure of this instance, or none if it may not act."""
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
                await self._send_heartbeat()
            elif self._may_claim():
                await self._claim()
            await anyio.sleep(POLL_INTERVAL_S)

    async def release(self, timeout_s: float) -> None:
        """Give the cell up, if this instance holds it.

        :param timeout_s: time to do so, in seconds.
        """
        self.stopped_claiming = True
        hold = self.hold
        if hold is None:
            return
        try:
            await self._journal.append([Released(hold.epoch)], timeout_s)
        except (LogUnavailableError, OutcomeUnknownError) as exc:
            _log.warning('cell not released', extra={'why': str(exc)})

    def _others_renew_until_ms(
        self, state: CellState, now_ms: Millis
    ) -> Millis:
        """Tell until when earlier holders may have renewed leases.

        They go on for a while without the log. Where the one before was an
        earlier life of this instance, it has ended; so have those before it,
        if it held the cell for longer than they go on.
        """
        former_held_long = state.former_ms * MIN_CLOCK_RATE > MAX_LOG_OUTAGE_MS
        if former_held_long and self._is_earlier_life(state.former):
            return self._born_ms
        return now_ms + MAX_LOG_OUTAGE_MS

    def _log_is_recent(self, limit_ms: Millis) -> bool:
        confirmed_ms = self._follower.confirmed_ms
        if confirmed_ms is None:
            return False
        return self._clock.boot_ms() - confirmed_ms < limit_ms

    def _may_claim(self) -> bool:
        follower = self._follower
        if self.stopped_claiming or not follower.caught_up:
            return False
        healthy_ms = follower.healthy_ms
        if healthy_ms is None or not self._log_is_recent(HOLDER_TIMEOUT_MS):
            return False
        quiet_ms = self._clock.boot_ms() - max(follower.heard_ms, healthy_ms)
        quiet_ms -= int(self._claim_delay_ms)
        holder = follower.cell.state.holder
        if not holder or self._is_earlier_life(holder):
            return (
                quiet_ms
                > self._jitter_ms * VACANT_CLAIM_JITTER_MS / CLAIM_JITTER_MS
            )
        return quiet_ms > HOLDER_TIMEOUT_MS + self._jitter_ms

    def _is_earlier_life(self, holder: InstanceId) -> bool:
        """Tell whether an earlier life of this instance held the cell.

        It has surely ended, since this one runs.
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
        heard_ms = self._follower.heard_ms
        if now_ms - max(heard_ms, self._heartbeat_ms) < HEARTBEAT_INTERVAL_MS:
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
