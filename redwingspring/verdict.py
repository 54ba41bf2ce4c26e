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
    """Why an entry host gave no whole answer of a target."""

    MALFORMED = "malformed"
    TOO_LARGE = "too-large"
    UNKNOWN_SERVICE = "unknown-service"
    NOT_READY = "not-ready"
    ISOLATED = "isolated"
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

    def __str__(self):
        return self.value


@dataclass(frozen=True)
class Failure:
    """The outcome of a request that has no whole answer.

    Attributes
    ----------
    verdict : Verdict
        ``NOT_RUN`` only with proof that no target started the request.
    reason : Reason
        The cause, as sent in the header ``Failure-Reason``.
    detail : str
        One sentence for a person.
    status : int, default=503
        HTTP status of the answer to the caller.
    """

    verdict: Verdict
    reason: Reason
    detail: str
    status: int = 503

    @property
    def proves_not_run(self):
        """Tell whether the request certainly did not run."""
        return self.verdict is Verdict.NOT_RUN


def refuse(reason, detail, status=503):
    """Return a failure that proves that the request did not run.

    Parameters
    ----------
    reason : Reason
        The cause.
    detail : str
        One sentence for a person.
    status : int, default=503
        HTTP status of the answer.

    Returns
    -------
    Failure
        A failure with the verdict ``NOT_RUN``.
    """
    return Failure(Verdict.NOT_RUN, reason, detail, status)


def fail_uncertain(reason, detail, status=502):
    """Return a failure of a request that may have run.

    Parameters
    ----------
    reason : Reason
        The cause.
    detail : str
        One sentence for a person.
    status : int, default=502
        HTTP status of the answer.

    Returns
    -------
    Failure
        A failure with the verdict ``MAY_HAVE_RUN``.
    """
    return Failure(Verdict.MAY_HAVE_RUN, reason, detail, status)
