"""Client and server side of leases on the slots of targets in cold start."""

import math
import random
import threading
import time
from dataclasses import dataclass

from .grants import MAX_TERM_S
from .messages import LeaseReply, LeaseRequest
from .policy.slots import COLD
from .quorum import MAX_GRANTORS, QuorumClient, count_quorum
from .targets import Temperature

__all__ = [
    "MAX_GRANTORS",
    "Lease",
    "LeaseClient",
    "LeaseGrantor",
    "count_quorum",
]

# Range of the random delay after a refusal. The slot is in use then, and a retry
# without a delay would compete with the requests of other hosts.
BACKOFF_S = (0.01, 0.06)
# Minimum time between lease requests for one cold target while warm targets exist.
# It limits how many requests wait for the round trip of a lease, but still gives the
# cold target enough work to warm up.
COLD_REQUEST_INTERVAL_S = 0.05
MIN_USEFUL_TERM_S = 0.05


@dataclass(frozen=True)
class Lease:
    """Permission to send one request to a target in cold start.

    Attributes
    ----------
    state : TargetState
        The target.
    request : LeaseRequest
        The message that requested the lease.
    grantors : tuple of str
        Names of the hosts that the message was sent to.
    expires_at : float
        Unix time in seconds.
    """

    state: object
    request: LeaseRequest
    grantors: tuple
    expires_at: float


class LeaseClient:
    """Requests leases from grantors and releases them.

    Parameters
    ----------
    name : str
        Name of this host.
    grants : GrantTable
        Grants made by this host, which may itself be a grantor.
    membership : Membership
        Provides the host names.
    network : PeerNetwork
        Connections to the other grantors.
    metrics : Metrics
        Counters.
    on_warm : callable
        Called with the TargetState of a target that has completed its ramp.
    """

    def __init__(self, name, grants, membership, network, metrics, on_warm):
        self.quorum = QuorumClient(name, grants, membership, network)
        self._metrics = metrics
        self._on_warm = on_warm
        self._lock = threading.Lock()
        self._not_before = {}
        self._slots_allowed = {}

    def select(self, cold, has_warm):
        """Return the cold targets to request a lease for, in order.

        Parameters
        ----------
        cold : sequence of TargetState
            Candidate targets.
        has_warm : bool
            Whether a warm target could serve the request.

        Returns
        -------
        list of TargetState
            At most three targets without a pending delay, or at most one if there
            is a warm target.
        """
        now = time.monotonic()
        ready = [
            state for state in cold if self._not_before.get(state.target, 0.0) <= now
        ]
        random.shuffle(ready)
        return ready[:1] if has_warm else ready[:3]

    def acquire(self, state, deadline, has_warm=False):
        """Acquire a lease on a slot of a target.

        Parameters
        ----------
        state : TargetState
            The target.
        deadline : float
            Unix time in seconds at which the request must be done.
        has_warm : bool, default=False
            Whether a warm target could serve the request.

        Returns
        -------
        Lease or None
            The lease, or None if it was refused or not requested.
        """
        if not self._start_attempt(state, COLD_REQUEST_INTERVAL_S if has_warm else 0.0):
            return None
        known = self._slots_allowed.get(state.target, state.limits.cold_slots)
        slot = random.randrange(max(1, min(known, state.limits.slots)))
        # Read the clock before sending the request, so that the lease never expires
        # later for the holder than for a grantor.
        now = time.time()
        max_term = min(MAX_TERM_S, state.limits.cold_lease)
        term = min(deadline - now, max_term)
        if term < MIN_USEFUL_TERM_S:
            return None
        address = state.target.address
        request = LeaseRequest(
            next(self.quorum.request_numbers),
            COLD,
            address,
            slot,
            math.floor(term * 1000),
        )
        grantors = self.quorum.find_grantors(address)
        lease = Lease(state, request, grantors, now + term)
        pending = self.quorum.request_grants(grantors, request)
        if pending.agreed:
            self._slots_allowed[state.target] = pending.slots_allowed
            if slot < pending.slots_allowed:
                self._metrics.increment("leases.acquired")
                self._mark_warm_if_complete(state, pending.slots_allowed)
                return lease
        elif pending.min_slots_in_refusals:
            self._slots_allowed[state.target] = pending.min_slots_in_refusals
        self._metrics.increment("leases.refused")
        self.quorum.release(grantors, request, whole=False)
        self._not_before[state.target] = time.monotonic() + random.uniform(*BACKOFF_S)
        return None

    def release_if_finished(self, lease, finished, whole=False):
        """Release a lease if its request is known to have ended.

        Parameters
        ----------
        lease : Lease
            The lease.
        finished : bool
            Whether the target no longer works on the request. Otherwise the
            lease is kept until it expires.
        whole : bool, default=False
            Whether a complete response arrived.
        """
        if not finished:
            self._metrics.increment("leases.left_to_expire")
            return
        report = lease.state.report
        warm = report is None or report.temperature is Temperature.WARM
        self.quorum.release(lease.grantors, lease.request, whole and warm)

    def record_reply(self, sender, reply):
        """Record the reply of a grantor.

        Parameters
        ----------
        sender : str
            Name of the grantor.
        reply : LeaseReply
            The reply.
        """
        self.quorum.record_reply(sender, reply)

    def _start_attempt(self, state, interval):
        """Return whether to request a lease now, and delay the next request if so."""
        now = time.monotonic()
        with self._lock:
            if self._not_before.get(state.target, 0.0) > now:
                return False
            self._not_before[state.target] = now + interval
            return True

    def _mark_warm_if_complete(self, state, slots_allowed):
        """Mark a target as warm if its ramp is complete and it reports itself warm."""
        report = state.report
        if slots_allowed <= state.limits.slots or report is None:
            return
        if report.temperature is Temperature.WARM and state.is_cold:
            state.mark_warm(report.start_id)
            self._on_warm(state)


class LeaseGrantor:
    """Handles lease messages of other hosts.

    Parameters
    ----------
    grants : GrantTable
        Grants made by this host.
    network : PeerNetwork
        Connections to the lease holders.
    metrics : Metrics
        Counters.
    """

    def __init__(self, grants, network, metrics):
        self._grants = grants
        self._network = network
        self._metrics = metrics

    def handle_request(self, sender, request):
        """Grant or refuse a lease and send the reply.

        Parameters
        ----------
        sender : str
            Name of the host that requests the lease.
        request : LeaseRequest
            The request.
        """
        answer = self._grants.request(
            sender,
            request.number,
            request.kind,
            request.target,
            request.slot,
            request.term_ms / 1000,
        )
        self._metrics.increment("grants.given" if answer.granted else "grants.refused")
        reply = LeaseReply(request.number, answer.granted, answer.slots_allowed)
        self._network.send(sender, reply)

    def handle_release(self, sender, release):
        """Release a lease.

        Parameters
        ----------
        sender : str
            Name of the host that held the lease.
        release : LeaseRelease
            The message that identifies the lease.
        """
        self._grants.release(
            sender,
            release.number,
            release.kind,
            release.target,
            release.slot,
            release.whole,
        )
