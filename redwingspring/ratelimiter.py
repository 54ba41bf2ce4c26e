"""Rate limits of teams over all hosts: asks the owner of a team for each request."""

import itertools
import random
import threading
from collections import Counter

from .clock import read_clock
from .limitedteams import LimitedTeams
from .mappings import drop_oldest
from .members import MemberState
from .policy.rendezvous import rank_hosts
from .policy.usageallotments import LATENESS_S
from .policy.usagecaps import UsageOwner
from .policy.usagehosts import UsageHosts
from .policy.usagemessages import UsageAsk
from .policy.usagerights import MAX_CONTACTS, StaticShare, UsageRights
from .usagereports import PREFIX, decode_usage, encode_usage
from .usagerequests import GROUPS, Admission, PendingRequest, describe_team

TICK_S = 0.1
# A request waits this long for its token at most; together with the time at which its
# first byte is sent it must stay below usageallotments.LATENESS_S.
ASK_TIMEOUT_S = 0.3
# An ask without an answer is repeated after each of these times.
REPEATS_S = (0.04, 0.1, 0.18)
MAX_PENDING = 4096
# Requests of one team that wait at the same time. While no owner answers, a team beyond
# its limit would otherwise occupy the worker threads of all teams.
MAX_WAITING = 64
# Requests of a team without tokens are rejected without asking for this long at most.
MAX_BLOCKED_S = 0.25
MIN_RETRY_AFTER_S = 0.005
UNANSWERED_RETRY_AFTER_S = 0.5
# Owners have at least this share of the capacity of the strongest host.
MIN_OWNER_CAPACITY_RATIO = 0.5


