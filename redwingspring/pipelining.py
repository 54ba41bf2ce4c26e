"""Connections of callers that send further requests before the first answer.

Requests without a body are worked on side by side in threads of their own; their
responses are written in the order of the requests.
"""

import contextlib
import logging
import socket
import threading
from concurrent.futures import ThreadPoolExecutor

from .parsing import EntryRequest
from .server import EntryConnection, EntryServer

logger = logging.getLogger(__name__)

# Requests of one connection that are worked on at once.
MAX_SIDE_BY_SIDE = 16
MAX_WORKERS = 400
_BODYLESS_METHODS = frozenset((b"GET", b"HEAD", b"OPTIONS"))


class Turn:
    """Place of one response in the order of a connection.

    Parameters
    ----------
    previous : Turn or None
        The place before it.
    """

    def __init__(self, previous):
        self._previous = previous
        self._done = threading.Event()

    def wait(self):
        """Wait until all earlier responses are written."""
        previous, self._previous = self._previous, None
        if previous is not None:
            previous.wait_done()

    def wait_done(self):
        """Wait until this response is written."""
        self._done.wait()

    def finish(self):
        """Let the next response be written."""
        self._done.set()


class PipelinedRequest(EntryRequest):
    """A request whose response waits for its turn.

    Parameters
    ----------
    server : EntryServer
        The server.
    conn : PipelinedConnection
        Where the request arrives.
    **kwargs : object
        Passed to the base class.
    """

    def __init__(self, server, conn, **kwargs):
        super().__init__(server, conn, **kwargs)
        self.turn = conn.take_turn()
        self.runs_beside = False
        conn.request = self

    def respond(self):
        """Run the application, beside others if the request has no body."""
        bodyless = self.method in _BODYLESS_METHODS and not self.chunked_read
        if bodyless and int(self.inheaders.get(b"Content-Length", 0)) == 0:
            self.runs_beside = True
            self.conn.run_beside(self._respond_beside)
        else:
            self.turn.wait()
            with self.conn.mark_working():
                super().respond()

    def _respond_beside(self):
        try:
            super().respond()
        except OSError as error:
            logger.debug("a caller's connection broke: %s", error)
            self.close_connection = True
        except Exception:
            # The caller must not take what was written for a whole response.
            logger.exception("a request failed")
            self.server.metrics.increment("server.connection_errors")
            self.conn.abort()
            self.close_connection = True
        finally:
            if self.close_connection:
                self.conn.end_writing()
            self.turn.finish()
            self.conn.note_finished()

    def send_headers(self):
        """Send the head of the response in its turn."""
        self.turn.wait()
        if self.conn.ended:
            raise ConnectionError("an earlier response ended the connection")
        if not self.server.keep_alive_enabled and not self.conn.has_later(self.turn):
            self.close_connection = True
        super().send_headers()

    def simple_response(self, status, msg=""):
        """Send an error that the server found itself, in its turn.

        Parameters
        ----------
        status : str
            Code and phrase.
        msg : str, default=""
            Detail for a person.
        """
        self.turn.wait()
        if not self.conn.ended:
            super().simple_response(status, msg)


class PipelinedConnection(EntryConnection):
    """A caller's connection that reads on while requests are worked on.

    Parameters
    ----------
    server : RoutedServer
        The server.
    sock : socket.socket
        The connection.
    makefile : callable or None, default=None
        Not used; the connection brings its own file objects.
    """

    RequestHandlerClass = PipelinedRequest

    def __init__(self, server, sock, makefile=None):
        super().__init__(server, sock, makefile)
        self.ended = False
        self.request = None
        self._last = None
        self._places = threading.Semaphore(MAX_SIDE_BY_SIDE)
        self._working = 0
        self._lock = threading.Lock()

    @property
    def is_idle(self):
        """Tell whether no request is worked on."""
        return self._working == 0

    def take_turn(self):
        """Return the place of the next response.

        Returns
        -------
        Turn
            It comes after all earlier ones.
        """
        self._last = Turn(self._last)
        return self._last

    def has_later(self, turn):
        """Tell whether a later request was read.

        Parameters
        ----------
        turn : Turn
            A place.

        Returns
        -------
        bool
            True when another response follows it.
        """
        return self._last is not turn and self._working > 1

    @contextlib.contextmanager
    def mark_working(self):
        """Count a request that runs in the reading thread while it runs."""
        with self._lock:
            self._working += 1
        try:
            yield
        finally:
            with self._lock:
                self._working -= 1

    def run_beside(self, work):
        """Run a request in a thread of its own.

        Parameters
        ----------
        work : callable
            Called once.
        """
        self._places.acquire()
        with self._lock:
            self._working += 1
        self.server.workers.submit(work)

    def note_finished(self):
        """Count the end of a request that ran in a thread of its own."""
        with self._lock:
            self._working -= 1
        self._places.release()

    def end_writing(self):
        """Tell the caller that no further response follows."""
        self.ended = True
        # The caller closes in turn, which ends the reading thread.
        how = socket.SHUT_RDWR if self.aborted else socket.SHUT_WR
        try:
            self.socket.shutdown(how)
        except OSError as error:
            logger.debug("a connection was closed by its caller: %s", error)

    def communicate(self):
        """Read one request and start to work on it.

        Returns
        -------
        bool
            False when the connection is to be closed.
        """
        if self.ended:
            return False
        keeps = super().communicate()
        request = self.request
        if not request.runs_beside:
            request.turn.finish()
        return keeps and not self.ended

    def close(self):
        """Close after the requests in work have been answered."""
        last = self._last
        if last is not None and not self.is_idle:
            last.wait_done()
        super().close()


class RoutedServer(EntryServer):
    """Server for callers that may send several requests at once.

    Parameters
    ----------
    address : str
        ``ip:port`` to listen on.
    application : callable
        WSGI application.
    settings : object
        Bounds and timeouts.
    metrics : Metrics
        Counters.
    """

    ConnectionClass = PipelinedConnection

    def __init__(self, address, application, settings, metrics):
        super().__init__(address, application, settings, metrics)
        self.workers = ThreadPoolExecutor(MAX_WORKERS, "request")

    @property
    def can_add_keepalive_connection(self):
        """Return True; each request decides whether it ends its connection."""
        return True

    def apply_limits(self, limits):
        """Put the bounds on callers in force.

        Parameters
        ----------
        limits : CallerLimits
            The bounds.
        """
        self.max_request_header_size = limits.header_bytes
        # The application refuses larger bodies itself.
        self.max_request_body_size = 0
        self.timeout = limits.header_timeout_s
        self.keep_alive_timeout = limits.idle_timeout_s

    def close_idle(self):
        """End the connections on which no request is worked on."""
        for connection in self.requests.list_connections():
            if connection.is_idle:
                connection.end_writing()
