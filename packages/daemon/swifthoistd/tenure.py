"""The lease of the cell: one instance at a time decides placement.

The log judges by its own time, which a claimant only learns from records. So
an idle instance tries after the lease has passed on its own clock since it
last saw the holder act, and the fold says whether that was too early. The
holder counts from the moment before it handed its renewal on, which is never
later than the log's stamp, on a clock that counts suspension.
"""

import random

import anyio

from swifthoist_core.cells import CellState
from swifthoist_core.clock import Clock
from swifthoist_core.errors import LogUnavailableError, OutcomeUnknownError
from swifthoist_core.records import CellClaimed, CellReleased, CellRenewed
from swifthoist_core.types import Epoch, Millis
from swifthoistd.follower import Follower
from swifthoistd.journal import Journal

LEASE_MS = 3_000
"""How long a claim or renewal holds, in ms."""

MARGIN_MS = 300
"""What a holder takes off its lease for drift between clocks, in ms."""

_RENEWALS_PER_LEASE = 3
_JITTER_SHARE = 6
_MS_PER_S = 1_000


class Tenure:
    """What this instance may decide, and until when."""

    def __init__(
        self,
        follower: Follower,
        journal: Journal,
        clock: Clock,
        *,
        lease_ms: Millis = LEASE_MS,
        dice: random.Random | None = None,
    ) -> None:
        """Start without the cell.

        :param follower: the reader of records.
        :param journal: the writer of records.
        :param clock: clocks of the machine.
        :param lease_ms: how long a claim or renewal holds, in ms.
        :param dice: source of jitter.
        """
        self._ledger = follower.ledger
        self._follower = follower
        self._journal = journal
        self._clock = clock
        self._lease_ms = lease_ms
        self._dice = dice or random.Random()
        self._until_ms: Millis = 0
        self._seen = CellState()
        self._seen_ms = clock.boot_ms()
        self._resigned = False

    @property
    def epoch(self) -> Epoch:
        """The epoch in which this instance decides, 0 for none."""
        return self._ledger.cell.state.epoch if self.may_act() else 0

    def may_act(self) -> bool:
        """Tell whether this instance surely still holds the cell."""
        if not self._holds() or self._resigned:
            return False
        return self._clock.boot_ms() < self._until_ms

    async def run(self) -> None:
        """Claim the cell when it is free; renew it while it is held."""
        while not self._resigned:
            if self._holds():
                await self._renew()
            else:
                await self._stand_by()

    async def release(self, timeout_s: float) -> None:
        """Give the cell up, so that another instance can claim it at once.

        :param timeout_s: how long to wait for the log, in seconds.
        """
        held = self._holds()
        self._resigned = True
        if not held:
            return
        record = CellReleased(self._ledger.cell.state.epoch)
        await self._accepted(record, timeout_s)

    def _holds(self) -> bool:
        return self._ledger.cell.state.holder == self._journal.author

    async def _renew(self) -> None:
        third_s = self._lease_ms / _RENEWALS_PER_LEASE / _MS_PER_S
        started_ms = self._clock.boot_ms()
        record = CellRenewed(self._ledger.cell.state.epoch, self._lease_ms)
        if await self._accepted(record, third_s):
            self._extend(started_ms)
        spent_s = (self._clock.boot_ms() - started_ms) / _MS_PER_S
        await anyio.sleep(max(third_s - spent_s, third_s / 10))

    async def _stand_by(self) -> None:
        if not self._looks_free():
            with anyio.move_on_after(self._pause_s()):
                await self._follower.changed()
            return
        jitter_ms = self._lease_ms / _JITTER_SHARE
        await anyio.sleep(self._dice.uniform(0, jitter_ms) / _MS_PER_S)
        if self._looks_free() and not self._resigned:
            await self._claim()

    async def _claim(self) -> None:
        started_ms = self._clock.boot_ms()
        epoch = self._ledger.cell.state.epoch + 1
        record = CellClaimed(
            epoch, self._journal.author.instance, self._lease_ms
        )
        if await self._accepted(record, self._lease_ms / _MS_PER_S):
            self._extend(started_ms)

    def _looks_free(self) -> bool:
        """Tell whether the lease has passed, as far as one can know here."""
        state = self._ledger.cell.state
        if state != self._seen:
            self._seen = state
            self._seen_ms = self._clock.boot_ms()
        if self._follower.freshness_ms is None:
            return False
        if state.lease_until_ms <= self._ledger.time_ms:
            return True
        return self._clock.boot_ms() >= self._seen_ms + self._lease_ms

    def _pause_s(self) -> float:
        lapse_ms = self._seen_ms + self._lease_ms - self._clock.boot_ms()
        longest_ms = self._lease_ms / _JITTER_SHARE
        return min(max(lapse_ms, 1), longest_ms) / _MS_PER_S

    def _extend(self, started_ms: Millis) -> None:
        until_ms = started_ms + self._lease_ms - MARGIN_MS
        self._until_ms = max(self._until_ms, until_ms)

    async def _accepted(
        self, record: CellClaimed | CellRenewed | CellReleased, timeout_s: float
    ) -> bool:
        try:
            verdict = await self._journal.commit(record, timeout_s)
        except (LogUnavailableError, OutcomeUnknownError):
            return False
        return verdict.accepted
