"""Exchanges with instances: a probe, then perhaps a request on its connection."""

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
from .loadsamples import LoadSample
from .targetconnection import ResponseBroken, SendRefused, StrictResponse
from .targetresponse import TargetResponse, has_clear_framing
from .upstream import Attempt, explain_fault, send_request
from .verdict import Reason, doubt, refuse

# Longest time for the head of a probe's response once its first byte is there.
PROBE_READ_S = 0.05
# Responses up to this size are read whole before the caller gets their head, so
# that one that breaks off can still be replaced.
BUFFERED_BYTES = 256 << 10
# Longest pause within the rest of a long response.
STREAM_STALL_S = 15.0
# A late second response may stand before the one that is waited for.
MAX_STRAY_RESPONSES = 2
PROBE_BODY_BYTES = 64 << 10
REFUSAL_STATUSES = (400, 421, 429, 503)
MISDIRECTED = 421
_KEEP_ALIVE = re.compile(r"timeout=(\d+)")
_FAULTS = (OSError, HTTPException, HTTPError, ValueError, SendRefused)


class Stage(Enum):
    """How far an exchange has come."""

    CONNECTING = "connecting"
    PROBING = "probing"
    READY = "ready"
    SENT = "sent"
    CLOSED = "closed"


@dataclass(frozen=True)
class Answer:
    """A response that can be passed on to the caller.

    Attributes
    ----------
    status : int
        HTTP status.
    reason : str
        Reason phrase.
    headers : tuple of (str, str)
        All headers.
    body : bytes
        The whole body, or its beginning when ``rest`` is given.
    rest : TargetResponse or None
        Where the rest of a long body is read from.
    length : int or None
        Declared length of the body.
    """

    status: int
    reason: str
    headers: tuple
    body: bytes
    rest: object
    length: int | None


class _NoBody:
    """The body of a probe."""

    exists = False
    length = 0


