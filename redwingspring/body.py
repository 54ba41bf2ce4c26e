"""Request bodies as they come from callers."""

import time

from .upstream import READ_SIZE, CallerGone
from .verdict import Reason


class BodyTooLarge(CallerGone):
    """A chunked request body passed its limit."""

    reason = Reason.TOO_LARGE
    status = 413


class BodyMalformed(CallerGone):
    """A request body breaks the chunked coding."""

    reason = Reason.MALFORMED


class RequestBody:
    """The body of one request.

    Parameters
    ----------
    stream : file-like
        Where the body is read from.
    length : int or None
        Declared length in bytes; None for a chunked body.
    limit : int
        Largest length in bytes.
    deadline : float
        Unix time in seconds by which the body must have arrived.
    limit_reads : callable or None, default=None
        Bounds the time of reads, in seconds from now or None.
    clock : callable, default=time.time
        Clock of the deadline; returns seconds.
    """

    def __init__(
        self, stream, length, limit, deadline, limit_reads=None, clock=time.time
    ):
        self._clock = clock
        self._stream = stream
        self._limit = limit
        self._deadline = deadline
        self._limit_reads = limit_reads or (lambda seconds: None)
        self._kept = []
        self._got = 0
        self._ended = length == 0
        self._touched = False
        self.length = length

    @property
    def exists(self):
        """Tell whether there is a body."""
        return self.length != 0

    def buffer(self, limit):
        """Keep the beginning of the body so that it can be sent again.

        Parameters
        ----------
        limit : int
            About how many bytes are kept.

        Raises
        ------
        CallerGone
            If the caller stops before the end.
        TimeoutError
            If the body is late.
        """
        while not self._ended and self._got < limit:
            self._kept.append(self._read())
        if self._ended:
            # The length of a short chunked body is known now.
            self.length = self._got

    @property
    def replayable(self):
        """Tell whether the body can be sent from its start."""
        return not self._touched

    def iter_blocks(self):
        """Yield the body in parts.

        Yields
        ------
        bytes
            At most ``READ_SIZE`` bytes.

        Raises
        ------
        CallerGone
            If the caller stops before the end.
        TimeoutError
            If the body is late.
        """
        yield from self._kept
        while not self._ended:
            self._touched = True
            yield self._read()

    def _read(self):
        """Return the next part and note the end."""
        self._limit_reads(max(0.001, self._deadline - self._clock()))
        try:
            data = self._stream.read(READ_SIZE)
        except TimeoutError:
            raise
        except ValueError as error:
            raise BodyMalformed(str(error)) from error
        except OSError as error:
            raise CallerGone(f"the request body broke off: {error}") from error
        finally:
            self._limit_reads(None)
        self._got += len(data)
        if self._got > self._limit:
            raise BodyTooLarge("the request body is too large")
        if self.length is None:
            self._ended = not data
        elif data:
            self._ended = self._got == self.length
        else:
            raise CallerGone("the request body ended early")
        return data
