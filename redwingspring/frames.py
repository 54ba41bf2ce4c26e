"""Authenticated frames between entry hosts.

The accepting side of a connection sends a random nonce first. Each frame is a
4-byte length, an HMAC-SHA256 over nonce and payload, and the payload. The nonce
prevents the replay of a whole connection, and the sequence number in the payload
the replay of single frames.
"""

import hashlib
import hmac
import struct
import time

from .errors import RedwingspringError
from .messages import (
    PROTOCOL_VERSION,
    Envelope,
    MessageError,
    decode_envelope,
    encode_envelope,
)

NONCE_BYTES = 16
MAX_FRAME_BYTES = 2 << 20
_LENGTH = struct.Struct("!I")
_HMAC_BYTES = hashlib.sha256().digest_size


class FrameError(RedwingspringError):
    """A frame of a peer connection is invalid or not authentic.

    Parameters
    ----------
    kind : str
        Kind of fault, such as ``bad_hmac``; last part of the name of its counter.
    """

    def __init__(self, kind):
        self.kind = kind
        super().__init__(kind)


def read_exactly(sock, count, deadline=None):
    """Read a given number of bytes from a socket.

    Parameters
    ----------
    sock : socket.socket
        The socket. Its timeout limits each wait for data; a deadline replaces it.
    count : int
        Number of bytes.
    deadline : float or None, default=None
        Monotonic time in seconds at which the call times out.

    Returns
    -------
    bytearray
        Exactly ``count`` bytes.

    Raises
    ------
    EOFError
        If the peer closed the connection.
    OSError
        If the connection failed or timed out.
    """
    data = bytearray(count)
    view = memoryview(data)
    while view:
        if deadline is not None:
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                raise TimeoutError("the peer did not send the data before the deadline")
            sock.settimeout(remaining)
        received = sock.recv_into(view)
        if not received:
            raise EOFError
        view = view[received:]
    return data


def _compute_hmac(key, nonce, payload):
    return hmac.digest(key, nonce + payload, "sha256")


class FrameWriter:
    """Writes the frames of one connection.

    Parameters
    ----------
    sock : socket.socket
        The connection.
    key : bytes
        Shared key of all hosts.
    nonce : bytes
        Nonce that the accepting side sent.
    sender : str
        Name of this host.
    """

    def __init__(self, sock, key, nonce, sender):
        self._sock = sock
        self._key = key
        self._nonce = bytes(nonce)
        self._sender = sender
        self._sequence = 0

    def write(self, body):
        """Send one message.

        Parameters
        ----------
        body : object
            One of the body classes of ``messages``.

        Returns
        -------
        int
            Size of the frame in bytes.

        Raises
        ------
        FrameError
            If the message is too large.
        OSError
            If the connection failed.
        """
        self._sequence += 1
        payload = encode_envelope(
            Envelope(PROTOCOL_VERSION, self._sender, self._sequence, time.time(), body)
        )
        if len(payload) > MAX_FRAME_BYTES:
            raise FrameError("bad_length")
        mac = _compute_hmac(self._key, self._nonce, payload)
        frame = b"".join((_LENGTH.pack(len(payload)), mac, payload))
        self._sock.sendall(frame)
        return len(frame)


class FrameReader:
    """Reads and checks the frames of one connection.

    Parameters
    ----------
    sock : socket.socket
        The connection.
    key : bytes
        Shared key of all hosts.
    nonce : bytes
        Nonce that this side sent.
    """

    def __init__(self, sock, key, nonce):
        self._sock = sock
        self._key = key
        self._nonce = bytes(nonce)
        self._sequence = 0
        self._sender = None

    def read(self, limit=MAX_FRAME_BYTES, deadline=None):
        """Return the next message.

        Parameters
        ----------
        limit : int, default=MAX_FRAME_BYTES
            Largest payload in bytes.
        deadline : float or None, default=None
            Monotonic time in seconds at which the call times out.

        Returns
        -------
        Envelope
            Authenticated, from the same sender as the messages before it and with a
            higher sequence number.

        Raises
        ------
        FrameError
            If the frame is invalid or not authentic; the connection must be closed.
        EOFError
            If the peer closed the connection.
        OSError
            If the connection failed.
        """
        header = read_exactly(self._sock, _LENGTH.size + _HMAC_BYTES, deadline)
        (length,) = _LENGTH.unpack_from(header)
        if not 0 < length <= limit:
            raise FrameError("bad_length")
        payload = bytes(read_exactly(self._sock, length, deadline))
        mac = _compute_hmac(self._key, self._nonce, payload)
        if not hmac.compare_digest(mac, bytes(header[_LENGTH.size :])):
            raise FrameError("bad_hmac")
        try:
            envelope = decode_envelope(payload)
        except MessageError as error:
            raise FrameError("bad_payload") from error
        if envelope.version != PROTOCOL_VERSION:
            raise FrameError("bad_version")
        if envelope.sequence <= self._sequence:
            raise FrameError("bad_sequence")
        if self._sender not in (None, envelope.sender):
            raise FrameError("bad_sender")
        self._sequence = envelope.sequence
        self._sender = envelope.sender
        return envelope
