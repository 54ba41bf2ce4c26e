"""Attempts to have a call answered: choose a target, send, try again."""

import random
import time
import uuid
from dataclasses import dataclass, replace

from expression import Error, Ok

from .hedges import Hedger
from .policies import PolicyContext
from .upstream import Attempt, CallerGone, send_attempt
from .verdict import Reason, fail_uncertain, refuse

# A decision rests on state of that moment; after a pause of the process it
# is made again.
MAX_DECISION_AGE_S = 0.25
LEASE_RETRY_S = 0.01
_FINAL_REASONS = frozenset(
    (
        Reason.CALLER_GONE,
        Reason.MALFORMED,
        Reason.NO_CAPACITY,
        Reason.NO_LEASE,
        Reason.TOO_LARGE,
    )
)
# Failures to choose a target.
_CHOICE_REASONS = frozenset((Reason.NO_CAPACITY, Reason.NO_LEASE))


@dataclass(frozen=True)
class Decision:
    """The target chosen for one attempt.

    Attributes
    ----------
    state : TargetState
        The target.
    lease : Lease or None
        Held for a target in cold start.
    time : float
        Monotonic time of the decision in seconds.
    """

    state: object
    lease: object
    time: float


@dataclass(frozen=True)
class Relay:
    """A response that began, and what it holds until its end.

    Attributes
    ----------
    state : TargetState
        Its target.
    lease : Lease or None
        The lease it was sent under.
    response : TargetResponse
        The response.
    target_time : float
        Seconds from the start of the attempt to the head of the response.
    good : bool
        Whether the status is none that counts as a failure.
    """

    state: object
    lease: object
    response: object
    target_time: float
    good: bool


