"""Connections to targets, with proof of whether a request was sent."""

import select
import threading
import time
from collections import deque
from dataclasses import dataclass
from http.client import HTTPException

from expression import Error, Ok
from urllib3.exceptions import HTTPError, InvalidHeader
from urllib3.util import SKIP_HEADER

from .targetconnection import (
    READ_SIZE,
    CallerGone,
    EarlyResponse,
    ResponseBroken,
    SendRefused,
    TargetConnection,
)
from .targetresponse import TargetResponse, check_head
from .verdict import Reason, fail_uncertain, refuse

# A target may close an idle connection at the moment a request is sent on it,
# which leaves no proof; a recently used connection makes that unlikely.
MAX_IDLE_NON_IDEMPOTENT_S = 1.0
MAX_IDLE_CONNECTIONS = 8
# Up to 18 hosts share a target's connections, and hosts that are being replaced
# exist twice for a while.
MAX_HOSTS = 20


@dataclass(frozen=True)
class Attempt:
    """One sending of a request to one target.

    Attributes
    ----------
    method : str
        HTTP method.
    path : str
        Path and query.
    headers : mapping of str to str
        End-to-end headers and those of this system.
    body : RequestBody
        The request body.
    attempt_id : str
        The value that the target must echo.
    deadline : float
        Unix time in seconds by which the response must begin.
    guard : callable
        Called before the first byte; returns None or a Failure.
    caller_socket : socket.socket or None
        Watched for a hang-up while the target works.
    idempotent : bool
        Whether the request may be sent again without proof.
    """

    method: str
    path: str
    headers: dict
    body: object
    attempt_id: str
    deadline: float
    guard: object
    caller_socket: object
    idempotent: bool


class TargetPool:
    """Reusable connections to one target.

    Parameters
    ----------
    address : str
        ``ip:port`` of the target.
    source : str or None, default=None
        IP number that connections come from.
    """

    def __init__(self, address, source=None):
        self.address = address
        self._source = source
        self._lock = threading.Lock()
        self._idle = deque()
        self._max_idle = MAX_IDLE_CONNECTIONS

    def take(self, limits, idempotent):
        """Return an idle connection, or a new one that is not yet open.

        Parameters
        ----------
        limits : TargetLimits
            Timeouts in force.
        idempotent : bool
            Whether a connection that was idle for long may be used.

        Returns
        -------
        TargetConnection
            A connection used by nobody else.
        """
        # Each host uses at most one connection for each slot; what is left of
        # its share of the connections may be idle.
        share = limits.connections // MAX_HOSTS - limits.slots
        self._max_idle = max(1, min(MAX_IDLE_CONNECTIONS, share))
        longest = limits.idle_timeout
        if not idempotent:
            longest = min(longest, MAX_IDLE_NON_IDEMPOTENT_S)
        now = time.monotonic()
        oldest = now - longest
        self._drop_expired(now - limits.idle_timeout)
        while True:
            with self._lock:
                connection = self._idle.pop() if self._idle else None
            if connection is None:
                return TargetConnection(
                    self.address, limits.connect_timeout, self._source
                )
            # A readable idle connection is closed or carries bytes that
            # belong to no request; both make it unusable.
            if connection.idle_since >= oldest and connection.is_connected:
                return connection
            connection.close()

    def _drop_expired(self, oldest):
        """Close the connections at the far end that were idle too long."""
        # The latest connection is taken first, so the others could stay idle
        # for ever.
        expired = []
        with self._lock:
            while self._idle and self._idle[0].idle_since < oldest:
                expired.append(self._idle.popleft())
        for connection in expired:
            connection.close()

    def give_back(self, connection):
        """Keep a connection whose last response was read whole.

        Parameters
        ----------
        connection : TargetConnection
            The connection.
        """
        connection.idle_since = time.monotonic()
        with self._lock:
            if len(self._idle) < self._max_idle:
                self._idle.append(connection)
                return
        connection.close()

    def close(self):
        """Close all idle connections."""
        with self._lock:
            idle, self._idle = self._idle, deque()
        for connection in idle:
            connection.close()


class PoolDirectory:
    """The pools of all targets, made on first use.

    Parameters
    ----------
    source : str or None, default=None
        IP number that connections come from.
    """

    def __init__(self, source=None):
        self._source = source
        self._lock = threading.Lock()
        self._pools = {}

    def find(self, address):
        """Return the pool of an address.

        Parameters
        ----------
        address : str
            ``ip:port`` of a target.

        Returns
        -------
        TargetPool
            The same pool for the same address.
        """
        pool = self._pools.get(address)
        if pool is None:
            with self._lock:
                pool = self._pools.setdefault(
                    address, TargetPool(address, self._source)
                )
        return pool

    def retain(self, addresses):
        """Close the pools of all other addresses.

        Parameters
        ----------
        addresses : set of str
            Addresses that stay.
        """
        with self._lock:
            gone = [a for a in self._pools if a not in addresses]
            pools = [self._pools.pop(a) for a in gone]
        for pool in pools:
            pool.close()


