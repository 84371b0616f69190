"""Adapts the size of reads of the log.

Reads share the machine's link and the store. After a timeout, a read of the
same size might time out forever, so the size is halved. It grows again in steps
with reads that return records.
"""

from swifthoist_platform.store import MAX_READ_KB

INITIAL_KB = 256
"""Size of the first read, in KB: the largest record that a store accepts. A
small first read reduces the load when many instances start together."""

MIN_READ_KB = 16
"""Minimum size of a read, in KB: a few dozen records of the usual size."""

STEP_KB = 64
"""Growth after each read that was served, in KB. Four steps from the minimum
reach the largest record."""


class ReadSize:
    """The size of the next read.

    :ivar max_kb: maximum size of the response, in KB.
    """

    def __init__(self) -> None:
        """Start with INITIAL_KB."""
        self.max_kb = INITIAL_KB

    def note_timeout(self) -> None:
        """Halve the size after a timeout."""
        self.max_kb = max(self.max_kb // 2, MIN_READ_KB)

    def note_served(self) -> None:
        """Grow after a response that had records or did not reach the end."""
        self.max_kb = min(self.max_kb + STEP_KB, MAX_READ_KB)
