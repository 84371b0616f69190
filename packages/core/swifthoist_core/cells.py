"""The cell: who decides placement, in which epoch, and until when."""

from typing import NamedTuple

from swifthoist_core.records import (
    Author,
    CellClaimed,
    CellReleased,
    CellRenewed,
)
from swifthoist_core.types import Epoch, Millis

_NOBODY = Author('', 0)


class CellState(NamedTuple):
    """State of the cell at an offset.

    :ivar epoch: the current epoch, 0 before the first claim.
    :ivar holder: the instance that opened it.
    :ivar lease_until_ms: log time until which nobody else may claim.
    """

    epoch: Epoch = 0
    holder: Author = _NOBODY
    lease_until_ms: Millis = 0


class Cell:
    """The aggregate of epochs; time is the time that the log stamped.

    :ivar state: the state at the offset that was folded last.
    """

    def __init__(self, state: CellState | None = None) -> None:
        """Start from a state.

        :param state: the state to go on from; none for a new cell.
        """
        self.state = state or CellState()

    def claim(
        self, author: Author, record: CellClaimed, time_ms: Millis
    ) -> str:
        """Open the next epoch, unless the lease of the last one runs.

        :param author: who claims.
        :param record: the claim.
        :param time_ms: time of the record in the log.
        :returns: why it is rejected, empty if accepted.
        """
        if record.epoch != self.state.epoch + 1:
            return 'stale epoch'
        if time_ms < self.state.lease_until_ms:
            return 'lease of the holder still runs'
        until_ms = time_ms + record.lease_ms
        self.state = CellState(record.epoch, author, until_ms)
        return ''

    def renew(
        self, author: Author, record: CellRenewed, time_ms: Millis
    ) -> str:
        """Extend the lease of the current epoch.

        :param author: who renews.
        :param record: the renewal.
        :param time_ms: time of the record in the log.
        :returns: why it is rejected, empty if accepted.
        """
        reason = self.check(author, record.epoch)
        if reason:
            return reason
        until_ms = time_ms + record.lease_ms
        self.state = self.state._replace(lease_until_ms=until_ms)
        return ''

    def release(self, author: Author, record: CellReleased) -> str:
        """End the lease at once, so that another instance can claim.

        :param author: who releases.
        :param record: the release.
        :returns: why it is rejected, empty if accepted.
        """
        reason = self.check(author, record.epoch)
        if reason:
            return reason
        self.state = self.state._replace(holder=_NOBODY, lease_until_ms=0)
        return ''

    def check(self, author: Author, epoch: Epoch) -> str:
        """Tell whether an author may decide in an epoch.

        :param author: who decided.
        :param epoch: the epoch that it believes in.
        :returns: why not, empty if it may.
        """
        if epoch != self.state.epoch:
            return 'stale epoch'
        if author != self.state.holder:
            return 'not the holder'
        return ''
