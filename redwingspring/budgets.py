"""Time that callers give their requests, and how much of it is used already.

Load pattern: in a burst, callers that were rejected come back with less time than
they began with. Their answers are late whatever is done, and would take the places
of requests that can still be answered in time.
"""

import threading
from collections import deque

# Requests of a route from which its usual time budget is taken.
BUDGET_SAMPLES = 200
# Part of them that may have more time, so that a few patient callers do not make
# all others look late.
PATIENT_PART = 0.03
# Requests after which the usual budget is computed again.
REFRESH_EVERY = 20
MAX_ROUTES = 5000


class RouteBudget:
    """Usual time budget of the requests of one route."""

    def __init__(self):
        self._recent = deque(maxlen=BUDGET_SAMPLES)
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


class CallerBudgets:
    """Usual time budgets of all routes."""

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
            budget = self._routes.get(route.prefix)
            if budget is None:
                budget = self._routes[route.prefix] = RouteBudget()
                while len(self._routes) > MAX_ROUTES:
                    del self._routes[next(iter(self._routes))]
            return budget.note(left_s)
