"""A host's share of limits that are summed over all hosts."""

import threading
from collections import deque

from .clock import read_clock
from .rendezvous import rank_hosts

# Part of a summed limit that is dealt out; the rest covers hosts whose views of
# the membership differ for a while.
DEALT_PART = 0.6
# Part of the ratio of extra arrivals that is used; each host counts its own
# requests, so views of the membership do not matter.
RATIO_PART = 0.9
# Each host sends to the cold targets that rendezvous hashing gives it, at most
# at this part of the rate that one target tolerates.
COLD_RATE_PART = 0.8
# Owners of more instances than this are forgotten, those of instances gone included.
MAX_OWNERS = 4096
# The fewest hosts over this time count, so that hosts that are cut off from each
# other do not each take the shares of the others.
HOST_COUNT_MEMORY_S = 30.0


# The bound on probes is one over a long time, so a burst may use what calm seconds
# left, and only hosts that do not know each other add to the sum.
PROBE_PART = 0.75
PROBE_BURST_S = 8.0


class HostCount:
    """Number of hosts that share a limit: the most that were known recently.

    Parameters
    ----------
    clock : callable, default=read_clock
        Returns seconds.
    """

    def __init__(self, clock=read_clock):
        self._clock = clock
        self._seen = deque()
        self._lock = threading.Lock()

    def record_count(self, count):
        """Take the number of hosts known now.

        Parameters
        ----------
        count : int
            This host included.
        """
        now = self._clock()
        with self._lock:
            while self._seen and self._seen[-1][1] <= count:
                self._seen.pop()
            self._seen.append((now, count))
            while now - self._seen[0][0] > HOST_COUNT_MEMORY_S:
                self._seen.popleft()

    @property
    def value(self):
        """The number to divide by, at least 1."""
        with self._lock:
            return max([1, *(count for _, count in self._seen)])


class RetryShare:
    """Share of one host in the arrivals beyond the first of each request.

    Parameters
    ----------
    ratio : float
        Extra arrivals for each request, over all hosts.
    slack : float
        Extra arrivals in each window beside those, over all hosts.
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
        self._extras = {}

    def record_request(self, service):
        """Count a request of a caller.

        Parameters
        ----------
        service : str
            The service that should answer it.
        """
        with self._lock:
            self._requests.setdefault(service, deque()).append(self._clock())

    def take(self, service, part=1.0):
        """Take one extra arrival from the share.

        Parameters
        ----------
        service : str
            The service that gets it.
        part : float, default=1.0
            Part of the share that may be used up for this purpose.

        Returns
        -------
        bool
            False when the share is used up.
        """
        with self._lock:
            now = self._clock()
            requests = self._trim(self._requests, service, now)
            extras = self._trim(self._extras, service, now)
            # Requests are counted here and there is one host for each, so the
            # ratio needs no division; the slack is dealt out evenly.
            slack = DEALT_PART * self._slack / self._hosts.value
            allowed = RATIO_PART * self._ratio * requests + slack
            if extras + 1 > allowed * part:
                return False
            self._extras[service].append(now)
            return True

    def _trim(self, times, service, now):
        """Return how many times lie within the window; drop the others."""
        recent = times.setdefault(service, deque())
        while recent and now - recent[0] > self._window_s:
            recent.popleft()
        return len(recent)


class ProbeShare:
    """Share of one host in the probes that targets may get.

    Parameters
    ----------
    per_target_s : float
        Probes a second that each target may get from all hosts, on average.
    hosts : HostCount
        Number of hosts that share it.
    clock : callable, default=read_clock
        Returns seconds.
    """

    def __init__(self, per_target_s, hosts, clock=read_clock):
        self._per_target_s = per_target_s
        self._hosts = hosts
        self._clock = clock
        self._lock = threading.Lock()
        self._tokens = {}

    def take(self, service, targets, wanted):
        """Take the right to send some probes.

        Parameters
        ----------
        service : str
            The service whose targets are asked.
        targets : int
            Number of its targets.
        wanted : int
            Probes that are wanted.

        Returns
        -------
        int
            Probes that may be sent now.
        """
        rate = PROBE_PART * self._per_target_s * targets / self._hosts.value
        most = max(wanted, rate * PROBE_BURST_S)
        with self._lock:
            now = self._clock()
            tokens, filled_at = self._tokens.get(service, (most, now))
            tokens = min(most, tokens + (now - filled_at) * rate)
            granted = min(wanted, int(tokens))
            self._tokens[service] = (tokens - granted, now)
            return granted


class ColdShare:
    """Share of one host in the requests that cold targets tolerate.

    Each cold target belongs to one host of those that are known, so that the
    sum over hosts stays below its rate, also while two hosts disagree.

    Parameters
    ----------
    name : str
        Name of this host.
    list_hosts : callable
        Returns the names of the hosts that serve, this one included.
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
        self._owned = {}

    def select_owned(self, instance_ids):
        """Return the cold instances that belong to this host.

        Load pattern: when a data centre returns, all its targets are cold at once,
        and every request looks for a place among them. Owners change only with the
        hosts, so they are worked out once for a set of hosts.

        Parameters
        ----------
        instance_ids : sequence of str
            Cold instances.

        Returns
        -------
        set of str
            Those that only this host sends to while they are cold.
        """
        if not instance_ids:
            return set()
        hosts = tuple(self._list_hosts())
        with self._lock:
            if hosts != self._hosts or len(self._owned) > MAX_OWNERS:
                self._hosts, self._owned = hosts, {}
            return {name for name in instance_ids if self._is_own(name)}

    def _is_own(self, instance_id):
        """Tell whether an instance belongs to this host; the lock is held."""
        own = self._owned.get(instance_id)
        if own is None:
            ranked = rank_hosts(self._hosts, instance_id)
            own = self._owned[instance_id] = not ranked or ranked[0] == self._name
        return own

    def take(self, instance_id, rate_per_s):
        """Take the right to send one request to a cold instance.

        Parameters
        ----------
        instance_id : str
            The instance.
        rate_per_s : float
            Requests a second that it tolerates from all hosts.

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
            if len(sent) + 1 > max(1.0, rate_per_s * COLD_RATE_PART):
                return False
            sent.append(now)
            self._forget(now)
            return True

    def _forget(self, now):
        """Drop instances that got nothing for a second; the lock is held."""
        idle = [key for key, sent in self._sent.items() if now - sent[-1] >= 1.0]
        for key in idle:
            del self._sent[key]
