"""Distinguishes the lives of a runner that restarts under the same id.

A life is one start of a runner's process; a later one has none of the runs and
knowledge of its predecessor. Lives are told apart by their birth, the time of
the start, which the registry entry and the answers of the runner carry.
"""

import logging
from collections.abc import KeysView, Set

from swifthoist_core.clock import Clock
from swifthoist_core.errors import SwifthoistError, UnreachableError
from swifthoist_core.types import Millis, RunnerId
from swifthoist_engine.model import RunKey

MAX_CLOCK_SKEW_MS = 60_000
"""Maximum lead of a birth over this instance's time of day, in ms: the error
allowed for clocks of machines. A birth further ahead is not valid."""

MAX_ORDER_DELAY_MS = 13_000
"""How long an order without an answer may still be carried out, in ms. Runners
hold one up for 12 s at most; this is also longer than any lease."""

RECORD_VALIDITY_MS = 5_000
"""How long a start is repeated behind one record of it, in ms. A term that took
over counts it as sent until then."""

EARLIER_BIRTH_TIMEOUT_MS = 3_000
"""Time after which a life that keeps answering with an earlier birth counts as
the newest, in ms: delayed answers of older lives have all arrived by then."""

_log = logging.getLogger(__name__)


def is_plausible_birth(born_ms: Millis, clock: Clock) -> bool:
    """Return whether a birth is valid by this instance's time of day.

    :param born_ms: the birth, since the Unix epoch.
    :param clock: source of the time.
    :returns: whether it is not too far in the future.
    """
    return born_ms <= clock.wall_ms() + MAX_CLOCK_SKEW_MS


class LifeCounts:
    """Counts restarts of runners under the same id, as this instance saw them.

    :ivar ended: lives that were replaced by a later one of the same id.
    :ivar lost: runs that were given up with them at once.
    :ivar unsure: runs that had to be stopped at the next life first.
    """

    def __init__(self) -> None:
        """Start at zero."""
        self.ended = 0
        self.lost = 0
        self.unsure = 0


class Life:
    """The life of a runner that a session is with.

    :ivar born_ms: its birth, since the Unix epoch; 0 if unknown.
    :ivar next_ms: birth of the life that replaced it; 0 while it lasts.
    :ivar false_birth_ms: a birth that no life has, known to be false; 0 if
        none.
    """

    def __init__(
        self,
        runner: RunnerId,
        clock: Clock,
        born_ms: Millis = 0,
        false_birth_ms: Millis = 0,
    ) -> None:
        """Create a life from what an entry or an answer says.

        :param runner: the runner.
        :param clock: source of the time.
        :param born_ms: its birth; 0 if unknown.
        :param false_birth_ms: a birth known to be false; 0 if none.
        """
        self.born_ms = born_ms
        self.next_ms: Millis = 0
        self.false_birth_ms = false_birth_ms
        self._runner = runner
        self._clock = clock
        self._confirmed = False
        self._earlier_since_ms: Millis | None = None
        self._logged_unusable = False

    @property
    def over(self) -> bool:
        """Whether a later life has been seen."""
        return self.next_ms > 0

    def note_entry_birth(self, born_ms: Millis) -> None:
        """Process the birth in a registry entry.

        :param born_ms: the birth; 0 if missing.
        """
        if self.over or born_ms == self.false_birth_ms:
            return
        if not self.born_ms:
            self.born_ms = born_ms
        elif born_ms > self.born_ms:
            self._note_successor(born_ms, 'entry')

    def note_answer_birth(self, born_ms: Millis) -> bool:
        """Process the birth in an answer.

        :param born_ms: the birth; 0 if missing.
        :returns: whether this life gave the answer; others must be ignored.
        """
        if self.over:
            return False
        if not born_ms or not is_plausible_birth(born_ms, self._clock):
            self._log_unusable_birth(born_ms)
            return True
        if not self.born_ms:
            self.born_ms = born_ms
        if born_ms > self.born_ms:
            self._note_successor(born_ms, 'answer')
        elif born_ms < self.born_ms:
            return self._note_earlier_birth(born_ms)
        self._confirmed = True
        self._earlier_since_ms = None
        return not self.over

    def _note_earlier_birth(self, born_ms: Millis) -> bool:
        """Process an answer whose birth is earlier than that of this life."""
        fields = {
            'runner': self._runner,
            'born_ms': self.born_ms,
            'answered_ms': born_ms,
        }
        if not self._confirmed:
            _log.warning('birth refuted', extra=fields)
            self.false_birth_ms = self.born_ms
            self.born_ms = born_ms
            self._confirmed = True
            return True
        now_ms = self._clock.boot_ms()
        if self._earlier_since_ms is None:
            _log.warning('birth goes back', extra=fields)
            self._earlier_since_ms = now_ms
        elif now_ms - self._earlier_since_ms > EARLIER_BIRTH_TIMEOUT_MS:
            self.false_birth_ms = self.born_ms
            self._note_successor(born_ms, 'answers with an earlier birth')
        return False

    def _note_successor(self, born_ms: Millis, source: str) -> None:
        self.next_ms = born_ms
        _log.info(
            'runner reborn',
            extra={
                'runner': self._runner,
                'born_ms': born_ms,
                'before_ms': self.born_ms,
                'source': source,
            },
        )

    def _log_unusable_birth(self, born_ms: Millis) -> None:
        if self.born_ms and not self._logged_unusable:
            self._logged_unusable = True
            problem = 'lies in the future' if born_ms else 'is missing'
            fields = {'runner': self._runner, 'problem': problem}
            _log.warning('birth unread', extra=fields)


