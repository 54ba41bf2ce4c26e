"""Dispatch of calls: choose a target, send the request, retry on failure."""

import random
import time
import uuid
from dataclasses import dataclass, replace

from expression import Error, Ok

from .hedges import Hedger
from .policy.policies import PolicyContext
from .upstream import Attempt, CallerGone, send_attempt
from .verdict import Reason, fail_uncertain, refuse

# A target choice is based on state that changes quickly. After a pause of the
# process between choice and send, a new choice is made.
MAX_DECISION_AGE_S = 0.25
LEASE_RETRY_INTERVAL_S = 0.01
# Failures that another attempt would not resolve.
_NON_RETRYABLE_REASONS = frozenset(
    (
        Reason.CALLER_GONE,
        Reason.MALFORMED,
        Reason.NO_CAPACITY,
        Reason.NO_LEASE,
        Reason.TOO_LARGE,
    )
)
# Failures that occur before any target was chosen.
_NO_TARGET_REASONS = frozenset((Reason.NO_CAPACITY, Reason.NO_LEASE))


@dataclass(frozen=True)
class Decision:
    """The target chosen for one attempt.

    Attributes
    ----------
    state : TargetState
        The target.
    lease : Lease or None
        The lease that permits the request; only targets in cold start need one.
    time : float
        Monotonic time of the decision in seconds.
    """

    state: object
    lease: object
    time: float


@dataclass(frozen=True)
class Relay:
    """A response being relayed and the resources that it holds until its end.

    Attributes
    ----------
    state : TargetState
        The target that responds.
    lease : Lease or None
        The lease under which the request was sent.
    response : TargetResponse
        The response, whose head has arrived.
    target_time : float
        Seconds from the start of the attempt to the head of the response.
    is_success : bool
        False if the status counts as a failure of the target.
    """

    state: object
    lease: object
    response: object
    target_time: float
    is_success: bool


