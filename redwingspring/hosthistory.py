"""History of host lists, used to wait for grants that only former grantors know."""

import time
from collections import deque

from .quorum import count_quorum, rank_grantors

# A newly published host list is in force at every host within this time.
MAX_PROPAGATION_S = 4.0
# Enough for about one change per second during the longest probe interval in common
# use.
MAX_FORMER_LISTS = 256


class HostListHistory:
    """Records the host lists that were in force.

    Parameters
    ----------
    name : str
        Name of this host.
    membership : Membership
        Provides the list in force.
    clock : callable, default=time.monotonic
        Monotonic clock in seconds.
    """

    def __init__(self, name, membership, clock=time.monotonic):
        self._name = name
        self._membership = membership
        self._clock = clock
        self._known_since = clock()
        self._hosts = ()
        self._names = frozenset()
        self._former_lists = deque(maxlen=MAX_FORMER_LISTS)

    def find_safe_time(self, address, grant_duration):
        """Return the time from which a quorum knows of every grant in effect.

        Parameters
        ----------
        address : str
            Address of the target.
        grant_duration : float
            Seconds that a grant lasts.

        Returns
        -------
        float
            Monotonic time in seconds. Until then there may be grants that are known
            only to grantors under a former list.
        """
        self._record_list()
        # Lists that were in force before the first recorded one are unknown.
        safe_time = self._known_since + grant_duration + MAX_PROPAGATION_S
        current_grantors = self._find_grantors(self._names, address)
        for ended, names in self._former_lists:
            end = ended + grant_duration + MAX_PROPAGATION_S
            if end > safe_time and not quorums_intersect(
                current_grantors, self._find_grantors(names, address)
            ):
                safe_time = end
        return safe_time

    def _record_list(self):
        hosts = self._membership.hosts
        if hosts is self._hosts:
            return
        if self._names:
            self._former_lists.append((self._clock(), self._names))
        else:
            self._known_since = self._clock()
        self._hosts = hosts
        self._names = frozenset(host.name for host in hosts)

    def _find_grantors(self, names, address):
        return rank_grantors(names | {self._name}, address)


def quorums_intersect(first, second):
    """Return whether each quorum of one group shares a host with each of the other.

    Parameters
    ----------
    first, second : collection of str
        Names of the grantors in each group.

    Returns
    -------
    bool
        True for equal groups, and if the quorums are too large to be disjoint even
        when one more host, which is not listed, counts itself as a grantor.
    """
    union = set(first).union(second)
    if len(union) == len(first) == len(second):
        return True
    return count_quorum(len(first)) + count_quorum(len(second)) > len(union) + 1
