"""Start of a process: loading in the least time, and signals that come meanwhile."""

import contextlib
import gc
import os
import signal


@contextlib.contextmanager
def pause_gc():
    """Load without garbage collection, and leave out of it what was loaded.

    Collections find nothing while modules load, but take a third of the time until
    a restarted host serves its callers again.
    """
    gc.disable()
    try:
        yield
    finally:
        gc.freeze()
        gc.enable()


class DeferredSignal:
    """Keeps a signal whose handler is not loaded yet, instead of dying of it.

    Parameters
    ----------
    number : signal.Signals
        The signal.
    """

    def __init__(self, number):
        self._number = number
        self._arrived = False
        signal.signal(number, self._note)

    def _note(self, *_):
        self._arrived = True

    def set_handler(self, handler):
        """Let a handler take the signal from now on, and what arrived before.

        Parameters
        ----------
        handler : callable
            Takes the number and the frame.
        """
        signal.signal(self._number, handler)
        if self._arrived:
            handler(self._number, None)

    def restore_default(self):
        """Let the signal have its usual effect, also if it arrived before."""
        signal.signal(self._number, signal.SIG_DFL)
        if self._arrived:
            os.kill(os.getpid(), self._number)
