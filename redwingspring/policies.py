"""Target choice policies."""

import itertools
import math
import random
from dataclasses import dataclass

from .registry import Registry

policies = Registry("balance policy")

# Bounds the cost of a decision; services of this size or less are compared in
# full, because a sample of 6 or 16 targets gave a longer tail.
MAX_COMPARED = 40
# A target in another data centre must be better by this share.
FOREIGN_COST = 1.01


@dataclass(frozen=True)
class PolicyContext:
    """What a policy may use besides the candidates.

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
    """Choose any candidate with equal probability.

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


_turns = itertools.count(random.randrange(1 << 16))


@policies.register("round-robin")
def choose_in_turn(candidates, context):
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
        The chosen target. Each process begins at a random place, so that
        hosts that start together do not move in step.
    """
    return candidates[next(_turns) % len(candidates)]


@policies.register("fewest-outstanding")
def choose_fewest(candidates, context):
    """Choose the candidate with the fewest requests of this host.

    Parameters
    ----------
    candidates : sequence of TargetState
        At least one; in-flight counts are requests.
    context : PolicyContext
        Not used.

    Returns
    -------
    TargetState
        The chosen target; equal ones have equal probability.
    """
    fewest = min(state.in_flight for state in candidates)
    return random.choice([s for s in candidates if s.in_flight == fewest])


@policies.register("two-choices")
def choose_of_two(candidates, context):
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
    """Choose the candidate that should finish first.

    The expected finish time in seconds is the latency of the target, times
    the rounds of its slots that must end first, times a penalty for failures
    (``Estimate.estimate_finish_time``). Other data centres count 1% more, which
    decides only between targets that are otherwise equal. Of equal targets
    the one that this host chose longest ago is chosen; each host begins with
    a random order, so that hosts do not move in step.

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
        information?", 2000 (reports are discounted by their age, which
        avoids herds); Suresh et al., "C3: cutting tail latency in cloud data
        stores via adaptive replica selection", 2015 (latency times queue,
        own requests added to the reported ones).
    """
    compared = candidates
    if len(candidates) > MAX_COMPARED:
        compared = random.sample(candidates, MAX_COMPARED)
    now, data_centre = context.now, context.data_centre
    typical = compared[0].outlier_detector.typical_latency
    best, best_finish = None, math.inf
    for state in compared:
        finish = state.estimate.estimate_finish_time(
            state.in_flight, state.limits.slots, typical, now
        )
        if state.target.data_centre != data_centre:
            finish *= FOREIGN_COST
        if finish < best_finish or (
            finish == best_finish and state.chosen_at < best.chosen_at
        ):
            best, best_finish = state, finish
    best.chosen_at = now
    return best
