"""Bounded log of the states of recent requests, by request id."""

import threading
import time
from collections import OrderedDict
from dataclasses import dataclass
from enum import StrEnum

from .verdict import Verdict

MAX_REQUESTS = 50_000
# Limits the work of one eviction. Ids of requests in progress are not evicted, so the
# log can exceed its capacity; the connection limit keeps the excess small.
MAX_EVICTION_STEPS = 64


class RequestState(StrEnum):
    """What this host knows about the requests with one id."""

    NOT_RUN = "not-run"
    RUNNING = "running"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"
    UNKNOWN = "unknown"

    def __str__(self):
        return self.value


# Of several requests with one id, the state with the highest precedence is kept, so
# that a later refusal never hides that an earlier request may have run.
_PRECEDENCE = {
    RequestState.NOT_RUN: 0,
    RequestState.RUNNING: 1,
    RequestState.MAY_HAVE_RUN: 2,
    RequestState.RAN: 3,
}


@dataclass(frozen=True)
class RequestEntry:
    """State of one request id.

    Attributes
    ----------
    state : RequestState
        State with the highest precedence of all requests with the id.
    running : int
        Number of requests with this id in progress.
    time : float
        Unix time of the last change, in seconds.
    """

    state: RequestState
    running: int
    time: float

    @property
    def may_have_run(self):
        """Tell whether a request with this id ran, runs or may have run."""
        return self.running > 0 or self.state is not RequestState.NOT_RUN


@dataclass(frozen=True)
class RequestLogStats:
    """Size of a request log and the period that it covers.

    Attributes
    ----------
    ids : int
        Number of ids in the log.
    capacity : int
        Maximum number of ids.
    complete_since : float
        Unix time in seconds; every id that arrived later is in the log.
    """

    ids: int
    capacity: int
    complete_since: float


class RequestLog:
    """Latest request ids of one host and their states.

    Parameters
    ----------
    capacity : int, default=MAX_REQUESTS
        Maximum number of ids.
    """

    def __init__(self, capacity=MAX_REQUESTS):
        self._capacity = capacity
        self._lock = threading.Lock()
        self._entries = OrderedDict()
        self._complete_since = time.time()

    def start(self, request_id, exclusive=False):
        """Record that a request is in progress.

        Parameters
        ----------
        request_id : str
            Id of the request.
        exclusive : bool, default=False
            Whether the request must not be sent if an earlier one with this id may
            have run.

        Returns
        -------
        bool
            False if the request must not be sent.
        """
        with self._lock:
            old = self._entries.get(request_id)
            if exclusive and old is not None and old.may_have_run:
                return False
            self._entries.pop(request_id, None)
            state = old.state if old else RequestState.NOT_RUN
            running = (old.running if old else 0) + 1
            self._entries[request_id] = RequestEntry(state, running, time.time())
            self._evict()
            return True

    def finish(self, request_id, verdict):
        """Record how a request ended.

        Parameters
        ----------
        request_id : str
            Id of the request.
        verdict : Verdict
            Whether the request may have run.
        """
        state = RequestState(Verdict(verdict).value)
        with self._lock:
            old = self._entries.get(request_id)
            if old is None:
                # The id is missing if more requests are in progress than the log holds.
                self._entries[request_id] = RequestEntry(state, 0, time.time())
                self._evict()
                return
            if _PRECEDENCE[old.state] > _PRECEDENCE[state]:
                state = old.state
            running = max(0, old.running - 1)
            self._entries[request_id] = RequestEntry(state, running, time.time())

    def _evict(self):
        """Evict the oldest ids, except those of requests in progress."""
        # After evicting the id of a request in progress, a second request with the same
        # id could be accepted.
        for _ in range(min(len(self._entries), MAX_EVICTION_STEPS)):
            if len(self._entries) <= self._capacity:
                return
            oldest = next(iter(self._entries))
            if self._entries[oldest].running:
                self._entries.move_to_end(oldest)
            else:
                evicted = self._entries.pop(oldest)
                self._complete_since = max(self._complete_since, evicted.time)

    def find(self, request_id):
        """Look up the state of a request id.

        Parameters
        ----------
        request_id : str
            The id to look up.

        Returns
        -------
        RequestState
            ``UNKNOWN`` if the id is not in the log. ``RUNNING`` while a request with
            the id is in progress and no state of higher precedence is known.
        """
        with self._lock:
            entry = self._entries.get(request_id)
        if entry is None:
            return RequestState.UNKNOWN
        if (
            entry.running
            and _PRECEDENCE[entry.state] < _PRECEDENCE[RequestState.RUNNING]
        ):
            return RequestState.RUNNING
        return entry.state

    def get_stats(self):
        """Return the size of the log and the period that it covers.

        Returns
        -------
        RequestLogStats
            Current values.
        """
        with self._lock:
            return RequestLogStats(
                len(self._entries), self._capacity, self._complete_since
            )
