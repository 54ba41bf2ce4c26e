"""Second attempts for idempotent requests that take unusually long."""

import heapq
import itertools
import socket
import threading
import time

from expression import Error
from hdrh.histogram import HdrHistogram

from .verdict import Reason, doubt, refuse

# Share of requests, in percent, that answer before a hedge is sent. In trials the
# 95th percentile spent the budget on requests that take long at any target.
HEDGE_PERCENTILE = 99.0
# Latencies before the first delay is known, and at most in one window.
MIN_SAMPLES = 100
WINDOW_S = 1.0
# Histogram of units of 0.1 ms up to 10 minutes.
UNIT_S = 0.0001
HIGHEST_UNITS = 6_000_000


class LatencyWindow:
    """Latency of the first attempts of one service in the latest second."""

    def __init__(self):
        self._lock = threading.Lock()
        self._histogram = HdrHistogram(1, HIGHEST_UNITS, 2)
        self._ends = 0.0
        self.hedge_delay = None
        self.median = None

    def record(self, seconds):
        """Note a latency.

        Parameters
        ----------
        seconds : float
            Time until the response began or the attempt was given up.
        """
        now = time.monotonic()
        with self._lock:
            histogram = self._histogram
            histogram.record_value(max(1, min(HIGHEST_UNITS, int(seconds / UNIT_S))))
            if now < self._ends or histogram.total_count < MIN_SAMPLES:
                return
            self._ends = now + WINDOW_S
            values = histogram.get_percentile_to_value_dict((50.0, HEDGE_PERCENTILE))
            self.median = values[50.0] * UNIT_S
            self.hedge_delay = values[HEDGE_PERCENTILE] * UNIT_S
            histogram.reset()


