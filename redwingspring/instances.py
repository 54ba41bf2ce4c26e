"""Directory of target instances with the state that this host keeps of each."""

import threading
from dataclasses import dataclass, field, replace

from .clock import read_clock
from .drainnotices import DrainNotice, DrainNotices, TargetRun
from .instancepool import InstancePool

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

    def record_conditions(self, metadata, now):
        """Record the conditions for further requests that a response states.

        Parameters
        ----------
        metadata : ResponseMetadata
            Metadata of a response of this instance.
        now : float
            Current time.
        """
        if metadata.draining and self._drain_notices is not None:
            self._drain_notices.record([DrainNotice(self.instance.run)], "response")
        if metadata.retry_after_s is not None:
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


@dataclass(frozen=True)
class InstanceView:
    """Snapshot of the instances in use.

    Attributes
    ----------
    services : dict of str to tuple of InstanceState
        Instances that take requests, by service.
    evacuated : frozenset of str
        Data centres whose targets get no requests.
    """

    services: dict = field(default_factory=dict)
    evacuated: frozenset = frozenset()


class InstanceDirectory:
    """All listed instances with their state, and the evacuated data centres.

    Parameters
    ----------
    source : str or None, default=None
        Source IP address of the connections.
    clock : callable, default=read_clock
        Returns seconds.
    drain_notices : DrainNotices or None, default=None
        Runs that drain whatever their entries state.
    """

    def __init__(self, source=None, clock=read_clock, drain_notices=None):
        self._source = source
        self._clock = clock
        self._drain_notices = drain_notices or DrainNotices(clock=clock)
        self._drain_notices.on_new = self._apply_drain_notices
        self._lock = threading.Lock()
        self._states = {}
        self._view = InstanceView()

    @property
    def view(self):
        """The current snapshot of the instances in use."""
        return self._view

    def put(self, instance):
        """Add or update an instance.

        Parameters
        ----------
        instance : Instance
            Its entry.

        Returns
        -------
        bool
            False if the known entry is newer.
        """
        with self._lock:
            now = self._clock()
            known = self._states.get(instance.id)
            if (
                known is not None
                and instance.started_unix_ms < known.instance.started_unix_ms
            ):
                return False
            if known is not None and _is_same_start(known.instance, instance):
                known.update(instance, now)
            else:
                pool = InstancePool(instance.address, self._source)
                self._states[instance.id] = InstanceState(
                    instance, pool, now, self._drain_notices
                )
                if known is not None:
                    known.pool.close()
            self._rebuild_view(self._view.evacuated)
            return True

    def remove(self, instance_id):
        """Remove an instance and close its connections.

        Parameters
        ----------
        instance_id : str
            Id of the instance.

        Returns
        -------
        bool
            False if it was not known.
        """
        with self._lock:
            known = self._states.pop(instance_id, None)
            if known is None:
                return False
            known.pool.close()
            self._rebuild_view(self._view.evacuated)
            return True

    def set_evacuated(self, data_centres):
        """Set the data centres whose targets get no requests.

        Parameters
        ----------
        data_centres : frozenset of str
            Their names.
        """
        with self._lock:
            self._rebuild_view(frozenset(data_centres))

    def list_ids(self):
        """Return the ids of all known instances.

        Returns
        -------
        set of str
            Ids, those of leaving instances included.
        """
        with self._lock:
            return set(self._states)

    def accepts(self, state):
        """Tell whether a request may be sent to an instance now.

        Parameters
        ----------
        state : InstanceState
            The instance.

        Returns
        -------
        bool
            False if it is leaving or removed, or its data centre is evacuated.
        """
        instance = state.instance
        return (
            self._states.get(instance.id) is state
            and not self._is_leaving(instance)
            and instance.data_centre not in self._view.evacuated
        )

    def _is_leaving(self, instance):
        """Tell whether an instance drains by its entry or by its own responses."""
        return instance.leaving or self._drain_notices.contains(instance.run)

    def _apply_drain_notices(self):
        """Stop using the instances of new notices; close their idle connections."""
        with self._lock:
            for state in self._states.values():
                if self._drain_notices.contains(state.instance.run):
                    state.pool.close()
                    for exchange in state.take_pending_probes():
                        exchange.abort()
            self._rebuild_view(self._view.evacuated)

    def _rebuild_view(self, evacuated):
        """Rebuild the snapshot of the instances in use; the lock is held."""
        services = {}
        for state in self._states.values():
            instance = state.instance
            if not self._is_leaving(instance) and instance.data_centre not in evacuated:
                services.setdefault(instance.service, []).append(state)
        self._view = InstanceView(
            {name: tuple(states) for name, states in services.items()}, evacuated
        )


def _is_same_start(known, instance):
    return (
        known.started_unix_ms == instance.started_unix_ms
        and known.address == instance.address
        and known.service == instance.service
    )
