"""HTTP server for callers, built on cheroot, with one thread per connection."""

import io
import logging
import select
import socket
import threading
import time
from dataclasses import dataclass

from cheroot import wsgi
from cheroot.server import HTTPConnection

from .callerstreams import make_file
from .listeners import LISTEN_BACKLOG
from .parsing import EntryRequest, render_refusal
from .targetconnection import enable_reset_on_close
from .verdict import Reason, Verdict

logger = logging.getLogger(__name__)

LINGER_S = 2.0
MAX_REFUSAL_THREADS = 8


class EntryConnection(HTTPConnection):
    """Connection of a caller.

    Parameters
    ----------
    server : EntryServer
        Server that accepted the connection.
    sock : socket.socket
        Socket of the connection.
    makefile : callable or None, default=None
        Ignored; the connection creates its own file objects.
    """

    RequestHandlerClass = EntryRequest

    def __init__(self, server, sock, makefile=None):
        super().__init__(server, sock, makefile=make_file)
        self.aborted = False

    def abort(self):
        """Make ``close`` reset the connection."""
        self.aborted = True

    def set_read_timeout(self, seconds, may_wait=None):
        """Limit the total time of the following reads.

        Parameters
        ----------
        seconds : float or None
            Seconds from now; with None, only the time of each read is limited.
        may_wait : callable or None, default=None
            Tells whether they may still wait for data; asked from time to time.
        """
        raw = self.rfile.raw
        raw.may_wait = may_wait
        raw.deadline = None if seconds is None else time.monotonic() + seconds
        self.socket.settimeout(self.server.timeout)

    def wait_for_request(self, timeout):
        """Wait for the first byte of the next request.

        Parameters
        ----------
        timeout : float
            Seconds to wait.

        Returns
        -------
        bool
            False if the wait timed out or the connection failed.
        """
        # A pipelined request can already be in the reader's buffer, which poll
        # does not cover. The socket's own timeout is not changed, because another
        # thread may be writing.
        self.rfile.raw.nonblocking = True
        try:
            if self.rfile.peek(1):
                self.rfile.raw.has_received = True
                return True
        except OSError:
            return False
        finally:
            self.rfile.raw.nonblocking = False
        poller = select.poll()
        poller.register(self.socket.fileno(), select.POLLIN)
        return bool(poller.poll(timeout * 1000))

    def close(self):
        """Close the connection; unless aborted, let the caller read what was sent."""
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
        # Closing a socket with unread bytes sends a reset, on which the caller may
        # discard the last response. So drain the socket for a limited time first.
        self.socket.shutdown(socket.SHUT_WR)
        end = time.monotonic() + LINGER_S
        while (remaining := end - time.monotonic()) > 0:
            self.socket.settimeout(remaining)
            if not self.socket.recv(io.DEFAULT_BUFFER_SIZE):
                return


class EntryGateway(wsgi.Gateway_10):
    """WSGI gateway that adds the connection and the request to the environment."""

    def get_environ(self):
        """Return the WSGI environment of the request.

        Returns
        -------
        dict
            The environment with the entries ``redwingspring.connection`` and
            ``redwingspring.request``.
        """
        environ = super().get_environ()
        environ["redwingspring.connection"] = self.req.conn
        environ["redwingspring.request"] = self.req
        return environ


