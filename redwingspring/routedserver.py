"""Server of a host that follows a store, for callers that may pipeline requests."""

import threading
from concurrent.futures import ThreadPoolExecutor

from .pipelining import PipelinedConnection
from .server import EntryServer

MAX_WORKERS = 400
# Long responses of the process that are buffered because others follow them. Each holds
# up to exchanges.MAX_BUFFERED_BODY_BYTES.
MAX_LONG_BUFFERS = 32


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
    shutdown : Shutdown
        Shutdown of the host.
    listener : socket.socket or None, default=None
        Socket that already listens on the address.
    """

    ConnectionClass = PipelinedConnection

    def __init__(
        self, address, application, settings, metrics, shutdown, listener=None
    ):
        super().__init__(address, application, settings, metrics, listener)
        self.shutdown = shutdown
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
        """Close the connections that the shutdown allows to close now.

        Returns
        -------
        int
            Number of connections for which the process still has to wait.
        """
        connections = self.requests.list_connections()
        return sum(not connection.drain() for connection in connections)

    def count_unanswered(self):
        """Return the number of requests that were read and are not answered yet.

        Returns
        -------
        int
            Number of requests.
        """
        connections = self.requests.list_connections()
        return sum(connection.active_requests for connection in connections)
