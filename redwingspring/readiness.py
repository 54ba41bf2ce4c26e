"""Readiness of this host and its services, with the reason."""

import time
from dataclasses import dataclass

from .membership import HostState
from .verdict import Reason

OK = "ok"
LEAVING = "leaving"


@dataclass(frozen=True)
class ServiceReadiness:
    """Whether this host accepts requests of a service.

    Attributes
    ----------
    service : str
        Name of the service.
    taken : bool
        Whether a request that arrives now is accepted.
    reason : str
        ``ok``, ``leaving``, or the reason with which a request would be refused.
    """

    service: str
    taken: bool
    reason: str


def check_host_readiness(entry):
    """Check whether this host accepts requests.

    Parameters
    ----------
    entry : Entry
        The process.

    Returns
    -------
    tuple of bool and str
        Whether it does, and ``ok``, ``leaving`` or the reason of a refusal.
    """
    refusal = entry.membership.check_serving()
    if refusal is not None:
        return False, str(refusal.reason)
    # A leaving host still accepts requests, so that callers with its address from an
    # earlier directory response do not fail.
    leaving = entry.membership.state is HostState.LEAVING
    return True, LEAVING if leaving else OK


def check_service_readiness(entry, service):
    """Check whether this host accepts requests of a service.

    Parameters
    ----------
    entry : Entry
        The process.
    service : str
        Name of the service.

    Returns
    -------
    ServiceReadiness
        The readiness at this moment.
    """
    taken, reason = check_host_readiness(entry)
    if not taken:
        return ServiceReadiness(service, False, reason)
    table = entry.directory.table
    admission = entry.admissions.find(service)
    if table is None or service not in table.services or admission is None:
        return ServiceReadiness(service, False, str(Reason.UNKNOWN_SERVICE))
    now = time.monotonic()
    if not any(state.accepts_work(now) for state in table.services[service]):
        return ServiceReadiness(service, False, str(Reason.NO_CAPACITY))
    must_wait = admission.in_flight >= admission.limit or admission.waiting > 0
    if must_wait and admission.waiting >= admission.queue_length:
        return ServiceReadiness(service, False, str(Reason.QUEUE_FULL))
    return ServiceReadiness(service, True, reason)
