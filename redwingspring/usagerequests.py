"""Requests of teams with rate limits: the team's limit, the wait, the admission."""

import threading
from dataclasses import dataclass, field

import xxhash

from .policy.usageallotments import RateLimit
from .usagereports import MAX_RATE

# The teams are divided into groups, each with its own owner.
GROUPS = 4
MAX_VERSION = (1 << 63) - 1


@dataclass(frozen=True)
class LimitedTeam:
    """A team as the messages and the policy know it.

    Attributes
    ----------
    name : str
        Name of the team.
    key : int
        Hash of the name, not 0.
    limit : RateLimit
        Its rate limit.
    """

    name: str
    key: int
    limit: RateLimit

    @property
    def group(self):
        """Group of teams that it belongs to."""
        return self.key % GROUPS


@dataclass(frozen=True)
class Admission:
    """Outcome for one request of a team.

    Attributes
    ----------
    team : LimitedTeam or None, default=None
        The team that sent it; None if its requests are not limited.
    retry_after_s : float or None, default=None
        Seconds after which the caller should send a rejected request again; None for
        an admitted one.
    static_at : float or None, default=None
        When this host's static share admitted it, in seconds; None for a token.
    issued : OwnerStamp or None, default=None
        Clock reading of the owner that issued its token.
    """

    team: object = None
    retry_after_s: float | None = None
    static_at: float | None = None
    issued: object = None


@dataclass
class PendingRequest:
    """A request that waits for a token.

    Attributes
    ----------
    team : LimitedTeam
        The team that sent it.
    asked_at : float
        When it began to wait, in seconds.
    event : threading.Event
        Set by an answer.
    reply : UsageReply or None
        The newest answer.
    is_over : bool
        Whether it no longer waits.
    """

    team: LimitedTeam
    asked_at: float
    event: threading.Event = field(default_factory=threading.Event)
    reply: object = None
    is_over: bool = False


def describe_team(team):
    """Return a team as the messages and the policy know it.

    Parameters
    ----------
    team : Team
        The team, with its limit and the version of that.

    Returns
    -------
    LimitedTeam
        Its values are in the range of the messages.
    """
    key = xxhash.xxh3_64_intdigest(team.name.encode()) or 1
    limit = RateLimit(
        min(team.rate_per_s, MAX_RATE),
        min(max(team.burst, 0.0), MAX_RATE),
        # The version in force may be newer than the one that contains this limit.
        min(team.version, MAX_VERSION),
    )
    return LimitedTeam(team.name, key, limit)