def send_attempt(pool, limits, attempt):
    """Send a request to a target and wait for the head of its response.

    Parameters
    ----------
    pool : TargetPool
        Connections to the target.
    limits : TargetLimits
        Values in force for the target.
    attempt : Attempt
        What to send.

    Returns
    -------
    expression.Result
        Ok with a TargetResponse, or an Error with a Failure.
    """
    connection = pool.take(limits, attempt.idempotent)
    connection.prepare(attempt)
    outcome = _exchange(connection, attempt)
    if outcome.is_error():
        connection.close()
        return outcome
    response = TargetResponse(connection, pool, outcome.ok, limits.stall_timeout)
    failure = check_head(response, limits, attempt, connection.reused)
    if failure is None:
        return Ok(response)
    if failure.proves_not_run:
        _drain_refusal(response)
    response.abort()
    return Error(failure)


def _exchange(connection, attempt):
    """Send the request and read the response's head on one connection."""
    try:
        send_request(connection, attempt)
        _wait_response(connection, attempt)
        return Ok(connection.getresponse())
    except (OSError, HTTPException, HTTPError, ValueError, SendRefused) as error:
        return Error(explain_fault(connection, error))


def explain_fault(connection, error):
    """Return the failure that an error on a connection to a target means.

    Parameters
    ----------
    connection : TargetConnection
        The connection; it knows whether a byte of the request was sent.
    error : Exception
        What was raised while it sent the request or read the response.

    Returns
    -------
    Failure
        Its verdict is ``NOT_RUN`` only if no byte was sent.
    """
    if isinstance(error, SendRefused):
        return error.failure
    if isinstance(error, CallerGone):
        return _blame(connection, error.reason, str(error), error.status)
    if isinstance(error, TimeoutError):
        failure = _blame(connection, Reason.DEADLINE, "no response before the deadline")
        if not failure.proves_not_run:
            failure = fail_uncertain(Reason.DEADLINE, failure.detail, 504)
        return failure
    if isinstance(error, InvalidHeader):
        return _blame(connection, Reason.TRUNCATED, str(error))
    detail = f"{type(error).__name__}: {error}"
    reason = Reason.RESET if connection.started else Reason.CONNECT
    return _blame(connection, reason, detail)


def _blame(connection, reason, detail, status=503):
    """Return a failure whose verdict follows from what was sent."""
    if connection.started:
        return fail_uncertain(reason, detail)
    return refuse(reason, detail, status)


def send_request(connection, attempt):
    """Send head and body; tolerate a target that responds before the end.

    Parameters
    ----------
    connection : TargetConnection
        A connection that was prepared for the attempt.
    attempt : Attempt
        What to send.
    """
    headers = dict(attempt.headers)
    headers.setdefault("Accept-Encoding", SKIP_HEADER)
    headers.setdefault("User-Agent", SKIP_HEADER)
    body = attempt.body
    try:
        connection.request(
            attempt.method,
            attempt.path,
            body=body.iter_blocks() if body.exists else None,
            headers=headers,
            chunked=body.exists and body.length is None,
            preload_content=False,
            decode_content=False,
        )
    except EarlyResponse:
        pass
    except (BrokenPipeError, ConnectionResetError):
        # The target may have refused the request early and closed; its
        # response can still be in the receive buffer.
        if not connection.started or connection.sock is None:
            raise
        connection.unfinished = True


def _wait_response(connection, attempt):
    """Wait until the target responds, the caller hangs up or time is over."""
    poller = select.poll()
    target_fd = connection.sock.fileno()
    poller.register(target_fd, select.POLLIN)
    if attempt.caller_socket is not None:
        poller.register(attempt.caller_socket.fileno(), select.POLLRDHUP)
    remaining = attempt.deadline - time.time()
    if remaining <= 0:
        raise TimeoutError
    ready = dict(poller.poll(remaining * 1000))
    if not ready:
        raise TimeoutError
    if target_fd not in ready:
        raise CallerGone("the caller hung up")


def _drain_refusal(response):
    """Read the short body of a refusal so that the connection can be kept."""
    if response.length is not None and response.length <= READ_SIZE:
        try:
            while response.read():
                pass
            response.finish()
        except ResponseBroken:
            pass
