"""Counters, gauges and latency histograms in the Prometheus text format.

``prometheus_client`` is imported when the metrics are first read, because importing it
delays the first response of a restarted host.
"""

import bisect
import itertools
import re
import threading
import time
from dataclasses import dataclass

from .responses import PageApplication, PageResponse

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
PREFIX = "redwingspring_"
BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.4, 0.6, 0.8, 1, 2, 4, 8)
LATENCY_NAME = PREFIX + "request_seconds"
LATENCY_TEXT = "Seconds from a request's arrival to its response or failure."
LATENCY_LABELS = ("idempotent", "outcome")
_UNSAFE_CHARACTERS = re.compile(r"[^A-Za-z0-9_]")


@dataclass(frozen=True)
class LatencyHistogram:
    """Latencies of the requests with the same labels.

    Attributes
    ----------
    labels : tuple of str
        Values of ``LATENCY_LABELS``.
    counts : tuple of int
        Requests in each bucket; the last one holds those above all bounds.
    total_s : float
        Sum of the latencies in seconds.
    created_at : float
        Unix time in seconds of the first request.
    """

    labels: tuple
    counts: tuple
    total_s: float
    created_at: float

    def add(self, seconds):
        """Return the histogram with one more latency.

        Parameters
        ----------
        seconds : float
            Latency of a request.

        Returns
        -------
        LatencyHistogram
            A new histogram.
        """
        counts = list(self.counts)
        counts[bisect.bisect_left(BUCKETS_S, seconds)] += 1
        return LatencyHistogram(
            self.labels, tuple(counts), self.total_s + seconds, self.created_at
        )


class RequestLatencies:
    """Histograms of request latencies."""

    def __init__(self):
        self._lock = threading.Lock()
        self._histograms = {}

    def observe(self, route, outcome, seconds):
        """Record the latency of one request.

        Parameters
        ----------
        route : Route
            Route of the request.
        outcome : str
            ``answered`` or ``failed``.
        seconds : float
            Latency of the request.
        """
        labels = ("yes" if route.idempotent else "no", outcome)
        with self._lock:
            histogram = self._histograms.get(labels)
            if histogram is None:
                empty = (0,) * (len(BUCKETS_S) + 1)
                histogram = LatencyHistogram(labels, empty, 0.0, time.time())
            self._histograms[labels] = histogram.add(seconds)

    def snapshot(self):
        """Return the histograms.

        Returns
        -------
        list of LatencyHistogram
            One for each combination of labels.
        """
        with self._lock:
            return list(self._histograms.values())


class MetricsCollector:
    """Prometheus collector of the metrics of the process.

    Parameters
    ----------
    metrics : Metrics
        Counters and gauges.
    latencies : RequestLatencies
        Latency histograms.
    """

    def __init__(self, metrics, latencies):
        self._metrics = metrics
        self._latencies = latencies

    def collect(self):
        """Yield all counters, gauges and histograms.

        Yields
        ------
        prometheus_client.core.Metric
            One metric for each name.
        """
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

        for name, total in sorted(self._metrics.snapshot().items()):
            text = f"Counter {name}, see docs/metrics.md."
            yield CounterMetricFamily(_build_metric_name(name), text, value=total)
        for name, value in sorted(self._metrics.gauges().items()):
            text = f"Gauge {name}, see docs/metrics.md."
            yield GaugeMetricFamily(_build_metric_name(name), text, value=value)
        yield from self._collect_latencies()

    def _collect_latencies(self):
        from prometheus_client.core import GaugeMetricFamily, HistogramMetricFamily

        latencies = HistogramMetricFamily(
            LATENCY_NAME, LATENCY_TEXT, labels=LATENCY_LABELS
        )
        created = GaugeMetricFamily(
            LATENCY_NAME + "_created", LATENCY_TEXT, labels=LATENCY_LABELS
        )
        bounds = [*(str(float(bound)) for bound in BUCKETS_S), "+Inf"]
        for histogram in self._latencies.snapshot():
            totals = itertools.accumulate(histogram.counts)
            buckets = list(zip(bounds, totals, strict=True))
            latencies.add_metric(histogram.labels, buckets, histogram.total_s)
            created.add_metric(histogram.labels, histogram.created_at)
        yield latencies
        yield created


def _build_metric_name(name):
    return PREFIX + _UNSAFE_CHARACTERS.sub("_", name)


class MetricsPage(PageApplication):
    """WSGI application that serves the metrics to Prometheus.

    Parameters
    ----------
    collector : MetricsCollector
        Metrics to serve.
    """

    def __init__(self, collector):
        self._collector = collector

    def respond(self, environ):
        """Return the metrics.

        Parameters
        ----------
        environ : dict
            WSGI environment.

        Returns
        -------
        PageResponse
            The response.
        """
        from prometheus_client import CollectorRegistry, generate_latest

        # A registry of its own, because the global one holds other collectors.
        registry = CollectorRegistry()
        registry.register(self._collector)
        return PageResponse("200 OK", generate_latest(registry), CONTENT_TYPE)
