"""Notices that a target drains, as the target itself announces in its responses.

Load pattern: a release replaces the targets of a service one after the other. The
response of a draining target reaches this host before the store does, and the store
may be unavailable or may list the target as ready again from an older state. So a
notice holds until another run takes the id or the address, and hosts share recent
notices, at most a fixed number in one datagram.
"""

import random
import threading
from dataclasses import dataclass

from .clock import read_clock
from .mappings import drop_oldest

# Notices that are kept; the oldest are dropped, long after their targets have ended.
MAX_NOTICES = 4096
# Notices in one datagram, and the age up to which a notice is shared.
MAX_SHARED_NOTICES = 16
SHARED_AGE_S = 10.0


@dataclass(frozen=True)
class TargetRun:
    """One run of a target process.

    Attributes
    ----------
    instance_id : str
        Identifier of the instance, which a later run may use again.
    started_unix_ms : int
        Start time in Unix milliseconds; only compared for equality.
    address : str
        ``ip:port`` of the run.
    """

    instance_id: str
    started_unix_ms: int
    address: str


@dataclass(frozen=True)
class DrainNotice:
    """A run that drains.

    Attributes
    ----------
    run : TargetRun
        The run.
    age_s : float, default=0.0
        Seconds since the run announced it.
    """

    run: TargetRun
    age_s: float = 0.0


class DrainNotices:
    """The runs that drain, from responses to this host and from other hosts.

    Parameters
    ----------
    decisions : DecisionLog or None, default=None
        Receives one line for each new notice.
    clock : callable, default=read_clock
        Returns seconds.
    """

    def __init__(self, decisions=None, clock=read_clock):
        self.on_new = None
        self._decisions = decisions
        self._clock = clock
        self._lock = threading.Lock()
        self._announced_at = {}

    def contains(self, run):
        """Tell whether a run drains.

        Parameters
        ----------
        run : TargetRun
            The run.

        Returns
        -------
        bool
            True from its first notice on.
        """
        return run in self._announced_at

    def record(self, notices, source):
        """Record notices and report the new ones to ``on_new``.

        Parameters
        ----------
        notices : sequence of DrainNotice
            The notices.
        source : str
            ``response`` or ``host``, for the log.
        """
        with self._lock:
            now = self._clock()
            new = [n for n in notices if n.run not in self._announced_at]
            for notice in new:
                self._announced_at[notice.run] = now - notice.age_s
            drop_oldest(self._announced_at, MAX_NOTICES)
        if not new:
            return
        if self.on_new is not None:
            self.on_new()
        for notice in new:
            self._log(notice, source)

    def choose_shared(self, rng=random):
        """Return the notices to send to another host.

        Parameters
        ----------
        rng : random.Random, default=random
            Selects the notices when they do not all fit.

        Returns
        -------
        list of DrainNotice
            Recent notices, at most ``MAX_SHARED_NOTICES``.
        """
        with self._lock:
            now = self._clock()
            recent = [
                DrainNotice(run, now - announced_at)
                for run, announced_at in self._announced_at.items()
                if now - announced_at <= SHARED_AGE_S
            ]
        if len(recent) <= MAX_SHARED_NOTICES:
            return recent
        return rng.sample(recent, MAX_SHARED_NOTICES)

    def _log(self, notice, source):
        if self._decisions is None:
            return
        self._decisions.record(
            "instance announced drain",
            instance=notice.run.instance_id,
            address=notice.run.address,
            source=source,
            age_ms=round(notice.age_s * 1000),
        )
