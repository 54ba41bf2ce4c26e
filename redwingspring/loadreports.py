"""Load reports that targets send on their responses."""

import time
from dataclasses import dataclass
from enum import StrEnum


class Temperature(StrEnum):
    """Warm-up state of a target: cold start, full load or about to stop."""

    COLD = "cold"
    WARM = "warm"
    LEAVING = "leaving"

    def __str__(self):
        return self.value


@dataclass(frozen=True)
class LoadReport:
    """Load and state that a target reported on a response.

    Attributes
    ----------
    in_flight : int
        Requests in progress at the target.
    slots : int
        Requests that the target processes concurrently.
    temperature : Temperature
        State that the target reports.
    start_id : str
        Identifier of one start of the target process.
    time : float
        Monotonic time of receipt, in seconds.
    """

    in_flight: int
    slots: int
    temperature: Temperature
    start_id: str
    time: float


def parse_load_report(text, now=None):
    """Parse a ``Load-Report`` header.

    Parameters
    ----------
    text : str or None
        Value such as ``inflight=2; slots=3; state=warm; start=5f3a``.
    now : float or None, default=None
        Monotonic time of receipt in seconds; the current time when None.

    Returns
    -------
    LoadReport or None
        None when the header is absent or malformed.
    """
    if not text:
        return None
    fields = {}
    for part in text.split(";"):
        name, _, value = part.partition("=")
        fields[name.strip()] = value.strip()
    try:
        return LoadReport(
            int(fields["inflight"]),
            int(fields["slots"]),
            Temperature(fields["state"]),
            fields.get("start", ""),
            time.monotonic() if now is None else now,
        )
    except (KeyError, ValueError):
        return None
