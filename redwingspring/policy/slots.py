"""Number of slots of a target that leases may use."""

import time

from .ramps import RampLimits

COLD = "cold"
PROBE = "probe"
# Maximum time from the request for a probe's lease until the target starts to
# process the probe. Lease, connection and send take 10 ms on idle hosts.
PROBE_START_S = 0.5


def find_probe_term(budget):
    """Return the term of a probe lease.

    The term ensures that two probes that each start within ``PROBE_START_S`` of
    their lease request reach the target at least one probe interval apart.

    Parameters
    ----------
    budget : float
        Probes a second, above 0.

    Returns
    -------
    float
        Seconds.
    """
    return 1 / budget + PROBE_START_S


class SlotCounter:
    """Computes the slots from the configuration and the ramp policy.

    Parameters
    ----------
    directory : TargetDirectory
        Targets and configuration in force.
    ramps : Registry
        Ramp policies by name.
    """

    def __init__(self, directory, ramps):
        self._directory = directory
        self._ramps = ramps

    def count(self, kind, address, progress):
        """Return the number of slots that leases of a kind may use.

        Parameters
        ----------
        kind : str
            ``cold`` or ``probe``.
        address : str
            Address of the target.
        progress : RampProgress
            Responses of the target that the grantor saw.

        Returns
        -------
        int
            0 for an unknown target or kind.
        """
        states = self._directory.find(address)
        if not states:
            return 0
        if kind == PROBE:
            now = time.monotonic()
            return int(all(state.needs_probe(now) for state in states))
        if kind != COLD:
            return 0
        return min(self._count_cold(state.target, progress) for state in states)

    def find_probe_term(self, address):
        """Return the term of a probe lease of a target.

        Parameters
        ----------
        address : str
            Address of the target.

        Returns
        -------
        float
            Seconds; 0 for an unknown target or one that is not probed.
        """
        budgets = [s.limits.probe_budget for s in self._directory.find(address)]
        lowest_budget = min(budgets, default=0.0)
        return find_probe_term(lowest_budget) if lowest_budget > 0 else 0.0

    def _count_cold(self, target, progress):
        configuration = self._directory.table.configuration
        limits = RampLimits(
            cold_slots=configuration.target_value("cold.slots", target),
            slots=configuration.target_value("target.slots", target),
            step_responses=configuration.target_value("cold.step_responses", target),
        )
        allow_slots = self._ramps.find(configuration.target_value("cold.ramp", target))
        return allow_slots(progress, limits)
