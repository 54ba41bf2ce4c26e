"""Decisions of a host that shuts down; no input or output.

A request that reaches a target must be answered before the process exits, so the
decisions depend on when the request was read and on how long its response may take.
A request that comes too late is rejected with a proof that it did not run, or its
connection is closed before it is read.
"""

import threading
from dataclasses import dataclass
from enum import Enum

from .clock import read_clock

# A response is expected within the usual processing time and this.
RESPONSE_MARGIN_S = 0.5
# Once further requests are no longer accepted, one that has arrived in part gets this
# long for the rest, so that it is rejected with a response.
PARTIAL_READ_S = 0.25
# A closed connection is still read for this long, since the operating system resets
# it if a request arrives after the exit of the process.
LINGER_S = 0.5


class Phase(Enum):
    """Progress of a shutdown."""

    SERVING = "serving"
    # Connections and requests are accepted.
    ACCEPTING = "accepting"
    # Requests are accepted on the connections that are open.
    READING = "reading"
    # Only requests that were read before are forwarded.
    FINISHING = "finishing"
    OVER = "over"


class ConnectionAction(Enum):
    """What happens to a connection of a caller during a shutdown."""

    KEEP = "keep"
    # Close it before a further request is read.
    CLOSE = "close"
    # Nothing is left to do; the process need not wait for it.
    DONE = "done"


@dataclass(frozen=True)
class ShutdownTimes:
    """Times of a shutdown, in seconds after SIGTERM.

    Attributes
    ----------
    accept_s : float
        End of the phase in which connections are accepted.
    read_s : float
        End of the phase in which requests are accepted.
    end_s : float
        When the process exits at the latest.
    """

    accept_s: float
    read_s: float
    end_s: float

    @classmethod
    def fit(cls, accept_s, read_s, end_s):
        """Shorten the first phases if the last one would be too short.

        Parameters
        ----------
        accept_s : float
            Intended end of the phase in which connections are accepted.
        read_s : float
            Intended end of the phase in which requests are accepted.
        end_s : float
            When the process exits at the latest.

        Returns
        -------
        ShutdownTimes
            The times, with ``RESPONSE_MARGIN_S`` for the last responses.
        """
        end_s = max(0.0, end_s)
        read_s = max(0.0, min(read_s, end_s - RESPONSE_MARGIN_S))
        return cls(min(accept_s, read_s), read_s, end_s)


@dataclass(frozen=True)
class ConnectionState:
    """State of a caller's connection, on which its closing depends.

    Attributes
    ----------
    active_requests : int
        Requests that were read and have no complete response yet.
    has_unread : bool
        Whether a part of a further request has arrived.
    closed_at : float or None
        When its sending side was shut down, in seconds.
    is_delivered : bool
        Whether the caller's system has received all bytes that were sent.
    """

    active_requests: int
    has_unread: bool = False
    closed_at: float | None = None
    is_delivered: bool = True


class Shutdown:
    """Shutdown of one host, from SIGTERM to the exit of the process.

    Parameters
    ----------
    clock : callable, default=read_clock
        Returns seconds.
    """

    def __init__(self, clock=read_clock):
        self._clock = clock
        # Taken for good by the call that begins. The others do not wait, because the
        # handler of a signal may interrupt that of another in the same thread.
        self._begun = threading.Lock()
        self._started_at = None
        self._times = None

    def begin(self, times):
        """Begin the shutdown unless it has begun.

        Parameters
        ----------
        times : ShutdownTimes
            Times of its phases.

        Returns
        -------
        bool
            False if it had begun before; its times then stay.
        """
        if not self._begun.acquire(blocking=False):
            return False
        self._times = times
        # Set last, because other threads read it without the lock.
        self._started_at = self._clock()
        return True

    @property
    def has_begun(self):
        """Tell whether the host shuts down."""
        return self._started_at is not None

    @property
    def phase(self):
        """Return the phase at this time."""
        if self._started_at is None:
            return Phase.SERVING
        elapsed_s = self._clock() - self._started_at
        if elapsed_s < self._times.accept_s:
            return Phase.ACCEPTING
        if elapsed_s < self._times.read_s:
            return Phase.READING
        return Phase.FINISHING if elapsed_s < self._times.end_s else Phase.OVER

    def compute_phase_left_s(self, phase):
        """Return the time until a phase of the shutdown ends.

        Parameters
        ----------
        phase : Phase
            ``ACCEPTING``, ``READING`` or ``FINISHING``.

        Returns
        -------
        float
            Seconds; 0 if it has ended.
        """
        ends_s = {
            Phase.ACCEPTING: self._times.accept_s,
            Phase.READING: self._times.read_s,
            Phase.FINISHING: self._times.end_s,
        }
        return max(0.0, self._started_at + ends_s[phase] - self._clock())

    def accepts_request(self, read_at):
        """Tell whether a request may be forwarded at all.

        Parameters
        ----------
        read_at : float
            When the request had been read, in seconds.

        Returns
        -------
        bool
            False if it was read too late.
        """
        if self._started_at is None:
            return True
        return read_at - self._started_at < self._times.read_s

    def may_send(self, read_at, deadline, work_s):
        """Tell whether a request may be sent to a target now.

        Parameters
        ----------
        read_at : float
            When the request had been read, in seconds.
        deadline : float
            When the request is answered at the latest, in seconds.
        work_s : float
            Expected processing time in seconds.

        Returns
        -------
        bool
            False if it was read too late or its response cannot be expected before
            the process exits.
        """
        if self._started_at is None:
            return True
        if not self.accepts_request(read_at):
            return False
        answered_at = min(deadline, self._clock() + work_s + RESPONSE_MARGIN_S)
        return answered_at <= self._started_at + self._times.end_s

    def may_await_rest(self):
        """Tell whether to wait for the rest of a request that is partially read.

        Returns
        -------
        bool
            False once it would be rejected and had its time to arrive.
        """
        if self._started_at is None:
            return True
        elapsed_s = self._clock() - self._started_at
        return elapsed_s < self._times.read_s + PARTIAL_READ_S

    def decide_connection(self, state):
        """Decide what happens to a caller's connection now.

        Parameters
        ----------
        state : ConnectionState
            State of the connection.

        Returns
        -------
        ConnectionAction
            ``CLOSE`` only if no request that was read waits for its response.
        """
        if self._started_at is None or state.active_requests:
            return ConnectionAction.KEEP
        if state.closed_at is not None:
            lingered = self._clock() - state.closed_at >= LINGER_S
            if lingered and state.is_delivered:
                return ConnectionAction.DONE
            return ConnectionAction.KEEP
        if self.phase in (Phase.ACCEPTING, Phase.READING):
            return ConnectionAction.KEEP
        if state.has_unread and self.may_await_rest():
            return ConnectionAction.KEEP
        return ConnectionAction.CLOSE
