"""Time that also passes while the process or its host is suspended."""

import time


def read_clock():
    """Return the seconds since the host started.

    The steady clock of ``time.monotonic`` stops while a host is suspended, so a
    deadline on it would be met too late; the time of day may step.

    Returns
    -------
    float
        Seconds, time of suspension included.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
