"""Prometheus metrics; latencies are recorded in HDR histograms."""

from collections.abc import Callable, Iterable, Mapping
from functools import partial

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest

from swifthoist_engine.duration_lines import DurationLine

MAX_LATENCY_MS = 60_000
_SIGNIFICANT_DIGITS = 2
_QUANTILES = (50.0, 90.0, 99.0, 99.9)


class Metrics:
    """Metrics of one instance."""

    def __init__(self) -> None:
        """Start at zero."""
        self._registry = CollectorRegistry()
        self._calls = Counter(
            'swifthoist_calls',
            'Calls by method and status',
            ('method', 'status'),
            registry=self._registry,
        )
        self._latency = Gauge(
            'swifthoist_call_latency_ms',
            'Latency of calls, by method and quantile',
            ('method', 'quantile'),
            registry=self._registry,
        )
        self._state = Gauge(
            'swifthoist_state',
            'State of the instance, by name of the figure',
            ('figure',),
            registry=self._registry,
        )
        self._dropped_lines = Gauge(
            'swifthoist_log_lines_dropped',
            'Log lines that were not written, by their kind',
            ('kind',),
            registry=self._registry,
        )
        self._dropped: Mapping[str, int] = {}
        self._durations = Gauge(
            'swifthoist_durations',
            'What was learned of durations, by queue and figure',
            ('queue', 'declared', 'figure'),
            registry=self._registry,
        )
        self._read_durations: Callable[[], Iterable[DurationLine]] = tuple
        self._histograms: dict[str, HdrHistogram] = {}

    def count_call(self, method: str, status: int, took_ms: float) -> None:
        """Count a completed call.

        :param method: HTTP method.
        :param status: HTTP status.
        :param took_ms: time from arrival to response, in ms.
        """
        self._calls.labels(method, status).inc()
        histogram = self._histograms.get(method)
        if histogram is None:
            histogram = HdrHistogram(1, MAX_LATENCY_MS, _SIGNIFICANT_DIGITS)
            self._histograms[method] = histogram
        histogram.record_value(min(max(int(took_ms), 1), MAX_LATENCY_MS))

    def register(self, figure: str, read: Callable[[], float]) -> None:
        """Register a gauge of the instance's state.

        :param figure: name of the gauge, as a label.
        :param read: returns the current value.
        """
        self._state.labels(figure).set_function(read)

    def register_dropped_lines(self, dropped: Mapping[str, int]) -> None:
        """Register the counts of dropped log lines.

        :param dropped: number of lines by kind, updated in place.
        """
        self._dropped = dropped

    def register_durations(
        self, read: Callable[[], Iterable[DurationLine]]
    ) -> None:
        """Register the learned durations.

        :param read: returns the current values.
        """
        self._read_durations = read

    def register_all(self, read: Callable[[], Mapping[str, float]]) -> None:
        """Register several gauges that one function returns.

        :param read: returns the current values by name; the names are
            constant.
        """
        for figure in read():
            self.register(figure, partial(_read_one, read, figure))

    def expose(self) -> bytes:
        """Render all metrics.

        :returns: the metrics in the Prometheus text format.
        """
        for method, histogram in self._histograms.items():
            for quantile in _QUANTILES:
                latency = histogram.get_value_at_percentile(quantile)
                share = f'{quantile / 100:g}'
                self._latency.labels(method, share).set(latency)
        for kind, count in self._dropped.items():
            self._dropped_lines.labels(kind).set(count)
        self._set_durations()
        exposed: bytes = generate_latest(self._registry)
        return exposed

    def _set_durations(self) -> None:
        self._durations.clear()
        for line in self._read_durations():
            declared = 'yes' if line.declared else 'no'
            for figure in ('runs', 'usual_ms', 'ratio', 'followed'):
                gauge = self._durations.labels(line.queue, declared, figure)
                gauge.set(getattr(line, figure))


def _read_one(read: Callable[[], Mapping[str, float]], figure: str) -> float:
    return read()[figure]