class Cancellation:
    """Lets another thread end an attempt by closing its connection.

    Parameters
    ----------
    pool : TargetPool or None, default=None
        Set with ``wrap``.
    """

    def __init__(self, pool=None):
        self._pool = pool
        self._lock = threading.Lock()
        self._connection = None
        self.cancelled = False

    def wrap(self, pool):
        """Return a pool whose connection this object can close.

        Parameters
        ----------
        pool : TargetPool
            Connections to the target of the attempt.

        Returns
        -------
        Cancellation
            This object, which offers ``take`` and ``give_back`` of a pool.
        """
        self._pool = pool
        return self

    def take(self, limits, idempotent):
        """Take a connection from the pool and remember it.

        Parameters
        ----------
        limits : TargetLimits
            Values in force.
        idempotent : bool
            Whether a long idle connection may be used.

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
        """Return a connection, which can then no longer be closed from here.

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
        """Return a guard that also refuses after a cancellation.

        Parameters
        ----------
        check : callable
            The guard of the attempt.

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
        """End the attempt; its thread sees a closed connection."""
        with self._lock:
            self.cancelled = True
            sock = self._connection.sock if self._connection is not None else None
            if sock is not None:
                try:
                    sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass


class Race:
    """One attempt and the hedge that may overtake it.

    Parameters
    ----------
    send : callable
        Called with a Cancellation and whether it is the hedge; returns the
        outcome of an attempt.
    discard : callable
        Called with the Relay that lost.
    budget : AttemptBudget
        Bounds the hedges of the service.
    """

    def __init__(self, send, discard, budget):
        self._send = send
        self._discard = discard
        self._budget = budget
        self._lock = threading.Lock()
        self._first = Cancellation()
        self._second = Cancellation()
        self._winner = None
        self._hedge_ended = None
        self._hedge_outcome = Error(doubt(Reason.INTERNAL, "the hedge broke off"))
        self._abandoned = False
        self.closed = False

    def run(self):
        """Make the first attempt; return the outcome that counts.

        Returns
        -------
        expression.Result
            The first Ok of both attempts; without one the failure that
            leaves more doubt.
        """
        try:
            outcome = self._send(self._first, False)
        except BaseException:
            with self._lock:
                self.closed = self._abandoned = True
                self._second.cancel()
            raise
        with self._lock:
            self.closed = True
            lost = self._winner is not None
            if not lost and outcome.is_ok():
                self._winner = outcome
                self._second.cancel()
        if lost:
            if outcome.is_ok():
                self._discard(outcome.ok)
            return self._winner
        if outcome.is_error() and self._hedge_ended is not None:
            # The hedge ends by itself at the deadline.
            self._hedge_ended.wait()
            hedged = self._hedge_outcome
            if hedged.is_ok() or outcome.error.proves_not_run:
                return hedged
        return outcome

    def start_hedge(self):
        """Send the hedge in a thread unless it is too late or over budget."""
        with self._lock:
            if self.closed or not self._budget.take():
                return
            self._hedge_ended = threading.Event()
        threading.Thread(target=self._run_hedge, name="hedge", daemon=True).start()

    def _run_hedge(self):
        try:
            outcome = self._send(self._second, True)
            if outcome.is_error() and outcome.error.reason is Reason.NO_CAPACITY:
                self._budget.restore()
            with self._lock:
                self._hedge_outcome = outcome
                free = self._winner is None and not self._abandoned
                won = free and outcome.is_ok()
                if won:
                    self._winner = outcome
                    self._first.cancel()
            if outcome.is_ok() and not won:
                self._discard(outcome.ok)
        finally:
            self._hedge_ended.set()


class HedgeTimer:
    """Starts hedges when their time has come, in one thread for all."""

    def __init__(self):
        self._changed = threading.Condition()
        self._heap = []
        self._numbers = itertools.count()
        self._thread = None

    def schedule(self, race, due):
        """Start the hedge of a race at a time.

        Parameters
        ----------
        race : Race
            The race.
        due : float
            Monotonic time in seconds.
        """
        with self._changed:
            entry = (due, next(self._numbers), race)
            heapq.heappush(self._heap, entry)
            if self._thread is None:
                self._thread = threading.Thread(
                    target=self._run, name="hedge-timer", daemon=True
                )
                self._thread.start()
            elif self._heap[0] is entry:
                self._changed.notify()

    def _run(self):
        while True:
            self._take_due().start_hedge()

    def _take_due(self):
        """Wait for the next race whose hedge is due."""
        with self._changed:
            while True:
                while self._heap and self._heap[0][2].closed:
                    heapq.heappop(self._heap)
                wait = None
                if self._heap:
                    wait = self._heap[0][0] - time.monotonic()
                    if wait <= 0:
                        return heapq.heappop(self._heap)[2]
                self._changed.wait(wait)


class Hedger:
    """Makes attempts, and second ones for those that take unusually long.

    Parameters
    ----------
    attempt : callable
        Called with a call, the targets to leave out, the number of attempts
        before, a Cancellation or None and whether it is the hedge; returns
        the outcome.
    discard : callable
        Called with the Relay of an attempt that lost.
    """

    def __init__(self, attempt, discard):
        self._attempt = attempt
        self._discard = discard
        self._timer = HedgeTimer()

    def attempt(self, call, admission, tried, number):
        """Make an attempt, with a hedge if the request may have one.

        Parameters
        ----------
        call : Call
            The call.
        admission : ServiceAdmission
            Latency and hedge budget of the service.
        tried : set of TargetState
            Targets to leave out; the chosen one is added.
        number : int
            Attempts already made by this host.

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
            or call.depth > 0
        ):
            outcome = self._attempt(call, tried, number, None, False)
        else:

            def send(cancellation, hedge):
                others = set(tried) if hedge else tried
                return self._attempt(call, others, number + hedge, cancellation, hedge)

            race = Race(send, self._discard, admission.hedge_budget)
            self._timer.schedule(race, started + delay)
            outcome = race.run()
        if outcome.is_ok():
            admission.latency.record(time.monotonic() - started)
        return outcome
