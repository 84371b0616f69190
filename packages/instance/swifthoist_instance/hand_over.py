"""Hands the cell over while the store turns its holder away.

The store may refuse one instance and serve the others. The others can't see
that, and would claim the cell only once its holder has been silent for long.
"""

import logging

import anyio

from swifthoist_core.clock import Clock
from swifthoist_core.errors import LogUnavailableError, OutcomeUnknownError
from swifthoist_engine.records import Beat
from swifthoist_instance.follower import Follower
from swifthoist_instance.journal import Journal
from swifthoist_instance.peers import Peers
from swifthoist_instance.store_latency import StoreLatency
from swifthoist_instance.tenure import Hold, Tenure

CONFIRM_PAUSE_S = 0.05
"""Pause before a refused append is followed by another, in seconds, so that a
single refusal does not move the cell."""

CONFIRM_TIMEOUT_S = 0.2
"""Timeout of that append, in seconds."""

RETRY_S = 1.0
"""Pause after no other instance could claim the cell, in seconds: most likely
the store serves nobody."""

_log = logging.getLogger(__name__)


class HandOverWatch:
    """Hands the cell over when the store refuses the holder's appends.

    :ivar handed_over: number of times that the cell was handed over.
    """

    def __init__(
        self,
        tenure: Tenure,
        follower: Follower,
        journal: Journal,
        peers: Peers,
        latency: StoreLatency,
        clock: Clock,
    ) -> None:
        """Watch the appends of an instance.

        :param tenure: knows whether this instance holds the cell.
        :param follower: maintains the cell state from the log.
        :param journal: appends records to the log.
        :param peers: the other instances.
        :param latency: measures the time of the store's answers.
        :param clock: source of time.
        """
        self.handed_over = 0
        self._tenure = tenure
        self._follower = follower
        self._journal = journal
        self._peers = peers
        self._latency = latency
        self._clock = clock

    async def run(self) -> None:
        """Hand the cell over whenever that is due, until canceled."""
        while True:
            await self._journal.turned_away.wait()
            began_ms = self._clock.boot_ms()
            self._journal.turned_away = anyio.Event()
            hold = self._tenure.hold
            if hold is None or not await self._still_refused(hold):
                continue
            taken_by = await self._peers.hand_over(hold.epoch)
            if not taken_by:
                await anyio.sleep(RETRY_S)
                continue
            self.handed_over += 1
            fields = {
                'epoch': hold.epoch,
                'to': taken_by,
                'refused_ms': self._clock.boot_ms() - began_ms,
                'why': 'the store refuses the appends of this instance',
            }
            _log.warning('cell handed over', extra=fields)
            self._tenure.note_fenced(hold.epoch)

    async def _still_refused(self, hold: Hold) -> bool:
        """Return whether another append is refused, too.

        A slow store refuses appends that would wait too long in its queue;
        those of another holder would wait there as well.
        """
        await anyio.sleep(CONFIRM_PAUSE_S)
        if self._latency.slow:
            return False
        beat = Beat(hold.epoch, self._follower.time.now_ms())
        try:
            await self._journal.append([beat], CONFIRM_TIMEOUT_S)
        except (LogUnavailableError, OutcomeUnknownError) as exc:
            _log.info('append refused again', extra={'why': str(exc)})
            return self._tenure.hold == hold
        return False
