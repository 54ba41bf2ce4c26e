"""Counters and latency histograms as text for a metrics collector."""

import re

from prometheus_client import CollectorRegistry, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

from .responses import PageApplication, PageResponse

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
PREFIX = "redwingspring_"
# Upper bounds in seconds.
BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.4, 0.6, 0.8, 1, 2, 4, 8)
_UNSAFE = re.compile(r"[^A-Za-z0-9_]")


class Latencies:
    """Histograms of the time that requests take.

    Parameters
    ----------
    registry : prometheus_client.CollectorRegistry
        Where the histograms are listed.
    """

    def __init__(self, registry):
        self._requests = Histogram(
            PREFIX + "request_seconds",
            "Seconds from a request's arrival to its response or failure.",
            ("idempotent", "outcome"),
            buckets=BUCKETS,
            registry=registry,
        )

    def observe(self, route, outcome, seconds):
        """Count one request.

        Parameters
        ----------
        route : Route
            Its route.
        outcome : str
            ``answered`` or ``failed``.
        seconds : float
            The time.
        """
        idempotent = "yes" if route.idempotent else "no"
        self._requests.labels(idempotent, outcome).observe(seconds)


class TotalsCollector:
    """Lists the counters and gauges of the process.

    Parameters
    ----------
    metrics : Metrics
        The counters.
    """

    def __init__(self, metrics):
        self._metrics = metrics

    def collect(self):
        """Return all counters and gauges.

        Yields
        ------
        prometheus_client.core.Metric
            One for each name.
        """
        for name, total in sorted(self._metrics.snapshot().items()):
            text = f"Counter {name}, see docs/metrics.md."
            yield CounterMetricFamily(_clean(name), text, value=total)
        for name, value in sorted(self._metrics.gauges().items()):
            text = f"Gauge {name}, see docs/metrics.md."
            yield GaugeMetricFamily(_clean(name), text, value=value)


def _clean(name):
    return PREFIX + _UNSAFE.sub("_", name)


class MetricsPage(PageApplication):
    """WSGI application that serves the metrics.

    Parameters
    ----------
    registry : prometheus_client.CollectorRegistry
        What is served.
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
    """Return a registry with the totals of the process.

    Parameters
    ----------
    metrics : Metrics
        The counters.

    Returns
    -------
    prometheus_client.CollectorRegistry
        A registry of its own.
    """
    registry = CollectorRegistry()
    registry.register(TotalsCollector(metrics))
    return registry
