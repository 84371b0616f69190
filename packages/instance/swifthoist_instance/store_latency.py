"""Measures how long the store takes to answer the calls of this instance.

The timeout follows RFC 6298: the smoothed time of an answer plus four times its
mean deviation.
"""

import logging

from swifthoist_core.clock import Clock
from swifthoist_core.types import Millis

SLOW_ANSWER_S = 0.1
"""Time of an answer from which the store counts as slow, in seconds: well above
the few ms that one instance needs to hand a call to another."""

NORMAL_ANSWER_S = 0.05
"""Time of an answer below which it no longer counts as slow, in seconds."""

STORE_QUEUE_S = 2.0
"""Longest time that an append waits in the store's queue before the store
refuses it, in seconds."""

_SMOOTHING = 0.125
_DEVIATION_SMOOTHING = 0.25
_DEVIATIONS = 4

_log = logging.getLogger(__name__)


class StoreLatency:
    """Time of the store's answers, as measured by all clients of an instance.

    :ivar answer_s: newest measured time of an answer, in seconds.
    :ivar slow: whether the store is slow.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without a measurement.

        :param clock: source of time.
        """
        self.answer_s = float(0)
        self.slow = False
        self._clock = clock
        self._smoothed_s: float | None = None
        self._deviation_s = float(0)
        self._slow_since_ms: Millis = 0

    def note_answer(self, took_s: float) -> None:
        """Note the time of an answer, without any time that it was asked to wait.

        :param took_s: the time, in seconds.
        """
        took_s = max(took_s, 0)
        self.answer_s = took_s
        if self._smoothed_s is None:
            self._smoothed_s = took_s
            self._deviation_s = took_s / 2
        else:
            deviation_s = abs(self._smoothed_s - took_s)
            self._deviation_s += _DEVIATION_SMOOTHING * (
                deviation_s - self._deviation_s
            )
            self._smoothed_s += _SMOOTHING * (took_s - self._smoothed_s)
        self._update_slow()

    @property
    def timeout_s(self) -> float:
        """Time after which an answer is unusually late, in seconds."""
        return (self._smoothed_s or 0) + _DEVIATIONS * self._deviation_s

    @property
    def append_timeout_s(self) -> float:
        """Time for which an append may still be on its way, in seconds.

        It is 0 unless the store is slow.
        """
        if not self.slow:
            return 0
        return STORE_QUEUE_S + max(2 * self.answer_s, self.timeout_s)

    def grace_s(self, usual_s: float) -> float:
        """Return the time for an answer, beyond any time that it may wait.

        :param usual_s: time for an answer of a store that is not slow, in
            seconds.
        :returns: the time, in seconds.
        """
        return max(usual_s, 2 * self.answer_s, self.timeout_s)

    @property
    def slow_ms(self) -> Millis:
        """For how long the store has been slow, in ms; 0 if it is not."""
        if not self.slow:
            return 0
        return self._clock.boot_ms() - self._slow_since_ms

    def _update_slow(self) -> None:
        fields = {'answer_ms': round(self.answer_s * 1_000)}
        if not self.slow and self.answer_s >= SLOW_ANSWER_S:
            self.slow = True
            self._slow_since_ms = self._clock.boot_ms()
            _log.warning('store slow', extra=fields)
        elif self.slow and self.answer_s < NORMAL_ANSWER_S:
            lasted = {**fields, 'lasted_ms': self.slow_ms}
            self.slow = False
            _log.info('store no longer slow', extra=lasted)
