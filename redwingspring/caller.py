"""Caller library: asks for addresses and sends requests by the verdict rules."""

import io
import re
import time
import uuid
from dataclasses import dataclass
from http.client import HTTPException
from urllib.parse import quote

from expression import Error, Ok

from .calleraddresses import AddressCache
from .callerconnections import (
    TRANSPORT_ERRORS,
    HostConnections,
    iter_parts,
    read_host,
)
from .calls import is_request_id
from .verdict import Reason, Verdict

IDEMPOTENT_METHODS = frozenset(("GET", "HEAD", "OPTIONS"))
MAX_BODY_BYTES = 64 << 20
CONNECT_TIMEOUT_S = 1.0
STALL_TIMEOUT_S = 10.0
# The host itself answers at the deadline; its answer needs time to arrive.
DEADLINE_MARGIN_S = 0.25
# Statuses with which an entry host reports that a request did not run.
_NOT_RUN_STATUSES = frozenset((400, 404, 408, 413, 414, 429, 431, 503))
# Another host may take what these refuse; 400 or 413 would come back as such,
# and 429 is a limit on the caller that another host would only extend.
_MOVE_STATUSES = frozenset((404, 503))
_HOST_REASONS = frozenset(
    str(reason) for reason in (Reason.ISOLATED, Reason.NOT_READY, Reason.CONNECTIONS)
)
_NO_BODY_STATUSES = frozenset((204, 304))
_PATH = re.compile(r"/[!-~]*")


@dataclass(frozen=True)
class CallerResponse:
    """A complete response of a target.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : mapping of str to str
        Response headers; names compare without case.
    body : bytes
        The body, empty when it was written to a sink.
    request_id : str
        Id of the request.
    host : str
        ``ip:port`` of the entry host.
    verdict : Verdict
        Always ``RAN``.
    """

    status: int
    headers: object
    body: bytes
    request_id: str
    host: str
    verdict: Verdict = Verdict.RAN


@dataclass(frozen=True)
class CallerFailure:
    """A request without a complete response.

    Attributes
    ----------
    verdict : Verdict
        ``NOT_RUN`` only with proof; only then is it safe to send a
        non-idempotent request again.
    reason : str
        A value of ``Reason``, or the ``Failure-Reason`` of a newer host.
    detail : str
        One sentence for a person.
    request_id : str
        Id of the request.
    host : str or None, default=None
        Entry host of the last attempt.
    status : int or None, default=None
        HTTP status of the entry host's own answer.
    """

    verdict: Verdict
    reason: str
    detail: str
    request_id: str
    host: str | None = None
    status: int | None = None


class _ResponseTooLarge(OSError):
    """A response body passed the caller's bound."""


@dataclass(frozen=True)
class _Message:
    """One request as it is sent."""

    method: str
    path: str
    headers: dict
    body: bytes | None
    request_id: str
    deadline: float
    idempotent: bool
    sink: object = None
    max_body: int = MAX_BODY_BYTES


class Caller:
    """Sends requests of one service to entry hosts.

    A request moves to another host only after a proof that it did not run.
    Threads may share a caller.

    Parameters
    ----------
    service : str
        Name of the service.
    hosts : iterable of str
        ``ip:port`` of entry hosts that can be asked for addresses.
    data_centre : str or None, default=None
        Data centre of the caller; hosts there come first.
    timeout : float, default=10.0
        Seconds from the start of a request to its deadline.
    max_hosts : int, default=3
        Most hosts that one request is sent to.
    connect_timeout : float, default=CONNECT_TIMEOUT_S
        Seconds for a new connection.
    stall_timeout : float, default=STALL_TIMEOUT_S
        Longest pause within a response body, in seconds.
    """

    def __init__(
        self,
        service,
        hosts,
        *,
        data_centre=None,
        timeout=10.0,
        max_hosts=3,
        connect_timeout=CONNECT_TIMEOUT_S,
        stall_timeout=STALL_TIMEOUT_S,
    ):
        self.service = service
        self.timeout = timeout
        self.max_hosts = max_hosts
        self.stall_timeout = stall_timeout
        seeds = tuple(read_host(host) for host in hosts)
        if None in seeds:
            raise ValueError("a host is not given as ip:port")
        self._connections = HostConnections(connect_timeout)
        self._addresses = AddressCache(service, seeds, data_centre)

    def request(
        self,
        method,
        path,
        *,
        headers=None,
        body=None,
        request_id=None,
        deadline=None,
        sink=None,
        max_body=MAX_BODY_BYTES,
    ):
        """Send a request and return its complete response.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path and query at the target, from its first slash.
        headers : mapping of str to str or None, default=None
            Request headers.
        body : bytes or None, default=None
            Request body.
        request_id : str or None, default=None
            Id of the request; generated when None.
        deadline : float or None, default=None
            Unix time in seconds by which the response must begin; ``timeout``
            seconds from now when None.
        sink : file-like or None, default=None
            Receives the body of a 2xx response instead of ``body``; after a
            failure it may hold a part of it.
        max_body : int, default=MAX_BODY_BYTES
            Largest response body in bytes that is held in memory.

        Returns
        -------
        expression.Result
            Ok with a CallerResponse, or an Error with a CallerFailure.

        Raises
        ------
        ValueError
            If the request id or path is malformed.
        """
        request_id = uuid.uuid4().hex if request_id is None else request_id
        if not is_request_id(request_id) or not _PATH.fullmatch(path):
            raise ValueError("the request id or path is malformed")
        deadline = time.time() + self.timeout if deadline is None else deadline
        method = method.upper()
        # A deadline or id in the given headers must not contradict these.
        own = {
            "Request-Id": request_id,
            "Request-Deadline": str(int(deadline * 1000)),
        }
        taken = {name.lower() for name in own}
        given = dict(headers or {})
        headers = {k: v for k, v in given.items() if k.lower() not in taken} | own
        message = _Message(
            method=method,
            path=f"/{quote(self.service, safe='')}{path}",
            headers=headers,
            body=body,
            request_id=request_id,
            deadline=deadline,
            idempotent=method in IDEMPOTENT_METHODS,
            sink=sink,
            max_body=max_body,
        )
        return self._send_to_hosts(message)

    def close(self):
        """Close all idle connections."""
        self._connections.close()

    def _send_to_hosts(self, message):
        """Send a request to hosts in order while it is proved not to have run."""
        found = self._addresses.find(message.deadline)
        if found.is_error():
            reason, detail = found.error
            return Error(_refuse(message, None, reason, detail))
        refusals = 0
        for host in found.ok[: self.max_hosts]:
            outcome = self._send(message, host, refusals)
            if outcome.is_ok():
                return outcome
            failure = outcome.error
            answered = failure.status is not None
            if not answered or failure.reason in _HOST_REASONS:
                self._addresses.avoid(host)
            moves = not answered or failure.status in _MOVE_STATUSES
            if failure.verdict is not Verdict.NOT_RUN or not moves:
                break
            if time.time() >= message.deadline:
                break
            refusals += answered
        return outcome

    def _send(self, message, host, refusals):
        """Send a request to one host once."""
        remaining = message.deadline - time.time()
        if remaining <= 0:
            detail = "the deadline passed before the request was sent"
            return Error(_refuse(message, host, Reason.DEADLINE, detail))
        connection = self._connections.take(host, message.idempotent, remaining)
        whole = False
        try:
            response, sock, sent = _read_head(message, connection, refusals)
            sock.settimeout(self.stall_timeout)
            body = _read_body(message, response)
            whole = sent
        except TRANSPORT_ERRORS as error:
            return Error(_describe_error(message, connection, error))
        finally:
            # A connection that failed could deliver a late response to the
            # next request.
            if whole:
                self._connections.give_back(connection, response)
            else:
                connection.close()
        return _judge_response(message, host, response, body)


