"""Outlier detection: ejection of targets that fail or are much slower than others."""

import random
import statistics
import threading

# Minimum time between two comparisons of the targets of a service.
REVIEW_INTERVAL_S = 0.25
# Typical latency that is assumed before the first latency sample.
INITIAL_LATENCY_S = 0.02
MIN_OUTLIER_SAMPLES = 5
# A target is ejected only if the remaining targets can serve the current load with
# at most this share of their slots.
MAX_UTILISATION = 0.85
MAX_EJECTED_SHARE = 1 / 3
# Each repeated ejection lasts twice as long, up to this factor.
MAX_BACKOFF_FACTOR = 8
# Range of the random factor on an ejection's duration, which prevents hosts from
# returning to a target at the same time.
JITTER_RANGE = (0.75, 1.25)


class OutlierDetector:
    """Decides which targets of a service are ejected, and for how long.

    Parameters
    ----------
    states : sequence of TargetState, default=()
        Targets of the service.
    """

    def __init__(self, states=()):
        self.states = tuple(states)
        self.typical_latency = INITIAL_LATENCY_S
        self._lock = threading.Lock()
        self._next_review = 0.0

    def review(self, now):
        """Compare the targets if the review interval has passed.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        int
            Number of targets ejected as latency outliers.
        """
        if now < self._next_review or not self._lock.acquire(blocking=False):
            return 0
        try:
            self._next_review = now + REVIEW_INTERVAL_S
            known = [s for s in self.states if s.estimate.latency is not None]
            if not known:
                return 0
            # The lower median stays low when half of the targets are slow.
            self.typical_latency = statistics.median_low(
                s.estimate.latency for s in known
            )
            self._readmit_if_overloaded(now)
            return sum(self._eject_outlier(state, now) for state in known)
        finally:
            self._lock.release()

    def eject(self, state, now):
        """Eject a target if the remaining targets can serve the load.

        Parameters
        ----------
        state : TargetState
            The target. Its lock must not be held.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            True if this call ejected the target.
        """
        if state.ejected_until > now or not self._can_eject(state, now):
            return False
        # The backoff starts again if the target stayed long without an ejection.
        recovered = (
            now - state.ejected_until > state.limits.eject_time * MAX_BACKOFF_FACTOR
        )
        state.ejections = 0 if recovered else min(state.ejections + 1, 10)
        factor = min(MAX_BACKOFF_FACTOR, 2**state.ejections)
        duration = state.limits.eject_time * factor * random.uniform(*JITTER_RANGE)
        state.ejected_until = now + duration
        return True

    def _eject_outlier(self, state, now):
        estimate = state.estimate
        factor = state.limits.eject_outlier
        if (
            factor <= 0
            or state.ejected_until > now
            or estimate.samples < MIN_OUTLIER_SAMPLES
            or estimate.estimate_latency(now, self.typical_latency)
            < factor * self.typical_latency
        ):
            return False
        return self.eject(state, now)

    def _can_eject(self, state, now):
        """Tell whether the other targets can serve the load without this one."""
        remaining = [s for s in self.states if s is not state and s.accepts_work(now)]
        ejected = sum(s.ejected_until > now for s in self.states)
        if ejected + 1 > MAX_EJECTED_SHARE * len(self.states):
            return False
        slots = sum(s.limits.slots for s in remaining)
        load = sum(s.estimate_load(now) for s in remaining) + state.in_flight
        return load <= MAX_UTILISATION * slots

    def _readmit_if_overloaded(self, now):
        """End the earliest-ending ejection if the load exceeds the remaining slots."""
        ejected = [s for s in self.states if s.ejected_until > now]
        if not ejected:
            return
        remaining = [s for s in self.states if s.accepts_work(now)]
        if sum(s.estimate_load(now) for s in remaining) > sum(
            s.limits.slots for s in remaining
        ):
            min(ejected, key=lambda s: s.ejected_until).ejected_until = now
