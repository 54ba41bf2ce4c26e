"""Group membership as one host sees it, without input or output.

Implements the gossip-style failure detector of van Renesse, Minsky and Hayden (1998):
each host increments a heartbeat counter of its own and sends the newest counters that
it knows to a few other hosts several times a second. A host whose counter stops
increasing is considered dead.
"""

import math
import random
import threading
import time
from dataclasses import dataclass, replace
from enum import StrEnum

from .clock import read_clock

# Each round sends this many datagrams within the data centre, and one datagram to
# another data centre with this probability, because traffic between data centres
# costs more.
LOCAL_FANOUT = 3
REMOTE_PROBABILITY = 0.35
# A host is considered dead when its heartbeat counter has not increased for this long.
# Gossip takes longer to reach all hosts of a larger system, so the timeout grows by one
# step for each doubling beyond FAILURE_TIMEOUT_HOSTS. Directory responses may name a
# dead host for about six seconds.
FAILURE_TIMEOUT_S = 3.6
MAX_FAILURE_TIMEOUT_S = 5.0
FAILURE_TIMEOUT_HOSTS = 18
FAILURE_TIMEOUT_STEP_S = 0.6
# Dead hosts are removed from the table after this long.
CLEANUP_S = 30.0
# Members in one datagram: half are the most recently updated ones, which spreads
# changes quickly; the rest are chosen at random, so that none is omitted for long.
MAX_ENTRIES = 64
MAX_MEMBERS = 4096
# Link speed that the responses produced by one core fill.
LINK_MBIT_PER_CORE = 100.0
MAX_CAPACITY = 0xFFFF


