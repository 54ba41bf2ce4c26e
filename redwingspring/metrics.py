"""Counters, gauges and timings, kept in the process and sent by statsd."""

import re
import threading
import time
from collections import defaultdict, deque
from dataclasses import dataclass

FLUSH_INTERVAL_S = 1.0
# One second holds too few requests of a quiet host for a 99th percentile.
TIMING_WINDOW_S = 10.0
# About 5,000 requests a second over one window.
MAX_TIMING_SAMPLES = 50_000
# Fits one Ethernet frame, so that no datagram is fragmented.
MAX_DATAGRAM_BYTES = 1400
# Leaves room for prefix and value within one datagram.
MAX_NAME_LENGTH = 200
_UNSAFE_IN_NAMES = re.compile(r"[^A-Za-z0-9._-]")


@dataclass(frozen=True)
class TimingSummary:
    """Distribution of one timing over the last complete window.

    Attributes
    ----------
    count : int
        Measured events; at most ``MAX_TIMING_SAMPLES``.
    p50_ms : float
        Median in milliseconds.
    p99_ms : float
        99th percentile in milliseconds.
    p999_ms : float
        99.9th percentile in milliseconds.
    max_ms : float
        Largest value in milliseconds.
    window_ms : int
        Length of the window.
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
    """Totals of one process.

    Parameters
    ----------
    client : statsd.StatsClient or None, default=None
        Where ``flush`` sends the changes; nothing is sent without one.
    """

    def __init__(self, client=None):
        self._client = client
        self._lock = threading.Lock()
        self._totals = defaultdict(int)
        self._gauges = {}
        self._sent = {}
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
            What to add.
        """
        with self._lock:
            self._totals[name] += amount

    def set_gauge(self, name, value):
        """Set a gauge to its present value.

        Parameters
        ----------
        name : str
            Name of the gauge, listed in docs/metrics.md.
        value : float
            Present value.
        """
        with self._lock:
            self._gauges[name] = value

    def record_time(self, name, seconds):
        """Add one measured time.

        Parameters
        ----------
        name : str
            Name of the timing, listed in docs/metrics.md.
        seconds : float
            The time.
        """
        # Appending takes no lock, so a request never waits for the flusher.
        samples = self._samples.get(name)
        if samples is None:
            samples = self._samples.setdefault(name, deque(maxlen=MAX_TIMING_SAMPLES))
        samples.append(seconds)

    def add_sampler(self, sampler):
        """Add a function that sets gauges before each flush.

        Parameters
        ----------
        sampler : callable
            Called with these metrics.
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
        """Return the present gauges.

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
            By name; a timing without events in the window is absent.
        """
        return dict(self._timings)

    def flush(self):
        """Sample the gauges and send the changes since the last call."""
        for sampler in self._samplers:
            sampler(self)
        now = time.monotonic()
        if now - self._window_start >= TIMING_WINDOW_S:
            self._end_window(now)
        if self._client is not None:
            self._send()

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
            # Metrics that cannot be sent must not end the flusher.
            self.increment("metrics.flush_errors")

    def _send(self):
        totals = self.snapshot()
        with self._client.pipeline() as pipe:
            for name, total in totals.items():
                change = total - self._sent.get(name, 0)
                if change:
                    pipe.incr(_clean_name(name), change)
            for name, value in self.gauges().items():
                pipe.gauge(_clean_name(name), value)
        self._sent = totals

    def _end_window(self, now):
        """Summarise the samples of a window and publish them as gauges."""
        window_ms = round((now - self._window_start) * 1000)
        self._window_start = now
        timings = {}
        gauges = {}
        for name, samples in list(self._samples.items()):
            # Other threads append meanwhile; their samples stay for the next
            # window.
            values = sorted(samples.popleft() for _ in range(len(samples)))
            if not values:
                continue
            summary = _summarise(values, window_ms, now)
            timings[name] = summary
            for field in ("count", "p50_ms", "p99_ms", "p999_ms", "max_ms"):
                gauges[f"{name}.{field}"] = getattr(summary, field)
        with self._lock:
            # A quiet window must not repeat the percentiles of the former one.
            for name in self._timings.keys() - timings.keys():
                self._gauges[f"{name}.count"] = 0
                for field in ("p50_ms", "p99_ms", "p999_ms", "max_ms"):
                    self._gauges.pop(f"{name}.{field}", None)
            self._gauges.update(gauges)
        self._timings = timings


def _summarise(values, window_ms, now):
    """Return the summary of sorted times in seconds."""

    def _pick(share):
        return round(values[min(len(values) - 1, int(share * len(values)))] * 1000, 3)

    return TimingSummary(
        len(values), _pick(0.5), _pick(0.99), _pick(0.999), _pick(1), window_ms, now
    )


def _clean_name(name):
    """Return a name that neither ends a statsd field nor a datagram's bound."""
    return _UNSAFE_IN_NAMES.sub("_", name)[:MAX_NAME_LENGTH]


def connect_statsd(address, prefix):
    """Return a statsd client for an address, or None without one.

    Parameters
    ----------
    address : str or None
        ``ip:port`` of the statsd daemon.
    prefix : str
        Prefix of every name.

    Returns
    -------
    statsd.StatsClient or None
        A client that sends UDP datagrams and ignores errors of the network.
    """
    if not address:
        return None
    # Many hosts send nothing to statsd and need not load it.
    import statsd

    host, port = address.rsplit(":", 1)
    prefix = _clean_name(prefix)
    return statsd.StatsClient(
        host, int(port), prefix=prefix, maxudpsize=MAX_DATAGRAM_BYTES
    )
