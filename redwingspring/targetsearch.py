"""Search for a target that answers a call in time."""

from dataclasses import replace

from expression import Error, Ok

from .exchanges import Exchange, Stage
from .placement import (
    CandidateQuery,
    all_unhealthy,
    candidate_policies,
    choose_best,
)
from .polling import poll_exchanges
from .verdict import Reason, refuse
from .waitpolicy import (
    LOOK_AGAIN_S,
    accepts_target,
    may_cross_data_centres,
    may_use_ejected,
    should_reject,
)

# Targets asked for their load at once before a send, and how often a request asks
# before it joins the line.
CANDIDATES = 2
FIRST_LOOKS = 2
# How often a request that is not the first in line considers giving up.
REVIEW_S = 0.03
# Longest wait for the answers to probes.
PROBE_WAIT_S = 0.025
# Wait for further answers after the first acceptable one.
PROBE_GRACE_S = 0.002
# An unanswered probe whose connection is closed after this time.
PROBE_LIMIT_S = 0.5


class TargetSearch:
    """Looks for a place for one call, and waits in line for it.

    Parameters
    ----------
    dispatcher : RouteDispatcher
        Shares, history and instances.
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
        """Wait for a place.

        Returns
        -------
        expression.Result
            Ok with an Exchange that is ready to send, or an Error with a Failure.
        """
        call = self._call
        line = self._dispatcher.wait_queues.find(call.service.name)
        for _ in range(FIRST_LOOKS):
            if line:
                break
            placed = self._try_place()
            if placed is not None:
                return placed
        placed = None
        wait = self._dispatcher.build_timing(call)
        late_at = self._clock() + wait.target_latency_left_s - wait.work_s
        ticket = line.enter(call.route.priority, call.received_at, late_at)
        try:
            placed = self._wait_for_place(line, ticket)
            return placed
        finally:
            line.leave(ticket, placed is not None and placed.is_ok())

    def _wait_for_place(self, line, ticket):
        """Look for a place whenever this request is the first in line."""
        while True:
            ahead = line.count_ahead(ticket)
            wait = self._dispatcher.build_timing(self._call)
            if should_reject(wait, ahead, line.placements_per_s):
                detail = f"no place in time, {ahead} requests are ahead"
                return Error(refuse(Reason.NO_CAPACITY, detail))
            if ticket.first.wait(REVIEW_S):
                placed = self._try_place() or self._wait_for_load(line)
                if placed is not None:
                    return placed
            if self._caller_left():
                return Error(refuse(Reason.CALLER_GONE, "the caller hung up", 400))

    def _wait_for_load(self, line):
        """Take a place that a response shows before it is time to probe again."""
        end = self._clock() + LOOK_AGAIN_S
        while (left := end - self._clock()) > 0:
            if line.wait_for_load(left):
                states = self._dispatcher.find_instances(self._call)
                usable = self._without_foreign_cold(states)
                wait = self._dispatcher.build_timing(self._call)
                exchange = self._take_recent(usable, wait, self._accepts)
                if exchange is not None:
                    return Ok(exchange)
        return None

    def _try_place(self):
        """Look once; return Ok with an Exchange, an Error, or None to wait."""
        wait = self._dispatcher.build_timing(self._call)
        if wait.left_s <= 0:
            return Error(refuse(Reason.DEADLINE, "the time of the caller is over"))
        states = self._dispatcher.find_instances(self._call)
        if not states:
            detail = f"no target of {self._call.service.name} takes requests"
            return Error(refuse(Reason.NO_CAPACITY, detail))
        exchange = self.search_once(states, wait, self._accepts)
        return None if exchange is None else Ok(exchange)

    def _caller_left(self):
        return poll_exchanges([], 0, self._call.caller_socket)[1]

    def _accepts(self, sample):
        """Tell whether the call goes to a target with this load now."""
        if not sample.healthy:
            states = self._dispatcher.find_instances(self._call)
            sample = replace(sample, healthy=all_unhealthy(states))
        service = self._call.service.name
        slowdown = self._dispatcher.statistics.estimate_nearly_full_slowdown(service)
        wait = self._dispatcher.build_timing(self._call)
        return accepts_target(sample, wait, slowdown)

    def search_once(self, states, wait, accepts):
        """Ask some instances for their load.

        Parameters
        ----------
        states : sequence of InstanceState
            Instances that may run the call.
        wait : RequestTiming
            How long the call has waited.
        accepts : callable
            Tells whether the call goes to a target with a given load.

        Returns
        -------
        Exchange or None
            An exchange that is ready to send; None when no place was found.
        """
        usable = self._without_foreign_cold(states)
        recent = self._take_recent(usable, wait, accepts)
        if recent is not None:
            return recent
        service = self._call.service.name
        tells_load = any(state.tells_load for state in states)
        probes = 0
        if tells_load:
            probes = self._dispatcher.probes.take(service, len(states), CANDIDATES)
        query = self._build_query(wait, probes or CANDIDATES)
        if probes:
            chosen = candidate_policies.find("fresh-load")(usable, query)
            return self._select(self._probe(chosen, accepts), accepts)
        if tells_load and not self._dispatcher.may_send_without_probe(states):
            return None
        return self._take_plain(
            candidate_policies.find("least-requests")(usable, query)
        )

    def _build_query(self, wait, count):
        """Return what a candidate policy needs to know of the call."""
        return CandidateQuery(
            self._dispatcher.data_centre,
            count,
            may_cross_data_centres(
                wait, self._dispatcher.statistics.estimate_size(self._call.route)
            ),
            frozenset(self.tried_ids),
            self._clock(),
            may_use_ejected(wait),
        )

    def _take_recent(self, usable, wait, accepts):
        """Return an exchange with an instance that told its load a moment ago."""
        query = self._build_query(wait, len(usable))
        recent = candidate_policies.find("recent-load")(usable, query)
        # The load that is judged here may change with the next response.
        loads = [(state, state.sample) for state in recent]
        fit = [(state, sample) for state, sample in loads if accepts(sample)]
        while fit:
            state, sample = fit.pop(choose_best([load for _, load in fit]))
            if self._may_use_cold(state):
                self._metrics.increment("placements.without_probe")
                return self._open_plain(state, sample)
        return None

    def _without_foreign_cold(self, states):
        """Leave out cold instances that belong to another host."""
        now = self._clock()
        cold = [s.instance.id for s in states if s.is_cold(now)]
        if not cold:
            return states
        foreign = set(cold) - self._dispatcher.cold.select_own(cold)
        return [s for s in states if s.instance.id not in foreign]

    def _take_plain(self, chosen):
        """Return an exchange without a probe.

        Targets that tell their load get one request of this host at a time then,
        because nothing shows what the other hosts send.
        """
        for state in chosen:
            if state.tells_load and state.in_flight:
                continue
            if self._may_use_cold(state):
                return self._open_plain(state, None)
        return None

    def _open_plain(self, state, sample):
        """Return an exchange that is ready to send without a probe."""
        exchange = Exchange(state, self._dispatcher.dialect)
        exchange.begin_plain(sample)
        return exchange

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
        self._dispatcher.record_failure(exchange.state, exchange.failure)

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
                self._dispatcher.record_failure(state, failure)
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
