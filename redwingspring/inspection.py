"""Queries of an entry host's control pages, for the command line."""

import json
import time
from dataclasses import dataclass
from enum import IntEnum
from urllib.parse import quote

from .callerconnections import read_page
from .errors import PageError
from .requestlog import RequestState
from .status import format_word, parse_status

PAGE_TIMEOUT_S = 5.0
FOLLOW_INTERVAL_S = 1.0


class ExitCode(IntEnum):
    """Exit codes of ``redwingspring status`` and ``redwingspring audit``."""

    OK = 0
    USAGE = 2
    REFUSED = 3
    NOT_RUN = 4
    MAY_HAVE_RUN = 5
    RUNNING = 6
    UNKNOWN = 7
    NO_ANSWER = 8
    INVALID_RESPONSE = 9


_REQUEST_CODES = {
    RequestState.RAN: ExitCode.OK,
    RequestState.NOT_RUN: ExitCode.NOT_RUN,
    RequestState.MAY_HAVE_RUN: ExitCode.MAY_HAVE_RUN,
    RequestState.RUNNING: ExitCode.RUNNING,
    RequestState.UNKNOWN: ExitCode.UNKNOWN,
}


class NoAnswerError(PageError):
    """An entry host did not respond."""


@dataclass(frozen=True)
class Inspection:
    """Result of a query to an entry host.

    Attributes
    ----------
    code : ExitCode
        Exit code that stands for the result.
    text : str
        The page.
    document : dict
        Content of the page, for output as JSON.
    """

    code: ExitCode
    text: str
    document: dict


@dataclass(frozen=True)
class AuditItem:
    """One entry of an audit trail, or a notice about the trail.

    Attributes
    ----------
    entry : dict or None
        Fields of the entry; None for a notice.
    notice : str or None, default=None
        Text of the notice.
    """

    entry: dict | None
    notice: str | None = None


def inspect_host(url):
    """Return whether a host accepts requests, with its status page.

    Parameters
    ----------
    url : str
        ``http://ip:port`` of the host.

    Returns
    -------
    Inspection
        Code ``OK`` or ``REFUSED``.

    Raises
    ------
    PageError
        If the host does not respond or its response cannot be parsed.
    """
    text = _fetch_page(url, "/-/status").text
    facts = parse_status(text)
    taken = [fact["taken"] for fact in facts if "state" in fact and "taken" in fact]
    if taken not in (["yes"], ["no"]):
        raise PageError(
            "the status page does not state whether the host accepts requests"
        )
    code = ExitCode.OK if taken == ["yes"] else ExitCode.REFUSED
    return Inspection(code, text, {"facts": facts})


def inspect_service(url, service):
    """Return whether a host accepts requests of a service.

    Parameters
    ----------
    url : str
        ``http://ip:port`` of the host.
    service : str
        Name of the service.

    Returns
    -------
    Inspection
        Code ``OK`` or ``REFUSED``.

    Raises
    ------
    PageError
        If the host does not respond or its response cannot be parsed.
    """
    text = _fetch_page(url, f"/-/service/{quote(service, safe='')}").text
    kind, name, state, reason = _read_words(text, 4)
    if (kind, name) != ("service", format_word(service)):
        raise PageError(f"the response is not about service {service!r}")
    if state not in ("taken", "refused"):
        raise PageError(f"the service state {state!r} is unknown")
    taken = state == "taken"
    document = {"service": service, "taken": taken, "reason": reason}
    return Inspection(ExitCode.OK if taken else ExitCode.REFUSED, text, document)


def inspect_request(url, request_id):
    """Return the state of a request at a host.

    Parameters
    ----------
    url : str
        ``http://ip:port`` of the host.
    request_id : str
        Id of the request.

    Returns
    -------
    Inspection
        The exit code depends on the state.

    Raises
    ------
    PageError
        If the host does not respond or its response cannot be parsed.
    """
    text = _fetch_page(url, f"/-/request/{quote(request_id, safe='')}").text
    kind, name, state = _read_words(text, 3)
    if (kind, name) != ("request", format_word(request_id)):
        raise PageError(f"the response is not about request {request_id!r}")
    try:
        code = _REQUEST_CODES[RequestState(state)]
    except ValueError as error:
        raise PageError(f"the request state {state!r} is unknown") from error
    return Inspection(code, text, {"request": request_id, "state": state})


def read_audit(url, after=0, follow=False, interval=FOLLOW_INTERVAL_S):
    """Yield the entries of a host's audit trail.

    Parameters
    ----------
    url : str
        ``http://ip:port`` of the host.
    after : int, default=0
        Number of the last entry that the reader already has.
    follow : bool, default=False
        Whether to wait for new entries and yield them too.
    interval : float, default=FOLLOW_INTERVAL_S
        Seconds between two polls while there is no new entry.

    Yields
    ------
    AuditItem
        Entries, oldest first, and notices about gaps.

    Raises
    ------
    PageError
        If the host does not respond and ``follow`` is false, or if its response
        cannot be parsed.
    """
    process = None
    answered = True
    while True:
        try:
            page = _fetch_page(url, f"/-/audit?after={after}")
        except NoAnswerError as error:
            if not follow:
                raise
            if answered:
                yield AuditItem(None, f"no answer, trying again: {error}")
            answered = False
            time.sleep(interval)
            continue
        answered = True
        previous_process, process = process, page.headers.get("process-start")
        if previous_process not in (None, process):
            yield AuditItem(None, "the process started again; numbers begin at 1")
            after = 0
            continue
        entries = _parse_entries(page)
        if entries and after and entries[0]["number"] > after + 1:
            lost = entries[0]["number"] - after - 1
            yield AuditItem(None, f"{lost} entries are no longer kept")
        for entry in entries:
            after = entry["number"]
            yield AuditItem(entry)
        if not entries:
            if not follow:
                return
            time.sleep(interval)


def _fetch_page(url, path):
    answer = read_page(url, path, timeout=PAGE_TIMEOUT_S)
    if answer.is_error():
        raise NoAnswerError(f"{url}: {answer.error}")
    return answer.ok


def _read_words(text, count):
    """Split the first line of a page into the expected number of words."""
    words = text.partition("\n")[0].split(" ")
    if len(words) != count:
        raise PageError(f"cannot parse the response {text[:80]!r}")
    return words


def _parse_entries(page):
    """Parse the entries of an audit page."""
    try:
        entries = [json.loads(line) for line in page.text.splitlines()]
        if page.status == 200 and all(
            isinstance(entry["number"], int)
            and isinstance(entry["time"], (int, float))
            and {"kind", "subject", "detail"} <= entry.keys()
            for entry in entries
        ):
            return entries
    except (ValueError, TypeError, KeyError, AttributeError):
        pass
    raise PageError("the response is not an audit trail")
