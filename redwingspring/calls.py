"""Calls: callers' requests, parsed and validated for the data path."""

import re
import time
import uuid
from dataclasses import dataclass

from expression import Error, Ok

from .body import RequestBody
from .verdict import Reason, refuse

_REQUEST_ID = re.compile(r"[A-Za-z0-9._-]{1,64}")
HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
# The entry host sets these headers itself, or they describe the connection.
_REPLACED_HEADERS = frozenset(
    (
        "attempt-id",
        "content-length",
        "expect",
        "request-attempt",
        "request-deadline",
        "request-id",
        "response-deadline",
    )
)


@dataclass(frozen=True)
class Call:
    """Request of a caller.

    Attributes
    ----------
    request_id : str
        Id that the caller sent or that this host generated.
    service : str
        Name of the service.
    method : str
        HTTP method.
    path : str
        Path and query to send to the target.
    headers : dict of str to str
        End-to-end headers.
    body : RequestBody
        The request body.
    deadline : float
        Unix time in seconds by which the response must begin.
    prior_retries : int
        Number of retries before the request reached this host
        (``Request-Attempt``).
    idempotent : bool
        Whether it may be retried without proof that it did not run.
    caller_socket : socket.socket or None
        Socket of the caller's connection.
    """

    request_id: str
    service: str
    method: str
    path: str
    headers: dict
    body: RequestBody
    deadline: float
    prior_retries: int
    idempotent: bool
    caller_socket: object


def is_request_id(text):
    """Tell whether a text has the form of a request id.

    Parameters
    ----------
    text : str
        Any text.

    Returns
    -------
    bool
        True if a caller may use it as ``Request-Id``.
    """
    return _REQUEST_ID.fullmatch(text) is not None


def read_request_id(environ):
    """Return the caller's request id, or generate one.

    Parameters
    ----------
    environ : dict
        WSGI environment.

    Returns
    -------
    expression.Result
        Ok with the id, or an Error with a Failure.
    """
    caller_id = environ.get("HTTP_REQUEST_ID")
    if caller_id is None:
        return Ok(uuid.uuid4().hex)
    if is_request_id(caller_id):
        return Ok(caller_id)
    return Error(refuse(Reason.MALFORMED, "Request-Id is malformed", 400))


def read_call(environ, request_id, table):
    """Build the call that a WSGI environment describes.

    Parameters
    ----------
    environ : dict
        WSGI environment.
    request_id : str
        Id of the request.
    table : TargetTable or None
        Services and configuration in force; None before the first configuration.

    Returns
    -------
    expression.Result
        Ok with a Call, or an Error with a Failure.
    """
    if table is None:
        return Error(refuse(Reason.NOT_READY, "this host has no configuration yet"))
    service, path = _split_path(environ.get("REQUEST_URI") or environ["PATH_INFO"])
    if service not in table.services:
        detail = f"there is no service {service!r} here"
        return Error(refuse(Reason.UNKNOWN_SERVICE, detail, 404))
    configuration = table.configuration
    length = read_content_length(environ)
    max_bytes = configuration.service_value("request.body", service)
    if length is not None and length > max_bytes:
        return Error(refuse(Reason.TOO_LARGE, "the request body is too large", 413))
    latest_deadline = time.time() + configuration.service_value(
        "request.deadline", service
    )
    try:
        sent_deadline = environ.get("HTTP_REQUEST_DEADLINE")
        deadline = (
            _parse_number(sent_deadline) / 1000 if sent_deadline else latest_deadline
        )
        prior_retries = _parse_number(environ.get("HTTP_REQUEST_ATTEMPT") or "0")
    except (ValueError, OverflowError):
        detail = "Request-Deadline or Request-Attempt is not a number"
        return Error(refuse(Reason.MALFORMED, detail, 400))
    method = environ["REQUEST_METHOD"]
    methods = configuration.service_value("request.idempotent_methods", service)
    deadline = min(deadline, latest_deadline)
    connection = environ.get("redwingspring.connection")
    body = RequestBody(
        environ["wsgi.input"],
        length,
        max_bytes,
        deadline,
        connection.set_read_timeout if connection else None,
    )
    call = Call(
        request_id=request_id,
        service=service,
        method=method,
        path=path,
        headers=read_headers(environ, _REPLACED_HEADERS),
        body=body,
        deadline=deadline,
        prior_retries=prior_retries,
        idempotent=method in methods,
        caller_socket=connection.socket if connection else None,
    )
    return Ok(call)


def read_content_length(environ):
    """Return the declared length of a request body.

    Parameters
    ----------
    environ : dict
        WSGI environment.

    Returns
    -------
    int or None
        Length in bytes; None for a chunked body.
    """
    if environ.get("wsgi.input_terminated"):
        return None
    return int(environ.get("CONTENT_LENGTH") or 0)


def _parse_number(text):
    """Parse a non-negative integer of ASCII digits; ``int`` accepts other forms too."""
    if not text.isascii() or not text.isdigit():
        raise ValueError(text)
    return int(text)


def _split_path(uri):
    """Return the service and the path for the target, both without decoding."""
    path, separator, query = uri.partition("?")
    service, _, rest = path.lstrip("/").partition("/")
    return service, f"/{rest}{separator}{query}"


def read_headers(environ, replaced):
    """Return the end-to-end headers of a request.

    Parameters
    ----------
    environ : dict
        WSGI environment.
    replaced : frozenset of str
        Lower-case names of headers that the entry host sets itself.

    Returns
    -------
    dict of str to str
        Headers except hop-by-hop and replaced ones.
    """
    dropped = HOP_BY_HOP_HEADERS | replaced
    connection_options = environ.get("HTTP_CONNECTION")
    if connection_options:
        dropped = dropped | {
            name.strip().lower() for name in connection_options.split(",")
        }
    headers = {}
    for key, value in environ.items():
        if key.startswith("HTTP_"):
            name = key[5:].replace("_", "-").title()
            if name.lower() not in dropped:
                headers[name] = value
    if "CONTENT_TYPE" in environ:
        headers["Content-Type"] = environ["CONTENT_TYPE"]
    return headers
