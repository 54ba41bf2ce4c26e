"""Lines of requests that wait for a place, one for each service.

Load pattern: in a burst many requests of one host wait at once. If each of them
asked targets for their load, probes would grow with the square of the overload,
and whoever asks at the right moment would win. Only the first in line asks; the
most urgent requests stand first, among equals the oldest.
"""

import threading
from collections import deque
from dataclasses import dataclass, field

from .clock import read_clock

# Span over which the rate of found places is taken, and its most samples.
RATE_S = 0.4
RATE_SAMPLES = 256


@dataclass(order=True)
class Ticket:
    """Place of one request in a line.

    Attributes
    ----------
    priority : int
        Rank of the request; 0 is the highest.
    received : float
        When it arrived.
    number : int
        Tells equal ones apart.
    """

    priority: int
    received: float
    number: int
    first: threading.Event = field(default_factory=threading.Event, compare=False)


class WaitingLine:
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

    def __len__(self):
        return len(self._tickets)

    @property
    def places_per_s(self):
        """Return the rate at which requests found places lately, 0 if unknown."""
        with self._lock:
            now = self._clock()
            recent = [moment for moment in self._placed if now - moment < RATE_S]
            return len(recent) / RATE_S

    def count_ahead(self, ticket):
        """Return how many requests stand before one.

        Parameters
        ----------
        ticket : Ticket
            Its place.

        Returns
        -------
        int
            0 for the first in line.
        """
        with self._lock:
            return sum(other < ticket for other in self._tickets)

    def enter(self, priority, received):
        """Join the line.

        Parameters
        ----------
        priority : int
            Rank of the request; 0 is the highest.
        received : float
            When it arrived.

        Returns
        -------
        Ticket
            To be given to ``leave``.
        """
        with self._lock:
            self._number += 1
            ticket = Ticket(priority, received, self._number)
            self._tickets.append(ticket)
            self._mark_first()
            return ticket

    def leave(self, ticket, placed=False):
        """Leave the line.

        Parameters
        ----------
        ticket : Ticket
            What ``enter`` returned.
        placed : bool, default=False
            Whether the request has found a place.
        """
        with self._lock:
            self._tickets.remove(ticket)
            if placed:
                self._placed.append(self._clock())
            self._mark_first()

    def _mark_first(self):
        """Let the first in line go on, and nobody else; the lock is held."""
        first = min(self._tickets, default=None)
        for ticket in self._tickets:
            if ticket is first:
                ticket.first.set()
            else:
                ticket.first.clear()


class WaitingLines:
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
        WaitingLine
            The same line for the same service.
        """
        line = self._lines.get(service)
        if line is None:
            with self._lock:
                line = self._lines.setdefault(service, WaitingLine())
        return line
