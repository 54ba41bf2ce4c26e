"""HTTP server for callers: CherryPy's server with one thread per connection."""

import io
import logging
import select
import socket
import threading
import time
from dataclasses import dataclass

from cheroot import wsgi
from cheroot.server import HTTPConnection

from .parsing import EntryRequest, render_refusal
from .targetconnection import enable_reset_on_close
from .verdict import Reason, Verdict

logger = logging.getLogger(__name__)

LISTEN_QUEUE = 1024
LINGER_S = 2.0
REFUSER_THREADS = 8


class _CallerReader(socket.SocketIO):
    """Reader that can be bound to a point in time."""

    deadline = None
    # Whether a read returns at once when nothing has arrived.
    peeking = False

    def readinto(self, buffer):
        if self.peeking and not _is_readable(self._sock):
            return None
        if self.deadline is not None:
            left = self.deadline - time.monotonic()
            if left <= 0:
                # The server recognises a timeout by this text.
                raise TimeoutError("timed out")
            self._sock.settimeout(left)
        return super().readinto(buffer)


def _is_readable(sock):
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLIN)
    return bool(poller.poll(0))


def _make_file(sock, mode, size):
    """Return a buffered reader or an unbuffered writer over a socket."""
    # The server's own file objects are written in Python and copy each block
    # several times, which dominates the cost of a request.
    if "r" in mode:
        return io.BufferedReader(_CallerReader(sock, "r"), size)
    return _SocketWriter(sock)


class _SocketWriter:
    """Writer that sends each block at once."""

    def __init__(self, sock):
        self._sock = sock
        self.bytes_written = 0

    def write(self, data):
        self._sock.sendall(data)
        return len(data)


class EntryConnection(HTTPConnection):
    """A caller's connection.

    Parameters
    ----------
    server : EntryServer
        The server.
    sock : socket.socket
        The connection.
    makefile : callable or None, default=None
        Not used; the connection brings its own file objects.
    """

    RequestHandlerClass = EntryRequest

    def __init__(self, server, sock, makefile=None):
        super().__init__(server, sock, makefile=_make_file)
        self.aborted = False

    def abort(self):
        """Mark the connection so that its close sends a reset."""
        self.aborted = True

    def limit_reads(self, seconds):
        """Bound the time of all reads together.

        Parameters
        ----------
        seconds : float or None
            From now; None bounds only the time of each read.
        """
        raw = self.rfile.raw
        raw.deadline = None if seconds is None else time.monotonic() + seconds
        self.socket.settimeout(self.server.timeout)

    def wait_request(self, timeout):
        """Wait for the first byte of another request.

        Parameters
        ----------
        timeout : float
            Seconds to wait.

        Returns
        -------
        bool
            False when the time is over.
        """
        # A pipelined request can already be in the reader's buffer, where
        # poll does not see it. The socket's own timeout stays as it is, because
        # another thread may be writing.
        self.rfile.raw.peeking = True
        try:
            if self.rfile.peek(1):
                return True
        except OSError:
            return False
        finally:
            self.rfile.raw.peeking = False
        poller = select.poll()
        poller.register(self.socket.fileno(), select.POLLIN)
        return bool(poller.poll(timeout * 1000))

    def close(self):
        """Close so that the caller can still read the last response."""
        try:
            if self.aborted:
                enable_reset_on_close(self.socket)
            else:
                self._linger()
        except OSError:
            pass
        finally:
            self.socket.close()

    def _linger(self):
        # Closing with unread bytes sends a reset, which can destroy the last
        # response on its way; so read what still arrives, for a short time.
        self.socket.shutdown(socket.SHUT_WR)
        end = time.monotonic() + LINGER_S
        while (remaining := end - time.monotonic()) > 0:
            self.socket.settimeout(remaining)
            if not self.socket.recv(io.DEFAULT_BUFFER_SIZE):
                return


class EntryGateway(wsgi.Gateway_10):
    """WSGI gateway that tells the application its connection."""

    def get_environ(self):
        """Return the WSGI environment of the request.

        Returns
        -------
        dict
            The environment with two entries of this package.
        """
        environ = super().get_environ()
        environ["redwingspring.connection"] = self.req.conn
        environ["redwingspring.request"] = self.req
        return environ


