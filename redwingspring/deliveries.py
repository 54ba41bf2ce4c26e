"""Attempts to get a response to one routed call: sends, hedges and retries."""

from expression import Error

from .policy.placement import AnsweredRequest, is_nearly_full, predict_slowdown
from .polling import poll_exchanges
from .targetsearch import TargetSearch
from .upstream import Attempt
from .verdict import Reason, fail_uncertain, refuse

# An idempotent request is hedged after this fraction of its target latency.
HEDGE_DELAY_FRACTION = 0.5
# A target whose predicted time relative to the usual time exceeds this gets no hedge.
MAX_HEDGE_FACTOR = 1.6
HEDGE_INTERVAL_S = 0.03
# Fraction of the retry budget that hedges may use; the rest is kept for retries.
HEDGE_BUDGET_FRACTION = 0.85
# An error response of a target is replaced by another attempt only while this
# fraction of the target latency is left.
MIN_REPLACEMENT_FRACTION = 0.4
# A cancelled attempt that took longer than this multiple of the expected time
# counts as a failure of its target.
UNRESPONSIVE_FACTOR = 1.8
# A placement uses the load at that moment, so it is made again if the process
# pauses before the send.
MAX_DECISION_AGE_S = 0.1
# Failures that no further attempt can remedy.
_FINAL_REASONS = frozenset((Reason.CALLER_GONE, Reason.DEADLINE, Reason.MALFORMED))


