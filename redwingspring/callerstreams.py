"""Readers and writers of callers' connections."""

import fcntl
import io
import select
import socket
import struct
import termios
import time

# Interval at which a read asks whether it may still wait.
WAIT_CHECK_INTERVAL_S = 0.1


class DeadlineReader(socket.SocketIO):
    """Raw socket reader with an optional deadline and a non-blocking mode.

    Attributes
    ----------
    deadline : float or None
        Monotonic time in seconds by which all reads must end.
    nonblocking : bool
        Whether a read without data returns at once.
    may_wait : callable or None
        Tells whether a read with a deadline may still wait for data.
    has_received : bool
        Whether data has arrived since this was reset.
    """

    deadline = None
    nonblocking = False
    may_wait = None
    has_received = False

    def readinto(self, buffer):
        """Read the data that has arrived; wait for at least one byte.

        Parameters
        ----------
        buffer : bytearray
            Filled from its start.

        Returns
        -------
        int or None
            Bytes read, 0 at the end; None in non-blocking mode without data.

        Raises
        ------
        TimeoutError
            If no data arrives until the deadline.
        """
        if self.nonblocking and not is_readable(self._sock):
            return None
        if self.deadline is not None:
            self._prepare_read()
        count = super().readinto(buffer)
        if count:
            self.has_received = True
        return count

    def _prepare_read(self):
        """Set the socket's timeout; wait for data while ``may_wait`` allows it."""
        remaining = self._compute_remaining_s()
        while self.may_wait is not None:
            if is_readable(self._sock, min(remaining, WAIT_CHECK_INTERVAL_S)):
                break
            remaining = self._compute_remaining_s()
        self._sock.settimeout(remaining)

    def _compute_remaining_s(self):
        """Return the seconds left for a read; raise TimeoutError if there are none."""
        remaining = self.deadline - time.monotonic()
        if remaining <= 0 or (self.may_wait is not None and not self.may_wait()):
            # cheroot recognises a timeout by this text.
            raise TimeoutError("timed out")
        return remaining


class SocketWriter:
    """Unbuffered writer.

    Parameters
    ----------
    sock : socket.socket
        Socket to write to.
    """

    def __init__(self, sock):
        self._sock = sock
        self.bytes_written = 0

    def write(self, data):
        """Write all data.

        Parameters
        ----------
        data : bytes
            Bytes to write.

        Returns
        -------
        int
            Number of bytes written.
        """
        self._sock.sendall(data)
        return len(data)


def make_file(sock, mode, size):
    """Return a buffered reader or an unbuffered writer over a socket.

    Parameters
    ----------
    sock : socket.socket
        Socket of the connection.
    mode : str
        ``rb`` for a reader, ``wb`` for a writer.
    size : int
        Size of the reader's buffer in bytes.

    Returns
    -------
    io.BufferedReader or SocketWriter
        The file object.
    """
    # cheroot's own file objects are written in Python and copy each block several
    # times, which dominates the cost of a request.
    if "r" in mode:
        return io.BufferedReader(DeadlineReader(sock, "r"), size)
    return SocketWriter(sock)


def is_readable(sock, timeout_s=0.0):
    """Tell whether a socket has unread data or has ended.

    Parameters
    ----------
    sock : socket.socket
        The socket.
    timeout_s : float, default=0.0
        Seconds to wait for data.

    Returns
    -------
    bool
        False if a read would block.
    """
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLIN)
    return bool(poller.poll(timeout_s * 1000))


def is_delivered(sock):
    """Tell whether the peer's system has received all bytes that were sent.

    Parameters
    ----------
    sock : socket.socket
        The socket.

    Returns
    -------
    bool
        False while bytes are not acknowledged.
    """
    try:
        unacknowledged = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0" * 4)
    except (OSError, ValueError):
        return True
    return struct.unpack("i", unacknowledged)[0] == 0
