"""Messages about rate limits between a host and an owner."""

from dataclasses import dataclass

# The tokens of a share are stated for this many slots of teams.
CARRY_SLOTS = 32
# The age in a message has 16 bits.
MAX_CARRY_AGE_S = 0xFFFF
# The lowest bits of a team's hash select its group, so they are the same for all teams
# of an owner. The slot is selected by the bits above these.
SLOT_DIVISOR = 1 << 16


@dataclass(frozen=True)
class OwnerStamp:
    """Clock reading of an owner, which hosts return to it.

    Attributes
    ----------
    run : int
        Random number of the owner's process.
    clock_ms : int
        Clock of the owner in milliseconds.
    """

    run: int
    clock_ms: int


@dataclass(frozen=True)
class Carry:
    """Tokens of a share, which go with it from one owner to the next.

    The teams are divided into slots by their hashes, so the size does not depend on
    the number of teams.

    Attributes
    ----------
    age_s : int
        Whole seconds for which the previous owner held the share; tokens for a
        longer time than this were not collected.
    levels : bytes
        For each slot, the level of its emptiest bucket as a fraction of the depth,
        in 255ths.
    """

    age_s: int
    levels: bytes

    @staticmethod
    def find_slot(team):
        """Return the slot of a team.

        Parameters
        ----------
        team : int
            Hash of the team's name.

        Returns
        -------
        int
            Index into ``levels``.
        """
        return team // SLOT_DIVISOR % CARRY_SLOTS

    def compute_tokens(self, team, allotment):
        """Return the tokens that a team would have if the owner had held all shares.

        Parameters
        ----------
        team : int
            Hash of the team's name.
        allotment : Allotment
            What may be admitted for the team.

        Returns
        -------
        float
            Tokens; the share has the fraction of them that it is of all shares.
        """
        level = self.levels[self.find_slot(team)] / 255
        collected = allotment.rate_per_s * self.age_s
        return min(allotment.depth * level, collected)


@dataclass(frozen=True)
class UsageAsk:
    """Message of a host to an owner.

    Attributes
    ----------
    group : int
        Group of teams.
    host : str
        Name of the sender.
    sequence : int
        Increases with each message of the sender.
    hosts : int, default=0
        The sender cedes its share, one divided by this number; 0 cedes nothing.
    credit : bool, default=False
        Whether the cession includes the share's credit.
    release : bool, default=False
        Whether the owner is to give up the sender's share.
    stamp : OwnerStamp, default=OwnerStamp(0, 0)
        The newest clock reading of the owner that the sender knows.
    team : int, default=0
        Hash of the team's name; 0 for a message without a request.
    limit : RateLimit or None, default=None
        Rate limit of the team as the sender knows it.
    returned : bool, default=False
        Whether a token is returned instead of requested.
    carry : Carry or None, default=None
        Tokens of the share that come with the cession.
    issued : OwnerStamp, default=OwnerStamp(0, 0)
        Clock reading of the answer that issued the returned token.
    """

    group: int
    host: str
    sequence: int
    hosts: int = 0
    credit: bool = False
    release: bool = False
    stamp: OwnerStamp = OwnerStamp(0, 0)
    team: int = 0
    limit: object = None
    returned: bool = False
    carry: object = None
    issued: OwnerStamp = OwnerStamp(0, 0)


@dataclass(frozen=True)
class UsageReply:
    """Reply of an owner.

    Attributes
    ----------
    group : int
        Group of teams.
    host : str
        Name of the owner.
    sequence : int
        Number of the message to which this is the reply.
    stamp : OwnerStamp
        Clock of the owner.
    granted : bool, default=False
        Whether the request may be admitted.
    empty_s : float, default=0.0
        Seconds for which no token becomes available.
    retry_after_s : float, default=0.0
        Seconds after which the request should be sent again.
    is_starting : bool, default=False
        Whether the owner has no token because it obtained its shares only recently,
        so that the host should ask again.
    carry : Carry or None, default=None
        Tokens of a released share.
    """

    group: int
    host: str
    sequence: int
    stamp: OwnerStamp
    granted: bool = False
    empty_s: float = 0.0
    retry_after_s: float = 0.0
    is_starting: bool = False
    carry: object = None
