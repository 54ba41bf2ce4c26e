"""What the outcome of an attempt tells about its target."""

import time

from .loadreports import parse_load_report
from .verdict import Reason

# Failures with these reasons say nothing about the target.
_OWN_REASONS = frozenset(
    (
        Reason.CALLER_GONE,
        Reason.DEADLINE,
        Reason.ISOLATED,
        Reason.MALFORMED,
        Reason.NOT_READY,
        Reason.STALE_DECISION,
        Reason.TARGET_REFUSED,
        Reason.TOO_LARGE,
    )
)


class OutcomeRecorder:
    """Records outcomes of requests and probes in the states of targets.

    Parameters
    ----------
    metrics : Metrics
        Counters.
    on_temperature : callable
        Called with a TargetState and its new Temperature.
    """

    def __init__(self, metrics, on_temperature):
        self._metrics = metrics
        self._on_temperature = on_temperature

    def record_response_head(self, state, response):
        """Take what the head of a response tells about its target.

        Parameters
        ----------
        state : TargetState
            The target.
        response : TargetResponse
            The response.

        Returns
        -------
        bool
            False for a status that counts as a failure.
        """
        report = parse_load_report(response.headers.get("load-report"))
        if report is not None:
            changed = state.record_report(report)
            if changed is not None:
                self._on_temperature(state, changed)
        if response.status >= 500:
            # A target that fails fast must not look like a lightly loaded one.
            self.count_failure(state)
            return False
        return True

    def record_failure(self, state, failure):
        """Count a failed attempt against its target.

        Parameters
        ----------
        state : TargetState
            The target.
        failure : Failure
            Why the attempt failed.
        """
        if failure.reason is Reason.TARGET_REFUSED:
            state.record_refused()
        if failure.reason not in _OWN_REASONS:
            self.count_failure(state)

    def count_failure(self, state):
        """Count a failure; eject the target after several in a row.

        Parameters
        ----------
        state : TargetState
            The target.
        """
        if state.record_failure(time.monotonic()):
            self._metrics.increment("targets.ejected")
