"""Metrics: counts for Prometheus, latencies in HDR histograms."""

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest

from swifthoist_core.catalogue import Entry
from swifthoist_core.types import Millis
from swifthoistd.work import Done, NotRun, Outcome

MAX_MS = 3_600_000
_DIGITS = 2
_QUANTILES = (50.0, 90.0, 99.0, 99.9)
_LABELS = ('owner', 'class_name')


class Metrics:
    """What operators watch of one instance."""

    def __init__(self) -> None:
        """Start at zero."""
        self._registry = CollectorRegistry()
        self._requests = Counter(
            'swifthoist_requests',
            'Requests by their outcome',
            (*_LABELS, 'outcome'),
            registry=self._registry,
        )
        self._latency = Gauge(
            'swifthoist_request_latency_ms',
            'Latency of requests that were answered, by quantile',
            (*_LABELS, 'quantile'),
            registry=self._registry,
        )
        self._state = Gauge(
            'swifthoist_state',
            'State of the instance, by name of the figure',
            ('figure',),
            registry=self._registry,
        )
        self._histograms: dict[tuple[str, str], HdrHistogram] = {}

    def count_request(
        self, entry: Entry, outcome: Outcome, elapsed_ms: Millis
    ) -> None:
        """Count a request that got its answer.

        :param entry: the catalogue entry that admitted it.
        :param outcome: what became of it.
        :param elapsed_ms: time from its arrival, in ms.
        """
        labels = (entry.owner, entry.class_name)
        self._requests.labels(*labels, _name_of(outcome)).inc()
        if not isinstance(outcome, Done):
            return
        histogram = self._histograms.get(labels)
        if histogram is None:
            histogram = HdrHistogram(1, MAX_MS, _DIGITS)
            self._histograms[labels] = histogram
        histogram.record_value(min(max(elapsed_ms, 1), MAX_MS))

    def set_state(self, figure: str, number: float) -> None:
        """Note a figure of the instance's state.

        :param figure: its name.
        :param number: its value now.
        """
        self._state.labels(figure).set(number)

    def expose(self) -> bytes:
        """Write all metrics.

        :returns: the Prometheus text format.
        """
        for labels, histogram in self._histograms.items():
            for quantile in _QUANTILES:
                latency = histogram.get_value_at_percentile(quantile)
                gauge = self._latency.labels(*labels, f'{quantile / 100:g}')
                gauge.set(latency)
        exposed: bytes = generate_latest(self._registry)
        return exposed


def _name_of(outcome: Outcome) -> str:
    match outcome:
        case Done():
            return 'done'
        case NotRun():
            return 'not_run'
        case _:
            return 'unknown'
