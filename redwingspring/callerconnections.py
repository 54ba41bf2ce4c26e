"""Connections of callers to entry hosts, and control pages read over them."""

import threading
import time
from collections import deque
from dataclasses import dataclass
from http.client import HTTPException

from expression import Error, Ok
from urllib3.exceptions import HTTPError

from .responsehead import WholeHeadConnection

READ_SIZE = 64 << 10
MAX_PAGE_BYTES = 4 << 20
PAGE_TIMEOUT_S = 1.0
# Below the 30 s for which an entry host keeps unused connections by default.
MAX_IDLE_S = 20.0
# A host may close an idle connection while a request is on its way, which
# leaves no proof; a recently used connection makes that unlikely.
MAX_IDLE_NON_IDEMPOTENT_S = 1.0
MAX_IDLE_CONNECTIONS = 8
TRANSPORT_ERRORS = (OSError, HTTPException, HTTPError)


@dataclass(frozen=True)
class Page:
    """A control page of an entry host.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : mapping of str to str
        Response headers.
    text : str
        The body.
    """

    status: int
    headers: object
    text: str


class HostConnection(WholeHeadConnection):
    """A connection that knows whether a byte of a request was sent.

    Parameters
    ----------
    host : str
        ``ip:port`` of the entry host.
    timeout : float
        Seconds for a new connection.
    """

    def __init__(self, host, timeout):
        name, port = host.rsplit(":", 1)
        super().__init__(name, port=int(port), timeout=timeout)
        self.entry_host = host
        self.idle_since = 0.0
        self.max_idle = MAX_IDLE_S
        self.started = False

    def send(self, data):
        """Send bytes and note that the request has started.

        Parameters
        ----------
        data : bytes
            Part of the request.
        """
        if self.sock is None:
            self.connect()
        self.started = True
        super().send(data)

    def limit_wait(self, seconds):
        """Set the longest wait of the open connection.

        Parameters
        ----------
        seconds : float
            For each send and receive.
        """
        # The base class applies its own value again before a response.
        self.timeout = max(0.001, seconds)
        self.sock.settimeout(self.timeout)


class HostConnections:
    """Reusable connections by host.

    Parameters
    ----------
    connect_timeout : float
        Seconds for a new connection.
    """

    def __init__(self, connect_timeout):
        self._connect_timeout = connect_timeout
        self._lock = threading.Lock()
        self._idle = {}

    def take(self, host, idempotent, timeout):
        """Return an idle connection, or a new one that is not yet open.

        Parameters
        ----------
        host : str
            ``ip:port`` of the entry host.
        idempotent : bool
            Whether a connection that was idle for long may be used.
        timeout : float
            Seconds for a new connection, where it is the shorter bound.

        Returns
        -------
        HostConnection
            A connection used by nobody else.
        """
        while True:
            with self._lock:
                idle = self._idle.get(host)
                connection = idle.pop() if idle else None
            if connection is None:
                return HostConnection(host, min(timeout, self._connect_timeout))
            most = connection.max_idle
            if not idempotent:
                most = min(most, MAX_IDLE_NON_IDEMPOTENT_S)
            age = time.monotonic() - connection.idle_since
            # A readable idle connection is closed or carries stray bytes.
            if age <= most and connection.is_connected:
                connection.started = False
                return connection
            connection.close()

    def give_back(self, connection, response):
        """Keep a connection whose last response was read whole.

        Parameters
        ----------
        connection : HostConnection
            The connection.
        response : urllib3.HTTPResponse
            Its last response, which may forbid or bound further use.
        """
        connection.max_idle = _read_max_idle(response)
        connection.idle_since = time.monotonic()
        if connection.sock is not None and _keeps_connection(response):
            with self._lock:
                idle = self._idle.setdefault(connection.entry_host, deque())
                if len(idle) < MAX_IDLE_CONNECTIONS:
                    idle.append(connection)
                    return
        connection.close()

    def close(self):
        """Close all idle connections."""
        with self._lock:
            pools, self._idle = self._idle, {}
        for idle in pools.values():
            for connection in idle:
                connection.close()


def read_page(host, path, timeout=PAGE_TIMEOUT_S):
    """Return a control page of an entry host.

    Parameters
    ----------
    host : str
        ``ip:port``, also with ``http://`` in front.
    path : str
        Path and query, for example ``/-/status``.
    timeout : float, default=PAGE_TIMEOUT_S
        Seconds for the connection and for each pause of the response.

    Returns
    -------
    expression.Result
        Ok with a Page, or an Error with a text that says what failed.
    """
    address = read_host(host)
    if address is None:
        return Error(f"{host!r} is not ip:port")
    http = HostConnection(address, timeout)
    try:
        http.request("GET", path, preload_content=False, enforce_content_length=True)
        response = http.getresponse()
        data = bytearray()
        for part in iter_parts(response):
            data += part
            if len(data) > MAX_PAGE_BYTES:
                return Error("the page is too large")
        return Ok(Page(response.status, response.headers, data.decode()))
    except (*TRANSPORT_ERRORS, UnicodeDecodeError) as error:
        return Error(str(error))
    finally:
        http.close()


def iter_parts(response):
    """Yield the parts of a response body as they arrive.

    Parameters
    ----------
    response : urllib3.HTTPResponse
        The response.

    Yields
    ------
    bytes
        At most ``READ_SIZE`` bytes.

    Raises
    ------
    urllib3.exceptions.HTTPError
        If the body is malformed or not complete.
    """
    # The method ``stream`` has its own parser of chunks, which takes a size that was
    # cut after a zero for the end of the body.
    while part := response.read1(READ_SIZE, decode_content=False):
        yield part


def read_host(text):
    """Return the address in a text that names an entry host.

    Parameters
    ----------
    text : str
        ``ip:port`` or ``http://ip:port``.

    Returns
    -------
    str or None
        ``ip:port``, or None when the text is neither.
    """
    address = text.removeprefix("http://").rstrip("/")
    name, _, port = address.rpartition(":")
    if not name or "/" in name or not (port.isascii() and port.isdigit()):
        return None
    return address


def _keeps_connection(response):
    """Tell whether another request may follow on a connection."""
    tokens = response.headers.get("connection", "").lower()
    return response.version >= 11 and "close" not in tokens


def _read_max_idle(response):
    """Return how long a connection may be unused, in seconds."""
    for part in response.headers.get("keep-alive", "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isascii() and value.isdigit():
            return min(MAX_IDLE_S, max(0.0, float(value) - 1.0))
    return MAX_IDLE_S
