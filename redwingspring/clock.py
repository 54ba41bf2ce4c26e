"""Monotonic clock that includes the time while the host is suspended."""

import time


def read_clock():
    """Return the time since the host booted.

    ``time.monotonic`` stops while the host is suspended, so deadlines based on it
    would pass too late. The wall clock may jump.

    Returns
    -------
    float
        Time in seconds, including suspension.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
