"""Division of the bound on a team's requests among the mechanisms that admit them."""

from dataclasses import dataclass

# Longest time from the issue of a token to the moment at which the request that uses
# it counts, with a tolerance for clocks of different rates.
LATENESS_S = 0.5
# The surplus of the bound over the rate limit is divided into equal parts: one for the
# refill rate, one for the static shares, one for the credits of each of two changes of
# the owner within a window, and these for the depth, which admits larger bursts.
SURPLUS_PARTS = 8
DEPTH_PARTS = 4


@dataclass(frozen=True)
class RateLimit:
    """Rate limit of a team under one version of the configuration.

    Attributes
    ----------
    rate_per_s : float
        Requests per second.
    burst : float
        Requests beyond the rate that may arrive at once.
    version : int, default=0
        Version of the configuration; a higher one replaces a lower one.
    """

    rate_per_s: float
    burst: float
    version: int = 0


@dataclass(frozen=True)
class Allotment:
    """What the parts of the mechanism may admit for one team, over all hosts.

    Attributes
    ----------
    rate_per_s : float
        Highest refill rate of an owner that holds all shares.
    depth : float
        Tokens that such an owner may hold.
    rate_factor : float
        Total refill rate of several owners relative to ``rate_per_s``, at most.
    credit : float
        Tokens that an owner gets once when it obtains all shares.
    static : float
        Requests in each window that hosts may admit without an owner.
    """

    rate_per_s: float
    depth: float
    rate_factor: float
    credit: float
    static: float


@dataclass(frozen=True)
class UsageBound:
    """Bound on the requests of a team that run, summed over all hosts.

    Attributes
    ----------
    window_s : float, default=5.0
        Length of the window in seconds.
    overage : float, default=0.25
        Fraction by which the rate limit may be exceeded in each window.
    slack : float, default=20.0
        Requests that each window allows in addition.
    """

    window_s: float = 5.0
    overage: float = 0.25
    slack: float = 20.0

    def compute_bound(self, limit):
        """Return how many requests of a team may run in each window.

        Parameters
        ----------
        limit : RateLimit
            Rate limit of the team.

        Returns
        -------
        float
            Requests over all hosts.
        """
        base = limit.rate_per_s * self.window_s + limit.burst
        return base * (1.0 + self.overage) + self.slack

    def allot(self, limit):
        """Divide the bound.

        Parameters
        ----------
        limit : RateLimit
            Rate limit of the team.

        Returns
        -------
        Allotment
            ``rate_factor * rate_per_s * (window_s + LATENESS_S) + depth +
            2 * credit + static`` is the bound.
        """
        refill = limit.rate_per_s * (self.window_s + LATENESS_S)
        bound = self.compute_bound(limit)
        surplus = bound - refill - limit.burst
        if surplus <= 0.0:
            # Without a surplus, only less than the rate limit keeps the bound.
            factor = bound / (refill + limit.burst)
            return Allotment(
                limit.rate_per_s * factor, limit.burst * factor, 1.0, 0.0, 0.0
            )
        part = surplus / SURPLUS_PARTS
        return Allotment(
            limit.rate_per_s,
            limit.burst + DEPTH_PARTS * part,
            1.0 + part / refill,
            part,
            part,
        )