class PendingStarts:
    """Starts that are not known to have reached the intended life.

    A start without an answer may be carried out later, possibly by a later
    life. A start with an answer may have been answered by a later life, until
    a look shows the run, or a look that was sent after the answer shows that
    the intended life still exists.
    """

    def __init__(self, clock: Clock) -> None:
        """Create an empty collection.

        :param clock: source of the time.
        """
        self._clock = clock
        self._sent: dict[RunKey, Millis] = {}
        self._answered: dict[RunKey, Millis] = {}
        self._recorded: dict[RunKey, Millis] = {}
        self._repeated: set[RunKey] = set()

    def restore(self, key: RunKey, sent_ms: Millis) -> None:
        """Take over a start of an earlier term.

        :param key: the run.
        :param sent_ms: latest time at which it was sent.
        """
        self._sent[key] = max(sent_ms, self._sent.get(key, sent_ms))

    def is_unanswered(self, key: RunKey) -> bool:
        """Return whether a start may arrive, and none has an answer.

        :param key: the run.
        :returns: whether that is so.
        """
        return key in self.keys() and key not in self._answered

    def needs_record(self, key: RunKey) -> bool:
        """Return whether a start has to be recorded before it is repeated.

        :param key: the run.
        :returns: whether its newest record is missing or too old.
        """
        limit = self._clock.boot_ms() - RECORD_VALIDITY_MS
        return key in self.keys() and self._recorded.get(key, limit) <= limit

    def note_recorded(self, key: RunKey, at_ms: Millis) -> None:
        """Note that the log tells that a start may still arrive.

        :param key: the run.
        :param at_ms: time of the record, on the clock that includes suspension.
        """
        self._recorded[key] = at_ms

    def note_sent(self, key: RunKey) -> bool:
        """Record that a start is being sent.

        :param key: the run.
        :returns: whether an earlier start of the run may still arrive.
        """
        known = key in self.keys()
        if known:
            self._repeated.add(key)
        self._sent[key] = self._clock.boot_ms()
        return known

    def note_unanswered(self, key: RunKey, exc: SwifthoistError) -> None:
        """Record that a start got no answer.

        :param key: the run.
        :param exc: why there is none.
        """
        if isinstance(exc, UnreachableError) and key not in self._repeated:
            self._sent.pop(key, None)

    def note_answered(self, key: RunKey) -> None:
        """Record that every start that was sent for a run got an answer.

        :param key: the run.
        """
        self._answered[key] = self._clock.boot_ms()

    def note_look(self, sent_ms: Millis, present: Set[RunKey]) -> None:
        """Process a look that the intended life has answered.

        :param sent_ms: when it was sent.
        :param present: runs that it shows, running or ended.
        """
        for key, answered_ms in tuple(self._answered.items()):
            if answered_ms <= sent_ms or key in present:
                self._answered.pop(key)
                self._sent.pop(key, None)

    def keys(self) -> KeysView[RunKey]:
        """Return the runs for which a start may still arrive."""
        limit = self._clock.boot_ms() - MAX_ORDER_DELAY_MS
        self._sent = {
            key: sent_ms
            for key, sent_ms in self._sent.items()
            if sent_ms > limit
        }
        for known in (self._answered, self._recorded):
            for key in known.keys() - self._sent.keys():
                known.pop(key)
        self._repeated &= self._sent.keys()
        return self._sent.keys()
