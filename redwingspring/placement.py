"""Choice of an instance for a request, from fresh load; no input or output.

Load pattern: a quarter of the targets runs several times slower in spells of a
few tens to hundreds of milliseconds, and targets slow down when they are nearly
full. What a target said a second ago is worth little, so a few targets are asked
right before the send, and the request goes where its predicted time is shortest.
"""

import random
from dataclasses import dataclass

from .registry import Registry

# Share of its slots above which a target is taken to slow down.
NEARLY_FULL = 0.8
NEARLY_FULL_FACTOR = 1.5
# Time of a request on a cold target, relative to a warm one.
COLD_FACTOR = 1.6
# Predicted factors closer than this are equal, so that hosts that ask at the
# same moment do not all choose the same target.
TIE_WIDTH = 0.15
# A slow spell ends within this time; older samples say nothing of slowness.
SAMPLE_USE_S = 0.06

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
        Whether all data centres are equal.
    tried : frozenset of str
        Ids of instances that are left out.
    now : float
        Present time.
    """

    data_centre: str
    count: int
    spread: bool
    tried: frozenset
    now: float


def predict_factor(sample):
    """Return the predicted time of one more request, relative to the usual time.

    Parameters
    ----------
    sample : LoadSample
        Fresh load of the instance.

    Returns
    -------
    float
        1 for an idle target at its usual speed.
    """
    slots = max(1, sample.slots)
    factor = sample.slowness
    if sample.cold_s > 0:
        factor *= COLD_FACTOR
    if (sample.running + 1) / slots > NEARLY_FULL:
        factor *= NEARLY_FULL_FACTOR
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
    factors = [predict_factor(sample) for sample in samples]
    least = min(factors)
    equal = [i for i, f in enumerate(factors) if f <= least * (1 + TIE_WIDTH)]
    return rng.choice(equal)


@candidate_policies.register("fresh-load")
def pick_fresh_load(states, query, rng=random):
    """Return instances that are asked for their load.

    Instances of the host's own data centre come first; among them those that
    recent samples show as slow or full, and those that leave a probe unanswered,
    come last.

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
    usable = [s for s in states if s.instance.id not in query.tried]
    sound = [s for s in usable if query.now >= s.ejected_until]
    # When all are ejected, trying one is better than certain failure.
    pool = sound or usable
    if not pool:
        return []
    ranked = sorted(pool, key=lambda state: _rank(state, query, rng))
    return ranked[: query.count]


def _rank(state, query, rng):
    """Return the sort key of a candidate; the smallest comes first."""
    remote = not query.spread and state.instance.data_centre != query.data_centre
    sample = state.sample
    poor = False
    if sample is not None and query.now - sample.time < SAMPLE_USE_S:
        poor = predict_factor(sample) > 2 or not sample.healthy
    return (remote, poor or bool(state.unanswered), rng.random())


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
    usable = [s for s in states if s.instance.id not in query.tried]
    sound = [s for s in usable if query.now >= s.ejected_until]
    pool = sound or usable

    def _load(state):
        remote = not query.spread and state.instance.data_centre != query.data_centre
        slots = max(1, state.instance.slots)
        return (state.in_flight / slots + (0.5 if remote else 0.0), rng.random())

    return sorted(pool, key=_load)[: query.count]