def _read_head(message, connection, refusals):
    """Send a request; return response, socket and whether all was sent."""
    headers = dict(message.headers)
    if refusals:
        # Hosts do not retry a request that was refused before, so that
        # retries at several levels do not multiply.
        headers["Request-Attempt"] = str(refusals)
    if connection.sock is None:
        connection.connect()
    remaining = message.deadline - time.time()
    if remaining <= 0:
        raise TimeoutError("the deadline passed while connecting")
    connection.limit_wait(remaining + DEADLINE_MARGIN_S)
    sent = True
    try:
        connection.request(
            message.method,
            message.path,
            body=message.body,
            headers=headers,
            preload_content=False,
            decode_content=False,
            enforce_content_length=True,
        )
    except (BrokenPipeError, ConnectionResetError):
        # A host that refuses a request may do so before it read the body.
        sent = False
    # The socket leaves the connection when the response says that it closes.
    sock = connection.sock
    response = connection.getresponse()
    if response.status < 200:
        raise HTTPException(f"unexpected interim status {response.status}")
    return response, sock, sent


def _read_body(message, response):
    """Return a body that is proved to be whole."""
    if message.method == "HEAD" or response.status in _NO_BODY_STATUSES:
        response.close()
        return b""
    chunked = response.headers.get("transfer-encoding", "").lower() == "chunked"
    if not chunked and "content-length" not in response.headers:
        raise HTTPException("the response does not declare its length")
    to_sink = message.sink is not None and 200 <= response.status < 300
    target = message.sink if to_sink else io.BytesIO()
    size = 0
    for part in iter_parts(response):
        size += len(part)
        if not to_sink and size > message.max_body:
            raise _ResponseTooLarge(f"the body has over {message.max_body} bytes")
        target.write(part)
    return b"" if to_sink else target.getvalue()


def _judge_response(message, host, response, body):
    """Return the outcome of a complete response."""
    verdict = response.headers.get("request-run")
    reason = response.headers.get("failure-reason")
    if reason is None or verdict not in (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN):
        return Ok(
            CallerResponse(
                response.status, response.headers, body, message.request_id, host
            )
        )
    verdict = Verdict(verdict)
    if response.status not in _NOT_RUN_STATUSES:
        # An entry host proves nothing with such a status, whatever it says.
        verdict = Verdict.MAY_HAVE_RUN
    text = body.decode("utf-8", "replace").strip().rpartition("\n")[2]
    detail = text.removeprefix(f"reason {reason}: ")
    return Error(
        CallerFailure(
            verdict, reason, detail, message.request_id, host, response.status
        )
    )


def _describe_error(message, connection, error):
    """Return the failure for an error of a connection."""
    late = time.time() >= message.deadline and isinstance(error, TimeoutError)
    host = connection.entry_host
    detail = f"{host}: {error or type(error).__name__}"
    if not connection.started:
        reason = Reason.DEADLINE if late else Reason.CONNECT
        return _refuse(message, host, reason, detail)
    if isinstance(error, _ResponseTooLarge):
        reason = Reason.TOO_LARGE
    elif late:
        reason = Reason.DEADLINE
    elif isinstance(error, ConnectionError):
        reason = Reason.RESET
    else:
        reason = Reason.TRUNCATED
    return CallerFailure(
        Verdict.MAY_HAVE_RUN, str(reason), detail, message.request_id, host
    )


def _refuse(message, host, reason, detail):
    """Return a failure that proves that a request did not run."""
    return CallerFailure(Verdict.NOT_RUN, str(reason), detail, message.request_id, host)
