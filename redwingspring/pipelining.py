"""HTTP/1.1 pipelining: callers' connections with several requests in progress.

Requests without a body are processed concurrently, each in a worker thread; their
responses are written in the order of the requests.
"""

import logging
import socket
import threading
from concurrent.futures import ThreadPoolExecutor

from .clock import read_clock
from .parsing import EntryRequest
from .server import EntryConnection, EntryServer

logger = logging.getLogger(__name__)

# Requests of one connection that are processed concurrently.
MAX_CONCURRENT_REQUESTS = 16
MAX_WORKERS = 400
# Long responses of the process that are buffered because others follow them. Each holds
# up to exchanges.MAX_BUFFERED_BODY_BYTES.
MAX_LONG_BUFFERS = 32
_BODYLESS_METHODS = frozenset((b"GET", b"HEAD", b"OPTIONS"))


class ResponseTurn:
    """Position of one response in the order of responses on a connection.

    Parameters
    ----------
    previous : ResponseTurn or None
        Turn of the previous response; None for the first one.
    """

    def __init__(self, previous):
        self._previous = previous
        self._finished = threading.Event()

    def wait_for_previous(self):
        """Wait until all earlier responses are written."""
        previous, self._previous = self._previous, None
        if previous is not None:
            previous._finished.wait()

    def finish(self):
        """Allow the next response to be written."""
        self._finished.set()


class PipelinedRequest(EntryRequest):
    """Request whose response is written after all earlier ones.

    Parameters
    ----------
    server : EntryServer
        Server that received the request.
    conn : PipelinedConnection
        Connection on which the request arrived.
    **kwargs : object
        Passed to the base class.
    """

    def __init__(self, server, conn, **kwargs):
        super().__init__(server, conn, **kwargs)
        self.turn = conn.add_turn()
        self.is_concurrent = False
        self.received_at = None
        self._has_long_buffer = False
        conn.request = self

    def respond(self):
        """Run the application, in a worker thread if the request has no body."""
        self.received_at = read_clock()
        if not self.conn.accept_request(self.turn):
            # Its caller takes a request behind the last response for not run.
            self.close_connection = True
            return
        bodyless = self.method in _BODYLESS_METHODS and not self.chunked_read
        if bodyless and int(self.inheaders.get(b"Content-Length", 0)) == 0:
            self.is_concurrent = True
            self.conn.run_concurrently(self._respond_concurrently)
        else:
            self._respond_in_turn()

    def _respond_in_turn(self):
        """Run the application in the thread of the connection."""
        try:
            self.turn.wait_for_previous()
            if self.conn.ended:
                self.close_connection = True
                return
            super().respond()
        finally:
            self._finish()

    def _respond_concurrently(self):
        try:
            if not self.conn.ended:
                super().respond()
        except OSError as error:
            logger.debug("connection to the caller failed: %s", error)
            self.close_connection = True
        except Exception:
            # A reset keeps the caller from accepting a partial response as complete.
            logger.exception("unhandled exception in a request")
            self.server.metrics.increment("server.connection_errors")
            self.conn.abort()
            self.close_connection = True
        finally:
            if self.close_connection:
                self.conn.shut_down_writing()
            self.turn.finish()
            self.conn.release_concurrent()
            self._finish()

    def _finish(self):
        """Release what the request holds."""
        if self._has_long_buffer:
            self.server.long_buffers.release()
        self.conn.finish_request(self.turn)

    def begin_stream(self):
        """Tell whether a long response may be relayed before it is complete.

        It may break off, and the connection then ends. So no request may have been
        passed on behind it, and none is until it is complete. With others behind it,
        it is buffered, so that another attempt can replace it.

        Returns
        -------
        bool
            False if the response must be buffered.
        """
        if self._has_long_buffer:
            return False
        if self.conn.begin_stream(self.turn):
            return True
        self._has_long_buffer = self.server.long_buffers.acquire(blocking=False)
        return not self._has_long_buffer

    def send_headers(self):
        """Send the status line and headers after all earlier responses."""
        self.turn.wait_for_previous()
        if self.conn.ended:
            raise ConnectionError("an earlier response ended the connection")
        if not self.server.keep_alive_enabled:
            self.conn.stop_accepting()
        if self.conn.is_last(self.turn):
            self.close_connection = True
        super().send_headers()

    def simple_response(self, status, msg=""):
        """Send an error response of the server after all earlier responses.

        Parameters
        ----------
        status : str
            Status code and reason phrase.
        msg : str, default=""
            Human-readable detail.
        """
        self.turn.wait_for_previous()
        if not self.conn.ended:
            super().simple_response(status, msg)