class Dispatcher:
    """Finds a target for a call and sends it there.

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
        Tells whether this host may serve.
    metrics : Metrics
        Counters.
    policies : Registry
        Target choice policies by name.
    outcomes : OutcomeRecorder
        Takes what attempts tell about targets.
    data_centre : str
        Where this host is.
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
        """Wait for a place for a call.

        Parameters
        ----------
        call : Call
            The call.

        Returns
        -------
        expression.Result
            Ok with the ServiceAdmission entered, or an Error with a Failure.
        """
        refusal = self.membership.check_serving()
        if refusal is not None:
            return Error(refusal)
        limit = self._service_value("request.replay_body", call.service)
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
        """Make attempts until a response begins or none is allowed.

        Parameters
        ----------
        call : Call
            An admitted call.
        admission : ServiceAdmission
            The admission it entered.

        Returns
        -------
        expression.Result
            Ok with a Relay, or an Error with the Failure that counts: one
            without proof goes before one that proves that nothing ran.
        """
        admission.record_first_attempt()
        most = self._service_value("retry.attempts", call.service)
        tried = set()
        worst = None
        for number in range(most):
            outcome = self._hedger.attempt(call, admission, tried, number)
            if outcome.is_ok():
                admission.record_answered()
                return outcome
            failure = outcome.error
            if failure.reason is Reason.TARGET_REFUSED:
                admission.record_refused()
            # That no other target is left says less than why one failed.
            none_left = failure.reason in _CHOICE_REASONS
            if worst is None or (worst.proves_not_run and not none_left):
                worst = failure
            last = number + 1 == most
            if last or not self._may_repeat(call, admission, failure):
                break
        return Error(worst)

    def attempt(self, call, tried, number, cancellation=None, hedge=False):
        """Choose a target and send a call to it once.

        Parameters
        ----------
        call : Call
            The call.
        tried : set of TargetState
            Targets to leave out; the chosen one is added.
        number : int
            Attempts already made by this host.
        cancellation : Cancellation or None, default=None
            Lets another thread end the attempt.
        hedge : bool, default=False
            Whether another attempt is in progress.

        Returns
        -------
        expression.Result
            Ok with a Relay, or an Error with a Failure.
        """
        choose = self._choose_idle if hedge else self._choose_in_time
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
        good = self.outcomes.record_response_head(state, outcome.ok)
        return Ok(Relay(state, decision.lease, outcome.ok, target_time, good))

    def end_relay(self, relay, whole):
        """Free what a response held.

        Parameters
        ----------
        relay : Relay
            The response.
        whole : bool
            Whether its body was read to the end.
        """
        if whole:
            relay.response.finish()
            # The head alone is no success: a target whose bodies break off
            # would never be ejected.
            if relay.good:
                relay.state.record_success(relay.target_time)
        else:
            relay.response.abort()
        relay.state.end()
        if relay.lease is not None:
            self.leases.release_if_finished(relay.lease, finished=whole, whole=whole)

    def record_broken(self, relay):
        """Count a response that broke off against its target.

        Parameters
        ----------
        relay : Relay
            The response.
        """
        self.metrics.increment(f"attempts.failed.{Reason.TRUNCATED}")
        # A target cuts a response at the end of its lease, as asked for.
        if relay.lease is None:
            self.outcomes.count_failure(relay.state)

    def _service_value(self, key, service):
        return self.directory.table.configuration.service_value(key, service)

    def _may_repeat(self, call, admission, failure):
        """Tell whether another attempt is allowed after a failure."""
        if failure.reason in _FINAL_REASONS:
            return False
        if not failure.proves_not_run and not call.idempotent:
            return False
        # A retry at each of many levels would multiply, so only the first
        # level retries.
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

    def _choose_in_time(self, call, tried):
        """Choose, and wait for a lease as long as a request may be queued."""
        end = time.monotonic() + self._service_value("queue.wait", call.service)
        while True:
            chosen = self._choose(call, tried)
            if chosen.is_ok() or chosen.error.reason is not Reason.NO_LEASE:
                return chosen
            if time.monotonic() >= end or time.time() >= call.deadline:
                return chosen
            time.sleep(LEASE_RETRY_S)

    def _choose_idle(self, call, tried):
        """Return a decision for a warm target that should have a free slot."""
        now = time.monotonic()
        _, warm = self._find_candidates(call, tried, now)
        # A hedge that has to wait would only add load where it hurts.
        idle = [s for s in warm if s.estimate_load(now) + 1.0 <= s.limits.slots]
        if not idle:
            return Error(refuse(Reason.NO_CAPACITY, "no target is idle"))
        return Ok(Decision(self._apply_policy(call, idle, now), None, now))

    def _find_candidates(self, call, tried, now):
        """Return the cold targets and the warm ones with a free slot."""
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
        """Return the target that the policy chooses, within the return ramps."""
        policy = self.policies.find(self._service_value("balance.policy", call.service))
        context = PolicyContext(self.data_centre, now)
        chosen = policy(candidates, context)
        # The ramp counts what the policy would send. As a target that returned is
        # idle, a ramp on the candidates alone would let it have far more.
        if chosen.returned_at is None or random.random() < chosen.compute_return_share(
            now
        ):
            return chosen
        others = [state for state in candidates if state.returned_at is None]
        # A return ramp protects the target less than a refusal hurts callers.
        return policy(others, context) if others else chosen

    def _choose_cold(self, call, cold, has_warm):
        """Return a decision for a leased target in cold start, or None."""
        for state in self.leases.select(cold, has_warm):
            lease = self.leases.acquire(state, call.deadline, has_warm)
            if lease is not None:
                return Decision(state, lease, time.monotonic())
        return None

    def _build_attempt(self, call, decision, number):
        """Return the attempt with its headers and its guard."""
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
        """Return why the first byte must not be sent, or None."""
        refusal = self.membership.check_serving()
        if refusal is not None:
            return refusal
        if not decision.state.accepts_work(time.monotonic()):
            return refuse(Reason.STALE_DECISION, "the target stopped taking work")
        if decision.lease is None and decision.state.is_cold:
            return refuse(Reason.STALE_DECISION, "the target turned cold")
        # The clocks are read last, so that a pause before this point counts.
        if time.monotonic() - decision.time > MAX_DECISION_AGE_S:
            return refuse(Reason.STALE_DECISION, "the decision was too old to act on")
        if time.time() >= deadline:
            return refuse(Reason.DEADLINE, "the deadline passed before the send")
        return None

    def _record_cancelled(self, decision, seconds):
        """Note an attempt that this host ended because another was answered."""
        self.metrics.increment("attempts.cancelled")
        decision.state.record_cancelled(seconds)
        if decision.lease is not None:
            # The target may still work on it, so the lease has to expire.
            self.leases.release_if_finished(decision.lease, finished=False)

    def _record_failure(self, decision, failure):
        """Count a failed attempt against its target."""
        self.metrics.increment(f"attempts.failed.{failure.reason}")
        if decision.lease is not None:
            self.leases.release_if_finished(
                decision.lease, finished=failure.proves_not_run
            )
        self.outcomes.record_failure(decision.state, failure)
