"""Leases on the slots of targets in cold start: the side that asks."""

import math
import random
import threading
import time
from dataclasses import dataclass

from .grants import MAX_TERM_S
from .messages import LeaseReply, LeaseRequest
from .quorum import MAX_GRANTORS, QuorumClient, count_quorum
from .slots import COLD
from .targets import Temperature

__all__ = [
    "MAX_GRANTORS",
    "Lease",
    "LeaseClient",
    "LeaseGrantor",
    "count_quorum",
]

# After a refusal the slot is in use; asking again at once would only
# collide with the other hosts that ask.
BACKOFF_S = (0.01, 0.06)
# While warm targets exist, requests pay for the lease's round trip only as
# often as a cold target needs work to get warm.
TRICKLE_S = 0.05
MIN_USEFUL_TERM_S = 0.05


@dataclass(frozen=True)
class Lease:
    """The right to give one request to a target in cold start.

    Attributes
    ----------
    state : TargetState
        The target.
    request : LeaseRequest
        The request for the lease.
    grantors : tuple of str
        Hosts that were asked.
    expires_at : float
        Unix time in seconds.
    """

    state: object
    request: LeaseRequest
    grantors: tuple
    expires_at: float


class LeaseClient:
    """Asks grantors for leases and gives them up.

    Parameters
    ----------
    name : str
        Name of this host.
    grants : GrantTable
        The grants of this host, which may itself be a grantor.
    membership : Membership
        Source of host names.
    network : PeerNetwork
        Way to the other grantors.
    metrics : Metrics
        Counters.
    on_warm : callable
        Called with a TargetState whose ramp is complete.
    """

    def __init__(self, name, grants, membership, network, metrics, on_warm):
        self.quorum = QuorumClient(name, grants, membership, network)
        self._metrics = metrics
        self._on_warm = on_warm
        self._lock = threading.Lock()
        self._not_before = {}
        self._slots = {}

    def select(self, cold, has_warm):
        """Return the cold targets to ask for, in order.

        Parameters
        ----------
        cold : sequence of TargetState
            Candidates.
        has_warm : bool
            Whether a warm target could take the request.

        Returns
        -------
        list of TargetState
            Those that may be asked for now, at most one with a warm target.
        """
        now = time.monotonic()
        ready = [s for s in cold if self._not_before.get(s.target, 0.0) <= now]
        random.shuffle(ready)
        return ready[:1] if has_warm else ready[:3]

    def acquire(self, state, deadline, has_warm=False):
        """Return a lease on a slot of a target, or None.

        Parameters
        ----------
        state : TargetState
            The target.
        deadline : float
            Unix time in seconds after which the lease is of no use.
        has_warm : bool, default=False
            Whether a warm target could take the request.

        Returns
        -------
        Lease or None
            The lease.
        """
        if not self._begin(state, TRICKLE_S if has_warm else 0.0):
            return None
        known = self._slots.get(state.target, state.limits.cold_slots)
        slot = random.randrange(max(1, min(known, state.limits.slots)))
        # The clock is read before the request is sent, so that the holder's
        # end of the lease is never later than a grantor's.
        now = time.time()
        longest = min(MAX_TERM_S, state.limits.cold_lease)
        term = min(deadline - now, longest)
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
            self._slots[state.target] = pending.slots_allowed
            if slot < pending.slots_allowed:
                self._metrics.increment("leases.acquired")
                self._note_ramp(state, pending.slots_allowed)
                return lease
        elif pending.slots_seen:
            self._slots[state.target] = pending.slots_seen
        self._metrics.increment("leases.refused")
        self.quorum.release(grantors, request, whole=False)
        self._not_before[state.target] = time.monotonic() + random.uniform(*BACKOFF_S)
        return None

    def release_if_finished(self, lease, finished, whole=False):
        """Release a lease if its work is known to be over.

        Parameters
        ----------
        lease : Lease
            The lease.
        finished : bool
            Whether nothing runs at the target for it; if not, the lease
            must expire.
        whole : bool, default=False
            Whether a whole response arrived.
        """
        if not finished:
            self._metrics.increment("leases.left_to_expire")
            return
        report = lease.state.report
        warm = report is None or report.temperature is Temperature.WARM
        self.quorum.release(lease.grantors, lease.request, whole and warm)

    def record_reply(self, sender, reply):
        """Take a grantor's reply.

        Parameters
        ----------
        sender : str
            Name of the grantor.
        reply : LeaseReply
            Its reply.
        """
        self.quorum.record_reply(sender, reply)

    def _begin(self, state, pause):
        """Tell whether this thread may ask for a target now."""
        now = time.monotonic()
        with self._lock:
            if self._not_before.get(state.target, 0.0) > now:
                return False
            self._not_before[state.target] = now + pause
            return True

    def _note_ramp(self, state, slots_allowed):
        """Declare a target warm when its ramp is complete."""
        report = state.report
        if slots_allowed <= state.limits.slots or report is None:
            return
        if report.temperature is Temperature.WARM and state.is_cold:
            state.mark_warm(report.start_id)
            self._on_warm(state)


class LeaseGrantor:
    """Answers other hosts' lease messages from this host's grants.

    Parameters
    ----------
    grants : GrantTable
        The grants of this host.
    network : PeerNetwork
        Way back to the holders.
    metrics : Metrics
        Counters.
    """

    def __init__(self, grants, network, metrics):
        self._grants = grants
        self._network = network
        self._metrics = metrics

    def handle_request(self, sender, request):
        """Grant or refuse a slot.

        Parameters
        ----------
        sender : str
            Name of the host that asks.
        request : LeaseRequest
            What it asks for.
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
        """Free a slot.

        Parameters
        ----------
        sender : str
            Name of the host that held it.
        release : LeaseRelease
            What it gives up.
        """
        self._grants.release(
            sender,
            release.number,
            release.kind,
            release.target,
            release.slot,
            release.whole,
        )
