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
from .limits import MIN_PROBE_BUDGET
from .listhistory import ListHistory
from .messages import LeaseRequest, SeenTarget, SeenTargets
from .rendezvous import rank_hosts
from .slots import PROBE, PROBE_START_S, find_probe_term
from .targets import NEVER
from .upstream import Attempt, ResponseBroken, send_attempt
from .verdict import Reason, doubt, refuse

# Shares of ``probe.after`` at which a host tells the others of reports that
# they do not know of. The first is random, so that one of the hosts that have
# news speaks and the others find themselves informed.
TELL_SHARES = (0.5, 0.7)
LAST_TELL_SHARE = 0.95
# Keeps targets that fell quiet together from being probed together.
JITTER_SHARE = 0.1
# Each further host waits this much longer: enough for a lease, a probe and the
# message about it.
RANK_STEP_S = 0.3
# A refused lease is asked for again after a share of the interval, so that
# hosts without a quorum cost little.
RETRY_SHARES = (0.5, 1.0)
RETRY_BOUNDS_S = (0.5, 30.0)
# Bounds how late a changed configuration is noticed.
MAX_WAIT_S = 0.25
# Bounds the processor time, and lets news of one moment share a message.
MIN_WAIT_S = 0.01
MAX_BODY_BYTES = 64 << 10
MAX_ENTRIES = 4000
MAX_AGE_MS = (1 << 32) - 1


@dataclass(eq=False)
class Watch:
    """What the prober keeps for one address.

    Attributes
    ----------
    address : str
        ``ip:port`` of the target.
    states : tuple of TargetState
        One for each service with this address.
    told : float
        Monotonic time of the newest report that the other hosts know of.
    due : float
        Monotonic time of the next visit.
    not_before : float, default=NEVER
        Monotonic time before which no lease is asked for.
    """

    address: str
    states: tuple
    told: float
    due: float
    not_before: float = field(default=NEVER)

    @property
    def after(self):
        """Age of the last report, in seconds, after which to probe."""
        return max(state.limits.probe_after for state in self.states)

    @property
    def budget(self):
        """Rate of probes a second, over all hosts."""
        return min(state.limits.probe_budget for state in self.states)

    @property
    def own(self):
        """Monotonic time of the newest report that this host got."""
        return max(state.own_report_time for state in self.states)

    @property
    def elsewhere(self):
        """Monotonic time of the newest report that another host told of."""
        return max(state.peer_report_time for state in self.states)

    @property
    def probed(self):
        """Monotonic time of the newest probe."""
        return max(state.probed for state in self.states)


