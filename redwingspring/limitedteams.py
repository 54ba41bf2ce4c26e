"""Decision lines about the teams whose requests exceed their rate limits."""

import threading
from dataclasses import dataclass

# A team is no longer limited when none of its requests was rejected for this long.
QUIET_S = 2.0
# Teams that are followed at the same time; the lines of further ones are left out.
MAX_LIMITED_TEAMS = 256


@dataclass
class LimitedPeriod:
    """Period in which requests of a team are rejected.

    Attributes
    ----------
    began_at : float
        Time of its first rejection in seconds.
    latest_at : float
        Time of its latest rejection in seconds.
    rejected : int
        Number of rejections.
    """

    began_at: float
    latest_at: float
    rejected: int


class LimitedTeams:
    """Writes a line when a team begins and stops to be limited.

    Parameters
    ----------
    decisions : DecisionLog
        Receives the lines.
    """

    def __init__(self, decisions):
        self._decisions = decisions
        self._lock = threading.Lock()
        self._periods = {}

    def record(self, team, limit, now):
        """Record the rejection of a request.

        Parameters
        ----------
        team : str
            Name of the team.
        limit : RateLimit
            Its rate limit.
        now : float
            Clock in seconds.
        """
        with self._lock:
            period = self._periods.get(team)
            if period is not None:
                period.latest_at = now
                period.rejected += 1
                return
            if len(self._periods) >= MAX_LIMITED_TEAMS:
                return
            self._periods[team] = LimitedPeriod(now, now, 1)
        self._decisions.record(
            "team limited",
            team=team,
            rate_per_s=limit.rate_per_s,
            burst=limit.burst,
            configuration_version=limit.version,
        )

    def sweep(self, now):
        """End the periods of teams without recent rejections.

        Parameters
        ----------
        now : float
            Clock in seconds.
        """
        with self._lock:
            ended = {
                team: period
                for team, period in self._periods.items()
                if now - period.latest_at > QUIET_S
            }
            for team in ended:
                del self._periods[team]
        for team, period in ended.items():
            self._decisions.record(
                "team no longer limited",
                team=team,
                rejected=period.rejected,
                limited_s=round(period.latest_at - period.began_at, 2),
            )
