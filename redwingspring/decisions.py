"""Log lines for decisions, bounded in rate."""

import logging
import threading

from .clock import read_clock

logger = logging.getLogger(__name__)

LINES_PER_S = 150.0
BURST_LINES = 400.0


class DecisionLog:
    """Writes one structured line for each decision.

    Lines beyond the rate are counted instead of written, so that the volume stays
    bounded under load.

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
        self._filled_at = clock()

    def record(self, event, level=logging.INFO, **fields):
        """Write a line.

        Parameters
        ----------
        event : str
            What was decided.
        level : int, default=logging.INFO
            Level of the line.
        **fields : object
            Request id, inputs, their age or version, and the outcome.
        """
        if not self._take():
            self._metrics.increment("logs.suppressed")
            return
        known = {name: value for name, value in fields.items() if value is not None}
        logger.log(level, event, extra={"fields": known})

    def _take(self):
        with self._lock:
            now = self._clock()
            gained = (now - self._filled_at) * LINES_PER_S
            self._tokens = min(BURST_LINES, self._tokens + gained)
            self._filled_at = now
            if self._tokens < 1.0:
                return False
            self._tokens -= 1.0
            return True
