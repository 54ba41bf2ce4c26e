"""Process startup: fast imports, and signals that arrive during them."""

import contextlib
import gc
import os
import signal


@contextlib.contextmanager
def pause_gc():
    """Disable garbage collection during imports, then freeze what they created.

    Collections free nothing while modules are imported, but take a third of the time
    until a restarted host serves callers again.
    """
    gc.disable()
    try:
        yield
    finally:
        gc.freeze()
        gc.enable()


class DeferredSignal:
    """Defers a signal until its handler has been imported.

    The default action of the signal would end the process in the meantime.

    Parameters
    ----------
    number : signal.Signals
        The signal.
    """

    def __init__(self, number):
        self._number = number
        self._arrived = False
        signal.signal(number, self._record_arrival)

    def _record_arrival(self, *_):
        self._arrived = True

    def set_handler(self, handler):
        """Install a handler; call it now if the signal has already arrived.

        Parameters
        ----------
        handler : callable
            Called with the signal number and the stack frame, which is None for a
            deferred signal.
        """
        signal.signal(self._number, handler)
        if self._arrived:
            handler(self._number, None)

    def restore_default(self):
        """Restore the default action; raise the signal again if it has arrived."""
        signal.signal(self._number, signal.SIG_DFL)
        if self._arrived:
            os.kill(os.getpid(), self._number)
