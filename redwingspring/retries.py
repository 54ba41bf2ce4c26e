"""Budgets that keep extra attempts to a share of first attempts."""

import threading

# A service with little traffic may still retry now and then.
INITIAL_TOKENS = 3.0
MAX_TOKENS = 100.0


class AttemptBudget:
    """Token bucket filled by first attempts.

    Parameters
    ----------
    share : float
        Extra attempts allowed for each first attempt, as a fraction.
    """

    def __init__(self, share):
        self.share = share
        self._lock = threading.Lock()
        self._tokens = INITIAL_TOKENS if share > 0 else 0.0

    def record_first_attempt(self):
        """Count a first attempt."""
        with self._lock:
            self._tokens = min(MAX_TOKENS, self._tokens + self.share)

    def take(self):
        """Take one extra attempt from the budget.

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
        """Put back an extra attempt that was not sent."""
        with self._lock:
            self._tokens = min(MAX_TOKENS, self._tokens + 1.0)
