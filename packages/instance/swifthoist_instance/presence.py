"""Tracks which runs are on a runner, by its newest answers."""

from collections.abc import Set

from swifthoist_core.types import Millis
from swifthoist_engine.model import RunKey


class Presence:
    """Runs that a runner had when it last answered."""

    def __init__(self) -> None:
        """Know of no run."""
        self._since_ms: dict[RunKey, Millis] = {}
        self._last_look_ms: Millis | None = None

    def __contains__(self, key: object) -> bool:
        """Return whether the runner had a run at its last answer."""
        return key in self._since_ms

    def note_started(self, key: RunKey, now_ms: Millis) -> None:
        """Record that the runner has confirmed a start.

        :param key: the run.
        :param now_ms: time of the answer, in ms of the clock that includes
            suspension.
        """
        self._since_ms.setdefault(key, now_ms)

    def note_stopped(self, key: RunKey) -> None:
        """Record that the runner is stopping a run, or has stopped it.

        :param key: the run.
        """
        self._since_ms.pop(key, None)

    def note_look(self, running: Set[RunKey], sent_ms: Millis) -> None:
        """Record which runs a look has shown.

        A start that was confirmed after the look was sent may be missing in it.

        :param running: runs that the runner has.
        :param sent_ms: when the look was sent, as above.
        """
        self._last_look_ms = sent_ms
        later = {
            key: since_ms
            for key, since_ms in self._since_ms.items()
            if since_ms >= sent_ms
        }
        self._since_ms = {key: sent_ms for key in running} | later

    def was_looked_at(self, since_ms: Millis) -> bool:
        """Return whether a look that was sent after a time has been answered.

        :param since_ms: the time, as above.
        :returns: whether a run sent before that time would have been seen.
        """
        return self._last_look_ms is not None and self._last_look_ms >= since_ms
