"""Polling of several exchanges and of the connection of their caller."""

import select


def poll_exchanges(exchanges, timeout_s, caller_socket=None):
    """Wait until at least one of several exchanges can proceed.

    Parameters
    ----------
    exchanges : list of Exchange
        Exchanges that wait for their targets.
    timeout_s : float
        Maximum wait in seconds.
    caller_socket : socket.socket or None, default=None
        Connection of the caller, polled for a hang-up.

    Returns
    -------
    tuple of (list of Exchange, bool)
        Exchanges that can proceed, and whether the caller hung up.
    """
    poller = select.poll()
    by_fd = {}
    for exchange in exchanges:
        by_fd[exchange.fileno()] = exchange
        poller.register(exchange.fileno(), exchange.events)
    caller_fd = -1
    if caller_socket is not None:
        caller_fd = caller_socket.fileno()
        if caller_fd < 0:
            return [], True
        poller.register(caller_fd, select.POLLRDHUP)
    ready_fds = [fd for fd, _ in poller.poll(max(0.0, timeout_s) * 1000)]
    return [by_fd[fd] for fd in ready_fds if fd in by_fd], caller_fd in ready_fds
