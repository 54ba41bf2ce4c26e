"""Which requests give way to others while a service has too little room.

No input or output. Load pattern: for seconds, the targets of a service cannot run all
requests that arrive. Each request that gets a slot then displaces another one, mostly
of another host. The response to a request that is late already has little value for its
caller, so it leaves half of the slots to others. A request of a lower priority, or one
that needs more work than others, accepts a target that is slower or nearly full only
after a longer wait, so that the others find such targets first.
"""

from dataclasses import dataclass

# Targets that are probed concurrently in one search.
SEARCH_SAMPLES = 2
# A service lacks room when searches fail more often than this.
MAX_FAILED_SEARCHES = 0.5
# A request accepts slower and fuller targets the longer it has waited. Under pressure
# its wait counts less, by this factor below the highest priority, and at least by the
# other one if it needs much work. It is never 0, so no kind of request starves.
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
        Factor on the wait by which the request accepts targets; at most 1.
    """

    has_pressure: bool = False
    wait_factor: float = 1.0


NO_PRESSURE = Precedence()


def has_pressure(full_share):
    """Tell whether a service has too little room.

    Parameters
    ----------
    full_share : float
        Share of its targets without room.

    Returns
    -------
    bool
        True if most searches of waiting requests fail.
    """
    return full_share**SEARCH_SAMPLES > MAX_FAILED_SEARCHES


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
        Seconds that a target needs for a request of the route with the least work;
        infinite if it is unknown.

    Returns
    -------
    float
        Greater than 0, at most 1.
    """
    factor = max(MIN_WORK_FACTOR, min(1.0, least_work_s / work_s))
    if priority > profile.highest_priority:
        factor *= LOWER_PRIORITY_FACTOR
    return factor
