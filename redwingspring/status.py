"""Text of the status page and of the pages for one service or one request."""

import time
from collections import Counter
from dataclasses import dataclass
from urllib.parse import quote, unquote

from .addresses import find_alternatives
from .errors import PageError
from .logs import count_dropped_lines
from .readiness import check_host_readiness, check_service_readiness
from .requestlog import RequestState
from .version import __version__

PAGE_NAME = "redwingspring-status"
PAGE_VERSION = "1"
VERSION_LINE = f"{PAGE_NAME} {PAGE_VERSION}"
# Characters that are not percent-encoded, besides letters, digits and ``_.-``. A
# value thus cannot contain a space or a line break, which separate words and lines.
_UNQUOTED_CHARACTERS = "!#$&'()*+,/:;=?@[]~"
_TARGET_STATES = ("warm", "cold", "leaving", "out", "ejected")
# Shown even before the first event, so that scripts find them at 0.
_COUNTERS = (
    "requests.ran",
    "requests.not-run",
    "requests.may-have-run",
    "responses.broken",
    "downloads.resumed",
    "attempts.sent",
    "retries.sent",
    "retries.over_budget",
    "targets.ejected",
    "publication.taken",
    "publication.refused",
    "server.rejected.connections",
)
_COUNTER_PREFIXES = ("failures.",)


@dataclass(frozen=True)
class Timestamp:
    """One point in time by the wall clock and the monotonic clock.

    Attributes
    ----------
    unix : float
        Unix time in seconds.
    monotonic : float
        Monotonic time in seconds, used for ages.
    """

    unix: float
    monotonic: float

    @classmethod
    def now(cls):
        """Return the present time.

        Returns
        -------
        Timestamp
            The present time.
        """
        return cls(time.time(), time.monotonic())

    @property
    def unix_ms(self):
        """Unix time in milliseconds."""
        return int(self.unix * 1000)

    def age_ms(self, now):
        """Return the age of this timestamp in milliseconds.

        Parameters
        ----------
        now : Timestamp
            The present time.

        Returns
        -------
        int
            Milliseconds.
        """
        return max(0, int((now.monotonic - self.monotonic) * 1000))


@dataclass(frozen=True)
class ValueInForce:
    """A published value that this host currently uses.

    Attributes
    ----------
    stamp : Stamp
        Revision and digest, which order published values.
    source : str
        Where this host got the value from.
    since : Timestamp
        When this host began to use the value.
    """

    stamp: object
    source: str
    since: Timestamp


def format_word(value):
    """Return a value as one word of a page.

    Parameters
    ----------
    value : object
        Any value.

    Returns
    -------
    str
        Printable ASCII without spaces; ``-`` for an empty value.
    """
    return quote(str(value), safe=_UNQUOTED_CHARACTERS) or "-"


def format_fact(fact):
    """Return a fact as one line of a page.

    Parameters
    ----------
    fact : dict
        Values by key, in order; the first key names the kind of fact.

    Returns
    -------
    str
        The line without a line break.
    """
    return " ".join(f"{key} {format_word(value)}" for key, value in fact.items())


def render_status(entry):
    """Return the status page of an entry process.

    Parameters
    ----------
    entry : Entry
        The process.

    Returns
    -------
    str
        The version line, followed by one fact per line.
    """
    lines = [VERSION_LINE, *(format_fact(fact) for fact in collect_facts(entry))]
    return "\n".join(lines) + "\n"


def parse_status(text):
    """Parse the facts of a status page.

    Parameters
    ----------
    text : str
        The page.

    Returns
    -------
    list of dict
        Values by key, one dict per line. Lines that are not key-value pairs
        are skipped.

    Raises
    ------
    PageError
        If the first line does not name version 1 of the page.
    """
    first, *lines = text.split("\n")
    if first != VERSION_LINE:
        raise PageError(f"the first line is {first[:80]!r}, not {VERSION_LINE!r}")
    facts = []
    for line in lines:
        words = line.split(" ")
        if len(words) % 2 == 0 and all(words):
            values = (unquote(word) for word in words[1::2])
            facts.append(dict(zip(words[::2], values, strict=True)))
    return facts


def collect_facts(entry):
    """Return the facts of the status page, in the order of its lines.

    Parameters
    ----------
    entry : Entry
        The process.

    Returns
    -------
    list of dict
        Values by key, one dict per line.
    """
    now = Timestamp.now()
    facts = [{"printed": now.unix_ms}, *_collect_host(entry, now)]
    for key in ("configuration", "hosts"):
        facts.append(_describe_value(key, entry.in_force.get(key), now))
    table = entry.directory.table
    if table is not None:
        for service in sorted(table.services):
            facts += _collect_service(entry, table.services[service], service, now)
        facts += _collect_data_centres(table)
    alternatives = find_alternatives(entry.membership, entry.settings)
    for position, host in enumerate(alternatives, 1):
        facts.append(
            {
                "instead": position,
                "address": host.address,
                "data-centre": host.data_centre,
            }
        )
    facts.append(
        {"request-memory": "ids", **describe_request_memory(entry.requests.get_stats())}
    )
    facts += _collect_counters(entry.metrics.snapshot())
    facts += _collect_timings(entry.metrics.timings(), now)
    return facts


