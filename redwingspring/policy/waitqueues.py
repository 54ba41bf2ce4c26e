"""Queues of requests that wait for a target, one for each service.

Load pattern: in a burst many requests of one host wait concurrently. If each of them
probed targets, probes would grow with the square of the overload, and whichever
probed at the right moment would be served first. So only the head of the queue probes.
Requests that can still be answered in time come first; among these the order is by
priority, then by age.
"""

import threading
from collections import deque
from dataclasses import dataclass, field

from ..clock import read_clock

# Window over which the placement rate is measured, and its most samples. In a window
# shorter than the minimum a single placement would distort the rate.
RATE_WINDOW_S = 0.4
MIN_RATE_WINDOW_S = 0.03
MAX_RATE_SAMPLES = 256


@dataclass(frozen=True)
class QueueEntry:
    """Position of one request in a queue.

    Attributes
    ----------
    priority : int
        Priority of the request; 0 is the highest.
    received_at : float
        When the request arrived.
    number : int
        Sequence number, which breaks ties.
    late_at : float
        When the request can no longer be answered in time.
    at_head : threading.Event
        Set while the request is at the head of the queue.
    """

    priority: int
    received_at: float
    number: int
    late_at: float = float("inf")
    at_head: threading.Event = field(default_factory=threading.Event, compare=False)

    def sort_key(self, now):
        """Return the sort key of the entry; the smallest is the head of the queue.

        Parameters
        ----------
        now : float
            Current time.

        Returns
        -------
        tuple
            Late requests sort after all others.
        """
        return (now >= self.late_at, self.priority, self.received_at, self.number)


class WaitQueue:
    """Requests of one service that wait for a target.

    Parameters
    ----------
    clock : callable, default=read_clock
        Returns seconds.
    """

    def __init__(self, clock=read_clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._entries = []
        self._last_number = 0
        self._placed_at = deque(maxlen=MAX_RATE_SAMPLES)
        self._nonempty_since = clock()
        self._load_reported = threading.Event()

    def __len__(self):
        return len(self._entries)

    @property
    def placements_per_s(self):
        """Return the recent rate of placed requests, 0 if unknown.

        Load pattern: at the start of a burst the queue has just become non-empty.
        The time before that, in which no request waited, is left out of the rate,
        because it would make the queue look slow.
        """
        with self._lock:
            now = self._clock()
            since = max(self._nonempty_since, now - RATE_WINDOW_S)
            recent = [moment for moment in self._placed_at if moment >= since]
            return len(recent) / max(MIN_RATE_WINDOW_S, now - since)

    def count_ahead(self, entry):
        """Return how many requests are ahead of one in the queue.

        Parameters
        ----------
        entry : QueueEntry
            Entry of the request.

        Returns
        -------
        int
            0 for the head of the queue.
        """
        with self._lock:
            now = self._clock()
            own = entry.sort_key(now)
            return sum(other.sort_key(now) < own for other in self._entries)

    def enter(self, priority, received_at, late_at=float("inf")):
        """Add a request to the queue.

        Parameters
        ----------
        priority : int
            Priority of the request; 0 is the highest.
        received_at : float
            When the request arrived.
        late_at : float, default=inf
            When the request can no longer be answered in time.

        Returns
        -------
        QueueEntry
            To be passed to ``leave``.
        """
        with self._lock:
            if not self._entries:
                self._nonempty_since = self._clock()
            self._last_number += 1
            entry = QueueEntry(priority, received_at, self._last_number, late_at)
            self._entries.append(entry)
            self._signal_head()
            return entry

    def leave(self, entry, placed=False):
        """Remove a request from the queue.

        Parameters
        ----------
        entry : QueueEntry
            What ``enter`` returned.
        placed : bool, default=False
            Whether a target was found for the request.
        """
        with self._lock:
            self._entries.remove(entry)
            if placed:
                self._placed_at.append(self._clock())
            self._signal_head()

    def notify_load(self):
        """Wake the head of the queue after a target has reported its load."""
        self._load_reported.set()

    def wait_for_load(self, timeout_s):
        """Wait until a target reports its load.

        Parameters
        ----------
        timeout_s : float
            Maximum wait in seconds.

        Returns
        -------
        bool
            False if the wait timed out.
        """
        reported = self._load_reported.wait(timeout_s)
        self._load_reported.clear()
        return reported

    def _signal_head(self):
        """Set the event of the head and clear all others; the lock is held."""
        now = self._clock()
        head = min(self._entries, key=lambda e: e.sort_key(now), default=None)
        for entry in self._entries:
            if entry is head:
                entry.at_head.set()
            else:
                entry.at_head.clear()


class WaitQueues:
    """The wait queues of all services, created on first use."""

    def __init__(self):
        self._lock = threading.Lock()
        self._queues = {}

    def find(self, service):
        """Return the queue of a service.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        WaitQueue
            Always the same queue for the same service.
        """
        queue = self._queues.get(service)
        if queue is None:
            with self._lock:
                queue = self._queues.setdefault(service, WaitQueue())
        return queue
