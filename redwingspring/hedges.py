"""Hedged requests: second attempts for slow idempotent requests."""

import heapq
import itertools
import socket
import threading
import time

from expression import Error
from hdrh.histogram import HdrHistogram

from .verdict import Reason, fail_uncertain, refuse

# Latency percentile after which a hedge is sent. The 95th percentile would spend the
# budget on requests that are slow at every target.
HEDGE_PERCENTILE = 99.0
# Minimum number of latencies in a window before its percentiles are used.
MIN_WINDOW_SAMPLES = 100
WINDOW_S = 1.0
# The histogram has a resolution of 0.1 ms and a range of 10 minutes.
HISTOGRAM_UNIT_S = 0.0001
MAX_HISTOGRAM_UNITS = 6_000_000


class LatencyWindow:
    """Latency percentiles of a service's requests over windows of a second or more."""

    def __init__(self):
        self._lock = threading.Lock()
        self._histogram = HdrHistogram(1, MAX_HISTOGRAM_UNITS, 2)
        self._window_end = 0.0
        self.hedge_delay = None
        self.median = None

    def record(self, seconds):
        """Add a latency to the current window.

        Parameters
        ----------
        seconds : float
            Time until the response began.
        """
        now = time.monotonic()
        with self._lock:
            histogram = self._histogram
            histogram.record_value(
                max(1, min(MAX_HISTOGRAM_UNITS, int(seconds / HISTOGRAM_UNIT_S)))
            )
            if now < self._window_end or histogram.total_count < MIN_WINDOW_SAMPLES:
                return
            self._window_end = now + WINDOW_S
            values = histogram.get_percentile_to_value_dict((50.0, HEDGE_PERCENTILE))
            self.median = values[50.0] * HISTOGRAM_UNIT_S
            self.hedge_delay = values[HEDGE_PERCENTILE] * HISTOGRAM_UNIT_S
            histogram.reset()


class Cancellation:
    """Lets another thread cancel an attempt by closing its connection.

    It stands in for the connection pool of the attempt.

    Parameters
    ----------
    pool : TargetPool or None, default=None
        Connections to the target; set by ``wrap``.
    """

    def __init__(self, pool=None):
        self._pool = pool
        self._lock = threading.Lock()
        self._connection = None
        self.cancelled = False

    def wrap(self, pool):
        """Return a pool that tracks the connection of the attempt.

        Parameters
        ----------
        pool : TargetPool
            Connections to the target of the attempt.

        Returns
        -------
        Cancellation
            This object, which has the pool methods ``take`` and ``give_back``.
        """
        self._pool = pool
        return self

    def take(self, limits, idempotent):
        """Take a connection from the pool and track it for cancellation.

        Parameters
        ----------
        limits : TargetLimits
            Values in force.
        idempotent : bool
            Whether a connection that has been idle for long may be used.

        Returns
        -------
        TargetConnection
            The connection.
        """
        connection = self._pool.take(limits, idempotent)
        with self._lock:
            self._connection = connection
        return connection

    def give_back(self, connection):
        """Return a connection to the pool and stop tracking it.

        Parameters
        ----------
        connection : TargetConnection
            The connection.
        """
        with self._lock:
            self._connection = None
            reusable = not self.cancelled
        if reusable:
            self._pool.give_back(connection)
        else:
            connection.close()

    def guard(self, check):
        """Return a check that also refuses to send after a cancellation.

        Parameters
        ----------
        check : callable
            Check made just before the attempt is sent.

        Returns
        -------
        callable
            Returns None or a Failure.
        """

        def _check():
            if self.cancelled:
                return refuse(Reason.STALE_DECISION, "another attempt was answered")
            return check()

        return _check

    def cancel(self):
        """Cancel the attempt; its thread sees a closed connection."""
        with self._lock:
            self.cancelled = True
            sock = self._connection.sock if self._connection is not None else None
            if sock is not None:
                try:
                    sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass


