"""How much a read of the log asks for.

Reads share the machine's link and the store. Where one is not served in its
time, asking for the same again may fail for ever, so the size is halved behind
it, and grows by steps with reads that bring records.
"""

from swifthoist_platform.store import MAX_READ_KB

INITIAL_KB = 256
"""What the first read asks for, in KB: the largest record that a store takes.
Newcomers that start together then press the store less."""

MIN_READ_KB = 16
"""Least that a read asks for, in KB: a few dozen records of the usual size."""

STEP_KB = 64
"""Growth with each read that was served, in KB; from the least, four of them
reach the largest record."""


class ReadSize:
    """The size of the next read.

    :ivar max_kb: most that it asks for, in KB.
    """

    def __init__(self) -> None:
        """Begin small."""
        self.max_kb = INITIAL_KB

    def note_timeout(self) -> None:
        """Ask for less: no answer came in time."""
        self.max_kb = max(self.max_kb // 2, MIN_READ_KB)

    def note_served(self) -> None:
        """Ask for more: an answer brought records, or less than there is."""
        self.max_kb = min(self.max_kb + STEP_KB, MAX_READ_KB)
