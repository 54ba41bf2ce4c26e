"""Instances of targets that discovery lists, and what this host knows of them."""

import threading
from dataclasses import dataclass, field, replace

from .clock import read_clock
from .instancepool import InstancePool

# Load that a target told within this time still holds: nobody else has sent to it.
RECENT_LOAD_S = 0.01
# Responses to requests do not tell that a target turned cold, so a probe must have
# asked it within this time.
PROBE_VALID_S = 0.5

# An instance is left out for a while after failures of this weight in a row. Each
# host sends a target about one request a second, so one lost answer must do.
EJECT_WEIGHT = 1.0
EJECT_S = 1.2
MAX_EJECT_S = 6.0


@dataclass(frozen=True)
class Instance:
    """One start of a target, as discovery lists it.

    Attributes
    ----------
    id : str
        Identifies the instance.
    service : str
        Name of its service.
    address : str
        ``ip:port`` of the target; it may later belong to another instance.
    data_centre : str
        Where it is.
    slots : int
        Requests that it runs at once.
    leaving : bool
        True when it takes no new requests.
    cold_s : float
        Seconds that it stayed cold when the entry was written.
    born_ms : int
        Unix milliseconds of its start; 0 when the entry does not tell.
    """

    id: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool = False
    cold_s: float = 0.0
    born_ms: int = 0


class InstanceState:
    """What this host knows of one instance.

    Parameters
    ----------
    instance : Instance
        The entry of discovery.
    pool : InstancePool
        Connections to it.
    now : float
        Present time on the clock of this host.
    """

    def __init__(self, instance, pool, now):
        self.instance = instance
        self.pool = pool
        self.in_flight = 0
        self.unanswered = 0
        self.sample = None
        self.tells_load = True
        self.listed_at = now
        self.cold_until = now + instance.cold_s
        self.probed_at = float("-inf")
        self.ejected_until = 0.0
        self.failures = 0.0
        self._unanswered = []
        self._lock = threading.Lock()

    @property
    def is_silent(self):
        """Tell whether a probe is still unanswered."""
        return bool(self._unanswered)

    def park(self, exchange):
        """Keep an exchange whose probe is still unanswered.

        Parameters
        ----------
        exchange : Exchange
            Nobody else uses it.
        """
        with self._lock:
            self._unanswered.append(exchange)

    def take_parked(self):
        """Return the parked exchanges, each of them to one caller only.

        Returns
        -------
        list of Exchange
            They are no longer parked.
        """
        with self._lock:
            taken, self._unanswered = self._unanswered, []
            return taken

    def update(self, instance, now):
        """Take a newer entry of the same start.

        Parameters
        ----------
        instance : Instance
            The entry.
        now : float
            Present time.
        """
        self.instance = instance
        self.cold_until = now + instance.cold_s

    def record_sample(self, sample):
        """Note the load that the instance told.

        Parameters
        ----------
        sample : LoadSample
            The load.
        """
        # An instance that hangs says that it is idle, and requests on the way to it
        # are not in its count yet.
        self.sample = sample.ensure_at_least(self.unanswered)
        self.probed_at = sample.time
        if sample.cold_s > 0:
            self.cold_until = max(self.cold_until, sample.time + sample.cold_s)
        elif sample.time < self.cold_until:
            self.cold_until = sample.time

    def record_load(self, sample):
        """Note the load that the instance told in the response to a request.

        Unlike the response to a probe it says nothing of a cold start, or of
        whether the instance takes new requests.

        Parameters
        ----------
        sample : LoadSample
            The load.
        """
        cold_s = max(0.0, self.cold_until - sample.time)
        healthy = self.sample is None or self.sample.healthy
        sample = replace(sample, cold_s=cold_s, healthy=healthy)
        self.sample = sample.ensure_at_least(self.unanswered)

    def has_recent_load(self, now):
        """Tell whether the instance told its load a moment ago.

        Parameters
        ----------
        now : float
            Present time.

        Returns
        -------
        bool
            True when a request can be placed without a probe.
        """
        if now - self.probed_at > PROBE_VALID_S:
            return False
        return now - self.sample.time <= RECENT_LOAD_S

    def begin(self):
        """Count a request that is sent to the instance."""
        with self._lock:
            self.in_flight += 1
            if self.sample is not None:
                # The next request must not find the same slot free.
                self.sample = self.sample.add_request()

    def count_unanswered(self, change):
        """Count requests whose response has not begun.

        Parameters
        ----------
        change : int
            1 before a request is sent, -1 once its response begins or it ends.
        """
        with self._lock:
            self.unanswered += change

    def end(self):
        """Count the end of a request."""
        with self._lock:
            self.in_flight -= 1

    def record_success(self):
        """Note that a request or probe went well."""
        self.failures = 0.0

    def record_failure(self, now, weight=1.0):
        """Note a failed request or probe; eject after enough of them.

        Parameters
        ----------
        now : float
            Present time.
        weight : float, default=1.0
            How much the failure says; 1 is enough for an ejection.

        Returns
        -------
        bool
            True when the instance is ejected by this failure.
        """
        self.failures += weight
        if self.failures < EJECT_WEIGHT:
            return False
        doublings = min(self.failures - EJECT_WEIGHT, 4)
        ejected = now >= self.ejected_until
        self.ejected_until = now + min(MAX_EJECT_S, EJECT_S * 2**doublings)
        return ejected

    def is_cold(self, now):
        """Tell whether the instance is cold.

        Parameters
        ----------
        now : float
            Present time.

        Returns
        -------
        bool
            True while it bears only few requests a second.
        """
        return now < self.cold_until


