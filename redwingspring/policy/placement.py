"""Choice of an instance for a request by its fresh load; no input or output.

Load pattern: at any time a quarter of the targets runs several times slower, for
periods of a few tens to hundreds of milliseconds, and targets slow down when they are
nearly full. A load report that is a second old is of little use. So a few targets are
probed right before the send, and the request goes to the one with the shortest
predicted time.
"""

import random
from dataclasses import dataclass

from ..mappings import drop_oldest
from ..registry import Registry
from ..routes import MAX_ROUTES

# Share of slots in use above which some targets slow down, and the slowdown that is
# assumed until it has been measured.
NEARLY_FULL_SHARE = 0.8
NEARLY_FULL_SLOWDOWN = 1.4
# Processing time on a cold target, relative to a warm one.
COLD_SLOWDOWN = 1.6
# Relative difference up to which predicted slowdowns count as equal, so that hosts
# that probe at the same time do not all choose the same target.
TIE_TOLERANCE = 0.15
# Age above which a sample is ignored, because a slow period may have ended.
MAX_SAMPLE_AGE_S = 0.06

# Weight of the latest response in the moving average of the response size.
SMOOTHING_FACTOR = 0.08
# Quantile that estimates the usual processing time, and the relative step by which
# the estimate moves.
WORK_QUANTILE = 0.4
QUANTILE_STEP = 0.08
# Responses of targets that run slower than this are left out of the time estimates,
# because they say little about the usual time.
MAX_LEARNED_SLOWNESS = 1.5
# Processing time before the first response, as a share of the target latency.
INITIAL_WORK_SHARE = 0.35

candidate_policies = Registry("candidate policy")


@dataclass(frozen=True)
class CandidateQuery:
    """Parameters of a candidate policy.

    Attributes
    ----------
    data_centre : str
        Data centre of this host.
    count : int
        Maximum number of candidates.
    all_data_centres : bool
        Whether instances of other data centres are candidates while there are some
        in the local one.
    excluded_ids : frozenset of str
        Ids of instances that are left out.
    now : float
        Current time.
    include_ejected : bool, default=False
        Whether ejected instances are candidates like the others.
    preferred_ids : frozenset of str, default=frozenset()
        Ids of instances that come before equally good ones.
    """

    data_centre: str
    count: int
    all_data_centres: bool
    excluded_ids: frozenset
    now: float
    include_ejected: bool = False
    preferred_ids: frozenset = frozenset()


@dataclass(frozen=True)
class AnsweredRequest:
    """An answered request, as a measurement for the response statistics.

    Attributes
    ----------
    route : Route
        Route of the request.
    service : str
        Service that answered the request.
    sample : LoadSample or None
        Load of the target at the send.
    seconds : float
        Time from the send to the end of the response.
    size : int or None
        Bytes of the response body; None if unknown.
    end_sample : LoadSample or None, default=None
        Load that the response reported; it includes the request itself.
    """

    route: object
    service: str
    sample: object
    seconds: float
    size: int | None
    end_sample: object = None

    @property
    def crossed_nearly_full(self):
        """Tell whether the target was nearly full for only a part of the request."""
        end = self.end_sample
        if self.sample is None or end is None:
            return False
        return is_nearly_full(self.sample) != is_nearly_full(end.finish_request())


