"""What the headers of requests and responses say, in the product's own types."""

from dataclasses import dataclass


@dataclass(frozen=True)
class RequestTerms:
    """What a caller's headers say of its request.

    Attributes
    ----------
    request_id : str or None
        Identifies one attempt of the caller.
    time_left_s : float or None
        Seconds that the caller will wait.
    """

    request_id: str | None
    time_left_s: float | None


@dataclass(frozen=True)
class ResponseTerms:
    """What a target's headers say of its response.

    Attributes
    ----------
    request_id : str or None
        Request that it belongs to, where the target tells.
    signed : bool
        Whether it bears the target's signature.
    not_run : bool
        Whether the target states that it did not run the request.
    instance_id : str or None
        Instance that responds, where it tells.
    load : LoadSample or None
        Load of the target, where it tells.
    cold_s : float
        Seconds that the target stays cold.
    """

    request_id: str | None
    signed: bool
    not_run: bool
    instance_id: str | None
    load: object
    cold_s: float
