"""Waits for several exchanges and for the hang-up of their caller."""

import select


def poll_exchanges(exchanges, timeout_s, caller_socket=None):
    """Wait until one of several exchanges can go on.

    Parameters
    ----------
    exchanges : list of Exchange
        Exchanges that wait for their targets.
    timeout_s : float
        Longest wait in seconds.
    caller_socket : socket.socket or None, default=None
        Watched for a hang-up of the caller.

    Returns
    -------
    tuple of (list of Exchange, bool)
        Those that can go on, and whether the caller hung up.
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
    ready = [fd for fd, _ in poller.poll(max(0.0, timeout_s) * 1000)]
    return [by_fd[fd] for fd in ready if fd in by_fd], caller_fd in ready
