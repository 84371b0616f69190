"""How one runner did of late, and whether it is set aside."""

import enum
import math

from swifthoist_core.types import Millis

_WEIGHT = 0.3
_FORGET_MS = 20_000
_NEGLIGIBLE = 0.05
_MIN_FAILURES = 2
_WORSE_BY = 0.4
_FIRST_ASIDE_MS = 1_000
_LONGEST_ASIDE_MS = 30_000


class Verdict(enum.Enum):
    """How a runner did in one attempt.

    ``FAILED`` may be the request's own fault, ``UNREACHABLE`` can't;
    ``NEUTRAL`` says nothing about the runner.
    """

    GOOD = 'good'
    FAILED = 'failed'
    UNREACHABLE = 'unreachable'
    NEUTRAL = 'neutral'


class RunnerHealth:
    """The aggregate of one runner's recent answers in one life.

    A runner that fails far more than the others is set aside.  Once the
    time is up it gets a single idempotent request; a good answer brings it
    back, another failure sets it aside for twice as long.

    :ivar incarnation: the life of the runner.
    :ivar failures: share of attempts that failed of late, 0 to 1.
    """

    def __init__(self, incarnation: int) -> None:
        """Start without evidence.

        :param incarnation: the life of the runner.
        """
        self.incarnation = incarnation
        self.failures = float(0)
        self._slowness = 1.0
        self._learned_ms: Millis = 0
        self._run_of_failures = 0
        self._aside_ms: Millis = 0
        self._aside_until_ms: Millis = 0
        self._on_trial = False

    def is_open(self, now_ms: Millis, trial: bool) -> bool:
        """Tell whether an attempt may go to the runner.

        :param now_ms: the time on the boot clock.
        :param trial: whether the attempt may be a trial.
        :returns: ``True`` when it may.
        """
        if not self._aside_ms:
            return True
        return trial and not self._on_trial and now_ms >= self._aside_until_ms

    def start(self, now_ms: Millis) -> None:
        """Note that an attempt goes to the runner.

        :param now_ms: the time on the boot clock.
        """
        if self._aside_ms and now_ms >= self._aside_until_ms:
            self._on_trial = True

    def finish(self, verdict: Verdict, now_ms: Millis, usual: float) -> None:
        """Learn from an attempt that is over.

        :param verdict: how the runner did.
        :param now_ms: the time on the boot clock.
        :param usual: share of attempts that fail at the better runners.
        """
        match verdict:
            case Verdict.GOOD:
                self._learn_good()
            case Verdict.FAILED:
                self._learn_failure(now_ms, usual)
            case Verdict.UNREACHABLE:
                self._learn_failure(now_ms, 0)
            case Verdict.NEUTRAL:
                self._on_trial = False

    def learn(self, slowness: float, now_ms: Millis) -> None:
        """Learn from the time of an answer.

        :param slowness: the time as a multiple of the usual for its class.
        :param now_ms: the time on the boot clock.
        """
        before = self.slowness(now_ms)
        self._slowness = before + _WEIGHT * (slowness - before)
        self._learned_ms = now_ms

    def slowness(self, now_ms: Millis) -> float:
        """Expected time as a multiple of the usual.

        An old observation fades, so that a runner once slow is tried again.

        :param now_ms: the time on the boot clock.
        :returns: the multiple, 1 without evidence.
        """
        age = (now_ms - self._learned_ms) / _FORGET_MS
        left = (self._slowness - 1) * math.exp(-age)
        return 1 if abs(left) < _NEGLIGIBLE else 1 + left

    def _learn_good(self) -> None:
        self.failures -= _WEIGHT * self.failures
        self._run_of_failures = 0
        self._on_trial = False
        if self._aside_ms:
            self._aside_ms = 0
            self.failures = 0

    def _learn_failure(self, now_ms: Millis, usual: float) -> None:
        self.failures += _WEIGHT * (1 - self.failures)
        self._run_of_failures += 1
        was_trial = self._on_trial
        self._on_trial = False
        if was_trial:
            self._set_aside(now_ms, self._aside_ms * 2)
            return
        worse = self.failures - usual >= _WORSE_BY
        if self._run_of_failures >= _MIN_FAILURES and worse:
            self._set_aside(now_ms, max(_FIRST_ASIDE_MS, self._aside_ms))

    def _set_aside(self, now_ms: Millis, for_ms: Millis) -> None:
        self._aside_ms = min(for_ms, _LONGEST_ASIDE_MS)
        self._aside_until_ms = now_ms + self._aside_ms