class ResponseStatistics:
    """Estimates of response size, processing time and slowdown.

    The processing time of a route is the usual time of a request at a target that
    runs at its usual speed. The slowdown of nearly full targets is measured for each
    service, because some services have none.
    """

    def __init__(self):
        self._sizes = {}
        self._work_s = {}
        self._slowdowns = {}
        self._prefixes = {}

    def record(self, answered):
        """Update the estimates with an answered request.

        Parameters
        ----------
        answered : AnsweredRequest
            The answered request.
        """
        if answered.size is not None:
            _update_mean(self._sizes, answered.route.prefix, answered.size)
        sample = answered.sample
        if sample is None or sample.waiting or sample.cold_s > 0:
            return
        if sample.slowness > MAX_LEARNED_SLOWNESS or answered.crossed_nearly_full:
            return
        seconds = answered.seconds / sample.slowness
        prefix = answered.route.prefix
        if not is_nearly_full(sample):
            _update_quantile(self._work_s, prefix, seconds)
            self._prefixes.setdefault(answered.service, set()).add(prefix)
            drop_oldest(self._prefixes, MAX_ROUTES)
            return
        work_s = self._work_s.get(prefix)
        if work_s is not None:
            slowdown = seconds / work_s
            _update_quantile(
                self._slowdowns, answered.service, slowdown, NEARLY_FULL_SLOWDOWN
            )

    def estimate_size(self, route):
        """Return the expected size of a response.

        Parameters
        ----------
        route : Route
            Route of the request.

        Returns
        -------
        float
            Bytes; 0 before the first response.
        """
        return self._sizes.get(route.prefix, 0.0)

    def estimate_work_s(self, route):
        """Return the expected processing time of a request.

        Parameters
        ----------
        route : Route
            Route of the request.

        Returns
        -------
        float
            Seconds; a share of the target latency before the first response.
        """
        return self._work_s.get(
            route.prefix, INITIAL_WORK_SHARE * route.target_latency_s
        )

    def estimate_least_work_s(self, service):
        """Return the least processing time among the requests of a service.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        float
            Seconds, for the route with the shortest requests; infinite before the
            first response.
        """
        prefixes = tuple(self._prefixes.get(service, ()))
        known = [self._work_s[p] for p in prefixes if p in self._work_s]
        return min(known, default=float("inf"))

    def estimate_nearly_full_slowdown(self, service):
        """Return how much slower nearly full targets of a service are.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        float
            Factor on the processing time.
        """
        return self._slowdowns.get(service, NEARLY_FULL_SLOWDOWN)


def _update_mean(means, key, value):
    """Update the exponential moving average of a key with a value."""
    mean = means.get(key, value)
    means[key] = mean + SMOOTHING_FACTOR * (value - mean)
    drop_oldest(means, MAX_ROUTES)


def _update_quantile(estimates, key, value, initial=None):
    """Move the estimated lower quantile of a key towards a value.

    Slow periods that begin during a request would make a mean too long, and requests
    would count as late while most targets can still answer them in time.
    """
    estimate = estimates.get(key, value if initial is None else initial)
    step = QUANTILE_STEP * (WORK_QUANTILE if value > estimate else WORK_QUANTILE - 1)
    estimates[key] = estimate * (1 + step)
    drop_oldest(estimates, MAX_ROUTES)


def is_nearly_full(sample):
    """Tell whether one more request makes a target nearly full.

    Parameters
    ----------
    sample : LoadSample
        Fresh load of the target.

    Returns
    -------
    bool
        True if the target may slow down.
    """
    return (sample.running + 1) / max(1, sample.slots) > NEARLY_FULL_SHARE


def count_full_speed_slots(slots):
    """Return how many slots of a target can be in use before it is nearly full.

    Parameters
    ----------
    slots : int
        Number of slots of the target.

    Returns
    -------
    int
        At least 1.
    """
    return max(1, int(NEARLY_FULL_SHARE * slots))


def predict_slowdown(sample, nearly_full_slowdown=NEARLY_FULL_SLOWDOWN):
    """Return the predicted time of one more request, relative to the usual one.

    Parameters
    ----------
    sample : LoadSample
        Fresh load of the instance.
    nearly_full_slowdown : float, default=NEARLY_FULL_SLOWDOWN
        Slowdown of a nearly full target.

    Returns
    -------
    float
        1 for an idle target at its usual speed.
    """
    slots = max(1, sample.slots)
    slowdown = sample.slowness
    if sample.cold_s > 0:
        slowdown *= COLD_SLOWDOWN
    if is_nearly_full(sample):
        slowdown *= nearly_full_slowdown
    excess = sample.running + sample.waiting + 1 - slots
    if excess > 0:
        slowdown *= 1 + excess / slots
    return slowdown


