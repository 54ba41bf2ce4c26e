"""Responses of targets: checks of the head, and the body."""

from http.client import HTTPException

from urllib3.exceptions import HTTPError

from .targetconnection import FIRST_FINAL_STATUS, READ_SIZE, ResponseBroken
from .verdict import Reason, fail_uncertain, refuse

REFUSAL_STATUSES = (429, 503)


class TargetResponse:
    """A response whose head arrived and whose body is still to be read.

    Parameters
    ----------
    connection : TargetConnection
        Where it arrives.
    pool : TargetPool
        Where the connection returns to.
    response : urllib3.HTTPResponse
        The response.
    stall_timeout : float or None
        Seconds the body may pause; None binds it to the attempt's deadline.
    """

    def __init__(self, connection, pool, response, stall_timeout):
        self._connection = connection
        self._pool = pool
        self._response = response
        self.status = response.status
        self.reason = response.reason
        self.version = response.version
        self.headers = response.headers
        self.length = _declared_length(response)
        self.closed = False
        # The connection forgets its socket when the response ends it, so the
        # time is set on the reader.
        self._parsed = connection.response
        self.set_stall(stall_timeout)

    def set_stall(self, seconds):
        """Set how long the body may pause.

        Parameters
        ----------
        seconds : float or None
            None binds the body to the deadline of its attempt.
        """
        self._parsed.reader.stall = seconds

    def read(self):
        """Return the next part of the body, empty at its end.

        Returns
        -------
        bytes
            At most ``READ_SIZE`` bytes.

        Raises
        ------
        ResponseBroken
            If the body ends or stalls before it is whole.
        """
        try:
            return self._response.read1(READ_SIZE, decode_content=False)
        except (OSError, HTTPException, HTTPError) as error:
            self.abort()
            raise ResponseBroken(f"response body broke off: {error}") from error

    @property
    def ended_cleanly(self):
        """Tell, after the whole body was read, whether the connection is usable."""
        # This also looks for bytes that follow the response.
        self._response.close()
        return (
            self._connection.sock is not None
            and self._response.version >= 11
            and not self._connection.unfinished
            and not self._parsed.surplus
        )

    def finish(self):
        """Return the connection for reuse after the whole body was read."""
        self.finish_for(False)

    def finish_for(self, keep):
        """End the response after the whole body was read.

        Parameters
        ----------
        keep : bool
            Whether the connection stays with its user instead of its pool.

        Returns
        -------
        bool
            False when the connection was closed.
        """
        if self.closed:
            return False
        self.closed = True
        if not self.ended_cleanly or not self._connection.is_connected:
            self._connection.close()
            return False
        if not keep:
            self._pool.give_back(self._connection)
        return True

    def abort(self):
        """Close the connection, which cancels the work at the target."""
        if self.closed:
            return
        self.closed = True
        self._connection.close()
        self._response.close()


def _declared_length(response):
    value = response.headers.get("content-length")
    if value is None or not value.isascii() or not value.isdigit():
        return None
    return int(value)


def check_head(response, limits, attempt, reused):
    """Return why a response cannot be relayed.

    Parameters
    ----------
    response : TargetResponse
        The response.
    limits : TargetLimits
        Values in force for the target.
    attempt : Attempt
        What was sent.
    reused : bool
        Whether the connection carried an earlier request.

    Returns
    -------
    Failure or None
        None when the response can be relayed.
    """
    headers = response.headers
    echo = headers.get("attempt-id")
    if echo != attempt.attempt_id and (echo is not None or limits.echo_required):
        detail = f"the response belongs to attempt {echo}"
        return fail_uncertain(Reason.CROSSED, detail)
    refused = headers.get("request-run") == "not-run"
    if response.status in REFUSAL_STATUSES and refused:
        if echo is None and reused:
            # It could be a late refusal of an earlier request.
            return fail_uncertain(Reason.CROSSED, "a refusal without an attempt id")
        return refuse(Reason.TARGET_REFUSED, "the target refused the request")
    if response.status < FIRST_FINAL_STATUS:
        return fail_uncertain(
            Reason.NO_ANSWER, "the target sent an unexpected interim response"
        )
    return _check_framing(response, attempt)


def _check_framing(response, attempt):
    """Return a failure if the end of the body could not be verified."""
    if not has_clear_framing(response, attempt.method):
        # Another reader could see another end of the body.
        return fail_uncertain(
            Reason.TRUNCATED, "the response has no single valid framing"
        )
    if attempt.method == "HEAD" or response.status in (204, 304):
        return None
    headers = response.headers
    if "content-length" not in headers and "transfer-encoding" not in headers:
        # The end of such a body looks the same as a lost connection.
        return fail_uncertain(Reason.TRUNCATED, "the response does not mark its end")
    return None


def has_clear_framing(response, method):
    """Tell whether every reader sees the same end of a response's body.

    Parameters
    ----------
    response : TargetResponse
        The response.
    method : str
        Method of the request.

    Returns
    -------
    bool
        True also for a body that ends with its connection.
    """
    headers = response.headers
    if method == "HEAD" or response.status in (204, 304):
        return True
    if response.status == 205 and response.length != 0:
        # The server for callers frames no body of this status, so bytes of
        # one would pass for the next response.
        return False
    lengths = set(headers.getlist("content-length"))
    coding = headers.get("transfer-encoding")
    chunked = coding is not None and coding.lower() == "chunked"
    if coding is not None and (lengths or not chunked or response.version < 11):
        return False
    return not (len(lengths) > 1 or (lengths and response.length is None))
