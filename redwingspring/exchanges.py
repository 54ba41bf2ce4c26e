"""HTTP exchanges with instances: an optional probe, then a request."""

import re
import select
import socket
from dataclasses import dataclass, replace
from enum import Enum
from http.client import HTTPException

from expression import Error, Ok
from urllib3.exceptions import HTTPError
from urllib3.response import HTTPResponse

from .clock import read_clock
from .instancepool import DEFAULT_KEEP_ALIVE_S
from .policy.loadsamples import LoadSample
from .responsechecks import BUSY_STATUSES, MISDIRECTED_STATUS, check_response
from .targetconnection import (
    ResponseBroken,
    ResponseMalformed,
    SendRefused,
    StrictResponse,
)
from .targetresponse import TargetResponse
from .upstream import (
    MAX_IDLE_NON_IDEMPOTENT_S,
    Attempt,
    classify_error,
    flag_invalid,
    send_request,
)
from .verdict import Reason, fail_uncertain, refuse

# Timeout for sending a probe, and again for reading its response once that begins.
PROBE_READ_TIMEOUT_S = 0.05
# Bodies up to this size are read completely before the head goes to the caller, so
# that a truncated response can still be replaced by another attempt.
BUFFERED_BODY_BYTES = 256 << 10
# Bodies up to this size are read completely if a response that breaks off would take
# those to other requests with it.
MAX_BUFFERED_BODY_BYTES = 1 << 20
# A target in trouble may send bytes without end; one that declares its length can only
# send that many.
MAX_UNDECLARED_BYTES = 1 << 30
# Late responses to earlier requests that are skipped before the expected one.
MAX_STALE_RESPONSES = 2
MAX_SKIPPED_BODY_BYTES = 64 << 10
# A refusal whose body takes longer than this costs its connection instead of the
# time of the caller.
SKIP_TIMEOUT_S = 0.1
_KEEP_ALIVE = re.compile(r"timeout=(\d+)")
_TRANSPORT_ERRORS = (OSError, HTTPException, HTTPError, ValueError, SendRefused)


class Stage(Enum):
    """Progress of an exchange from connecting to the response."""

    CONNECTING = "connecting"
    PROBING = "probing"
    READY = "ready"
    SENT = "sent"
    CLOSED = "closed"


@dataclass(frozen=True)
class UpstreamResponse:
    """A response that can be relayed to the caller.

    Attributes
    ----------
    status : int
        HTTP status.
    reason : str
        Reason phrase.
    headers : tuple of (str, str)
        All headers of the response.
    body : bytes
        The whole body, or its beginning if ``stream`` is given.
    stream : TargetResponse or None
        Source of the rest of a long body.
    length : int or None
        Declared length of the body.
    """

    status: int
    reason: str
    headers: tuple
    body: bytes
    stream: object
    length: int | None


class _EmptyBody:
    """The empty body of a probe."""

    exists = False
    length = 0