class PipelinedConnection(EntryConnection):
    """Connection of a caller that reads further requests while others are processed.

    Parameters
    ----------
    server : RoutedServer
        Server that accepted the connection.
    sock : socket.socket
        Socket of the connection.
    makefile : callable or None, default=None
        Ignored; the connection creates its own file objects.
    """

    RequestHandlerClass = PipelinedRequest

    def __init__(self, server, sock, makefile=None):
        super().__init__(server, sock, makefile)
        self.ended = False
        self.request = None
        self._last_turn = None
        self._concurrency_limit = threading.Semaphore(MAX_CONCURRENT_REQUESTS)
        # The condition guards the attributes below.
        self._changed = threading.Condition()
        self._accepting = True
        self._last_accepted_turn = None
        self._streaming_turn = None
        self._active_requests = 0

    @property
    def is_idle(self):
        """Tell whether no request is in progress."""
        return self._active_requests == 0

    def add_turn(self):
        """Append a turn for the response of a new request.

        Returns
        -------
        ResponseTurn
            Turn after those of all earlier requests.
        """
        self._last_turn = ResponseTurn(self._last_turn)
        return self._last_turn

    def accept_request(self, turn):
        """Accept a request that was read, unless the connection is closing.

        An accepted request is passed on and gets a response, so the connection stays
        open until then. While a response is streamed, this method waits.

        Parameters
        ----------
        turn : ResponseTurn
            Turn of its response.

        Returns
        -------
        bool
            False if the request must be dropped.
        """
        with self._changed:
            self._changed.wait_for(lambda: self._streaming_turn is None)
            if self.ended or not self._accepting:
                return False
            self._last_accepted_turn = turn
            self._active_requests += 1
            return True

    def stop_accepting(self):
        """Drop all requests from now on that have not been accepted.

        Returns
        -------
        bool
            True if no accepted request is in progress.
        """
        with self._changed:
            self._accepting = False
            return self._active_requests == 0

    def is_last(self, turn):
        """Tell whether no response follows one, now or later.

        Parameters
        ----------
        turn : ResponseTurn
            Turn of the response.

        Returns
        -------
        bool
            True if the connection closes after the response.
        """
        with self._changed:
            return not self._accepting and self._last_accepted_turn is turn

    def begin_stream(self, turn):
        """Accept no request until a response is complete, if none follows it yet.

        Parameters
        ----------
        turn : ResponseTurn
            Turn of the response.

        Returns
        -------
        bool
            False if a request that follows it was accepted.
        """
        with self._changed:
            if self._last_accepted_turn is not turn:
                return False
            self._streaming_turn = turn
            return True

    def run_concurrently(self, process):
        """Run a request in a worker thread, waiting while too many are in progress.

        Parameters
        ----------
        process : callable
            Processes the request; called once without arguments.
        """
        self._concurrency_limit.acquire()
        self.server.workers.submit(process)

    def release_concurrent(self):
        """Let another request run in a worker thread."""
        self._concurrency_limit.release()

    def finish_request(self, turn):
        """Record that an accepted request has ended.

        Parameters
        ----------
        turn : ResponseTurn
            Turn of its response.
        """
        with self._changed:
            self._active_requests -= 1
            if self._streaming_turn is turn:
                self._streaming_turn = None
            self._changed.notify_all()

    def drain(self):
        """Accept no further request; shut down if none is in progress."""
        if self.stop_accepting():
            self.shut_down_writing()

    def shut_down_writing(self):
        """Shut down writing: no further response follows."""
        self.ended = True
        # The caller then closes its side, which ends this connection's thread.
        how = socket.SHUT_RDWR if self.aborted else socket.SHUT_WR
        try:
            self.socket.shutdown(how)
        except OSError as error:
            logger.debug("the caller has already closed its connection: %s", error)

    def communicate(self):
        """Read one request and start processing it.

        Returns
        -------
        bool
            False if the connection must be closed.
        """
        if self.ended:
            return False
        keep_open = super().communicate()
        request = self.request
        if not request.is_concurrent:
            request.turn.finish()
        return keep_open and not self.ended

    def close(self):
        """Close the connection after the requests in progress have been answered.

        A request in progress uses the socket also if its caller has hung up. Closed
        earlier, its descriptor could already belong to another caller.
        """
        with self._changed:
            self._changed.wait_for(lambda: self.is_idle)
        super().close()


class RoutedServer(EntryServer):
    """Server for callers that may pipeline requests.

    Parameters
    ----------
    address : str
        ``ip:port`` to listen on.
    application : callable
        WSGI application.
    settings : object
        Limits and timeouts.
    metrics : Metrics
        Counters of refused requests and connection errors.
    listener : socket.socket or None, default=None
        Socket that already listens on the address.
    """

    ConnectionClass = PipelinedConnection

    def __init__(self, address, application, settings, metrics, listener=None):
        super().__init__(address, application, settings, metrics, listener)
        self.workers = ThreadPoolExecutor(MAX_WORKERS, "request")
        self.long_buffers = threading.Semaphore(MAX_LONG_BUFFERS)

    @property
    def can_add_keepalive_connection(self):
        """Return True; each request decides whether to close its connection."""
        return True

    def apply_limits(self, limits):
        """Apply new limits on callers.

        Parameters
        ----------
        limits : CallerLimits
            Limits and timeouts.
        """
        self.max_request_header_size = limits.header_bytes
        # 0 turns the check off; the application limits the size of bodies.
        self.max_request_body_size = 0
        self.timeout = limits.header_timeout_s
        self.keep_alive_timeout = limits.idle_timeout_s

    def drain_connections(self):
        """Accept no further request; shut down the idle connections."""
        for connection in self.requests.list_connections():
            connection.drain()
