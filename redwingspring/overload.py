"""Overload control: which calls give way while their service lacks room."""

from .policy.precedence import (
    NO_PRESSURE,
    Precedence,
    compute_wait_factor,
    has_pressure,
)
from .policy.pressure import Pressures, has_room


class OverloadControl:
    """Chooses the precedence of calls by the pressure on their services.

    Parameters
    ----------
    statistics : ResponseStatistics
        Estimates of the work of each route.
    wait_queues : WaitQueues
        Calls that wait.
    metrics : Metrics
        Counters.
    decisions : DecisionLog
        Receives a line when a service begins to lack room.
    clock : callable
        Returns seconds.
    """

    def __init__(self, statistics, wait_queues, metrics, decisions, clock):
        self._statistics = statistics
        self._wait_queues = wait_queues
        self._metrics = metrics
        self._decisions = decisions
        self._pressures = Pressures(clock)

    def record_sample(self, service, sample):
        """Record a fresh load sample of a target as a measure of the pressure.

        Parameters
        ----------
        service : str
            Name of its service.
        sample : LoadSample
            The load.
        """
        slowdown = self._statistics.estimate_nearly_full_slowdown(service)
        self._pressures.find(service).record(has_room(sample, slowdown))

    def lacks_room(self, call):
        """Tell whether the targets of a call's service have too little room.

        Parameters
        ----------
        call : RoutedCall
            The call.

        Returns
        -------
        bool
            False also if too few targets were sampled.
        """
        if call.profile is None:
            return False
        return has_pressure(self._pressures.find(call.service.name).full_share)

    def choose_precedence(self, call):
        """Return the precedence of a call over others that want the same slots.

        Parameters
        ----------
        call : RoutedCall
            The call.

        Returns
        -------
        Precedence
            ``NO_PRESSURE`` while the service has enough room.
        """
        if not self.lacks_room(call):
            return NO_PRESSURE
        service = call.service.name
        pressure = self._pressures.find(service)
        if not pressure.has_requests_in_time:
            return NO_PRESSURE
        if pressure.record_pressure():
            self._metrics.increment("overload.periods")
            self._decisions.record(
                "service lacks room",
                service=service,
                full_share=round(pressure.full_share, 2),
                waiting=len(self._wait_queues.find(service)),
            )
        factor = compute_wait_factor(
            call.priority,
            call.profile,
            self._statistics.estimate_work_s(call.route),
            self._statistics.estimate_least_work_s(service),
        )
        return Precedence(True, factor)

    def record_arrival(self, service, timing):
        """Record a call that arrives.

        Parameters
        ----------
        service : str
            Name of its service.
        timing : RequestTiming
            Times of the call.
        """
        if not timing.is_late:
            self._pressures.find(service).record_in_time()

    def record_wait(self, timing):
        """Count a call that begins to wait, and whether it gives way to others.

        Parameters
        ----------
        timing : RequestTiming
            Times and precedence of the call.
        """
        if not timing.precedence.has_pressure:
            return
        self._metrics.increment("overload.waits")
        if timing.is_late or timing.precedence.wait_factor < 1.0:
            self._metrics.increment("overload.yields")
