"""Stand-in for a target."""

from http.server import ThreadingHTTPServer

from .standinhandler import TargetHandler
from .standinrecord import TargetRecord


class TargetStandIn:
    """Runs requests in a bounded number of slots and records them.

    A request may choose its own behaviour in the query: ``fault`` and ``at``,
    ``work_ms``, ``start`` (``head`` or ``body``), ``rate`` (bytes a second),
    ``chunked=1`` and ``close=1``. Paths: ``/download/<size>``, ``/echo``,
    ``/status/<code>``; all others return method, path and body length.
    ``POST /-target/behaviour`` and ``POST /-target/turn`` change the target,
    ``GET /-target/records`` returns its record, ``POST /-target/clear``
    empties it.

    Parameters
    ----------
    address : str
        ``ip:port`` to listen on.
    behaviour : TargetBehaviour
        How it behaves.
    """

    def __init__(self, address, behaviour):
        host, port = address.rsplit(":", 1)
        self.record = TargetRecord(behaviour)
        self._server = _Server((host, int(port)), TargetHandler)
        self._server.record = self.record

    @property
    def address(self):
        """``ip:port`` where the target listens."""
        host, port = self._server.server_address
        return f"{host}:{port}"

    def run(self):
        """Serve until ``stop`` or the end of the process."""
        self._server.serve_forever(poll_interval=0.05)

    def stop(self):
        """Stop accepting connections."""
        self._server.shutdown()
        self._server.server_close()


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    block_on_close = False
    request_queue_size = 512

    def handle_error(self, request, client_address):
        """Ignore connections that callers cut."""
