"""Bounded memory of what became of recent requests."""

import threading
import time
from collections import OrderedDict
from dataclasses import dataclass
from enum import StrEnum

from .verdict import Verdict

MAX_REQUESTS = 50_000
# Bounds the work of one eviction; the connection limit bounds the requests in
# progress, so the excess over the capacity stays small.
MAX_SKIPPED = 64


class RequestState(StrEnum):
    """What this host knows of a request id."""

    NOT_RUN = "not-run"
    RUNNING = "running"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"
    UNKNOWN = "unknown"

    def __str__(self):
        return self.value


# Of several requests with one id the strongest statement is kept, so that a
# later refusal never hides that an earlier one may have run.
_STRENGTH = {
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
        Strongest statement about the id.
    running : int
        Requests with this id in progress.
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
    """How much a request log remembers.

    Attributes
    ----------
    ids : int
        Ids remembered now.
    capacity : int
        Most ids remembered.
    complete_since : float
        Unix time in seconds; every id that arrived later is remembered.
    """

    ids: int
    capacity: int
    complete_since: float


class RequestLog:
    """The latest request ids of one host.

    Parameters
    ----------
    capacity : int, default=MAX_REQUESTS
        How many ids are remembered.
    """

    def __init__(self, capacity=MAX_REQUESTS):
        self._capacity = capacity
        self._lock = threading.Lock()
        self._entries = OrderedDict()
        self._complete_since = time.time()

    def start(self, request_id, exclusive=False):
        """Note that a request is in progress.

        Parameters
        ----------
        request_id : str
            The request's id.
        exclusive : bool, default=False
            Whether an earlier request with this id stops the new one, unless
            the earlier one did not run.

        Returns
        -------
        bool
            False when the request must not be sent.
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
        """Note how a request ended.

        Parameters
        ----------
        request_id : str
            The request's id.
        verdict : Verdict
            Whether it may have run.
        """
        state = RequestState(Verdict(verdict).value)
        with self._lock:
            old = self._entries.get(request_id)
            if old is None:
                # More requests are in progress than ids are remembered.
                self._entries[request_id] = RequestEntry(state, 0, time.time())
                self._evict()
                return
            if _STRENGTH[old.state] > _STRENGTH[state]:
                state = old.state
            running = max(0, old.running - 1)
            self._entries[request_id] = RequestEntry(state, running, time.time())

    def _evict(self):
        """Drop the oldest ids, but none of a request in progress."""
        # An id in progress that was dropped could be accepted a second time.
        for _ in range(min(len(self._entries), MAX_SKIPPED)):
            if len(self._entries) <= self._capacity:
                return
            oldest = next(iter(self._entries))
            if self._entries[oldest].running:
                self._entries.move_to_end(oldest)
            else:
                evicted = self._entries.pop(oldest)
                self._complete_since = max(self._complete_since, evicted.time)

    def find(self, request_id):
        """Return what is known of a request id.

        Parameters
        ----------
        request_id : str
            The id to look up.

        Returns
        -------
        RequestState
            ``UNKNOWN`` when the id is not remembered. ``RUNNING`` while a
            request with the id is in progress and none has a stronger state.
        """
        with self._lock:
            entry = self._entries.get(request_id)
        if entry is None:
            return RequestState.UNKNOWN
        if entry.running and _STRENGTH[entry.state] < _STRENGTH[RequestState.RUNNING]:
            return RequestState.RUNNING
        return entry.state

    def get_stats(self):
        """Return how much is remembered.

        Returns
        -------
        RequestLogStats
            Size and completeness of the log.
        """
        with self._lock:
            return RequestLogStats(
                len(self._entries), self._capacity, self._complete_since
            )
