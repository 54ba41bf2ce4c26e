"""Open-loop HTTP load generator."""

import ipaddress
import json
import random
import threading
import time
from dataclasses import dataclass
from urllib.parse import urlsplit

import urllib3
from hdrh.histogram import HdrHistogram

from .errors import RedwingspringError
from .responsehead import WholeHeadPool

# Histogram values are microseconds; 1 hour bounds a latency.
LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 3
MAX_REQUESTS = 10_000_000
MAX_CONNECTIONS = 1024
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)


class LoadError(RedwingspringError):
    """A load plan that may not be run."""


@dataclass(frozen=True)
class LoadPlan:
    """What load to send.

    Attributes
    ----------
    url : str
        Where each request goes.
    rate : float
        Requests a second.
    duration : float
        Seconds during which requests are scheduled.
    method : str, default="GET"
        HTTP method.
    body_bytes : int, default=0
        Length of each request body.
    connections : int, default=64
        Connections, each with a sender thread.
    warm_up : float, default=0.0
        Seconds at the start whose requests are not counted.
    timeout : float, default=10.0
        Seconds that one request may take.
    seed : int or None, default=None
        Seed of the Poisson arrivals; evenly spaced arrivals when None.
    """

    url: str
    rate: float
    duration: float
    method: str = "GET"
    body_bytes: int = 0
    connections: int = 64
    warm_up: float = 0.0
    timeout: float = 10.0
    seed: int | None = None

    def check(self, any_address=False):
        """Check the bounds of the plan.

        Parameters
        ----------
        any_address : bool, default=False
            Whether addresses other than loopback are allowed.

        Raises
        ------
        LoadError
            If the plan is out of bounds or leaves the loopback network.
        """
        if not 0 < self.rate * self.duration <= MAX_REQUESTS:
            raise LoadError(f"rate times duration must be 1 to {MAX_REQUESTS} requests")
        if not 0 < self.connections <= MAX_CONNECTIONS:
            raise LoadError(f"connections must be 1 to {MAX_CONNECTIONS}")
        if not 0 <= self.warm_up < self.duration:
            raise LoadError("the warm-up must be shorter than the duration")
        if not any_address and not _is_loopback(urlsplit(self.url).hostname):
            raise LoadError("only loopback addresses are allowed without --any-address")


def _is_loopback(name):
    # A name is not resolved: it could mean another address at each look-up.
    try:
        return ipaddress.ip_address(name or "").is_loopback
    except ValueError:
        return False


def make_histogram():
    """Return an empty latency histogram in microseconds.

    Returns
    -------
    HdrHistogram
        The histogram.
    """
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


class LoadResult:
    """Counts and latencies of one run."""

    def __init__(self):
        self.histogram = make_histogram()
        self.succeeded = 0
        self.refused = 0
        self.failed = 0
        self.unsent = 0

    def record(self, outcome, seconds):
        """Count one request.

        Parameters
        ----------
        outcome : {"succeeded", "refused", "failed"}
            What became of it.
        seconds : float
            Time since its scheduled send; kept for a success only.
        """
        setattr(self, outcome, getattr(self, outcome) + 1)
        if outcome == "succeeded":
            self.histogram.record_value(max(LOWEST_US, int(seconds * 1e6)))

    def add(self, other):
        """Add the counts of another result.

        Parameters
        ----------
        other : LoadResult
            The other result.
        """
        self.histogram.add(other.histogram)
        for name in ("succeeded", "refused", "failed", "unsent"):
            setattr(self, name, getattr(self, name) + getattr(other, name))

    def read_percentile(self, percentile):
        """Return a percentile of the latency of successes.

        Parameters
        ----------
        percentile : float
            0 to 100.

        Returns
        -------
        float
            Milliseconds.
        """
        return self.histogram.get_value_at_percentile(percentile) / 1000

    def as_dict(self):
        """Return the result for JSON.

        Returns
        -------
        dict
            Counts, percentiles in milliseconds and the encoded histogram.
        """
        return {
            "succeeded": self.succeeded,
            "refused": self.refused,
            "failed": self.failed,
            "unsent": self.unsent,
            "milliseconds": {
                f"p{percentile:g}": self.read_percentile(percentile)
                for percentile in PERCENTILES
            },
            "histogram": self.histogram.encode().decode(),
        }

    @classmethod
    def from_dict(cls, values):
        """Return the result that ``as_dict`` described.

        Parameters
        ----------
        values : dict
            The description.

        Returns
        -------
        LoadResult
            An equal result.
        """
        result = cls()
        for name in ("succeeded", "refused", "failed", "unsent"):
            setattr(result, name, values[name])
        result.histogram = HdrHistogram.decode(values["histogram"].encode())
        return result


