"""Teams, which send requests with API keys, and the table of their keys."""

import hashlib
from dataclasses import dataclass, field
from types import MappingProxyType


@dataclass(frozen=True)
class Team:
    """A customer whose users send requests with an API key.

    Attributes
    ----------
    name : str
        Name, as targets get it.
    priority : int or None
        Priority of the team's requests, 0 is the highest; None for that of the route.
    rate_per_s : float
        Requests per second that the team may send; 0 for no limit.
    burst : float
        Requests that it may send in each window beyond its rate.
    version : int, default=0
        Version of the configuration that contains these values.
    """

    name: str
    priority: int | None
    rate_per_s: float
    burst: float
    version: int = 0


@dataclass(frozen=True)
class TeamTable:
    """Teams of one version of the configuration, found by their API keys.

    The table holds digests of the keys: the time of a lookup depends on no key, and a
    representation of the table contains none.

    Attributes
    ----------
    teams : tuple of Team
        All teams.
    by_digest : mapping of bytes to Team
        Team that holds a key, by the digest of the key.
    """

    teams: tuple
    by_digest: MappingProxyType = field(repr=False)

    def find(self, key):
        """Return the team that holds a key.

        Parameters
        ----------
        key : bytes
            The API key.

        Returns
        -------
        Team or None
            None if no team holds it.
        """
        return self.by_digest.get(_compute_digest(key))


def build_team_table(teams_with_keys):
    """Build the table of all teams.

    Parameters
    ----------
    teams_with_keys : sequence of tuple of (Team, iterable of bytes)
        Pairs of a team and its API keys.

    Returns
    -------
    TeamTable
        The table.

    Raises
    ------
    ValueError
        If two teams have the same name or a key in common.
    """
    names = set()
    by_digest = {}
    for team, keys in teams_with_keys:
        if team.name in names:
            raise ValueError(f"several tenants have the name {team.name!r}")
        names.add(team.name)
        for key in keys:
            holder = by_digest.setdefault(_compute_digest(key), team)
            if holder is not team:
                raise ValueError(
                    f"tenants {holder.name!r} and {team.name!r} have an API key in "
                    "common"
                )
    teams = tuple(team for team, _ in teams_with_keys)
    return TeamTable(teams, MappingProxyType(by_digest))


def _compute_digest(key):
    return hashlib.sha256(key).digest()
