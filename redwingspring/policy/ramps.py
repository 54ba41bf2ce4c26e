"""Ramp policies, which set the usable slots of a target in cold start."""

from dataclasses import dataclass

from ..registry import Registry

ramps = Registry("ramp policy")


@dataclass(frozen=True)
class RampProgress:
    """Responses of a target since it became cold, as seen by the lease grantor.

    Attributes
    ----------
    responses : int
        Complete responses on which the target did not report itself cold.
    seconds : float
        Time since the first of these responses.
    """

    responses: int
    seconds: float


@dataclass(frozen=True)
class RampLimits:
    """Values in force for the ramp of one target.

    Attributes
    ----------
    cold_slots : int
        Usable slots at the start of the ramp.
    slots : int
        Slots of the warm target.
    step_responses : int
        Complete responses required for each additional slot.
    """

    cold_slots: int
    slots: int
    step_responses: int


@ramps.register("stepwise")
def allow_stepwise(progress, limits):
    """Allow one more slot after every ``step_responses`` complete responses.

    Parameters
    ----------
    progress : RampProgress
        Responses that the grantor saw.
    limits : RampLimits
        Values in force.

    Returns
    -------
    int
        Usable slots; more than ``limits.slots`` means warm. Source: additive
        increase as in TCP congestion avoidance, RFC 5681.
    """
    return limits.cold_slots + progress.responses // limits.step_responses


@ramps.register("timed")
def allow_timed(progress, limits):
    """Allow one more slot for each second after the first complete response.

    Parameters
    ----------
    progress : RampProgress
        Responses that the grantor saw.
    limits : RampLimits
        Values in force.

    Returns
    -------
    int
        Usable slots; more than ``limits.slots`` means warm.
    """
    if not progress.responses:
        return limits.cold_slots
    return limits.cold_slots + int(progress.seconds)
