"""Threads of a process that run until it stops."""

import logging
import threading

logger = logging.getLogger(__name__)

RESTART_PAUSE_S = 1.0


def start_thread(name, target, *args):
    """Run a function in a thread that does not keep the process alive.

    Parameters
    ----------
    name : str
        Name of the thread.
    target : callable
        The function.
    *args : object
        Its arguments.
    """
    threading.Thread(target=target, args=args, name=name, daemon=True).start()


def run_supervised(name, target, stopping, metrics, *args):
    """Run a function in a thread; call it again after an unexpected error.

    Parameters
    ----------
    name : str
        Name of the thread.
    target : callable
        Called with ``args`` and ``stopping``; returns when that is set.
    stopping : threading.Event
        Set when the process stops.
    metrics : Metrics
        Counters.
    *args : object
        First arguments of the function.
    """

    def _run():
        while not stopping.is_set():
            try:
                target(*args, stopping)
            except Exception:
                # A host without heartbeats or watches would look healthy while
                # its knowledge ages.
                metrics.increment("process.thread_failures")
                logger.exception("restarting a thread")
                stopping.wait(RESTART_PAUSE_S)

    start_thread(name, _run)
