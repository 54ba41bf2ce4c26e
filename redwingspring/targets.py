"""State of each target as this host knows it."""

import random
import threading
import time
from dataclasses import dataclass
from types import MappingProxyType

from .limits import MIN_PROBE_BUDGET, read_limits
from .limits import TargetLimits as TargetLimits
from .loadreports import LoadReport as LoadReport
from .loadreports import Temperature
from .loadreports import parse_load_report as parse_load_report
from .policy.ejections import OutlierDetector
from .policy.estimates import TargetEstimate

NEVER = float("-inf")


class TargetState:
    """Mutable state of one target.

    Parameters
    ----------
    target : Target
        Which target this is.
    limits : TargetLimits
        Values in force.
    """

    def __init__(self, target, limits):
        self.target = target
        self.limits = limits
        self.removed = False
        self._lock = threading.Lock()
        self.in_flight = 0
        self.report = None
        self.estimate = TargetEstimate()
        self.outlier_detector = OutlierDetector((self,))
        self.failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.returned_at = None
        self.chosen_at = random.random()
        self.start_id = ""
        self.warmed_start_id = None
        self.leaving = False
        # Unix times in milliseconds at which a host last found the target cold or
        # warm.
        self.cold_seen_ms = 0
        self.warm_seen_ms = 0
        # Monotonic times of the newest report that another host received, and
        # of the newest probe by any host.
        self.peer_report_time = NEVER
        self.probed = NEVER

    @property
    def is_cold(self):
        """Tell whether requests need a cold-start lease."""
        return self.warmed_start_id is None or self.warmed_start_id != self.start_id

    @property
    def latency(self):
        """Average time until a response began, in seconds, or None."""
        return self.estimate.latency

    def is_ready(self, now):
        """Tell whether the target is warm, accepts work and has a free slot.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Combines ``accepts_work``, ``is_cold`` and the slot count in one
            call, because every request checks every target.
        """
        limits = self.limits
        warm_id = self.warmed_start_id
        return (
            self.in_flight < limits.slots
            and self.ejected_until <= now
            and warm_id is not None
            and warm_id == self.start_id
            and not (self.removed or self.leaving or limits.out)
        )

    def accepts_work(self, now):
        """Tell whether the target may receive new requests.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            False when it is out of service, leaving, removed or ejected.
        """
        return not (
            self.removed or self.limits.out or self.leaving or self.ejected_until > now
        )

    @property
    def own_report_time(self):
        """Monotonic time of the newest report that this host received."""
        return NEVER if self.report is None else self.report.time

    @property
    def latest_report_time(self):
        """Monotonic time of the newest report that this host knows of."""
        return max(self.own_report_time, self.peer_report_time)

    def needs_probe(self, now):
        """Tell whether a probe is due, as far as this host knows.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            False for a target that has reported recently, accepts no work, is
            in cold start or has no probe budget.
        """
        return (
            self.limits.probe_budget >= MIN_PROBE_BUDGET
            and now - self.latest_report_time >= self.limits.probe_after
            and self.accepts_work(now)
            # A target in cold start reports on the requests sent under leases.
            and not self.is_cold
        )

    def update_report_times(self, reported, probed):
        """Record when hosts received a report or sent a probe.

        Parameters
        ----------
        reported : float
            Monotonic time of a report to another host; ``NEVER`` without one.
        probed : float
            Monotonic time of a probe; ``NEVER`` without one.
        """
        with self._lock:
            self.peer_report_time = max(self.peer_report_time, reported)
            self.probed = max(self.probed, probed)

    def begin(self):
        """Count a request that starts."""
        with self._lock:
            self.in_flight += 1

    def end(self):
        """Count a request that ended."""
        with self._lock:
            self.in_flight -= 1

    def estimate_load(self, now):
        """Return the expected number of requests at the target.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float
            Requests of all hosts at the target.
        """
        half_life = self.estimate.estimate_latency(
            now, self.outlier_detector.typical_latency
        )
        return self.in_flight + self.estimate.estimate_other_load(now, half_life)

    def record_report(self, report):
        """Apply a load report; return the temperature if it became cold or leaving.

        Parameters
        ----------
        report : LoadReport
            The report on a response.

        Returns
        -------
        Temperature or None
            COLD or LEAVING when this report changed the temperature to it.
        """
        with self._lock:
            if self.report is not None and self.report.time > report.time:
                return None
            self.report = report
            # The report includes this host's requests and the one that was just
            # answered.
            other_load = max(0, report.in_flight - self.in_flight)
            self.estimate.record_other_load(other_load, report.time)
            was_leaving, was_cold = self.leaving, self.is_cold
            self.leaving = report.temperature is Temperature.LEAVING
            self.start_id = report.start_id
            if report.temperature is Temperature.COLD:
                self.warmed_start_id = None
            if self.leaving and not was_leaving:
                return Temperature.LEAVING
            if self.is_cold and not was_cold:
                return Temperature.COLD
            return None

    def mark_warm(self, start_id):
        """Record that a start of the target process can take full load.

        Parameters
        ----------
        start_id : str
            Identifier of the warm start.
        """
        with self._lock:
            self.start_id = start_id
            self.warmed_start_id = start_id

    def mark_cold(self, start_id):
        """Record that a peer saw the target in cold start.

        Parameters
        ----------
        start_id : str
            Identifier of the cold start.
        """
        with self._lock:
            self.start_id = start_id
            self.warmed_start_id = None

    def mark_leaving(self):
        """Record that a peer saw the target leaving."""
        with self._lock:
            self.leaving = True

    def record_success(self, seconds):
        """Record a complete response.

        Parameters
        ----------
        seconds : float
            Time until the response began.
        """
        now = time.monotonic()
        with self._lock:
            self.failures = 0
            report, queue_factor = self.report, 1.0
            if report is not None and report.slots > 0:
                # Requests in excess of the slots were queued. Their waiting time
                # shows the load of the target, not its speed.
                waiting = max(0, report.in_flight - report.slots)
                queue_factor += waiting / report.slots
            self.estimate.record_latency(seconds, now, queue_factor)
            self.estimate.record_outcome(False, now)

    def record_cancelled(self, seconds):
        """Record an attempt that was cancelled because it took too long.

        Parameters
        ----------
        seconds : float
            Time until the cancellation.
        """
        with self._lock:
            self.estimate.record_cancelled_latency(seconds, time.monotonic())

    def record_refused(self):
        """Record that the target refused a request because its slots were used."""
        with self._lock:
            other_load = max(0, self.limits.slots - self.in_flight)
            self.estimate.record_other_load(other_load, time.monotonic())

    def record_failure(self, now):
        """Record a failed attempt; return True if it ejects the target.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            True when this failure ejected the target.
        """
        with self._lock:
            self.failures += 1
            self.estimate.record_outcome(True, now)
            if self.failures < self.limits.eject_failures:
                return False
        return self.outlier_detector.eject(self, now)

    def compute_return_share(self, now):
        """Return the share of its traffic that a target may receive after its return.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float
            Rises from 0 to 1 over ``return.ramp``.
        """
        if self.returned_at is None:
            return 1.0
        ramp = self.limits.return_ramp
        share = (now - self.returned_at) / ramp if ramp > 0 else 1.0
        if share >= 1.0:
            self.returned_at = None
            return 1.0
        return share


