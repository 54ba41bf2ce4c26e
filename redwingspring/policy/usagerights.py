"""Share of this host in the rate limits: who holds it, and what is left without one."""

import math
import threading
from collections import deque
from dataclasses import dataclass

from ..mappings import drop_oldest
from .usageallotments import LATENESS_S
from .usagecaps import CESSION_S, MAX_TEAMS
from .usagemessages import OwnerStamp, UsageAsk

# A share is ceded again this long after the last message to its owner.
RENEWAL_S = 0.5
# Messages without a reply are repeated at this interval, and only for this long.
REPEAT_INTERVAL_S = 0.15
REPEAT_PERIOD_S = 0.6
# An owner that has not replied for this long is replaced by its successor, until it
# replies again.
SILENCE_S = 0.3
# An owner that replied within this time can get the share.
FRESH_S = 1.2
# The preferred owner and its successors that are asked while it is silent.
MAX_CONTACTS = 3


@dataclass(frozen=True)
class LatestReply:
    """Newest reply of an owner.

    Attributes
    ----------
    stamp : OwnerStamp
        Its clock reading.
    received_at : float
        Time of its arrival in seconds.
    sequence : int
        Number of the message that it answers.
    """

    stamp: OwnerStamp
    received_at: float
    sequence: int


@dataclass(frozen=True)
class CessionGrant:
    """What comes with a new cession, until the owner confirms it.

    The owner must not count it twice. So all messages that contain it have the same
    clock reading of the owner, and expire at the same time.

    Attributes
    ----------
    sequence : int
        Number of the first message.
    stamp : OwnerStamp
        Clock reading of the owner.
    has_credit : bool
        Whether the credit of the share is included.
    carry : Carry or None
        Tokens from the previous owner.
    """

    sequence: int
    stamp: OwnerStamp
    has_credit: bool
    carry: object


