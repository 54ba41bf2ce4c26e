"""Choice of an instance for a request, from fresh load; no input or output.

Load pattern: a quarter of the targets runs several times slower in spells of a
few tens to hundreds of milliseconds, and targets slow down when they are nearly
full. What a target said a second ago is worth little, so a few targets are asked
right before the send, and the request goes where its predicted time is shortest.
"""

import random
from dataclasses import dataclass

from .mappings import drop_oldest
from .registry import Registry
from .routes import MAX_ROUTES

# Share of its slots above which some targets slow down, and the slowdown that is
# assumed before requests have shown it.
NEARLY_FULL = 0.8
NEARLY_FULL_FACTOR = 1.4
# Time of a request on a cold target, relative to a warm one.
COLD_FACTOR = 1.6
# Predicted factors closer than this are equal, so that hosts that ask at the
# same moment do not all choose the same target.
TIE_WIDTH = 0.15
# A slow spell ends within this time; older samples say nothing of slowness.
SAMPLE_USE_S = 0.06

# Weight of the latest response in what is expected.
NEW_WEIGHT = 0.08
# Quantile that is taken for the usual work, and its relative step.
WORK_QUANTILE = 0.4
STEP = 0.08
# Work on a target that runs slower than this says little of the usual time.
USUAL_SLOWNESS = 1.5
FIRST_WORK_SHARE = 0.35

candidate_policies = Registry("candidate policy")


@dataclass(frozen=True)
class CandidateQuery:
    """What is asked of a candidate policy.

    Attributes
    ----------
    data_centre : str
        Data centre of this host.
    count : int
        Most candidates.
    spread : bool
        Whether instances of other data centres are asked while there are some in
        the own one.
    tried : frozenset of str
        Ids of instances that are left out.
    now : float
        Present time.
    include_ejected : bool, default=False
        Whether ejected instances are asked like the others.
    """

    data_centre: str
    count: int
    spread: bool
    tried: frozenset
    now: float
    include_ejected: bool = False


@dataclass(frozen=True)
class AnsweredRequest:
    """A request that was answered, as far as later choices learn from it.

    Attributes
    ----------
    route : Route
        Its route.
    service : str
        Service that answered it.
    sample : LoadSample or None
        Load of the target at the send.
    seconds : float
        Time from the send to the end of the response.
    size : int or None
        Bytes of the body; None when it is not known.
    end_sample : LoadSample or None, default=None
        Load that the response told; the request itself is counted in it.
    """

    route: object
    service: str
    sample: object
    seconds: float
    size: int | None
    end_sample: object = None

    @property
    def is_mixed(self):
        """Tell whether the target was nearly full for only a part of the work."""
        end = self.end_sample
        if self.sample is None or end is None:
            return False
        return is_nearly_full(self.sample) != is_nearly_full(end.finish_request())


class ResponseStatistics:
    """What answered requests tell of routes and services.

    Work is the usual time of a request at a target of usual speed. The slowdown
    of nearly full targets is learned, because some services have none.
    """

    def __init__(self):
        self._sizes = {}
        self._works = {}
        self._slowdowns = {}

    def record(self, outcome):
        """Learn from an answered request.

        Parameters
        ----------
        outcome : AnsweredRequest
            The request.
        """
        if outcome.size is not None:
            _average(self._sizes, outcome.route.prefix, outcome.size)
        sample = outcome.sample
        if sample is None or sample.waiting or sample.cold_s > 0:
            return
        if sample.slowness > USUAL_SLOWNESS or outcome.is_mixed:
            return
        seconds = outcome.seconds / sample.slowness
        prefix = outcome.route.prefix
        if not is_nearly_full(sample):
            _track_quantile(self._works, prefix, seconds)
            return
        work = self._works.get(prefix)
        if work is not None:
            slowed = seconds / work
            _track_quantile(
                self._slowdowns, outcome.service, slowed, NEARLY_FULL_FACTOR
            )

    def estimate_size(self, route):
        """Return the size of a response to expect.

        Parameters
        ----------
        route : Route
            The route.

        Returns
        -------
        float
            Bytes; 0 before the first response.
        """
        return self._sizes.get(route.prefix, 0.0)

    def estimate_work_s(self, route):
        """Return the work of a request to expect.

        Parameters
        ----------
        route : Route
            The route.

        Returns
        -------
        float
            Seconds; a part of the target latency before the first response.
        """
        return self._works.get(route.prefix, FIRST_WORK_SHARE * route.target_latency_s)

    def estimate_nearly_full_slowdown(self, service):
        """Return how much slower nearly full targets of a service are.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        float
            Factor on the time of work.
        """
        return self._slowdowns.get(service, NEARLY_FULL_FACTOR)


def _average(means, key, value):
    """Move the mean of a key towards a value."""
    mean = means.get(key, value)
    means[key] = mean + NEW_WEIGHT * (value - mean)
    drop_oldest(means, MAX_ROUTES)


def _track_quantile(values, key, value, first=None):
    """Move the lower quantile of a key towards a value.

    Slow spells that begin during the work make a mean too long, and a request
    would count as late while most targets still answer it in time.
    """
    known = values.get(key, value if first is None else first)
    step = STEP * (WORK_QUANTILE if value > known else WORK_QUANTILE - 1)
    values[key] = known * (1 + step)
    drop_oldest(values, MAX_ROUTES)


