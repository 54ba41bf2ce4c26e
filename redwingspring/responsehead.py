"""HTTP client classes that reject invalid and incomplete responses."""

import http.client
import io
from http.client import HTTPException, HTTPMessage, IncompleteRead, RemoteDisconnected

import urllib3
from urllib3.connection import HTTPConnection, HTTPSConnection

from .responselines import (
    MAX_HEAD_FIELDS,
    MAX_HEAD_LINE_BYTES,
    MAX_SKIPPED_FIELDS,
    MAX_SKIPPED_LINE_BYTES,
    InvalidResponse,
    parse_chunk_line,
    parse_framing,
    parse_status_line,
    read_fields,
)

# Responses with a smaller status are interim: the final response follows.
FIRST_FINAL_STATUS = 200
SWITCHING_PROTOCOLS = 101
MAX_INTERIM_RESPONSES = 16
# Bytes of all chunk extensions of a body, which are read but not relayed.
MAX_EXTENSION_BYTES = 64 << 10
# A body is read in parts of this size, so that memory is used only for what arrives.
READ_PART_BYTES = 1 << 20
# Statuses whose responses have no body.
_NO_CONTENT = 204
_NOT_MODIFIED = 304


class ResponseReader(io.RawIOBase):
    """Raw reader of a socket that trusts its end only if no write failed.

    A socket reports its error once. If a write has consumed the error of a reset,
    the reads after it end as they do after an orderly close.

    Parameters
    ----------
    raw : io.RawIOBase
        Reader of the socket.
    """

    def __init__(self, raw):
        self._raw = raw
        self.write_failed = False

    def readable(self):
        """Tell that the stream can be read."""
        return True

    def readinto(self, buffer):
        """Read at most as many bytes as the buffer holds.

        Parameters
        ----------
        buffer : writable buffer
            Receives the bytes.

        Returns
        -------
        int or None
            Number of bytes; 0 at the end, None if a read would block.

        Raises
        ------
        ConnectionResetError
            If the stream ends after a failed write.
        """
        count = self._raw.readinto(buffer)
        if count == 0 and self.write_failed:
            raise ConnectionResetError("the connection ended after a failed write")
        return count

    def close(self):
        """Close the reader of the socket."""
        if not self.closed:
            self._raw.close()
        super().close()