@dataclass(frozen=True)
class InstanceView:
    """The instances in use at one moment.

    Attributes
    ----------
    services : dict of str to tuple of InstanceState
        Instances that take requests, by service.
    evacuated : frozenset of str
        Data centres that get no requests.
    """

    services: dict = field(default_factory=dict)
    evacuated: frozenset = frozenset()


class InstanceDirectory:
    """All listed instances with their state, and the evacuated data centres.

    Parameters
    ----------
    source : str or None, default=None
        IP number that connections come from.
    clock : callable, default=read_clock
        Returns seconds.
    """

    def __init__(self, source=None, clock=read_clock):
        self._source = source
        self._clock = clock
        self._lock = threading.Lock()
        self._states = {}
        self._view = InstanceView()

    @property
    def view(self):
        """The instances in use, as of now."""
        return self._view

    def put(self, instance):
        """Take the entry of an instance.

        Parameters
        ----------
        instance : Instance
            The entry.

        Returns
        -------
        bool
            False when the entry is older than the known one.
        """
        with self._lock:
            now = self._clock()
            known = self._states.get(instance.id)
            if known is not None and instance.born_ms < known.instance.born_ms:
                return False
            if known is not None and _is_same_start(known.instance, instance):
                known.update(instance, now)
            else:
                pool = InstancePool(instance.address, self._source)
                self._states[instance.id] = InstanceState(instance, pool, now)
                if known is not None:
                    known.pool.close()
            self._rebuild(self._view.evacuated)
            return True

    def remove(self, instance_id):
        """Forget an instance.

        Parameters
        ----------
        instance_id : str
            Its id.

        Returns
        -------
        bool
            False when it was not known.
        """
        with self._lock:
            known = self._states.pop(instance_id, None)
            if known is None:
                return False
            known.pool.close()
            self._rebuild(self._view.evacuated)
            return True

    def set_evacuated(self, data_centres):
        """Set the data centres that get no requests.

        Parameters
        ----------
        data_centres : frozenset of str
            Their names.
        """
        with self._lock:
            self._rebuild(frozenset(data_centres))

    def list_ids(self):
        """Return the ids of all known instances.

        Returns
        -------
        set of str
            Those of leaving instances included.
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
            False when it leaves, is gone or its data centre is evacuated.
        """
        instance = state.instance
        return (
            self._states.get(instance.id) is state
            and not instance.leaving
            and instance.data_centre not in self._view.evacuated
        )

    def _rebuild(self, evacuated):
        """Compute the view; the lock is held."""
        services = {}
        for state in self._states.values():
            instance = state.instance
            if not instance.leaving and instance.data_centre not in evacuated:
                services.setdefault(instance.service, []).append(state)
        self._view = InstanceView(
            {name: tuple(states) for name, states in services.items()}, evacuated
        )


def _is_same_start(known, instance):
    return (
        known.born_ms == instance.born_ms
        and known.address == instance.address
        and known.service == instance.service
    )
