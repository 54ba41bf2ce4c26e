"""Dispatch of routed calls, and the state that their attempts share."""

from dataclasses import dataclass

from expression import Error

from .clock import read_clock
from .deliveries import Delivery
from .policy.callertimeouts import CallerTimeouts
from .policy.placement import ResponseStatistics
from .policy.precedence import (
    NO_PRESSURE,
    Precedence,
    compute_wait_factor,
    has_pressure,
)
from .policy.pressure import Pressures, has_room
from .policy.waitpolicy import PROBE_INTERVAL_S, RequestTiming, choose_retry_after
from .policy.waitqueues import WaitQueues
from .upstream import allow_stream
from .verdict import Reason

# Failures that count less than 1 towards the ejection of an instance: a refusal may
# come from a race for the last slot, a missing answer from a short slow period.
_FAILURE_WEIGHTS = {Reason.TARGET_REFUSED: 0.4, Reason.NO_ANSWER: 0.5}
# Reasons with which a request is rejected because no target was found in time.
_QUEUE_REASONS = frozenset((Reason.NO_CAPACITY, Reason.DEADLINE))
# Reasons that do not count as failures of the target.
_NEUTRAL_REASONS = frozenset(
    (Reason.CALLER_GONE, Reason.DEADLINE, Reason.STALE_DECISION, Reason.MALFORMED)
)


@dataclass(frozen=True)
class RoutedCall:
    """One request of a caller on a route.

    Attributes
    ----------
    request_id : str
        Identifies the attempt of the caller.
    route : Route
        Route of the request.
    service : RoutedService
        Service that answers the request.
    method : str
        HTTP method.
    path : str
        Path and query string.
    headers : dict of str to str
        End-to-end headers.
    body : RequestBody
        The request body.
    received_at : float
        When the request arrived.
    deadline : float
        Time by which the request must be answered.
    caller_socket : socket.socket or None
        The caller's connection.
    prior_wait_s : float, default=0.0
        Seconds that the caller had waited before this request arrived.
    begin_stream : callable, optional
        Called before a long response is relayed in parts; returns whether it may be.
    profile : ServiceProfile or None, default=None
        What the routes of the service have in common.
    """

    request_id: str
    route: object
    service: object
    method: str
    path: str
    headers: dict
    body: object
    received_at: float
    deadline: float
    caller_socket: object
    prior_wait_s: float = 0.0
    begin_stream: object = allow_stream
    profile: object = None


@dataclass(frozen=True)
class Rejection:
    """A failure with the time after which the caller should retry.

    Attributes
    ----------
    failure : Failure
        The failure.
    retry_after_s : float or None
        Seconds; None if no retry time is given.
    """

    failure: object
    retry_after_s: float | None = None


