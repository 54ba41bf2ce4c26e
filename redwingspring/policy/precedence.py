"""Which requests give way to others while a service has too little room.

No input or output. Load pattern: for seconds, the targets of a service cannot run all
requests that arrive. Each request that gets a slot then displaces another one, mostly
of another host. A request that is late already is worth little to its caller and can
wait, so it takes only slots that nobody else wants. A request of a lower priority, or
one that needs more work than others, accepts a target that is not quite free only after
a longer wait, so that the others find such targets first.
"""

from dataclasses import dataclass

# Targets that one search samples.
SEARCH_SAMPLES = 2
# A service has too little room when a search takes longer than this share of the
# shortest target latency of its routes.
MAX_SEARCH_SHARE = 0.06
# Factors on the wait of a request, as far as it decides which targets are accepted: of
# requests below the highest priority, and the least for those that need much work. No
# kind of request starves, since its wait still counts.
LOWER_PRIORITY_FACTOR = 0.5
MIN_WORK_FACTOR = 0.5


@dataclass(frozen=True)
class Precedence:
    """Precedence of a request over others that want the same slots.

    Attributes
    ----------
    has_pressure : bool, default=False
        Whether the service has too little room.
    wait_factor : float, default=1.0
        Factor on the wait of the request, up to 1.
    """

    has_pressure: bool = False
    wait_factor: float = 1.0


NO_PRESSURE = Precedence()


def has_pressure(full_share, profile, search_interval_s):
    """Tell whether a service has too little room.

    Parameters
    ----------
    full_share : float
        Share of its targets without room.
    profile : ServiceProfile
        Its routes.
    search_interval_s : float
        Seconds between two searches of a waiting request.

    Returns
    -------
    bool
        True if a search is expected to take too long for its most urgent route.
    """
    success = 1.0 - full_share**SEARCH_SAMPLES
    longest_s = MAX_SEARCH_SHARE * profile.shortest_latency_s
    return search_interval_s > success * longest_s


def compute_wait_factor(priority, profile, work_s, least_work_s):
    """Return the factor on the wait of a request under pressure.

    Parameters
    ----------
    priority : int
        Priority of the request; 0 is the highest.
    profile : ServiceProfile
        The routes of its service.
    work_s : float
        Seconds that a target needs for it.
    least_work_s : float
        Seconds that a target needs for a request of the route with the least work.

    Returns
    -------
    float
        Greater than 0, at most 1.
    """
    factor = max(MIN_WORK_FACTOR, min(1.0, least_work_s / work_s))
    if priority > profile.highest_priority:
        factor *= LOWER_PRIORITY_FACTOR
    return factor
