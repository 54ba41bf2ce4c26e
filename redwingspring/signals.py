"""Signals of a process with threads."""

import contextlib
import select
import signal
import socket
import threading

from .threads import start_thread

READ_SIZE = 64


def handle_signals(wait):
    """Run signal handlers in the main thread until a call returns.

    Python runs the handlers in the main thread only, but the kernel may deliver a
    signal to any thread; it does so when the process was suspended. A main thread
    that waits for a lock would then never run the handler. Here it waits for a
    descriptor to which the signal is written whichever thread receives it.

    Parameters
    ----------
    wait : callable
        Returns when the process stops; called in another thread.
    """
    reader, writer = socket.socketpair()
    reader.setblocking(False)
    writer.setblocking(False)
    stopped = threading.Event()

    def _wait_and_wake():
        wait()
        stopped.set()
        with contextlib.suppress(OSError):
            writer.send(b"\0")

    previous = signal.set_wakeup_fd(writer.fileno(), warn_on_full_buffer=False)
    try:
        start_thread("stop", _wait_and_wake)
        while not stopped.is_set():
            select.select([reader], [], [])
            with contextlib.suppress(BlockingIOError):
                reader.recv(READ_SIZE)
    finally:
        signal.set_wakeup_fd(previous)
        reader.close()
        writer.close()
