"""Which records of each author are folded, so that none counts twice."""

from typing import NamedTuple

from swifthoist_core.records import Author
from swifthoist_core.types import Millis

KEEP_MS = 24 * 3_600_000
"""How long an author is remembered after its last record, in ms."""


class Seen(NamedTuple):
    """Records of one author that are folded.

    :ivar upto: every record up to this number is folded.
    :ivar above: numbers beyond it that are folded as well.
    :ivar at_ms: log time of the latest.
    """

    upto: int
    above: frozenset[int]
    at_ms: Millis


_NOTHING = Seen(0, frozenset(), 0)


class Authors:
    """The aggregate of records seen, by author."""

    def __init__(self) -> None:
        """Start with nothing seen."""
        self._seen: dict[Author, Seen] = {}

    def has(self, author: Author, seq: int) -> bool:
        """Tell whether a record is folded.

        :param author: its author.
        :param seq: its number.
        :returns: whether it is.
        """
        seen = self._seen.get(author, _NOTHING)
        return seq <= seen.upto or seq in seen.above

    def add(self, author: Author, seq: int, time_ms: Millis) -> bool:
        """Note a record as folded.

        :param author: its author.
        :param seq: its number, from 1.
        :param time_ms: its time in the log.
        :returns: whether it is new.
        """
        seen = self._seen.get(author, _NOTHING)
        if self.has(author, seq):
            return False
        upto, above = seen.upto, set(seen.above)
        above.add(seq)
        while upto + 1 in above:
            upto += 1
            above.discard(upto)
        self._seen[author] = Seen(upto, frozenset(above), time_ms)
        return True

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
