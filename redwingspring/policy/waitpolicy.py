"""Policy on waiting for a target and on rejecting; no input or output.

Load pattern: a burst demands more than all targets can run for some seconds. A
request that is sent to a full target slows down the requests in progress there, and
one that is late already occupies a slot that another could use in time. So a request
waits at this host and probes again every few milliseconds. It is sent only to a
target that can answer in time, and is rejected with a retry time as soon as that can
no longer be expected.
"""

import random
from dataclasses import dataclass

from .placement import count_full_speed_slots, is_nearly_full, predict_slowdown
from .precedence import NO_PRESSURE

# Highest predicted slowdowns that are accepted until a share of the target latency
# has passed. After that every target that answers in time is accepted.
MAX_SLOWDOWNS = ((0.06, 1.6), (0.16, 2.7))
# Highest predicted slowdown that is accepted for a late request, so that it uses only
# slots that no request in time needs.
MAX_LATE_SLOWDOWN = 1.6
# Slots whose use lowers the throughput of a target are used after this share of the
# target latency.
LAST_SLOTS_WAIT_SHARE = 0.45
# Part of the remaining time within which the work is expected to end.
WORK_MARGIN = 1.0
# Least gain in a target's throughput for which its last slots are used, because
# they also delay the requests in progress there.
MIN_THROUGHPUT_GAIN = 1.1
# Pause between two probes for the same request.
PROBE_INTERVAL_S = 0.012
# Shares of the target latency after which a request without a target is rejected:
# if it is late and others are ahead of it, and in any case.
MIN_REJECT_SHARE = 0.35
MAX_REJECT_SHARE = 1.0
# Share of the target latency after which a request may use all data centres.
CROSS_DATA_CENTRE_SHARE = 0.1
LONG_CROSS_DATA_CENTRE_SHARE = 0.6
LONG_TRANSFER_BYTES = 20_000
# Share of the target latency after which ejected targets may be used too.
EJECTED_WAIT_SHARE = 0.12
# Share of the target latency for which the targets that this host prefers come first.
SUBSET_WAIT_SHARE = 0.03
# Share of the caller's remaining time that the retry time may take up, and the least
# value of this limit.
MAX_RETRY_AFTER_SHARE = 0.3
MIN_RETRY_AFTER_LIMIT_S = 0.05
# Range of retry times while targets have free slots. It excludes 0, which some
# callers treat as no retry time.
QUICK_RETRY_AFTER_S = (0.001, 0.01)
# Factors between which callers return after the first target accepts requests again.
BACKOFF_SPREAD = (1.0, 1.5)


@dataclass(frozen=True)
class RequestTiming:
    """Times of a request that waits for a target.

    Attributes
    ----------
    waited_s : float
        Seconds since the request arrived.
    remaining_s : float
        Seconds until the deadline of the caller.
    target_latency_s : float
        Seconds within which the response should arrive.
    work_s : float, default=0.0
        Expected processing time in seconds at an idle target.
    prior_wait_s : float, default=0.0
        Seconds that the caller had waited before this request arrived.
    precedence : Precedence, default=NO_PRESSURE
        Precedence over others that want the same slots.
    """

    waited_s: float
    remaining_s: float
    target_latency_s: float
    work_s: float = 0.0
    prior_wait_s: float = 0.0
    precedence: object = NO_PRESSURE

    @property
    def target_latency_left_s(self):
        """Return the seconds left within the target latency."""
        return self.target_latency_s - self.waited_s - self.prior_wait_s

    @property
    def is_late(self):
        """Tell whether even an idle target would exceed the target latency."""
        return self.work_s > self.target_latency_left_s

    @property
    def waited_share(self):
        """Return the wait as a share of the target latency."""
        return self.waited_s / self.target_latency_s

    @property
    def acceptance_share(self):
        """Return the wait as a share of the target latency, less what gives way."""
        return self.waited_share * self.precedence.wait_factor


def accepts_target(sample, timing, nearly_full_slowdown):
    """Tell whether a request is sent to a target now.

    Parameters
    ----------
    sample : LoadSample
        Fresh load of the target.
    timing : RequestTiming
        Times of the request.
    nearly_full_slowdown : float
        Slowdown of the service's targets when they are nearly full.

    Returns
    -------
    bool
        False if the request waits for another target.
    """
    if not sample.healthy or sample.waiting:
        return False
    slowdown = predict_slowdown(sample, nearly_full_slowdown)
    if timing.is_late:
        if timing.precedence.has_pressure and sample.running:
            return False
        return slowdown <= MAX_LATE_SLOWDOWN
    if slowdown * timing.work_s > timing.target_latency_left_s * WORK_MARGIN:
        return False
    if is_nearly_full(sample) and not adds_throughput(sample, nearly_full_slowdown):
        return timing.acceptance_share >= LAST_SLOTS_WAIT_SHARE
    return all(
        timing.acceptance_share >= until_share or slowdown <= accepted
        for until_share, accepted in MAX_SLOWDOWNS
    )


