"""Decisions on waiting for a place and on turning away; no input or output.

Load pattern: a burst asks for more than all targets can run for some seconds.
A request that is sent to a full target slows down those that run there. It waits
here instead, asks again every few milliseconds and accepts a slower target the
longer it has waited. One that can no longer be served in time is rejected at
once, with the time at which a place is likely.
"""

import random
from dataclasses import dataclass

# Predicted factors that are accepted until a share of the target latency has
# passed. Later everything but a full queue is accepted.
ACCEPTED_FACTORS = ((0.06, 1.6), (0.16, 2.7), (0.3, 4.2))
# A request of the highest priority goes on where others still wait.
URGENT_BONUS = 1.5
# Requests that may wait in the queue of a target.
MAX_QUEUE = 2
# Pause between two looks at the load of targets.
LOOK_AGAIN_S = 0.012
# Share of the target latency after which a request without place is rejected.
REJECT_SHARE = 0.6
# Share of the caller's remaining time that may pass before it comes back.
MAX_RETURN_SHARE = 0.3
MIN_RETURN_S = 0.05


@dataclass(frozen=True)
class Wait:
    """A request that waits for a place.

    Attributes
    ----------
    waited_s : float
        Seconds since it arrived.
    left_s : float
        Seconds that the caller has left.
    target_latency_s : float
        Seconds within which a response has its full use.
    priority : int
        Rank; 0 is the highest.
    top_priority : int
        The highest rank among the routes of the same services.
    """

    waited_s: float
    left_s: float
    target_latency_s: float
    priority: int
    top_priority: int

    @property
    def is_urgent(self):
        """Tell whether no other request goes first."""
        return self.priority <= self.top_priority


def accept_factor(wait):
    """Return the largest predicted factor that a request accepts now.

    Parameters
    ----------
    wait : Wait
        The request.

    Returns
    -------
    float
        Infinite when every target with room will do.
    """
    share = wait.waited_s / wait.target_latency_s
    bonus = URGENT_BONUS if wait.is_urgent else 1.0
    for limit, factor in ACCEPTED_FACTORS:
        if share < limit:
            return factor * bonus
    return float("inf")


def has_room(sample):
    """Tell whether a target takes one more request without refusing it.

    Parameters
    ----------
    sample : LoadSample
        Fresh load of the target.

    Returns
    -------
    bool
        False when its queue is long.
    """
    return sample.healthy and sample.waiting < MAX_QUEUE


def should_reject(wait):
    """Tell whether a request without a place is rejected now.

    Parameters
    ----------
    wait : Wait
        The request.

    Returns
    -------
    bool
        True when it has waited so long that it would be of no use.
    """
    return wait.waited_s >= REJECT_SHARE * wait.target_latency_s or wait.left_s <= 0


def choose_return_time(wait, rng=random):
    """Return after how many seconds a rejected caller should come back.

    The time is spread, so that the callers rejected in one moment do not all
    return in another.

    Parameters
    ----------
    wait : Wait
        The rejected request.
    rng : random.Random, default=random
        Source of the spread.

    Returns
    -------
    float
        Seconds, with fractions.
    """
    most = max(MIN_RETURN_S, wait.left_s * MAX_RETURN_SHARE)
    return round(rng.uniform(0.4, 1.0) * most, 3)
