"""Peer network of entry hosts: sends messages and dispatches received ones."""

import logging
import secrets
import socket
import threading
import time

from .errors import StartError
from .frames import NONCE_BYTES, FrameError, FrameReader
from .links import PeerLink
from .messages import Hello

logger = logging.getLogger(__name__)

MAX_ACCEPTED_CONNECTIONS = 512
# Accepted connections whose first frame has not been authenticated yet.
MAX_UNAUTHENTICATED = 64
AUTHENTICATION_TIMEOUT_S = 2.0
MAX_HELLO_BYTES = 4 << 10
# Peers send heartbeats every 250 ms, so a connection without data is considered lost.
IDLE_TIMEOUT_S = 10.0
LISTEN_BACKLOG = 128


class PeerNetwork:
    """All connections between this host and its peers.

    Parameters
    ----------
    name : str
        Name of this host.
    key : str
        Shared secret of all hosts.
    hello : Hello
        Describes this host to its peers; sent first on each connection.
    metrics : Metrics
        Counters.
    listen : str or None, default=None
        ``ip:port`` to listen on; ``hello.peer_address`` when None.
    """

    def __init__(self, name, key, hello, metrics, listen=None):
        self.name = name
        self._listen = listen or hello.peer_address
        self._key = key.encode()
        self._hello = hello
        self._metrics = metrics
        self._handlers = {}
        self._lock = threading.Lock()
        self._links = {}
        self._addresses = {}
        self._accepted = set()
        self._unauthenticated = 0
        self._listener = None
        self._stopped = False

    def register(self, body_class, handler):
        """Set the handler of a message class.

        Parameters
        ----------
        body_class : type
            One of the body classes of ``messages``.
        handler : callable
            Called as ``handler(sender_name, body)`` in the reader thread of
            the connection, for one message of a connection at a time.
        """
        self._handlers[body_class] = handler

    def send(self, host_name, body):
        """Queue a message for one host without blocking.

        Parameters
        ----------
        host_name : str
            Name of the host.
        body : object
            One of the body classes of ``messages``.

        Returns
        -------
        bool
            False when there is no connection or its queue is full.
        """
        link = self._links.get(self._addresses.get(host_name))
        return link is not None and link.put(body)

    def broadcast(self, body):
        """Queue a message for every connected host.

        Parameters
        ----------
        body : object
            One of the body classes of ``messages``.

        Returns
        -------
        int
            Number of hosts that the message was queued for.
        """
        return sum(link.put(body) for link in tuple(self._links.values()))

    def set_peers(self, addresses, seeds=()):
        """Set the hosts to connect to.

        Parameters
        ----------
        addresses : mapping of str to str
            Peer address of each host by name.
        seeds : iterable of str, default=()
            Peer addresses of hosts whose names are not known yet.
        """
        addresses = {n: a for n, a in addresses.items() if n != self.name}
        wanted = {*addresses.values(), *seeds} - {self._hello.peer_address}
        source = self._listen.rsplit(":", 1)[0]
        with self._lock:
            if self._stopped:
                return
            links = {a: link for a, link in self._links.items() if a in wanted}
            closed = [link for a, link in self._links.items() if a not in wanted]
            opened = [
                PeerLink(a, self._key, self.name, self._hello, self._metrics, source)
                for a in wanted - links.keys()
            ]
            links.update((link.address, link) for link in opened)
            self._links = links
            self._addresses = addresses
        for link in closed:
            link.close()
        for link in opened:
            link.start()

    def start(self):
        """Open the listener and start accepting connections.

        Raises
        ------
        StartError
            If the peer address cannot be listened on.
        """
        address = self._listen
        host, _, port = address.rpartition(":")
        try:
            self._listener = socket.create_server(
                (host, int(port)), backlog=LISTEN_BACKLOG
            )
        except (OSError, ValueError) as error:
            raise StartError(
                f"cannot listen for peers on {address}: {error}"
            ) from error
        threading.Thread(target=self._accept, name="peer-accept", daemon=True).start()

    def stop(self):
        """Close the listener and all connections."""
        with self._lock:
            self._stopped = True
            links, self._links = self._links, {}
            accepted = tuple(self._accepted)
        for link in links.values():
            link.close()
        sockets = [*accepted]
        if self._listener is not None:
            sockets.append(self._listener)
        for sock in sockets:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # Already closed by its reader thread or the peer.

    def _accept(self):
        while not self._stopped:
            try:
                sock, address = self._listener.accept()
            except OSError as error:
                if self._stopped:
                    self._listener.close()
                    return
                # For example, no file descriptors are left. The pause prevents a
                # busy loop.
                logger.warning("cannot accept a peer connection: %s", error)
                time.sleep(0.1)
                continue
            if not self._admit(sock):
                self._metrics.increment("peers.refused_connections")
                sock.close()
                continue
            threading.Thread(
                target=self._serve,
                args=(sock,),
                name=f"peer-reader-{address[0]}:{address[1]}",
                daemon=True,
            ).start()

    def _admit(self, sock):
        with self._lock:
            if (
                self._stopped
                or len(self._accepted) >= MAX_ACCEPTED_CONNECTIONS
                or self._unauthenticated >= MAX_UNAUTHENTICATED
            ):
                return False
            self._accepted.add(sock)
            self._unauthenticated += 1
            return True

    def _serve(self, sock):
        authenticated = False
        try:
            with sock:
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                sock.settimeout(AUTHENTICATION_TIMEOUT_S)
                nonce = secrets.token_bytes(NONCE_BYTES)
                sock.sendall(nonce)
                reader = FrameReader(sock, self._key, nonce)
                first = reader.read(
                    MAX_HELLO_BYTES, time.monotonic() + AUTHENTICATION_TIMEOUT_S
                )
                if not isinstance(first.body, Hello) or first.sender == self.name:
                    raise FrameError("bad_hello")
                authenticated = True
                with self._lock:
                    self._unauthenticated -= 1
                sock.settimeout(IDLE_TIMEOUT_S)
                self._dispatch(first)
                while True:
                    self._dispatch(reader.read())
        except FrameError as error:
            self._metrics.increment(f"peers.{error.kind}")
            logger.warning("closed a peer connection: %s", error.kind)
        except (OSError, EOFError):
            self._metrics.increment("peers.connections_ended")
        finally:
            with self._lock:
                self._accepted.discard(sock)
                self._unauthenticated -= not authenticated

    def _dispatch(self, envelope):
        handler = self._handlers.get(type(envelope.body))
        if handler is None:
            self._metrics.increment("peers.unhandled")
            return
        try:
            handler(envelope.sender, envelope.body)
        except Exception:
            # An error in one handler must not close the connection, which carries
            # the messages of all handlers.
            self._metrics.increment("peers.handler_errors")
            logger.exception("error while handling a message from %s", envelope.sender)
