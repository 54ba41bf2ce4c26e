"""Probes of targets that have not reported their load for a while."""

import heapq
import io
import itertools
import math
import random
import time
import uuid
from dataclasses import dataclass, field, replace

import xxhash
from expression import Error

from .body import RequestBody
from .grants import CLOCK_MARGIN_S
from .hosthistory import HostListHistory
from .limits import MIN_PROBE_BUDGET
from .messages import LeaseRequest, SeenTarget, SeenTargets
from .policy.rendezvous import rank_hosts
from .policy.slots import PROBE, PROBE_START_S, find_probe_term
from .targets import NEVER
from .upstream import Attempt, ResponseBroken, send_attempt
from .verdict import Reason, fail_uncertain, refuse

# Fractions of ``probe.after`` at which a host broadcasts the time of a report that the
# other hosts do not know of. The first fraction is random, so that usually one of the
# hosts with a recent report broadcasts it and the others need not.
BROADCAST_FRACTIONS = (0.5, 0.7)
LAST_BROADCAST_FRACTION = 0.95
# Spreads the probes of targets that stopped reporting at the same time.
JITTER_FRACTION = 0.1
# Delay for each rank among the hosts: long enough for the host before to acquire a
# lease, send a probe and broadcast the result.
RANK_DELAY_S = 0.3
# A refused lease is requested again after a fraction of the probe interval, so that
# hosts that reach no quorum cause little load.
RETRY_FRACTIONS = (0.5, 1.0)
RETRY_DELAY_BOUNDS_S = (0.5, 30.0)
# Upper bound on the delay until a changed configuration is noticed.
MAX_SLEEP_S = 0.25
# Limits the CPU time of the loop, and lets observations made at about the same time
# share one message.
MIN_SLEEP_S = 0.01
MAX_BODY_BYTES = 64 << 10
MAX_ENTRIES_PER_MESSAGE = 4000
MAX_AGE_MS = (1 << 32) - 1


@dataclass(eq=False)
class Watch:
    """State of the prober for one target address.

    Attributes
    ----------
    address : str
        ``ip:port`` of the target.
    states : tuple of TargetState
        The state of the target in each service that lists this address.
    shared_report_time : float
        Monotonic time of the newest report that the other hosts know of.
    due : float
        Monotonic time of the next check.
    not_before : float, default=NEVER
        Monotonic time before which no lease is requested.
    """

    address: str
    states: tuple
    shared_report_time: float
    due: float
    not_before: float = field(default=NEVER)

    @property
    def after(self):
        """Return the age of the last report, in seconds, at which to probe."""
        return max(state.limits.probe_after for state in self.states)

    @property
    def budget(self):
        """Return the maximum number of probes per second, over all hosts."""
        return min(state.limits.probe_budget for state in self.states)

    @property
    def own_report_time(self):
        """Return the monotonic time of the newest report received by this host."""
        return max(state.own_report_time for state in self.states)

    @property
    def peer_report_time(self):
        """Return the monotonic time of the newest report that another host received."""
        return max(state.peer_report_time for state in self.states)

    @property
    def probed(self):
        """Return the monotonic time of the newest probe by any host."""
        return max(state.probed for state in self.states)


