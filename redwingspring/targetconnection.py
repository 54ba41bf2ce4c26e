"""Connections to targets that know what they sent and read responses strictly."""

import errno
import http.client
import io
import re
import select
import socket
import time
from dataclasses import replace
from http.client import HTTPException, IncompleteRead

from urllib3.connection import HTTPConnection

from .verdict import Reason

READ_SIZE = 64 << 10
# Responses with a smaller status are interim and end no request.
FIRST_FINAL_STATUS = 200
SWITCHING_PROTOCOLS = 101
MAX_INTERIM_RESPONSES = 16
MAX_INTERIM_BYTES = 8192
# How often a half-received interim response is looked at again.
INTERIM_POLL_S = 0.005
MAX_LINE = 8192
MAX_TRAILER_LINES = 64
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})(?:[ \t]*(?:;[^\r\n]*)?)\r\n")
_INTERIM_START = re.compile(rb"HTTP/1\.[01] 1(?!01)")


class SendRefused(Exception):
    """The guard forbade the first byte of a request.

    Parameters
    ----------
    failure : Failure
        Why; its verdict is ``NOT_RUN``.
    """

    def __init__(self, failure):
        super().__init__(failure.detail)
        self.failure = failure


class EarlyResponse(Exception):
    """The target responded before it had the whole request."""


class CallerGone(OSError):
    """The caller hung up before its request or response was whole."""

    reason = Reason.CALLER_GONE
    status = 400


class ResponseBroken(OSError):
    """A response body ended before it was whole."""


class _BoundedReader(io.RawIOBase):
    """Reader of a socket that is bound to a deadline, then to a stall time."""

    def __init__(self, raw, sock, deadline, clock):
        self._raw = raw
        self._sock = sock
        self._clock = clock
        self.deadline = deadline
        self.stall = None

    def readable(self):
        return True

    def readinto(self, buffer):
        if self.stall is not None:
            self._sock.settimeout(self.stall)
        else:
            # A timeout of the socket alone would restart with every byte.
            left = self.deadline - self._clock()
            if left <= 0:
                raise TimeoutError("timed out")
            self._sock.settimeout(left)
        return self._raw.readinto(buffer)

    def close(self):
        if not self.closed:
            self._raw.close()
        super().close()


class StrictResponse(http.client.HTTPResponse):
    """Response reader that accepts only what has one meaning.

    The base class takes a cut chunk size for a whole one, skips two bytes
    after each chunk whatever they are, accepts signs in sizes and the end of
    the connection within trailers, and ignores lines that are no headers.

    Parameters
    ----------
    sock : socket.socket
        The connection.
    deadline : float
        Unix time in seconds by which the head must have arrived.
    method : str
        Method of the request.
    clock : callable, default=time.time
        Clock of the deadline; returns seconds.
    """

    def __init__(self, sock, deadline, method, clock=time.time):
        super().__init__(sock, method=method)
        self.request_method = method
        self.reader = _BoundedReader(self.fp.detach(), sock, deadline, clock)
        self.fp = io.BufferedReader(self.reader)
        self.surplus = False

    def begin(self):
        """Read the head of the final response.

        Raises
        ------
        http.client.HTTPException
            If the head is malformed.
        """
        super().begin()
        if self.msg.defects or self.msg.get_payload():
            raise HTTPException("a header line of the response is malformed")

    def _read_status(self):
        for _ in range(MAX_INTERIM_RESPONSES):
            version, status, reason = super()._read_status()
            if status >= FIRST_FINAL_STATUS or status == SWITCHING_PROTOCOLS:
                return version, status, reason
            self._skip_lines(MAX_TRAILER_LINES)
        raise HTTPException("too many interim responses")

    def _read_next_chunk_size(self):
        match = _CHUNK_LINE.fullmatch(self.fp.readline(MAX_LINE))
        if match is None:
            raise IncompleteRead(b"")
        return int(match[1], 16)

    def _safe_read(self, amt):
        # The base class reads two bytes only for the end of a chunk; bodies
        # are read with ``read1``.
        data = super()._safe_read(amt)
        if self.chunked and data != b"\r\n":
            raise IncompleteRead(b"")
        return data

    def _read_and_discard_trailer(self):
        self._skip_lines(MAX_TRAILER_LINES)

    def _skip_lines(self, most):
        for _ in range(most):
            line = self.fp.readline(MAX_LINE)
            if not line.endswith(b"\n"):
                break
            if line in (b"\r\n", b"\n"):
                return
        raise IncompleteRead(b"")

    def _close_conn(self):
        if self.fp is not None:
            self.surplus = self._has_surplus()
            super()._close_conn()

    def _has_surplus(self):
        """Tell whether bytes follow the response that belong to no request."""
        try:
            self.reader.stall = 0
            return bool(self.fp.peek(1))
        except (OSError, ValueError):
            return True


