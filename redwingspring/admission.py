"""Admission control: concurrency limit, queue and retry budgets of each service."""

import math
import threading
import time
from collections import deque

from expression import Error, Ok

from .hedges import LatencyWindow
from .policy.retries import AttemptBudget
from .verdict import Reason, refuse

# Retries as a share of first attempts when the failed attempt certainly did not
# run. The share is large because such attempts cost a target almost nothing.
REFUSED_RETRY_SHARE = 0.5
# Minimum time between two updates of the capacity.
CAPACITY_REFRESH_INTERVAL_S = 0.05
# Average share of refused attempts above which the targets are overloaded.
# Targets that use 85% of their slots refuse less than 3%.
OVERLOAD_REFUSAL_SHARE = 0.1
# Weight of the latest attempt in the average share of refused attempts.
REFUSAL_WEIGHT = 0.05
# A single overload causes many refusals at once and must lower the limit only once.
DECREASE_INTERVAL_S = 0.1
DECREASE_FACTOR = 0.9
MIN_REDUCED_LIMIT = 2.0
# Weight of the latest interval between two completions in their average.
COMPLETION_INTERVAL_WEIGHT = 0.1


class ServiceAdmission:
    """Limits the concurrent requests of one service and queues the others (FIFO).

    The limit is the total number of slots of the targets that accept work. It is
    lowered when targets refuse many attempts because other hosts use their slots,
    and rises again with every response (additive increase, multiplicative
    decrease: Chiu and Jain, 1989).

    Parameters
    ----------
    states : sequence of TargetState
        Targets of the service.
    queue_length : int, default=0
        Maximum number of queued requests.
    queue_wait : float, default=0.0
        Maximum time in the queue, in seconds.
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
        self._refused_retry_budget = AttemptBudget(REFUSED_RETRY_SHARE)
        self.latency = LatencyWindow()
        self.states = tuple(states)
        self.queue_length = queue_length
        self.queue_wait = queue_wait
        self._lock = threading.Lock()
        self._waiting = deque()
        self.in_flight = 0
        self._capacity = 0
        self._reduced_limit = math.inf
        self._refusal_share = 0.0
        self._next_capacity_refresh = 0.0
        self._next_decrease = 0.0
        self._completion_interval = None
        self._last_completion = 0.0

    @property
    def waiting(self):
        """Number of requests in the queue."""
        return len(self._waiting)

    @property
    def limit(self):
        """Maximum number of requests in progress."""
        return min(self._capacity, self._reduced_limit)

    def acquire_slot(self, deadline):
        """Acquire a concurrency slot, waiting in the queue if necessary.

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
            self._refresh_capacity(time.monotonic())
            if self._capacity <= 0:
                return Error(refuse(Reason.NO_CAPACITY, "no target takes work"))
            if self.in_flight < self.limit and not self._waiting:
                self.in_flight += 1
                return Ok(None)
            if len(self._waiting) >= self.queue_length:
                return Error(refuse(Reason.QUEUE_FULL, "the service's queue is full"))
            max_wait = min(self.queue_wait, remaining - (self.latency.median or 0.0))
            if self._estimate_wait() > max_wait:
                detail = "no target is expected to become free in time"
                return Error(refuse(Reason.NO_CAPACITY, detail))
            slot_granted = threading.Event()
            self._waiting.append(slot_granted)
        granted = slot_granted.wait(max(0.0, max_wait))
        if granted:
            return Ok(None)
        with self._lock:
            if slot_granted.is_set():
                # release_slot granted a slot after the timeout, before this lock.
                return Ok(None)
            self._waiting.remove(slot_granted)
        return Error(refuse(Reason.NO_CAPACITY, "no target became free in time"))

    def record_answered(self):
        """Record a response of a target; raises a reduced limit."""
        with self._lock:
            self._refusal_share -= REFUSAL_WEIGHT * self._refusal_share
            if self._reduced_limit < self._capacity:
                self._reduced_limit += 1.0 / self._reduced_limit
            else:
                self._reduced_limit = math.inf

    def record_refused(self):
        """Record a refused attempt; reduces the limit when refusals are frequent."""
        now = time.monotonic()
        with self._lock:
            self._refusal_share += REFUSAL_WEIGHT * (1.0 - self._refusal_share)
            if (
                self._refusal_share < OVERLOAD_REFUSAL_SHARE
                or now < self._next_decrease
            ):
                return
            self._next_decrease = now + DECREASE_INTERVAL_S
            lowered = min(self.limit, self.in_flight) * DECREASE_FACTOR
            self._reduced_limit = max(MIN_REDUCED_LIMIT, lowered)

    def update_capacity(self, now):
        """Set the capacity to the total slots of the targets that accept work.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        self._next_capacity_refresh = now + CAPACITY_REFRESH_INTERVAL_S
        self._capacity = sum(s.limits.slots for s in self.states if s.accepts_work(now))

    def _refresh_capacity(self, now):
        if now >= self._next_capacity_refresh:
            self.update_capacity(now)

    def _estimate_wait(self):
        """Return the expected queueing time of a new request in seconds."""
        if self._completion_interval is None:
            return 0.0
        return (len(self._waiting) + 1) * self._completion_interval

    def record_first_attempt(self):
        """Add the share of a first attempt to the retry and hedge budgets."""
        self.retry_budget.record_first_attempt()
        self.hedge_budget.record_first_attempt()
        self._refused_retry_budget.record_first_attempt()

    def take_retry(self, proved_not_run):
        """Take one retry from the budget that applies to the failed attempt.

        Parameters
        ----------
        proved_not_run : bool
            Whether the failed attempt certainly did not run.

        Returns
        -------
        bool
            False when the budget is used up.
        """
        budget = self._refused_retry_budget if proved_not_run else self.retry_budget
        return budget.take()

    def release_slot(self):
        """Release the slot of a finished request and admit queued requests."""
        now = time.monotonic()
        with self._lock:
            self._refresh_capacity(now)
            self._record_completion(now)
            self.in_flight -= 1
            # Several requests can be admitted if the limit has risen.
            while self._waiting and self.in_flight < self.limit:
                self.in_flight += 1
                self._waiting.popleft().set()

    def _record_completion(self, now):
        """Update the average interval between completions at the limit."""
        interval, self._last_completion = now - self._last_completion, now
        if self.in_flight < self.limit or interval > self.queue_wait:
            return
        if self._completion_interval is None:
            self._completion_interval = interval
        else:
            self._completion_interval += COMPLETION_INTERVAL_WEIGHT * (
                interval - self._completion_interval
            )


class AdmissionDirectory:
    """Admission control of all services under the configuration in force."""

    def __init__(self):
        self._admissions = {}

    def apply(self, table):
        """Apply the limits of a new table; requests in progress remain counted.

        Parameters
        ----------
        table : TargetTable
            The table in force.
        """
        admissions = {}
        for name, states in table.services.items():

            def read_value(key, name=name):
                return table.configuration.service_value(key, name)

            admission = self._admissions.get(name)
            if admission is None:
                shares = read_value("retry.share"), read_value("hedge.share")
                admission = ServiceAdmission(states, 0, 0.0, *shares)
            admission.states = states
            admission.update_capacity(time.monotonic())
            admission.queue_length = read_value("queue.length")
            admission.queue_wait = read_value("queue.wait")
            admission.retry_budget.share = read_value("retry.share")
            admission.hedge_budget.share = read_value("hedge.share")
            admissions[name] = admission
        self._admissions = admissions

    def find(self, service):
        """Return the admission control of a service.

        Parameters
        ----------
        service : str
            Name of a service in force.

        Returns
        -------
        ServiceAdmission or None
            None when the configuration in force has no such service.
        """
        return self._admissions.get(service)

    def totals(self):
        """Return the numbers of running and queued requests by service.

        Returns
        -------
        dict of str to tuple of int
            Requests in progress and requests in the queue.
        """
        return {
            name: (admission.in_flight, admission.waiting)
            for name, admission in sorted(self._admissions.items())
        }
