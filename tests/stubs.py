"""Target states, limits and load reports for unit tests."""

from redwingspring.configuration import Target
from redwingspring.policy.ejections import OutlierDetector
from redwingspring.targets import LoadReport, TargetLimits, TargetState, Temperature

LIMITS = {
    "slots": 3,
    "connections": 250,
    "connect_timeout": 0.25,
    "idle_timeout": 30.0,
    "eject_failures": 3,
    "eject_time": 2.0,
    "eject_outlier": 5,
    "out": False,
    "echo_required": True,
    "stall_timeout": 10.0,
    "cold_slots": 1,
    "cold_lease": 2.0,
    "return_ramp": 10.0,
    "probe_after": 5.0,
    "probe_budget": 1.0,
    "probe_path": "/",
}


def make_states(count, data_centre="akl-a", **limits):
    """Return the states of warm targets of one service."""
    states = []
    for number in range(count):
        target = Target("fault-desk", f"127.0.0.1:{7000 + number}", data_centre)
        state = TargetState(target, TargetLimits(**(LIMITS | limits)))
        state.mark_warm("1")
        states.append(state)
    outlier_detector = OutlierDetector(states)
    for state in states:
        state.outlier_detector = outlier_detector
    return states


def make_report(in_flight, time, slots=3):
    """Return the load report of a warm target."""
    return LoadReport(in_flight, slots, Temperature.WARM, "1", time)
