"""Limits on the requests of a service in progress at one host."""

import math
import threading
import time
from collections import deque

from expression import Error, Ok

from .hedges import LatencyWindow
from .retries import AttemptBudget
from .verdict import Reason, refuse

# Retries after a proof that nothing ran cost a target almost nothing.
REFUSED_SHARE = 0.5
# Seconds after which the slots of the targets are counted again.
REFRESH_INTERVAL_S = 0.05
# Share of refused attempts that shows an overload; targets at 85% of their slots
# refuse less than 3%.
OVERLOAD_SHARE = 0.1
REFUSED_WEIGHT = 0.05
# One overload gives many refusals at once and lowers the limit only once.
DECREASE_INTERVAL_S = 0.1
DECREASE_FACTOR = 0.9
MIN_WINDOW = 2.0
# Weight of the latest interval between the ends of two requests.
INTERVAL_WEIGHT = 0.1


class ServiceAdmission:
    """Bounded admission to one service, first come first served.

    The limit is what the targets that take work can bear. It is lowered
    when targets refuse many attempts because other hosts use their slots,
    and rises again with every answer (additive increase, multiplicative
    decrease: Chiu and Jain, 1989).

    Parameters
    ----------
    states : sequence of TargetState
        Targets of the service.
    queue_length : int, default=0
        Requests that may wait.
    queue_wait : float, default=0.0
        Longest wait in seconds.
    retry_share : float, default=0.0
        Retries as a share of first attempts.
    hedge_share : float, default=0.0
        Hedges as a share of first attempts.
    """

    def __init__(
        self, states, queue_length=0, queue_wait=0.0, retry_share=0.0, hedge_share=0.0
    ):
        self.retry_budget = AttemptBudget(retry_share)
        self.hedge_budget = AttemptBudget(hedge_share)
        self._refused_budget = AttemptBudget(REFUSED_SHARE)
        self.latency = LatencyWindow()
        self.states = tuple(states)
        self.queue_length = queue_length
        self.queue_wait = queue_wait
        self._lock = threading.Lock()
        self._waiting = deque()
        self.in_flight = 0
        self._capacity = 0
        self._window = math.inf
        self._refused_share = 0.0
        self._next_refresh = 0.0
        self._next_decrease = 0.0
        self._end_interval = None
        self._last_end = 0.0

    @property
    def waiting(self):
        """Number of requests in the queue."""
        return len(self._waiting)

    @property
    def limit(self):
        """Number of requests that may be in progress."""
        return min(self._capacity, self._window)

    def acquire_slot(self, deadline):
        """Wait for a place until the deadline.

        Parameters
        ----------
        deadline : float
            Unix time in seconds.

        Returns
        -------
        expression.Result
            Ok, or an Error with a Failure that proves the request did not run.
        """
        remaining = deadline - time.time()
        if remaining <= 0:
            return Error(refuse(Reason.DEADLINE, "the deadline has passed"))
        with self._lock:
            self._refresh(time.monotonic())
            if self._capacity <= 0:
                return Error(refuse(Reason.NO_CAPACITY, "no target takes work"))
            if self.in_flight < self.limit and not self._waiting:
                self.in_flight += 1
                return Ok(None)
            if len(self._waiting) >= self.queue_length:
                return Error(refuse(Reason.QUEUE_FULL, "the service's queue is full"))
            longest = min(self.queue_wait, remaining - (self.latency.median or 0.0))
            if self._estimate_wait() > longest:
                detail = "no target is expected to become free in time"
                return Error(refuse(Reason.NO_CAPACITY, detail))
            place = threading.Event()
            self._waiting.append(place)
        granted = place.wait(max(0.0, longest))
        if granted:
            return Ok(None)
        with self._lock:
            if place.is_set():
                # A place was handed over between the timeout and the lock.
                return Ok(None)
            self._waiting.remove(place)
        return Error(refuse(Reason.NO_CAPACITY, "no target became free in time"))

    def record_answered(self):
        """Note that a target answered; raises a lowered limit."""
        with self._lock:
            self._refused_share -= REFUSED_WEIGHT * self._refused_share
            if self._window < self._capacity:
                self._window += 1.0 / self._window
            else:
                self._window = math.inf

    def record_refused(self):
        """Note that a target refused an attempt; many lower the limit."""
        now = time.monotonic()
        with self._lock:
            self._refused_share += REFUSED_WEIGHT * (1.0 - self._refused_share)
            if self._refused_share < OVERLOAD_SHARE or now < self._next_decrease:
                return
            self._next_decrease = now + DECREASE_INTERVAL_S
            lowered = min(self.limit, self.in_flight) * DECREASE_FACTOR
            self._window = max(MIN_WINDOW, lowered)

    def count_slots(self, now):
        """Count the slots of the targets that take work.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        self._next_refresh = now + REFRESH_INTERVAL_S
        self._capacity = sum(s.limits.slots for s in self.states if s.accepts_work(now))

    def _refresh(self, now):
        if now >= self._next_refresh:
            self.count_slots(now)

    def _estimate_wait(self):
        """Return the expected wait of one more request in seconds."""
        if self._end_interval is None:
            return 0.0
        return (len(self._waiting) + 1) * self._end_interval

    def record_first_attempt(self):
        """Count a first attempt towards the retry budgets."""
        self.retry_budget.record_first_attempt()
        self.hedge_budget.record_first_attempt()
        self._refused_budget.record_first_attempt()

    def take_retry(self, proved_not_run):
        """Take one retry from the budget of its kind.

        Parameters
        ----------
        proved_not_run : bool
            Whether the failed attempt certainly did not run.

        Returns
        -------
        bool
            False when the budget is used up.
        """
        budget = self._refused_budget if proved_not_run else self.retry_budget
        return budget.take()

    def release_slot(self):
        """Give the place to the first request that waits."""
        now = time.monotonic()
        with self._lock:
            self._refresh(now)
            self._note_end(now)
            self.in_flight -= 1
            # A limit that rose can admit more than one.
            while self._waiting and self.in_flight < self.limit:
                self.in_flight += 1
                self._waiting.popleft().set()

    def _note_end(self, now):
        """Average the interval between ends while all places are taken."""
        gap, self._last_end = now - self._last_end, now
        if self.in_flight < self.limit or gap > self.queue_wait:
            return
        if self._end_interval is None:
            self._end_interval = gap
        else:
            self._end_interval += INTERVAL_WEIGHT * (gap - self._end_interval)


class AdmissionDirectory:
    """The admissions of all services under the configuration in force."""

    def __init__(self):
        self._admissions = {}

    def apply(self, table):
        """Take limits from a new table; requests in progress stay counted.

        Parameters
        ----------
        table : TargetTable
            The table in force.
        """
        admissions = {}
        for name, states in table.services.items():

            def value(key, name=name):
                return table.configuration.service_value(key, name)

            admission = self._admissions.get(name)
            if admission is None:
                shares = value("retry.share"), value("hedge.share")
                admission = ServiceAdmission(states, 0, 0.0, *shares)
            admission.states = states
            admission.count_slots(time.monotonic())
            admission.queue_length = value("queue.length")
            admission.queue_wait = value("queue.wait")
            admission.retry_budget.share = value("retry.share")
            admission.hedge_budget.share = value("hedge.share")
            admissions[name] = admission
        self._admissions = admissions

    def find(self, service):
        """Return the admission of a service.

        Parameters
        ----------
        service : str
            Name of a service in force.

        Returns
        -------
        ServiceAdmission or None
            None when a newer configuration has no such service.
        """
        return self._admissions.get(service)

    def totals(self):
        """Return requests in progress and waiting, by service.

        Returns
        -------
        dict of str to tuple of int
            In progress and waiting.
        """
        return {
            name: (admission.in_flight, admission.waiting)
            for name, admission in sorted(self._admissions.items())
        }