class UsageRights:
    """Share of this host in the rate limits of one group of teams.

    Parameters
    ----------
    name : str
        Name of this host.
    group : int
        Group of teams.
    bound : UsageBound
        Bound on the requests of each team.
    """

    def __init__(self, name, group, bound):
        self._name = name
        self._group = group
        self._credit_interval_s = bound.window_s + LATENESS_S
        self._lock = threading.RLock()
        self._ranked = ()
        self._hosts = 0
        self._replies = {}
        # Time of the first message to each owner that has not replied since.
        self._unanswered = {}
        self._sent_at = {}
        self._advanced_at = None
        self._ceded_to = None
        self._ceded_until = -math.inf
        # Number of the first message that releases the share, until a reply to it.
        self._release_sequence = None
        # When the share was last ceded with its credit.
        self._credited_at = -math.inf
        # Tokens of the released share, until it is ceded again.
        self._carry = None
        # What comes with the cession, until the owner confirms it.
        self._grant = None

    def advance(self, now, ranked, hosts):
        """Take over the current hosts; return whom to send a message.

        Parameters
        ----------
        now : float
            Clock in seconds.
        ranked : sequence of str
            Hosts that can be the owner, the preferred one first.
        hosts : int
            Number of hosts that share the limits; 0 while it is not known.

        Returns
        -------
        list of str
            Names of hosts.
        """
        with self._lock:
            if self._advanced_at is not None and now - self._advanced_at > SILENCE_S:
                # This process was suspended; the owner was not silent.
                self._unanswered.clear()
            self._advanced_at = now
            self._ranked, self._hosts = tuple(ranked), hosts
            contacts = self._list_contacts(now)
            holder = self._find_holder(now)
            if holder is not None and holder not in contacts:
                contacts.append(holder)
            self._forget_others(contacts)
            return [name for name in contacts if self._is_due(name, now)]

    def choose_owner(self, now):
        """Return the host to ask for a token.

        Parameters
        ----------
        now : float
            Clock in seconds.

        Returns
        -------
        str or None
            Name of the host; None without one.
        """
        with self._lock:
            holder = self._find_holder(now)
            if holder is not None and not self._is_silent(holder, now):
                return holder
            contacts = self._list_contacts(now)
            return self._find_fresh(now) or (contacts[-1] if contacts else None)

    def build_ask(self, now, owner, sequence, **request):
        """Return a message to an owner, with a cession where that is allowed.

        Parameters
        ----------
        now : float
            Clock in seconds.
        owner : str
            Name of the host that the message is sent to.
        sequence : int
            Number of the message.
        **request : object
            Fields ``team``, ``limit`` and ``returned`` of UsageAsk.

        Returns
        -------
        UsageAsk
            The message.
        """
        with self._lock:
            self._unanswered.setdefault(owner, now)
            self._sent_at[owner] = now
            fresh = self._find_fresh(now)
            holder = self._find_holder(now)
            if owner == holder and fresh not in (None, owner):
                if self._release_sequence is None:
                    self._release_sequence = sequence
                return UsageAsk(
                    self._group, self._name, sequence, release=True, **request
                )
            if owner == holder:
                self._release_sequence = None
            if owner != fresh or holder not in (None, owner) or not self._hosts:
                return UsageAsk(self._group, self._name, sequence, **request)
            return self._build_cession(now, owner, holder, sequence, request)

    def _build_cession(self, now, owner, holder, sequence, request):
        """Return a message that cedes the share; the lock is held."""
        if holder is None:
            self._begin_cession(now, owner, sequence)
        self._ceded_to = owner
        self._ceded_until = now + CESSION_S
        self._release_sequence = None
        grant = self._grant
        stamp = self._replies[owner].stamp
        return UsageAsk(
            self._group,
            self._name,
            sequence,
            self._hosts,
            grant is not None and grant.has_credit,
            False,
            stamp if grant is None else grant.stamp,
            carry=None if grant is None else grant.carry,
            **request,
        )

    def _begin_cession(self, now, owner, sequence):
        """Choose what comes with a new cession; the lock is held."""
        has_credit = now - self._credited_at >= self._credit_interval_s
        if has_credit:
            self._credited_at = now
        self._grant = CessionGrant(
            sequence, self._replies[owner].stamp, has_credit, self._carry
        )
        self._carry = None

    def record_reply(self, reply, now):
        """Record the reply of an owner.

        Parameters
        ----------
        reply : UsageReply
            The reply.
        now : float
            Clock in seconds.

        Returns
        -------
        bool
            Whether a message should be sent at once, as the share can be ceded now.
        """
        with self._lock:
            owner = reply.host
            if owner not in self._sent_at:
                return False
            known = self._replies.get(owner)
            is_first = known is None
            self._unanswered.pop(owner, None)
            if not is_first and reply.sequence <= known.sequence:
                return False
            self._replies[owner] = LatestReply(reply.stamp, now, reply.sequence)
            if owner != self._ceded_to:
                return is_first
            if not is_first and reply.stamp.run != known.stamp.run:
                # The owner was restarted; what its previous process held has ended.
                self._end_cession()
                return True
            if self._grant is not None and reply.sequence >= self._grant.sequence:
                self._grant = None
            released = self._release_sequence
            if released is None or reply.sequence < released:
                return False
            self._end_cession()
            self._carry = reply.carry
            return True

    def _end_cession(self):
        self._ceded_to = None
        self._ceded_until = -math.inf
        self._release_sequence = None
        self._grant = None

    def _find_holder(self, now):
        """Return the host that holds the share, or None."""
        if self._ceded_to is not None and now >= self._ceded_until:
            self._end_cession()
        return self._ceded_to

    def _list_contacts(self, now):
        """Return the preferred owner, and its successors while it is silent."""
        contacts = []
        for name in self._ranked[:MAX_CONTACTS]:
            contacts.append(name)
            if not self._is_silent(name, now):
                break
        return contacts

    def _find_fresh(self, now):
        """Return the first owner that replied recently, or None."""
        for name in self._list_contacts(now):
            reply = self._replies.get(name)
            is_recent = reply is not None and now - reply.received_at < FRESH_S
            if is_recent and not self._is_silent(name, now):
                return name
        return None

    def _is_silent(self, name, now):
        since = self._unanswered.get(name)
        return since is not None and now - since > SILENCE_S

    def _is_due(self, name, now):
        """Tell whether a host should get a message now."""
        sent_at = self._sent_at.get(name, -math.inf)
        since = self._unanswered.get(name)
        lacks_reply = since is not None and now - since < REPEAT_PERIOD_S
        # No owner holds the share, and this one replies.
        can_get_share = self._ceded_to is None and since is None and self._hosts
        fresh = self._find_fresh(now)
        must_release = name == self._ceded_to and fresh not in (None, name)
        is_urgent = lacks_reply or can_get_share or must_release
        return now - sent_at >= (REPEAT_INTERVAL_S if is_urgent else RENEWAL_S)

    def _forget_others(self, contacts):
        """Keep only what is known of the hosts that get messages."""
        for known in (self._replies, self._unanswered, self._sent_at):
            for name in [name for name in known if name not in contacts]:
                del known[name]


class StaticShare:
    """Requests that this host may admit while no owner answers.

    The hosts divide a whole number of requests for each window by their rank, as an
    equal share would be less than one request.

    Parameters
    ----------
    bound : UsageBound
        Bound on the requests of each team.
    """

    def __init__(self, bound):
        self._bound = bound
        self._lock = threading.Lock()
        self._admitted = {}

    def take(self, team, limit, place, now):
        """Admit one request if the share is not used up.

        Parameters
        ----------
        team : int
            Hash of the team's name.
        limit : RateLimit
            Rate limit of the team.
        place : HostPlace or None
            Place of this host among all; None without a share.
        now : float
            Clock in seconds.

        Returns
        -------
        bool
            Whether the request is admitted.
        """
        if place is None:
            return False
        rank = (place.index + team) % place.count
        total = math.floor(self._bound.allot(limit).static)
        quota = total * (rank + 1) // place.count - total * rank // place.count
        with self._lock:
            admitted = self._admitted.setdefault(team, deque())
            while admitted and now - admitted[0] > self._bound.window_s + LATENESS_S:
                admitted.popleft()
            is_admitted = len(admitted) < quota
            if is_admitted:
                admitted.append(now)
            if not admitted:
                del self._admitted[team]
            drop_oldest(self._admitted, MAX_TEAMS)
            return is_admitted

    def cancel(self, team, admitted_at):
        """Take back an admission.

        Parameters
        ----------
        team : int
            Hash of the team's name.
        admitted_at : float
            When the request was admitted, in seconds.

        Returns
        -------
        bool
            False if it is no longer remembered.
        """
        with self._lock:
            admitted = self._admitted.get(team, ())
            if admitted_at not in admitted:
                return False
            admitted.remove(admitted_at)
            return True
