"""Number of the hosts that share the rate limits, remembered through partitions."""

import threading
from collections import Counter
from dataclasses import dataclass

# A host that is lost without notice is counted for this long. It may serve behind a
# network partition, where it uses its share of the limits.
REMEMBERED_S = 300.0
# The share of a host is not used for this long after its start: its previous process
# may have ceded it, and not all other hosts are known. At least usagecaps.CESSION_S.
SETTLE_S = 2.0
# The share of a host that knows no other one is not used for this long.
ALONE_S = 10.0
# Both times count only while this process runs: after a suspension it has yet to read
# what the others sent. Of the time between two updates, no more than this counts.
MAX_STEP_S = 0.5
MAX_HOSTS = 4096
# The number of hosts in a message has 16 bits.
MAX_COUNT = 0xFFFF
# Interval of the updates of the times at which hosts were seen, while the live hosts
# stay the same.
REFRESH_S = 5.0


@dataclass(frozen=True)
class HostPlace:
    """Place of this host among those that share the limits.

    Attributes
    ----------
    index : int
        Position in the order of names.
    count : int
        Number of hosts.
    """

    index: int
    count: int


class UsageHosts:
    """The hosts that share the rate limits.

    Parameters
    ----------
    name : str
        Name of this host.
    data_centre : str
        Its data centre.
    data_centres : int
        Number of data centres.
    seeds : int
        Number of other hosts that are expected at least.
    now : float
        Clock in seconds.
    """

    def __init__(self, name, data_centre, data_centres, seeds, now):
        self._name = name
        self._data_centre = data_centre
        self._data_centres = data_centres
        self._seeds = seeds
        self._started_at = now
        self._running_s = 0.0
        self._updated_at = now
        self._lock = threading.Lock()
        # Data centre of each host, and the time at which it was last seen.
        self._hosts = {}
        self._changed_at = now
        self._place = None
        self._latest = None
        self._refreshed_at = now

    def update(self, present, leaving, now):
        """Take over the hosts that are alive.

        Parameters
        ----------
        present : mapping of str to str
            Data centre of each live host that is not leaving.
        leaving : iterable of str
            Hosts that announced that they are leaving.
        now : float
            Clock in seconds.
        """
        latest = (present, frozenset(leaving))
        with self._lock:
            self._running_s += min(MAX_STEP_S, now - self._updated_at)
            self._updated_at = now
            is_refresh_due = now - self._refreshed_at >= REFRESH_S
            if latest != self._latest or is_refresh_due:
                self._latest, self._refreshed_at = latest, now
                self._update_hosts(present, leaving, now)
                self._place = self._compute_place(now)
            elif self._place is None:
                self._place = self._compute_place(now)

    def _update_hosts(self, present, leaving, now):
        """Add the live hosts, and drop those that leave or were lost long ago."""
        previous = set(self._hosts)
        for name, data_centre in present.items():
            if name in self._hosts or len(self._hosts) < MAX_HOSTS:
                self._hosts[name] = (data_centre, now)
        lost = [
            name
            for name, (_, seen_at) in self._hosts.items()
            if now - seen_at > REMEMBERED_S
        ]
        for name in (*leaving, *lost):
            self._hosts.pop(name, None)
        self._hosts[self._name] = (self._data_centre, now)
        if set(self._hosts) != previous:
            self._changed_at = now

    def find_place(self):
        """Return the place of this host.

        Returns
        -------
        HostPlace or None
            None while the share of this host must not be used.
        """
        return self._place

    def find_steady_place(self, duration_s, now):
        """Return the place of this host if the hosts stayed the same.

        Parameters
        ----------
        duration_s : float
            For this long, in seconds.
        now : float
            Clock in seconds.

        Returns
        -------
        HostPlace or None
            None if hosts joined or left meanwhile.
        """
        return None if now - self._changed_at < duration_s else self._place

    def _compute_place(self, now):
        if not self._is_settled():
            return None
        names = sorted(self._hosts)
        count = max(len(names), self._estimate_count(now))
        return HostPlace(names.index(self._name), count)

    def _is_settled(self):
        expects_others = self._seeds or self._data_centres > 1
        if expects_others and len(self._hosts) == 1:
            return self._running_s >= ALONE_S
        return self._running_s >= SETTLE_S

    def _estimate_count(self, now):
        """Return how many hosts there are at least, known or not.

        A host that starts behind a partition knows only some of the hosts. It expects
        its seeds, and as many hosts in an unknown data centre as in a known one.
        """
        if now - self._started_at > REMEMBERED_S:
            return 1
        sizes = Counter(data_centre for data_centre, _ in self._hosts.values())
        mean = len(self._hosts) / len(sizes)
        expected = round(mean * max(self._data_centres, len(sizes)))
        return min(MAX_COUNT, max(1 + self._seeds, expected))