def choose_best(samples, rng=random):
    """Return the index of the sample with the shortest predicted time.

    Parameters
    ----------
    samples : list of LoadSample
        Fresh load of the candidates, at least one.
    rng : random.Random, default=random
        Chooses among candidates with about equal predictions.

    Returns
    -------
    int
        Index within ``samples``.
    """
    slowdowns = [predict_slowdown(sample) for sample in samples]
    least = min(slowdowns)
    equal = [i for i, s in enumerate(slowdowns) if s <= least * (1 + TIE_TOLERANCE)]
    return rng.choice(equal)


@candidate_policies.register("fresh-load")
def pick_fresh_load(states, query, rng=random):
    """Return the instances to probe.

    Instances that are slow, full or unhealthy by a recent sample, and those with an
    unanswered probe, come last.

    Parameters
    ----------
    states : sequence of InstanceState
        Instances of the service.
    query : CandidateQuery
        Parameters of the choice.
    rng : random.Random, default=random
        Source of the random order.

    Returns
    -------
    list of InstanceState
        At most ``query.count``.
    """
    candidates = _filter_candidates(states, query)
    ranked = sorted(candidates, key=lambda state: _sort_key(state, query, rng))
    return ranked[: query.count]


def _filter_candidates(states, query):
    """Return the instances among which a policy chooses."""
    usable = [s for s in states if s.instance.id not in query.excluded_ids]
    if not query.all_data_centres:
        # A data centre with few instances must not send half of its requests
        # to other data centres while these instances are idle.
        local = [s for s in usable if s.instance.data_centre == query.data_centre]
        usable = local or usable
    if query.include_ejected:
        return usable
    not_ejected = [s for s in usable if query.now >= s.ejected_until]
    # If all are ejected, trying one is better than certain failure.
    return not_ejected or usable


def _sort_key(state, query, rng):
    """Return the sort key of a candidate; the smallest comes first."""
    sample = state.sample
    slow_or_unhealthy = False
    if sample is not None and query.now - sample.time < MAX_SAMPLE_AGE_S:
        slow_or_unhealthy = predict_slowdown(sample) > 2 or not sample.healthy
    return (
        slow_or_unhealthy or state.has_pending_probe,
        state.instance.id not in query.preferred_ids,
        rng.random(),
    )


def all_unhealthy(states):
    """Tell whether all instances are unhealthy, so that health cannot guide a choice.

    Load pattern: the health page itself fails, or all instances of a small service
    report themselves unhealthy at once, while requests succeed. Without any healthy
    instance, sending is better than certain failure; an instance that is really
    unhealthy refuses or is ejected.

    Parameters
    ----------
    states : sequence of InstanceState
        Instances of the service.

    Returns
    -------
    bool
        True if the last report of each instance was unhealthy.
    """
    return all(s.sample is not None and not s.sample.healthy for s in states)


@candidate_policies.register("recent-load")
def pick_recent_load(states, query, rng=random):
    """Return the instances that have just reported their load.

    Load pattern: while all targets are full, only the response to a request that has
    just ended shows that a slot is free. Probes at that time mostly find full targets
    and use up the share of probes.

    Parameters
    ----------
    states : sequence of InstanceState
        Instances of the service.
    query : CandidateQuery
        Parameters of the choice.
    rng : random.Random, default=random
        Unused; part of the signature of all candidate policies.

    Returns
    -------
    list of InstanceState
        All such instances, in no particular order.
    """
    candidates = _filter_candidates(states, query)
    return [state for state in candidates if state.has_recent_load(query.now)]


@candidate_policies.register("least-requests")
def pick_least_requests(states, query, rng=random):
    """Return the instances with the fewest requests from this host.

    This policy is for services whose targets do not report their load.

    Parameters
    ----------
    states : sequence of InstanceState
        Instances of the service.
    query : CandidateQuery
        Parameters of the choice.
    rng : random.Random, default=random
        Source of the random order of equally loaded instances.

    Returns
    -------
    list of InstanceState
        At most ``query.count``.
    """
    candidates = _filter_candidates(states, query)

    def _compute_load(state):
        slots = max(1, state.instance.slots)
        preferred = state.instance.id in query.preferred_ids
        return (state.in_flight / slots, not preferred, rng.random())

    return sorted(candidates, key=_compute_load)[: query.count]
