"""Graceful shutdown of the server for callers."""

import time

# Callers' clocks and their way to this host may add a little to the time
# that they keep an address.
KEEP_MARGIN_S = 5.0
QUIET_S = 1.0
# Health checks and callers that ignore the keep time never fall silent. They
# may be refused a connection, which proves that their request did not run.
MAX_QUIET_WAIT_S = 10.0
POLL_S = 0.05


def drain_server(server, keep_time):
    """Stop accepting when no caller uses the address, then wait for the rest.

    Parameters
    ----------
    server : EntryServer
        The server.
    keep_time : float
        Seconds that callers keep an address.
    """
    server.keep_alive_enabled = False
    margin = KEEP_MARGIN_S if keep_time else 0.0
    time.sleep(keep_time + margin)
    end = time.monotonic() + MAX_QUIET_WAIT_S
    while time.monotonic() < min(end, server.last_accept + QUIET_S):
        time.sleep(POLL_S)
    server.close_listener()
    while server.requests.count:
        time.sleep(POLL_S)