class Exchange:
    """One use of a connection to an instance.

    Parameters
    ----------
    state : InstanceState
        The instance.
    dialect : module
        Reads and writes the headers that targets understand.
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
        self._probe = None
        self._is_unanswered = False

    def fileno(self):
        """Return the descriptor of the connection."""
        return self.connection.sock.fileno()

    @property
    def events(self):
        """Poll events that let the exchange go on."""
        if self.stage is Stage.CONNECTING:
            return select.POLLOUT
        return select.POLLIN

    @property
    def ends_at_once(self):
        """Tell whether the exchange has nothing to wait for."""
        return self.stage in (Stage.READY, Stage.CLOSED)

    def begin_probe(self, path):
        """Ask the instance for its load; return without waiting.

        Parameters
        ----------
        path : str
            Path that tells health and load.
        """
        self._probe = path
        self.connection = self.state.pool.take_idle()
        if self.connection is not None:
            self._send_probe()
            return
        self.connection = self.state.pool.open()
        try:
            self.connection.begin_connect()
        except OSError as error:
            self._fail(refuse(Reason.CONNECT, f"no connection: {error}"))
            return
        self.stage = Stage.CONNECTING

    def begin_plain(self, sample=None):
        """Take a connection without asking for the load.

        Parameters
        ----------
        sample : LoadSample or None, default=None
            The load that the choice of the instance rests on.
        """
        self.connection = self.state.pool.take_idle() or self.state.pool.open()
        self.sample = sample
        self.stage = Stage.READY

    def advance(self):
        """Go on after the descriptor became ready, until the load is known."""
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
            What to send.

        Returns
        -------
        Failure or None
            None when the response is to be waited for.
        """
        self.connection.prepare(attempt)
        self._is_unanswered = True
        self.state.count_unanswered(1)
        try:
            send_request(self.connection, attempt)
        except _FAULTS as error:
            self._fail(explain_fault(self.connection, error))
            return self.failure
        self.stage = Stage.SENT
        self.sent_at = self._clock()
        return None

    def read_answer(self, attempt):
        """Read the response to the request.

        Parameters
        ----------
        attempt : Attempt
            What was sent.

        Returns
        -------
        expression.Result
            Ok with an Answer, or an Error with a Failure.
        """
        try:
            response, terms = self._read_own_response(attempt)
        except _FAULTS as error:
            self._fail(explain_fault(self.connection, error))
            return Error(self.failure)
        self._note_answered()
        if terms.load is not None and terms.request_id == attempt.attempt_id:
            self.end_sample = terms.load
            # A target counts the request that it answers.
            load = terms.load if terms.not_run else terms.load.finish_request()
            self.state.record_load(replace(load, time=self._clock()))
        failure = self._judge(response, terms, attempt)
        if failure is None:
            return self._read_body(response, attempt)
        if failure.proves_not_run:
            self._skip_body(response)
        else:
            response.abort()
        self.stage = Stage.CLOSED
        self.failure = failure
        return Error(failure)

    def release(self):
        """Give the connection back when it carries nothing, else close it."""
        if self.stage is Stage.READY and self.connection.sock is not None:
            self.state.pool.give_back(self.connection)
        elif self.connection is not None:
            self.connection.close()
        self.stage = Stage.CLOSED

    def abort(self):
        """Close the connection, which cancels the work at the target."""
        self._note_answered()
        if self.connection is not None:
            self.connection.close()
        self.stage = Stage.CLOSED

    def _note_answered(self):
        """Count a request as answered, or as ended without an answer, once."""
        if self._is_unanswered:
            self._is_unanswered = False
            self.state.count_unanswered(-1)

    def _fail(self, failure):
        self.failure = failure
        self.abort()

    def _send_probe(self):
        deadline = self._clock() + PROBE_READ_S
        attempt = Attempt(
            "GET", self._probe, {}, _NoBody(), "", deadline, _allow, None, True
        )
        self.connection.prepare(attempt)
        try:
            send_request(self.connection, attempt)
        except _FAULTS as error:
            self._fail(refuse(Reason.CONNECT, f"no probe: {error}"))
            return
        self.stage = Stage.PROBING

    def _read_probe(self):
        self.connection.extend_deadline(self._clock() + PROBE_READ_S)
        try:
            response, terms = self._read_probe_response()
            failed = self._skip_body(response)
        except _FAULTS as error:
            self._fail(refuse(Reason.CONNECT, f"no answer to a probe: {error}"))
            return
        now = self._clock()
        expected = self.state.instance.id
        if terms.instance_id not in (None, expected):
            detail = f"instance {terms.instance_id} has the address now"
            self._fail(refuse(Reason.WRONG_INSTANCE, detail))
            return
        healthy = response.status == 200
        load = terms.load
        if load is None:
            self.state.tells_load = False
            load = LoadSample(0, 0, self.state.instance.slots)
        sample = replace(load, cold_s=terms.cold_s, time=now, healthy=healthy)
        self.state.record_sample(sample)
        self.sample = self.state.sample
        if failed:
            # The load is known, but the connection is of no more use.
            self.connection = self.state.pool.open()
        self.stage = Stage.READY

    def _read_probe_response(self):
        """Return the response to the probe; skip one to an earlier request."""
        return self._skip_strays(lambda terms: not terms.signed)

    def _read_own_response(self, attempt):
        """Return the response to the request; skip one to an earlier request."""
        own = (None, attempt.attempt_id)
        return self._skip_strays(lambda terms: terms.request_id in own)

    def _skip_strays(self, is_own):
        """Return the first response that is wanted, or the last one allowed."""
        response = self._read_response(first=True)
        terms = self._dialect.read_response(response.headers)
        strays = 0
        while not is_own(terms) and strays < MAX_STRAY_RESPONSES:
            response = self._read_next(response)
            terms = self._dialect.read_response(response.headers)
            strays += 1
        return response, terms

    def _read_next(self, stray):
        """Return the response that follows one of an earlier request."""
        while stray.read():
            pass
        if not stray.ended_cleanly:
            raise ResponseBroken("bytes of another request on the connection")
        return self._read_response(first=False)

    def _read_response(self, first):
        connection = self.connection
        if first:
            raw = connection.getresponse()
        else:
            raw = _read_another(connection)
        # Until a stall time is set, reads are bound to the deadline.
        return TargetResponse(connection, self.state.pool, raw, None)

    def _judge(self, response, terms, attempt):
        """Return why a response cannot be passed on, or None."""
        if terms.request_id not in (None, attempt.attempt_id):
            detail = f"the response belongs to request {terms.request_id}"
            return doubt(Reason.CROSSED, detail)
        if terms.not_run and response.status in REFUSAL_STATUSES:
            if response.status == MISDIRECTED:
                return refuse(Reason.WRONG_INSTANCE, "another instance has the address")
            return refuse(Reason.TARGET_REFUSED, "the target refused the request")
        if response.status == MISDIRECTED:
            return refuse(Reason.WRONG_INSTANCE, "another instance has the address")
        if response.status < 200:
            return doubt(Reason.NO_ANSWER, "an unexpected interim response")
        if response.status < 300 and not terms.signed:
            return doubt(Reason.CROSSED, "a success without a signature")
        if response.headers.get("content-encoding") is not None:
            return doubt(Reason.CROSSED, "the body is not as the target made it")
        if not has_clear_framing(response, attempt.method):
            return doubt(Reason.TRUNCATED, "the response has no single framing")
        return None

    def _read_body(self, response, attempt):
        """Return the answer with its body, or with the beginning of a long one."""
        self._note_keep_alive(response)
        parts = []
        size = 0
        rest = None
        empty = attempt.method == "HEAD" or response.status in (204, 304)
        try:
            while not empty:
                data = response.read()
                if not data:
                    break
                parts.append(data)
                size += len(data)
                if size >= BUFFERED_BYTES:
                    rest = response
                    rest.set_stall(STREAM_STALL_S)
                    break
            if rest is None and not empty and response.length not in (None, size):
                raise ResponseBroken(f"{size} of {response.length} bytes arrived")
        except ResponseBroken as broken:
            response.abort()
            self.stage = Stage.CLOSED
            self.failure = doubt(Reason.TRUNCATED, str(broken))
            return Error(self.failure)
        if rest is None:
            response.finish()
        self.stage = Stage.CLOSED
        return Ok(
            Answer(
                response.status,
                response.reason or "Status",
                tuple(response.headers.items()),
                b"".join(parts),
                rest,
                response.length if rest is not None else size,
            )
        )

    def _skip_body(self, response):
        """Read a short body; return True when the connection is of no more use."""
        self._note_keep_alive(response)
        left = PROBE_BODY_BYTES
        try:
            while data := response.read():
                left -= len(data)
                if left < 0:
                    raise ResponseBroken("the body is too long")
        except ResponseBroken:
            response.abort()
            return True
        return not response.finish_for(self.stage is Stage.PROBING)

    def _note_keep_alive(self, response):
        match = _KEEP_ALIVE.search(response.headers.get("keep-alive", ""))
        timeout = float(match[1]) if match else DEFAULT_KEEP_ALIVE_S
        self.connection.keep_alive_s = timeout


def _allow():
    """Let a probe be sent; return None as a guard without objection does."""


def _read_another(connection):
    """Return one more response on a connection, without its body."""
    method = connection.response.method_of_request
    raw = StrictResponse(connection.sock, connection.deadline, method, connection.clock)
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
        request_method=method,
    )
