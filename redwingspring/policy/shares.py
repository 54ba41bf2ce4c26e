"""Shares of one host in limits that apply to all hosts together."""

import threading
from collections import deque

from ..clock import read_clock
from .rendezvous import find_owner

# Fraction of a common limit that is divided among the hosts; the rest is a reserve
# for periods in which their views of the membership differ.
ALLOTTED_FRACTION = 0.6
# Fraction of the retry ratio that is used. Each host counts its own requests, so
# differing views of the membership do not matter here.
RATIO_FRACTION = 0.9
# Rendezvous hashing assigns each cold target to one host, which sends at most this
# fraction of the rate that the target tolerates.
COLD_RATE_FRACTION = 0.8
# The cached owners are dropped when there are more than this, because the cache
# also holds instances that no longer exist.
MAX_CACHED_OWNERS = 4096
# The highest number of hosts within this time is used, so that after a network
# partition neither side takes over the shares of the other at once.
HOST_COUNT_WINDOW_S = 30.0
# The probe limit is an average over a long time, so a burst may use the tokens that
# quiet seconds left unused. Only hosts that do not know of each other can exceed
# it together.
PROBE_RATE_FRACTION = 0.75
PROBE_BURST_S = 8.0


class HostCount:
    """Number of hosts that share a limit: the highest that was known recently.

    Parameters
    ----------
    clock : callable, default=read_clock
        Returns seconds.
    """

    def __init__(self, clock=read_clock):
        self._clock = clock
        self._counts = deque()
        self._lock = threading.Lock()

    def record_count(self, count):
        """Record the number of hosts that are known now.

        Parameters
        ----------
        count : int
            This host included.
        """
        now = self._clock()
        with self._lock:
            while self._counts and self._counts[-1][1] <= count:
                self._counts.pop()
            self._counts.append((now, count))
            while now - self._counts[0][0] > HOST_COUNT_WINDOW_S:
                self._counts.popleft()

    @property
    def value(self):
        """The number to divide by, at least 1."""
        with self._lock:
            return max([1, *(count for _, count in self._counts)])


class RetryShare:
    """Share of one host in the retry budget: all sends of a request but its first.

    Parameters
    ----------
    ratio : float
        Extra sends for each request, over all hosts.
    slack : float
        Further extra sends in each window, over all hosts.
    window_s : float
        Length of the window in seconds.
    hosts : HostCount
        Number of hosts that share the slack.
    clock : callable, default=read_clock
        Returns seconds.
    """

    def __init__(self, ratio, slack, window_s, hosts, clock=read_clock):
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._hosts = hosts
        self._clock = clock
        self._lock = threading.Lock()
        self._requests = {}
        self._extra_sends = {}

    def record_request(self, service):
        """Count a request that a caller sent.

        Parameters
        ----------
        service : str
            The service that should answer it.
        """
        with self._lock:
            self._requests.setdefault(service, deque()).append(self._clock())

    def count_requests(self, service):
        """Return how many requests for a service arrived within the window.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        int
            Requests of this host's callers.
        """
        with self._lock:
            return self._count_recent(self._requests, service, self._clock())

    def take(self, service, fraction=1.0):
        """Take one extra send from the budget.

        Parameters
        ----------
        service : str
            The service that it goes to.
        fraction : float, default=1.0
            Fraction of the share that this purpose may use up.

        Returns
        -------
        bool
            False when the share is used up.
        """
        with self._lock:
            now = self._clock()
            requests = self._count_recent(self._requests, service, now)
            extra_sends = self._count_recent(self._extra_sends, service, now)
            # Each request is counted by exactly one host, so the ratio is not
            # divided among the hosts; the slack is divided evenly.
            slack = ALLOTTED_FRACTION * self._slack / self._hosts.value
            allowed = RATIO_FRACTION * self._ratio * requests + slack
            if extra_sends + 1 > allowed * fraction:
                return False
            self._extra_sends[service].append(now)
            return True

    def _count_recent(self, times, service, now):
        """Return the number of times within the window; drop the others."""
        recent = times.setdefault(service, deque())
        while recent and now - recent[0] > self._window_s:
            recent.popleft()
        return len(recent)


