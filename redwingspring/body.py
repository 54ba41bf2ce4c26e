"""Request bodies, read from callers' connections."""

import threading
import time

from .upstream import READ_SIZE, CallerGone
from .verdict import Reason


class BodyTooLargeError(CallerGone):
    """A chunked request body exceeds its size limit."""

    reason = Reason.TOO_LARGE
    status = 413


class MalformedBodyError(CallerGone):
    """A request body violates the chunked transfer coding."""

    reason = Reason.MALFORMED


class BufferBudget:
    """Bytes that the buffered bodies of all requests may hold together.

    Parameters
    ----------
    limit : int
        Number of bytes.
    """

    def __init__(self, limit):
        self._lock = threading.Lock()
        self._free = limit

    def take(self, size):
        """Take bytes from the budget.

        Parameters
        ----------
        size : int
            Number of bytes.

        Returns
        -------
        bool
            False if so many are not free; then none is taken.
        """
        with self._lock:
            if size > self._free:
                return False
            self._free -= size
            return True

    def give_back(self, size):
        """Return bytes that were taken.

        Parameters
        ----------
        size : int
            Number of bytes.
        """
        with self._lock:
            self._free += size


class RequestBody:
    """Body of one request, of which the beginning can be buffered and replayed.

    Parameters
    ----------
    stream : file-like
        Stream to read the body from.
    length : int or None
        Declared length in bytes; None for a chunked body.
    limit : int
        Maximum length in bytes.
    deadline : float
        Unix time in seconds by which the body must have arrived.
    set_read_timeout : callable or None, default=None
        Limits the total time of the following reads; takes seconds from now, or
        None to remove the limit.
    clock : callable, default=time.time
        Clock of the deadline; returns a time in seconds.
    budget : BufferBudget or None, default=None
        Budget for the buffered bodies of all requests.
    """

    def __init__(
        self,
        stream,
        length,
        limit,
        deadline,
        set_read_timeout=None,
        clock=time.time,
        budget=None,
    ):
        self._clock = clock
        self._stream = stream
        self._limit = limit
        self._deadline = deadline
        self._set_read_timeout = set_read_timeout or (lambda seconds: None)
        self._budget = budget
        self._reserved_bytes = 0
        self._buffered = []
        self._received_bytes = 0
        self._ended = length == 0
        self._streaming_started = False
        self.length = length

    @property
    def exists(self):
        """Tell whether the request has a body."""
        return self.length != 0

    def buffer(self, limit):
        """Read and buffer the beginning of the body so that it can be replayed.

        Parameters
        ----------
        limit : int
            Number of bytes at which buffering stops; the last block may exceed it. It
            also stops at the first block that the budget for all requests cannot hold.

        Raises
        ------
        CallerGone
            If the body is malformed, too large or ends early.
        TimeoutError
            If the body does not arrive before its deadline.
        """
        may_continue = True
        while may_continue and not self._ended and self._received_bytes < limit:
            data = self._read()
            self._buffered.append(data)
            may_continue = self._reserve(len(data))
        if self._ended:
            # The length of a fully buffered chunked body is now known.
            self.length = self._received_bytes

    def _reserve(self, size):
        """Take bytes from the budget; tell whether they were free."""
        if self._budget is None:
            return True
        if not self._budget.take(size):
            return False
        self._reserved_bytes += size
        return True

    def release(self):
        """Drop the buffered beginning after the last attempt."""
        self._buffered = []
        if self._reserved_bytes:
            self._budget.give_back(self._reserved_bytes)
            self._reserved_bytes = 0

    @property
    def replayable(self):
        """Tell whether the body can still be sent from its start."""
        return not self._streaming_started

    def iter_blocks(self):
        """Yield the body in blocks.

        Yields
        ------
        bytes
            At most ``READ_SIZE`` bytes.

        Raises
        ------
        CallerGone
            If the body is malformed, too large or ends early.
        TimeoutError
            If the body does not arrive before its deadline.
        """
        yield from self._buffered
        while not self._ended:
            self._streaming_started = True
            yield self._read()

    def _read(self):
        """Read the next block and detect the end of the body."""
        self._set_read_timeout(max(0.001, self._deadline - self._clock()))
        try:
            data = self._stream.read(READ_SIZE)
        except TimeoutError:
            raise
        except ValueError as error:
            raise MalformedBodyError(str(error)) from error
        except OSError as error:
            raise CallerGone(f"the request body broke off: {error}") from error
        finally:
            self._set_read_timeout(None)
        self._received_bytes += len(data)
        if self._received_bytes > self._limit:
            raise BodyTooLargeError("the request body is too large")
        if self.length is None:
            self._ended = not data
        elif data:
            self._ended = self._received_bytes == self.length
        else:
            raise CallerGone("the request body ended early")
        return data
