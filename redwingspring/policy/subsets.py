"""Subsets of targets that a host prefers, so that it can use connections again.

Load pattern: hundreds of hosts share hundreds of targets, and each host gets one or two
requests a second. A host that chooses among all targets sees each of them so seldom
that almost every probe opens a connection. With few preferred targets most of its
connections are used again before they expire.

The targets of a data centre form a ring, ordered by hash. The hosts, ordered by name,
prefer equally long arcs of it at equal distances (deterministic subsetting), so that
every target is preferred by nearly the same number of hosts, and one host or target
more or less moves each arc by little.
"""

import threading
from dataclasses import dataclass

import xxhash

from ..clock import read_clock

# Targets that a host prefers of a service. The fewest leave a choice when one of them
# is slow; with more than the most, connections expire before they are used again.
MIN_PREFERRED = 3
MAX_PREFERRED = 16
# Targets are preferred for each recent request, so that a busy host, which uses its
# connections often enough, has a wider choice.
PREFERRED_PER_REQUEST = 0.5
# Interval at which the position of this host among the others is determined again.
REFRESH_S = 1.0


@dataclass(frozen=True)
class HostPosition:
    """Position of this host among those of its data centre.

    Attributes
    ----------
    index : int
        Hosts of the data centre with a smaller name.
    count : int
        Hosts of the data centre, this one included.
    """

    index: int
    count: int


class TargetSubsets:
    """Preferred targets of this host by service.

    Parameters
    ----------
    name : str
        Name of this host.
    data_centre : str
        Data centre of this host.
    list_hosts : callable
        Returns the Members that accept requests.
    clock : callable, default=read_clock
        Returns seconds.
    """

    def __init__(self, name, data_centre, list_hosts, clock=read_clock):
        self._name = name
        self._data_centre = data_centre
        self._list_hosts = list_hosts
        self._clock = clock
        self._lock = threading.Lock()
        self._rings = {}
        self._position = HostPosition(0, 1)
        self._refreshed_at = float("-inf")

    def choose(self, service, states, recent_requests):
        """Return the instances that this host prefers.

        Parameters
        ----------
        service : str
            Name of the service.
        states : tuple of InstanceState
            All instances of the service that are in use.
        recent_requests : int
            Requests for the service that this host got recently.

        Returns
        -------
        frozenset of str
            Their ids; empty without targets in the data centre of this host.
        """
        with self._lock:
            ring = self._find_ring(service, states)
            position = self._find_position()
        if not ring:
            return frozenset()
        wanted = round(PREFERRED_PER_REQUEST * recent_requests)
        count = min(len(ring), max(MIN_PREFERRED, min(MAX_PREFERRED, wanted)))
        start = position.index * len(ring) // position.count
        return frozenset(ring[(start + n) % len(ring)] for n in range(count))

    def _find_ring(self, service, states):
        """Return the ids of the local targets in the order of the ring."""
        known_states, ring = self._rings.get(service, (None, ()))
        # The snapshot is replaced whenever an instance changes.
        if known_states is not states:
            local = [
                state.instance.id
                for state in states
                if state.instance.data_centre == self._data_centre
            ]
            ring = tuple(sorted(local, key=_hash_id))
            self._rings[service] = (states, ring)
        return ring

    def _find_position(self):
        now = self._clock()
        if now - self._refreshed_at >= REFRESH_S:
            self._refreshed_at = now
            names = {
                member.name
                for member in self._list_hosts()
                if member.data_centre == self._data_centre
            }
            names.add(self._name)
            index = sum(name < self._name for name in names)
            self._position = HostPosition(index, len(names))
        return self._position


def _hash_id(instance_id):
    return (xxhash.xxh3_64_intdigest(instance_id.encode()), instance_id)
