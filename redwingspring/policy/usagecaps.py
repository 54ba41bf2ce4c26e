"""Owner of the rate limits of a group of teams: issues one token for each request.

Each host holds an equal share of all rate limits. It cedes the share to one owner at a
time, for a limited period. The refill rate and depth of the owner's token buckets are
in proportion to the shares that it holds, so the owners of a network partition issue no
more together than one owner of all hosts. The algorithm combines leases (Gray and
Cheriton, 1989) with token buckets.
"""

import math
import threading
from dataclasses import dataclass, replace

from ..mappings import drop_oldest
from .usagemessages import CARRY_SLOTS, MAX_CARRY_AGE_S, Carry, OwnerStamp, UsageReply
from .usagereturns import ReturnedTokens

# A share is ceded for this long. The owner counts from the moment at which it sent the
# clock reading that the host returns, which is before the host counts from.
CESSION_S = 1.5
# Cessions are remembered for this long, so that delayed messages do not renew them.
REMEMBERED_S = 15.0
MAX_HOSTS = 4096
MAX_TEAMS = 4096
# Shortest and longest retry time of a rejected request.
MIN_RETRY_AFTER_S = 0.005
MAX_RETRY_AFTER_S = 5.0
# Retry time of a request while the shares of this owner are too few for one token.
NO_SHARE_RETRY_AFTER_S = 1.0
# While an owner obtained most of its shares within this time, its buckets may hold
# fewer tokens than those of the previous owner.
STARTING_S = 1.5


@dataclass
class Cession:
    """Share of one host that the owner holds.

    Attributes
    ----------
    since : float
        Start of the cession in seconds.
    until : float
        Its end in seconds.
    weight : float
        The share, as a fraction of all.
    has_credit : bool
        Whether it includes a credit.
    carry : Carry or None
        Tokens of the share from its previous owner.
    sequence : int
        Newest message of the host.
    heard_at : float
        Time of that message in seconds.
    """

    since: float
    until: float
    weight: float
    has_credit: bool
    carry: object
    sequence: int
    heard_at: float


@dataclass(frozen=True)
class Holdings:
    """The shares that an owner holds.

    Attributes
    ----------
    fraction : float
        Their sum, as a fraction of all.
    since : float
        Start of the newest cession in seconds.
    until : float
        End of the first one that ends, in seconds.
    are_new : bool
        Whether most of them were obtained within ``STARTING_S``.
    """

    fraction: float
    since: float
    until: float
    are_new: bool


@dataclass
class Bucket:
    """Token bucket of one team.

    Attributes
    ----------
    team : int
        Hash of the team's name.
    limit : RateLimit
        The newest limit that is known.
    updated_at : float
        Time up to which ``level`` is computed, in seconds.
    returns : ReturnedTokens
        Decides about tokens that are returned.
    level : float, default=0.0
        Tokens.
    promised_until : float, default=0.0
        The latest time that was given to a rejected request, in seconds.
    """

    team: int
    limit: object
    updated_at: float
    returns: ReturnedTokens
    level: float = 0.0
    promised_until: float = 0.0