class Exchange:
    """One use of a connection to an instance.

    Parameters
    ----------
    state : InstanceState
        The instance.
    dialect : module
        Parses and renders the headers that targets use.
    clock : callable, default=read_clock
        Returns seconds.
    """

    def __init__(self, state, dialect, clock=read_clock):
        self.state = state
        self.sample = None
        self.end_sample = None
        self.failure = None
        self.started_at = clock()
        self.sent_at = None
        self.stage = Stage.READY
        self.connection = None
        self._dialect = dialect
        self._clock = clock
        self._probe_path = None
        self._is_unanswered = False
        self._is_idle_reused = False

    def fileno(self):
        """Return the descriptor of the connection."""
        return self.connection.sock.fileno()

    @property
    def events(self):
        """Poll events that the exchange waits for."""
        if self.stage is Stage.CONNECTING:
            return select.POLLOUT
        return select.POLLIN

    @property
    def needs_no_io(self):
        """Tell whether the exchange waits for no event on its connection."""
        return self.stage in (Stage.READY, Stage.CLOSED)

    def begin_probe(self, path):
        """Start a probe of the health and load; return without waiting.

        Parameters
        ----------
        path : str
            Path of the health endpoint.
        """
        self._probe_path = path
        self.connection = self.state.pool.take_idle()
        if self.connection is not None:
            self._is_idle_reused = True
            self._send_probe()
            return
        self._connect()

    def _connect(self):
        """Start to open a connection for the probe."""
        self.connection = self.state.pool.open()
        try:
            self.connection.begin_connect()
        except OSError as error:
            self._fail(refuse(Reason.CONNECT, f"no connection: {error}"))
            return
        self.stage = Stage.CONNECTING

    def begin_without_probe(self, sample, idempotent):
        """Take a connection without a probe.

        Parameters
        ----------
        sample : LoadSample or None
            Load for which the instance was chosen.
        idempotent : bool
            Whether the request may use a connection that was idle for long. The
            target may have dropped it, and then it is unknown whether the request ran.
        """
        max_idle_s = float("inf") if idempotent else MAX_IDLE_NON_IDEMPOTENT_S
        idle = self.state.pool.take_idle(max_idle_s)
        self.connection = idle or self.state.pool.open()
        self.sample = sample
        self.stage = Stage.READY

    def advance(self):
        """Continue the probe after the descriptor has become ready."""
        if self.stage is Stage.CONNECTING:
            error = self.connection.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if error:
                self._fail(refuse(Reason.CONNECT, f"no connection: error {error}"))
                return
            self._send_probe()
        elif self.stage is Stage.PROBING:
            self._read_probe()

    def send(self, attempt):
        """Send the request.

        Parameters
        ----------
        attempt : Attempt
            Request to send.

        Returns
        -------
        Failure or None
            None if the request was sent and a response is expected.
        """
        self.connection.prepare(attempt)
        self._is_unanswered = True
        self.state.count_unanswered(1)
        try:
            send_request(self.connection, attempt)
        except _TRANSPORT_ERRORS as error:
            self._fail(classify_error(self.connection, error))
            return self.failure
        self.stage = Stage.SENT
        self.sent_at = self._clock()
        return None

    def receive_response(self, attempt):
        """Read the response to the request.

        Parameters
        ----------
        attempt : Attempt
            Request that was sent.

        Returns
        -------
        expression.Result
            Ok with an UpstreamResponse, or an Error with a Failure.
        """
        try:
            response, metadata = self._read_own_response(attempt)
        except _TRANSPORT_ERRORS as error:
            self._fail(classify_error(self.connection, error))
            return Error(self.failure)
        self._mark_answered()
        if response.status != MISDIRECTED_STATUS and metadata.request_id in (
            None,
            attempt.attempt_id,
        ):
            refused = response.status in BUSY_STATUSES
            self.state.record_conditions(metadata, refused, self._clock())
        if metadata.load is not None and metadata.request_id == attempt.attempt_id:
            self.end_sample = metadata.load
            # The load that a target reports includes the request that it answers.
            load = metadata.load if metadata.not_run else metadata.load.finish_request()
            self.state.record_response_load(replace(load, time=self._clock()))
        failure = check_response(response, metadata, attempt)
        if failure is None:
            return self._read_body(response, attempt)
        if failure.proves_not_run:
            failure = self._discard_refusal(response, metadata, failure)
        else:
            response.abort()
        self.stage = Stage.CLOSED
        self.failure = failure
        return Error(failure)

    def release(self):
        """Return the connection to the pool if it is idle, else close it."""
        if self.stage is Stage.READY and self.connection.sock is not None:
            self.state.pool.give_back(self.connection)
        elif self.connection is not None:
            self.connection.close()
        self.stage = Stage.CLOSED

    def abort(self):
        """Close the connection, which cancels the work at the target."""
        self._mark_answered()
        if self.connection is not None:
            self.connection.close()
        self.stage = Stage.CLOSED

    def _mark_answered(self):
        """Stop counting the request as unanswered, once."""
        if self._is_unanswered:
            self._is_unanswered = False
            self.state.count_unanswered(-1)

    def _fail(self, failure):
        self.failure = failure
        self.abort()

    def _send_probe(self):
        deadline = self._clock() + PROBE_READ_TIMEOUT_S
        attempt = Attempt(
            "GET",
            self._probe_path,
            {},
            _EmptyBody(),
            "",
            deadline,
            _allow_send,
            None,
            True,
        )
        self.connection.prepare(attempt)
        try:
            send_request(self.connection, attempt)
        except _TRANSPORT_ERRORS as error:
            if not self._probe_again(error):
                self._fail(refuse(Reason.CONNECT, f"no probe: {error}"))
            return
        self.stage = Stage.PROBING

    def _probe_again(self, error):
        """Probe on a new connection if the target had dropped an idle one.

        Targets may drop idle connections without notice. A reset of such a
        connection says nothing about the target.
        """
        if not self._is_idle_reused or not isinstance(error, ConnectionError):
            return False
        self._is_idle_reused = False
        self.connection.close()
        self._connect()
        return True

    def _read_probe(self):
        self.connection.extend_deadline(self._clock() + PROBE_READ_TIMEOUT_S)
        try:
            response, metadata = self._read_probe_response()
            failed = self._discard(response, metadata)
        except _TRANSPORT_ERRORS as error:
            if not self._probe_again(error):
                failure = refuse(Reason.CONNECT, f"no answer to a probe: {error}")
                self._fail(flag_invalid(failure, error))
            return
        now = self._clock()
        expected = self.state.instance.id
        if metadata.instance_id not in (None, expected):
            detail = f"instance {metadata.instance_id} has the address now"
            self._fail(refuse(Reason.WRONG_INSTANCE, detail))
            return
        self.state.record_conditions(metadata, response.status in BUSY_STATUSES, now)
        healthy = response.status == 200
        load = metadata.load
        if load is None:
            self.state.reports_load = False
            load = LoadSample(0, 0, self.state.instance.slots)
        sample = replace(load, cold_s=metadata.cold_s, time=now, healthy=healthy)
        self.state.record_probe_load(sample)
        self.sample = self.state.sample
        if failed:
            # The load is valid, but the connection cannot be reused.
            self.connection = self.state.pool.open()
        self.stage = Stage.READY

    def _read_probe_response(self):
        """Return the response to the probe; skip responses to earlier requests."""
        return self._skip_stale_responses(lambda metadata: not metadata.signed)

    def _read_own_response(self, attempt):
        """Return the response to the request; skip responses to earlier ones."""
        expected_ids = (None, attempt.attempt_id)
        return self._skip_stale_responses(
            lambda metadata: metadata.request_id in expected_ids
        )

    def _skip_stale_responses(self, is_expected):
        """Return the first expected response, or the one after the last skipped."""
        response = self._read_response(is_first=True)
        metadata = self._dialect.parse_response_headers(response.headers)
        skipped = 0
        while not is_expected(metadata) and skipped < MAX_STALE_RESPONSES:
            response = self._read_after_stale(response)
            metadata = self._dialect.parse_response_headers(response.headers)
            skipped += 1
        return response, metadata

    def _read_after_stale(self, stale):
        """Return the response that follows a stale one.

        Both may have arrived together, so that the reader of the stale one already
        holds the beginning of the other.
        """
        self.connection.response.keep_reader = True
        _discard_body(stale)
        if not stale.another_may_follow:
            raise ResponseBroken("only a response to another request arrived")
        return self._read_response(is_first=False)

    def _read_response(self, is_first):
        connection = self.connection
        if is_first:
            raw = connection.getresponse()
        else:
            raw = _begin_next_response(connection)
        # All reads are bound to the deadline of the request.
        return TargetResponse(connection, self.state.pool, raw, None)

    def _read_body(self, response, attempt):
        """Return the response with its body, or with the beginning of a long one."""
        self._record_keep_alive(response)
        chunks = []
        size = 0
        stream = None
        bodiless = attempt.method == "HEAD" or response.status in (204, 304)
        try:
            while not bodiless:
                chunk = response.read()
                if not chunk:
                    break
                chunks.append(chunk)
                size += len(chunk)
                if _may_stream(attempt, size):
                    stream = self._begin_stream(response, size)
                    break
            if stream is None and not bodiless and response.length not in (None, size):
                raise ResponseBroken(f"{size} of {response.length} bytes arrived")
        except ResponseBroken as broken:
            response.abort()
            self.stage = Stage.CLOSED
            failure = fail_uncertain(Reason.TRUNCATED, str(broken))
            self.failure = flag_invalid(failure, broken)
            return Error(self.failure)
        if stream is None:
            response.finish()
        self.stage = Stage.CLOSED
        return Ok(
            UpstreamResponse(
                response.status,
                response.reason or "Status",
                tuple(response.headers.items()),
                b"".join(chunks),
                stream,
                response.length if stream is not None else size,
            )
        )

    def _begin_stream(self, response, size):
        """Return the source of the rest of a long body.

        Its reads are bound to the deadline of the request, as all before.
        """
        if response.length is None:
            response.limit_body(MAX_UNDECLARED_BYTES - size)
        return response

    def _discard(self, response, metadata):
        """Discard a response; return True if the connection cannot be reused.

        A target in trouble may send a copy of a refusal where the next response is
        expected. Without an id, the copy could not be told from the refusal of the
        next request, so the connection is closed. A ResponseMalformed is raised if
        the body violates the grammar of HTTP.
        """
        if metadata.not_run and metadata.request_id is None:
            response.abort()
            return True
        return self._skip_body(response)

    def _discard_refusal(self, response, metadata, refusal):
        """Discard a refusal; return it, or the failure if it is not valid HTTP."""
        try:
            self._discard(response, metadata)
        except ResponseMalformed as malformed:
            failure = fail_uncertain(Reason.TRUNCATED, str(malformed))
            return flag_invalid(failure, malformed)
        return refusal

    def _skip_body(self, response):
        """Discard a short body; return True if the connection cannot be reused."""
        self._record_keep_alive(response)
        deadline = min(self.connection.deadline, self._clock() + SKIP_TIMEOUT_S)
        response.set_deadline(deadline)
        try:
            _discard_body(response)
        except ResponseMalformed:
            raise
        except ResponseBroken:
            response.abort()
            return True
        return not response.release_connection(self.stage is Stage.PROBING)

    def _record_keep_alive(self, response):
        match = _KEEP_ALIVE.search(response.headers.get("keep-alive", ""))
        timeout = float(match[1]) if match else DEFAULT_KEEP_ALIVE_S
        self.connection.keep_alive_s = timeout


def _may_stream(attempt, size):
    """Tell whether a body of which this much was read may be relayed already."""
    if size < BUFFERED_BODY_BYTES:
        return False
    return size >= MAX_BUFFERED_BODY_BYTES or attempt.begin_stream()


def _discard_body(response):
    """Read a short body to its end."""
    response.limit_body(MAX_SKIPPED_BODY_BYTES)
    while response.read():
        pass


def _allow_send():
    """Guard of a probe: return None, which always allows the send."""


def _begin_next_response(connection):
    """Return the next response on a connection before its body is read."""
    previous = connection.response
    raw = StrictResponse(
        connection.sock,
        connection.deadline,
        previous.request_method,
        connection.clock,
        previous,
    )
    raw.begin()
    connection.response = raw
    return HTTPResponse(
        body=raw,
        headers=raw.msg.items(),
        status=raw.status,
        version=raw.version,
        reason=raw.reason,
        preload_content=False,
        decode_content=False,
        original_response=raw,
        request_method=previous.request_method,
    )