@dataclass(frozen=True)
class TargetTable:
    """All target states under one configuration.

    Attributes
    ----------
    services : mapping of str to tuple of TargetState
        States by service.
    configuration : Configuration
        The configuration in force.
    stamp : Stamp or None
        Its stamp.
    """

    services: MappingProxyType
    configuration: object
    stamp: object = None


class TargetDirectory:
    """Holds the table in force and keeps target states across configurations."""

    def __init__(self):
        self.table = None
        self._by_address = {}

    def apply(self, configuration, stamp=None):
        """Apply a configuration.

        Parameters
        ----------
        configuration : Configuration
            The checked configuration.
        stamp : Stamp or None, default=None
            Its stamp.
        """
        old = {}
        if self.table is not None:
            for states in self.table.services.values():
                for state in states:
                    old[state.target] = state
        services = {}
        for name, service in configuration.services.items():
            states = []
            for target in service.targets:
                limits = read_limits(configuration, target)
                state = old.pop(target, None)
                if state is None:
                    state = TargetState(target, limits)
                # The check just before a send reads the limits again, so a change
                # applies to requests decided under the previous configuration.
                if state.limits.out and not limits.out:
                    state.returned_at = time.monotonic()
                state.limits = limits
                states.append(state)
            services[name] = tuple(states)
            outlier_detector = OutlierDetector(states)
            for state in states:
                outlier_detector.typical_latency = (
                    state.outlier_detector.typical_latency
                )
                state.outlier_detector = outlier_detector
        by_address = {}
        for states in services.values():
            for state in states:
                known = by_address.get(state.target.address, ())
                by_address[state.target.address] = (*known, state)
        self._by_address = by_address
        self.table = TargetTable(MappingProxyType(services), configuration, stamp)
        for state in old.values():
            state.removed = True

    def find(self, address):
        """Return the states of an address, one for each service.

        Parameters
        ----------
        address : str
            ``ip:port`` of a target.

        Returns
        -------
        tuple of TargetState
            Empty when the address is unknown.
        """
        return self._by_address.get(address, ())
