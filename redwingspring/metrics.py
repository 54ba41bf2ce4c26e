"""Counters, gauges and timings, kept in the process and sent to statsd."""

import re
import threading
import time
from collections import defaultdict, deque
from dataclasses import dataclass

FLUSH_INTERVAL_S = 1.0
# On a host with little traffic, one second has too few requests for a 99th
# percentile.
TIMING_WINDOW_S = 10.0
# Enough for about 5,000 requests per second over one window.
MAX_TIMING_SAMPLES = 50_000
# Fits one Ethernet frame, so that no datagram is fragmented.
MAX_DATAGRAM_BYTES = 1400
# Leaves room for the prefix and the value within one datagram.
MAX_NAME_LENGTH = 200
_UNSAFE_CHARACTERS = re.compile(r"[^A-Za-z0-9._-]")


@dataclass(frozen=True)
class TimingSummary:
    """Distribution of one timing over the last complete window.

    Attributes
    ----------
    count : int
        Number of samples; at most ``MAX_TIMING_SAMPLES``.
    p50_ms : float
        Median in milliseconds.
    p99_ms : float
        99th percentile in milliseconds.
    p999_ms : float
        99.9th percentile in milliseconds.
    max_ms : float
        Largest value in milliseconds.
    window_ms : int
        Length of the window in milliseconds.
    ended_at : float
        Monotonic time of the end of the window, in seconds.
    """

    count: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    max_ms: float
    window_ms: int
    ended_at: float


class Metrics:
    """Counters, gauges and timings of one process.

    Parameters
    ----------
    client : statsd.StatsClient or None, default=None
        Client that ``flush`` sends to; None sends nothing.
    """

    def __init__(self, client=None):
        self._client = client
        self._lock = threading.Lock()
        self._totals = defaultdict(int)
        self._gauges = {}
        self._sent_totals = {}
        self._samples = {}
        self._timings = {}
        self._samplers = []
        self._window_start = time.monotonic()

    def increment(self, name, amount=1):
        """Add to a counter.

        Parameters
        ----------
        name : str
            Name of the counter, listed in docs/metrics.md.
        amount : int, default=1
            Amount to add.
        """
        with self._lock:
            self._totals[name] += amount

    def set_gauge(self, name, value):
        """Set a gauge to its current value.

        Parameters
        ----------
        name : str
            Name of the gauge, listed in docs/metrics.md.
        value : float
            Current value.
        """
        with self._lock:
            self._gauges[name] = value

    def record_time(self, name, seconds):
        """Add one sample to a timing.

        Parameters
        ----------
        name : str
            Name of the timing, listed in docs/metrics.md.
        seconds : float
            Measured duration.
        """
        # Samples are appended without a lock, so that no request waits for a flush.
        samples = self._samples.get(name)
        if samples is None:
            samples = self._samples.setdefault(name, deque(maxlen=MAX_TIMING_SAMPLES))
        samples.append(seconds)

    def add_sampler(self, sampler):
        """Add a function that sets gauges before each flush.

        Parameters
        ----------
        sampler : callable
            Called with this object.
        """
        self._samplers.append(sampler)

    def snapshot(self):
        """Return the totals since the start of the process.

        Returns
        -------
        dict of str to int
            A copy of all counters.
        """
        with self._lock:
            return dict(self._totals)

    def gauges(self):
        """Return the current gauges.

        Returns
        -------
        dict of str to float
            A copy of all gauges.
        """
        with self._lock:
            return dict(self._gauges)

    def timings(self):
        """Return the timings of the last complete window.

        Returns
        -------
        dict of str to TimingSummary
            Summaries by name; timings without samples in the window are left out.
        """
        return dict(self._timings)

    def flush(self):
        """Update the gauges and send what changed since the last call."""
        for sampler in self._samplers:
            sampler(self)
        now = time.monotonic()
        if now - self._window_start >= TIMING_WINDOW_S:
            self._end_window(now)
        if self._client is not None:
            self._send_changes()

    def run_flusher(self, stopping):
        """Flush once a second until the process stops.

        Parameters
        ----------
        stopping : threading.Event
            Set when the process stops.
        """
        while not stopping.wait(FLUSH_INTERVAL_S):
            self._flush_safely()
        self._flush_safely()

    def _flush_safely(self):
        try:
            self.flush()
        except Exception:
            # A failed flush must not end the flush thread.
            self.increment("metrics.flush_errors")

    def _send_changes(self):
        totals = self.snapshot()
        with self._client.pipeline() as pipe:
            for name, total in totals.items():
                change = total - self._sent_totals.get(name, 0)
                if change:
                    pipe.incr(_sanitize_name(name), change)
            for name, value in self.gauges().items():
                pipe.gauge(_sanitize_name(name), value)
        self._sent_totals = totals

    def _end_window(self, now):
        """Summarise the samples of the window and set the gauges of its timings."""
        window_ms = round((now - self._window_start) * 1000)
        self._window_start = now
        timings = {}
        gauges = {}
        for name, samples in list(self._samples.items()):
            # Samples that other threads append meanwhile belong to the next
            # window.
            values = sorted(samples.popleft() for _ in range(len(samples)))
            if not values:
                continue
            summary = _summarise(values, window_ms, now)
            timings[name] = summary
            for field in ("count", "p50_ms", "p99_ms", "p999_ms", "max_ms"):
                gauges[f"{name}.{field}"] = getattr(summary, field)
        with self._lock:
            # A window without samples must not repeat the previous percentiles.
            for name in self._timings.keys() - timings.keys():
                self._gauges[f"{name}.count"] = 0
                for field in ("p50_ms", "p99_ms", "p999_ms", "max_ms"):
                    self._gauges.pop(f"{name}.{field}", None)
            self._gauges.update(gauges)
        self._timings = timings


def _summarise(values, window_ms, now):
    """Summarise durations in seconds, sorted in ascending order."""

    def _get_percentile_ms(fraction):
        return round(
            values[min(len(values) - 1, int(fraction * len(values)))] * 1000, 3
        )

    return TimingSummary(
        len(values),
        _get_percentile_ms(0.5),
        _get_percentile_ms(0.99),
        _get_percentile_ms(0.999),
        _get_percentile_ms(1),
        window_ms,
        now,
    )


def _sanitize_name(name):
    """Replace characters that are special to statsd, and limit the length."""
    return _UNSAFE_CHARACTERS.sub("_", name)[:MAX_NAME_LENGTH]


def connect_statsd(address, prefix):
    """Return a statsd client for an address, or None without one.

    Parameters
    ----------
    address : str or None
        ``ip:port`` of the statsd daemon.
    prefix : str
        Prefix of all metric names.

    Returns
    -------
    statsd.StatsClient or None
        A client that sends UDP datagrams and ignores network errors.
    """
    if not address:
        return None
    # Imported only when used, because many hosts do not send to statsd.
    import statsd

    host, port = address.rsplit(":", 1)
    prefix = _sanitize_name(prefix)
    return statsd.StatsClient(
        host, int(port), prefix=prefix, maxudpsize=MAX_DATAGRAM_BYTES
    )
