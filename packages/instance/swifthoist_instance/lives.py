"""Which life of a runner answers, where lives share an id.

A runner that starts again under its id holds and knows nothing of before. Its
birth tells the lives apart: in its entry, and in whatever it answers.
"""

import logging
from collections.abc import KeysView, Set

from swifthoist_core.clock import Clock
from swifthoist_core.types import Millis, RunnerId
from swifthoist_engine.run_index import RunKey

MAX_CLOCK_SKEW_MS = 60_000
"""How far a birth may lie ahead of the own time of day, in ms: as much as clocks
of machines may be wrong. What lies further ahead is no birth."""

MAX_ORDER_DELAY_MS = 15_000
"""How long an order without an answer may still be carried out, in ms: the wire
says seconds; this is more than any lease."""

EARLIER_BIRTH_TIMEOUT_MS = 3_000
"""A life that answers for this long with an earlier birth is taken for the newest,
in ms: answers that were overtaken have all come by then."""

_log = logging.getLogger(__name__)


def is_plausible_birth(born_ms: Millis, clock: Clock) -> bool:
    """Tell whether a birth may be one, by the own time of day.

    :param born_ms: the birth, since the Unix epoch.
    :param clock: tells the time.
    :returns: whether it does not lie in the future.
    """
    return born_ms <= clock.wall_ms() + MAX_CLOCK_SKEW_MS


class LifeCounts:
    """What this instance saw of runners that started again under their ids.

    :ivar ended: lives that ended by a later one with the same id.
    :ivar lost: runs that were given up with them at once.
    :ivar unsure: runs that had to be barred at the next life first.
    """

    def __init__(self) -> None:
        """Start at zero."""
        self.ended = 0
        self.lost = 0
        self.unsure = 0


class Life:
    """The life that a session speaks with.

    :ivar born_ms: its birth, since the Unix epoch; 0 if it never told.
    :ivar next_ms: birth of the life that ended it; 0 while it lasts.
    :ivar false_birth_ms: a birth that an entry told and no life has; 0 for none.
    """

    def __init__(
        self,
        runner: RunnerId,
        clock: Clock,
        born_ms: Millis = 0,
        false_birth_ms: Millis = 0,
    ) -> None:
        """Begin with what an entry or an answer told.

        :param runner: the runner.
        :param clock: tells the time.
        :param born_ms: its birth; 0 if unsaid.
        :param false_birth_ms: a birth that is no life's; 0 for none.
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
        """Whether a later life was seen."""
        return self.next_ms > 0

    def note_entry_birth(self, born_ms: Millis) -> None:
        """Take in what an entry says.

        :param born_ms: the birth in it; 0 if unsaid.
        """
        if self.over or born_ms == self.false_birth_ms:
            return
        if not self.born_ms:
            self.born_ms = born_ms
        elif born_ms > self.born_ms:
            self._note_successor(born_ms, 'entry')

    def note_answer_birth(self, born_ms: Millis) -> bool:
        """Take in what an answer says.

        :param born_ms: the birth in it; 0 if unsaid.
        :returns: whether it is an answer of this life; others are put aside.
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
        """Take in an earlier birth, in an answer to a call to this life."""
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
    """Starts of which it is not known that they reached the life meant.

    One without an answer may be carried out later, be it by a later life. One
    that was answered may have been so by a later life, until a look shows the run,
    or was sent behind the answer and shows that the life goes on.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without any.

        :param clock: tells the time.
        """
        self._clock = clock
        self._sent: dict[RunKey, Millis] = {}
        self._answered: dict[RunKey, Millis] = {}

    def note_sent(self, key: RunKey) -> bool:
        """Note that a start is being sent.

        :param key: the run.
        :returns: whether an earlier one of it may be on its way.
        """
        known = key in self.keys()
        self._sent[key] = self._clock.boot_ms()
        return known

    def note_answered(self, key: RunKey) -> None:
        """Note that every start of a run that was sent got its answer.

        :param key: the run.
        """
        self._answered[key] = self._clock.boot_ms()

    def note_look(self, sent_ms: Millis, present: Set[RunKey]) -> None:
        """Note a look that the life meant has answered.

        :param sent_ms: when it was sent.
        :param present: runs that it shows, running or ended.
        """
        for key, answered_ms in tuple(self._answered.items()):
            if answered_ms <= sent_ms or key in present:
                self._answered.pop(key)
                self._sent.pop(key, None)

    def keys(self) -> KeysView[RunKey]:
        """List the runs of which a start may be on its way."""
        limit = self._clock.boot_ms() - MAX_ORDER_DELAY_MS
        self._sent = {
            key: sent_ms
            for key, sent_ms in self._sent.items()
            if sent_ms > limit
        }
        for key in self._answered.keys() - self._sent.keys():
            self._answered.pop(key)
        return self._sent.keys()
