"""Connections to targets, which track what was sent and parse responses strictly."""

import errno
import select
import socket
import time
from dataclasses import replace
from http.client import HTTPException

from urllib3.connection import HTTPConnection

from .responsehead import (
    MAX_INTERIM_RESPONSES,
    ResponseReader,
    WholeHeadResponse,
)
from .responselines import InvalidResponse, measure_interim
from .verdict import Reason

READ_SIZE = 64 << 10
MAX_INTERIM_BYTES = 8192
# Interval of the checks of a partly received interim response.
INTERIM_POLL_S = 0.005
# Bytes of a head, with all interim responses before it.
MAX_HEAD_BYTES = 64 << 10


class SendRefused(Exception):
    """The guard forbade sending the first byte of a request.

    Parameters
    ----------
    failure : Failure
        The reason for the refusal; its verdict is ``NOT_RUN``.
    """

    def __init__(self, failure):
        super().__init__(failure.detail)
        self.failure = failure


class EarlyResponse(Exception):
    """The target responded before the request was sent completely."""


class CallerGone(OSError):
    """The caller hung up before its request or response was complete."""

    reason = Reason.CALLER_GONE
    status = 400


class ResponseBroken(OSError):
    """A response body ended or stalled before it was complete."""


class ResponseMalformed(ResponseBroken, InvalidResponse):
    """A response body violates the grammar of HTTP."""


class _DeadlineReader(ResponseReader):
    """Raw reader of a socket with a deadline or, once set, a stall timeout.

    A byte limit, where set, bounds what is read until it is lifted.
    """

    def __init__(self, raw, sock, deadline, clock):
        super().__init__(raw)
        self._sock = sock
        self._clock = clock
        self.deadline = deadline
        self.stall_timeout = None
        self.bytes_left = None

    def readinto(self, buffer):
        self._sock.settimeout(self._compute_timeout())
        if self.bytes_left is None:
            return super().readinto(buffer)
        if self.bytes_left <= 0:
            raise HTTPException("the head of the response is too long")
        count = super().readinto(buffer)
        self.bytes_left -= count or 0
        return count

    def _compute_timeout(self):
        """Return the timeout in seconds of the next read.

        It is computed for each read, because a fixed one would restart with every
        byte received.
        """
        if self.stall_timeout == 0:
            return 0
        if self.stall_timeout is None:
            remaining_s = self.deadline - self._clock()
        else:
            remaining_s = self.stall_timeout
        if remaining_s <= 0:
            raise TimeoutError("timed out")
        return remaining_s


class StrictResponse(WholeHeadResponse):
    """Response parser whose reads end at a deadline and whose head is bounded.

    Parameters
    ----------
    sock : socket.socket
        The connection.
    deadline : float
        Unix time in seconds by which the head must have arrived.
    method : str
        Method of the request.
    clock : callable, default=time.time
        Clock that the deadline refers to; returns seconds.
    previous : StrictResponse or None, default=None
        Response on the same connection whose body was read with ``keep_reader``
        set. Its reader may already hold the beginning of this response.
    write_failed : bool, default=False
        Whether a write on the connection failed.
    """

    def __init__(
        self,
        sock,
        deadline,
        method,
        clock=time.time,
        previous=None,
        write_failed=False,
    ):
        super().__init__(
            sock,
            method,
            write_failed,
            lambda raw: _DeadlineReader(raw, sock, deadline, clock),
        )
        self.request_method = method
        if previous is not None:
            self.fp.close()
            self.reader, self.fp = previous.reader, previous.fp or previous.kept_fp
        self.keep_reader = False
        self.kept_fp = None
        self.has_excess_data = False

    def begin(self):
        """Read the head of the final response.

        Raises
        ------
        http.client.HTTPException
            If a head is malformed, too long or not complete.
        """
        self.reader.bytes_left = MAX_HEAD_BYTES
        try:
            super().begin()
        finally:
            self.reader.bytes_left = None

    def _close_conn(self):
        if self.fp is not None and self.keep_reader:
            self.kept_fp, self.fp = self.fp, None
        elif self.fp is not None:
            self.has_excess_data = self._detect_excess_data()
            super()._close_conn()

    def close_kept_reader(self):
        """Close a reader that no later response took over."""
        self.keep_reader = False
        if self.kept_fp is not None:
            self.kept_fp.close()

    def _detect_excess_data(self):
        """Tell whether data that belongs to no request follows the response."""
        try:
            self.reader.stall_timeout = 0
            return bool(self.fp.peek(1))
        except (OSError, ValueError):
            return True


