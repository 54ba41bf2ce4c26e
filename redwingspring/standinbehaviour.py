"""Behaviour and faults of the stand-in target, and its downloads."""

import hashlib
from dataclasses import dataclass, fields, replace
from functools import lru_cache

# A prime length, so that a resumed download at a wrong offset shows.
PATTERN_BYTES = 65_521

FAULTS = (
    "conflicting-lengths",
    "crossed-body",
    "crossed-id",
    "early-response",
    "extra-bytes",
    "fail",
    "interim",
    "late-answer",
    "missing-id",
    "no-answer",
    "over-long",
    "refuse",
    "reset-accept",
    "reset-after-body",
    "reset-after-head",
    "reset-after-work",
    "reset-in-body",
    "reset-in-request-body",
    "reset-in-response-head",
    "truncated",
    "unframed",
)


@dataclass(frozen=True)
class Fault:
    """One fault that the stand-in injects.

    Attributes
    ----------
    name : str
        One of ``FAULTS``.
    rate : float, default=1.0
        Share of matching requests that get the fault.
    methods : tuple of str, default=()
        Methods that match; all when empty.
    path : str, default=""
        Start of the paths that match.
    at : int, default=-1
        Byte of the body at which a fault in the body strikes; half of the
        body when negative. A shorter body stays whole. With 0,
        ``reset-accept`` also resets connections to the control pages.
    """

    name: str
    rate: float = 1.0
    methods: tuple = ()
    path: str = ""
    at: int = -1

    def __post_init__(self):
        if self.name not in FAULTS:
            raise ValueError(f"unknown fault {self.name!r}")


@dataclass(frozen=True)
class TargetBehaviour:
    """How a stand-in target behaves.

    Attributes
    ----------
    slots : int, default=3
        Requests run at once; more are refused.
    connections : int, default=250
        Connections in use at once; requests on more are refused.
    work_s : float, default=0.005
        Seconds of one request.
    latency : float, default=1.0
        Factor on ``work_s``, above 1 for a straggler.
    cold_s : float, default=0.0
        Seconds that a cold start lasts.
    cold_responses : int, default=0
        Whole responses that a cold start lasts; it ends when both bounds are
        reached.
    cold_slots : int, default=1
        Requests borne at once in cold start.
    stall_s : float, default=1.0
        How long the target stalls when it falls over.
    leaving : bool, default=False
        Whether the load report says ``leaving``.
    report : str, default=""
        Text of a misleading load report; ``-`` for none.
    shed_rate : float, default=0.0
        Share of requests refused at random.
    shed_status : int, default=503
        Status of refusals.
    start_on : {"body", "head"}, default="body"
        Whether a request starts to run after its head or after its body.
    body_rate : float, default=0.0
        Bytes a second of downloads; 0 for no bound.
    content : str, default="1"
        Version of the downloads' content; changes their ETag.
    faults : tuple of Fault, default=()
        Faults; the first that matches a request strikes.
    seed : int, default=1
        Seed of the random choices.
    """

    slots: int = 3
    connections: int = 250
    work_s: float = 0.005
    latency: float = 1.0
    cold_s: float = 0.0
    cold_responses: int = 0
    cold_slots: int = 1
    stall_s: float = 1.0
    leaving: bool = False
    report: str = ""
    shed_rate: float = 0.0
    shed_status: int = 503
    start_on: str = "body"
    body_rate: float = 0.0
    content: str = "1"
    faults: tuple = ()
    seed: int = 1

    def change(self, values):
        """Return a behaviour with some values replaced.

        Parameters
        ----------
        values : dict
            New values by field name, as decoded from JSON.

        Returns
        -------
        TargetBehaviour
            The changed behaviour.

        Raises
        ------
        ValueError
            If a field or fault is unknown.
        """
        unknown = set(values) - {field.name for field in fields(self)}
        if unknown:
            raise ValueError(f"unknown fields {sorted(unknown)}")
        values = dict(values)
        if "faults" in values:
            values["faults"] = tuple(
                Fault(**{**item, "methods": tuple(item.get("methods", ()))})
                for item in values["faults"]
            )
        return replace(self, **values)


@lru_cache(maxsize=64)
def make_pattern(size, content="1"):
    """Return the bytes that a download of one size repeats.

    Parameters
    ----------
    size : int
        Size of the download.
    content : str, default="1"
        Version of the content.

    Returns
    -------
    bytes
        ``PATTERN_BYTES`` bytes.
    """
    return hashlib.shake_256(f"{content}/{size}".encode()).digest(PATTERN_BYTES)


def slice_content(size, start, stop, content="1"):
    """Yield the bytes from ``start`` up to ``stop`` of a download.

    Parameters
    ----------
    size : int
        Size of the whole download.
    start : int
        First byte.
    stop : int
        End, not included.
    content : str, default="1"
        Version of the content.

    Yields
    ------
    bytes
        At most ``PATTERN_BYTES`` bytes.
    """
    pattern = make_pattern(size, content)
    while start < stop:
        offset = start % PATTERN_BYTES
        part = pattern[offset : offset + stop - start]
        yield part
        start += len(part)
