"""Grants of leases, kept by the hosts that act as grantors."""

import threading
import time
from dataclasses import dataclass

from .policy.ramps import RampProgress
from .policy.slots import PROBE

# A restarted grantor has lost its grants and refuses cold-start leases for the longest
# possible term. This bounds how long a newly started host grants none.
MAX_TERM_S = 2.0
# A probe lease lasts for a whole probe interval of its target. A restarted grantor
# refuses probe leases for as long, separately for each target. That may be long because
# no request waits for a probe lease.
MAX_PROBE_TERM_S = 86_400.0
# The target's own clock decides when the work under a lease ends. Grants last this much
# longer, which is the clock difference that is tolerated.
CLOCK_MARGIN_S = 0.25


@dataclass(frozen=True)
class Grant:
    """Grant of one slot of a target to one host.

    Attributes
    ----------
    holder : str
        Name of the host that holds the slot.
    number : int
        Number of the request that the slot was granted for.
    expires_at : float
        Monotonic time in seconds.
    """

    holder: str
    number: int
    expires_at: float


@dataclass(frozen=True)
class GrantAnswer:
    """Answer to a request for a lease.

    Attributes
    ----------
    granted : bool
        Whether the slot was granted.
    slots_allowed : int
        Number of slots that the ramp of the target allows now.
    """

    granted: bool
    slots_allowed: int


class RampRecord:
    """Responses that a grantor has counted for one target since it turned cold."""

    def __init__(self):
        self.responses = 0
        self.first_at = None

    def count(self, now):
        """Count a complete response.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        self.responses += 1
        if self.first_at is None:
            self.first_at = now

    def progress(self, now):
        """Return the progress of the ramp.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        RampProgress
            Number of responses and seconds since the first of them.
        """
        seconds = 0.0 if self.first_at is None else now - self.first_at
        return RampProgress(self.responses, seconds)


class GrantTable:
    """Leases that this host has granted as a grantor.

    Parameters
    ----------
    count_slots : callable
        Returns how many slots the ramp of a target allows, given the kind of the
        lease, the address of the target and a RampProgress; 0 for an unknown
        target.
    clock : callable, default=time.monotonic
        Monotonic clock in seconds.
    find_probe_term : callable or None, default=None
        Returns how many seconds a probe lease for an address lasts under the
        configuration of this host.
    """

    def __init__(self, count_slots, clock=time.monotonic, find_probe_term=None):
        self._count_slots = count_slots
        self._clock = clock
        self._find_probe_term = find_probe_term or (lambda address: 0.0)
        self._started_at = clock()
        self._refuses_cold_until = clock() + MAX_TERM_S + CLOCK_MARGIN_S
        self._lock = threading.Lock()
        self._grants = {}
        self._ramps = {}

    def request(self, holder, number, kind, target, slot, term):
        """Grant a slot unless it is already held.

        Parameters
        ----------
        holder : str
            Name of the host that requests the slot.
        number : int
            Number of its request.
        kind : str
            ``cold`` or ``probe``.
        target : str
            Address of the target.
        slot : int
            Index of the slot.
        term : float
            Requested duration in seconds, limited to ``MAX_TERM_S``. A probe lease
            lasts at least as long as the configuration of this host requires.

        Returns
        -------
        GrantAnswer
            Whether the slot was granted, and how many slots are allowed.
        """
        now = self._clock()
        with self._lock:
            allowed = self._count_allowed_slots(kind, target, now)
            duration = self._find_term(kind, target, term) + CLOCK_MARGIN_S
            if (
                self._may_have_lost_grant(kind, duration, now)
                or not 0 <= slot < allowed
            ):
                return GrantAnswer(False, allowed)
            key = (kind, target, slot)
            current = self._grants.get(key)
            if current is not None and current.expires_at > now:
                return GrantAnswer(False, allowed)
            self._grants[key] = Grant(holder, number, now + duration)
            return GrantAnswer(True, allowed)

    def release(self, holder, number, kind, target, slot, whole):
        """Release a slot and count the response received under its lease.

        Parameters
        ----------
        holder : str
            Name of the host that held the slot.
        number : int
            Number of its request.
        kind : str
            ``cold`` or ``probe``.
        target : str
            Address of the target.
        slot : int
            Index of the slot.
        whole : bool
            Whether a complete response arrived from a target that did not report
            itself cold.
        """
        now = self._clock()
        with self._lock:
            key = (kind, target, slot)
            current = self._grants.get(key)
            if current is None or (current.holder, current.number) != (holder, number):
                return
            del self._grants[key]
            if whole and current.expires_at > now:
                self._ramps.setdefault(target, RampRecord()).count(now)

    def reset_ramp(self, target):
        """Restart the ramp of a target.

        Parameters
        ----------
        target : str
            Address of the target.
        """
        with self._lock:
            self._ramps.pop(target, None)

    def retain(self, targets):
        """Drop the ramps of all other targets, and expired grants.

        Parameters
        ----------
        targets : set of str
            Addresses of the targets in the current configuration.
        """
        now = self._clock()
        with self._lock:
            for target in self._ramps.keys() - targets:
                del self._ramps[target]
            expired = [
                key for key, grant in self._grants.items() if grant.expires_at <= now
            ]
            for key in expired:
                del self._grants[key]

    def _find_term(self, kind, target, term):
        if kind != PROBE:
            return min(term, MAX_TERM_S)
        # The configuration of the requesting host may be older and allow more probes.
        return min(max(term, self._find_probe_term(target)), MAX_PROBE_TERM_S)

    def _may_have_lost_grant(self, kind, duration, now):
        """Return whether a grant lost in a restart may still be in effect."""
        if kind == PROBE:
            return now < self._started_at + duration
        return now < self._refuses_cold_until

    def _count_allowed_slots(self, kind, target, now):
        record = self._ramps.get(target)
        progress = RampProgress(0, 0.0) if record is None else record.progress(now)
        return self._count_slots(kind, target, progress)
