"""Grants of leases: the side that a lease is asked from."""

import threading
import time
from dataclasses import dataclass

from .ramps import RampProgress
from .slots import PROBE

# A grantor that forgot its grants in a restart waits for the longest lease,
# so this bounds how long a new host grants nothing for cold starts.
MAX_TERM_S = 2.0
# Probe leases last a whole probe interval of their target, and a restarted
# grantor is quiet for as long, target by target; work does not wait for them.
MAX_PROBE_TERM_S = 86_400.0
# A target ends the work of a lease by its own clock; grants last this much
# longer, so that clocks may differ by that much.
CLOCK_MARGIN_S = 0.25


@dataclass(frozen=True)
class Grant:
    """One slot of a target given to one host.

    Attributes
    ----------
    holder : str
        Name of the host.
    number : int
        Number of the holder's request.
    expires : float
        Monotonic time in seconds.
    """

    holder: str
    number: int
    expires: float


@dataclass(frozen=True)
class GrantAnswer:
    """Answer to a request for a grant.

    Attributes
    ----------
    granted : bool
        Whether the slot was given.
    slots_allowed : int
        Slots that the ramp allows at present.
    """

    granted: bool
    slots_allowed: int


class RampRecord:
    """What a grantor counted for one target since it turned cold."""

    def __init__(self):
        self.responses = 0
        self.first = None

    def count(self, now):
        """Count a whole response.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        self.responses += 1
        if self.first is None:
            self.first = now

    def progress(self, now):
        """Return the counts as a ramp policy takes them.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        RampProgress
            The counts.
        """
        seconds = 0.0 if self.first is None else now - self.first
        return RampProgress(self.responses, seconds)


class GrantTable:
    """Slots that this host has granted.

    Parameters
    ----------
    count_slots : callable
        Returns the slots that a target's ramp allows, from the kind of the
        lease, the target's address and a RampProgress; 0 for an unknown
        target.
    clock : callable, default=time.monotonic
        Monotonic clock in seconds.
    find_probe_term : callable or None, default=None
        Returns the seconds that a probe lease of an address lasts under the
        configuration of this host.
    """

    def __init__(self, count_slots, clock=time.monotonic, find_probe_term=None):
        self._count_slots = count_slots
        self._clock = clock
        self._find_probe_term = find_probe_term or (lambda address: 0.0)
        self._started = clock()
        self._refuses_cold_until = clock() + MAX_TERM_S + CLOCK_MARGIN_S
        self._lock = threading.Lock()
        self._grants = {}
        self._ramps = {}

    def request(self, holder, number, kind, target, slot, term):
        """Grant a slot if nobody holds it.

        Parameters
        ----------
        holder : str
            Name of the host that asks.
        number : int
            Number of its request.
        kind : str
            ``cold`` or ``probe``.
        target : str
            Address of the target.
        slot : int
            Number of the slot.
        term : float
            Seconds; cut to ``MAX_TERM_S``. A probe lease lasts at least as long
            as the configuration of this host demands.

        Returns
        -------
        GrantAnswer
            Whether the slot was granted.
        """
        now = self._clock()
        with self._lock:
            allowed = self._allowed(kind, target, now)
            lasts = self._find_term(kind, target, term) + CLOCK_MARGIN_S
            if self._is_quiet(kind, lasts, now) or not 0 <= slot < allowed:
                return GrantAnswer(False, allowed)
            key = (kind, target, slot)
            held = self._grants.get(key)
            if held is not None and held.expires > now:
                return GrantAnswer(False, allowed)
            self._grants[key] = Grant(holder, number, now + lasts)
            return GrantAnswer(True, allowed)

    def release(self, holder, number, kind, target, slot, whole):
        """Free a slot and count the response that its lease brought.

        Parameters
        ----------
        holder : str
            Name of the host that held it.
        number : int
            Number of its request.
        kind : str
            ``cold`` or ``probe``.
        target : str
            Address of the target.
        slot : int
            Number of the slot.
        whole : bool
            Whether a whole response of a target that did not report itself
            cold arrived.
        """
        now = self._clock()
        with self._lock:
            key = (kind, target, slot)
            held = self._grants.get(key)
            if held is None or (held.holder, held.number) != (holder, number):
                return
            del self._grants[key]
            if whole and held.expires > now:
                self._ramps.setdefault(target, RampRecord()).count(now)

    def reset_ramp(self, target):
        """Begin a target's ramp again.

        Parameters
        ----------
        target : str
            Address of the target.
        """
        with self._lock:
            self._ramps.pop(target, None)

    def retain(self, targets):
        """Forget the ramps of all other targets.

        Parameters
        ----------
        targets : set of str
            Addresses in force.
        """
        now = self._clock()
        with self._lock:
            for target in self._ramps.keys() - targets:
                del self._ramps[target]
            expired = [key for key, g in self._grants.items() if g.expires <= now]
            for key in expired:
                del self._grants[key]

    def _find_term(self, kind, target, term):
        if kind != PROBE:
            return min(term, MAX_TERM_S)
        # The holder's configuration may be older and allow more probes.
        return min(max(term, self._find_probe_term(target)), MAX_PROBE_TERM_S)

    def _is_quiet(self, kind, lasts, now):
        """Tell whether a grant that a restart made this host forget may last."""
        if kind == PROBE:
            return now < self._started + lasts
        return now < self._refuses_cold_until

    def _allowed(self, kind, target, now):
        record = self._ramps.get(target)
        progress = RampProgress(0, 0.0) if record is None else record.progress(now)
        return self._count_slots(kind, target, progress)
