"""Strict parsing of callers' HTTP requests, to prevent request smuggling."""

import io
import re

from cheroot.errors import MaxSizeExceeded
from cheroot.server import HeaderReader, HTTPRequest

from .verdict import Reason, Verdict

# RFC 9110 token characters; parsers differ on header names with other characters,
# which makes request smuggling possible.
_TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_REQUEST_TARGET = re.compile(rb"[\x21-\x7e]+")
_PROTOCOL = re.compile(rb"HTTP/1\.[01]")
_CONTROL_CHARACTER = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
# Sixteen hexadecimal digits exceed every limit on a body; more digits could overflow
# the integers of another parser.
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})(?:[ \t]*;[^\r\n\0]*)?\r\n")
_SINGLETON_HEADERS = frozenset((b"Content-Length", b"Transfer-Encoding", b"Host"))
MAX_CHUNK_LINE_BYTES = 4096
MAX_TRAILER_BYTES = 16 << 10

_REASONS_BY_STATUS = {
    "408": Reason.DEADLINE,
    "413": Reason.TOO_LARGE,
    "414": Reason.TOO_LARGE,
    "431": Reason.TOO_LARGE,
}


class ChunkedCodingError(ValueError):
    """A request body violates the chunked transfer coding."""


class FixedLengthBody(io.RawIOBase):
    """Request body whose length is given by Content-Length.

    Parameters
    ----------
    stream : io.BufferedReader
        Reader of the caller's connection.
    length : int
        Length of the body in bytes.
    on_read : callable
        Called before each read from the stream.
    """

    def __init__(self, stream, length, on_read):
        self._stream = stream
        self._remaining = length
        self._on_read = on_read

    @property
    def finished(self):
        """Tell whether the whole body has been read from the connection."""
        return not self._remaining

    def readable(self):
        """Return True.

        Returns
        -------
        bool
            Always True.
        """
        return True

    def readinto(self, buffer):
        """Read the bytes that have arrived; wait for at least one.

        Parameters
        ----------
        buffer : bytearray
            Filled from its start.

        Returns
        -------
        int
            Bytes read; 0 at the end of the body or of the connection.
        """
        if not self._remaining:
            return 0
        self._on_read()
        count = self._stream.readinto1(memoryview(buffer)[: self._remaining])
        self._remaining -= count
        return count


class ChunkedBody(io.RawIOBase):
    """Request body with chunked transfer coding.

    cheroot's own reader accepts chunk sizes with a sign, treats a truncated size line
    as the last chunk and leaves trailers in the stream, where they are parsed as the
    next request.

    Parameters
    ----------
    stream : io.BufferedReader
        Reader of the caller's connection.
    on_read : callable
        Called before each read from the stream.
    """

    def __init__(self, stream, on_read):
        self._stream = stream
        self._on_read = on_read
        self._remaining = 0
        self.finished = False

    def readable(self):
        """Return True.

        Returns
        -------
        bool
            Always True.
        """
        return True

    def readinto(self, buffer):
        """Read the bytes of the current chunk that have arrived; wait for at least one.

        Parameters
        ----------
        buffer : bytearray
            Filled from its start.

        Returns
        -------
        int
            Bytes read; 0 only at the end of the body.

        Raises
        ------
        ChunkedCodingError
            If the coding is invalid or the connection ends within the body.
        """
        if self.finished:
            return 0
        self._on_read()
        if not self._remaining:
            self._remaining = self._read_size()
            if not self._remaining:
                self._skip_trailers()
                self.finished = True
                return 0
        count = self._stream.readinto1(memoryview(buffer)[: self._remaining])
        if not count:
            raise ChunkedCodingError("the body ended within a chunk")
        self._remaining -= count
        if not self._remaining and self._stream.read(2) != b"\r\n":
            raise ChunkedCodingError("a chunk does not end with CR LF")
        return count

    def _read_size(self):
        match = _CHUNK_LINE.fullmatch(self._stream.readline(MAX_CHUNK_LINE_BYTES))
        if match is None:
            raise ChunkedCodingError("a chunk has no valid size")
        return int(match[1], 16)

    def _skip_trailers(self):
        remaining = MAX_TRAILER_BYTES
        while (line := self._stream.readline(remaining)) != b"\r\n":
            remaining -= len(line)
            if not line.endswith(b"\r\n") or remaining <= 0:
                raise ChunkedCodingError("the trailers are cut or too long")


class StrictHeaderReader(HeaderReader):
    """Header reader that rejects headers on which parsers could disagree."""

    def __call__(self, rfile, hdict=None):
        """Read headers up to the empty line.

        Parameters
        ----------
        rfile : file-like
            Stream to read from.
        hdict : dict or None, default=None
            Dictionary that receives the headers; a new one if None.

        Returns
        -------
        dict
            Header values by name in title case.

        Raises
        ------
        ValueError
            If the headers are malformed or ambiguous.
        """
        headers = {} if hdict is None else hdict
        while True:
            line = rfile.readline()
            if line == b"\r\n":
                break
            self._add_line(headers, line)
        transfer_coding = headers.get(b"Transfer-Encoding")
        if b"Content-Length" in headers and transfer_coding is not None:
            raise ValueError("Content-Length and Transfer-Encoding exclude each other.")
        if transfer_coding is not None and transfer_coding.lower() != b"chunked":
            raise ValueError("Transfer-Encoding is not chunked.")
        length = headers.get(b"Content-Length", b"0")
        if not length.isdigit():
            raise ValueError("Content-Length is not a number.")
        return headers

    def _add_line(self, headers, line):
        if not line.endswith(b"\r\n"):
            raise ValueError("A header line does not end with CR LF.")
        name, colon, value = line[:-2].partition(b":")
        if not colon or not _TOKEN.fullmatch(name):
            raise ValueError("A header line has no valid name.")
        value = value.strip(b" \t")
        if _CONTROL_CHARACTER.search(value):
            raise ValueError("A header value has a control character.")
        if b"_" in name:
            # WSGI maps '-' and '_' to the same name, so such a header could be
            # mistaken for another one.
            return
        name = name.title()
        if name in headers:
            if name in _SINGLETON_HEADERS:
                raise ValueError(f"{name.decode()} is given twice.")
            value = headers[name] + (b"; " if name == b"Cookie" else b", ") + value
        headers[name] = value


