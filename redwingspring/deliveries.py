"""Attempts to have one routed call answered: send, hedge, try again."""

from expression import Error

from .placement import AnsweredRequest, is_nearly_full, predict_slowdown
from .polling import poll_exchanges
from .targetsearch import TargetSearch
from .upstream import Attempt
from .verdict import Reason, doubt, refuse

# Share of the target latency after which an idempotent request is sent to a
# second target.
HEDGE_SHARE = 0.5
# A second target is chosen only if it is fast.
HEDGE_FACTOR = 1.6
HEDGE_AGAIN_S = 0.03
# Part of the extra arrivals that hedges may use; the rest is for retries.
HEDGE_PART = 0.85
# A failure of a target gives way to another attempt while this share of the target
# latency is left.
REPLACE_SHARE = 0.4
# An attempt that takes this many times as long as expected counts as silent.
SILENT_FACTOR = 1.8
# A decision rests on load of that moment; after a pause of the process it is
# made again.
MAX_DECISION_AGE_S = 0.1
# Failures after which another attempt is of no use.
_FINAL_REASONS = frozenset((Reason.CALLER_GONE, Reason.DEADLINE, Reason.MALFORMED))


class Delivery:
    """The attempts to have one call answered.

    Parameters
    ----------
    dispatcher : RouteDispatcher
        Shares, history and instances.
    call : RoutedCall
        The call.
    """

    def __init__(self, dispatcher, call):
        self._dispatcher = dispatcher
        self._call = call
        self._clock = dispatcher.clock
        self._metrics = dispatcher.metrics
        self._search = TargetSearch(dispatcher, call)
        self._arrivals = 0
        self._worst = None

    def run(self):
        """Make attempts until one is answered or none is allowed.

        Returns
        -------
        expression.Result
            Ok with an Answer, or an Error with the Failure that counts.
        """
        while True:
            placed = self._search.find()
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
        if failure.reason in _FINAL_REASONS:
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
        work_s = self._dispatcher.statistics.estimate_work_s(self._call.route)
        expected_s = work_s * predict_slowdown(sample)
        if self._clock() - exchange.sent_at > SILENT_FACTOR * expected_s:
            silent = doubt(Reason.NO_ANSWER, "no response for long")
            self._dispatcher.record_failure(exchange.state, silent)

    def _launch(self, exchange, racing):
        """Send the call; return a Failure if that did not work."""
        attempt = self._build_attempt(exchange)
        state = exchange.state
        self._search.tried_ids.add(state.instance.id)
        state.begin()
        failure = exchange.send(attempt)
        if exchange.connection.started:
            self._arrivals += 1
            self._metrics.increment("attempts.sent")
        self._log_choice(exchange, failure)
        if failure is not None:
            state.end()
            self._dispatcher.record_failure(state, failure)
            return failure
        racing.append((exchange, attempt))
        return None

    def _await_answer(self, racing):
        """Return the first good answer, or the failure of the last attempt."""
        call = self._call
        hedge_at = call.received_at + HEDGE_SHARE * call.route.target_latency_s
        outcome = None
        while racing:
            now = self._clock()
            if now >= call.deadline:
                return Error(doubt(Reason.DEADLINE, "no response in time", 504))
            may_hedge = self._may_hedge(racing)
            until = min(call.deadline, hedge_at) if may_hedge else call.deadline
            exchanges = [exchange for exchange, _ in racing]
            ready, gone = poll_exchanges(exchanges, until - now, call.caller_socket)
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
        self._dispatcher.wait_queues.find(self._call.service.name).notify_load()
        if outcome.is_error():
            self._dispatcher.record_failure(state, outcome.error)
            return outcome
        if outcome.ok.status >= 500:
            self._dispatcher.record_failure(
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
        self._dispatcher.statistics.record(
            AnsweredRequest(
                call.route,
                call.service.name,
                exchange.sample,
                seconds,
                answer.length,
                exchange.end_sample,
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
            and left > REPLACE_SHARE * call.route.target_latency_s
        )

    def _may_hedge(self, racing):
        call = self._call
        return (
            call.route.idempotent
            and call.body.repeatable
            and len(racing) == 1
            and self._arrivals < call.route.attempts
            # While others wait for a place, a second one would be theirs.
            and not self._dispatcher.wait_queues.find(call.service.name)
        )

    def _hedge(self, racing):
        """Send the call to a second instance if one is fast and allowed."""
        call = self._call
        wait = self._dispatcher.build_timing(call)
        states = self._dispatcher.find_instances(call)
        exchange = self._search.search_once(states, wait, _accepts_hedge)
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
            caller_socket=call.caller_socket,
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
            waited_ms=_to_ms(self._clock() - self._call.received_at),
            attempt=self._arrivals,
            reason=str(failure.reason) if failure else None,
        )


def _accepts_hedge(sample):
    """Tell whether a second attempt goes to a target with this load."""
    return (
        sample.healthy
        and not sample.waiting
        and not is_nearly_full(sample)
        and predict_slowdown(sample) <= HEDGE_FACTOR
    )


def _to_ms(seconds):
    return round(seconds * 1000, 1)
