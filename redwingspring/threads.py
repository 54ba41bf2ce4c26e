"""Daemon threads of a process."""

import logging
import threading

logger = logging.getLogger(__name__)

RESTART_DELAY_S = 1.0


def start_thread(name, target, *args):
    """Run a function in a daemon thread.

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
    """Run a function in a daemon thread; restart it after an exception.

    Parameters
    ----------
    name : str
        Name of the thread.
    target : callable
        The function, called with ``args`` and ``stopping``; returns when
        ``stopping`` is set.
    stopping : threading.Event
        Set when the process stops.
    metrics : Metrics
        Counters.
    *args : object
        Arguments that precede ``stopping``.
    """

    def _run():
        while not stopping.is_set():
            try:
                target(*args, stopping)
            except Exception:
                # Without its heartbeat or watch threads, a host would look healthy
                # while its state becomes stale.
                metrics.increment("process.thread_failures")
                logger.exception("restarting a thread after an unexpected error")
                stopping.wait(RESTART_DELAY_S)

    start_thread(name, _run)