class _Schedule:
    """Hands out the send times of a plan, each once."""

    def __init__(self, plan, start):
        self._plan = plan
        self._random = None if plan.seed is None else random.Random(plan.seed)
        self._lock = threading.Lock()
        self._start = start
        self._offset = 0.0
        self._taken = 0

    def take(self):
        """Return the next send time, or None after the last."""
        plan = self._plan
        with self._lock:
            if self._random is None:
                # Computed from the count, because sums of intervals drift.
                offset = self._taken / plan.rate
            else:
                offset = self._offset
                self._offset += self._random.expovariate(plan.rate)
            if offset >= plan.duration or self._taken >= MAX_REQUESTS:
                return None
            self._taken += 1
            return self._start + offset


class LoadGenerator:
    """Sends requests at times that do not depend on the responses.

    Latency counts from the scheduled send time, so that a stall of the
    system delays the recorded start of no request (coordinated omission).

    Parameters
    ----------
    plan : LoadPlan
        A checked plan.
    """

    def __init__(self, plan):
        self.plan = plan
        parts = urlsplit(plan.url)
        self._host, self._port = parts.hostname, parts.port or 80
        self._path = parts.path or "/"
        if parts.query:
            self._path += f"?{parts.query}"
        self._body = b"x" * plan.body_bytes if plan.body_bytes else None

    def run(self):
        """Send the whole plan and wait for its responses.

        Returns
        -------
        LoadResult
            Counts and latencies without the warm-up.
        """
        start = time.monotonic() + 0.05
        schedule = _Schedule(self.plan, start)
        results = [LoadResult() for _ in range(self.plan.connections)]
        threads = [
            threading.Thread(
                target=self._run_sender,
                args=(schedule, start, result),
                name=f"sender-{number}",
                daemon=True,
            )
            for number, result in enumerate(results)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        total = LoadResult()
        for result in results:
            total.add(result)
        return total

    def _run_sender(self, schedule, start, result):
        pool = WholeHeadPool(self._host, self._port, maxsize=1, retries=False)
        counted = start + self.plan.warm_up
        latest = start + self.plan.duration + self.plan.timeout
        while (due := schedule.take()) is not None:
            if time.monotonic() > latest:
                result.unsent += due >= counted
                continue
            time.sleep(max(0.0, due - time.monotonic()))
            outcome = self._send(pool)
            if due >= counted:
                result.record(outcome, time.monotonic() - due)
        pool.close()

    def _send(self, pool):
        """Send one request; return its outcome."""
        try:
            response = pool.request(
                self.plan.method,
                self._path,
                body=self._body,
                timeout=self.plan.timeout,
                redirect=False,
            )
        except (urllib3.exceptions.HTTPError, OSError):
            return "failed"
        if response.headers.get("Request-Run") == "not-run":
            return "refused"
        return "succeeded" if response.status < 400 else "failed"


def render_result(result, as_json=False):
    """Return a result as text.

    Parameters
    ----------
    result : LoadResult
        The result.
    as_json : bool, default=False
        Whether the text is JSON.

    Returns
    -------
    str
        Without a final line end.
    """
    if as_json:
        return json.dumps(result.as_dict())
    lines = [
        f"succeeded {result.succeeded}",
        f"refused   {result.refused} (not-run)",
        f"failed    {result.failed}",
        f"unsent    {result.unsent}",
    ]
    lines += [
        f"p{percentile:<8g} {result.read_percentile(percentile):.2f} ms"
        for percentile in PERCENTILES
    ]
    return "\n".join(lines)
