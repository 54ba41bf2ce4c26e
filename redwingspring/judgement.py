"""Whether a host takes requests now, and why."""

import time
from dataclasses import dataclass

from .membership import HostState
from .verdict import Reason

OK = "ok"
LEAVING = "leaving"


@dataclass(frozen=True)
class ServiceJudgement:
    """Whether this host takes requests of a service.

    Attributes
    ----------
    service : str
        Name of the service.
    taken : bool
        Whether a request that arrives now is taken.
    reason : str
        ``ok``, ``leaving``, or the reason that a refusal would carry.
    """

    service: str
    taken: bool
    reason: str


def judge_host(entry):
    """Return whether a host takes new work, and why.

    Parameters
    ----------
    entry : Entry
        The process.

    Returns
    -------
    tuple of bool and str
        Whether it does, and ``ok``, ``leaving`` or a refusal's reason.
    """
    refusal = entry.membership.check_serving()
    if refusal is not None:
        return False, str(refusal.reason)
    # A leaving host still takes work, so that callers who know its address
    # from an earlier answer lose nothing.
    leaving = entry.membership.state is HostState.LEAVING
    return True, LEAVING if leaving else OK


def judge_service(entry, service):
    """Return whether a host takes requests of a service.

    Parameters
    ----------
    entry : Entry
        The process.
    service : str
        Name of the service.

    Returns
    -------
    ServiceJudgement
        True at this moment.
    """
    taken, reason = judge_host(entry)
    if not taken:
        return ServiceJudgement(service, False, reason)
    table = entry.directory.table
    admission = entry.admissions.find(service)
    if table is None or service not in table.services or admission is None:
        return ServiceJudgement(service, False, str(Reason.UNKNOWN_SERVICE))
    now = time.monotonic()
    if not any(state.accepts_work(now) for state in table.services[service]):
        return ServiceJudgement(service, False, str(Reason.NO_CAPACITY))
    must_wait = admission.in_flight >= admission.limit or admission.waiting > 0
    if must_wait and admission.waiting >= admission.queue_length:
        return ServiceJudgement(service, False, str(Reason.QUEUE_FULL))
    return ServiceJudgement(service, True, reason)
