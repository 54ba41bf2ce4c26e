"""Lease requests to the grantors of a target, decided by a quorum of them."""

import itertools
import math
import secrets
import threading

from .messages import LeaseRelease
from .policy.rendezvous import rank_hosts

MAX_GRANTORS = 9
# Quorums under two host lists that differ in d grantors intersect as long as
# 2 * quorum > grantors + d.
QUORUM_FRACTION = 0.75
# A round trip between data centres takes 2 ms; the rest allows for busy hosts.
REPLY_TIMEOUT_S = 0.25
# How long to wait for the first grantor before sending the request to the others.
# Hosts that request a lease at the same time would otherwise split the grants, and none
# would reach a quorum. Without a reply in this time the other grantors decide.
FIRST_REPLY_TIMEOUT_S = 0.02


def count_quorum(grantors):
    """Return how many grantors must grant a request.

    Parameters
    ----------
    grantors : int
        Number of grantors.

    Returns
    -------
    int
        The size of a quorum, at least three quarters of the grantors.
    """
    return max(grantors // 2 + 1, math.ceil(grantors * QUORUM_FRACTION))


def rank_grantors(names, address):
    """Return the hosts that act as grantors of a target.

    Parameters
    ----------
    names : iterable of str
        Names of all hosts.
    address : str
        Address of the target.

    Returns
    -------
    tuple of str
        The first ``MAX_GRANTORS`` names by rendezvous hash.
    """
    return tuple(rank_hosts(names, address)[:MAX_GRANTORS])


class PendingRequest:
    """Replies to one request for a lease.

    Parameters
    ----------
    grantors : int
        Number of hosts that receive the request.
    """

    def __init__(self, grantors):
        self._quorum = count_quorum(grantors)
        self._max_refusals = grantors - self._quorum
        self._lock = threading.Lock()
        self._refusals = 0
        self._allowed_slot_counts = []
        self.min_slots_in_refusals = None
        self.replied = threading.Event()
        self.decided = threading.Event()

    def record_unreachable(self):
        """Count a grantor that the request could not be sent to."""
        with self._lock:
            self._max_refusals -= 1
            if self._refusals > self._max_refusals:
                self.decided.set()
            self.replied.set()

    def record(self, granted, slots_allowed):
        """Record a reply.

        Parameters
        ----------
        granted : bool
            Whether the slot was granted.
        slots_allowed : int
            Number of slots that the ramp allows according to the grantor.
        """
        with self._lock:
            if granted:
                self._allowed_slot_counts.append(slots_allowed)
            else:
                self._refusals += 1
                if (
                    self.min_slots_in_refusals is None
                    or slots_allowed < self.min_slots_in_refusals
                ):
                    self.min_slots_in_refusals = slots_allowed
            if self.agreed or self._refusals > self._max_refusals:
                self.decided.set()
            self.replied.set()

    @property
    def refused(self):
        """Return whether any grantor refused the request."""
        return self._refusals > 0

    @property
    def agreed(self):
        """Return whether a quorum of grantors granted the request."""
        return len(self._allowed_slot_counts) >= self._quorum

    @property
    def slots_allowed(self):
        """Return the least number of slots allowed by a grantor that granted."""
        return min(self._allowed_slot_counts, default=0)


class QuorumClient:
    """Sends lease requests to the grantors of a target and collects the replies.

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
    """

    def __init__(self, name, grants, membership, network):
        self._name = name
        self._grants = grants
        self._membership = membership
        self._network = network
        # Numbers start at random, so that a reply to an earlier process of this host
        # does not match a request of this one.
        self.request_numbers = itertools.count(secrets.randbits(48))
        self._pending = {}

    def find_grantors(self, address):
        """Return the hosts that act as grantors of a target.

        Parameters
        ----------
        address : str
            Address of the target.

        Returns
        -------
        tuple of str
            At most ``MAX_GRANTORS`` names, in the order of their rank.
        """
        names = {host.name for host in self._membership.hosts} | {self._name}
        return rank_grantors(names, address)

    def request_grants(self, grantors, request):
        """Send a request to the grantors and wait until it is decided.

        Parameters
        ----------
        grantors : sequence of str
            Names of the grantors.
        request : LeaseRequest
            The request.

        Returns
        -------
        PendingRequest
            The replies received in time; later ones are dropped.
        """
        pending = PendingRequest(len(grantors))
        self._pending[request.number] = pending
        first, *others = grantors
        try:
            self._send_request(first, request, pending)
            pending.replied.wait(FIRST_REPLY_TIMEOUT_S)
            if not pending.refused:
                for grantor in others:
                    self._send_request(grantor, request, pending)
                pending.decided.wait(REPLY_TIMEOUT_S)
        finally:
            del self._pending[request.number]
        return pending

    def release(self, grantors, request, whole):
        """Release the slot at the grantors that may have granted it.

        Parameters
        ----------
        grantors : sequence of str
            Names of the hosts that received the request.
        request : LeaseRequest
            The request.
        whole : bool
            Whether a complete response arrived.
        """
        message = LeaseRelease(
            request.number, request.kind, request.target, request.slot, whole
        )
        for grantor in grantors:
            if grantor == self._name:
                self._grants.release(
                    self._name,
                    request.number,
                    request.kind,
                    request.target,
                    request.slot,
                    whole,
                )
            else:
                self._network.send(grantor, message)

    def record_reply(self, sender, reply):
        """Record the reply of a grantor.

        Parameters
        ----------
        sender : str
            Name of the grantor.
        reply : LeaseReply
            The reply.
        """
        pending = self._pending.get(reply.number)
        if pending is not None:
            pending.record(reply.granted, reply.slots_allowed)

    def _send_request(self, grantor, request, pending):
        if grantor == self._name:
            answer = self._grants.request(
                self._name,
                request.number,
                request.kind,
                request.target,
                request.slot,
                request.term_ms / 1000,
            )
            pending.record(answer.granted, answer.slots_allowed)
        elif not self._network.send(grantor, request):
            pending.record_unreachable()
