"""Balancing policies, which choose the target of a request."""

import itertools
import math
import random
from dataclasses import dataclass

from ..registry import Registry

policies = Registry("balance policy")

# Limits the cost of a decision: more candidates than this are sampled. Smaller
# samples of 6 or 16 targets gave a longer tail latency.
MAX_COMPARED_TARGETS = 40
# Factor on the expected finish time of targets in another data centre.
REMOTE_DATA_CENTRE_FACTOR = 1.01


@dataclass(frozen=True)
class PolicyContext:
    """Input of a policy other than the candidates.

    Attributes
    ----------
    data_centre : str
        Data centre of the deciding host.
    now : float
        Monotonic time in seconds.
    """

    data_centre: str
    now: float


@policies.register("random")
def choose_random(candidates, context):
    """Choose a candidate at random, all with equal probability.

    Parameters
    ----------
    candidates : sequence of TargetState
        At least one.
    context : PolicyContext
        Not used.

    Returns
    -------
    TargetState
        The chosen target.
    """
    return random.choice(candidates)


_counter = itertools.count(random.randrange(1 << 16))


@policies.register("round-robin")
def choose_round_robin(candidates, context):
    """Choose each candidate in turn.

    Parameters
    ----------
    candidates : sequence of TargetState
        At least one, in a stable order.
    context : PolicyContext
        Not used.

    Returns
    -------
    TargetState
        The chosen target. Each process begins at a random position, so that
        hosts that start together do not choose the same target each time.
    """
    return candidates[next(_counter) % len(candidates)]


@policies.register("fewest-outstanding")
def choose_fewest_outstanding(candidates, context):
    """Choose the candidate with the fewest outstanding requests of this host.

    Parameters
    ----------
    candidates : sequence of TargetState
        At least one; in-flight counts are requests.
    context : PolicyContext
        Not used.

    Returns
    -------
    TargetState
        The chosen target; ties are broken at random.
    """
    fewest = min(state.in_flight for state in candidates)
    return random.choice([s for s in candidates if s.in_flight == fewest])


@policies.register("two-choices")
def choose_two_choices(candidates, context):
    """Choose the one of two random candidates with fewer requests of this host.

    Parameters
    ----------
    candidates : sequence of TargetState
        At least one; in-flight counts are requests.
    context : PolicyContext
        Not used.

    Returns
    -------
    TargetState
        The chosen target. Source: Mitzenmacher, "The power of two choices in
        randomized load balancing", 2001.
    """
    if len(candidates) == 1:
        return candidates[0]
    first, second = random.sample(candidates, 2)
    return second if second.in_flight < first.in_flight else first


@policies.register("expected-finish")
def choose_expected_finish(candidates, context):
    """Choose the candidate with the shortest expected finish time.

    The expected finish time in seconds is the latency of the target, multiplied
    by 1 + queued requests / slots and by a penalty for failures
    (``TargetEstimate.estimate_finish_time``). It is raised by 1% for targets in
    other data centres, which decides only between targets that are otherwise
    equal. Ties go to the target that this host chose least recently; each host
    begins with a random order, so that hosts do not all choose the same target.

    Parameters
    ----------
    candidates : sequence of TargetState
        At least one.
    context : PolicyContext
        Data centre and monotonic time in seconds.

    Returns
    -------
    TargetState
        The chosen target. Sources: Mitzenmacher, "How useful is old
        information?", 2000 (the weight of a report falls with its age, which
        avoids herd behaviour); Suresh et al., "C3: cutting tail latency in
        cloud data stores via adaptive replica selection", 2015 (latency times
        queue length, own requests added to the reported ones).
    """
    compared = candidates
    if len(candidates) > MAX_COMPARED_TARGETS:
        compared = random.sample(candidates, MAX_COMPARED_TARGETS)
    now, data_centre = context.now, context.data_centre
    typical_latency = compared[0].outlier_detector.typical_latency
    best, best_finish = None, math.inf
    for state in compared:
        finish = state.estimate.estimate_finish_time(
            state.in_flight, state.limits.slots, typical_latency, now
        )
        if state.target.data_centre != data_centre:
            finish *= REMOTE_DATA_CENTRE_FACTOR
        if finish < best_finish or (
            finish == best_finish and state.chosen_at < best.chosen_at
        ):
            best, best_finish = state, finish
    best.chosen_at = now
    return best
