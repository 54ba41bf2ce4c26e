"""Ejection of targets that fail or are far slower than the others."""

import random
import statistics
import threading

# Seconds between two comparisons of the targets of a service.
REVIEW_INTERVAL_S = 0.25
# Used until the targets of a service have shown their latency, in seconds.
FIRST_LATENCY_S = 0.02
MIN_OUTLIER_SAMPLES = 5
# The targets that stay must bear the present load with this share of slots.
MAX_UTILISATION = 0.85
MAX_EJECTED_SHARE = 1 / 3
# Repeated ejections double their time up to this factor.
MAX_BACKOFF = 8
# Jitter keeps hosts from returning to a target together.
JITTER = (0.75, 1.25)


class OutlierDetector:
    """Decides which targets of a service are ejected, and for how long.

    Parameters
    ----------
    states : sequence of TargetState, default=()
        Targets of the service.
    """

    def __init__(self, states=()):
        self.states = tuple(states)
        self.typical_latency = FIRST_LATENCY_S
        self._lock = threading.Lock()
        self._next_review = 0.0

    def review(self, now):
        """Compare the targets if the interval has passed.

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
            # The lower median holds when half of the targets are slow.
            self.typical_latency = statistics.median_low(
                s.estimate.latency for s in known
            )
            self._release_if_overloaded(now)
            return sum(self._eject_outlier(state, now) for state in known)
        finally:
            self._lock.release()

    def eject(self, state, now):
        """Eject a target unless the rest could not bear the load.

        Parameters
        ----------
        state : TargetState
            The target; the caller holds no lock of it.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            True when it is newly ejected.
        """
        if state.ejected_until > now or not self._spares(state, now):
            return False
        # A target that did well since its return starts at the first step.
        quiet = now - state.ejected_until > state.limits.eject_time * MAX_BACKOFF
        state.ejections = 0 if quiet else min(state.ejections + 1, 10)
        factor = min(MAX_BACKOFF, 2**state.ejections)
        length = state.limits.eject_time * factor * random.uniform(*JITTER)
        state.ejected_until = now + length
        return True

    def _eject_outlier(self, state, now):
        estimate = state.estimate
        factor = state.limits.eject_outlier
        if (
            factor <= 0
            or state.ejected_until > now
            or estimate.samples < MIN_OUTLIER_SAMPLES
            or estimate.read_latency(now, self.typical_latency)
            < factor * self.typical_latency
        ):
            return False
        return self.eject(state, now)

    def _spares(self, state, now):
        """Tell whether the other targets can bear the load without one."""
        rest = [s for s in self.states if s is not state and s.accepts_work(now)]
        ejected = sum(s.ejected_until > now for s in self.states)
        if ejected + 1 > MAX_EJECTED_SHARE * len(self.states):
            return False
        slots = sum(s.limits.slots for s in rest)
        load = sum(s.estimate_load(now) for s in rest) + state.in_flight
        return load <= MAX_UTILISATION * slots

    def _release_if_overloaded(self, now):
        """Return the target whose ejection ends first if the load grew."""
        ejected = [s for s in self.states if s.ejected_until > now]
        if not ejected:
            return
        rest = [s for s in self.states if s.accepts_work(now)]
        if sum(s.estimate_load(now) for s in rest) > sum(s.limits.slots for s in rest):
            min(ejected, key=lambda s: s.ejected_until).ejected_until = now
