"""Search for a target that answers a call in time."""

from dataclasses import replace

from expression import Error, Ok

from .exchanges import Exchange, Stage
from .policy.placement import (
    CandidateQuery,
    all_unhealthy,
    candidate_policies,
    choose_best,
)
from .policy.waitpolicy import (
    PROBE_INTERVAL_S,
    accepts_target,
    may_cross_data_centres,
    may_use_ejected,
    prefers_subset,
    should_reject,
)
from .polling import poll_exchanges
from .verdict import Reason, refuse

# Targets that are probed concurrently in one search, and the number of searches
# before a request enters the wait queue.
CANDIDATE_COUNT = 2
SEARCHES_BEFORE_QUEUE = 2
# Interval at which a request that is not at the head of the queue checks whether it
# is to be rejected.
REJECT_CHECK_INTERVAL_S = 0.03
# Maximum wait for the responses to probes.
PROBE_TIMEOUT_S = 0.025
# Wait for further responses after the first acceptable one.
PROBE_GRACE_S = 0.002
# Age at which an unanswered probe fails and its connection is closed.
PARKED_PROBE_TIMEOUT_S = 0.5


class TargetSearch:
    """Searches for a target for one call, and waits in the queue until there is one.

    Parameters
    ----------
    dispatcher : RouteDispatcher
        Shares, response statistics and instances.
    call : RoutedCall
        The call.
    """

    def __init__(self, dispatcher, call):
        self.tried_ids = set()
        self._dispatcher = dispatcher
        self._call = call
        self._clock = dispatcher.clock
        self._metrics = dispatcher.metrics

    def find(self):
        """Wait until a target is found or the call is rejected.

        Returns
        -------
        expression.Result
            Ok with an Exchange that is ready to send, or an Error with a Failure.
        """
        call = self._call
        queue = self._dispatcher.wait_queues.find(call.service.name)
        for _ in range(SEARCHES_BEFORE_QUEUE):
            if queue:
                break
            result = self._try_search()
            if result is not None:
                return result
        result = None
        timing = self._dispatcher.build_timing(call)
        late_at = self._clock() + timing.target_latency_left_s - timing.work_s
        entry = queue.enter(call.route.priority, call.received_at, late_at)
        try:
            result = self._wait_in_queue(queue, entry)
            return result
        finally:
            queue.leave(entry, result is not None and result.is_ok())

    def _wait_in_queue(self, queue, entry):
        """Search for a target whenever this request is at the head of the queue."""
        while True:
            ahead = queue.count_ahead(entry)
            timing = self._dispatcher.build_timing(self._call)
            if should_reject(timing, ahead, queue.placements_per_s):
                detail = f"no place in time, {ahead} requests are ahead"
                return Error(refuse(Reason.NO_CAPACITY, detail))
            if entry.at_head.wait(REJECT_CHECK_INTERVAL_S):
                result = self._try_search() or self._wait_for_reported_load(queue)
                if result is not None:
                    return result
            if self._caller_hung_up():
                return Error(refuse(Reason.CALLER_GONE, "the caller hung up", 400))

    def _wait_for_reported_load(self, queue):
        """Use load reported in responses until it is time to probe again."""
        until = self._clock() + PROBE_INTERVAL_S
        while (remaining_s := until - self._clock()) > 0:
            if queue.wait_for_load(remaining_s):
                states = self._dispatcher.find_instances(self._call)
                usable = self._exclude_foreign_cold(states)
                timing = self._dispatcher.build_timing(self._call)
                exchange = self._open_by_recent_load(usable, timing, self._accepts)
                if exchange is not None:
                    return Ok(exchange)
        return None

    def _try_search(self):
        """Search once; return Ok with an Exchange, an Error, or None to wait."""
        timing = self._dispatcher.build_timing(self._call)
        if timing.remaining_s <= 0:
            return Error(refuse(Reason.DEADLINE, "the time of the caller is over"))
        states = self._dispatcher.find_instances(self._call)
        if not states:
            return Error(refuse(Reason.NO_CAPACITY, self._describe_no_target()))
        exchange = self.search_once(states, timing, self._accepts)
        return None if exchange is None else Ok(exchange)

    def _describe_no_target(self):
        service = self._call.service.name
        backoff_s = self._dispatcher.compute_backoff_s(self._call)
        if backoff_s > 0:
            return f"all targets of {service} want no requests for {backoff_s:.1f} s"
        return f"no target of {service} takes requests"

    def _caller_hung_up(self):
        return poll_exchanges([], 0, self._call.caller_socket)[1]

    def _accepts(self, sample):
        """Tell whether the call is sent to a target with this load now."""
        if not sample.healthy:
            states = self._dispatcher.find_instances(self._call)
            sample = replace(sample, healthy=all_unhealthy(states))
        service = self._call.service.name
        slowdown = self._dispatcher.statistics.estimate_nearly_full_slowdown(service)
        timing = self._dispatcher.build_timing(self._call)
        return accepts_target(sample, timing, slowdown)

    def search_once(self, states, timing, accepts):
        """Choose an instance by recent load, by probes, or by own requests.

        Parameters
        ----------
        states : sequence of InstanceState
            Instances that may run the call.
        timing : RequestTiming
            Times of the call.
        accepts : callable
            Tells whether the call is sent to a target with a given load.

        Returns
        -------
        Exchange or None
            An exchange that is ready to send; None if no target was found.
        """
        usable = self._exclude_foreign_cold(states)
        exchange = self._open_by_recent_load(usable, timing, accepts)
        if exchange is not None:
            return exchange
        service = self._call.service.name
        reports_load = any(state.reports_load for state in states)
        probes = 0
        if reports_load:
            probes = self._dispatcher.probes.take(service, len(states), CANDIDATE_COUNT)
        preferred_ids = self._choose_preferred(timing)
        query = self._build_query(timing, probes or CANDIDATE_COUNT, preferred_ids)
        if probes:
            candidates = candidate_policies.find("fresh-load")(usable, query)
            return self._select(self._probe(candidates, accepts), accepts)
        if reports_load and self._dispatcher.wait_queues.find(service):
            return None
        if reports_load and not self._dispatcher.may_send_without_probe(states):
            return None
        return self._open_by_own_requests(
            candidate_policies.find("least-requests")(usable, query)
        )

    def _choose_preferred(self, timing):
        """Return the ids of the targets that come before equally good ones."""
        if not prefers_subset(timing):
            return frozenset()
        return self._dispatcher.choose_preferred(self._call)

    def _build_query(self, timing, count, preferred_ids=frozenset()):
        """Return the query to a candidate policy for the call."""
        return CandidateQuery(
            self._dispatcher.data_centre,
            count,
            may_cross_data_centres(timing, self._estimate_bytes()),
            frozenset(self.tried_ids),
            self._clock(),
            may_use_ejected(timing),
            preferred_ids,
        )

    def _estimate_bytes(self):
        """Return the bytes that the call is expected to transfer in both directions."""
        response_bytes = self._dispatcher.statistics.estimate_size(self._call.route)
        return response_bytes + (self._call.body.length or 0)

    def _open_by_recent_load(self, usable, timing, accepts):
        """Return an exchange with an instance that has just reported its load."""
        query = self._build_query(timing, len(usable))
        recent = candidate_policies.find("recent-load")(usable, query)
        # Samples are read once, because the next response may replace them.
        samples = [(state, state.sample) for state in recent]
        acceptable = [(state, sample) for state, sample in samples if accepts(sample)]
        while acceptable:
            state, sample = acceptable.pop(choose_best([s for _, s in acceptable]))
            if self._may_use(state):
                self._metrics.increment("placements.without_probe")
                return self._open_without_probe(state, sample)
        return None

    def _exclude_foreign_cold(self, states):
        """Leave out cold instances that are assigned to another host."""
        now = self._clock()
        cold_ids = [s.instance.id for s in states if s.is_cold(now)]
        if not cold_ids:
            return states
        foreign_ids = set(cold_ids) - self._dispatcher.cold.select_owned(cold_ids)
        return [s for s in states if s.instance.id not in foreign_ids]

    def _open_by_own_requests(self, candidates):
        """Return an exchange with a candidate whose load is unknown.

        Targets that report their load get one request of this host at a time in
        this case, because the load from other hosts is unknown.
        """
        for state in candidates:
            if state.reports_load and state.in_flight:
                continue
            if self._may_use(state):
                return self._open_without_probe(state, None)
        return None

    def _open_without_probe(self, state, sample):
        """Return an exchange that is ready to send without a probe."""
        exchange = Exchange(state, self._dispatcher.dialect)
        exchange.begin_without_probe(sample, self._call.route.idempotent)
        return exchange

    def _probe(self, candidates, accepts):
        """Return the exchanges whose instances answered the probe in time."""
        pending, answered = [], []
        for state in candidates:
            self._collect_parked(state)
            exchange = Exchange(state, self._dispatcher.dialect)
            exchange.begin_probe(self._call.service.health_path)
            self._metrics.increment("probes.sent")
            self._add_by_stage(exchange, pending, answered)
        until = self._clock() + PROBE_TIMEOUT_S
        while pending and (remaining_s := until - self._clock()) > 0:
            ready, _ = poll_exchanges(pending, remaining_s)
            for exchange in ready:
                exchange.advance()
                if exchange.needs_no_io:
                    pending.remove(exchange)
                    self._add_by_stage(exchange, pending, answered)
            if any(accepts(exchange.sample) for exchange in answered):
                until = min(until, self._clock() + PROBE_GRACE_S)
        for exchange in pending:
            exchange.state.add_pending_probe(exchange)
        return answered

    def _add_by_stage(self, exchange, pending, answered):
        """Add an exchange to the pending or answered ones, or record its failure."""
        if exchange.stage is Stage.READY:
            self._dispatcher.record_sample(self._call.service.name, exchange.sample)
            answered.append(exchange)
        elif exchange.stage is Stage.CLOSED:
            self._record_probe_failure(exchange)
        else:
            pending.append(exchange)

    def _record_probe_failure(self, exchange):
        self._metrics.increment(f"probes.failed.{exchange.failure.reason}")
        self._dispatcher.record_failure(exchange.state, exchange.failure)

    def _collect_parked(self, state):
        """Read late responses to probes of an instance; close timed-out probes."""
        now = self._clock()
        for exchange in state.take_pending_probes():
            ready, _ = poll_exchanges([exchange], 0)
            if ready:
                exchange.advance()
                if exchange.stage is Stage.READY:
                    exchange.release()
                    continue
                if exchange.stage is Stage.CLOSED:
                    self._record_probe_failure(exchange)
                    continue
            if now - exchange.started_at > PARKED_PROBE_TIMEOUT_S:
                exchange.abort()
                failure = refuse(Reason.NO_ANSWER, "a probe got no answer")
                self._metrics.increment(f"probes.failed.{failure.reason}")
                self._dispatcher.record_failure(state, failure)
            else:
                state.add_pending_probe(exchange)

    def _select(self, answered, accepts):
        """Return the best acceptable exchange; release the others."""
        acceptable = [exchange for exchange in answered if accepts(exchange.sample)]
        chosen = None
        while acceptable and chosen is None:
            best = acceptable.pop(choose_best([e.sample for e in acceptable]))
            if self._may_use(best.state):
                chosen = best
        for exchange in answered:
            if exchange is not chosen:
                exchange.release()
        return chosen

    def _may_use(self, state):
        """Tell whether an instance is warm, or this host may use it while cold."""
        if not state.is_cold(self._clock()):
            return True
        rate = self._call.service.cold_rate_per_s
        if self._dispatcher.cold.take(state.instance.id, rate):
            return True
        self._metrics.increment("cold.over_share")
        return False