class Dispatcher:
    """Chooses targets for calls, sends the requests and retries them.

    Parameters
    ----------
    directory : TargetDirectory
        Targets and configuration in force.
    pools : PoolDirectory
        Connections to targets.
    admissions : AdmissionDirectory
        Admission and budgets by service.
    leases : LeaseClient
        Source of cold-start leases.
    membership : Membership
        Reports whether this host may serve.
    metrics : Metrics
        Counters.
    policies : Registry
        Load-balancing policies by name.
    outcomes : OutcomeRecorder
        Records the outcomes of attempts for each target.
    data_centre : str
        Data centre of this host.
    """

    def __init__(
        self,
        *,
        directory,
        pools,
        admissions,
        leases,
        membership,
        metrics,
        policies,
        outcomes,
        data_centre,
    ):
        self.directory = directory
        self.pools = pools
        self.admissions = admissions
        self.leases = leases
        self.membership = membership
        self.metrics = metrics
        self.policies = policies
        self.outcomes = outcomes
        self.data_centre = data_centre
        self._hedger = Hedger(self.attempt, lambda relay: self.end_relay(relay, False))

    def admit(self, call):
        """Buffer the request body and wait for an admission slot.

        Parameters
        ----------
        call : Call
            The call.

        Returns
        -------
        expression.Result
            Ok with the ServiceAdmission that granted the slot, or an Error with
            a Failure.
        """
        refusal = self.membership.check_serving()
        if refusal is not None:
            return Error(refusal)
        limit = self._read_service_value("request.replay_body", call.service)
        try:
            call.body.buffer(limit)
        except CallerGone as error:
            return Error(refuse(error.reason, str(error), error.status))
        except TimeoutError:
            return Error(refuse(Reason.DEADLINE, "the request body was late"))
        admission = self.admissions.find(call.service)
        if admission is None:
            return Error(refuse(Reason.UNKNOWN_SERVICE, "the service ended", 404))
        return admission.acquire_slot(call.deadline).map(lambda _: admission)

    def send(self, call, admission):
        """Make attempts until a response begins or no retry is allowed.

        Parameters
        ----------
        call : Call
            An admitted call.
        admission : ServiceAdmission
            The admission that granted the call its slot.

        Returns
        -------
        expression.Result
            Ok with a Relay, or an Error with the Failure to report. A failure
            after which the request may have run takes precedence over one that
            proves that it did not run.
        """
        admission.record_first_attempt()
        attempt_limit = self._read_service_value("retry.attempts", call.service)
        tried = set()
        reported_failure = None
        for number in range(attempt_limit):
            outcome = self._hedger.attempt(call, admission, tried, number)
            if outcome.is_ok():
                admission.record_answered()
                return outcome
            failure = outcome.error
            if failure.reason is Reason.TARGET_REFUSED:
                admission.record_refused()
            # The failure of an attempt is more informative than the lack of
            # further targets, so the latter does not replace it.
            no_target_found = failure.reason in _NO_TARGET_REASONS
            if reported_failure is None or (
                reported_failure.proves_not_run and not no_target_found
            ):
                reported_failure = failure
            is_last_attempt = number + 1 == attempt_limit
            if is_last_attempt or not self._may_repeat(call, admission, failure):
                break
        return Error(reported_failure)

    def attempt(self, call, tried, number, cancellation=None, hedge=False):
        """Choose a target and send the request to it once.

        Parameters
        ----------
        call : Call
            The call.
        tried : set of TargetState
            Targets to exclude; the chosen target is added.
        number : int
            Number of attempts that this host has already made.
        cancellation : Cancellation or None, default=None
            Lets another thread cancel the attempt.
        hedge : bool, default=False
            Whether this is a hedge, sent while another attempt is in progress.

        Returns
        -------
        expression.Result
            Ok with a Relay, or an Error with a Failure.
        """
        choose = self._choose_idle if hedge else self._choose_or_wait_for_lease
        chosen = choose(call, tried)
        if chosen.is_error():
            return chosen
        decision = chosen.ok
        state = decision.state
        tried.add(state)
        attempt = self._build_attempt(call, decision, number)
        pool = self.pools.find(state.target.address)
        if cancellation is not None:
            attempt = replace(attempt, guard=cancellation.guard(attempt.guard))
            pool = cancellation.wrap(pool)
        self.metrics.increment("hedges.sent" if hedge else "attempts.sent")
        state.begin()
        started = time.monotonic()
        outcome = Error(fail_uncertain(Reason.INTERNAL, "the attempt broke off"))
        try:
            outcome = send_attempt(pool, state.limits, attempt)
        finally:
            if outcome.is_error():
                state.end()
                if cancellation is not None and cancellation.cancelled:
                    self._record_cancelled(decision, time.monotonic() - started)
                else:
                    self._record_failure(decision, outcome.error)
        if outcome.is_error():
            return outcome
        target_time = time.monotonic() - started
        is_success = self.outcomes.record_response_head(state, outcome.ok)
        return Ok(Relay(state, decision.lease, outcome.ok, target_time, is_success))

    def end_relay(self, relay, whole):
        """Release the resources that a response held.

        Parameters
        ----------
        relay : Relay
            The response.
        whole : bool
            Whether its body was read completely.
        """
        if whole:
            relay.response.finish()
            # A success is recorded only after the body. If the head counted, a
            # target whose bodies break off would never be ejected.
            if relay.is_success:
                relay.state.record_success(relay.target_time)
        else:
            relay.response.abort()
        relay.state.end()
        if relay.lease is not None:
            self.leases.release_if_finished(relay.lease, finished=whole, whole=whole)

    def record_broken_response(self, relay):
        """Count a truncated response as a failure of its target.

        Parameters
        ----------
        relay : Relay
            The response.
        """
        self.metrics.increment(f"attempts.failed.{Reason.TRUNCATED}")
        # Under a lease, the target truncates the response at the deadline in
        # Response-Deadline, as requested. This is not a failure.
        if relay.lease is None:
            self.outcomes.count_failure(relay.state)

    def _read_service_value(self, key, service):
        return self.directory.table.configuration.service_value(key, service)

    def _may_repeat(self, call, admission, failure):
        """Tell whether another attempt is allowed after a failure."""
        if failure.reason in _NON_RETRYABLE_REASONS:
            return False
        if not failure.proves_not_run and not call.idempotent:
            return False
        # Retries at each level of a call chain would multiply, so only the
        # first level retries.
        if call.prior_retries > 0 or not call.body.replayable:
            return False
        if time.time() >= call.deadline:
            return False
        allowed = admission.take_retry(failure.proves_not_run)
        self.metrics.increment("retries.sent" if allowed else "retries.over_budget")
        return allowed

    def _choose(self, call, tried):
        """Return a decision for a target with a free slot."""
        now = time.monotonic()
        cold, warm = self._find_candidates(call, tried, now)
        if cold:
            decision = self._choose_cold(call, cold, bool(warm))
            if decision is not None:
                return Ok(decision)
        if warm:
            return Ok(Decision(self._apply_policy(call, warm, now), None, now))
        if cold:
            return Error(refuse(Reason.NO_LEASE, "all targets left are in cold start"))
        return Error(refuse(Reason.NO_CAPACITY, "no target can take the request"))

    def _choose_or_wait_for_lease(self, call, tried):
        """Return a decision; wait for a lease for up to ``queue.wait`` seconds."""
        end = time.monotonic() + self._read_service_value("queue.wait", call.service)
        while True:
            chosen = self._choose(call, tried)
            if chosen.is_ok() or chosen.error.reason is not Reason.NO_LEASE:
                return chosen
            if time.monotonic() >= end or time.time() >= call.deadline:
                return chosen
            time.sleep(LEASE_RETRY_INTERVAL_S)

    def _choose_idle(self, call, tried):
        """Return a decision for a warm target with an estimated free slot."""
        now = time.monotonic()
        _, warm = self._find_candidates(call, tried, now)
        # A hedge is sent only to a target with a free slot. Elsewhere it would
        # queue and add load to targets that are already busy.
        idle = [s for s in warm if s.estimate_load(now) + 1.0 <= s.limits.slots]
        if not idle:
            return Error(refuse(Reason.NO_CAPACITY, "no target is idle"))
        return Ok(Decision(self._apply_policy(call, idle, now), None, now))

    def _find_candidates(self, call, tried, now):
        """Return the cold targets that accept work and the warm, ready ones."""
        cold, warm = [], []
        states = self.directory.table.services.get(call.service, ())
        if states and (ejected := states[0].outlier_detector.review(now)):
            self.metrics.increment("targets.ejected", ejected)
        for state in states:
            if state in tried:
                continue
            if not state.is_ready(now):
                if state.is_cold and state.accepts_work(now):
                    cold.append(state)
            else:
                warm.append(state)
        return cold, warm

    def _apply_policy(self, call, candidates, now):
        """Return the target that the policy chooses, subject to return ramps."""
        policy = self.policies.find(
            self._read_service_value("balance.policy", call.service)
        )
        context = PolicyContext(self.data_centre, now)
        chosen = policy(candidates, context)
        # The ramp limits the share of the requests that the policy assigns to a
        # returned target. Thinning out the candidates instead would let through
        # far more, since a returned target is idle and the policy prefers it.
        if chosen.returned_at is None or random.random() < chosen.compute_return_share(
            now
        ):
            return chosen
        others = [state for state in candidates if state.returned_at is None]
        # With no other candidate, the ramp is ignored: refusing the call would
        # do more harm than loading the returned target early.
        return policy(others, context) if others else chosen

    def _choose_cold(self, call, cold, has_warm):
        """Lease a slot of a target in cold start; return None if none is granted."""
        for state in self.leases.select(cold, has_warm):
            lease = self.leases.acquire(state, call.deadline, has_warm)
            if lease is not None:
                return Decision(state, lease, time.monotonic())
        return None

    def _build_attempt(self, call, decision, number):
        """Return the attempt for a decision, with its headers and its guard."""
        attempt_id = uuid.uuid4().hex
        headers = dict(call.headers)
        headers["Request-Id"] = call.request_id
        headers["Attempt-Id"] = attempt_id
        deadline = call.deadline
        if decision.lease is not None:
            deadline = min(deadline, decision.lease.expires_at)
            headers["Response-Deadline"] = str(int(deadline * 1000))
        headers["Request-Deadline"] = str(int(deadline * 1000))
        if call.prior_retries + number:
            headers["Request-Attempt"] = str(call.prior_retries + number)
        if call.body.exists and call.body.length is not None:
            headers["Content-Length"] = str(call.body.length)
        return Attempt(
            method=call.method,
            path=call.path,
            headers=headers,
            body=call.body,
            attempt_id=attempt_id,
            deadline=deadline,
            guard=lambda: self._check_send(decision, deadline),
            caller_socket=call.caller_socket,
            idempotent=call.idempotent,
        )

    def _check_send(self, decision, deadline):
        """Return the failure that forbids sending the first byte, or None."""
        refusal = self.membership.check_serving()
        if refusal is not None:
            return refusal
        if not decision.state.accepts_work(time.monotonic()):
            return refuse(Reason.STALE_DECISION, "the target stopped taking work")
        if decision.lease is None and decision.state.is_cold:
            return refuse(Reason.STALE_DECISION, "the target turned cold")
        # The clocks are read last so that any pause before this point counts
        # towards the age of the decision.
        if time.monotonic() - decision.time > MAX_DECISION_AGE_S:
            return refuse(Reason.STALE_DECISION, "the decision was too old to act on")
        if time.time() >= deadline:
            return refuse(Reason.DEADLINE, "the deadline passed before the send")
        return None

    def _record_cancelled(self, decision, elapsed_s):
        """Record an attempt cancelled because another attempt was answered."""
        self.metrics.increment("attempts.cancelled")
        decision.state.record_cancelled(elapsed_s)
        if decision.lease is not None:
            # The target may still be processing the request, so the lease is
            # kept until it expires.
            self.leases.release_if_finished(decision.lease, finished=False)

    def _record_failure(self, decision, failure):
        """Record a failed attempt and release its lease if nothing ran."""
        self.metrics.increment(f"attempts.failed.{failure.reason}")
        if failure.invalid_response:
            self.metrics.increment("responses.invalid")
        if decision.lease is not None:
            self.leases.release_if_finished(
                decision.lease, finished=failure.proves_not_run
            )
        self.outcomes.record_failure(decision.state, failure)
