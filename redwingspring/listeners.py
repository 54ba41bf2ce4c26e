"""Listening sockets that are opened before the rest of the process is imported.

Load pattern: all hosts lose power or are killed at once, and their callers connect
again while the processes start. A port without a listener resets these connections,
and a caller has few retries. Connections to an open listener wait in its queue for the
rest of the start instead.
"""

import socket

from .errors import StartError

# Connections that may wait for the server to accept them.
LISTEN_BACKLOG = 1024


def open_listener(address):
    """Open a listening socket.

    Parameters
    ----------
    address : str
        ``ip:port`` to listen on.

    Returns
    -------
    socket.socket
        The socket, which nothing accepts connections from yet.

    Raises
    ------
    StartError
        If the address cannot be listened on.
    """
    host, port = address.rsplit(":", 1)
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        listener.bind((host, int(port)))
        listener.listen(LISTEN_BACKLOG)
    except OSError as error:
        listener.close()
        raise StartError(f"cannot listen on {address}: {error}") from error
    return listener
