"""Updates of target state from the outcomes of attempts and probes."""

import time

from .loadreports import parse_load_report
from .verdict import Reason

# Failures with these reasons do not count against the target.
_NON_TARGET_REASONS = frozenset(
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
        Receives the number of ejections.
    on_temperature : callable
        Called with a TargetState and its new Temperature.
    """

    def __init__(self, metrics, on_temperature):
        self._metrics = metrics
        self._on_temperature = on_temperature

    def record_response_head(self, state, response):
        """Apply the load report and the status of a response.

        Parameters
        ----------
        state : TargetState
            The target.
        response : TargetResponse
            The response.

        Returns
        -------
        bool
            False when the status counts as a failure of the target.
        """
        report = parse_load_report(response.headers.get("load-report"))
        if report is not None:
            changed = state.record_report(report)
            if changed is not None:
                self._on_temperature(state, changed)
        if response.status >= 500:
            # Otherwise a target that fails fast would look lightly loaded.
            self.count_failure(state)
            return False
        return True

    def record_failure(self, state, failure):
        """Record a failed attempt and count it if its target caused it.

        Parameters
        ----------
        state : TargetState
            The target.
        failure : Failure
            Why the attempt failed.
        """
        if failure.reason is Reason.TARGET_REFUSED:
            state.record_refused()
        if failure.reason not in _NON_TARGET_REASONS:
            self.count_failure(state)

    def count_failure(self, state):
        """Count a failure; enough consecutive failures eject the target.

        Parameters
        ----------
        state : TargetState
            The target.
        """
        if state.record_failure(time.monotonic()):
            self._metrics.increment("targets.ejected")