class WholeHeadResponse(http.client.HTTPResponse):
    """Response parser that rejects invalid and incomplete responses.

    The base class takes the end of the connection for the end of the head and of the
    trailers. The headers that are missing then may be those that frame the body, so
    that a body that never arrived looks complete and empty. It also accepts malformed
    status lines, fields and chunk sizes, and skips any two bytes after a chunk.

    Parameters
    ----------
    sock : socket.socket
        The connection.
    method : str or None, default=None
        Method of the request.
    write_failed : bool, default=False
        Whether a write on the connection failed. A body that the close of the
        connection delimits then counts as cut.
    make_reader : callable, default=ResponseReader
        Wraps the raw reader of the connection.
    """

    def __init__(
        self, sock, method=None, write_failed=False, make_reader=ResponseReader
    ):
        super().__init__(sock, method=method)
        self.reader = make_reader(self.fp.detach())
        self.reader.write_failed = write_failed
        self.fp = io.BufferedReader(self.reader)
        self._extension_bytes = 0

    def begin(self):
        """Read the head of the final response; skip interim responses.

        Raises
        ------
        http.client.HTTPException
            If a head is malformed or not complete.
        """
        self.version, self.status, self.reason = self._read_status()
        self.code = self.status
        fields = read_fields(self.fp, MAX_HEAD_FIELDS, MAX_HEAD_LINE_BYTES)
        self.headers = self.msg = HTTPMessage()
        for name, value in fields:
            self.msg.set_raw(name, value)
        self.length, self.chunked = parse_framing(fields, self.version)
        self.chunk_left = None
        self.will_close = self._check_close()
        if self.status == _NO_CONTENT and (self.length or self.chunked):
            # Such a response must not have a body. Data may follow that belongs to
            # no request.
            self.will_close = True
        if self._is_bodiless:
            self.length, self.chunked = 0, False
        elif self.length is None and not self.chunked:
            self.will_close = True

    @property
    def _is_bodiless(self):
        return (
            self._method == "HEAD"
            or self.status in (_NO_CONTENT, _NOT_MODIFIED)
            or self.status < FIRST_FINAL_STATUS
        )

    @property
    def has_unproved_end(self):
        """Tell whether the end of the body cannot be told from a lost connection."""
        is_unmarked = self.length is None and not self.chunked
        return is_unmarked and self.reader.write_failed

    def _read_status(self):
        for _ in range(MAX_INTERIM_RESPONSES):
            line = self.fp.readline(MAX_HEAD_LINE_BYTES)
            if not line:
                raise RemoteDisconnected("the connection ended without a response")
            version, status, reason = parse_status_line(line)
            if status >= FIRST_FINAL_STATUS or status == SWITCHING_PROTOCOLS:
                return version, status, reason
            self._read_and_discard_trailer()
        raise HTTPException("too many interim responses")

    def _check_close(self):
        options = ",".join(self.msg.get_all("connection", ())).lower()
        if self.version < 11:
            return "keep-alive" not in options
        return "close" in options

    def _get_chunk_left(self):
        if self.chunk_left == 0:
            if self._safe_read(2) != b"\r\n":
                raise InvalidResponse("a chunk is longer than its size")
            self.chunk_left = None
        return super()._get_chunk_left()

    def _read_next_chunk_size(self):
        line = self.fp.readline(MAX_SKIPPED_LINE_BYTES)
        if not line.endswith(b"\n"):
            raise IncompleteRead(b"")
        size, extension_bytes = parse_chunk_line(line)
        self._extension_bytes += extension_bytes
        if self._extension_bytes > MAX_EXTENSION_BYTES:
            raise HTTPException("the chunk extensions are too long")
        return size

    def _safe_read(self, amt):
        # The base class asks for all bytes at once. Memory for a size that no response
        # reaches cannot be allocated, and that error is none of a broken response.
        if amt <= READ_PART_BYTES:
            return super()._safe_read(amt)
        parts = []
        while amt:
            part = super()._safe_read(min(amt, READ_PART_BYTES))
            parts.append(part)
            amt -= len(part)
        return b"".join(parts)

    def _read_and_discard_trailer(self):
        read_fields(self.fp, MAX_SKIPPED_FIELDS, MAX_SKIPPED_LINE_BYTES)


class _CheckedConnection:
    """Mixin of connections that reject invalid and incomplete responses."""

    write_failed = False

    def connect(self):
        """Open the connection."""
        self.write_failed = False
        super().connect()

    def send(self, data):
        """Send part of a request and record a failure.

        Parameters
        ----------
        data : bytes
            Part of the request.
        """
        try:
            super().send(data)
        except OSError:
            self.write_failed = True
            raise

    def response_class(self, sock, method):
        """Return a parser for the response to the current request.

        Parameters
        ----------
        sock : socket.socket
            The connection.
        method : str
            Method of the request.

        Returns
        -------
        WholeHeadResponse
            The parser; the head has not been read yet.
        """
        return WholeHeadResponse(sock, method, self.write_failed)


class WholeHeadConnection(_CheckedConnection, HTTPConnection):
    """Connection that rejects invalid and incomplete responses."""


class WholeHeadSecureConnection(_CheckedConnection, HTTPSConnection):
    """Connection with TLS that rejects invalid and incomplete responses."""


class WholeHeadPool(urllib3.HTTPConnectionPool):
    """Connection pool that rejects invalid and incomplete responses."""

    ConnectionCls = WholeHeadConnection


class WholeHeadSecurePool(urllib3.HTTPSConnectionPool):
    """Connection pool with TLS that rejects invalid and incomplete responses."""

    ConnectionCls = WholeHeadSecureConnection
