"""Connection pools and the sending of requests to targets.

Every failure states whether the request may have run.
"""

import select
import threading
import time
from collections import deque
from dataclasses import dataclass, replace
from http.client import HTTPException

from expression import Error, Ok
from urllib3.exceptions import HTTPError
from urllib3.util import SKIP_HEADER

from .responselines import InvalidFraming, InvalidResponse
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

# A target may close an idle connection just as a request is sent on it, and then
# it is unknown whether the request ran. Requests that are not idempotent use only
# recently used connections, for which this is unlikely.
MAX_IDLE_NON_IDEMPOTENT_S = 1.0
MAX_IDLE_CONNECTIONS = 8
# Up to 18 hosts share the connections of a target. During a replacement, the old
# and the new host exist at the same time.
MAX_HOSTS = 20


def allow_stream():
    """Allow a long response to be relayed in parts.

    Returns
    -------
    bool
        Always True.
    """
    return True


@dataclass(frozen=True)
class Attempt:
    """A request to be sent once to one target.

    Attributes
    ----------
    method : str
        HTTP method.
    path : str
        Path and query.
    headers : mapping of str to str
        End-to-end headers and the headers that this system adds.
    body : RequestBody
        The request body.
    attempt_id : str
        Id that the target must echo.
    deadline : float
        Unix time in seconds by which the response must begin.
    guard : callable
        Called directly before the first byte is sent. Returns None to allow the
        send or the Failure that forbids it.
    caller_socket : socket.socket or None
        Connection of the caller, monitored for a hang-up while waiting for the
        response.
    idempotent : bool
        Whether the request may be sent again when it is unknown whether it ran.
    begin_stream : callable, optional
        Called before a long response is relayed in parts; returns whether it may be.
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
    begin_stream: object = allow_stream


class TargetPool:
    """Pool of reusable connections to one target.

    Parameters
    ----------
    address : str
        ``ip:port`` of the target.
    source : str or None, default=None
        Source IP address of the connections.
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
            Limits and timeouts in force for the target.
        idempotent : bool
            Whether a connection that has been idle for long may be used.

        Returns
        -------
        TargetConnection
            A connection that is reserved for the caller of this method.
        """
        # A host uses at most one connection per slot. The rest of its share of
        # the target's connections may be idle.
        share = limits.connections // MAX_HOSTS - limits.slots
        self._max_idle = max(1, min(MAX_IDLE_CONNECTIONS, share))
        max_idle_s = limits.idle_timeout
        if not idempotent:
            max_idle_s = min(max_idle_s, MAX_IDLE_NON_IDEMPOTENT_S)
        now = time.monotonic()
        cutoff = now - max_idle_s
        self._drop_expired(now - limits.idle_timeout)
        while True:
            with self._lock:
                connection = self._idle.pop() if self._idle else None
            if connection is None:
                return TargetConnection(
                    self.address, limits.connect_timeout, self._source
                )
            # A readable idle connection has been closed by the target or has
            # received data that belongs to no request. It cannot be reused.
            if connection.idle_since >= cutoff and connection.is_connected:
                return connection
            connection.close()

    def _drop_expired(self, cutoff):
        """Close the connections that have been idle since before ``cutoff``."""
        # The pool is last in, first out, so the oldest connections might never
        # be taken again and would stay open.
        expired = []
        with self._lock:
            while self._idle and self._idle[0].idle_since < cutoff:
                expired.append(self._idle.popleft())
        for connection in expired:
            connection.close()

    def give_back(self, connection):
        """Return a connection whose last response was read completely.

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
    """Connection pools by target address, created on first use.

    Parameters
    ----------
    source : str or None, default=None
        Source IP address of the connections.
    """

    def __init__(self, source=None):
        self._source = source
        self._lock = threading.Lock()
        self._pools = {}

    def find(self, address):
        """Return the pool for an address.

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
        """Close and remove the pools of all other addresses.

        Parameters
        ----------
        addresses : set of str
            Addresses whose pools are kept.
        """
        with self._lock:
            removed = [a for a in self._pools if a not in addresses]
            pools = [self._pools.pop(a) for a in removed]
        for pool in pools:
            pool.close()


def send_attempt(pool, limits, attempt):
    """Send a request to a target and wait for the head of its response.

    Parameters
    ----------
    pool : TargetPool
        Connections to the target.
    limits : TargetLimits
        Limits and timeouts in force for the target.
    attempt : Attempt
        The request to send.

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
    """Send the request and read the head of the response on a connection."""
    try:
        send_request(connection, attempt)
        _wait_for_response(connection, attempt)
        return Ok(connection.getresponse())
    except (OSError, HTTPException, HTTPError, ValueError, SendRefused) as error:
        return Error(classify_error(connection, error))


def classify_error(connection, error):
    """Return the failure for an exception on a connection to a target.

    Parameters
    ----------
    connection : TargetConnection
        The connection, which records whether a byte of the request was sent.
    error : Exception
        Raised while sending the request or reading the response.

    Returns
    -------
    Failure
        Its verdict is ``NOT_RUN`` only if no byte was sent.
    """
    if isinstance(error, SendRefused):
        return error.failure
    if isinstance(error, CallerGone):
        return _build_failure(connection, error.reason, str(error), error.status)
    if isinstance(error, TimeoutError):
        failure = _build_failure(
            connection, Reason.DEADLINE, "no response before the deadline"
        )
        if not failure.proves_not_run:
            failure = fail_uncertain(Reason.DEADLINE, failure.detail, 504)
        return failure
    if isinstance(error, InvalidFraming):
        failure = _build_failure(connection, Reason.TRUNCATED, str(error))
        return flag_invalid(failure, error)
    detail = f"{type(error).__name__}: {error}"
    reason = Reason.RESET if connection.started else Reason.CONNECT
    return flag_invalid(_build_failure(connection, reason, detail), error)


def flag_invalid(failure, error):
    """Return a failure that tells whether the response was not valid HTTP.

    Parameters
    ----------
    failure : Failure
        The failure.
    error : Exception
        The error that it describes.

    Returns
    -------
    Failure
        The failure with ``invalid_response`` set.
    """
    return replace(failure, invalid_response=isinstance(error, InvalidResponse))


def _build_failure(connection, reason, detail, status=503):
    """Return a failure; its verdict is ``NOT_RUN`` only if no byte was sent."""
    if connection.started:
        return fail_uncertain(reason, detail)
    return refuse(reason, detail, status)


def send_request(connection, attempt):
    """Send head and body; accept a response before the request is complete.

    Parameters
    ----------
    connection : TargetConnection
        A connection that was prepared for the attempt.
    attempt : Attempt
        The request to send.
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
        # The target may have refused the request early and closed the
        # connection. Its response can still be in the receive buffer.
        if not connection.started or connection.sock is None:
            raise
        connection.request_incomplete = True


def _wait_for_response(connection, attempt):
    """Wait until the target responds.

    Raises
    ------
    CallerGone
        If the caller hangs up first.
    TimeoutError
        If the deadline passes first.
    """
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
    """Read the short body of a refusal so that the connection can be reused."""
    if response.length is not None and response.length <= READ_SIZE:
        try:
            while response.read():
                pass
            response.finish()
        except ResponseBroken:
            pass