class TargetConnection(HTTPConnection):
    """A connection that records whether a byte of the request was sent.

    Parameters
    ----------
    address : str
        ``ip:port`` of the target.
    connect_timeout : float
        Timeout in seconds for establishing the connection.
    source : str or None, default=None
        Source IP address of the connection.
    """

    # Clock that the deadlines of attempts refer to; returns seconds.
    clock = staticmethod(time.time)

    def __init__(self, address, connect_timeout, source=None):
        host, port = address.rsplit(":", 1)
        super().__init__(
            host,
            port=int(port),
            timeout=connect_timeout,
            source_address=(source, 0) if source else None,
        )
        self.blocksize = READ_SIZE
        self.idle_since = 0.0
        self.started = False
        self.request_incomplete = False
        self.write_failed = False
        self.reused = False
        self.response = None
        self._connect_timeout = connect_timeout
        self._attempt = None

    def close(self):
        """Close the connection; a reader that was kept would leave it open."""
        super().close()
        if self.response is not None:
            self.response.close_kept_reader()

    def prepare(self, attempt):
        """Set the attempt to send next.

        Parameters
        ----------
        attempt : Attempt
            Provides the guard, the deadline and the connection of the caller.
        """
        self.started = False
        self.request_incomplete = False
        self._attempt = attempt
        self.reused = self.sock is not None

    def response_class(self, sock, method):
        """Return a parser for the response to the current attempt.

        Parameters
        ----------
        sock : socket.socket
            The connection.
        method : str
            Method of the request.

        Returns
        -------
        StrictResponse
            The parser; the head has not been read yet.
        """
        self.response = StrictResponse(
            sock,
            self._attempt.deadline,
            method,
            self.clock,
            write_failed=self.write_failed,
        )
        return self.response

    @property
    def deadline(self):
        """Time by which the response to the current attempt must begin."""
        return self._attempt.deadline

    def extend_deadline(self, deadline):
        """Set a new deadline for the response to the current attempt.

        Parameters
        ----------
        deadline : float
            Time in seconds on the clock of the connection.
        """
        self._attempt = replace(self._attempt, deadline=deadline)

    def begin_connect(self):
        """Start a non-blocking connect; the socket becomes writable at its end.

        Raises
        ------
        OSError
            If the connect fails immediately.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self.source_address:
                sock.bind(self.source_address)
            sock.setblocking(False)
            error = sock.connect_ex((self.host, self.port))
            if error not in (0, errno.EINPROGRESS):
                raise OSError(error, "cannot connect")
        except OSError:
            sock.close()
            raise
        self.sock = sock

    def send(self, data):
        """Send part of the request; check the guard before the first byte.

        Parameters
        ----------
        data : bytes
            Part of the request.

        Raises
        ------
        SendRefused
            If the guard forbids the request.
        EarlyResponse
            If the target responds before the request was sent completely.
        TimeoutError
            If the deadline passes.
        """
        if not self.started:
            self._ensure_ready_to_send()
        try:
            self._send_all(data)
        except ConnectionError:
            # The read after it cannot report this error a second time.
            self.write_failed = True
            raise

    def _send_all(self, data):
        """Send data unless the target responds first."""
        if self.started and self._has_response():
            self.request_incomplete = True
            raise EarlyResponse
        view = memoryview(data)
        while view:
            try:
                sent = self.sock.send(view)
            except BlockingIOError:
                self._wait_writable()
                continue
            # From here on the target may have received the request. Until then,
            # no send has passed any data to the kernel.
            self.started = True
            view = view[sent:]

    def _ensure_ready_to_send(self):
        """Connect if necessary and check that the request may be sent.

        Raises
        ------
        CallerGone
            If the caller has hung up.
        SendRefused
            If the guard forbids the request.
        """
        if self.sock is not None and not self.is_connected:
            # The target closed the connection after it was taken from the pool.
            # Nothing has been sent, so a new connection can replace it.
            self.sock.close()
            self.sock = None
        if self.sock is None:
            self.reused = False
            self.write_failed = False
            self.timeout = self._connect_timeout
            self.connect()
        caller = self._attempt.caller_socket
        if caller is not None and _is_ready(caller, select.POLLRDHUP):
            raise CallerGone("the caller hung up before the request was sent")
        # The guard is called directly before the first byte is sent, because
        # connecting may take long and the process may have been paused.
        failure = self._attempt.guard()
        if failure is not None:
            raise SendRefused(failure)
        self.sock.settimeout(0)
        self.timeout = max(0.001, self._attempt.deadline - self.clock())

    def _wait_writable(self):
        """Wait until the socket is writable; stop if the target responds first."""
        poller = select.poll()
        poller.register(self.sock.fileno(), select.POLLIN | select.POLLOUT)
        remaining_s = self._attempt.deadline - self.clock()
        if remaining_s <= 0:
            raise TimeoutError("timed out")
        events = dict(poller.poll(remaining_s * 1000)).get(self.sock.fileno(), 0)
        if events and not events & select.POLLOUT:
            if self._has_response():
                self.request_incomplete = True
                raise EarlyResponse
            time.sleep(INTERIM_POLL_S)

    def _has_response(self):
        """Tell whether a final response or the end of the connection has arrived.

        Complete interim responses are discarded, up to a limit, because a target may
        send them without end.
        """
        for _ in range(MAX_INTERIM_RESPONSES):
            if not _is_ready(self.sock, select.POLLIN):
                return False
            data = self.sock.recv(MAX_INTERIM_BYTES, socket.MSG_PEEK)
            size = measure_interim(data)
            if size is None:
                # The response parser also rejects an invalid interim response.
                return True
            if size == 0:
                # The interim response has not arrived completely. One that fills
                # the buffer is left to the response parser.
                return len(data) == MAX_INTERIM_BYTES
            self.sock.recv(size)
        return True


def _is_ready(sock, event):
    poller = select.poll()
    poller.register(sock.fileno(), event)
    return bool(poller.poll(0))


def enable_reset_on_close(sock):
    """Make the next close of a socket send a reset (RST) instead of a FIN.

    Parameters
    ----------
    sock : socket.socket
        A connected socket.
    """
    linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
