"""Members of the system as one host knows them; no input or output.

Each host counts up a beat of its own and tells others, a few times a second, the
newest beats that it knows. A host whose beat no longer grows is taken as dead.
Source: van Renesse, Minsky and Hayden, 1998.
"""

import math
import random
import threading
import time
from dataclasses import dataclass, replace
from enum import StrEnum

from .clock import read_clock

# Datagrams of each round within the data centre. To other data centres one goes
# out with the given probability, since bytes between them cost more.
LOCAL_FANOUT = 3
REMOTE_PROBABILITY = 0.35
# A host whose beat has not grown for this long counts as dead. News takes longer to
# reach all hosts the more there are, so the time grows with each doubling beyond a
# number of hosts. Directory answers may name a dead host for about six seconds.
FAILURE_TIMEOUT_S = 3.6
MAX_FAILURE_TIMEOUT_S = 5.0
FAILURE_TIMEOUT_HOSTS = 18
FAILURE_TIMEOUT_STEP_S = 0.6
FORGET_S = 30.0
# Members in one datagram: half of them those heard most recently, which carry
# news on, the others at random, so that none is left out for long.
MAX_ENTRIES = 64
MAX_MEMBERS = 4096
# A link this fast goes with one core: it carries what a core answers.
LINK_MBIT_PER_CORE = 100.0
MAX_CAPACITY = 0xFFFF


class MemberState(StrEnum):
    """Whether a host takes requests."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


@dataclass(frozen=True)
class Member:
    """One start of a host, as far as it is known.

    Attributes
    ----------
    name : str
        Name of the host.
    address : str
        ``ip:port`` for callers.
    peer_address : str
        ``ip:port`` for other hosts.
    data_centre : str
        Where it is.
    started_at : int
        Unix milliseconds of its start.
    beat : int
        Counted up by the host.
    state : MemberState
        Whether it takes requests.
    capacity : int, default=100
        What the host bears, in hundredths of a core.
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
        """Sort key by which a newer report of the same host is greater."""
        return (self.started_at, self.beat, self.state is MemberState.LEAVING)


@dataclass(frozen=True)
class MemberReport:
    """What one host tells another of a member.

    Attributes
    ----------
    member : Member
        The member.
    age_s : float
        Seconds since the beat was fresh, as far as the teller knows. Without it
        the news of a dead host would look fresh at every host that it reaches.
    """

    member: Member
    age_s: float


class Members:
    """What this host knows of all hosts; no input or output.

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
        self._silent_s = FAILURE_TIMEOUT_S

    @property
    def own(self):
        """Return the host itself, as it is told to others."""
        return self._own

    def set_state(self, state):
        """Set whether this host takes requests.

        Parameters
        ----------
        state : MemberState
            The state.
        """
        with self._lock:
            self._own = replace(self._own, state=state, beat=self._own.beat + 1)

    def advance(self):
        """Count up the beat of this host and forget hosts long dead."""
        with self._lock:
            self._own = replace(self._own, beat=self._own.beat + 1)
            self._silent_s = compute_failure_timeout(len(self._members) + 1)
            oldest = self._clock() - FORGET_S
            self._members = {
                name: known
                for name, known in self._members.items()
                if known[1] > oldest
            }

    def merge(self, sightings):
        """Take what another host reported.

        Parameters
        ----------
        sightings : sequence of MemberReport
            The report.

        Returns
        -------
        list of Member
            Hosts that were not known as alive before.
        """
        found = []
        with self._lock:
            now = self._clock()
            for sighting in sightings:
                if self._merge_one(sighting.member, now, now - sighting.age_s):
                    found.append(sighting.member)
        return found

    def _merge_one(self, member, now, heard):
        """Take one report; return whether the host is new; the lock is held."""
        if member.name == self._own.name or now - heard > self._silent_s:
            return False
        known = self._members.get(member.name)
        if known is None and len(self._members) >= MAX_MEMBERS:
            return False
        silent = known is None or now - known[1] > self._silent_s
        if known is not None:
            # The time of day may have stepped back before the host started
            # again, so a later start is not always a greater one.
            restarted = silent and member.started_at != known[0].started_at
            if not restarted and member.recency_key <= known[0].recency_key:
                return False
        self._members[member.name] = (member, heard)
        return silent

    def list_alive(self):
        """Return the hosts that are heard, this one included.

        Returns
        -------
        list of Member
            Leaving and starting hosts included.
        """
        with self._lock:
            oldest = self._clock() - self._silent_s
            return [
                self._own,
                *(m for m, heard in self._members.values() if heard >= oldest),
            ]

    def list_not_leaving(self):
        """Return the hosts that are heard and do not leave.

        Returns
        -------
        list of Member
            This one included unless it leaves.
        """
        return [m for m in self.list_alive() if m.state is not MemberState.LEAVING]

    def list_serving(self):
        """Return the hosts that take requests.

        Returns
        -------
        list of Member
            This one included if it does.
        """
        return [m for m in self.list_alive() if m.state is MemberState.SERVING]

    def list_serving_names(self):
        """Return the names of the hosts that take requests.

        Returns
        -------
        list of str
            This one included if it does.
        """
        return [member.name for member in self.list_serving()]

    def choose_peers(self, rng=random):
        """Return the hosts that the next datagrams go to.

        Parameters
        ----------
        rng : random.Random, default=random
            Source of the choice.

        Returns
        -------
        list of Member
            Mostly hosts of this data centre.
        """
        others = [m for m in self.list_alive() if m.name != self._own.name]
        near = [m for m in others if m.data_centre == self._own.data_centre]
        far = [m for m in others if m.data_centre != self._own.data_centre]
        chosen = rng.sample(near, min(LOCAL_FANOUT, len(near)))
        if far and (not near or rng.random() < REMOTE_PROBABILITY):
            chosen.append(rng.choice(far))
        return chosen

    def choose_reports(self, rng=random):
        """Return what the next datagram tells.

        Parameters
        ----------
        rng : random.Random, default=random
            Source of the choice where there are many hosts.

        Returns
        -------
        list of MemberReport
            This host first.
        """
        with self._lock:
            now = self._clock()
            oldest = now - self._silent_s
            recent = [k for k in self._members.values() if k[1] >= oldest]
            recent.sort(key=lambda known: known[1], reverse=True)
            most = MAX_ENTRIES - 1
            chosen, others = recent[: most // 2], recent[most // 2 :]
            left = most - len(chosen)
            chosen += rng.sample(others, min(left, len(others)))
            told = [MemberReport(member, now - heard) for member, heard in chosen]
            return [MemberReport(self._own, 0.0), *told]


def compute_failure_timeout(count):
    """Return how long a host may be silent until it counts as dead.

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
    """Return what a host bears.

    Parameters
    ----------
    cores : float
        Processor cores that the process may use.
    link_mbit : float
        Speed of its link in Mbit/s.

    Returns
    -------
    int
        Hundredths of a core; a slow link counts like a slow processor.
    """
    bears = min(cores, link_mbit / LINK_MBIT_PER_CORE)
    return min(MAX_CAPACITY, max(1, round(bears * 100)))


def build_member(name, address, peer_address, data_centre, capacity=100):
    """Return this start of a host.

    Parameters
    ----------
    name : str
        Name of the host.
    address : str
        ``ip:port`` for callers.
    peer_address : str
        ``ip:port`` for other hosts.
    data_centre : str
        Where it is.
    capacity : int, default=100
        What it bears, in hundredths of a core.

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
