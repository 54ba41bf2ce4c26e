"""Checks of a target's response before it is relayed to the caller."""

from .targetresponse import check_reset_content
from .verdict import Reason, fail_uncertain, refuse

REFUSAL_STATUSES = (400, 421, 429, 503)
# Statuses with which a target may state for how long it wants no requests.
BUSY_STATUSES = (429, 503)
# Statuses that promise callers that the request did not run.
NOT_RUN_STATUSES = (408, 429, 503)
MISDIRECTED_STATUS = 421


def check_response(response, metadata, attempt):
    """Return the failure that forbids relaying a response.

    Parameters
    ----------
    response : TargetResponse
        The response; its body has not been read.
    metadata : ResponseMetadata
        Metadata in its headers.
    attempt : Attempt
        The request that was sent.

    Returns
    -------
    Failure or None
        None if the response can be relayed.
    """
    if metadata.request_id not in (None, attempt.attempt_id):
        detail = f"the response belongs to request {metadata.request_id}"
        return fail_uncertain(Reason.CROSSED, detail)
    if metadata.not_run and response.status in REFUSAL_STATUSES:
        if response.status == MISDIRECTED_STATUS:
            return refuse(Reason.WRONG_INSTANCE, "another instance has the address")
        return refuse(Reason.TARGET_REFUSED, "the target refused the request")
    if response.status == MISDIRECTED_STATUS:
        return refuse(Reason.WRONG_INSTANCE, "another instance has the address")
    if response.status in NOT_RUN_STATUSES:
        # Relaying the status would promise what the target did not state.
        detail = f"status {response.status} of a target that may have run it"
        return fail_uncertain(Reason.TARGET_FAILED, detail)
    if response.status < 200:
        return fail_uncertain(Reason.NO_ANSWER, "an unexpected interim response")
    if response.status < 300 and not metadata.signed:
        return fail_uncertain(Reason.CROSSED, "a success without a signature")
    if response.headers.get("content-encoding") is not None:
        return fail_uncertain(Reason.CROSSED, "the body is not as the target made it")
    if response.has_unproved_end:
        return fail_uncertain(
            Reason.TRUNCATED, "the end of the response is unknown after a failed write"
        )
    return check_reset_content(response, attempt.method)
