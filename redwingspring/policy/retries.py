"""Budgets that limit retries and hedges to a share of the first attempts."""

import threading

# Lets a service with little traffic retry before first attempts fill the bucket.
INITIAL_TOKENS = 3.0
MAX_TOKENS = 100.0


class AttemptBudget:
    """Token bucket for retries or hedges, filled by first attempts.

    Parameters
    ----------
    share : float
        Extra attempts allowed per first attempt, as a fraction.
    """

    def __init__(self, share):
        self.share = share
        self._lock = threading.Lock()
        self._tokens = INITIAL_TOKENS if share > 0 else 0.0

    def record_first_attempt(self):
        """Add the tokens that one first attempt earns."""
        with self._lock:
            self._tokens = min(MAX_TOKENS, self._tokens + self.share)

    def take(self):
        """Take the token for one extra attempt.

        Returns
        -------
        bool
            False when the budget is used up.
        """
        with self._lock:
            if self._tokens < 1.0:
                return False
            self._tokens -= 1.0
            return True

    def restore(self):
        """Return the token of an extra attempt that was not sent."""
        with self._lock:
            self._tokens = min(MAX_TOKENS, self._tokens + 1.0)
