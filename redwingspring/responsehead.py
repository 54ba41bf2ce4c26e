"""HTTP client classes that reject a response whose head is not complete."""

import http.client
import io
from http.client import HTTPException

import urllib3
from urllib3.connection import HTTPConnection, HTTPSConnection

_EMPTY_LINES = (b"\r\n", b"\n")


class LineReader(io.BufferedReader):
    """Buffered reader that remembers the last line that it returned."""

    last_line = b""

    def readline(self, size=-1):
        """Return the next line.

        Parameters
        ----------
        size : int, default=-1
            Maximum number of bytes; -1 for no limit.

        Returns
        -------
        bytes
            The line with its end; without it at the end of the stream.
        """
        self.last_line = super().readline(size)
        return self.last_line


class WholeHeadResponse(http.client.HTTPResponse):
    """Response parser that rejects a head without the empty line at its end.

    The base class takes the end of the connection for the end of the head. The headers
    that are missing then may be those that frame the body, so that a body that never
    arrived looks complete and empty.

    Parameters
    ----------
    sock : socket.socket
        The connection.
    **options : object
        Passed to the base class.
    """

    def __init__(self, sock, **options):
        super().__init__(sock, **options)
        self.fp = LineReader(self.fp.detach())

    def begin(self):
        """Read the head of the response.

        Raises
        ------
        http.client.HTTPException
            If the connection ends within the head.
        """
        super().begin()
        if self.fp.last_line not in _EMPTY_LINES:
            raise HTTPException("the connection ended within the head of the response")


class WholeHeadConnection(HTTPConnection):
    """Connection whose responses have complete heads."""

    response_class = WholeHeadResponse


class WholeHeadSecureConnection(HTTPSConnection):
    """Connection with TLS whose responses have complete heads."""

    response_class = WholeHeadResponse


class WholeHeadPool(urllib3.HTTPConnectionPool):
    """Connection pool whose responses have complete heads."""

    ConnectionCls = WholeHeadConnection


class WholeHeadSecurePool(urllib3.HTTPSConnectionPool):
    """Connection pool with TLS whose responses have complete heads."""

    ConnectionCls = WholeHeadSecureConnection