class HedgedAttempt:
    """A first attempt and its hedge; the first response wins.

    Parameters
    ----------
    send : callable
        Called with a Cancellation and whether it is the hedge; returns the
        outcome of an attempt.
    discard : callable
        Called with the Relay of the attempt that lost.
    budget : AttemptBudget
        Limits the hedges of the service.
    """

    def __init__(self, send, discard, budget):
        self._send = send
        self._discard = discard
        self._budget = budget
        self._lock = threading.Lock()
        self._first_cancellation = Cancellation()
        self._hedge_cancellation = Cancellation()
        self._winner = None
        self._hedge_ended = None
        self._hedge_outcome = Error(
            fail_uncertain(Reason.INTERNAL, "the hedge broke off")
        )
        self._abandoned = False
        self.closed = False

    def run(self):
        """Make the first attempt; return the outcome of the request.

        Returns
        -------
        expression.Result
            The first Ok of the two attempts. If both failed, a failure that
            does not prove that the request did not run is preferred.
        """
        try:
            outcome = self._send(self._first_cancellation, False)
        except BaseException:
            with self._lock:
                self.closed = self._abandoned = True
                self._hedge_cancellation.cancel()
            raise
        with self._lock:
            self.closed = True
            hedge_won = self._winner is not None
            if not hedge_won and outcome.is_ok():
                self._winner = outcome
                self._hedge_cancellation.cancel()
        if hedge_won:
            if outcome.is_ok():
                self._discard(outcome.ok)
            return self._winner
        if outcome.is_error() and self._hedge_ended is not None:
            # The wait is bounded: the hedge ends at the deadline of the request.
            self._hedge_ended.wait()
            hedge_outcome = self._hedge_outcome
            if hedge_outcome.is_ok() or outcome.error.proves_not_run:
                return hedge_outcome
        return outcome

    def start_hedge(self):
        """Send the hedge in a thread if the attempt still runs and budget is left."""
        with self._lock:
            if self.closed or not self._budget.take():
                return
            self._hedge_ended = threading.Event()
        threading.Thread(target=self._run_hedge, name="hedge", daemon=True).start()

    def _run_hedge(self):
        try:
            outcome = self._send(self._hedge_cancellation, True)
            if outcome.is_error() and outcome.error.reason is Reason.NO_CAPACITY:
                self._budget.restore()
            with self._lock:
                self._hedge_outcome = outcome
                undecided = self._winner is None and not self._abandoned
                won = undecided and outcome.is_ok()
                if won:
                    self._winner = outcome
                    self._first_cancellation.cancel()
            if outcome.is_ok() and not won:
                self._discard(outcome.ok)
        finally:
            self._hedge_ended.set()


class HedgeTimer:
    """Starts all hedges at their due time from a single thread."""

    def __init__(self):
        self._heap_changed = threading.Condition()
        self._heap = []
        self._entry_numbers = itertools.count()
        self._thread = None

    def schedule(self, hedged_attempt, due):
        """Schedule the hedge of an attempt.

        Parameters
        ----------
        hedged_attempt : HedgedAttempt
            The attempt to hedge.
        due : float
            Monotonic time in seconds at which the hedge is sent.
        """
        with self._heap_changed:
            entry = (due, next(self._entry_numbers), hedged_attempt)
            heapq.heappush(self._heap, entry)
            if self._thread is None:
                self._thread = threading.Thread(
                    target=self._run, name="hedge-timer", daemon=True
                )
                self._thread.start()
            elif self._heap[0] is entry:
                self._heap_changed.notify()

    def _run(self):
        while True:
            self._take_due().start_hedge()

    def _take_due(self):
        """Wait until a hedge is due and return its attempt."""
        with self._heap_changed:
            while True:
                while self._heap and self._heap[0][2].closed:
                    heapq.heappop(self._heap)
                wait = None
                if self._heap:
                    wait = self._heap[0][0] - time.monotonic()
                    if wait <= 0:
                        return heapq.heappop(self._heap)[2]
                self._heap_changed.wait(wait)


class Hedger:
    """Makes attempts and hedges those that take unusually long.

    Parameters
    ----------
    attempt : callable
        Called with a call, the targets to exclude, the number of previous
        attempts, a Cancellation or None, and whether it is the hedge; returns
        the outcome.
    discard : callable
        Called with the Relay of an attempt that lost.
    """

    def __init__(self, attempt, discard):
        self._attempt = attempt
        self._discard = discard
        self._timer = HedgeTimer()

    def attempt(self, call, admission, tried, number):
        """Make an attempt, hedged if the request is eligible.

        Parameters
        ----------
        call : Call
            The call.
        admission : ServiceAdmission
            Latency percentiles and hedge budget of the service.
        tried : set of TargetState
            Targets to exclude; the chosen one is added.
        number : int
            Number of attempts that this host made before.

        Returns
        -------
        expression.Result
            Ok with a Relay, or an Error with a Failure.
        """
        started = time.monotonic()
        delay = admission.latency.hedge_delay
        if (
            delay is None
            or admission.hedge_budget.share <= 0
            or not call.idempotent
            or call.body.exists
            or call.prior_retries > 0
        ):
            outcome = self._attempt(call, tried, number, None, False)
        else:

            def send(cancellation, hedge):
                excluded = set(tried) if hedge else tried
                return self._attempt(
                    call, excluded, number + hedge, cancellation, hedge
                )

            hedged_attempt = HedgedAttempt(send, self._discard, admission.hedge_budget)
            self._timer.schedule(hedged_attempt, started + delay)
            outcome = hedged_attempt.run()
        if outcome.is_ok():
            admission.latency.record(time.monotonic() - started)
        return outcome