class Prober:
    """Probes quiet targets and tells other hosts which targets are not quiet.

    Parameters
    ----------
    name : str
        Name of this host.
    directory : TargetDirectory
        Targets and their states.
    pools : PoolDirectory
        Connections to targets.
    membership : Membership
        Tells whether this host may serve, and which hosts are heard.
    quorum : QuorumClient
        Way to the grantors of probe leases.
    network : PeerNetwork
        Way to the other hosts.
    metrics : Metrics
        Counters.
    outcomes : OutcomeRecorder
        Takes what probes tell about targets.
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
        self._lists = ListHistory(name, membership)
        # Ids of two processes of one host should differ in logs of targets.
        self._numbers = itertools.count(int(time.time()))
        self._table = None
        self._watches = {}
        self._heap = []
        self._news = []

    def run(self, stopping):
        """Visit targets when they are due until the process stops.

        Parameters
        ----------
        stopping : threading.Event
            Set when the process stops.
        """
        while not stopping.is_set():
            self.visit_due()
            due = self._heap[0][0] if self._heap else math.inf
            wait = max(due - time.monotonic(), MIN_WAIT_S)
            stopping.wait(min(wait, MAX_WAIT_S))

    def visit_due(self):
        """Visit all targets that are due now, and send the news."""
        if self._directory.table is not self._table:
            self._apply(self._directory.table)
        now = time.monotonic()
        while self._heap and self._heap[0][0] <= now:
            _, address = heapq.heappop(self._heap)
            watch = self._watches[address]
            watch.due = now + watch.after
            try:
                # A visit may take up to a probe's deadline.
                watch.due = max(self._visit(watch), time.monotonic() + MIN_WAIT_S)
            finally:
                heapq.heappush(self._heap, (watch.due, address))
        self._send_news()

    def take_seen(self, sender, news):
        """Take what another host saw of targets.

        Parameters
        ----------
        sender : str
            Name of the host.
        news : SeenTargets
            What it saw.
        """
        now = time.monotonic()
        for entry in news.entries:
            watch = self._watches.get(entry.target)
            if watch is None:
                continue
            # The age does not count the time on the way, so the report seems
            # younger and a probe comes later, never earlier.
            seen = now - entry.age_ms / 1000
            for state in watch.states:
                state.update_report_times(
                    seen if entry.reported else NEVER, seen if entry.probed else NEVER
                )

    def _apply(self, table):
        """Watch the targets of a newer configuration."""
        self._table = table
        groups = {}
        for states in table.services.values():
            for state in states:
                groups.setdefault(state.target.address, []).append(state)
        now = time.monotonic()
        watches = {}
        for address, states in groups.items():
            old = self._watches.get(address)
            # A new host first hears from the others which targets are quiet.
            watch = Watch(address, tuple(states), now, now)
            if old is not None:
                watch.told, watch.not_before = old.told, old.not_before
            latest = now + watch.after * random.uniform(*TELL_SHARES)
            watch.due = latest if old is None else min(old.due, latest)
            watches[address] = watch
        self._watches = watches
        self._heap = [(watch.due, address) for address, watch in watches.items()]
        heapq.heapify(self._heap)

    def _visit(self, watch):
        """Do what is due for a target; return when to visit it next."""
        now = time.monotonic()
        own, after = watch.own, watch.after
        known = max(watch.told, watch.elsewhere)
        if own > known:
            self._news.append((watch.address, own, True, False))
            known = own
        watch.told = known
        for share in (random.uniform(*TELL_SHARES), LAST_TELL_SHARE):
            if known + after * share > now:
                return known + after * share
        due = self._find_due(watch, known + after, now)
        if due > now:
            return due
        if not self._may_probe(watch, now):
            return now + after * random.uniform(*RETRY_SHARES)
        if not self._probe(watch):
            least, most = RETRY_BOUNDS_S
            pause = min(max(1 / watch.budget, least), most)
            watch.not_before = now + pause * random.uniform(*RETRY_SHARES)
            return watch.not_before
        return time.monotonic() + after * random.uniform(*TELL_SHARES)

    def _find_due(self, watch, quiet_at, now):
        """Return when this host should probe a target that stays quiet."""
        if watch.budget < MIN_PROBE_BUDGET:
            return now + watch.after
        names = self._membership.live_names()
        if self._name not in names:
            return now + watch.after
        lasts = find_probe_term(watch.budget) + CLOCK_MARGIN_S
        safe = self._lists.find_safe_time(watch.address, lasts)
        earliest = max(quiet_at, watch.probed + lasts, watch.not_before, safe)
        length = max(watch.after, 1 / watch.budget)
        # All hosts find about the same number without a message. Where they
        # do not, the lease decides.
        interval = int((time.time() + earliest - now) // length)
        key = f"{watch.address}\0probe\0{interval}"
        rank = rank_hosts(names, key).index(self._name)
        # The same jitter on all hosts keeps their order.
        jitter = xxhash.xxh3_64_intdigest(key.encode()) / 2**64 * JITTER_SHARE * length
        return earliest + jitter + rank * RANK_STEP_S

    def _may_probe(self, watch, now):
        """Tell whether this host may ask for a lease now."""
        return (
            self._membership.check_serving() is None
            and all(state.needs_probe(now) for state in watch.states)
            # Work in all slots brings a report without a probe.
            and all(state.in_flight < state.limits.slots for state in watch.states)
        )

    def _probe(self, watch):
        """Probe a target under a lease; return False without one."""
        # The clock is read before the lease is asked for, so that the last
        # start is never later than the grantors assume.
        deadline = time.time() + PROBE_START_S
        term_ms = math.ceil(find_probe_term(watch.budget) * 1000)
        number = next(self._quorum.numbers)
        request = LeaseRequest(number, PROBE, watch.address, 0, term_ms)
        grantors = self._quorum.find_grantors(watch.address)
        lasts = term_ms / 1000 + CLOCK_MARGIN_S
        # The host list may have changed since the visit was planned.
        if self._lists.find_safe_time(watch.address, lasts) > time.monotonic():
            return False
        pending = self._quorum.ask(grantors, request)
        if not pending.agreed:
            # Nothing was sent under it; a lease that was used is never released.
            self._quorum.release(grantors, request, whole=False)
            self._metrics.increment("probes.no_lease")
            return False
        self._metrics.increment("probes.sent")
        started = time.monotonic()
        for state in watch.states:
            state.update_report_times(NEVER, started)
        answered = self._send(watch, deadline)
        self._metrics.increment("probes.answered" if answered else "probes.failed")
        reported = watch.own >= started
        if reported:
            watch.told = watch.own
        self._news.append((watch.address, started, reported, True))
        self._send_news()
        return True

    def _send(self, watch, deadline):
        """Send a probe; return whether a whole response arrived."""
        state = watch.states[0]
        limits = replace(
            state.limits,
            connect_timeout=min(state.limits.connect_timeout, PROBE_START_S),
            stall_timeout=PROBE_START_S,
        )
        attempt = self._build_attempt(watch, deadline)
        outcome = Error(doubt(Reason.INTERNAL, "the probe broke off"))
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
                "Request-Id": f"probe-{self._name[:40]}-{next(self._numbers)}",
                "Attempt-Id": attempt_id,
                "Request-Deadline": limit,
                "Response-Deadline": limit,
            },
            body=RequestBody(io.BytesIO(), 0, 0, deadline),
            attempt_id=attempt_id,
            deadline=deadline,
            guard=lambda: self._check_send(watch, deadline),
            caller_socket=None,
            # A pooled connection that the target closed would look like a
            # fault of the target.
            idempotent=False,
        )

    def _check_send(self, watch, deadline):
        """Return why a probe must not be sent, or None."""
        refusal = self._membership.check_serving()
        if refusal is not None:
            return refusal
        now = time.monotonic()
        if not all(state.needs_probe(now) for state in watch.states):
            return refuse(Reason.STALE_DECISION, "the target needs no probe")
        # The clock is read last, so that a pause before this point counts.
        if time.time() >= deadline:
            return refuse(Reason.DEADLINE, "the lease is too old for a probe")
        return None

    def _send_news(self):
        """Tell all hosts what this host saw since the last call."""
        news, self._news = self._news, []
        now = time.monotonic()
        entries = [
            SeenTarget(
                address, min(int((now - seen) * 1000), MAX_AGE_MS), reported, probed
            )
            for address, seen, reported, probed in news
        ]
        for first in range(0, len(entries), MAX_ENTRIES):
            part = tuple(entries[first : first + MAX_ENTRIES])
            self._network.broadcast(SeenTargets(part))
        if entries:
            self._metrics.increment("probes.reports_told", len(entries))


def _read_body(response, deadline):
    """Read the body of a probe's response; return whether it is whole."""
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
