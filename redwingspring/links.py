"""Outgoing connections to peers, each with its own thread."""

import logging
import queue
import random
import socket
import threading

import tenacity

from .frames import NONCE_BYTES, FrameError, FrameWriter, read_exactly

logger = logging.getLogger(__name__)

QUEUE_LENGTH = 256
CONNECT_TIMEOUT_S = 1.0
# A peer that accepts no data for this long is considered lost.
SEND_TIMEOUT_S = 3.0
# Reconnecting after a partition must take well under the 4 s within which a new
# configuration has to be in force on all hosts.
MAX_RECONNECT_DELAY_S = 1.0


class PeerLink:
    """Connection to one peer address, which a thread opens and reopens.

    Parameters
    ----------
    address : str
        ``ip:port`` of the peer.
    key : bytes
        Shared key of all hosts.
    name : str
        Name of this host.
    hello : Hello
        Sent first on each connection.
    metrics : Metrics
        Counters.
    source : str
        Local IP address that connections are bound to.
    """

    def __init__(self, address, key, name, hello, metrics, source):
        self.address = address
        self._key = key
        self._name = name
        self._hello = hello
        self._metrics = metrics
        self._source = source
        self._closed = threading.Event()
        # None while there is no connection. Each connection has its own queue, so
        # that messages queued for a lost connection are not sent on the next one.
        self._queue = None

    @property
    def connected(self):
        """Tell whether messages can be sent."""
        return self._queue is not None

    def put(self, body):
        """Queue a message without blocking.

        Parameters
        ----------
        body : object
            One of the body classes of ``messages``.

        Returns
        -------
        bool
            False when there is no connection or its queue is full.
        """
        pending = self._queue
        if pending is None:
            return False
        # Concurrent senders may exceed the limit by a few messages, since the
        # check and put() are not atomic.
        if pending.qsize() >= QUEUE_LENGTH:
            self._metrics.increment("peers.queue_full")
            return False
        pending.put(body)
        return True

    def start(self):
        """Start the thread that connects and sends."""
        threading.Thread(
            target=self._run, name=f"peer-sender-{self.address}", daemon=True
        ).start()

    def close(self):
        """Ask the thread to close the connection and end."""
        self._closed.set()

    def _run(self):
        while not self._closed.is_set():
            sock = self._connect()
            if sock is None:
                return
            try:
                with sock:
                    self._send_messages(sock)
            except (OSError, EOFError, FrameError) as error:
                self._metrics.increment("peers.connections_lost")
                logger.debug("connection to %s lost: %s", self.address, error)
            finally:
                self._queue = None
            # Random, so that the hosts don't reconnect at the same time to a peer
            # that closes each connection immediately.
            self._closed.wait(random.uniform(0.05, 0.2))

    def _connect(self):
        """Return a connected socket, or None if the link has been closed."""
        retrying = tenacity.Retrying(
            retry=tenacity.retry_if_exception_type(OSError),
            wait=tenacity.wait_random_exponential(
                multiplier=0.1, max=MAX_RECONNECT_DELAY_S
            ),
            stop=tenacity.stop_when_event_set(self._closed),
            sleep=tenacity.sleep_using_event(self._closed),
            retry_error_callback=lambda state: None,
        )
        return retrying(self._open_socket)

    def _open_socket(self):
        host, port = self.address.rsplit(":", 1)
        # Bound to this host's address, so that peers and packet filters can identify
        # the host.
        source = (self._source, 0)
        sock = socket.create_connection((host, int(port)), CONNECT_TIMEOUT_S, source)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # After a long partition, a connection would otherwise wait for the
        # retransmission timer, which backs off to minutes.
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(SEND_TIMEOUT_S * 1000)
        )
        return sock

    def _send_messages(self, sock):
        nonce = read_exactly(sock, NONCE_BYTES)
        sock.settimeout(SEND_TIMEOUT_S)
        writer = FrameWriter(sock, self._key, nonce, self._name)
        sent = writer.write(self._hello)
        pending = self._queue = queue.SimpleQueue()
        self._metrics.increment("peers.connections_opened")
        while not self._closed.is_set():
            self._metrics.increment("peers.bytes_sent", sent)
            sent = 0
            try:
                body = pending.get(timeout=1.0)
            except queue.Empty:
                continue
            sent = writer.write(body)
