"""Counters, gauges and latency histograms in the Prometheus text format."""

import re

from prometheus_client import CollectorRegistry, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

from .responses import PageApplication, PageResponse

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
PREFIX = "redwingspring_"
BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.4, 0.6, 0.8, 1, 2, 4, 8)
_UNSAFE_CHARACTERS = re.compile(r"[^A-Za-z0-9_]")


class RequestLatencies:
    """Histogram of request latencies.

    Parameters
    ----------
    registry : prometheus_client.CollectorRegistry
        Registry that exposes the histogram.
    """

    def __init__(self, registry):
        self._requests = Histogram(
            PREFIX + "request_seconds",
            "Seconds from a request's arrival to its response or failure.",
            ("idempotent", "outcome"),
            buckets=BUCKETS_S,
            registry=registry,
        )

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
        idempotent = "yes" if route.idempotent else "no"
        self._requests.labels(idempotent, outcome).observe(seconds)


class MetricsCollector:
    """Prometheus collector of the counters and gauges of the process.

    Parameters
    ----------
    metrics : Metrics
        Counters and gauges.
    """

    def __init__(self, metrics):
        self._metrics = metrics

    def collect(self):
        """Yield all counters and gauges.

        Yields
        ------
        prometheus_client.core.Metric
            One metric for each name.
        """
        for name, total in sorted(self._metrics.snapshot().items()):
            text = f"Counter {name}, see docs/metrics.md."
            yield CounterMetricFamily(_build_metric_name(name), text, value=total)
        for name, value in sorted(self._metrics.gauges().items()):
            text = f"Gauge {name}, see docs/metrics.md."
            yield GaugeMetricFamily(_build_metric_name(name), text, value=value)


def _build_metric_name(name):
    return PREFIX + _UNSAFE_CHARACTERS.sub("_", name)


class MetricsPage(PageApplication):
    """WSGI application that serves the metrics to Prometheus.

    Parameters
    ----------
    registry : prometheus_client.CollectorRegistry
        Registry to serve.
    """

    def __init__(self, registry):
        self._registry = registry

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
        return PageResponse("200 OK", generate_latest(self._registry), CONTENT_TYPE)


def build_registry(metrics):
    """Return a registry with the counters and gauges of the process.

    Parameters
    ----------
    metrics : Metrics
        Counters and gauges.

    Returns
    -------
    prometheus_client.CollectorRegistry
        A new registry, separate from the global one.
    """
    registry = CollectorRegistry()
    registry.register(MetricsCollector(metrics))
    return registry
