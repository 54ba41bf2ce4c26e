"""Timeouts of callers, and how long a returning caller has waited already.

Load pattern: in a burst, callers that were rejected come back with less time than
they began with. Their answers are late whatever is done, and would take the places
of requests that can still be answered in time.
"""

import threading
from collections import deque

from .mappings import drop_oldest
from .routes import MAX_ROUTES

# Requests of a route from which its usual timeout is taken.
TIMEOUT_SAMPLES = 200
# Part of them that may have more time, so that a few patient callers do not make
# all others look late.
PATIENT_PART = 0.03
# Requests after which the usual timeout is computed again.
REFRESH_EVERY = 20


class RouteTimeout:
    """Usual timeout of the callers of one route."""

    def __init__(self):
        self._recent = deque(maxlen=TIMEOUT_SAMPLES)
        self._until_refresh = 0
        self._usual_s = 0.0

    def note(self, left_s):
        """Take the time that the caller of a request has left.

        Parameters
        ----------
        left_s : float
            Seconds.

        Returns
        -------
        float
            Seconds that the caller has probably waited already.
        """
        self._recent.append(left_s)
        self._until_refresh -= 1
        if self._until_refresh < 0:
            self._until_refresh = REFRESH_EVERY
            ranked = sorted(self._recent, reverse=True)
            self._usual_s = ranked[int(PATIENT_PART * len(ranked))]
        return max(0.0, self._usual_s - left_s)


class CallerTimeouts:
    """Usual timeouts of the callers of all routes."""

    def __init__(self):
        self._lock = threading.Lock()
        self._routes = {}

    def note(self, route, left_s):
        """Take the time that the caller of a request has left.

        Parameters
        ----------
        route : Route
            The route of the request.
        left_s : float or None
            Seconds; None when the caller does not tell.

        Returns
        -------
        float
            Seconds that the caller has probably waited before this request; 0
            when nothing is known.
        """
        if left_s is None:
            return 0.0
        with self._lock:
            timeout = self._routes.get(route.prefix)
            if timeout is None:
                timeout = self._routes[route.prefix] = RouteTimeout()
                drop_oldest(self._routes, MAX_ROUTES)
            return timeout.note(left_s)
