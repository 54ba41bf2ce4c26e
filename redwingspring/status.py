"""Text of the status page and of the pages that answer one question."""

import time
from collections import Counter
from dataclasses import dataclass
from urllib.parse import quote, unquote

from .addresses import find_alternatives
from .errors import PageError
from .logs import count_dropped
from .readiness import check_host_readiness, check_service_readiness
from .requestlog import RequestState
from .version import __version__

PAGE_NAME = "redwingspring-status"
PAGE_VERSION = "1"
VERSION_LINE = f"{PAGE_NAME} {PAGE_VERSION}"
# Characters that a word shows as they are; all others are percent-encoded, so
# that no value can end its word or its line.
_WORD_CHARACTERS = "!#$&'()*+,/:;=?@[]~"
_TARGET_STATES = ("warm", "cold", "leaving", "out", "ejected")
# Shown from the start, so that a script finds them at 0.
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
class Moment:
    """One moment by both clocks.

    Attributes
    ----------
    unix : float
        Unix time in seconds.
    monotonic : float
        Monotonic time in seconds; ages are taken from it.
    """

    unix: float
    monotonic: float

    @classmethod
    def now(cls):
        """Return the present moment.

        Returns
        -------
        Moment
            The present.
        """
        return cls(time.time(), time.monotonic())

    @property
    def unix_ms(self):
        """Unix time in milliseconds."""
        return int(self.unix * 1000)

    def age_ms(self, now):
        """Return how long ago this moment was.

        Parameters
        ----------
        now : Moment
            The present.

        Returns
        -------
        int
            Milliseconds.
        """
        return max(0, int((now.monotonic - self.monotonic) * 1000))


@dataclass(frozen=True)
class ValueInForce:
    """A published value that is in force at this host.

    Attributes
    ----------
    stamp : Stamp
        Its place in the order of publication.
    source : str
        Where it came from.
    since : Moment
        When it was put in force here.
    """

    stamp: object
    source: str
    since: Moment


def format_word(value):
    """Return a value as one word of a page.

    Parameters
    ----------
    value : object
        Any value.

    Returns
    -------
    str
        Visible ASCII without spaces; ``-`` for an empty value.
    """
    return quote(str(value), safe=_WORD_CHARACTERS) or "-"


def format_fact(fact):
    """Return a fact as one line of a page.

    Parameters
    ----------
    fact : dict
        Values by key, in order; the first pair names the fact.

    Returns
    -------
    str
        The line without its end.
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
        The version line, then one fact on each line.
    """
    lines = [VERSION_LINE, *(format_fact(fact) for fact in collect_facts(entry))]
    return "\n".join(lines) + "\n"


def parse_status(text):
    """Return the facts of a status page.

    Parameters
    ----------
    text : str
        The page.

    Returns
    -------
    list of dict
        Values by key, one dict for each line. Lines that are not made of
        pairs are left out.

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
    """Return what the status page says, in the order of its lines.

    Parameters
    ----------
    entry : Entry
        The process.

    Returns
    -------
    list of dict
        Values by key, one dict for each line.
    """
    now = Moment.now()
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
        {"request-memory": "ids", **describe_memory(entry.requests.get_stats())}
    )
    facts += _collect_counters(entry.metrics.snapshot())
    facts += _collect_timings(entry.metrics.timings(), now)
    return facts


def describe_memory(memory):
    """Return how much a request log remembers, as pairs of a page.

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
    """Return the page that tells whether a service is taken.

    Parameters
    ----------
    readiness : ServiceReadiness
        What holds now.

    Returns
    -------
    str
        One line.
    """
    word = "taken" if readiness.taken else "refused"
    return f"service {format_word(readiness.service)} {word} {readiness.reason}\n"


def render_request(request_id, requests):
    """Return the page that tells what became of a request.

    Parameters
    ----------
    request_id : str
        Its id.
    requests : RequestLog
        What the host remembers.

    Returns
    -------
    str
        The state, then how long the host remembers ids.
    """
    # The memory is read first, so that the page never claims to remember
    # an id that was evicted between the two reads.
    memory = requests.get_stats()
    state = RequestState(requests.find(request_id))
    fact = {"request-memory": "ids", **describe_memory(memory)}
    return f"request {format_word(request_id)} {state}\n{format_fact(fact)}\n"


def sample_gauges(entry, metrics):
    """Set the gauges that describe the present load.

    Parameters
    ----------
    entry : Entry
        The process.
    metrics : Metrics
        Where the gauges are set.
    """
    totals = entry.admissions.totals().values()
    metrics.set_gauge("requests.in_flight", sum(running for running, _ in totals))
    metrics.set_gauge("requests.waiting", sum(waiting for _, waiting in totals))
    metrics.set_gauge("server.connections", entry.server.requests.count)
    metrics.set_gauge("logs.dropped", count_dropped())
    value = entry.in_force.get("configuration")
    if value is not None:
        metrics.set_gauge("configuration.revision", value.stamp.revision)


def _collect_host(entry, now):
    """Return who this host is and whether it takes work."""
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
            "taken": _say(taken),
            "reason": reason,
        },
    ]


def _describe_value(key, value, now):
    """Return which revision of a published value is in force."""
    if value is None:
        return {key: "none"}
    return {
        key: value.stamp.revision,
        "digest": value.stamp.digest,
        "source": value.source,
        "age-ms": value.since.age_ms(now),
    }


def _collect_service(entry, states, service, now):
    """Return the facts of one service."""
    readiness = check_service_readiness(entry, service)
    counts = Counter(_classify(state, now.monotonic) for state in states)
    facts = [
        {
            "service": service,
            "taken": _say(readiness.taken),
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


def _classify(state, now):
    """Return the one state under which a target is counted."""
    if state.limits.out:
        return "out"
    if state.leaving:
        return "leaving"
    if state.ejected_until > now:
        return "ejected"
    return "cold" if state.is_cold else "warm"


def _collect_data_centres(table):
    """Return which data centres are in service."""
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
    """Return the counters that matter to scripts."""
    more = sorted(name for name in totals if name.startswith(_COUNTER_PREFIXES))
    return [
        {"counter": name, "total": totals.get(name, 0)} for name in (*_COUNTERS, *more)
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


def _say(flag):
    return "yes" if flag else "no"