class ConnectionThreads:
    """Runs each connection in a thread of its own.

    It stands in for the server's pool of worker threads, in which long
    downloads could occupy all workers and stop short requests.

    Parameters
    ----------
    server : EntryServer
        The server whose connections run here.
    limit : int
        Connections at once; more are refused.
    """

    def __init__(self, server, limit):
        self.server = server
        self.limit = limit
        self._lock = threading.Lock()
        self._refusing = threading.Semaphore(REFUSER_THREADS)
        self._connections = set()

    @property
    def count(self):
        """Number of open connections."""
        return len(self._connections)

    def list_connections(self):
        """Return the open connections.

        Returns
        -------
        list of EntryConnection
            As of now.
        """
        with self._lock:
            return list(self._connections)

    def start(self):
        """Do nothing; threads start with their connections."""

    def put(self, connection):
        """Run a new connection.

        Parameters
        ----------
        connection : EntryConnection
            An accepted connection.
        """
        with self._lock:
            full = len(self._connections) >= self.limit
            if not full:
                self._connections.add(connection)
        run = self._refuse if full else self._run
        if full and not self._refusing.acquire(blocking=False):
            # Without a thread there is no time to read what the caller sends,
            # so a reset may overtake this refusal.
            self._send_refusal(connection)
            connection.socket.close()
            return
        name = f"caller-{connection.remote_addr}:{connection.remote_port}"
        thread = threading.Thread(
            target=run, args=(connection,), name=name, daemon=True
        )
        try:
            thread.start()
        except RuntimeError:
            self.server.metrics.increment("server.no_thread")
            self._send_refusal(connection)
            connection.socket.close()
            if full:
                self._refusing.release()
            else:
                self._discard(connection)

    def _run(self, connection):
        try:
            while connection.communicate():
                if not connection.wait_request(self.server.keep_alive_timeout):
                    break
        finally:
            try:
                connection.close()
            finally:
                self._discard(connection)

    def _discard(self, connection):
        with self._lock:
            self._connections.discard(connection)

    def _refuse(self, connection):
        try:
            self._send_refusal(connection)
            connection.close()
        finally:
            self._refusing.release()

    def _send_refusal(self, connection):
        self.server.metrics.increment("server.rejected.connections")
        refusal = render_refusal(
            "503 Service Unavailable",
            Verdict.NOT_RUN,
            Reason.CONNECTIONS,
            "this host has no free connection",
        )
        try:
            connection.socket.settimeout(0)
            connection.socket.sendall(refusal)
        except OSError:
            pass

    def stop(self, timeout=0):
        """Return at once; ``drain`` waits for connections before the stop.

        Parameters
        ----------
        timeout : float, default=0
            Not used.
        """


@dataclass(frozen=True)
class ServerBounds:
    """Bounds and timeouts of a server for callers.

    Attributes
    ----------
    max_connections : int, default=1024
        Connections at once.
    caller_timeout : float, default=10.0
        Seconds that a caller may stall within a request or response.
    keep_alive : float, default=30.0
        Seconds that an unused connection is kept.
    max_header_bytes : int, default=16384
        Size of a request's line and headers.
    max_body_bytes : int, default=0
        Size of a request body; 0 leaves the bound to the application.
    """

    max_connections: int = 1024
    caller_timeout: float = 10.0
    keep_alive: float = 30.0
    max_header_bytes: int = 16 << 10
    max_body_bytes: int = 0


class EntryServer(wsgi.Server):
    """The server for callers.

    Parameters
    ----------
    address : str
        ``ip:port`` to listen on.
    application : callable
        WSGI application.
    settings : Settings or ServerBounds
        Bounds and timeouts.
    metrics : Metrics
        Counters.
    """

    ConnectionClass = EntryConnection
    request_queue_size = LISTEN_QUEUE
    keep_alive_conn_limit = None

    def __init__(self, address, application, settings, metrics):
        host, port = address.rsplit(":", 1)
        super().__init__((host, int(port)), application, server_name="redwingspring")
        self.gateway = EntryGateway
        self.metrics = metrics
        self.requests = ConnectionThreads(self, settings.max_connections)
        self.timeout = settings.caller_timeout
        self.keep_alive_timeout = settings.keep_alive
        self.max_request_header_size = settings.max_header_bytes
        self.max_request_body_size = settings.max_body_bytes
        self.keeps_connections = True
        self.last_accept = 0.0

    def process_conn(self, conn):
        """Run an accepted connection.

        Parameters
        ----------
        conn : EntryConnection
            The connection.
        """
        self.last_accept = time.monotonic()
        super().process_conn(conn)

    def close_listener(self):
        """Run every connection that waits in the listen queue, then close it."""
        self._connections.stop()
        self.socket.settimeout(0)
        # The server's loop must not wait for a listener that is closed.
        while (conn := self._connections._from_server_socket(self.socket)) is not None:
            self.process_conn(conn)
        self.socket.close()

    @property
    def can_add_keepalive_connection(self):
        """Tell whether connections stay open after a response."""
        return self.keeps_connections

    def error_log(self, msg="", level=logging.INFO, traceback=False):
        """Count errors of connections; log those that are faults of this code.

        Parameters
        ----------
        msg : str, default=""
            What happened.
        level : int, default=logging.INFO
            Level of the line.
        traceback : bool, default=False
            Whether to log the present exception.
        """
        self.metrics.increment("server.connection_errors")
        if level >= logging.ERROR:
            logger.log(level, msg, exc_info=traceback)