class RateLimiter:
    """Admits the requests of teams within their rate limits.

    Parameters
    ----------
    network : GossipNetwork
        Sends and receives datagrams.
    members : Members
        Hosts that are alive.
    bound : UsageBound
        Bound on the requests of each team.
    find_version : callable
        Returns the version of the configuration in force, or None if it contains no
        teams.
    metrics : Metrics
        Counters.
    decisions : DecisionLog
        Receives a line when a team begins and stops to be limited.
    data_centres : int, default=1
        Number of data centres.
    seeds : int, default=0
        Number of other hosts that are expected at least.
    clock : callable, default=read_clock
        Returns seconds.
    """

    def __init__(
        self,
        network,
        members,
        bound,
        find_version,
        metrics,
        decisions,
        data_centres=1,
        seeds=0,
        clock=read_clock,
    ):
        self._network = network
        self._members = members
        self._bound = bound
        self._find_version = find_version
        self._metrics = metrics
        self._clock = clock
        now = clock()
        own = members.own
        run = random.getrandbits(32)
        self._name = own.name
        self._owners = [UsageOwner(own.name, run, bound) for _ in range(GROUPS)]
        self._rights = [UsageRights(own.name, g, bound) for g in range(GROUPS)]
        self._hosts = UsageHosts(own.name, own.data_centre, data_centres, seeds, now)
        self._static = StaticShare(bound)
        self._limited = LimitedTeams(decisions)
        self._lock = threading.Lock()
        # A restarted process continues above the numbers of the previous one.
        self._sequence = itertools.count(int(now * 1e6) + 1)
        self._pending = {}
        self._waiting = Counter()
        self._blocked = {}
        self._ranked_for = None
        self._ranked = ()
        network.add_handler(PREFIX, self.handle_datagram)

    def start(self, start_supervised):
        """Start the thread that keeps the share of this host with the owners.

        Parameters
        ----------
        start_supervised : callable
            Called with a name and a function that takes the event of the stop.
        """
        start_supervised("rate-limits", self.run)

    def run(self, stopping):
        """Exchange messages with the owners until the process stops.

        Parameters
        ----------
        stopping : threading.Event
            Set when the process stops.
        """
        while not stopping.wait(TICK_S):
            self.advance()

    def advance(self):
        """Take over the current hosts and send the messages that are due.

        Without teams no message is sent, but the hosts are followed, so that their
        shares can be used as soon as there are teams.
        """
        now = self._clock()
        alive = self._members.list_alive()
        staying = [m for m in alive if m.state is not MemberState.LEAVING]
        leaving = [m.name for m in alive if m.state is MemberState.LEAVING]
        self._hosts.update({m.name: m.data_centre for m in staying}, leaving, now)
        if self._find_version() is None:
            return
        place = self._hosts.find_place()
        is_leaving = self._members.own.state is MemberState.LEAVING
        count = 0 if place is None or is_leaving else place.count
        ranked = self._rank_owners(staying)
        for group, rights in enumerate(self._rights):
            for owner in rights.advance(now, ranked[group], count):
                self._send_ask(owner, group)
        self._limited.sweep(now)

    def _rank_owners(self, members):
        """Return the first hosts for each group, the preferred owner first."""
        serving = [m for m in members if m.state is MemberState.SERVING]
        strongest = max((m.capacity for m in serving), default=0)
        needed = MIN_OWNER_CAPACITY_RATIO * strongest
        names = frozenset(m.name for m in serving if m.capacity >= needed)
        if names != self._ranked_for:
            self._ranked = [
                rank_hosts(names, f"rate-limits-{group}")[:MAX_CONTACTS]
                for group in range(GROUPS)
            ]
            self._ranked_for = names
        return self._ranked

    def admit(self, team):
        """Admit or reject one request; waits for the owner's answer if it must.

        Parameters
        ----------
        team : Team
            The team that sent it, with its limit and the version of that.

        Returns
        -------
        Admission
            Whether the request is admitted; to be cancelled if it reaches no target.
        """
        if team is None or team.rate_per_s <= 0:
            return Admission()
        limited = describe_team(team)
        now = self._clock()
        retry_after_s = self._find_block(limited, now)
        if retry_after_s is None:
            admission = self._wait_in_turn(limited, now)
        else:
            admission = Admission(limited, retry_after_s)
        if admission.retry_after_s is None:
            self._metrics.increment("usage.admitted")
            return admission
        self._metrics.increment("usage.rejected")
        self._limited.record(limited.name, limited.limit, self._clock())
        retry_after_s = max(MIN_RETRY_AFTER_S, admission.retry_after_s)
        return Admission(limited, retry_after_s)

    def cancel(self, admission):
        """Give back the admission of a request that reached no target.

        Parameters
        ----------
        admission : Admission
            The admission.
        """
        if admission.team is None or admission.retry_after_s is not None:
            return
        self._metrics.increment("usage.returned")
        if admission.static_at is None:
            self._return_token(admission.team, admission.issued)
        else:
            self._static.cancel(admission.team.key, admission.static_at)

    def _find_block(self, team, now):
        """Return the time until a token can be there; None when one can be."""
        blocked_until, limit, retry_at = self._blocked.get(team.key, (0.0, None, 0.0))
        if now >= blocked_until or limit != team.limit:
            return None
        return retry_at - now

    def _wait_in_turn(self, team, now):
        """Ask for a token unless too many requests of the team wait for one."""
        with self._lock:
            may_wait = self._waiting[team.key] < MAX_WAITING
            self._waiting[team.key] += may_wait
        if not may_wait:
            return self._end(PendingRequest(team, now))
        try:
            return self._ask(team, now)
        finally:
            with self._lock:
                self._waiting[team.key] -= 1
                if not self._waiting[team.key]:
                    del self._waiting[team.key]

    def _ask(self, team, now):
        """Ask the owner for a token, repeatedly; return the Admission."""
        request = PendingRequest(team, now)
        rights = self._rights[team.group]
        for wait_end_s in (*REPEATS_S, ASK_TIMEOUT_S):
            owner = rights.choose_owner(self._clock())
            if owner is not None:
                self._send_ask(owner, team.group, request)
            while (remaining_s := now + wait_end_s - self._clock()) > 0:
                if not request.event.wait(remaining_s):
                    break
                request.event.clear()
                if request.reply.granted or not request.reply.is_starting:
                    return self._end(request)
        return self._end(request)

    def _end(self, request):
        """Return the Admission of a request that no longer waits."""
        with self._lock:
            request.is_over = True
            reply = request.reply
        now = self._clock()
        team = request.team
        if reply is not None and reply.granted:
            if now - request.asked_at <= ASK_TIMEOUT_S:
                return Admission(team, issued=reply.stamp)
            # This process was suspended; the token is for an earlier time.
            self._return_token(team, reply.stamp)
        if reply is None:
            self._metrics.increment("usage.unanswered")
        is_refused = reply is not None and not reply.granted and reply.empty_s > 0
        if is_refused:
            self._block(team, reply, now)
            return Admission(team, reply.retry_after_s)
        steady_s = self._bound.window_s + LATENESS_S
        place = self._hosts.find_steady_place(steady_s, now)
        if self._static.take(team.key, team.limit, place, now):
            self._metrics.increment("usage.admitted_without_owner")
            return Admission(team, static_at=now)
        unanswered = reply is None
        return Admission(
            team, UNANSWERED_RETRY_AFTER_S if unanswered else reply.retry_after_s
        )

    def _block(self, team, reply, now):
        """Reject further requests of a team until its owner can have a token."""
        until = now + min(MAX_BLOCKED_S, reply.empty_s)
        with self._lock:
            self._blocked.pop(team.key, None)
            self._blocked[team.key] = (until, team.limit, now + reply.retry_after_s)
            drop_oldest(self._blocked, MAX_PENDING)

    def _return_token(self, team, issued):
        owner = self._rights[team.group].choose_owner(self._clock())
        if owner is not None:
            self._send_ask(owner, team.group, returned_for=team, issued=issued)

    def _send_ask(self, owner, group, request=None, returned_for=None, issued=None):
        """Send a message to an owner, which may be this host."""
        fields = {}
        team = returned_for or (request and request.team)
        if team:
            fields = {"team": team.key, "limit": team.limit}
        if returned_for is not None:
            fields.update(returned=True, issued=issued)
        with self._lock:
            sequence = next(self._sequence)
            if request is not None:
                self._pending[sequence] = request
                drop_oldest(self._pending, MAX_PENDING)
        ask = self._rights[group].build_ask(
            self._clock(),
            owner,
            sequence,
            **fields,
        )
        if owner == self._name:
            self._handle_reply(self._owners[group].handle(ask, self._clock()))
            return
        member = self._members.find(owner)
        if member is not None:
            self._metrics.increment("usage.sent")
            self._network.send_datagram(encode_usage(ask), member.peer_address)

    def handle_datagram(self, data, sender):
        """Handle a datagram of another host.

        Parameters
        ----------
        data : bytes
            The datagram.
        sender : tuple of (str, int)
            Address of the other host.
        """
        message = decode_usage(data)
        if message is None or message.group >= GROUPS:
            self._metrics.increment("usage.malformed")
        elif isinstance(message, UsageAsk):
            reply = self._owners[message.group].handle(message, self._clock())
            self._metrics.increment("usage.sent")
            self._network.send_datagram(encode_usage(reply), sender)
        else:
            self._handle_reply(message)

    def _handle_reply(self, reply):
        with self._lock:
            request = self._pending.pop(reply.sequence, None)
            is_surplus = request is not None and (
                request.is_over or (request.reply is not None and request.reply.granted)
            )
            if request is not None and not is_surplus:
                request.reply = reply
                request.event.set()
        if is_surplus and reply.granted:
            self._return_token(request.team, reply.stamp)
        rights = self._rights[reply.group]
        now = self._clock()
        if rights.record_reply(reply, now):
            owner = rights.choose_owner(now)
            if owner is not None:
                self._send_ask(owner, reply.group)
