"""Recent host lists: whether grantors can know what former grantors granted."""

import time
from collections import deque

from .quorum import count_quorum, rank_grantors

# A new value is in force at every host within this time.
SPREAD_S = 4.0
# About one change a second over the longest probe interval in common use.
MAX_LISTS = 256


class HostListHistory:
    """Remembers which host lists were in force.

    Parameters
    ----------
    name : str
        Name of this host.
    membership : Membership
        Source of the list in force.
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
        self._former = deque(maxlen=MAX_LISTS)

    def find_safe_time(self, address, lasts):
        """Return from when on a quorum overlaps with all earlier ones that count.

        Parameters
        ----------
        address : str
            Address of the target.
        lasts : float
            Seconds that a grant lasts.

        Returns
        -------
        float
            Monotonic time. Before it, grants may exist that only grantors under
            a former list know of.
        """
        self._note_list()
        # A host does not know the lists from before the first one that it noted.
        safe = self._known_since + lasts + SPREAD_S
        present = self._find_grantors(self._names, address)
        for ended, names in self._former:
            end = ended + lasts + SPREAD_S
            if end > safe and not quorums_intersect(
                present, self._find_grantors(names, address)
            ):
                safe = end
        return safe

    def _note_list(self):
        hosts = self._membership.hosts
        if hosts is self._hosts:
            return
        if self._names:
            self._former.append((self._clock(), self._names))
        else:
            self._known_since = self._clock()
        self._hosts = hosts
        self._names = frozenset(host.name for host in hosts)

    def _find_grantors(self, names, address):
        return rank_grantors(names | {self._name}, address)


def quorums_intersect(first, second):
    """Tell whether quorums of two groups of grantors always share a host.

    Parameters
    ----------
    first, second : collection of str
        Names of the grantors.

    Returns
    -------
    bool
        True for equal groups, and when the quorums are too large to be disjoint
        even if another host, which is not listed, counts itself as a grantor.
    """
    union = set(first).union(second)
    if len(union) == len(first) == len(second):
        return True
    return count_quorum(len(first)) + count_quorum(len(second)) > len(union) + 1
