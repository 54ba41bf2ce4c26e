"""Requests to the grantors of a target, decided by a quorum of them."""

import itertools
import math
import secrets
import threading

from .messages import LeaseRelease
from .rendezvous import rank_hosts

MAX_GRANTORS = 9
# Two quorums out of lists that differ in d grantors intersect while
# 2 * quorum > grantors + d.
QUORUM_SHARE = 0.75
# Round trips between data centres take 2 ms; the rest is for busy hosts.
REPLY_TIMEOUT_S = 0.25
# The first grantor is asked before the others, so that hosts that ask at the
# same time do not split the grants and all fail; without its reply the others
# decide.
FIRST_REPLY_TIMEOUT_S = 0.02


def count_quorum(grantors):
    """Return how many grantors must agree.

    Parameters
    ----------
    grantors : int
        Number of grantors.

    Returns
    -------
    int
        At least three quarters of them.
    """
    return max(grantors // 2 + 1, math.ceil(grantors * QUORUM_SHARE))


def rank_grantors(names, address):
    """Return which hosts decide about a target.

    Parameters
    ----------
    names : iterable of str
        All hosts.
    address : str
        Address of the target.

    Returns
    -------
    tuple of str
        The first ``MAX_GRANTORS`` by rendezvous hash.
    """
    return tuple(rank_hosts(names, address)[:MAX_GRANTORS])


class PendingRequest:
    """Collect the replies to one request for a lease.

    Parameters
    ----------
    grantors : int
        How many hosts are asked.
    """

    def __init__(self, grantors):
        self._quorum = count_quorum(grantors)
        self._spare = grantors - self._quorum
        self._lock = threading.Lock()
        self._refused = 0
        self._allowed = []
        self.slots_seen = None
        self.replied = threading.Event()
        self.decided = threading.Event()

    def record_silence(self):
        """Count a grantor that cannot be asked."""
        with self._lock:
            self._spare -= 1
            if self._refused > self._spare:
                self.decided.set()
            self.replied.set()

    def record(self, granted, slots_allowed):
        """Count a reply.

        Parameters
        ----------
        granted : bool
            Whether the slot was granted.
        slots_allowed : int
            Slots that the grantor's ramp allows.
        """
        with self._lock:
            if granted:
                self._allowed.append(slots_allowed)
            else:
                self._refused += 1
                if self.slots_seen is None or slots_allowed < self.slots_seen:
                    self.slots_seen = slots_allowed
            if self.agreed or self._refused > self._spare:
                self.decided.set()
            self.replied.set()

    @property
    def refused(self):
        """Tell whether any grantor refused."""
        return self._refused > 0

    @property
    def agreed(self):
        """Tell whether enough grantors agreed."""
        return len(self._allowed) >= self._quorum

    @property
    def slots_allowed(self):
        """Least number of slots that an agreeing grantor allows."""
        return min(self._allowed, default=0)


class QuorumClient:
    """Asks the grantors of a target and collects their replies.

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
    """

    def __init__(self, name, grants, membership, network):
        self._name = name
        self._grants = grants
        self._membership = membership
        self._network = network
        # A random start keeps replies to a former process from matching.
        self.request_numbers = itertools.count(secrets.randbits(48))
        self._pending = {}

    def find_grantors(self, address):
        """Return the hosts that decide about a target.

        Parameters
        ----------
        address : str
            Address of the target.

        Returns
        -------
        tuple of str
            At most ``MAX_GRANTORS`` names.
        """
        names = {host.name for host in self._membership.hosts} | {self._name}
        return rank_grantors(names, address)

    def request_grants(self, grantors, request):
        """Return the replies that decide about a request.

        Parameters
        ----------
        grantors : sequence of str
            Hosts to ask.
        request : LeaseRequest
            What to ask for.

        Returns
        -------
        PendingRequest
            The replies; those that arrive later are dropped.
        """
        pending = PendingRequest(len(grantors))
        self._pending[request.number] = pending
        first, *others = grantors
        try:
            self._ask_grantor(first, request, pending)
            pending.replied.wait(FIRST_REPLY_TIMEOUT_S)
            if not pending.refused:
                for grantor in others:
                    self._ask_grantor(grantor, request, pending)
                pending.decided.wait(REPLY_TIMEOUT_S)
        finally:
            del self._pending[request.number]
        return pending

    def release(self, grantors, request, whole):
        """Give up what grantors granted.

        Parameters
        ----------
        grantors : sequence of str
            Hosts that were asked.
        request : LeaseRequest
            The request.
        whole : bool
            Whether a whole response arrived.
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
        """Take a grantor's reply.

        Parameters
        ----------
        sender : str
            Name of the grantor.
        reply : LeaseReply
            Its reply.
        """
        pending = self._pending.get(reply.number)
        if pending is not None:
            pending.record(reply.granted, reply.slots_allowed)

    def _ask_grantor(self, grantor, request, pending):
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
            pending.record_silence()
