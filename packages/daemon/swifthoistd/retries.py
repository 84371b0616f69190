"""When a request may be sent again: budget, hedging and deadlines."""

from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from swifthoist_core.catalogue import Urgency
from swifthoist_core.types import ClassName, Millis

_MAX_TRACKED_MS = 600_000
_DIGITS = 2
_HEDGE_PERCENTILE = 95.0
_WINDOW = 512
_REFRESH = 16
_MEAN_WEIGHT = 0.05


class RetryConfig(NamedTuple):
    """Settings of retries.

    :ivar ratio: retries and hedges allowed for each request.
    :ivar burst: how many may be saved up.
    :ivar silent_ratio: retries after silence allowed for each request.
    :ivar silent_burst: how many of those may be saved up; every connection
        may go silent at once.
    :ivar max_attempts: attempts for one request, the first included.
    :ivar hedge_min_ms: no hedge is sent earlier, in ms.
    :ivar silent_min_ms: an idempotent attempt without an answer for this
        long may be tried on a fresh connection, in ms.
    :ivar silent_factor: the same as a multiple of the class's usual time;
        the longer of the two counts.
    :ivar silent_unknown_ms: the same while no usual time is known, in ms.
    """

    ratio: float = 0.1
    burst: float = 6.0
    silent_ratio: float = 0.05
    silent_burst: float = 64.0
    max_attempts: int = 3
    hedge_min_ms: Millis = 20
    silent_min_ms: Millis = 500
    silent_factor: float = 6.0
    silent_unknown_ms: Millis = 1_500


DEFAULT_RETRIES = RetryConfig()


class _Latency:
    """Time of the answers of one class, over a window that moves on."""

    def __init__(self) -> None:
        self.mean_ms = float(0)
        self.high_ms: Millis = 0
        self._now = HdrHistogram(1, _MAX_TRACKED_MS, _DIGITS)
        self._recorded = 0
        self._before_ms: Millis = 0

    def record(self, elapsed_ms: float) -> None:
        if not self.mean_ms:
            self.mean_ms = elapsed_ms
        self.mean_ms += _MEAN_WEIGHT * (elapsed_ms - self.mean_ms)
        self._now.record_value(min(max(1, round(elapsed_ms)), _MAX_TRACKED_MS))
        self._recorded += 1
        if self._recorded % _REFRESH == 1:
            self._refresh()

    def _refresh(self) -> None:
        # Reading a percentile is slow, and it moves little between reads.
        high: int = self._now.get_value_at_percentile(_HEDGE_PERCENTILE)
        self.high_ms = max(self._before_ms, high)
        if self._recorded >= _WINDOW:
            self._before_ms = high
            self._now = HdrHistogram(1, _MAX_TRACKED_MS, _DIGITS)
            self._recorded = 0


class RetryPolicy:
    """The aggregate that allows or denies every attempt after the first.

    One budget covers retries and hedges, another retries from a kept
    connection that went silent.  Each request earns a fraction of an attempt,
    so that attempts stay a bounded multiple of requests whatever fails.

    :ivar cfg: the settings.
    """

    def __init__(self, cfg: RetryConfig = DEFAULT_RETRIES) -> None:
        """Start with a full budget.

        :param cfg: the settings.
        """
        self.cfg = cfg
        self._tokens = cfg.burst
        self._silent_tokens = cfg.silent_burst
        self._latency: dict[ClassName, _Latency] = {}

    def earn(self) -> None:
        """Count a new request towards the budgets."""
        cfg = self.cfg
        self._tokens = min(cfg.burst, self._tokens + cfg.ratio)
        silent_tokens = self._silent_tokens + cfg.silent_ratio
        self._silent_tokens = min(cfg.silent_burst, silent_tokens)

    def spend(self) -> bool:
        """Take one further attempt out of the budget.

        :returns: ``False`` when the budget is used up.
        """
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def spend_on_silence(self) -> bool:
        """Take an attempt that replaces one on a silent connection.

        :returns: ``False`` when that budget is used up.
        """
        if self._silent_tokens < 1:
            return False
        self._silent_tokens -= 1
        return True

    def record(self, class_name: ClassName, elapsed_ms: float) -> None:
        """Learn from a whole answer.

        :param class_name: class of work.
        :param elapsed_ms: time from the first byte sent, in ms.
        """
        self._latency.setdefault(class_name, _Latency()).record(elapsed_ms)

    def mean_ms(self, class_name: ClassName) -> float:
        """Mean time of the answers of a class of late.

        :param class_name: class of work.
        :returns: the moving mean in ms; 0 if none is known.
        """
        latency = self._latency.get(class_name)
        return latency.mean_ms if latency else 0

    def usual_ms(self, class_name: ClassName) -> Millis:
        """Time within which nearly every answer of a class comes.

        :param class_name: class of work.
        :returns: the 95th percentile of late, in ms; 0 if none is known.
        """
        latency = self._latency.get(class_name)
        return latency.high_ms if latency else 0

    def hedge_after_ms(
        self, class_name: ClassName, urgency: Urgency, silent_ms: Millis
    ) -> Millis | None:
        """When to send a second attempt beside the first.

        :param class_name: class of work.
        :param urgency: order of service; only urgent work is hedged.
        :param silent_ms: when the attempt is taken to be silent.
        :returns: the delay in ms, or ``None`` for no hedge.
        """
        usual_ms = self.usual_ms(class_name)
        if urgency is not Urgency.URGENT or not usual_ms:
            return None
        delay_ms = max(self.cfg.hedge_min_ms, usual_ms)
        return delay_ms if delay_ms < silent_ms else None

    def silent_after_ms(self, class_name: ClassName) -> Millis:
        """When an idempotent attempt is taken to be on a silent connection.

        :param class_name: class of work.
        :returns: the time without an answer, in ms.
        """
        usual_ms = self.usual_ms(class_name)
        if not usual_ms:
            return self.cfg.silent_unknown_ms
        scaled_ms = round(usual_ms * self.cfg.silent_factor)
        return max(self.cfg.silent_min_ms, scaled_ms)
