"""Request and response metadata, parsed from the headers of the platform."""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class RequestMetadata:
    """Metadata in the headers of a caller's request.

    Attributes
    ----------
    request_id : str or None
        Identifier of one attempt of the caller; None if missing or too long.
    time_left_s : float or None
        Seconds until the caller times out.
    api_key : bytes or None, default=None
        API key as the caller sent it; None if it sent none. Empty if it sent one in a
        form that cannot be read.
    """

    request_id: str | None
    time_left_s: float | None
    api_key: bytes | None = field(default=None, repr=False)


@dataclass(frozen=True)
class ResponseMetadata:
    """Metadata in the headers of a target's response.

    Attributes
    ----------
    request_id : str or None
        Request that the response answers; None if the target does not state it.
    signed : bool
        Whether the response has the target's signature.
    not_run : bool
        Whether the target states that it did not run the request.
    instance_id : str or None
        Instance that responds; None if it does not state its id.
    load : LoadSample or None
        Load of the target; None if it does not report it.
    cold_s : float
        Seconds until the target has warmed up.
    draining : bool, default=False
        Whether the target states that it takes no new requests.
    retry_after_s : float or None, default=None
        Seconds for which the target wants no requests; None if it states none.
    """

    request_id: str | None
    signed: bool
    not_run: bool
    instance_id: str | None
    load: object
    cold_s: float
    draining: bool = False
    retry_after_s: float | None = None
