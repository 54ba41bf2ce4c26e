"""State of a stand-in target and the record of its requests."""

import random
import threading
import time
import uuid
from collections import Counter, deque
from dataclasses import asdict

MAX_RECORDS = 500_000


class TargetRecord:
    """State of a stand-in target and the record of its requests.

    Parameters
    ----------
    behaviour : TargetBehaviour
        How it behaves.
    """

    def __init__(self, behaviour):
        self.behaviour = behaviour
        self.start_id = uuid.uuid4().hex[:8]
        self.runs = deque(maxlen=MAX_RECORDS)
        self.refusals = deque(maxlen=MAX_RECORDS)
        self.counters = Counter()
        self.in_flight = 0
        self.connections = 0
        self._lock = threading.Lock()
        self._random = random.Random(behaviour.seed)
        self._reports_cold = True
        self._stalled_until = 0.0
        self._begin_cold_start()

    def _begin_cold_start(self):
        self._cold_until = time.monotonic() + self.behaviour.cold_s
        self._cold_left = self.behaviour.cold_responses

    @property
    def is_cold(self):
        """Tell whether the target is in cold start."""
        return self._cold_left > 0 or time.monotonic() < self._cold_until

    def change(self, values):
        """Change the behaviour.

        Parameters
        ----------
        values : dict
            New values by field name.
        """
        with self._lock:
            self.behaviour = self.behaviour.change(values)
            if "seed" in values:
                self._random = random.Random(self.behaviour.seed)

    def turn_cold(self, new_start, reports_cold):
        """Begin a cold start without a restart of the process.

        Parameters
        ----------
        new_start : bool
            Whether the start id changes.
        reports_cold : bool
            Whether the load report says so.
        """
        with self._lock:
            if new_start:
                self.start_id = uuid.uuid4().hex[:8]
            self._reports_cold = reports_cold
            self._begin_cold_start()

    def count_connection(self, change):
        """Count a connection that carries requests.

        Parameters
        ----------
        change : int
            1 when it begins to carry requests, -1 at its end.

        Returns
        -------
        bool
            False when there are now more than the limit.
        """
        with self._lock:
            self.connections += change
            most = max(self.counters["most_connections"], self.connections)
            self.counters["most_connections"] = most
            return self.connections <= self.behaviour.connections

    def pick_fault(self, method, path):
        """Return the fault that strikes a request.

        Parameters
        ----------
        method : str
            Method of the request; empty for a connection.
        path : str
            Its path.

        Returns
        -------
        Fault or None
            The first fault that matches.
        """
        for fault in self.behaviour.faults:
            if (fault.name == "reset-accept") != (not method):
                continue
            if fault.methods and method not in fault.methods:
                continue
            if path.startswith(fault.path) and self._draw(fault.rate):
                return fault
        return None

    def _draw(self, rate):
        with self._lock:
            return rate >= 1.0 or self._random.random() < rate

    def enter(self, request):
        """Take a slot and record that a request starts to run.

        Parameters
        ----------
        request : dict
            Description of the request.

        Returns
        -------
        dict or str
            The run's record, or the reason of a refusal.
        """
        reason = None
        if self.behaviour.shed_rate and self._draw(self.behaviour.shed_rate):
            reason = "shed"
        with self._lock:
            if self.in_flight >= self.behaviour.slots:
                reason = "slots"
            if reason is not None:
                return reason
            self.in_flight += 1
            cold = self.is_cold
            run = {
                **request,
                "start": self.start_id,
                "cold": cold,
                "started": time.time(),
                "ended": None,
                "concurrency": self.in_flight,
                "end": "running",
            }
            self.runs.append(run)
            self.counters["runs"] += 1
            key = "most_cold" if cold else "most_in_flight"
            self.counters[key] = max(self.counters[key], self.in_flight)
            if cold and self.in_flight > self.behaviour.cold_slots:
                self.counters["falls"] += 1
                self._stalled_until = time.monotonic() + self.behaviour.stall_s
            return run

    def leave(self, run, end):
        """Free a slot and record how a run ended.

        Parameters
        ----------
        run : dict
            The run's record.
        end : str
            How it ended.
        """
        with self._lock:
            self.in_flight -= 1
            run["ended"] = time.time()
            run["end"] = end
            if end == "whole" and self._cold_left > 0:
                self._cold_left -= 1

    def refuse(self, request, reason):
        """Record a refusal.

        Parameters
        ----------
        request : dict
            Description of the request.
        reason : str
            Why it was refused.
        """
        with self._lock:
            self.counters["refusals"] += 1
            self.refusals.append({**request, "time": time.time(), "reason": reason})

    @property
    def stall_left(self):
        """Time in seconds until the target recovers from falling over."""
        return max(0.0, self._stalled_until - time.monotonic())

    def report(self):
        """Return the load report.

        Returns
        -------
        str
            Empty for no report.
        """
        if self.behaviour.report:
            return self.behaviour.report.strip("-")
        state = "cold" if self.is_cold and self._reports_cold else "warm"
        if self.behaviour.leaving:
            state = "leaving"
        return (
            f"inflight={self.in_flight}; slots={self.behaviour.slots}; "
            f"state={state}; start={self.start_id}"
        )

    def dump(self):
        """Return all records.

        Returns
        -------
        dict
            What ``GET /-target/records`` shows.
        """
        with self._lock:
            return {
                "start": self.start_id,
                "cold": self.is_cold,
                "in_flight": self.in_flight,
                "connections": self.connections,
                "counters": dict(self.counters),
                "behaviour": asdict(self.behaviour),
                "runs": [dict(run) for run in self.runs],
                "refusals": list(self.refusals),
            }

    def clear(self):
        """Forget all records and counters."""
        with self._lock:
            self.runs.clear()
            self.refusals.clear()
            self.counters.clear()