class MemberState(StrEnum):
    """Lifecycle state of a host; tells whether it accepts requests."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


@dataclass(frozen=True)
class Member:
    """What is known of one run of a host process.

    Attributes
    ----------
    name : str
        Name of the host.
    address : str
        ``ip:port`` for callers.
    peer_address : str
        ``ip:port`` for other hosts.
    data_centre : str
        Data centre of the host.
    started_at : int
        Start time of the process in Unix milliseconds.
    beat : int
        Heartbeat counter, incremented by the host itself.
    state : MemberState
        Whether it accepts requests.
    capacity : int, default=100
        Load that the host can carry, in hundredths of a core.
    """

    name: str
    address: str
    peer_address: str
    data_centre: str
    started_at: int
    beat: int
    state: MemberState
    capacity: int = 100

    @property
    def recency_key(self):
        """Return a sort key that is greater for a newer report of the same host."""
        return (self.started_at, self.beat, self.state is MemberState.LEAVING)


@dataclass(frozen=True)
class MemberReport:
    """State of one member as reported by another host.

    Attributes
    ----------
    member : Member
        The member.
    age_s : float
        Seconds since the reporting host last saw the heartbeat increase. Without
        the age, a report of a dead host would look recent at every host it reaches.
    """

    member: Member
    age_s: float


class Members:
    """Membership table of this host, without input or output.

    Parameters
    ----------
    own : Member
        This host.
    clock : callable, default=read_clock
        Returns seconds.
    """

    def __init__(self, own, clock=read_clock):
        self._own = own
        self._clock = clock
        self._lock = threading.Lock()
        self._members = {}
        self._failure_timeout_s = FAILURE_TIMEOUT_S

    @property
    def own(self):
        """Return this host as it is reported to others."""
        return self._own

    def find(self, name):
        """Return what is known of a host.

        Parameters
        ----------
        name : str
            Name of the host.

        Returns
        -------
        Member or None
            None for a host that was never heard of and for this host.
        """
        known = self._members.get(name)
        return None if known is None else known[0]

    def set_state(self, state):
        """Set the state of this host.

        Parameters
        ----------
        state : MemberState
            The new state.
        """
        with self._lock:
            self._own = replace(self._own, state=state, beat=self._own.beat + 1)

    def advance(self):
        """Increment the heartbeat of this host and remove hosts that are long dead."""
        with self._lock:
            self._own = replace(self._own, beat=self._own.beat + 1)
            self._failure_timeout_s = compute_failure_timeout(len(self._members) + 1)
            cutoff = self._clock() - CLEANUP_S
            self._members = {
                name: known
                for name, known in self._members.items()
                if known[1] > cutoff
            }

    def merge(self, reports):
        """Merge the member reports of another host into the table.

        Parameters
        ----------
        reports : sequence of MemberReport
            The reports.

        Returns
        -------
        list of Member
            Hosts that were unknown or considered dead before.
        """
        found = []
        with self._lock:
            now = self._clock()
            for report in reports:
                if self._merge_one(report.member, now, now - report.age_s):
                    found.append(report.member)
        return found

    def _merge_one(self, member, now, heard_at):
        """Merge one report and tell whether the host was found; the lock is held."""
        if member.name == self._own.name or now - heard_at > self._failure_timeout_s:
            return False
        known = self._members.get(member.name)
        if known is None and len(self._members) >= MAX_MEMBERS:
            return False
        newly_alive = known is None or now - known[1] > self._failure_timeout_s
        if known is not None:
            # The wall clock may have stepped back before the host restarted, so a
            # later start does not always have a greater start time.
            restarted = newly_alive and member.started_at != known[0].started_at
            if not restarted and member.recency_key <= known[0].recency_key:
                return False
        self._members[member.name] = (member, heard_at)
        return newly_alive

    def list_alive(self):
        """Return the hosts that are considered alive, this one included.

        Returns
        -------
        list of Member
            Hosts in any state, also starting and leaving ones.
        """
        with self._lock:
            cutoff = self._clock() - self._failure_timeout_s
            return [
                self._own,
                *(m for m, heard_at in self._members.values() if heard_at >= cutoff),
            ]

    def list_not_leaving(self):
        """Return the live hosts that are not leaving.

        Returns
        -------
        list of Member
            This host is included unless it is leaving.
        """
        return [m for m in self.list_alive() if m.state is not MemberState.LEAVING]

    def list_serving(self):
        """Return the live hosts that accept requests.

        Returns
        -------
        list of Member
            This host is included if it accepts requests.
        """
        return [m for m in self.list_alive() if m.state is MemberState.SERVING]

    def list_serving_names(self):
        """Return the names of the live hosts that accept requests.

        Returns
        -------
        list of str
            This host is included if it accepts requests.
        """
        return [member.name for member in self.list_serving()]

    def choose_peers(self, rng=random):
        """Return the hosts to send the next datagrams to.

        Parameters
        ----------
        rng : random.Random, default=random
            Random number generator.

        Returns
        -------
        list of Member
            Hosts of this data centre and at most one of another.
        """
        others = [m for m in self.list_alive() if m.name != self._own.name]
        local = [m for m in others if m.data_centre == self._own.data_centre]
        remote = [m for m in others if m.data_centre != self._own.data_centre]
        chosen = rng.sample(local, min(LOCAL_FANOUT, len(local)))
        if remote and (not local or rng.random() < REMOTE_PROBABILITY):
            chosen.append(rng.choice(remote))
        return chosen

    def choose_reports(self, rng=random):
        """Return the reports to send in the next datagram.

        Parameters
        ----------
        rng : random.Random, default=random
            Selects the hosts to report when they do not all fit.

        Returns
        -------
        list of MemberReport
            This host comes first.
        """
        with self._lock:
            now = self._clock()
            cutoff = now - self._failure_timeout_s
            recent = [k for k in self._members.values() if k[1] >= cutoff]
            recent.sort(key=lambda known: known[1], reverse=True)
            limit = MAX_ENTRIES - 1
            chosen, others = recent[: limit // 2], recent[limit // 2 :]
            free = limit - len(chosen)
            chosen += rng.sample(others, min(free, len(others)))
            reports = [
                MemberReport(member, now - heard_at) for member, heard_at in chosen
            ]
            return [MemberReport(self._own, 0.0), *reports]


def compute_failure_timeout(count):
    """Return how long a heartbeat may stand still before its host counts as dead.

    Parameters
    ----------
    count : int
        Number of hosts.

    Returns
    -------
    float
        Seconds.
    """
    doublings = max(0.0, math.log2(count / FAILURE_TIMEOUT_HOSTS))
    return min(
        MAX_FAILURE_TIMEOUT_S, FAILURE_TIMEOUT_S + FAILURE_TIMEOUT_STEP_S * doublings
    )


def compute_capacity(cores, link_mbit):
    """Return the load that a host can carry.

    Parameters
    ----------
    cores : float
        Processor cores that the process may use.
    link_mbit : float
        Speed of its link in Mbit/s.

    Returns
    -------
    int
        Hundredths of a core; a slow link limits it like a lack of cores.
    """
    usable_cores = min(cores, link_mbit / LINK_MBIT_PER_CORE)
    return min(MAX_CAPACITY, max(1, round(usable_cores * 100)))


def build_member(name, address, peer_address, data_centre, capacity=100):
    """Return the member entry of a host process that starts now.

    Parameters
    ----------
    name : str
        Name of the host.
    address : str
        ``ip:port`` for callers.
    peer_address : str
        ``ip:port`` for other hosts.
    data_centre : str
        Data centre of the host.
    capacity : int, default=100
        Load that the host can carry, in hundredths of a core.

    Returns
    -------
    Member
        In the state ``STARTING``.
    """
    started_at = int(time.time() * 1000)
    state = MemberState.STARTING
    return Member(
        name, address, peer_address, data_centre, started_at, 1, state, capacity
    )
