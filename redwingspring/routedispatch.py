"""Attempts to have a routed request answered: wait for a place, send, try again."""

import time
from dataclasses import dataclass

from expression import Error, Ok

from .clock import read_clock
from .exchanges import Exchange, Stage, poll_exchanges
from .placement import (
    CandidateQuery,
    Outcome,
    ServiceHistory,
    candidate_policies,
    choose_best,
    is_nearly_full,
    predict_factor,
)
from .upstream import Attempt
from .verdict import Reason, doubt, refuse
from .waiting import (
    LOOK_AGAIN_S,
    Wait,
    accepts_place,
    choose_return_time,
    may_spread,
    needs_ejected,
    should_reject,
)
from .waitinglines import WaitingLines

# Targets asked for their load at once before a send, and how often a request asks
# before it joins the line.
CANDIDATES = 2
FIRST_LOOKS = 2
# Longest wait for the answers to probes.
PROBE_WAIT_S = 0.025
# Wait for further answers after the first acceptable one.
PROBE_GRACE_S = 0.002
# An unanswered probe whose connection is closed after this time.
PROBE_LIMIT_S = 0.5
# Share of the target latency after which an idempotent request is sent to a
# second target.
HEDGE_SHARE = 0.5
# A second target is chosen only if it is fast.
HEDGE_FACTOR = 1.6
HEDGE_AGAIN_S = 0.03
# Part of the extra arrivals that hedges may use; the rest is for retries.
HEDGE_PART = 0.85
# An attempt that takes this many times as long as expected counts as silent.
SILENT_FACTOR = 1.8
# A decision rests on load of that moment; after a pause of the process it is
# made again.
MAX_DECISION_AGE_S = 0.1


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
    received : float
        When the request arrived.
    deadline : float
        When it must have been answered.
    socket : socket.socket or None
        The caller's connection.
    """

    request_id: str
    route: object
    service: object
    method: str
    path: str
    headers: dict
    body: object
    received: float
    deadline: float
    socket: object


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
        self.lines = WaitingLines()
        self.history = ServiceHistory()
        self.cold = cold
        self.metrics = metrics
        self.decisions = decisions
        self.data_centre = data_centre
        self.regions = regions
        self.clock = clock
        self.top_priority = 0

    def apply_table(self, table):
        """Take a newer routing table.

        Parameters
        ----------
        table : RoutingTable
            The table.
        """
        priorities = [r.priority for routes in table.hosts.values() for r in routes]
        self.top_priority = min(priorities, default=0)

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
        delivery = _Delivery(self, call)
        outcome = delivery.run()
        if outcome.is_ok():
            return outcome
        failure = outcome.error
        retry_after = None
        if failure.proves_not_run:
            retry_after = choose_return_time(self.describe_wait(call))
        return Error(Rejection(failure, retry_after))

    def describe_wait(self, call):
        """Return what the decisions on waiting need to know of a call.

        Parameters
        ----------
        call : RoutedCall
            The call.

        Returns
        -------
        Wait
            As of now.
        """
        now = self.clock()
        return Wait(
            now - call.received,
            call.deadline - now,
            call.route.target_latency_s,
            call.route.priority,
            self.top_priority,
            self.history.expect_work(call.route),
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


class _Delivery:
    """The attempts to have one call answered."""

    def __init__(self, dispatcher, call):
        self._dispatcher = dispatcher
        self._call = call
        self._clock = dispatcher.clock
        self._metrics = dispatcher.metrics
        self._tried = set()
        self._arrivals = 0
        self._worst = None

    def run(self):
        """Return Ok with an Answer, or an Error with the Failure that counts."""
        while True:
            placed = self._find_place()
            if placed.is_error():
                self._note_failure(placed.error)
                return Error(self._worst)
            outcome = self._deliver(placed.ok)
            if outcome.is_ok():
                return outcome
            self._note_failure(outcome.error)
            if not self._may_repeat(outcome.error):
                return Error(self._worst)

    def _note_failure(self, failure):
        """Keep the failure that says most: doubt goes before proof."""
        if self._worst is None or self._worst.proves_not_run:
            self._worst = failure

    def _may_repeat(self, failure):
        call = self._call
        if failure.reason in (Reason.CALLER_GONE, Reason.DEADLINE, Reason.MALFORMED):
            return False
        if not failure.proves_not_run and not call.route.idempotent:
            return False
        if not call.body.repeatable or self._clock() >= call.deadline:
            return False
        if self._arrivals >= call.route.attempts:
            return False
        if self._arrivals == 0:
            return True
        allowed = self._dispatcher.retries.take(call.service.name)
        self._metrics.increment("retries.sent" if allowed else "retries.over_budget")
        return allowed

    # Placing

    def _find_place(self):
        """Return Ok with a ready Exchange, or an Error with a Failure."""
        call = self._call
        line = self._dispatcher.lines.find(call.service.name)
        for _ in range(FIRST_LOOKS):
            if line:
                break
            placed = self._try_place()
            if placed is not None:
                return placed
        placed = None
        ticket = line.enter(call.route.priority, call.received)
        try:
            placed = self._wait_for_place(line, ticket)
            return placed
        finally:
            line.leave(ticket, placed is not None and placed.is_ok())

    def _wait_for_place(self, line, ticket):
        """Look for a place whenever this request is the first in line."""
        while True:
            ahead = line.count_ahead(ticket)
            wait = self._dispatcher.describe_wait(self._call)
            if should_reject(wait, ahead, line.places_per_s):
                detail = f"no place in time, {ahead} requests are ahead"
                return Error(refuse(Reason.NO_CAPACITY, detail))
            if ticket.first.wait(LOOK_AGAIN_S):
                placed = self._try_place()
                if placed is not None:
                    return placed
                time.sleep(LOOK_AGAIN_S)
            if self._caller_left():
                return Error(refuse(Reason.CALLER_GONE, "the caller hung up", 400))

    def _try_place(self):
        """Look once; return Ok with an Exchange, an Error, or None to wait."""
        wait = self._dispatcher.describe_wait(self._call)
        if wait.left_s <= 0:
            return Error(refuse(Reason.DEADLINE, "the time of the caller is over"))
        states = self._dispatcher.find_instances(self._call)
        if not states:
            detail = f"no target of {self._call.service.name} takes requests"
            return Error(refuse(Reason.NO_CAPACITY, detail))
        exchange = self._look(states, wait, self._accepts)
        return None if exchange is None else Ok(exchange)

    def _caller_left(self):
        return poll_exchanges([], 0, self._call.socket)[1]

    def _accepts(self, sample):
        """Tell whether the call goes to a target with this load now."""
        service = self._call.service.name
        slowdown = self._dispatcher.history.expect_slowdown(service)
        wait = self._dispatcher.describe_wait(self._call)
        return accepts_place(sample, wait, slowdown)

    def _look(self, states, wait, accepts):
        """Ask some instances for their load; return an acceptable exchange."""
        tells_load = any(state.tells_load for state in states)
        name = "fresh-load" if tells_load else "least-requests"
        service = self._call.service.name
        count = 1
        if tells_load:
            count = self._dispatcher.probes.take(service, len(states), CANDIDATES)
        query = CandidateQuery(
            self._dispatcher.data_centre,
            count,
            may_spread(wait, self._dispatcher.history.expect_size(self._call.route)),
            frozenset(self._tried),
            self._clock(),
            needs_ejected(wait),
        )
        usable = self._without_foreign_cold(states)
        chosen = candidate_policies.find(name)(usable, query)
        if not tells_load:
            return self._take_plain(chosen)
        answered = self._probe(chosen, accepts)
        return self._select(answered, accepts)

    def _without_foreign_cold(self, states):
        """Leave out cold instances that belong to another host."""
        now = self._clock()
        cold = self._dispatcher.cold
        return [s for s in states if not s.is_cold(now) or cold.owns(s.instance.id)]

    def _take_plain(self, chosen):
        for state in chosen:
            if self._may_use_cold(state):
                exchange = Exchange(state, self._dispatcher.dialect)
                exchange.begin_plain()
                return exchange
        return None

    def _probe(self, chosen, accepts):
        """Return the exchanges whose instances told their load in time."""
        pending, answered = [], []
        for state in chosen:
            self._collect_unanswered(state)
            exchange = Exchange(state, self._dispatcher.dialect)
            exchange.begin_probe(self._call.service.health_path)
            self._metrics.increment("probes.sent")
            self._sort_exchange(exchange, pending, answered)
        end = self._clock() + PROBE_WAIT_S
        while pending and (left := end - self._clock()) > 0:
            ready, _ = poll_exchanges(pending, left)
            for exchange in ready:
                exchange.advance()
                if exchange.ends_at_once:
                    pending.remove(exchange)
                    self._sort_exchange(exchange, pending, answered)
            if any(accepts(exchange.sample) for exchange in answered):
                end = min(end, self._clock() + PROBE_GRACE_S)
        for exchange in pending:
            exchange.state.park(exchange)
        return answered

    def _sort_exchange(self, exchange, pending, answered):
        if exchange.stage is Stage.READY:
            answered.append(exchange)
        elif exchange.stage is Stage.CLOSED:
            self._note_probe_failure(exchange)
        else:
            pending.append(exchange)

    def _note_probe_failure(self, exchange):
        self._metrics.increment(f"probes.failed.{exchange.failure.reason}")
        self._record_failure(exchange.state, exchange.failure)

    def _collect_unanswered(self, state):
        """Read late answers to probes of an instance; give up on old ones."""
        now = self._clock()
        for exchange in state.take_parked():
            ready, _ = poll_exchanges([exchange], 0)
            if ready:
                exchange.advance()
                if exchange.stage is Stage.READY:
                    exchange.release()
                    continue
                if exchange.stage is Stage.CLOSED:
                    self._note_probe_failure(exchange)
                    continue
            if now - exchange.started_at > PROBE_LIMIT_S:
                exchange.abort()
                failure = refuse(Reason.NO_ANSWER, "a probe got no answer")
                self._metrics.increment(f"probes.failed.{failure.reason}")
                self._record_failure(state, failure)
            else:
                state.park(exchange)

    def _select(self, answered, accepts):
        """Return the best acceptable exchange; release the others."""
        fit = [exchange for exchange in answered if accepts(exchange.sample)]
        chosen = None
        while fit and chosen is None:
            best = fit.pop(choose_best([e.sample for e in fit]))
            if self._may_use_cold(best.state):
                chosen = best
        for exchange in answered:
            if exchange is not chosen:
                exchange.release()
        return chosen

    def _may_use_cold(self, state):
        """Tell whether an instance is warm, or this host may use it while cold."""
        if not state.is_cold(self._clock()):
            return True
        rate = self._call.service.cold_per_s
        if self._dispatcher.cold.take(state.instance.id, rate):
            return True
        self._metrics.increment("cold.over_share")
        return False

    # Sending

    def _deliver(self, first):
        """Send to a first instance and perhaps a second; return the outcome."""
        racing = []
        try:
            failure = self._launch(first, racing)
            if failure is not None:
                return Error(failure)
            return self._await_answer(racing)
        finally:
            for exchange, _ in racing:
                exchange.abort()
                exchange.state.end()
                self._note_cancelled(exchange)

    def _note_cancelled(self, exchange):
        """Count an attempt that this host ended, also against a silent target."""
        self._metrics.increment("attempts.cancelled")
        sample = exchange.sample
        if sample is None:
            return
        work_s = self._dispatcher.history.expect_work(self._call.route)
        expected_s = work_s * predict_factor(sample)
        if self._clock() - exchange.sent_at > SILENT_FACTOR * expected_s:
            silent = doubt(Reason.NO_ANSWER, "no response for long")
            self._record_failure(exchange.state, silent)

    def _launch(self, exchange, racing):
        """Send the call; return a Failure if that did not work."""
        attempt = self._build_attempt(exchange)
        state = exchange.state
        self._tried.add(state.instance.id)
        state.begin()
        failure = exchange.send(attempt)
        if exchange.connection.started:
            self._arrivals += 1
            self._metrics.increment("attempts.sent")
        self._log_choice(exchange, failure)
        if failure is not None:
            state.end()
            self._record_failure(state, failure)
            return failure
        racing.append((exchange, attempt))
        return None

    def _await_answer(self, racing):
        """Return the first good answer, or the failure of the last attempt."""
        call = self._call
        hedge_at = call.received + HEDGE_SHARE * call.route.target_latency_s
        outcome = None
        while racing:
            now = self._clock()
            if now >= call.deadline:
                return Error(doubt(Reason.DEADLINE, "no response in time", 504))
            may_hedge = self._may_hedge(racing)
            until = min(call.deadline, hedge_at) if may_hedge else call.deadline
            exchanges = [exchange for exchange, _ in racing]
            ready, gone = poll_exchanges(exchanges, until - now, call.socket)
            for exchange, attempt in [r for r in racing if r[0] in ready]:
                outcome = self._finish(exchange, attempt, racing)
                if outcome.is_ok():
                    return outcome
                self._note_failure(outcome.error)
            if gone and not ready:
                return Error(doubt(Reason.CALLER_GONE, "the caller hung up"))
            if may_hedge and self._clock() >= hedge_at:
                self._hedge(racing)
                hedge_at = self._clock() + HEDGE_AGAIN_S
        return outcome

    def _finish(self, exchange, attempt, racing):
        """Read the answer of an exchange, which then no longer takes part."""
        racing.remove((exchange, attempt))
        outcome = exchange.read_answer(attempt)
        state = exchange.state
        state.end()
        if outcome.is_error():
            self._record_failure(state, outcome.error)
            return outcome
        if outcome.ok.status >= 500:
            self._record_failure(
                state, doubt(Reason.TARGET_FAILED, f"status {outcome.ok.status}")
            )
            if self._replaces_failure(racing):
                return Error(doubt(Reason.TARGET_FAILED, "the target failed"))
        else:
            state.record_success()
            self._learn(exchange, outcome.ok)
        return outcome

    def _learn(self, exchange, answer):
        """Let later choices know how the request went."""
        call = self._call
        seconds = self._clock() - exchange.sent_at
        self._dispatcher.history.record(
            Outcome(
                call.route, call.service.name, exchange.sample, seconds, answer.length
            )
        )

    def _replaces_failure(self, racing):
        """Tell whether a target's own failure gives way to another attempt."""
        call = self._call
        if racing:
            return True
        left = call.deadline - self._clock()
        return (
            call.route.idempotent
            and self._arrivals < call.route.attempts
            and left > 0.4 * call.route.target_latency_s
        )

    def _may_hedge(self, racing):
        call = self._call
        return (
            call.route.idempotent
            and call.body.repeatable
            and len(racing) == 1
            and self._arrivals < call.route.attempts
            # While others wait for a place, a second one would be theirs.
            and not self._dispatcher.lines.find(call.service.name)
        )

    def _hedge(self, racing):
        """Send the call to a second instance if one is fast and allowed."""
        call = self._call
        wait = self._dispatcher.describe_wait(call)
        states = self._dispatcher.find_instances(call)
        exchange = self._look(states, wait, _accepts_hedge)
        if exchange is None:
            return
        if not self._dispatcher.retries.take(call.service.name, HEDGE_PART):
            self._metrics.increment("hedges.over_budget")
            exchange.release()
            return
        self._metrics.increment("hedges.sent")
        failure = self._launch(exchange, racing)
        if failure is not None:
            self._metrics.increment("hedges.failed")

    def _build_attempt(self, exchange):
        call = self._call
        instance = exchange.state.instance
        now = self._clock()
        headers = dict(call.headers)
        headers.update(
            self._dispatcher.dialect.render_request(
                call.request_id, call.deadline - now, instance.id
            )
        )
        if call.body.exists and call.body.length is not None:
            headers["Content-Length"] = str(call.body.length)
        return Attempt(
            method=call.method,
            path=call.path,
            headers=headers,
            body=call.body,
            attempt_id=call.request_id,
            deadline=call.deadline,
            guard=lambda: self._check_send(exchange, now),
            caller_socket=call.socket,
            idempotent=call.route.idempotent,
        )

    def _check_send(self, exchange, decided_at):
        """Return why the first byte must not be sent, or None."""
        if not self._dispatcher.directory.accepts(exchange.state):
            return refuse(Reason.STALE_DECISION, "the target stopped taking work")
        # The clock is read last, so that a pause before this point counts.
        now = self._clock()
        if now - decided_at > MAX_DECISION_AGE_S:
            return refuse(Reason.STALE_DECISION, "the decision was too old to act on")
        if now >= self._call.deadline:
            return refuse(Reason.DEADLINE, "the deadline passed before the send")
        return None

    def _record_failure(self, state, failure):
        """Count a failure against an instance unless it has another cause."""
        if failure.reason in _BLAMELESS:
            return
        self._metrics.increment(f"attempts.failed.{failure.reason}")
        weight = _WEIGHTS.get(failure.reason, 1.0)
        if state.record_failure(self._clock(), weight):
            self._dispatcher.decisions.record(
                "instance ejected",
                instance=state.instance.id,
                reason=str(failure.reason),
                detail=failure.detail,
                failures=state.failures,
            )

    def _log_choice(self, exchange, failure):
        sample = exchange.sample
        self._dispatcher.decisions.record(
            "request sent" if failure is None else "request not sent",
            request_id=self._call.request_id,
            instance=exchange.state.instance.id,
            data_centre=exchange.state.instance.data_centre,
            running=sample.running if sample else None,
            waiting=sample.waiting if sample else None,
            slowness=sample.slowness if sample else None,
            load_age_ms=_to_ms(self._clock() - sample.time) if sample else None,
            waited_ms=_to_ms(self._clock() - self._call.received),
            attempt=self._arrivals,
            reason=str(failure.reason) if failure else None,
        )


def _accepts_hedge(sample):
    """Tell whether a second attempt goes to a target with this load."""
    return (
        sample.healthy
        and not sample.waiting
        and not is_nearly_full(sample)
        and predict_factor(sample) <= HEDGE_FACTOR
    )


# A refusal may be a race for the last slot, and a slow answer a short spell.
_WEIGHTS = {Reason.TARGET_REFUSED: 0.4, Reason.NO_ANSWER: 0.5}
_BLAMELESS = frozenset(
    (Reason.CALLER_GONE, Reason.DEADLINE, Reason.STALE_DECISION, Reason.MALFORMED)
)


def _to_ms(seconds):
    return round(seconds * 1000, 1)