class Prober:
    """Probes targets that send no reports and broadcasts which targets do.

    Parameters
    ----------
    name : str
        Name of this host.
    directory : TargetDirectory
        Targets and their states.
    pools : PoolDirectory
        Connections to targets.
    membership : Membership
        Tells whether this host may serve, and which hosts are live.
    quorum : QuorumClient
        Requests probe leases from the grantors.
    network : PeerNetwork
        Connections to the other hosts.
    metrics : Metrics
        Counters.
    outcomes : OutcomeRecorder
        Records the outcomes of probes.
    """

    def __init__(
        self, *, name, directory, pools, membership, quorum, network, metrics, outcomes
    ):
        self._name = name
        self._directory = directory
        self._pools = pools
        self._membership = membership
        self._quorum = quorum
        self._network = network
        self._metrics = metrics
        self._outcomes = outcomes
        self._history = HostListHistory(name, membership)
        # Start at the current time, so that the request ids of two processes of one
        # host differ in the logs of targets.
        self._probe_numbers = itertools.count(int(time.time()))
        self._table = None
        self._watches = {}
        self._heap = []
        self._observations = []

    def run(self, stopping):
        """Check targets when they are due until the process stops.

        Parameters
        ----------
        stopping : threading.Event
            Set when the process stops.
        """
        while not stopping.is_set():
            self.check_due_targets()
            due = self._heap[0][0] if self._heap else math.inf
            wait = max(due - time.monotonic(), MIN_SLEEP_S)
            stopping.wait(min(wait, MAX_SLEEP_S))

    def check_due_targets(self):
        """Check all targets that are due now, and broadcast the observations."""
        if self._directory.table is not self._table:
            self._apply_table(self._directory.table)
        now = time.monotonic()
        while self._heap and self._heap[0][0] <= now:
            _, address = heapq.heappop(self._heap)
            watch = self._watches[address]
            watch.due = now + watch.after
            try:
                # The check may take until the deadline of a probe.
                watch.due = max(
                    self._check_target(watch), time.monotonic() + MIN_SLEEP_S
                )
            finally:
                heapq.heappush(self._heap, (watch.due, address))
        self._broadcast_observations()

    def handle_seen_targets(self, sender, message):
        """Record which targets another host received a report from or probed.

        Parameters
        ----------
        sender : str
            Name of the host.
        message : SeenTargets
            Its observations.
        """
        now = time.monotonic()
        for entry in message.entries:
            watch = self._watches.get(entry.target)
            if watch is None:
                continue
            # The age excludes the time in transit. The report therefore seems more
            # recent than it is, and the next probe can only be later, never earlier.
            seen = now - entry.age_ms / 1000
            for state in watch.states:
                state.update_report_times(
                    seen if entry.reported else NEVER, seen if entry.probed else NEVER
                )

    def _apply_table(self, table):
        """Watch the targets of a new configuration."""
        self._table = table
        groups = {}
        for states in table.services.values():
            for state in states:
                groups.setdefault(state.target.address, []).append(state)
        now = time.monotonic()
        watches = {}
        for address, states in groups.items():
            old = self._watches.get(address)
            # A newly started host first waits for the others to broadcast which targets
            # have reported.
            watch = Watch(address, tuple(states), now, now)
            if old is not None:
                watch.shared_report_time, watch.not_before = (
                    old.shared_report_time,
                    old.not_before,
                )
            latest = now + watch.after * random.uniform(*BROADCAST_FRACTIONS)
            watch.due = latest if old is None else min(old.due, latest)
            watches[address] = watch
        self._watches = watches
        self._heap = [(watch.due, address) for address, watch in watches.items()]
        heapq.heapify(self._heap)

    def _check_target(self, watch):
        """Broadcast or probe as due for a target; return when to check it next."""
        now = time.monotonic()
        report_time, after = watch.own_report_time, watch.after
        known = max(watch.shared_report_time, watch.peer_report_time)
        if report_time > known:
            self._observations.append((watch.address, report_time, True, False))
            known = report_time
        watch.shared_report_time = known
        for share in (random.uniform(*BROADCAST_FRACTIONS), LAST_BROADCAST_FRACTION):
            if known + after * share > now:
                return known + after * share
        due = self._find_due_time(watch, known + after, now)
        if due > now:
            return due
        if not self._may_probe(watch, now):
            return now + after * random.uniform(*RETRY_FRACTIONS)
        if not self._lease_and_probe(watch):
            min_delay, max_delay = RETRY_DELAY_BOUNDS_S
            delay = min(max(1 / watch.budget, min_delay), max_delay)
            watch.not_before = now + delay * random.uniform(*RETRY_FRACTIONS)
            return watch.not_before
        return time.monotonic() + after * random.uniform(*BROADCAST_FRACTIONS)

    def _find_due_time(self, watch, stale_at, now):
        """Return when this host should probe a target if it sends no report."""
        if watch.budget < MIN_PROBE_BUDGET:
            return now + watch.after
        names = self._membership.live_names()
        if self._name not in names:
            return now + watch.after
        grant_duration = find_probe_term(watch.budget) + CLOCK_MARGIN_S
        safe_time = self._history.find_safe_time(watch.address, grant_duration)
        earliest = max(
            stale_at, watch.probed + grant_duration, watch.not_before, safe_time
        )
        interval_s = max(watch.after, 1 / watch.budget)
        # All hosts compute about the same interval number without communication. The
        # lease decides if they differ.
        interval_number = int((time.time() + earliest - now) // interval_s)
        key = f"{watch.address}\0probe\0{interval_number}"
        rank = rank_hosts(names, key).index(self._name)
        # All hosts use the same jitter, which keeps the order of their ranks.
        jitter = (
            xxhash.xxh3_64_intdigest(key.encode())
            / 2**64
            * JITTER_FRACTION
            * interval_s
        )
        return earliest + jitter + rank * RANK_DELAY_S

    def _may_probe(self, watch, now):
        """Return whether this host may request a probe lease now."""
        return (
            self._membership.check_serving() is None
            and all(state.needs_probe(now) for state in watch.states)
            # With requests in all slots, a response brings a report without a probe.
            and all(state.in_flight < state.limits.slots for state in watch.states)
        )

    def _lease_and_probe(self, watch):
        """Acquire a lease and send a probe; return whether a lease was granted."""
        # Read the clock before requesting the lease, so that the probe never starts
        # later than the grantors assume.
        deadline = time.time() + PROBE_START_S
        term_ms = math.ceil(find_probe_term(watch.budget) * 1000)
        number = next(self._quorum.request_numbers)
        request = LeaseRequest(number, PROBE, watch.address, 0, term_ms)
        grantors = self._quorum.find_grantors(watch.address)
        grant_duration = term_ms / 1000 + CLOCK_MARGIN_S
        # The host list may have changed since the check was scheduled.
        if (
            self._history.find_safe_time(watch.address, grant_duration)
            > time.monotonic()
        ):
            return False
        pending = self._quorum.request_grants(grantors, request)
        if not pending.agreed:
            # No probe was sent under the lease. A lease that was used is not released
            # but expires, which enforces the interval between probes.
            self._quorum.release(grantors, request, whole=False)
            self._metrics.increment("probes.no_lease")
            return False
        self._metrics.increment("probes.sent")
        started = time.monotonic()
        for state in watch.states:
            state.update_report_times(NEVER, started)
        answered = self._send_probe(watch, deadline)
        self._metrics.increment("probes.answered" if answered else "probes.failed")
        reported = watch.own_report_time >= started
        if reported:
            watch.shared_report_time = watch.own_report_time
        self._observations.append((watch.address, started, reported, True))
        self._broadcast_observations()
        return True

    def _send_probe(self, watch, deadline):
        """Send a probe; return whether a complete response arrived."""
        state = watch.states[0]
        limits = replace(
            state.limits,
            connect_timeout=min(state.limits.connect_timeout, PROBE_START_S),
            stall_timeout=PROBE_START_S,
        )
        attempt = self._build_attempt(watch, deadline)
        outcome = Error(fail_uncertain(Reason.INTERNAL, "the probe broke off"))
        state.begin()
        try:
            outcome = send_attempt(self._pools.find(watch.address), limits, attempt)
            if outcome.is_error():
                for each in watch.states:
                    self._outcomes.record_failure(each, outcome.error)
                return False
            for each in watch.states:
                self._outcomes.record_response_head(each, outcome.ok)
            return _read_body(outcome.ok, deadline)
        finally:
            state.end()

    def _build_attempt(self, watch, deadline):
        attempt_id = uuid.uuid4().hex
        limit = str(int(deadline * 1000))
        return Attempt(
            method="GET",
            path=watch.states[0].limits.probe_path,
            headers={
                "Request-Id": f"probe-{self._name[:40]}-{next(self._probe_numbers)}",
                "Attempt-Id": attempt_id,
                "Request-Deadline": limit,
                "Response-Deadline": limit,
            },
            body=RequestBody(io.BytesIO(), 0, 0, deadline),
            attempt_id=attempt_id,
            deadline=deadline,
            guard=lambda: self._check_send(watch, deadline),
            caller_socket=None,
            # Do not use a connection that was idle for long. If the target had closed
            # it, the probe would be recorded as a failure of the target.
            idempotent=False,
        )

    def _check_send(self, watch, deadline):
        """Return the reason why the probe must not be sent, or None."""
        refusal = self._membership.check_serving()
        if refusal is not None:
            return refusal
        now = time.monotonic()
        if not all(state.needs_probe(now) for state in watch.states):
            return refuse(Reason.STALE_DECISION, "the target needs no probe")
        # Read the clock last, so that a pause of the process before this point counts.
        if time.time() >= deadline:
            return refuse(Reason.DEADLINE, "the lease is too old for a probe")
        return None

    def _broadcast_observations(self):
        """Broadcast the observations made since the last call to all hosts."""
        observations, self._observations = self._observations, []
        now = time.monotonic()
        entries = [
            SeenTarget(
                address, min(int((now - seen) * 1000), MAX_AGE_MS), reported, probed
            )
            for address, seen, reported, probed in observations
        ]
        for first in range(0, len(entries), MAX_ENTRIES_PER_MESSAGE):
            part = tuple(entries[first : first + MAX_ENTRIES_PER_MESSAGE])
            self._network.broadcast(SeenTargets(part))
        if entries:
            self._metrics.increment("probes.reports_told", len(entries))


def _read_body(response, deadline):
    """Read the body of a probe response; return whether it is complete."""
    size = 0
    try:
        while data := response.read():
            size += len(data)
            if size > MAX_BODY_BYTES or time.time() >= deadline:
                response.abort()
                return False
    except ResponseBroken:
        return False
    response.finish()
    return True
