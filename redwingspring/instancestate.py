"""One run of a target, and the state that this host keeps of it."""

import threading
from dataclasses import dataclass, replace

from .drainnotices import DrainNotice, TargetRun

# Load that a target reported within this time is still valid, because no other host
# has sent to it since.
MAX_LOAD_AGE_S = 0.01
# Responses to requests do not show that a target has become cold, so its last probe
# must not be older than this.
MAX_PROBE_AGE_S = 0.5

# An instance is ejected after consecutive failures of this total weight. Each host
# sends a target only about one request per second, so one failure is enough.
EJECT_THRESHOLD = 1.0
EJECT_S = 1.2
MAX_EJECT_S = 6.0

# Longest time without requests that a target can demand. A target whose value is
# absurd would otherwise never be used again.
MAX_BACKOFF_S = 300.0


@dataclass(frozen=True)
class Instance:
    """One run of a target process, as service discovery lists it.

    Attributes
    ----------
    id : str
        Identifier of the instance.
    service : str
        Name of its service.
    address : str
        ``ip:port`` of the target; it may later belong to another instance.
    data_centre : str
        Its data centre.
    slots : int
        Number of requests that it runs concurrently.
    leaving : bool
        True if it is draining and takes no new requests.
    cold_s : float
        Seconds until it is warm, as of the time when the entry was written.
    started_unix_ms : int
        Start time in Unix milliseconds; 0 if the entry does not state it.
    """

    id: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool = False
    cold_s: float = 0.0
    started_unix_ms: int = 0

    @property
    def run(self):
        """The run of the target process that the entry describes."""
        return TargetRun(self.id, self.started_unix_ms, self.address)


class InstanceState:
    """State that this host keeps of one instance.

    Parameters
    ----------
    instance : Instance
        Its entry in service discovery.
    pool : InstancePool
        Connections to it.
    now : float
        Current time on the clock of this host.
    drain_notices : DrainNotices or None, default=None
        Receives the notice that the instance drains.
    """

    def __init__(self, instance, pool, now, drain_notices=None):
        self.instance = instance
        self.pool = pool
        self.backoff_until = float("-inf")
        self._drain_notices = drain_notices
        self.in_flight = 0
        self.unanswered = 0
        self.sample = None
        self.reports_load = True
        self.listed_at = now
        self.cold_until = now + instance.cold_s
        self.probed_at = float("-inf")
        self.ejected_until = 0.0
        self.failures = 0.0
        self._pending_probes = []
        self._lock = threading.Lock()

    @property
    def has_pending_probe(self):
        """Tell whether a probe has no response yet."""
        return bool(self._pending_probes)

    def add_pending_probe(self, exchange):
        """Keep an exchange whose probe has no response yet.

        Parameters
        ----------
        exchange : Exchange
            The exchange; nothing else may use it.
        """
        with self._lock:
            self._pending_probes.append(exchange)

    def take_pending_probes(self):
        """Remove and return all exchanges with pending probes.

        Returns
        -------
        list of Exchange
            Each exchange is returned to one thread only.
        """
        with self._lock:
            taken, self._pending_probes = self._pending_probes, []
            return taken

    def update(self, instance, now):
        """Apply a newer entry of the same run.

        Parameters
        ----------
        instance : Instance
            The entry.
        now : float
            Current time.
        """
        self.instance = instance
        self.cold_until = now + instance.cold_s

    def record_probe_load(self, sample):
        """Record the load in the response to a probe.

        Parameters
        ----------
        sample : LoadSample
            The load.
        """
        # An instance that hangs reports that it is idle, and its count does not
        # include requests that have not reached it yet.
        self.sample = sample.ensure_at_least(self.unanswered)
        self.probed_at = sample.time
        if sample.cold_s > 0:
            self.cold_until = max(self.cold_until, sample.time + sample.cold_s)
        elif sample.time < self.cold_until:
            self.cold_until = sample.time

    def record_response_load(self, sample):
        """Record the load in the response to a request.

        Unlike the response to a probe, it does not show whether the instance is cold
        or takes new requests.

        Parameters
        ----------
        sample : LoadSample
            The load.
        """
        cold_s = max(0.0, self.cold_until - sample.time)
        healthy = self.sample is None or self.sample.healthy
        sample = replace(sample, cold_s=cold_s, healthy=healthy)
        self.sample = sample.ensure_at_least(self.unanswered)

    def record_conditions(self, metadata, refused, now):
        """Record the conditions for further requests that a response states.

        Parameters
        ----------
        metadata : ResponseMetadata
            Metadata of a response of this instance.
        refused : bool
            Whether the response refused a request or a probe.
        now : float
            Current time.
        """
        if metadata.draining and self._drain_notices is not None:
            self._drain_notices.record([DrainNotice(self.instance.run)], "response")
        if refused and metadata.retry_after_s is not None:
            until = now + min(metadata.retry_after_s, MAX_BACKOFF_S)
            self.backoff_until = max(self.backoff_until, until)

    def is_backing_off(self, now):
        """Tell whether the instance currently wants no requests of this host.

        Parameters
        ----------
        now : float
            Current time.

        Returns
        -------
        bool
            True until the time that it stated in a refusal is over.
        """
        return now < self.backoff_until

    def has_recent_load(self, now):
        """Tell whether the last reported load is recent enough to use.

        Parameters
        ----------
        now : float
            Current time.

        Returns
        -------
        bool
            True if a request can be placed without a probe.
        """
        if now - self.probed_at > MAX_PROBE_AGE_S:
            return False
        return now - self.sample.time <= MAX_LOAD_AGE_S

    def begin(self):
        """Count a request that is sent to the instance."""
        with self._lock:
            self.in_flight += 1
            if self.sample is not None:
                # Otherwise the next request would be placed in the same free slot.
                self.sample = self.sample.add_request()

    def count_unanswered(self, change):
        """Adjust the number of requests whose response has not begun.

        Parameters
        ----------
        change : int
            1 before a request is sent; -1 when its response begins or the request ends.
        """
        with self._lock:
            self.unanswered += change

    def end(self):
        """Count the end of a request."""
        with self._lock:
            self.in_flight -= 1

    def record_success(self):
        """Record a successful request or probe."""
        self.failures = 0.0

    def record_failure(self, now, weight=1.0):
        """Record a failed request or probe; eject the instance at the threshold.

        Parameters
        ----------
        now : float
            Current time.
        weight : float, default=1.0
            Weight of the failure as evidence; 1 is enough for an ejection.

        Returns
        -------
        bool
            True if this failure ejects the instance.
        """
        self.failures += weight
        if self.failures < EJECT_THRESHOLD:
            return False
        doublings = min(self.failures - EJECT_THRESHOLD, 4)
        ejected = now >= self.ejected_until
        self.ejected_until = now + min(MAX_EJECT_S, EJECT_S * 2**doublings)
        return ejected

    def is_cold(self, now):
        """Tell whether the instance is cold.

        Parameters
        ----------
        now : float
            Current time.

        Returns
        -------
        bool
            True while it tolerates only few requests per second.
        """
        return now < self.cold_until
