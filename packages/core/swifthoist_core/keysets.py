"""Sets of keys in eight bytes each, by the hour in which they were added."""

import bisect
import enum
from array import array
from collections.abc import Iterable

import xxhash

from swifthoist_core.types import Millis, OwnerId, RequestKey

_HOUR_MS = 3_600_000
_WORD_BYTES = 8


class Mark(enum.IntEnum):
    """What is remembered of a key; it takes the lowest bit of its hash."""

    DONE = 0
    UNKNOWN = 1


class KeySets:
    """A view of sorted hashes, by hour.

    Two keys with the same hash of 63 bits are taken for one: the second is
    refused although it did not run. With two million keys the chance is
    about one in four trillions for a request.
    """

    def __init__(self, hours: dict[int, bytes]) -> None:
        """Look at the hashes.

        :param hours: sorted hashes by hour; changed in place.
        """
        self._hours = hours

    def __len__(self) -> int:
        """Count the keys."""
        return sum(map(len, self._hours.values())) // _WORD_BYTES

    def find(self, owner: OwnerId, key: RequestKey) -> Mark | None:
        """Find what is remembered of a key.

        :param owner: the team.
        :param key: its idempotency key.
        :returns: its mark, or ``None`` if it is not known.
        """
        low = _hash(owner, key)
        for packed in self._hours.values():
            words = memoryview(packed).cast('Q')
            at = bisect.bisect_left(words, low)
            if at < len(words) and words[at] <= low + 1:
                return Mark(words[at] - low)
        return None

    def add(
        self,
        names: Iterable[tuple[OwnerId, RequestKey]],
        mark: Mark,
        time_ms: Millis,
    ) -> None:
        """Remember keys.

        :param names: owners and their keys.
        :param mark: what to remember of them.
        :param time_ms: time of the log now.
        """
        fresh = [_hash(owner, key) + mark for owner, key in names]
        if not fresh:
            return
        hour = time_ms // _HOUR_MS
        words = array('Q', self._hours.get(hour, b''))
        words.extend(fresh)
        self._hours[hour] = array('Q', sorted(words)).tobytes()

    def drop_before(self, time_ms: Millis) -> None:
        """Forget the hours that ended before a time.

        :param time_ms: the time.
        """
        first = time_ms // _HOUR_MS
        over = [hour for hour in self._hours if hour < first]
        for hour in over:
            self._hours.pop(hour)


def _hash(owner: OwnerId, key: RequestKey) -> int:
    return xxhash.xxh64_intdigest(f'{owner}\0{key}'.encode()) & ~1
