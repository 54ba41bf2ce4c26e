"""Typical timeouts of callers, to estimate how long a retrying caller has waited.

In a load burst, rejected callers retry with less time left than they had at first.
Responses to such retries come too late in any case, and processing them would delay
requests that can still be answered in time.
"""

import threading
from collections import deque

from ..mappings import drop_oldest
from ..routes import MAX_ROUTES

# Latest requests of a route from which its typical timeout is computed.
TIMEOUT_SAMPLES = 200
# Share of them that may have a longer timeout, so that a few callers with long
# timeouts do not make all others look like retries.
LONG_TIMEOUT_SHARE = 0.03
# Requests after which the typical timeout is computed again.
REFRESH_REQUESTS = 20


class RouteTimeout:
    """Typical timeout of the callers of one route."""

    def __init__(self):
        self._recent_s = deque(maxlen=TIMEOUT_SAMPLES)
        self._requests_until_refresh = 0
        self._typical_timeout_s = 0.0

    def record_time_left(self, time_left_s):
        """Record the time left to a caller and estimate its prior wait.

        Parameters
        ----------
        time_left_s : float
            Seconds until the caller's deadline.

        Returns
        -------
        float
            Estimated seconds that the caller waited before this request.
        """
        self._recent_s.append(time_left_s)
        self._requests_until_refresh -= 1
        if self._requests_until_refresh < 0:
            self._requests_until_refresh = REFRESH_REQUESTS
            descending = sorted(self._recent_s, reverse=True)
            self._typical_timeout_s = descending[
                int(LONG_TIMEOUT_SHARE * len(descending))
            ]
        return max(0.0, self._typical_timeout_s - time_left_s)


class CallerTimeouts:
    """Typical timeouts of the callers of all routes."""

    def __init__(self):
        self._lock = threading.Lock()
        self._routes = {}

    def record_time_left(self, route, time_left_s):
        """Record the time left to a caller and estimate its prior wait.

        Parameters
        ----------
        route : Route
            The route of the request.
        time_left_s : float or None
            Seconds until the caller's deadline; None if the caller sent none.

        Returns
        -------
        float
            Estimated seconds that the caller waited before this request; 0 without
            a deadline.
        """
        if time_left_s is None:
            return 0.0
        with self._lock:
            timeout = self._routes.get(route.prefix)
            if timeout is None:
                timeout = self._routes[route.prefix] = RouteTimeout()
                drop_oldest(self._routes, MAX_ROUTES)
            return timeout.record_time_left(time_left_s)
