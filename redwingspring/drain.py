"""Graceful shutdown of the server that accepts callers."""

import time

# Clock drift and network latency may lengthen the time for which callers cache an
# address.
KEEP_MARGIN_S = 5.0
# The listener is closed when no connection has been accepted for this long.
IDLE_PERIOD_S = 1.0
# Health checks and callers that ignore the cache time never stop connecting. Their
# connections may be refused, since that proves that the request did not run.
MAX_IDLE_WAIT_S = 10.0
POLL_INTERVAL_S = 0.05


def drain_server(server, keep_s):
    """Close the listener once callers stop connecting, then finish the requests.

    Parameters
    ----------
    server : EntryServer
        The server.
    keep_s : float
        How long callers may cache the address, in seconds.
    """
    server.keep_alive_enabled = False
    margin = KEEP_MARGIN_S if keep_s else 0.0
    time.sleep(keep_s + margin)
    end = time.monotonic() + MAX_IDLE_WAIT_S
    while time.monotonic() < min(end, server.last_accept + IDLE_PERIOD_S):
        time.sleep(POLL_INTERVAL_S)
    server.close_listener()
    while server.requests.count:
        time.sleep(POLL_INTERVAL_S)