class EntryRequest(HTTPRequest):
    """Request of a caller; parse errors are answered with the verdict ``not-run``.

    Parameters
    ----------
    server : EntryServer
        Server that received the request.
    conn : EntryConnection
        Connection on which the request arrived.
    **kwargs : object
        Passed to the base class.
    """

    _read_headers = StrictHeaderReader()

    def __init__(self, server, conn, **kwargs):
        super().__init__(server, conn, **kwargs)
        self.dispatched = False
        self._expects_continue = False

    def parse_request(self):
        """Parse the request line and headers within the caller's timeout."""
        # The timeout of the socket alone would restart with each byte received.
        self.conn.set_read_timeout(self.server.timeout)
        super().parse_request()
        self.conn.set_read_timeout(None)

    def read_request_line(self):
        """Read and check the request line.

        Returns
        -------
        bool
            False if the request was rejected.
        """
        if not super().read_request_line():
            return False
        valid = (
            _REQUEST_TARGET.fullmatch(self.uri)
            and _TOKEN.fullmatch(self.method)
            and _PROTOCOL.fullmatch(self.request_protocol)
        )
        if not valid:
            self.simple_response("400 Bad Request", "The request line is malformed.")
        return bool(valid)

    def read_request_headers(self):
        """Read and check the headers.

        Returns
        -------
        bool
            False if the request was rejected.
        """
        try:
            accepted = super().read_request_headers()
        except MaxSizeExceeded:
            self.simple_response(
                "431 Request Header Fields Too Large", "The headers are too large."
            )
            return False
        connection_options = self.inheaders.get(b"Connection", b"").lower().split(b",")
        if b"close" in (option.strip() for option in connection_options):
            self.close_connection = True
        return accepted

    def header_reader(self, rfile, hdict):
        """Read headers and check them against the protocol version.

        Parameters
        ----------
        rfile : file-like
            Stream to read from.
        hdict : dict
            Dictionary that receives the headers.

        Raises
        ------
        ValueError
            If the headers are malformed or ambiguous.
        """
        self._read_headers(rfile, hdict)
        if self.request_protocol == b"HTTP/1.0":
            if b"Transfer-Encoding" in hdict:
                raise ValueError("HTTP/1.0 has no Transfer-Encoding.")
        elif b"Host" not in hdict:
            raise ValueError("There is no Host header.")
        else:
            # The base class would send 100 Continue before the application reads the
            # body.
            expected = hdict.pop(b"Expect", b"").lower()
            self._expects_continue = expected == b"100-continue"

    def respond(self):
        """Run the application and send its response."""
        self.dispatched = True
        stream = self.conn.rfile
        if self.chunked_read:
            self.rfile = ChunkedBody(stream, self._send_continue)
        else:
            length = int(self.inheaders.get(b"Content-Length", 0))
            self.rfile = FixedLengthBody(stream, length, self._send_continue)
        self.server.gateway(self).respond()
        self.ensure_headers_sent()
        if self.chunked_write:
            self.conn.wfile.write(b"0\r\n\r\n")

    def send_headers(self):
        """Send the status line and headers of the response."""
        if not self.rfile.finished:
            # The unread rest of the body would be parsed as the next request.
            self.close_connection = True
        super().send_headers()

    def simple_response(self, status, msg=""):
        """Send an error response of the server, not of the application.

        Parameters
        ----------
        status : str
            Status code and reason phrase.
        msg : str, default=""
            Human-readable detail.
        """
        self.close_connection = True
        code = str(status)[:3]
        if self.dispatched:
            verdict, reason = Verdict.MAY_HAVE_RUN, Reason.INTERNAL
        else:
            verdict = Verdict.NOT_RUN
            reason = _REASONS_BY_STATUS.get(code, Reason.MALFORMED)
        self.server.metrics.increment(f"server.rejected.{reason}")
        self.conn.wfile.write(render_refusal(status, verdict, reason, msg or status))
        self.sent_headers = True

    def _send_continue(self):
        """Send ``100 Continue`` to a caller that waits for it."""
        if self._expects_continue:
            self._expects_continue = False
            self.conn.wfile.write(b"HTTP/1.1 100 Continue\r\n\r\n")


def render_refusal(status, verdict, reason, detail):
    """Return the complete response to a request whose id is unknown.

    Parameters
    ----------
    status : str
        Status code and reason phrase.
    verdict : Verdict
        Whether the request may have run.
    reason : Reason
        Cause of the refusal.
    detail : str
        Human-readable sentence.

    Returns
    -------
    bytes
        Status line, headers and body; the connection must be closed after it.
    """
    body = f"request - {verdict}\nreason {reason}: {detail}\n".encode()
    head = (
        f"HTTP/1.1 {status}\r\n"
        f"Request-Run: {verdict}\r\n"
        f"Failure-Reason: {reason}\r\n"
        "Content-Type: text/plain; charset=utf-8\r\n"
        f"Content-Length: {len(body)}\r\n"
        "Connection: close\r\n\r\n"
    )
    return head.encode("latin-1") + body