def describe_request_memory(memory):
    """Return the size and completeness of a request log as a fact.

    Parameters
    ----------
    memory : RequestLogStats
        Size and completeness of the log.

    Returns
    -------
    dict
        Values by key.
    """
    complete_ms = max(0, int((time.time() - memory.complete_since) * 1000))
    return {
        "remembered": memory.ids,
        "capacity": memory.capacity,
        "complete-ms": complete_ms,
    }


def render_service(readiness):
    """Return the page that tells whether requests of a service are accepted.

    Parameters
    ----------
    readiness : ServiceReadiness
        Whether this host accepts requests of the service.

    Returns
    -------
    str
        One line.
    """
    word = "taken" if readiness.taken else "refused"
    return f"service {format_word(readiness.service)} {word} {readiness.reason}\n"


def render_request(request_id, requests):
    """Return the page with the state of a request.

    Parameters
    ----------
    request_id : str
        Id of the request.
    requests : RequestLog
        Request log of the host.

    Returns
    -------
    str
        The state, then the size and completeness of the request log.
    """
    # The memory is read before the state, so that the page never claims to remember
    # an id that was evicted between the two reads.
    memory = requests.get_stats()
    state = RequestState(requests.find(request_id))
    fact = {"request-memory": "ids", **describe_request_memory(memory)}
    return f"request {format_word(request_id)} {state}\n{format_fact(fact)}\n"


def sample_gauges(entry, metrics):
    """Set the gauges that describe the current load.

    Parameters
    ----------
    entry : Entry
        The process.
    metrics : Metrics
        Metrics to set the gauges in.
    """
    totals = entry.admissions.totals().values()
    metrics.set_gauge("requests.in_flight", sum(running for running, _ in totals))
    metrics.set_gauge("requests.waiting", sum(waiting for _, waiting in totals))
    metrics.set_gauge("server.connections", entry.server.requests.count)
    metrics.set_gauge("logs.dropped", count_dropped_lines())
    value = entry.in_force.get("configuration")
    if value is not None:
        metrics.set_gauge("configuration.revision", value.stamp.revision)


def _collect_host(entry, now):
    """Return the identity of this host and whether it accepts requests."""
    settings = entry.settings
    taken, reason = check_host_readiness(entry)
    started = entry.started
    return [
        {
            "host": settings.name,
            "data-centre": settings.data_centre,
            "address": settings.address,
        },
        {"version": __version__},
        {"process-start": started.unix_ms, "age-ms": started.age_ms(now)},
        {
            "state": entry.membership.state,
            "taken": _format_flag(taken),
            "reason": reason,
        },
    ]


def _describe_value(key, value, now):
    """Return which revision of a published value this host uses."""
    if value is None:
        return {key: "none"}
    return {
        key: value.stamp.revision,
        "digest": value.stamp.digest,
        "source": value.source,
        "age-ms": value.since.age_ms(now),
    }


def _collect_service(entry, states, service, now):
    """Return readiness, targets, load reports and load of one service."""
    readiness = check_service_readiness(entry, service)
    counts = Counter(_classify_target(state, now.monotonic) for state in states)
    facts = [
        {
            "service": service,
            "taken": _format_flag(readiness.taken),
            "reason": readiness.reason,
        },
        {"targets": service, **{name: counts[name] for name in _TARGET_STATES}},
    ]
    reports = [state.report for state in states]
    ages = [int((now.monotonic - r.time) * 1000) for r in reports if r is not None]
    facts.append(
        {
            "reports": service,
            "known": len(ages),
            "newest-age-ms": max(0, min(ages)) if ages else "none",
            "oldest-age-ms": max(0, max(ages)) if ages else "none",
        }
    )
    admission = entry.admissions.find(service)
    if admission is not None:
        facts.append(
            {
                "load": service,
                "in-flight": admission.in_flight,
                "limit": admission.limit,
                "waiting": admission.waiting,
                "queue": admission.queue_length,
            }
        )
    return facts


def _classify_target(state, now):
    """Return the state by which a target is counted; the first that applies."""
    if state.limits.out:
        return "out"
    if state.leaving:
        return "leaving"
    if state.ejected_until > now:
        return "ejected"
    return "cold" if state.is_cold else "warm"


def _collect_data_centres(table):
    """Return the targets and out-of-service targets of each data centre."""
    totals, outs = Counter(), Counter()
    for states in table.services.values():
        for state in states:
            totals[state.target.data_centre] += 1
            outs[state.target.data_centre] += state.limits.out
    return [
        {
            "data-centre": name,
            "serve": "out" if outs[name] == totals[name] else "in",
            "targets": totals[name],
            "out": outs[name],
        }
        for name in sorted(totals)
    ]


def _collect_counters(totals):
    """Return the counters that scripts read."""
    by_prefix = sorted(name for name in totals if name.startswith(_COUNTER_PREFIXES))
    return [
        {"counter": name, "total": totals.get(name, 0)}
        for name in (*_COUNTERS, *by_prefix)
    ]


def _collect_timings(timings, now):
    """Return the timings of the last complete window."""
    return [
        {
            "timing": name,
            "count": summary.count,
            "p50-ms": summary.p50_ms,
            "p99-ms": summary.p99_ms,
            "max-ms": summary.max_ms,
            "window-ms": summary.window_ms,
            "age-ms": max(0, int((now.monotonic - summary.ended_at) * 1000)),
        }
        for name, summary in sorted(timings.items())
    ]


def _format_flag(flag):
    return "yes" if flag else "no"
