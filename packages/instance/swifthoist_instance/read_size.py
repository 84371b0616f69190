"""How much a read of the log asks for.

Reads share the machine's link and the store. Where one can't be served in its
time, asking for the same again may fail for ever, so the size follows what is
served: it is halved where no answer came in time, and grows by steps while reads
bring all that they ask for.
"""

from swifthoist_platform.store import MAX_READ_KB

MIN_READ_KB = 16
"""Least that a read asks for, in KB: a few dozen records of the usual size."""

STEP_KB = 64
"""Growth behind a read that was filled, in KB; four of them reach the largest
record that a store takes."""


class ReadSize:
    """The size of the next read.

    :ivar most_kb: most that it asks for, in KB.
    """

    def __init__(self) -> None:
        """Begin with the largest read."""
        self.most_kb = MAX_READ_KB

    def note_unserved(self) -> None:
        """Ask for less: no whole answer came in time."""
        self.most_kb = max(self.most_kb // 2, MIN_READ_KB)

    def note_filled(self) -> None:
        """Ask for more: there is more than the answer brought."""
        self.most_kb = min(self.most_kb + STEP_KB, MAX_READ_KB)
