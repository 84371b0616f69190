"""Counts of requests on their way to the account."""

import anyio
import msgspec

from swifthoist_core.counting import Counting
from swifthoist_core.errors import LogUnavailableError, OutcomeUnknownError
from swifthoistd.journal import Journal

APPEND_S = 5.0
"""Least time between two records of counts, in seconds."""

MAX_APPEND_S = 60.0
"""Greatest time between two records of counts, in seconds."""

BYTES_PER_S = 120
"""What the records of one instance may take of the log, in bytes a second.
Every instance reads them all, so few teams report often and many seldom."""

COMMIT_S = 10.0
"""Time for one such record, in seconds."""


class Tallies:
    """Appends what was counted; nothing is lost or counted twice."""

    def __init__(self, counting: Counting, journal: Journal) -> None:
        """Wire the parts.

        :param counting: the counts.
        :param journal: the writer of records.
        """
        self._counting = counting
        self._journal = journal

    async def run(self) -> None:
        """Append now and then, for as long as the instance lives."""
        pause_s = APPEND_S
        while True:
            await anyio.sleep(pause_s)
            pause_s = pause_after(await self.append())

    async def append(self) -> int:
        """Append what was counted since the last time.

        :returns: size of the record, in bytes; 0 if there was none.
        """
        counted = self._counting.drain()
        if counted is None:
            return 0
        try:
            await self._journal.commit(counted, COMMIT_S)
        except LogUnavailableError:
            self._counting.merge_back(counted)
        except OutcomeUnknownError:
            # The journal goes on with a record that it has sent, so the
            # counts reach the log once, only later.
            self._counting.confirm(counted)
        else:
            self._counting.confirm(counted)
        return len(msgspec.msgpack.encode(counted))


def pause_after(size: int) -> float:
    """Tell how long to count before the next record.

    :param size: size of the last record, in bytes.
    :returns: seconds.
    """
    return min(max(size / BYTES_PER_S, APPEND_S), MAX_APPEND_S)