class ProbeShare:
    """Share of one host in the probe rate of the targets, as a token bucket.

    Parameters
    ----------
    rate_per_target : float
        Average probes per second that each target may get from all hosts.
    hosts : HostCount
        Number of hosts that share it.
    clock : callable, default=read_clock
        Returns seconds.
    """

    def __init__(self, rate_per_target, hosts, clock=read_clock):
        self._rate_per_target = rate_per_target
        self._hosts = hosts
        self._clock = clock
        self._lock = threading.Lock()
        self._tokens = {}

    def take(self, service, targets, requested):
        """Take tokens for probes.

        Parameters
        ----------
        service : str
            The service whose targets are probed.
        targets : int
            Number of its targets.
        requested : int
            Number of probes to send.

        Returns
        -------
        int
            Number of probes that may be sent now.
        """
        rate = PROBE_RATE_FRACTION * self._rate_per_target * targets / self._hosts.value
        capacity = max(requested, rate * PROBE_BURST_S)
        with self._lock:
            now = self._clock()
            tokens, refilled_at = self._tokens.get(service, (capacity, now))
            tokens = min(capacity, tokens + (now - refilled_at) * rate)
            granted = min(requested, int(tokens))
            self._tokens[service] = (tokens - granted, now)
            return granted


class ColdShare:
    """Share of one host in the request rate that cold targets tolerate.

    Each cold target is assigned to one of the known hosts, so that the total over
    all hosts stays below its rate, even while the views of two hosts differ.

    Parameters
    ----------
    name : str
        Name of this host.
    list_hosts : callable
        Returns the names of the hosts that serve requests, this one included.
    clock : callable, default=read_clock
        Returns seconds.
    """

    def __init__(self, name, list_hosts, clock=read_clock):
        self._name = name
        self._list_hosts = list_hosts
        self._clock = clock
        self._lock = threading.Lock()
        self._sent = {}
        self._hosts = ()
        self._ownership = {}

    def select_owned(self, instance_ids):
        """Return the cold instances that are assigned to this host.

        Load pattern: when a data centre comes back, all its targets are cold at once,
        and every request considers them. Owners change only with the set of hosts,
        so they are computed once for each set.

        Parameters
        ----------
        instance_ids : sequence of str
            Cold instances.

        Returns
        -------
        set of str
            Instances that only this host sends to while they are cold.
        """
        if not instance_ids:
            return set()
        hosts = tuple(self._list_hosts())
        with self._lock:
            if hosts != self._hosts or len(self._ownership) > MAX_CACHED_OWNERS:
                self._hosts, self._ownership = hosts, {}
            return {name for name in instance_ids if self._owns(name)}

    def _owns(self, instance_id):
        """Tell whether this host owns an instance; the lock is held."""
        is_owner = self._ownership.get(instance_id)
        if is_owner is None:
            owner = find_owner(self._hosts, instance_id)
            is_owner = self._ownership[instance_id] = owner in (None, self._name)
        return is_owner

    def take(self, instance_id, rate_per_s):
        """Take permission to send one request to a cold instance.

        Parameters
        ----------
        instance_id : str
            The instance.
        rate_per_s : float
            Requests per second that it tolerates from all hosts.

        Returns
        -------
        bool
            False when this host may not send now.
        """
        if not self.select_owned((instance_id,)):
            return False
        with self._lock:
            now = self._clock()
            sent = self._sent.setdefault(instance_id, deque())
            while sent and now - sent[0] >= 1.0:
                sent.popleft()
            if len(sent) + 1 > max(1.0, rate_per_s * COLD_RATE_FRACTION):
                return False
            sent.append(now)
            self._drop_idle(now)
            return True

    def _drop_idle(self, now):
        """Drop instances that got no request for a second; the lock is held."""
        idle = [key for key, sent in self._sent.items() if now - sent[-1] >= 1.0]
        for key in idle:
            del self._sent[key]
