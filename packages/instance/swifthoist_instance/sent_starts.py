"""Remembers which starts a term has sent to a runner, and when."""

from collections.abc import KeysView

from swifthoist_core.clock import Clock
from swifthoist_core.errors import SwifthoistError, UnreachableError
from swifthoist_core.types import Millis
from swifthoist_engine.cell import Cell
from swifthoist_engine.jobs import OpenRun
from swifthoist_engine.model import RunKey


class SentStarts:
    """Starts of open runs that a term has ordered on a runner."""

    def __init__(self, cell: Cell, clock: Clock) -> None:
        """Create an empty collection.

        :param cell: the folded state.
        :param clock: source of the time.
        """
        self._cell = cell
        self._clock = clock
        # Time of the first order that may have been carried out; None before.
        self._sent_ms: dict[RunKey, Millis | None] = {}

    def keys(self) -> KeysView[RunKey]:
        """Return the runs whose start was ordered."""
        return self._sent_ms.keys()

    def note_ordered(self, key: RunKey) -> None:
        """Record that a start will be sent.

        :param key: the run.
        """
        self._sent_ms.setdefault(key, None)

    def note_sent(self, key: RunKey, sent_ms: Millis) -> None:
        """Record that a start is being sent, and may be carried out.

        :param key: the run.
        :param sent_ms: when, in ms of the clock that includes suspension.
        """
        if self._sent_ms.get(key) is None:
            self._sent_ms[key] = sent_ms

    def note_not_begun(self, key: RunKey, sent_ms: Millis) -> None:
        """Record that a start was certainly not carried out.

        Earlier ones of the same run may have been.

        :param key: the run.
        :param sent_ms: when it was sent, as recorded.
        """
        if self._sent_ms.get(key) == sent_ms:
            self._sent_ms[key] = None

    def note_unanswered(
        self, key: RunKey, sent_ms: Millis, exc: SwifthoistError
    ) -> None:
        """Record that a start got no answer.

        :param key: the run.
        :param sent_ms: when it was sent, as recorded.
        :param exc: why there is no answer.
        """
        if isinstance(exc, UnreachableError):
            self.note_not_begun(key, sent_ms)

    def forget(self, key: RunKey) -> None:
        """Forget a run that is no longer open.

        :param key: the run.
        """
        self._sent_ms.pop(key, None)

    def may_have_begun(self, run: OpenRun) -> bool:
        """Return whether a run may ever have been started.

        :param run: an open run of the runner.
        :returns: False if no start of it can have reached the runner.
        """
        key = (run.task, run.run)
        if key in self._sent_ms:
            return self._sent_ms[key] is not None
        return not self._cell.runs.is_unsent(key)

    def sent_ms(self, run: OpenRun) -> Millis:
        """Return when a run was first ordered to start.

        :param run: an open run of the runner.
        :returns: the time, in ms of the clock that includes suspension; that of
            the decision by this instance's time of day if an earlier term sent
            it.
        """
        sent_ms = self._sent_ms.get((run.task, run.run))
        if sent_ms is not None:
            return sent_ms
        age_ms = self._cell.state.time_ms - run.started_ms
        return self._clock.boot_ms() - age_ms