class ConnectionThreads:
    """Run each connection in a thread of its own.

    This replaces cheroot's pool of worker threads, in which long downloads could
    occupy all workers and block short requests.

    Parameters
    ----------
    server : EntryServer
        Server whose connections are run.
    limit : int
        Maximum number of open connections; further ones are refused.
    """

    def __init__(self, server, limit):
        self.server = server
        self.limit = limit
        self._lock = threading.Lock()
        self._refusal_threads = threading.Semaphore(MAX_REFUSAL_THREADS)
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
            Connections that are open at the time of the call.
        """
        with self._lock:
            return list(self._connections)

    def start(self):
        """Do nothing; a thread is started for each connection."""

    def put(self, connection):
        """Start the thread of a new connection, or refuse it.

        Parameters
        ----------
        connection : EntryConnection
            An accepted connection.
        """
        with self._lock:
            at_limit = len(self._connections) >= self.limit
            if not at_limit:
                self._connections.add(connection)
        run = self._refuse if at_limit else self._serve
        if at_limit and not self._refusal_threads.acquire(blocking=False):
            # All refusal threads are busy, so the socket is closed without draining
            # it; a reset may then reach the caller before this refusal.
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
            if at_limit:
                self._refusal_threads.release()
            else:
                self._remove(connection)

    def _serve(self, connection):
        try:
            while connection.communicate():
                if not connection.wait_for_request(self.server.keep_alive_timeout):
                    break
        finally:
            try:
                connection.close()
            finally:
                self._remove(connection)

    def _remove(self, connection):
        with self._lock:
            self._connections.discard(connection)

    def _refuse(self, connection):
        try:
            self._send_refusal(connection)
            connection.close()
        finally:
            self._refusal_threads.release()

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
        """Return at once; ``drain`` has already waited for the connections.

        Parameters
        ----------
        timeout : float, default=0
            Ignored.
        """


@dataclass(frozen=True)
class ServerLimits:
    """Limits and timeouts of a server for callers.

    Attributes
    ----------
    max_connections : int, default=1024
        Maximum number of open connections.
    caller_timeout : float, default=10.0
        Seconds without progress after which a request or response times out.
    keep_alive : float, default=30.0
        Seconds after which an idle connection is closed.
    max_header_bytes : int, default=16384
        Maximum size of the request line and headers.
    max_body_bytes : int, default=0
        Maximum size of a request body; 0 leaves the limit to the application.
    """

    max_connections: int = 1024
    caller_timeout: float = 10.0
    keep_alive: float = 30.0
    max_header_bytes: int = 16 << 10
    max_body_bytes: int = 0


class EntryServer(wsgi.Server):
    """HTTP server for callers.

    Parameters
    ----------
    address : str
        ``ip:port`` to listen on.
    application : callable
        WSGI application.
    settings : Settings or ServerLimits
        Limits and timeouts.
    metrics : Metrics
        Counters of refused requests and connection errors.
    listener : socket.socket or None, default=None
        Socket that already listens on the address.
    """

    ConnectionClass = EntryConnection
    keep_alive_conn_limit = None

    def __init__(self, address, application, settings, metrics, listener=None):
        host, port = address.rsplit(":", 1)
        self._listener = listener
        super().__init__(
            (host, int(port)),
            application,
            server_name="redwingspring",
            request_queue_size=LISTEN_BACKLOG,
        )
        self.gateway = EntryGateway
        self.metrics = metrics
        self.requests = ConnectionThreads(self, settings.max_connections)
        self.timeout = settings.caller_timeout
        self.keep_alive_timeout = settings.keep_alive
        self.max_request_header_size = settings.max_header_bytes
        self.max_request_body_size = settings.max_body_bytes
        self.keep_alive_enabled = True
        self.last_accept = 0.0

    def bind(self, family, type, proto=0):
        """Create the listening socket, or adopt the one that is open.

        Parameters
        ----------
        family : int
            Address family.
        type : int
            Type of the socket.
        proto : int, default=0
            Protocol number.

        Returns
        -------
        socket.socket
            The socket.
        """
        if self._listener is None:
            return super().bind(family, type, proto)
        self.socket = self._listener
        return self.socket

    def process_conn(self, conn):
        """Start an accepted connection.

        Parameters
        ----------
        conn : EntryConnection
            The accepted connection.
        """
        self.last_accept = time.monotonic()
        super().process_conn(conn)

    def close_listener(self):
        """Accept the connections in the listen backlog, then close the listener."""
        # The server's accept loop must not poll a closed listener, so it ends first.
        # cheroot starts it again without a pause while the server is ready, which
        # would leave the other threads little time to run.
        self.ready = False
        self._connections.stop()
        self.socket.settimeout(0)
        while (conn := self._connections._from_server_socket(self.socket)) is not None:
            self.process_conn(conn)
        self.socket.close()
        self._connections.close()

    @property
    def can_add_keepalive_connection(self):
        """Tell whether connections stay open after a response."""
        return self.keep_alive_enabled

    def error_log(self, msg="", level=logging.INFO, traceback=False):
        """Count a connection error; log it if it is a fault of this process.

        Faults of this process have the level ERROR or higher.

        Parameters
        ----------
        msg : str, default=""
            Text of the log line.
        level : int, default=logging.INFO
            Level of the log line.
        traceback : bool, default=False
            Whether to log the traceback of the current exception.
        """
        self.metrics.increment("server.connection_errors")
        if level >= logging.ERROR:
            logger.log(level, msg, exc_info=traceback)
