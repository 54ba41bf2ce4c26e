"""Lines of requests that wait for a place, one for each service.

Load pattern: in a burst many requests of one host wait at once. If each of them
asked targets for their load, probes would grow with the square of the overload,
and whoever asks at the right moment would win. Only the first in line asks.
Requests that can be answered in time stand first, among them the most urgent, among
equals the oldest.
"""

import threading
from collections import deque
from dataclasses import dataclass, field

from .clock import read_clock

# Span over which the rate of found places is taken, and its most samples. In less
# than the least span a single place says little.
RATE_S = 0.4
LEAST_RATE_S = 0.03
RATE_SAMPLES = 256


@dataclass(frozen=True)
class QueueEntry:
    """Place of one request in a line.

    Attributes
    ----------
    priority : int
        Rank of the request; 0 is the highest.
    received : float
        When it arrived.
    number : int
        Tells equal ones apart.
    late_at : float
        When it can no longer be answered in time.
    first : threading.Event
        Set while it is the first in line.
    """

    priority: int
    received: float
    number: int
    late_at: float = float("inf")
    first: threading.Event = field(default_factory=threading.Event, compare=False)

    def rank(self, now):
        """Return the sort key of the place; the smallest comes first.

        Parameters
        ----------
        now : float
            Present time.

        Returns
        -------
        tuple
            Late requests come after all others.
        """
        return (now >= self.late_at, self.priority, self.received, self.number)


class WaitQueue:
    """Requests of one service that wait for a place.

    Parameters
    ----------
    clock : callable, default=read_clock
        Returns seconds.
    """

    def __init__(self, clock=read_clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._tickets = []
        self._number = 0
        self._placed = deque(maxlen=RATE_SAMPLES)
        self._formed_at = clock()
        self._load_told = threading.Event()

    def __len__(self):
        return len(self._tickets)

    @property
    def placements_per_s(self):
        """Return the rate at which requests found places lately, 0 if unknown.

        Load pattern: at the start of a burst the line has just formed. The time
        before, in which nobody waited, says nothing of how fast it moves.
        """
        with self._lock:
            now = self._clock()
            since = max(self._formed_at, now - RATE_S)
            recent = [moment for moment in self._placed if moment >= since]
            return len(recent) / max(LEAST_RATE_S, now - since)

    def count_ahead(self, ticket):
        """Return how many requests stand before one.

        Parameters
        ----------
        ticket : QueueEntry
            Its place.

        Returns
        -------
        int
            0 for the first in line.
        """
        with self._lock:
            now = self._clock()
            own = ticket.rank(now)
            return sum(other.rank(now) < own for other in self._tickets)

    def enter(self, priority, received, late_at=float("inf")):
        """Join the line.

        Parameters
        ----------
        priority : int
            Rank of the request; 0 is the highest.
        received : float
            When it arrived.
        late_at : float, default=inf
            When it can no longer be answered in time.

        Returns
        -------
        QueueEntry
            To be given to ``leave``.
        """
        with self._lock:
            if not self._tickets:
                self._formed_at = self._clock()
            self._number += 1
            ticket = QueueEntry(priority, received, self._number, late_at)
            self._tickets.append(ticket)
            self._mark_first()
            return ticket

    def leave(self, ticket, placed=False):
        """Leave the line.

        Parameters
        ----------
        ticket : QueueEntry
            What ``enter`` returned.
        placed : bool, default=False
            Whether the request has found a place.
        """
        with self._lock:
            self._tickets.remove(ticket)
            if placed:
                self._placed.append(self._clock())
            self._mark_first()

    def notify_load(self):
        """Let the first in line look at a load that a target has just told."""
        self._load_told.set()

    def wait_for_load(self, timeout_s):
        """Wait until a target tells its load.

        Parameters
        ----------
        timeout_s : float
            Longest wait in seconds.

        Returns
        -------
        bool
            False when none did.
        """
        told = self._load_told.wait(timeout_s)
        self._load_told.clear()
        return told

    def _mark_first(self):
        """Let the first in line go on, and nobody else; the lock is held."""
        now = self._clock()
        first = min(self._tickets, key=lambda t: t.rank(now), default=None)
        for ticket in self._tickets:
            if ticket is first:
                ticket.first.set()
            else:
                ticket.first.clear()


class WaitQueues:
    """The lines of all services, made on first use."""

    def __init__(self):
        self._lock = threading.Lock()
        self._lines = {}

    def find(self, service):
        """Return the line of a service.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        WaitQueue
            The same line for the same service.
        """
        line = self._lines.get(service)
        if line is None:
            with self._lock:
                line = self._lines.setdefault(service, WaitQueue())
        return line
