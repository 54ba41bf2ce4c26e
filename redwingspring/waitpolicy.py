"""Decisions on waiting for a place and on turning away; no input or output.

Load pattern: a burst asks for more than all targets can run for some seconds.
A request that is sent to a full target slows down those that run there, and one
that is late already takes a place from one that is not. So a request waits here,
asks again every few milliseconds, goes only where it is answered in time, and is
rejected as soon as that can no longer be expected, with a time to come back.
"""

import random
from dataclasses import dataclass

from .placement import count_full_speed_slots, is_nearly_full, predict_slowdown

# Predicted factors that are accepted until a share of the target latency has
# passed. Later every place that is in time is accepted.
ACCEPTED_FACTORS = ((0.06, 1.6), (0.16, 2.7))
# A late request takes only places that nobody else would miss.
LATE_FACTOR = 1.6
# Slots that lower what a target gets done are used after this share of the target
# latency.
LAST_SLOTS_SHARE = 0.45
# Part of the time that is left within which the work is expected to end.
WORK_MARGIN = 1.0
# What the last slots must add to a target's throughput, as they also delay the
# requests that run there.
LEAST_GAIN = 1.1
# Pause between two looks at the load of targets.
LOOK_AGAIN_S = 0.012
# Shares of the target latency after which a request without a place is rejected:
# if others wait, and in any case.
MIN_REJECT_SHARE = 0.35
MAX_REJECT_SHARE = 1.0
# Share of the target latency after which a request looks in all data centres.
SPREAD_SHARE = 0.1
LONG_SPREAD_SHARE = 0.6
LONG_RESPONSE_BYTES = 20_000
# Share of the target latency after which ejected targets are asked too.
EJECTED_SHARE = 0.12
# Share of the caller's remaining time that may pass before it comes back.
MAX_RETURN_SHARE = 0.3
MIN_RETURN_S = 0.05
# Times after which a caller comes back while targets have room. Some callers take
# a time of 0 for none.
QUICK_RETURN_S = (0.001, 0.01)


@dataclass(frozen=True)
class RequestTiming:
    """A request that waits for a place.

    Attributes
    ----------
    waited_s : float
        Seconds since it arrived.
    left_s : float
        Seconds that the caller has left.
    target_latency_s : float
        Seconds within which a response has its full use.
    work_s : float, default=0.0
        Expected seconds of work at an idle target.
    prior_wait_s : float, default=0.0
        Seconds that the caller had waited before this request arrived.
    """

    waited_s: float
    left_s: float
    target_latency_s: float
    work_s: float = 0.0
    prior_wait_s: float = 0.0

    @property
    def target_latency_left_s(self):
        """Return the seconds left within the target latency."""
        return self.target_latency_s - self.waited_s - self.prior_wait_s

    @property
    def is_late(self):
        """Tell whether even an idle target would answer too late."""
        return self.work_s > self.target_latency_left_s

    @property
    def share(self):
        """Return the share of the target latency that has passed."""
        return self.waited_s / self.target_latency_s


def accepts_target(sample, wait, last_slots_factor):
    """Tell whether a request goes to a target now.

    Parameters
    ----------
    sample : LoadSample
        Fresh load of the target.
    wait : RequestTiming
        The request.
    last_slots_factor : float
        Slowdown of the service's targets when they are nearly full.

    Returns
    -------
    bool
        False when it waits for another place.
    """
    if not sample.healthy or sample.waiting:
        return False
    factor = predict_slowdown(sample, last_slots_factor)
    if wait.is_late:
        return factor <= LATE_FACTOR
    if factor * wait.work_s > wait.target_latency_left_s * WORK_MARGIN:
        return False
    if is_nearly_full(sample) and not adds_throughput(sample, last_slots_factor):
        return wait.share >= LAST_SLOTS_SHARE
    return all(
        wait.share >= limit or factor <= accepted
        for limit, accepted in ACCEPTED_FACTORS
    )


def adds_throughput(sample, last_slots_factor):
    """Tell whether a target gets more done with all its slots in use.

    Load pattern: in a burst each place is wanted, but a target whose requests all
    slow down with the last slot answers fewer in a second than without it.

    Parameters
    ----------
    sample : LoadSample
        Load of the target.
    last_slots_factor : float
        Slowdown of the service's targets when they are nearly full.

    Returns
    -------
    bool
        True when its last slots are worth using.
    """
    usual = count_full_speed_slots(sample.slots)
    return sample.slots / last_slots_factor > LEAST_GAIN * usual


def may_cross_data_centres(wait, response_bytes):
    """Tell whether a request looks for a place in other data centres too.

    Load pattern: the own data centre has no good place for a moment. Bytes
    between data centres cost more than a short wait, those of a long response
    much more.

    Parameters
    ----------
    wait : RequestTiming
        The request.
    response_bytes : float
        Expected size of the response.

    Returns
    -------
    bool
        False while only the own data centre is asked first.
    """
    long = response_bytes >= LONG_RESPONSE_BYTES
    share = LONG_SPREAD_SHARE if long else SPREAD_SHARE
    return wait.share > share


def may_use_ejected(wait):
    """Tell whether a request takes ejected targets into account.

    Load pattern: most targets refuse or fail a part of their requests. The few
    that are not ejected cannot bear all of the load, while most requests still
    succeed at the others.

    Parameters
    ----------
    wait : RequestTiming
        The request.

    Returns
    -------
    bool
        True once it has waited for a sound target.
    """
    return wait.share > EJECTED_SHARE


def should_reject(wait, ahead, placements_per_s):
    """Tell whether a request without a place is rejected now.

    Parameters
    ----------
    wait : RequestTiming
        The request.
    ahead : int
        Requests that stand before it in the line.
    placements_per_s : float
        Rate at which the line's requests found places lately; 0 if unknown.

    Returns
    -------
    bool
        True when it can no longer be answered in time, or soon cannot.
    """
    if wait.left_s <= 0 or wait.share >= MAX_REJECT_SHARE:
        return True
    if ahead and wait.is_late and wait.share >= MIN_REJECT_SHARE:
        return True
    if not ahead or not placements_per_s:
        return False
    usable_s = wait.left_s if wait.is_late else wait.target_latency_left_s
    return ahead / placements_per_s + wait.work_s > usable_s


def choose_retry_after(wait, waiting, rng=random):
    """Return after how many seconds a rejected caller should come back.

    Load pattern: in a burst all places are taken for seconds, and callers that come
    back early are rejected again. Where single targets refuse a part of their
    requests, others have room, and each moment of waiting makes the caller late.
    The time is spread, so that the callers rejected in one moment do not all
    return in another.

    Parameters
    ----------
    wait : RequestTiming
        The rejected request.
    waiting : int
        Requests of the service that wait for a place at this host.
    rng : random.Random, default=random
        Source of the spread.

    Returns
    -------
    float
        Seconds, with fractions.
    """
    if not waiting and not wait.is_late:
        return round(rng.uniform(*QUICK_RETURN_S), 3)
    most = max(MIN_RETURN_S, wait.left_s * MAX_RETURN_SHARE)
    return round(rng.uniform(0.4, 1.0) * most, 3)