class RouteDispatcher:
    """Sends each routed call to a target that it chooses.

    Parameters
    ----------
    directory : InstanceDirectory
        Instances of all services.
    dialect : module
        Reads and writes the headers that targets understand.
    retries : RetryShare
        Share of this host in the attempts after the first of each request.
    probes : ProbeShare
        Share of this host in the probes.
    cold : ColdShare
        Share of this host in the requests to cold targets.
    hosts : HostCount
        Number of hosts that share the targets.
    subsets : TargetSubsets
        Targets that this host prefers.
    metrics : Metrics
        Counters.
    decisions : DecisionLog
        Logs one line for each decision.
    data_centre : str
        Data centre of this host.
    regions : mapping of str to str
        Region of each data centre.
    clock : callable, default=read_clock
        Returns seconds.
    """

    def __init__(
        self,
        *,
        directory,
        dialect,
        retries,
        probes,
        cold,
        hosts,
        subsets,
        metrics,
        decisions,
        data_centre,
        regions,
        clock=read_clock,
    ):
        self.directory = directory
        self.dialect = dialect
        self.retries = retries
        self.probes = probes
        self.wait_queues = WaitQueues()
        self.statistics = ResponseStatistics()
        self.pressures = Pressures(clock)
        self.caller_timeouts = CallerTimeouts()
        self.cold = cold
        self.hosts = hosts
        self.subsets = subsets
        self.metrics = metrics
        self.decisions = decisions
        self.data_centre = data_centre
        self.regions = regions
        self.clock = clock

    def send(self, call):
        """Make attempts until one is answered or no more are allowed.

        Parameters
        ----------
        call : RoutedCall
            The call.

        Returns
        -------
        expression.Result
            Ok with an UpstreamResponse, or an Error with a Rejection.
        """
        self.retries.record_request(call.service.name)
        outcome = Delivery(self, call).run()
        if outcome.is_ok():
            return outcome
        failure = outcome.error
        retry_after = None
        if failure.proves_not_run:
            waiting = len(self.wait_queues.find(call.service.name))
            if failure.reason in _QUEUE_REASONS:
                # The rejected request has left the queue but counts as waiting.
                waiting += 1
            retry_after = choose_retry_after(
                self.build_timing(call),
                waiting,
                backoff_s=self.compute_backoff_s(call),
            )
        return Error(Rejection(failure, retry_after))

    def build_timing(self, call):
        """Return the times of a call, on which decisions on waiting depend.

        Parameters
        ----------
        call : RoutedCall
            The call.

        Returns
        -------
        RequestTiming
            Relative to the current time.
        """
        now = self.clock()
        return RequestTiming(
            now - call.received_at,
            call.deadline - now,
            call.route.target_latency_s,
            self.statistics.estimate_work_s(call.route),
            call.prior_wait_s,
            self.choose_precedence(call),
        )

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
        service = call.service.name
        profile = call.profile
        if True:
            return NO_PRESSURE
        full_share = self.pressures.find(service).full_share
        if not has_pressure(full_share, profile, PROBE_INTERVAL_S):
            return NO_PRESSURE
        factor = compute_wait_factor(
            call.route.priority,
            profile,
            self.statistics.estimate_work_s(call.route),
            self.statistics.estimate_least_work_s(service),
        )
        return Precedence(True, factor)

    def record_sample(self, service, sample):
        """Record a fresh load sample of a target as a measure of the pressure.

        Parameters
        ----------
        service : str
            Name of its service.
        sample : LoadSample
            The load.
        """
        slowdown = self.statistics.estimate_nearly_full_slowdown(service)
        self.pressures.find(service).record(has_room(sample, slowdown))

    def find_instances(self, call):
        """Return the instances that may run a call.

        Parameters
        ----------
        call : RoutedCall
            The call.

        Returns
        -------
        tuple of InstanceState
            Instances of the service in the regions that the route allows, without
            those that currently want no requests of this host.
        """
        now = self.clock()
        states = self._find_listed(call)
        return tuple(state for state in states if not state.is_backing_off(now))

    def choose_preferred(self, call):
        """Return the targets that this host prefers for a call.

        Parameters
        ----------
        call : RoutedCall
            The call.

        Returns
        -------
        frozenset of str
            Ids of instances.
        """
        service = call.service.name
        states = self.directory.view.services.get(service, ())
        return self.subsets.choose(
            service, states, self.retries.count_requests(service)
        )

    def compute_backoff_s(self, call):
        """Return after how long the first target of a call accepts requests again.

        Parameters
        ----------
        call : RoutedCall
            The call.

        Returns
        -------
        float
            Seconds; 0 unless all its targets want no requests of this host.
        """
        states = self._find_listed(call)
        end = min((state.backoff_until for state in states), default=float("-inf"))
        return max(0.0, end - self.clock())

    def _find_listed(self, call):
        """Return the instances of a call's service in the regions of its route."""
        states = self.directory.view.services.get(call.service.name, ())
        allowed = call.route.regions
        if not allowed:
            return states
        return tuple(
            s for s in states if self.regions.get(s.instance.data_centre) in allowed
        )

    def may_send_without_probe(self, states):
        """Tell whether a request may be sent to a target without its fresh load.

        Load pattern: in a long burst the share of probes is used up. Hosts that
        then sent to every target where they had no request in progress filled the
        queues of the targets, and requests waited there until they were late.

        Parameters
        ----------
        states : sequence of InstanceState
            Instances of the service.

        Returns
        -------
        bool
            True while this host uses less than an equal share of the slots.
        """
        slots = sum(state.instance.slots for state in states)
        in_progress = sum(state.in_flight for state in states)
        return in_progress < max(1.0, slots / self.hosts.value)

    def record_failure(self, state, failure):
        """Count a failure against an instance unless its reason is neutral.

        Parameters
        ----------
        state : InstanceState
            The instance.
        failure : Failure
            The failure.
        """
        if failure.reason in _NEUTRAL_REASONS:
            return
        self.metrics.increment(f"attempts.failed.{failure.reason}")
        backoff_s = state.backoff_until - self.clock()
        if failure.reason is Reason.TARGET_REFUSED and backoff_s > 0:
            self.decisions.record(
                "instance backs off",
                instance=state.instance.id,
                backoff_s=round(backoff_s, 2),
            )
        weight = _FAILURE_WEIGHTS.get(failure.reason, 1.0)
        if state.record_failure(self.clock(), weight):
            self.decisions.record(
                "instance ejected",
                instance=state.instance.id,
                reason=str(failure.reason),
                detail=failure.detail,
                failures=state.failures,
            )
