"""HTTP/1.1 pipelining: callers' connections with several requests in progress.

Requests without a body are processed concurrently, each in a worker thread; their
responses are written in the order of the requests.
"""

import logging
import socket
import threading

from .callerstreams import is_delivered, is_readable
from .clock import read_clock
from .parsing import EntryRequest
from .server import EntryConnection
from .shutdown import ConnectionAction, ConnectionState

logger = logging.getLogger(__name__)

# Requests of one connection that are processed concurrently.
MAX_CONCURRENT_REQUESTS = 16
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


class _Task:
    """Call that is made once, by the first of several threads."""

    def __init__(self, process):
        self._process = process
        self._taken = threading.Lock()

    def run(self):
        """Make the call unless it was made before."""
        if self._taken.acquire(blocking=False):
            self._process()


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
            # The connection has been closed, or a response states that it closes. The
            # caller knows that a request behind that response has not run.
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
        if self.conn.begin_response(self.turn):
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
        # When the sending side of the connection was shut down.
        self._closed_at = None
        self._last_accepted_turn = None
        # Turn of the last response whose head was sent.
        self._last_begun_turn = None
        # Whether the head of a response stated that the connection closes.
        self._close_sent = False
        self._streaming_turn = None
        self._active_requests = 0
        # Whether a request that was read waits until a streamed response is complete.
        self._is_request_waiting = False

    @property
    def is_idle(self):
        """Tell whether no request is in progress."""
        return self._active_requests == 0

    @property
    def active_requests(self):
        """Number of requests that were accepted and are not answered yet."""
        return self._active_requests

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

        An accepted request gets a response, so the connection stays open until then.
        While a response is streamed, this method waits.

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
            self._is_request_waiting = True
            self._changed.wait_for(lambda: self._streaming_turn is None)
            self._is_request_waiting = False
            self.rfile.raw.has_received = False
            if self.ended or self._is_close_announced:
                return False
            self._last_accepted_turn = turn
            self._active_requests += 1
            return True

    @property
    def _is_close_announced(self):
        """Tell whether a response states that the connection closes, or will do so.

        Otherwise a further request is accepted although the connection is closing, and
        the response to it states the close.
        """
        if self._close_sent:
            return True
        is_begun = self._last_begun_turn is self._last_accepted_turn
        return not self._accepting and self._active_requests > 0 and not is_begun

    def stop_accepting(self):
        """Accept no request behind one whose response can state the close."""
        with self._changed:
            self._accepting = False

    def begin_response(self, turn):
        """Record that the head of a response is sent now.

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
            self._last_begun_turn = turn
            is_last = not self._accepting and self._last_accepted_turn is turn
            self._close_sent |= is_last
            return is_last

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
        task = _Task(process)
        try:
            self.server.workers.submit(task.run)
        except RuntimeError:
            # No thread could be started, but the task stays in the queue of the pool.
            self.server.metrics.increment("server.no_thread")
            task.run()

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
        """Close the connection if the shutdown of the host allows it now.

        Returns
        -------
        bool
            True if the process need not wait for the connection.
        """
        shutdown = self.server.shutdown
        with self._changed:
            # Under the lock, a request is either accepted before the connection is
            # closed, and gets a response, or it is dropped.
            if not shutdown.accepts_request(read_clock()):
                self._accepting = False
            action = shutdown.decide_connection(self._describe_state())
            if action is ConnectionAction.CLOSE:
                self.shut_down_writing()
        return action is ConnectionAction.DONE

    def _describe_state(self):
        try:
            has_unread = self.rfile.raw.has_received or is_readable(self.socket)
        except (OSError, ValueError):
            # The thread of the connection has closed it.
            has_unread = False
        return ConnectionState(
            self._active_requests + self._is_request_waiting,
            has_unread,
            self._closed_at,
            is_delivered(self.socket),
        )

    def shut_down_writing(self):
        """Shut down writing: no further response follows."""
        self.ended = True
        self._closed_at = self._closed_at or read_clock()
        # The caller then closes its side, which ends this connection's thread. That of
        # an aborted connection ends by the end of its own reads, because an orderly end
        # before the reset would make a body without a length look complete.
        how = socket.SHUT_RD if self.aborted else socket.SHUT_WR
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
            self._closed_at = self._closed_at or read_clock()
        super().close()