class Delivery:
    """All attempts for one call.

    Parameters
    ----------
    dispatcher : RouteDispatcher
        Host shares, response statistics and instances.
    call : RoutedCall
        The call.
    """

    def __init__(self, dispatcher, call):
        self._dispatcher = dispatcher
        self._call = call
        self._clock = dispatcher.clock
        self._metrics = dispatcher.metrics
        self._search = TargetSearch(dispatcher, call)
        self._sends = 0
        self._reported_failure = None

    def run(self):
        """Make attempts until one succeeds or no further one is allowed.

        Returns
        -------
        expression.Result
            Ok with an UpstreamResponse, or an Error with the Failure to report.
        """
        while True:
            found = self._search.find()
            if found.is_error():
                self._keep_failure(found.error)
                return Error(self._reported_failure)
            outcome = self._deliver(found.ok)
            if outcome.is_ok():
                return outcome
            self._keep_failure(outcome.error)
            if not self._may_retry(outcome.error):
                return Error(self._reported_failure)

    def _keep_failure(self, failure):
        """Keep the failure to report.

        The first failure after which the request may have run stays; one that
        proves that it did not run is replaced by the next failure.
        """
        if self._reported_failure is None or self._reported_failure.proves_not_run:
            self._reported_failure = failure

    def _may_retry(self, failure):
        call = self._call
        if failure.reason in _FINAL_REASONS:
            return False
        if not failure.proves_not_run and not call.route.idempotent:
            return False
        if not call.body.replayable or self._clock() >= call.deadline:
            return False
        if self._sends >= call.route.attempts:
            return False
        if self._sends == 0:
            return True
        allowed = self._dispatcher.retries.take(call.service.name)
        self._metrics.increment("retries.sent" if allowed else "retries.over_budget")
        return allowed

    def _deliver(self, first):
        """Send to an instance, hedge if allowed, and return the outcome."""
        pending = []
        try:
            failure = self._send_attempt(first, pending)
            if failure is not None:
                return Error(failure)
            return self._await_response(pending)
        finally:
            for exchange, _ in pending:
                exchange.abort()
                exchange.state.end()
                self._record_cancellation(exchange)

    def _record_cancellation(self, exchange):
        """Count a cancelled attempt, and a failure if its target was unresponsive."""
        self._metrics.increment("attempts.cancelled")
        sample = exchange.sample
        if sample is None:
            return
        work_s = self._dispatcher.statistics.estimate_work_s(self._call.route)
        expected_s = work_s * predict_slowdown(sample)
        if self._clock() - exchange.sent_at > UNRESPONSIVE_FACTOR * expected_s:
            unresponsive = fail_uncertain(Reason.NO_ANSWER, "no response for long")
            self._dispatcher.record_failure(exchange.state, unresponsive)

    def _send_attempt(self, exchange, pending):
        """Send the call to an instance; return a Failure if that fails."""
        attempt = self._build_attempt(exchange)
        state = exchange.state
        self._search.tried_ids.add(state.instance.id)
        state.begin()
        failure = exchange.send(attempt)
        if exchange.connection.started:
            self._sends += 1
            self._metrics.increment("attempts.sent")
        self._log_attempt(exchange, failure)
        if failure is not None:
            state.end()
            self._dispatcher.record_failure(state, failure)
            return failure
        pending.append((exchange, attempt))
        return None

    def _await_response(self, pending):
        """Return the first successful response, or the failure of the last attempt."""
        call = self._call
        hedge_at = call.received_at + HEDGE_DELAY_FRACTION * call.route.target_latency_s
        outcome = None
        while pending:
            now = self._clock()
            if now >= call.deadline:
                return Error(
                    fail_uncertain(Reason.DEADLINE, "no response in time", 504)
                )
            may_hedge = self._may_hedge(pending)
            until = min(call.deadline, hedge_at) if may_hedge else call.deadline
            exchanges = [exchange for exchange, _ in pending]
            ready, caller_closed = poll_exchanges(
                exchanges, until - now, call.caller_socket
            )
            for exchange, attempt in [r for r in pending if r[0] in ready]:
                outcome = self._receive_response(exchange, attempt, pending)
                if outcome.is_ok():
                    return outcome
                self._keep_failure(outcome.error)
            if caller_closed and not ready:
                return Error(fail_uncertain(Reason.CALLER_GONE, "the caller hung up"))
            if may_hedge and self._clock() >= hedge_at:
                self._hedge(pending)
                hedge_at = self._clock() + HEDGE_INTERVAL_S
        return outcome

    def _receive_response(self, exchange, attempt, pending):
        """Read the response of an exchange and remove it from the pending ones."""
        pending.remove((exchange, attempt))
        outcome = exchange.receive_response(attempt)
        state = exchange.state
        state.end()
        self._dispatcher.wait_queues.find(self._call.service.name).notify_load()
        if outcome.is_error():
            self._dispatcher.record_failure(state, outcome.error)
            return outcome
        if outcome.ok.status >= 500:
            self._dispatcher.record_failure(
                state,
                fail_uncertain(Reason.TARGET_FAILED, f"status {outcome.ok.status}"),
            )
            if self._may_replace_failure(pending):
                return Error(fail_uncertain(Reason.TARGET_FAILED, "the target failed"))
        else:
            state.record_success()
            self._record_outcome(exchange, outcome.ok)
        return outcome

    def _record_outcome(self, exchange, response):
        """Record the duration and load of the request for later placements."""
        call = self._call
        seconds = self._clock() - exchange.sent_at
        self._dispatcher.statistics.record(
            AnsweredRequest(
                call.route,
                call.service.name,
                exchange.sample,
                seconds,
                response.length,
                exchange.end_sample,
            )
        )

    def _may_replace_failure(self, pending):
        """Tell whether another attempt replaces an error response of a target."""
        call = self._call
        if pending:
            return True
        left_s = call.deadline - self._clock()
        return (
            call.route.idempotent
            and self._sends < call.route.attempts
            and left_s > MIN_REPLACEMENT_FRACTION * call.route.target_latency_s
        )

    def _may_hedge(self, pending):
        call = self._call
        return (
            call.route.idempotent
            and call.body.replayable
            and len(pending) == 1
            and self._sends < call.route.attempts
            # A hedge would take a slot that queued requests wait for.
            and not self._dispatcher.wait_queues.find(call.service.name)
        )

    def _hedge(self, pending):
        """Send the call to a second instance if a fast one and the budget allow it."""
        call = self._call
        timing = self._dispatcher.build_timing(call)
        states = self._dispatcher.find_instances(call)
        exchange = self._search.search_once(states, timing, _accepts_hedge)
        if exchange is None:
            return
        if not self._dispatcher.retries.take(call.service.name, HEDGE_BUDGET_FRACTION):
            self._metrics.increment("hedges.over_budget")
            exchange.release()
            return
        self._metrics.increment("hedges.sent")
        failure = self._send_attempt(exchange, pending)
        if failure is not None:
            self._metrics.increment("hedges.failed")

    def _build_attempt(self, exchange):
        call = self._call
        instance = exchange.state.instance
        now = self._clock()
        headers = dict(call.headers)
        headers.update(
            self._dispatcher.dialect.build_request_headers(
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
            caller_socket=call.caller_socket,
            idempotent=call.route.idempotent,
            begin_stream=call.begin_stream,
        )

    def _check_send(self, exchange, decided_at):
        """Return the failure that forbids the send, or None."""
        if not self._dispatcher.directory.accepts(exchange.state):
            return refuse(Reason.STALE_DECISION, "the target stopped taking work")
        if exchange.state.is_backing_off(self._clock()):
            return refuse(Reason.STALE_DECISION, "the target wants a pause")
        # The clock is read last, so that it includes a pause before this point.
        now = self._clock()
        if now - decided_at > MAX_DECISION_AGE_S:
            return refuse(Reason.STALE_DECISION, "the decision was too old to act on")
        if now >= self._call.deadline:
            return refuse(Reason.DEADLINE, "the deadline passed before the send")
        return None

    def _log_attempt(self, exchange, failure):
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
            waited_ms=_to_ms(self._clock() - self._call.received_at),
            attempt=self._sends,
            reason=str(failure.reason) if failure else None,
        )


def _accepts_hedge(sample):
    """Tell whether a hedge may go to a target with this load."""
    return (
        sample.healthy
        and not sample.waiting
        and not is_nearly_full(sample)
        and predict_slowdown(sample) <= MAX_HEDGE_FACTOR
    )


def _to_ms(seconds):
    return round(seconds * 1000, 1)