class UsageOwner:
    """Token buckets of a group of teams, for the hosts that cede their shares.

    Parameters
    ----------
    name : str
        Name of this host.
    run : int
        Random number of this process.
    bound : UsageBound
        Bound on the requests of each team.
    """

    def __init__(self, name, run, bound):
        self._name = name
        self._run = run
        self._bound = bound
        self._lock = threading.Lock()
        self._cessions = {}
        self._buckets = {}
        # New buckets get no tokens for the time before this.
        self._earliest = -math.inf
        self._holdings = None
        # When the holdings were last computed. Shares that are missing from them may
        # have been held until then.
        self._lapsed_at = -math.inf

    def handle(self, ask, now):
        """Handle a message of a host.

        Parameters
        ----------
        ask : UsageAsk
            The message.
        now : float
            Clock in seconds.

        Returns
        -------
        UsageReply
            The reply.
        """
        stamp = OwnerStamp(self._run, _to_ms(now))
        with self._lock:
            carry = self._release(ask, now) if ask.release else None
            is_new = self._record_cession(ask, now)
            reply = UsageReply(ask.group, self._name, ask.sequence, stamp, carry=carry)
            if ask.team and ask.returned:
                if is_new:
                    self._return_token(ask, now)
            elif ask.team:
                reply = self._take(ask, reply, now)
        return reply

    def compute_fraction(self, now):
        """Return the fraction of all shares that this owner holds.

        Parameters
        ----------
        now : float
            Clock in seconds.

        Returns
        -------
        float
            From 0 to 1.
        """
        with self._lock:
            return min(1.0, self._find_holdings(now).fraction)

    def _find_holdings(self, now):
        """Return the shares held now; one pass over the hosts only after a change."""
        if self._holdings is None or self._holdings.until < now:
            self._lapsed_at = now
            held = [c for c in self._cessions.values() if c.until >= now]
            fraction = sum(c.weight for c in held)
            new = sum(c.weight for c in held if now - c.since < STARTING_S)
            self._holdings = Holdings(
                fraction,
                max((c.since for c in held), default=-math.inf),
                min((c.until for c in held), default=math.inf),
                new > fraction / 2,
            )
        return self._holdings

    def _release(self, ask, now):
        """Take the tokens of a share out of the buckets; return them."""
        known = self._cessions.get(ask.host)
        if known is None or known.until < now or ask.sequence <= known.sequence:
            return None
        levels = [1.0] * CARRY_SLOTS
        slots = []
        for bucket in self._buckets.values():
            depth, _ = self._fill(bucket, now)
            slot = Carry.find_slot(bucket.team)
            levels[slot] = min(levels[slot], bucket.level / depth if depth else 0.0)
            slots.append((bucket, slot))
        carry = Carry(
            min(MAX_CARRY_AGE_S, math.floor(now - known.since)),
            bytes(math.floor(level * 255) for level in levels),
        )
        for bucket, slot in slots:
            depth = self._bound.allot(bucket.limit).depth
            taken = depth * known.weight * carry.levels[slot] / 255
            bucket.level = max(0.0, bucket.level - taken)
        return carry

    def _record_cession(self, ask, now):
        """Update the share of a host; tell whether the message is its newest."""
        known = self._find_cession(ask.host, now)
        if known is not None and ask.sequence <= known.sequence:
            return False
        until = self._compute_end(ask, now)
        if known is not None and not ask.release:
            known.sequence = ask.sequence
            known.heard_at = now
            if until <= now:
                return True
        weight = 1.0 / ask.hosts if until > now else 0.0
        if known is not None and known.until >= now and weight:
            self._renew(known, until, weight)
        else:
            self._replace_cession(known, ask, until, weight, now)
        return True

    def _compute_end(self, ask, now):
        """Return when the cession in a message ends; -inf if it contains none."""
        stamp_s = ask.stamp.clock_ms / 1000
        is_own = ask.stamp.run == self._run and stamp_s <= now
        if ask.hosts and is_own and not ask.release:
            return stamp_s + CESSION_S
        return -math.inf

    def _renew(self, cession, until, weight):
        """Extend a cession that has not ended."""
        cession.until = max(cession.until, until)
        if cession.weight != weight:
            cession.weight = weight
            self._holdings = None

    def _replace_cession(self, known, ask, until, weight, now):
        """Store a cession that begins, or the record of a share that was released."""
        # What comes with a cession is counted at its start only.
        is_start = known is None or known.until < now
        self._holdings = None
        self._cessions.pop(ask.host, None)
        self._cessions[ask.host] = Cession(
            now,
            until,
            weight,
            ask.credit and is_start,
            ask.carry if is_start else None,
            ask.sequence,
            now,
        )
        self._drop_old(now)

    def _find_cession(self, host, now):
        """Return the cession of a host, or None without a message of it for long.

        The host may then have restarted with its clock set back, so that the sequence
        numbers of its messages are lower than before.
        """
        known = self._cessions.get(host)
        if known is None or known.heard_at < now - REMEMBERED_S:
            return None
        return known

    def _drop_old(self, now):
        """Forget cessions that ended long ago."""
        old = [
            name
            for name, cession in self._cessions.items()
            if cession.heard_at < now - REMEMBERED_S
        ]
        for name in old:
            del self._cessions[name]
        drop_oldest(self._cessions, MAX_HOSTS)

    def _find_bucket(self, ask, now):
        """Return the bucket of a team, filled up to now, its depth and refill rate."""
        bucket = self._buckets.get(ask.team)
        if bucket is None:
            returns = ReturnedTokens(_to_ms(now))
            bucket = Bucket(ask.team, ask.limit, self._earliest, returns)
            self._buckets[ask.team] = bucket
            if len(self._buckets) > MAX_TEAMS:
                # A bucket that is dropped and created again must not be filled a
                # second time for the time before.
                self._earliest = now
                drop_oldest(self._buckets, MAX_TEAMS)
        elif ask.limit.version > bucket.limit.version:
            self._fill(bucket, now)
            bucket.limit = ask.limit
            bucket.promised_until = now
        return bucket, *self._fill(bucket, now)

    def _fill(self, bucket, now):
        """Add the tokens since the last time; return the depth and refill rate.

        Both are those of the shares that this owner holds now.
        """
        allotment = self._bound.allot(bucket.limit)
        holdings = self._find_holdings(now)
        fraction = min(1.0, holdings.fraction)
        tokens = 0.0
        # The sum over all cessions is needed only if one began or ended meanwhile.
        if max(holdings.since, self._lapsed_at) <= bucket.updated_at:
            share_seconds = fraction * (now - bucket.updated_at)
        else:
            share_seconds, tokens = self._sum_shares(bucket, allotment, now)
        seconds = min(now - bucket.updated_at, allotment.rate_factor * share_seconds)
        refill = allotment.rate_per_s * seconds
        level = bucket.level + refill + tokens
        bucket.level = min(allotment.depth * fraction, level)
        bucket.updated_at = now
        bucket.returns.record(_to_ms(now), allotment.depth * fraction - bucket.level)
        rate = allotment.rate_per_s * min(1.0, allotment.rate_factor * fraction)
        return allotment.depth * fraction, rate

    def _sum_shares(self, bucket, allotment, now):
        """Return the share seconds and tokens since the last time.

        A share second is one second in which this owner held all shares, or two in
        which it held half of them. The tokens are those that came with new cessions.
        """
        share_seconds, tokens = 0.0, 0.0
        for cession in self._cessions.values():
            start = max(cession.since, bucket.updated_at)
            held_s = min(cession.until, now) - start
            share_seconds += cession.weight * max(0.0, held_s)
            if cession.since <= bucket.updated_at:
                continue
            if cession.has_credit:
                tokens += cession.weight * allotment.credit
            if cession.carry is not None:
                carried = cession.carry.compute_tokens(bucket.team, allotment)
                tokens += cession.weight * carried
        return share_seconds, tokens

    def _take(self, ask, reply, now):
        """Return a reply that issues a token or states when one is available."""
        bucket, depth, rate = self._find_bucket(ask, now)
        if bucket.level >= 1.0:
            bucket.level -= 1.0
            return replace(reply, granted=True)
        if depth < 1.0 or rate <= 0.0:
            return replace(
                reply, retry_after_s=NO_SHARE_RETRY_AFTER_S, is_starting=True
            )
        empty_s = (1.0 - bucket.level) / rate
        # Rejected requests that all returned at the first token would be rejected
        # again, so each gets the time of a token of its own.
        start = max(bucket.promised_until, now + empty_s - 1.0 / rate)
        latest = now + MAX_RETRY_AFTER_S
        bucket.promised_until = min(start + 1.0 / rate, latest)
        return replace(
            reply,
            empty_s=empty_s,
            retry_after_s=max(MIN_RETRY_AFTER_S, bucket.promised_until - now),
            is_starting=self._find_holdings(now).are_new,
        )

    def _return_token(self, ask, now):
        """Put a token back that this process issued."""
        bucket, _, _ = self._find_bucket(ask, now)
        if ask.issued.run == self._run:
            bucket.level += bucket.returns.take_back(ask.issued.clock_ms, _to_ms(now))


def _to_ms(seconds):
    return math.floor(seconds * 1000)
