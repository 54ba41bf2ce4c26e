"""Resolved configuration of one target: limits, timeouts, ejection and probing."""

from dataclasses import dataclass

# Probes are disabled below this rate, about one a day. Grants are kept in memory
# for a whole probe interval, and rarer probes are of no use for finding changes.
MIN_PROBE_BUDGET = 1 / 86_000


@dataclass(frozen=True)
class TargetLimits:
    """Configuration values in force for one target.

    Attributes
    ----------
    slots : int
        Maximum number of requests that the target processes concurrently.
    connections : int
        Maximum number of connections to the target, over all hosts.
    connect_timeout : float
        Seconds to open a connection.
    idle_timeout : float
        Seconds that an unused connection is kept.
    eject_failures : int
        Consecutive failures that eject the target.
    eject_time : float
        Base duration of an ejection in seconds.
    eject_outlier : float
        Multiple of the median latency that ejects a target; 0 disables this.
    out : bool
        True when operators took the target out of service.
    echo_required : bool
        True when responses must echo the attempt id.
    stall_timeout : float
        Longest pause of a response body in seconds.
    cold_slots : int
        Concurrent requests at the beginning of a cold start, over all hosts.
    cold_lease : float
        Maximum term of a cold-start lease in seconds.
    return_ramp : float
        Seconds over which traffic to a target rises after it returns to service.
    probe_after : float
        Age in seconds of the last report after which the target is probed.
    probe_budget : float
        Probes a second, over all hosts.
    probe_path : str
        Request path of probes.
    """

    slots: int
    connections: int
    connect_timeout: float
    idle_timeout: float
    eject_failures: int
    eject_time: float
    eject_outlier: float
    out: bool
    echo_required: bool
    stall_timeout: float
    cold_slots: int
    cold_lease: float
    return_ramp: float
    probe_after: float
    probe_budget: float
    probe_path: str


def read_limits(configuration, target):
    """Return the values in force for a target.

    Parameters
    ----------
    configuration : Configuration
        The configuration in force.
    target : Target
        The target.

    Returns
    -------
    TargetLimits
        The resolved values.
    """

    def _read_value(key):
        return configuration.target_value(key, target)

    return TargetLimits(
        slots=_read_value("target.slots"),
        connections=_read_value("target.connections"),
        connect_timeout=_read_value("target.connect"),
        idle_timeout=_read_value("target.idle"),
        eject_failures=_read_value("eject.failures"),
        eject_time=_read_value("eject.time"),
        eject_outlier=_read_value("eject.outlier"),
        out=_read_value("serve") == "out",
        echo_required=_read_value("response.echo") == "required",
        stall_timeout=_read_value("response.stall"),
        cold_slots=_read_value("cold.slots"),
        cold_lease=_read_value("cold.lease"),
        return_ramp=_read_value("return.ramp"),
        probe_after=_read_value("probe.after"),
        probe_budget=_read_value("probe.budget"),
        probe_path=_read_value("probe.path"),
    )
