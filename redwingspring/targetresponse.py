"""Responses of targets: validation of the head and reading of the body."""

from http.client import HTTPException

from urllib3.exceptions import HTTPError

from .responsehead import FIRST_FINAL_STATUS
from .responselines import InvalidResponse
from .targetconnection import READ_SIZE, ResponseBroken, ResponseMalformed
from .verdict import Reason, fail_uncertain, refuse

REFUSAL_STATUSES = (429, 503)


class TargetResponse:
    """A response whose head has arrived and whose body has yet to be read.

    Parameters
    ----------
    connection : TargetConnection
        The connection on which the response arrives.
    pool : TargetPool
        The pool that the connection is returned to.
    response : urllib3.HTTPResponse
        The response.
    stall_timeout : float or None
        Longest pause in seconds between parts of the body; None applies the
        deadline of the attempt to the body.
    """

    def __init__(self, connection, pool, response, stall_timeout):
        self._connection = connection
        self._pool = pool
        self._response = response
        self.status = response.status
        self.reason = response.reason
        self.version = response.version
        self.headers = response.headers
        self.length = _parse_content_length(response)
        self.closed = False
        self._bytes_left = None
        # The connection drops its socket when the response closes it, so the
        # timeout is set on the reader of the response instead.
        self._strict_response = connection.response
        self.set_stall_timeout(stall_timeout)

    def set_stall_timeout(self, seconds):
        """Set the longest pause between parts of the body.

        Parameters
        ----------
        seconds : float or None
            None applies the deadline of the attempt to the body.
        """
        self._strict_response.reader.stall_timeout = seconds

    def set_deadline(self, deadline):
        """Set the time by which the rest of the response must have arrived.

        Parameters
        ----------
        deadline : float
            Time in seconds on the clock of the connection. A stall timeout replaces
            it.
        """
        self._strict_response.reader.deadline = deadline

    def limit_body(self, max_bytes):
        """Limit the rest of the body.

        Parameters
        ----------
        max_bytes : int
            A longer body counts as broken, and the connection is closed.
        """
        self._bytes_left = max_bytes

    def read(self):
        """Return the next part of the body.

        Returns
        -------
        bytes
            At most ``READ_SIZE`` bytes; empty at the end of the body.

        Raises
        ------
        ResponseBroken
            If the body ends or stalls before it is complete, or is too long; a
            ResponseMalformed if it violates the grammar of HTTP.
        """
        try:
            data = self._response.read1(READ_SIZE, decode_content=False)
        except (OSError, HTTPException, HTTPError) as error:
            self.abort()
            if isinstance(error.__cause__, InvalidResponse):
                raise ResponseMalformed(f"malformed body: {error.__cause__}") from error
            raise ResponseBroken(f"response body broke off: {error}") from error
        if self._bytes_left is not None:
            self._bytes_left -= len(data)
            if self._bytes_left < 0:
                self.abort()
                raise ResponseBroken("the response body is too long")
        return data

    @property
    def has_unproved_end(self):
        """Tell whether the end of the body cannot be told from a lost connection."""
        return self._strict_response.has_unproved_end

    @property
    def connection_is_reusable(self):
        """Tell whether the connection can be reused after the body was read."""
        # Closing the response also checks for excess data after it.
        self._response.close()
        return (
            self._connection.sock is not None
            and self._response.version >= 11
            and not self._connection.request_incomplete
            and not self._strict_response.has_excess_data
        )

    @property
    def another_may_follow(self):
        """Tell whether another response can follow on the connection."""
        return (
            self._connection.sock is not None
            and self._response.version >= 11
            and not self._strict_response.will_close
            and not self._connection.request_incomplete
        )

    def finish(self):
        """Return the connection to its pool after the body was read completely."""
        self.release_connection(False)

    def release_connection(self, keep):
        """End the response after the body was read completely.

        Parameters
        ----------
        keep : bool
            Whether the current owner keeps the connection. Otherwise it is
            returned to its pool.

        Returns
        -------
        bool
            False if the connection was closed.
        """
        if self.closed:
            return False
        self.closed = True
        if not self.connection_is_reusable or not self._connection.is_connected:
            self._connection.close()
            return False
        if not keep:
            self._pool.give_back(self._connection)
        return True

    def abort(self):
        """Close the connection, which cancels the request at the target."""
        if self.closed:
            return
        self.closed = True
        self._connection.close()
        self._response.close()


def _parse_content_length(response):
    """Return the declared length, which the parser of the response has checked."""
    value = response.headers.get("content-length")
    return None if value is None else int(value)


def check_head(response, limits, attempt, reused):
    """Return the failure that prevents relaying a response, if there is one.

    Parameters
    ----------
    response : TargetResponse
        The response.
    limits : TargetLimits
        Limits in force for the target.
    attempt : Attempt
        The attempt that was sent.
    reused : bool
        Whether the connection carried an earlier request.

    Returns
    -------
    Failure or None
        None if the response can be relayed.
    """
    headers = response.headers
    echoed_id = headers.get("attempt-id")
    if echoed_id != attempt.attempt_id and (
        echoed_id is not None or limits.echo_required
    ):
        detail = f"the response belongs to attempt {echoed_id}"
        return fail_uncertain(Reason.CROSSED, detail)
    refused = headers.get("request-run") == "not-run"
    if response.status in REFUSAL_STATUSES and refused:
        if echoed_id is None and reused:
            # It could be the late refusal of an earlier request.
            return fail_uncertain(Reason.CROSSED, "a refusal without an attempt id")
        return refuse(Reason.TARGET_REFUSED, "the target refused the request")
    if response.status < FIRST_FINAL_STATUS:
        return fail_uncertain(
            Reason.NO_ANSWER, "the target sent an unexpected interim response"
        )
    return _check_framing(response, attempt)


def _check_framing(response, attempt):
    """Return a failure if the end of the body cannot be verified, else None."""
    failure = check_reset_content(response, attempt.method)
    if failure is not None:
        return failure
    if attempt.method == "HEAD" or response.status in (204, 304):
        return None
    headers = response.headers
    if "content-length" not in headers and "transfer-encoding" not in headers:
        # The end of such a body cannot be distinguished from a lost connection.
        return fail_uncertain(Reason.TRUNCATED, "the response does not mark its end")
    return None


def check_reset_content(response, method):
    """Return the failure of a response with status 205 that may have a body.

    This host's server writes responses with this status without framing, so callers
    would parse a body as the start of the next response.

    Parameters
    ----------
    response : TargetResponse
        The response.
    method : str
        Method of the request.

    Returns
    -------
    Failure or None
        None for all other responses.
    """
    if response.status != 205 or method == "HEAD" or response.length == 0:
        return None
    return fail_uncertain(Reason.TRUNCATED, "a response of status 205 has a body")
