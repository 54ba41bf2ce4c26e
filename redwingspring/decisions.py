"""Rate-limited log of decisions."""

import logging
import threading

from .clock import read_clock

logger = logging.getLogger(__name__)

LINES_PER_S = 150.0
BURST_LINES = 400.0


class DecisionLog:
    """Writes one structured log line for each decision.

    A token bucket limits the rate. Lines beyond it are counted instead of written,
    so that the log volume stays bounded under load.

    Parameters
    ----------
    metrics : Metrics
        Counters.
    clock : callable, default=read_clock
        Returns seconds.
    """

    def __init__(self, metrics, clock=read_clock):
        self._metrics = metrics
        self._clock = clock
        self._lock = threading.Lock()
        self._tokens = BURST_LINES
        self._refilled_at = clock()

    def record(self, event, level=logging.INFO, **fields):
        """Write a line unless the rate limit is reached.

        Parameters
        ----------
        event : str
            What was decided.
        level : int, default=logging.INFO
            Logging level of the line.
        **fields : object
            Request id, inputs with their age or version, and the outcome. Fields
            that are None are left out.
        """
        if not self._take_token():
            self._metrics.increment("logs.suppressed")
            return
        known = {name: value for name, value in fields.items() if value is not None}
        logger.log(level, event, extra={"fields": known})

    def _take_token(self):
        with self._lock:
            now = self._clock()
            refill = (now - self._refilled_at) * LINES_PER_S
            self._tokens = min(BURST_LINES, self._tokens + refill)
            self._refilled_at = now
            if self._tokens < 1.0:
                return False
            self._tokens -= 1.0
            return True
