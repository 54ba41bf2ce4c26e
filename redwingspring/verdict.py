"""Verdicts: whether a failed request may have run at a target."""

from dataclasses import dataclass
from enum import StrEnum


class Verdict(StrEnum):
    """Whether a target may have started a request."""

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"

    def __str__(self):
        return self.value


class Reason(StrEnum):
    """Why an entry host did not return a target's complete response."""

    MALFORMED = "malformed"
    TOO_LARGE = "too-large"
    UNKNOWN_SERVICE = "unknown-service"
    NOT_READY = "not-ready"
    ISOLATED = "isolated"
    STOPPING = "stopping"
    CONNECTIONS = "connections"
    QUEUE_FULL = "queue-full"
    NO_CAPACITY = "no-capacity"
    DEADLINE = "deadline"
    CONNECT = "connect"
    STALE_DECISION = "stale-decision"
    TARGET_REFUSED = "target-refused"
    TARGET_FAILED = "target-failed"
    NO_LEASE = "no-lease"
    RESET = "reset"
    NO_ANSWER = "no-answer"
    CROSSED = "crossed"
    WRONG_INSTANCE = "wrong-instance"
    TRUNCATED = "truncated"
    DUPLICATE = "duplicate"
    CALLER_GONE = "caller-gone"
    INTERNAL = "internal"
    UNAUTHORIZED = "unauthorized"
    UNCONFIRMED = "unconfirmed"
    RATE_LIMITED = "rate-limited"

    def __str__(self):
        return self.value


@dataclass(frozen=True)
class Failure:
    """Outcome of a request without a complete response from a target.

    Attributes
    ----------
    verdict : Verdict
        ``NOT_RUN`` only with proof that no target started the request.
    reason : Reason
        Cause, as sent in the ``Failure-Reason`` header.
    detail : str
        Human-readable sentence.
    status : int, default=503
        HTTP status of the response to the caller.
    invalid_response : bool, default=False
        Whether the target sent a response that is not valid HTTP.
    """

    verdict: Verdict
    reason: Reason
    detail: str
    status: int = 503
    invalid_response: bool = False

    @property
    def proves_not_run(self):
        """Tell whether the request is proven not to have run."""
        return self.verdict is Verdict.NOT_RUN


def refuse(reason, detail, status=503):
    """Build the failure of a request that is proven not to have run.

    Parameters
    ----------
    reason : Reason
        Cause of the failure.
    detail : str
        Human-readable sentence.
    status : int, default=503
        HTTP status of the response.

    Returns
    -------
    Failure
        A failure with the verdict ``NOT_RUN``.
    """
    return Failure(Verdict.NOT_RUN, reason, detail, status)


def refuse_stopping():
    """Build the failure of a request that comes too late for a stopping host.

    Returns
    -------
    Failure
        A failure with the verdict ``NOT_RUN``.
    """
    return refuse(Reason.STOPPING, "this host stops and could not answer in time")


def fail_uncertain(reason, detail, status=502):
    """Build the failure of a request that may have run.

    Parameters
    ----------
    reason : Reason
        Cause of the failure.
    detail : str
        Human-readable sentence.
    status : int, default=502
        HTTP status of the response.

    Returns
    -------
    Failure
        A failure with the verdict ``MAY_HAVE_RUN``.
    """
    return Failure(Verdict.MAY_HAVE_RUN, reason, detail, status)
