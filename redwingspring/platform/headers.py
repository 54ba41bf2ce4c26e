"""Headers of requests and responses on the platform."""

from ..loadsamples import LoadSample
from ..metadata import RequestMetadata, ResponseMetadata

REQUEST_ID = "Request-Id"
TIME_LEFT = "Deadline-Ms"
EXPECTED_INSTANCE = "Target-Instance"
SIGNATURE = "Response-Signature"
LOAD = "Server-Load"
NOT_RUN = "Not-Executed"
INSTANCE = "Instance-Id"
COLD = "Warmup-Ms"

# Headers that the entry host sets anew for each target.
OWN_REQUEST_HEADERS = frozenset(
    (
        "content-length",
        "expect",
        REQUEST_ID.lower(),
        TIME_LEFT.lower(),
        EXPECTED_INSTANCE.lower(),
    )
)
# Headers between targets and this system that callers do not see. A promise that
# a request did not run is given by the status of this host's own answer.
OWN_RESPONSE_HEADERS = frozenset(
    (LOAD.lower(), INSTANCE.lower(), COLD.lower(), NOT_RUN.lower())
)
MAX_ID_LENGTH = 256


def read_request(environ):
    """Return what a caller's headers say.

    Parameters
    ----------
    environ : dict
        WSGI environment.

    Returns
    -------
    RequestMetadata
        Values that cannot be read are None.
    """
    request_id = environ.get("HTTP_REQUEST_ID") or None
    if request_id is not None and len(request_id) > MAX_ID_LENGTH:
        request_id = None
    # The value is the time that is left, not a point in time.
    left_ms = _read_number(environ.get("HTTP_DEADLINE_MS"))
    return RequestMetadata(request_id, None if left_ms is None else left_ms / 1000)


def render_request(request_id, time_left_s, instance_id):
    """Return the headers of one sending of a request.

    Parameters
    ----------
    request_id : str
        Given by the caller.
    time_left_s : float
        Seconds that the caller will wait from now on.
    instance_id : str
        The only instance that may run it.

    Returns
    -------
    dict of str to str
        Headers.
    """
    return {
        REQUEST_ID: request_id,
        TIME_LEFT: str(max(1, int(time_left_s * 1000))),
        EXPECTED_INSTANCE: instance_id,
    }


def read_response(headers):
    """Return what a target's headers say.

    Parameters
    ----------
    headers : mapping of str to str
        Headers of the response.

    Returns
    -------
    ResponseMetadata
        Values that cannot be read are None or 0.
    """
    cold_ms = _read_number(headers.get(COLD))
    return ResponseMetadata(
        request_id=headers.get(REQUEST_ID),
        signed=bool(headers.get(SIGNATURE)),
        not_run=headers.get(NOT_RUN) is not None,
        instance_id=headers.get(INSTANCE),
        load=_read_load(headers.get(LOAD)),
        cold_s=(cold_ms or 0.0) / 1000,
    )


def _read_load(text):
    """Return the load in a header, or None if it cannot be read."""
    if text is None:
        return None
    numbers = [_read_number(part.strip()) for part in text.split(",")]
    if len(numbers) < 3 or None in numbers:
        return None
    running, waiting, slots = (int(number) for number in numbers[:3])
    # Percent of the usual time that work takes; absent means as usual.
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
