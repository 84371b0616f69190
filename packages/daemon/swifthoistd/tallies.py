"""Counts of requests on their way to the account."""

import anyio

from swifthoist_core.counting import Counting
from swifthoist_core.errors import LogUnavailableError, OutcomeUnknownError
from swifthoistd.journal import Journal

APPEND_S = 5.0
"""Time between two records of counts, in seconds."""

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
        while True:
            await anyio.sleep(APPEND_S)
            await self.append()

    async def append(self) -> None:
        """Append what was counted since the last time."""
        counted = self._counting.drain()
        if counted is None:
            return
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