class TargetConnection(HTTPConnection):
    """A connection that knows whether a byte of a request was sent.

    Parameters
    ----------
    address : str
        ``ip:port`` of the target.
    connect_timeout : float
        Seconds for a new connection.
    source : str or None, default=None
        IP number that the connection comes from.
    """

    # Clock of the attempts' deadlines; returns seconds.
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
        self.unfinished = False
        self.reused = False
        self.response = None
        self._connect_timeout = connect_timeout
        self._attempt = None

    def prepare(self, attempt):
        """Set the attempt that is sent next.

        Parameters
        ----------
        attempt : Attempt
            Gives the guard, the deadline and the caller's connection.
        """
        self.started = False
        self.unfinished = False
        self._attempt = attempt
        self.reused = self.sock is not None

    def response_class(self, sock, method):
        """Return a reader for the response to the present attempt.

        Parameters
        ----------
        sock : socket.socket
            The connection.
        method : str
            Method of the request.

        Returns
        -------
        StrictResponse
            Its head is not yet read.
        """
        self.response = StrictResponse(sock, self._attempt.deadline, method, self.clock)
        return self.response

    @property
    def deadline(self):
        """Time by which the response to the present attempt must begin."""
        return self._attempt.deadline

    def extend_deadline(self, deadline):
        """Set another deadline for the response to the present attempt.

        Parameters
        ----------
        deadline : float
            Seconds on the clock of the connection.
        """
        self._attempt = replace(self._attempt, deadline=deadline)

    def begin_connect(self):
        """Start to connect; the socket becomes writable when that has ended.

        Raises
        ------
        OSError
            If no connection can be started.
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
        """Send bytes; ask the guard before the first ones.

        Parameters
        ----------
        data : bytes
            Part of the request.

        Raises
        ------
        SendRefused
            If the guard forbids the request.
        EarlyResponse
            If the target responds before the whole request was sent.
        TimeoutError
            If the deadline passes.
        """
        if not self.started:
            self._open()
        elif self._has_response():
            self.unfinished = True
            raise EarlyResponse
        view = memoryview(data)
        while view:
            try:
                sent = self.sock.send(view)
            except BlockingIOError:
                self._wait_writable()
                continue
            # From here on the target may have the request; a send that
            # failed before handed nothing to the socket.
            self.started = True
            view = view[sent:]

    def _open(self):
        """Make sure of a usable connection and of the permission to send."""
        if self.sock is not None and not self.is_connected:
            # The target closed the connection after it was taken; since
            # nothing was sent, another one will do.
            self.sock.close()
            self.sock = None
        if self.sock is None:
            self.reused = False
            self.timeout = self._connect_timeout
            self.connect()
        caller = self._attempt.caller_socket
        if caller is not None and _is_ready(caller, select.POLLRDHUP):
            raise CallerGone("the caller hung up before the request was sent")
        # Connecting may take long or the process may have been stopped, so
        # the check stands directly before the first byte.
        failure = self._attempt.guard()
        if failure is not None:
            raise SendRefused(failure)
        self.sock.settimeout(0)
        self.timeout = max(0.001, self._attempt.deadline - self.clock())

    def _wait_writable(self):
        """Wait until the target takes more; stop if it responds instead."""
        poller = select.poll()
        poller.register(self.sock.fileno(), select.POLLIN | select.POLLOUT)
        left = self._attempt.deadline - self.clock()
        if left <= 0:
            raise TimeoutError("timed out")
        events = dict(poller.poll(left * 1000)).get(self.sock.fileno(), 0)
        if events and not events & select.POLLOUT:
            if self._has_response():
                self.unfinished = True
                raise EarlyResponse
            time.sleep(INTERIM_POLL_S)

    def _has_response(self):
        """Tell whether a final response or the end has arrived."""
        while _is_ready(self.sock, select.POLLIN):
            data = self.sock.recv(MAX_INTERIM_BYTES, socket.MSG_PEEK)
            if not _INTERIM_START.match(data):
                return True
            end = data.find(b"\r\n\r\n")
            if end < 0:
                # The rest of an interim response is on its way.
                return len(data) == MAX_INTERIM_BYTES
            self.sock.recv(end + 4)
        return False


def _is_ready(sock, event):
    poller = select.poll()
    poller.register(sock.fileno(), event)
    return bool(poller.poll(0))


def enable_reset_on_close(sock):
    """Make the next close send a reset instead of an orderly end.

    Parameters
    ----------
    sock : socket.socket
        A connected socket.
    """
    linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
