"""Dispatch of routed calls: what the attempts of all calls share."""

from dataclasses import dataclass

from expression import Error

from .callertimeouts import CallerTimeouts
from .clock import read_clock
from .deliveries import Delivery
from .placement import ResponseStatistics
from .verdict import Reason
from .waitpolicy import RequestTiming, choose_retry_after
from .waitqueues import WaitQueues

# A refusal may be a race for the last slot, and a slow answer a short spell.
_WEIGHTS = {Reason.TARGET_REFUSED: 0.4, Reason.NO_ANSWER: 0.5}
# Failures that say nothing about the target.
_NO_ROOM = frozenset((Reason.NO_CAPACITY, Reason.DEADLINE))
_BLAMELESS = frozenset(
    (Reason.CALLER_GONE, Reason.DEADLINE, Reason.STALE_DECISION, Reason.MALFORMED)
)


@dataclass(frozen=True)
class RoutedCall:
    """One request of a caller on a route.

    Attributes
    ----------
    request_id : str
        Identifies the caller's attempt.
    route : Route
        Its route.
    service : RoutedService
        The service that answers it.
    method : str
        HTTP method.
    path : str
        Path and query.
    headers : dict of str to str
        End-to-end headers.
    body : RequestBody
        The request body.
    received_at : float
        When the request arrived.
    deadline : float
        When it must have been answered.
    caller_socket : socket.socket or None
        The caller's connection.
    prior_wait_s : float, default=0.0
        Seconds that the caller had waited before this request arrived.
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


@dataclass(frozen=True)
class Rejection:
    """A failure with the time after which the caller should come back.

    Attributes
    ----------
    failure : Failure
        The failure.
    retry_after_s : float or None
        Seconds; None when the caller should not wait for anything.
    """

    failure: object
    retry_after_s: float | None = None


class RouteDispatcher:
    """Finds a place for a routed call and sends it there.

    Parameters
    ----------
    directory : InstanceDirectory
        Instances of all services.
    dialect : module
        Headers that targets understand.
    retries : RetryShare
        Share of arrivals beyond the first of each request.
    probes : ProbeShare
        Share of probes.
    cold : ColdShare
        Share of requests to cold targets.
    hosts : HostCount
        Number of hosts that share the targets.
    metrics : Metrics
        Counters.
    decisions : DecisionLog
        Takes one line for each decision.
    data_centre : str
        Where this host is.
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
        self.caller_timeouts = CallerTimeouts()
        self.cold = cold
        self.hosts = hosts
        self.metrics = metrics
        self.decisions = decisions
        self.data_centre = data_centre
        self.regions = regions
        self.clock = clock

    def send(self, call):
        """Make attempts until one is answered or none is allowed.

        Parameters
        ----------
        call : RoutedCall
            The call.

        Returns
        -------
        expression.Result
            Ok with an Answer, or an Error with a Rejection.
        """
        self.retries.record_request(call.service.name)
        outcome = Delivery(self, call).run()
        if outcome.is_ok():
            return outcome
        failure = outcome.error
        retry_after = None
        if failure.proves_not_run:
            waiting = len(self.wait_queues.find(call.service.name))
            if failure.reason in _NO_ROOM:
                # The request itself was the last in line.
                waiting += 1
            retry_after = choose_retry_after(self.build_timing(call), waiting)
        return Error(Rejection(failure, retry_after))

    def build_timing(self, call):
        """Return what the decisions on waiting need to know of a call.

        Parameters
        ----------
        call : RoutedCall
            The call.

        Returns
        -------
        RequestTiming
            As of now.
        """
        now = self.clock()
        return RequestTiming(
            now - call.received_at,
            call.deadline - now,
            call.route.target_latency_s,
            self.statistics.estimate_work_s(call.route),
            call.prior_wait_s,
        )

    def find_instances(self, call):
        """Return the instances that may run a call.

        Parameters
        ----------
        call : RoutedCall
            The call.

        Returns
        -------
        tuple of InstanceState
            Those of the service whose region the route allows.
        """
        states = self.directory.view.services.get(call.service.name, ())
        allowed = call.route.regions
        if not allowed:
            return states
        return tuple(
            s for s in states if self.regions.get(s.instance.data_centre) in allowed
        )

    def may_send_without_probe(self, states):
        """Tell whether a request may be placed without fresh load of a target.

        Load pattern: in a long burst the share of probes is used up. Hosts that
        then sent wherever they had nothing in progress filled the queues of
        targets, where requests waited past their use.

        Parameters
        ----------
        states : sequence of InstanceState
            Instances of the service.

        Returns
        -------
        bool
            True while this host uses less than its share of the slots.
        """
        slots = sum(state.instance.slots for state in states)
        in_progress = sum(state.in_flight for state in states)
        return in_progress < max(1.0, slots / self.hosts.value)

    def record_failure(self, state, failure):
        """Count a failure against an instance unless it has another cause.

        Parameters
        ----------
        state : InstanceState
            The instance.
        failure : Failure
            What happened.
        """
        if failure.reason in _BLAMELESS:
            return
        self.metrics.increment(f"attempts.failed.{failure.reason}")
        weight = _WEIGHTS.get(failure.reason, 1.0)
        if state.record_failure(self.clock(), weight):
            self.decisions.record(
                "instance ejected",
                instance=state.instance.id,
                reason=str(failure.reason),
                detail=failure.detail,
                failures=state.failures,
            )