def adds_throughput(sample, nearly_full_slowdown):
    """Tell whether a target has a higher throughput with all its slots in use.

    Load pattern: in a burst each slot is wanted, but a target whose requests all
    slow down with the last slot answers fewer requests a second than without it.

    Parameters
    ----------
    sample : LoadSample
        Load of the target.
    nearly_full_slowdown : float
        Slowdown of the service's targets when they are nearly full.

    Returns
    -------
    bool
        True if the last slots of the target increase its throughput enough.
    """
    full_speed_slots = count_full_speed_slots(sample.slots)
    return sample.slots / nearly_full_slowdown > MIN_THROUGHPUT_GAIN * full_speed_slots


def may_cross_data_centres(timing, transfer_bytes):
    """Tell whether a request may be sent to targets in other data centres.

    Load pattern: no good target is free in the local data centre for a moment.
    Traffic between data centres costs more than a short wait, that of a long
    response or a large upload much more.

    Parameters
    ----------
    timing : RequestTiming
        Times of the request.
    transfer_bytes : float
        Expected size of the bodies of request and response together.

    Returns
    -------
    bool
        False while targets in the local data centre are preferred.
    """
    long = transfer_bytes >= LONG_TRANSFER_BYTES
    share = LONG_CROSS_DATA_CENTRE_SHARE if long else CROSS_DATA_CENTRE_SHARE
    return timing.waited_share > share


def may_use_ejected(timing):
    """Tell whether a request may be sent to ejected targets.

    Load pattern: most targets refuse or fail a part of their requests. The few
    that are not ejected cannot carry the whole load, while most requests still
    succeed at the others.

    Parameters
    ----------
    timing : RequestTiming
        Times of the request.

    Returns
    -------
    bool
        True once the request has waited long enough for a target that is not
        ejected.
    """
    return timing.waited_share > EJECTED_WAIT_SHARE


def prefers_subset(timing):
    """Tell whether the targets that this host prefers come first.

    Load pattern: in a burst all preferred targets of a host may be full while others
    have free slots. A new connection costs less than a longer wait.

    Parameters
    ----------
    timing : RequestTiming
        Times of the request.

    Returns
    -------
    bool
        False once the request has waited.
    """
    return timing.waited_share <= SUBSET_WAIT_SHARE


def should_reject(timing, ahead, placements_per_s):
    """Tell whether a request without a target is rejected now.

    Parameters
    ----------
    timing : RequestTiming
        Times of the request.
    ahead : int
        Requests ahead of it in the queue.
    placements_per_s : float
        Recent rate at which requests of the queue were placed; 0 if unknown.

    Returns
    -------
    bool
        True if the request is not expected to be answered in time.
    """
    if timing.remaining_s <= 0 or timing.waited_share >= MAX_REJECT_SHARE:
        return True
    if ahead and timing.is_late and timing.waited_share >= MIN_REJECT_SHARE:
        return True
    if not ahead or not placements_per_s:
        return False
    usable_s = timing.remaining_s if timing.is_late else timing.target_latency_left_s
    return ahead / placements_per_s + timing.work_s > usable_s


def choose_retry_after(timing, waiting, rng=random, backoff_s=0.0):
    """Return after how many seconds a rejected caller should retry.

    Load pattern: in a burst all slots are in use for seconds, and callers that retry
    early are rejected again. Where single targets refuse a part of their requests,
    others have free slots, and a longer wait only makes the caller late. The time is
    randomised, so that callers rejected at the same time do not retry at the same
    time. Where all targets want no requests for a while, an earlier retry is certain
    to be rejected.

    Parameters
    ----------
    timing : RequestTiming
        Times of the rejected request.
    waiting : int
        Requests of the service that wait for a target at this host.
    rng : random.Random, default=random
        Source of randomness.
    backoff_s : float, default=0.0
        Seconds until the first target accepts requests of this host again.

    Returns
    -------
    float
        Seconds, rounded to milliseconds.
    """
    if backoff_s > 0:
        return round(rng.uniform(*BACKOFF_SPREAD) * backoff_s, 3)
    if not waiting and not timing.is_late:
        return round(rng.uniform(*QUICK_RETRY_AFTER_S), 3)
    limit_s = max(MIN_RETRY_AFTER_LIMIT_S, timing.remaining_s * MAX_RETRY_AFTER_SHARE)
    return round(rng.uniform(0.4, 1.0) * limit_s, 3)
