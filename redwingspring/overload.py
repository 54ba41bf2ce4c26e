"""Overload control: which calls give way while their service lacks room."""

from .mappings import drop_oldest
from .policy.precedence import (
    NO_PRESSURE,
    Precedence,
    compute_wait_factor,
    has_pressure,
)
from .policy.pressure import Pressures, has_room
from .routes import MAX_ROUTES

# A waiting call asks for its precedence for each target of each search. Computed every
# time, it would take a large part of the processor time of an overloaded host.
PRECEDENCE_REUSE_S = 0.02


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
        self._clock = clock
        self._pressures = Pressures(clock)
        self._chosen = {}

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
        key = (call.service.name, call.route.prefix, call.priority)
        now = self._clock()
        reuse_until, precedence = self._chosen.get(key, (float("-inf"), None))
        if now >= reuse_until:
            precedence = self._compute_precedence(call)
            self._chosen[key] = (now + PRECEDENCE_REUSE_S, precedence)
            drop_oldest(self._chosen, MAX_ROUTES)
        return precedence

    def _compute_precedence(self, call):
        if call.profile is None:
            return NO_PRESSURE
        service = call.service.name
        pressure = self._pressures.find(service)
        if not has_pressure(pressure.full_share) or not pressure.has_requests_in_time:
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
