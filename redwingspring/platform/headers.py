"""Parsing and building of the platform's request and response headers."""

import re
from email.utils import parsedate_to_datetime

from ..metadata import RequestMetadata, ResponseMetadata
from ..policy.loadsamples import LoadSample

REQUEST_ID = "Request-Id"
TIME_LEFT = "Deadline-Ms"
EXPECTED_INSTANCE = "Target-Instance"
SIGNATURE = "Response-Signature"
SERVER_LOAD = "Server-Load"
NOT_EXECUTED = "Not-Executed"
INSTANCE = "Instance-Id"
WARMUP_LEFT = "Warmup-Ms"
DRAINING = "Server-Leaving"
DRAINING_VALUE = "1"
RETRY_AFTER = "Retry-After"
DATE = "Date"
# In all responses of the store: its epoch, which it increases each time it comes back
# from a copy.
STORE_EPOCH = "Store-Era"
AUTHORIZATION = "Authorization"
TEAM = "Tenant"
# Scheme of the credentials in Authorization; the API key follows it.
AUTHENTICATION_SCHEME = "Token"

# Request headers that the entry host replaces on each attempt.
REPLACED_REQUEST_HEADERS = frozenset(
    (
        "content-length",
        "expect",
        REQUEST_ID.lower(),
        TIME_LEFT.lower(),
        EXPECTED_INSTANCE.lower(),
    )
)
# Request headers that are not passed on while the configuration contains teams. Targets
# get the name of the team from this host only, and never a key.
TEAM_REQUEST_HEADERS = frozenset((AUTHORIZATION.lower(), TEAM.lower()))
# Response headers of targets that are not passed on to callers. That a request did
# not run is told to the caller by the status of this host's own response.
INTERNAL_RESPONSE_HEADERS = frozenset(
    (
        SERVER_LOAD.lower(),
        INSTANCE.lower(),
        WARMUP_LEFT.lower(),
        NOT_EXECUTED.lower(),
        DRAINING.lower(),
    )
)
MAX_REQUEST_ID_LENGTH = 256
_CREDENTIALS = re.compile(rf"{AUTHENTICATION_SCHEME} +([^ ].*)", re.I | re.S)
# The scheme at the start of any of several credentials, which the server joins.
_SCHEME = re.compile(rf"(?:\A|,)[ \t]*{AUTHENTICATION_SCHEME}(?:[ \t,]|\Z)", re.I)


def parse_request_headers(environ):
    """Parse the headers of a caller's request.

    Parameters
    ----------
    environ : dict
        WSGI environment.

    Returns
    -------
    RequestMetadata
        Missing and malformed values are None.
    """
    request_id = environ.get("HTTP_REQUEST_ID") or None
    if request_id is not None and len(request_id) > MAX_REQUEST_ID_LENGTH:
        request_id = None
    # The header holds the remaining time, not a point in time.
    left_ms = _read_number(environ.get("HTTP_DEADLINE_MS"))
    return RequestMetadata(
        request_id,
        None if left_ms is None else left_ms / 1000,
        _read_api_key(environ.get("HTTP_AUTHORIZATION")),
    )


def _read_api_key(text):
    """Return the bytes of the API key in Authorization, None without one.

    Credentials of other schemes are no key. Of several credentials none can be told to
    be the caller's; with a key among them they are a key that no team holds.
    """
    if text is None:
        return None
    match = _CREDENTIALS.fullmatch(text)
    if match:
        # The server decodes each byte of a header into one character.
        return match[1].encode("latin-1")
    return b"" if _SCHEME.search(text) else None


def build_request_headers(request_id, time_left_s, instance_id, team_name=None):
    """Return the headers for one attempt of a request.

    Parameters
    ----------
    request_id : str
        Id that the caller assigned.
    time_left_s : float
        Seconds until the caller times out.
    instance_id : str
        The only instance that may run the request.
    team_name : str or None, default=None
        Name of the team that sent the request, if it is known.

    Returns
    -------
    dict of str to str
        Headers.
    """
    headers = {
        REQUEST_ID: request_id,
        TIME_LEFT: str(max(1, int(time_left_s * 1000))),
        EXPECTED_INSTANCE: instance_id,
    }
    if team_name is not None:
        headers[TEAM] = team_name
    return headers


def parse_response_headers(headers):
    """Parse the headers of a target's response.

    Parameters
    ----------
    headers : mapping of str to str
        Headers of the response.

    Returns
    -------
    ResponseMetadata
        Missing and malformed values are None, False or 0.
    """
    cold_ms = _read_number(headers.get(WARMUP_LEFT))
    return ResponseMetadata(
        request_id=headers.get(REQUEST_ID),
        signed=bool(headers.get(SIGNATURE)),
        not_run=headers.get(NOT_EXECUTED) is not None,
        instance_id=headers.get(INSTANCE),
        load=_read_load(headers.get(SERVER_LOAD)),
        cold_s=(cold_ms or 0.0) / 1000,
        draining=(headers.get(DRAINING) or "").strip() == DRAINING_VALUE,
        retry_after_s=_read_retry_after(headers),
    )


def _read_retry_after(headers):
    """Return the seconds in a Retry-After header, or None without a positive number."""
    text = headers.get(RETRY_AFTER)
    if text is None:
        return None
    try:
        seconds = float(text)
    except ValueError:
        seconds = _compute_seconds_between(headers.get(DATE), text)
    # The comparison is also false for a value that is not a number.
    return seconds if seconds > 0 else None


def _compute_seconds_between(start, end):
    """Return the seconds between two HTTP dates, 0 if one of them is not a date.

    Both dates are of the target's clock, because this host's time of day may differ.
    """
    try:
        difference = parsedate_to_datetime(end) - parsedate_to_datetime(start)
    except (TypeError, ValueError, OverflowError, IndexError):
        return 0.0
    return difference.total_seconds()


def _read_load(text):
    """Return the load in a header, or None if it is missing or malformed."""
    if text is None:
        return None
    numbers = [_read_number(part.strip()) for part in text.split(",")]
    if len(numbers) < 3 or None in numbers:
        return None
    running, waiting, slots = (int(number) for number in numbers[:3])
    # The fourth field is the service time in percent of normal; 100 if it is absent.
    slowness = numbers[3] / 100 if len(numbers) > 3 else 1.0
    return LoadSample(running, waiting, max(1, slots), max(0.01, slowness))


def _read_number(text):
    """Return a non-negative number, or None for anything else."""
    if text is None:
        return None
    try:
        number = float(text)
    except ValueError:
        return None
    return number if 0 <= number < 1e12 else None