def is_nearly_full(sample):
    """Tell whether one more request makes a target nearly full.

    Parameters
    ----------
    sample : LoadSample
        Fresh load of the target.

    Returns
    -------
    bool
        True when it may slow down.
    """
    return (sample.running + 1) / max(1, sample.slots) > NEARLY_FULL


def count_full_speed_slots(slots):
    """Return how many slots of a target can be in use before it is nearly full.

    Parameters
    ----------
    slots : int
        All its slots.

    Returns
    -------
    int
        At least 1.
    """
    return max(1, int(NEARLY_FULL * slots))


def predict_slowdown(sample, last_slots_factor=NEARLY_FULL_FACTOR):
    """Return the predicted time of one more request, relative to the usual time.

    Parameters
    ----------
    sample : LoadSample
        Fresh load of the instance.
    last_slots_factor : float, default=NEARLY_FULL_FACTOR
        Slowdown of a nearly full target.

    Returns
    -------
    float
        1 for an idle target at its usual speed.
    """
    slots = max(1, sample.slots)
    factor = sample.slowness
    if sample.cold_s > 0:
        factor *= COLD_FACTOR
    if is_nearly_full(sample):
        factor *= last_slots_factor
    excess = sample.running + sample.waiting + 1 - slots
    if excess > 0:
        factor *= 1 + excess / slots
    return factor


def choose_best(samples, rng=random):
    """Return the index of the sample with the shortest predicted time.

    Parameters
    ----------
    samples : list of LoadSample
        Fresh load of the candidates, at least one.
    rng : random.Random, default=random
        Decides between candidates that are about equal.

    Returns
    -------
    int
        Index within ``samples``.
    """
    factors = [predict_slowdown(sample) for sample in samples]
    least = min(factors)
    equal = [i for i, f in enumerate(factors) if f <= least * (1 + TIE_WIDTH)]
    return rng.choice(equal)


@candidate_policies.register("fresh-load")
def pick_fresh_load(states, query, rng=random):
    """Return instances that are asked for their load.

    Those that recent samples show as slow or full, and those that leave a probe
    unanswered, come last.

    Parameters
    ----------
    states : sequence of InstanceState
        Instances of the service.
    query : CandidateQuery
        What is wanted.
    rng : random.Random, default=random
        Source of the order.

    Returns
    -------
    list of InstanceState
        At most ``query.count``.
    """
    pool = _find_pool(states, query)
    ranked = sorted(pool, key=lambda state: _rank(state, query, rng))
    return ranked[: query.count]


def _find_pool(states, query):
    """Return the instances among which the policy chooses."""
    usable = [s for s in states if s.instance.id not in query.tried]
    if not query.spread:
        # A data centre with few instances must not send half of its requests
        # elsewhere while these are idle.
        near = [s for s in usable if s.instance.data_centre == query.data_centre]
        usable = near or usable
    if query.include_ejected:
        return usable
    sound = [s for s in usable if query.now >= s.ejected_until]
    # When all are ejected, trying one is better than certain failure.
    return sound or usable


def _rank(state, query, rng):
    """Return the sort key of a candidate; the smallest comes first."""
    sample = state.sample
    poor = False
    if sample is not None and query.now - sample.time < SAMPLE_USE_S:
        poor = predict_slowdown(sample) > 2 or not sample.healthy
    return (poor or state.is_silent, rng.random())


def all_unhealthy(states):
    """Tell whether health says nothing of which instance to choose.

    Load pattern: the health page itself fails, or all instances of a small service
    say ill at once, while requests go well. Without any that says well, to send
    is better than certain failure; an instance that is ill refuses or is ejected.

    Parameters
    ----------
    states : sequence of InstanceState
        Instances of the service.

    Returns
    -------
    bool
        True when every one of them said ill last.
    """
    return all(s.sample is not None and not s.sample.healthy for s in states)


@candidate_policies.register("recent-load")
def pick_recent_load(states, query, rng=random):
    """Return the instances that told their load a moment ago.

    Load pattern: while all targets are full, the only news of a free place is the
    response to a request that just ended there. Probes at that time mostly find
    full targets and use up their share.

    Parameters
    ----------
    states : sequence of InstanceState
        Instances of the service.
    query : CandidateQuery
        What is wanted.
    rng : random.Random, default=random
        Not used.

    Returns
    -------
    list of InstanceState
        All of them, in no order.
    """
    pool = _find_pool(states, query)
    return [state for state in pool if state.has_recent_load(query.now)]


@candidate_policies.register("least-requests")
def pick_least_requests(states, query, rng=random):
    """Return the instances with the fewest requests of this host.

    For services whose targets do not tell their load.

    Parameters
    ----------
    states : sequence of InstanceState
        Instances of the service.
    query : CandidateQuery
        What is wanted.
    rng : random.Random, default=random
        Source of the order of equal ones.

    Returns
    -------
    list of InstanceState
        At most ``query.count``.
    """
    pool = _find_pool(states, query)

    def _load(state):
        slots = max(1, state.instance.slots)
        return (state.in_flight / slots, rng.random())

    return sorted(pool, key=_load)[: query.count]
