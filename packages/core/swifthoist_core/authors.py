"""Which records of each author are folded, so that none counts twice.

The records of one author fold in the order of their numbers, without gaps.
A second copy of a record is a duplicate. A record that overtook an earlier
one is out of order: it has no effect, and its author appends it again behind
the one it overtook.
"""

from typing import NamedTuple

from swifthoist_core.records import Author
from swifthoist_core.types import Millis

KEEP_MS = 7 * 24 * 3_600_000
"""How long an author is remembered after its last record, in ms."""

DUPLICATE = 'duplicate'
OUT_OF_ORDER = 'out of order'


class Seen(NamedTuple):
    """Records of one author that are folded.

    :ivar upto: every record up to this number is folded, none beyond.
    :ivar at_ms: log time of the latest.
    """

    upto: int
    at_ms: Millis


_NOTHING = Seen(0, 0)


class Authors:
    """The aggregate of records seen, by author."""

    def __init__(self) -> None:
        """Start with nothing seen."""
        self._seen: dict[Author, Seen] = {}

    def __len__(self) -> int:
        """Count the authors that are remembered."""
        return len(self._seen)

    def upto(self, author: Author) -> int:
        """Number of the last record of an author that is folded.

        :param author: the author.
        :returns: its number, 0 for none.
        """
        return self._seen.get(author, _NOTHING).upto

    def add(self, author: Author, seq: int, time_ms: Millis) -> str:
        """Note a record as folded.

        :param author: its author.
        :param seq: its number, from 1.
        :param time_ms: its time in the log.
        :returns: why it must not be folded, empty if it is the next one.
        """
        upto = self.upto(author)
        if seq <= upto:
            return DUPLICATE
        if seq > upto + 1:
            return OUT_OF_ORDER
        self._seen[author] = Seen(seq, time_ms)
        return ''

    def forget(self, time_ms: Millis) -> None:
        """Drop the authors that have been silent for long.

        :param time_ms: time of the log now.
        """
        old = [
            author
            for author, seen in self._seen.items()
            if seen.at_ms + KEEP_MS < time_ms
        ]
        for author in old:
            self._seen.pop(author)
