"""Cost of the target size, worked out from measured slopes."""

from dataclasses import dataclass

CALLS_PER_S = 2_100_000
SERVERS = 12_000
SERVICES = 2_300
EXCEPTIONS = 500
CHANGES_PER_DAY = 43_000
DAY_S = 86_400
RESTARTS_PER_DAY = 590
DATA_CENTRES = 9
DEPTH = 29
# Processor time left for bursts and for the loss of a data centre.
UTILISATION = 0.6
CELL_HOSTS = 16
HEARTBEATS_PER_S = 4
GRANTORS = 9
# 1 + responses // 5 exceeds 3 slots after this many responses.
LEASES_PER_COLD_START = 15
# Services that a server calls; each answer is asked for once in 30 s.
SERVICES_CALLED = 10
ADDRESS_KEEP_S = 30
LIMIT_CPU = 0.027
LIMIT_MIB = 64e6 / (1 << 20)
LIMIT_BYTES = 10_000
LIMIT_ADDED_MS = 0.33


@dataclass(frozen=True)
class Figure:
    """One figure at the target size.

    Attributes
    ----------
    name : str
        What it is.
    formula : str
        How it follows from slopes.
    value : float
        The figure.
    unit : str
        Its unit.
    limit : float or None, default=None
        What the target allows.
    """

    name: str
    formula: str
    value: float
    unit: str
    limit: float | None = None


def count_leaf_attempts(depth, attempts, marked=True):
    """Return the requests at the last level if every attempt fails upwards.

    Parameters
    ----------
    depth : int
        Levels of calls.
    attempts : float
        Attempts of a level for each request that it may repeat.
    marked : bool, default=True
        Whether repeats carry ``Request-Attempt``, so that lower levels do not
        repeat them again.

    Returns
    -------
    float
        Requests at the last level for one request at the first.
    """
    fresh, repeated = 1.0, 0.0
    for _ in range(depth):
        if marked:
            repeated += fresh * (attempts - 1)
        else:
            fresh *= attempts
    return fresh + repeated


def count_hosts(request_s, utilisation=UTILISATION):
    """Return the entry processes that carry all calls.

    Parameters
    ----------
    request_s : float
        Processor seconds of a request; a process uses one core at most.
    utilisation : float, default=UTILISATION
        Share of the core that calls may use.

    Returns
    -------
    float
        Number of processes.
    """
    return CALLS_PER_S * request_s / utilisation


def derive_figures(fits, full, latency):
    """Return the figures of the target size under today's design.

    Parameters
    ----------
    fits : mapping of str to Fit
        By name of the series.
    full : mapping of str to float
        Medians of the configuration measured at the target size.
    latency : mapping of str to float
        Medians of latencies in milliseconds.

    Returns
    -------
    list of Figure
        In the order of the page.
    """
    request_s = fits["data path: cpu_percent"].slope / 100
    hosts = count_hosts(request_s)
    added = latency["through_p50"] - latency["direct_p50"]
    changes = CHANGES_PER_DAY / DAY_S
    readers = hosts**0.5
    take = fits["hosts: take_us"].slope / 1e6
    pair = fits["heartbeats of a fleet: cpu_percent"].slope / 100
    roles = 8 * (fits["hosts: live_us"].slope + fits["hosts: rank_us"].slope) / 1e6
    base = fits["heartbeats of a fleet: rss_mib"]
    logs = (
        fits["request log: resident_mib"].predict(50_000)
        + fits["audit trail: resident_mib"].predict(2_000)
        + 2 * fits["timings: resident_mib"].predict(50_000)
    )
    find = fits["grant: grant_us"].slope * SERVERS / 1e6
    lease = fits["lease: lease_us"].predict(GRANTORS) / 1e6
    cold_start = LEASES_PER_COLD_START * (lease + GRANTORS * find)
    asks = SERVERS * SERVICES_CALLED / ADDRESS_KEEP_S
    answer_s = fits["address: address_us"].predict(hosts) / 1e6
    answer = fits["address: address_kib"].predict(hosts) * 1024
    page_ms = (
        fits["status targets: status_ms"].predict(SERVERS)
        + fits["status hosts: status_ms"].slope * hosts
    )
    page_kib = (
        fits["status targets: status_kib"].predict(SERVERS)
        + fits["status hosts: status_kib"].slope * hosts
    )
    send = hosts / readers * fits["value: send_ms"].predict(full["bytes"] / 1024)
    return [
        Figure("processor time a call", "data path slope", request_s * 1e3, "ms"),
        Figure("cores for all calls", "calls x time", CALLS_PER_S * request_s, "cores"),
        Figure("entry hosts H", f"cores / {UTILISATION}", hosts, "hosts"),
        Figure("entry hosts at 45%", "cores / 0.45", count_hosts(request_s, 0.45),
               "hosts"),
        Figure("added, 99 in 100, within the process", "median of windows",
               latency["added_under_load_p99_ms"], "ms", LIMIT_ADDED_MS),
        Figure("added to a single call, median", "through - direct", added, "ms",
               LIMIT_ADDED_MS),
        Figure("added over 29 levels, median", "29 x added", DEPTH * added, "ms",
               DEPTH * LIMIT_ADDED_MS),
        Figure("calls at a host", "calls / H", CALLS_PER_S / hosts, "calls/s"),
        Figure(
            "memory of ids", "50,000 / calls at a host", 50_000 * hosts / CALLS_PER_S,
            "s",
        ),
        Figure("heartbeats, linear", "slope x H", pair * hosts, "cores", LIMIT_CPU),
        Figure(
            "heartbeats, quadratic", "take slope x 4 x H^2",
            take * HEARTBEATS_PER_S * hosts**2, "cores", LIMIT_CPU,
        ),
        Figure("choice of readers", "8 x (live + rank) x H", roles * hosts, "cores",
               LIMIT_CPU),
        Figure(
            "heartbeat bytes", "slope x H",
            fits["heartbeats of a fleet: bytes_per_s"].predict(hosts), "bytes/s",
            LIMIT_BYTES,
        ),
        Figure(
            "hosts within 2.7% of a core", "fleet line solved for 2.7%",
            (LIMIT_CPU * 100 - fits["heartbeats of a fleet: cpu_percent"].intercept)
            / (pair * 100), "hosts",
        ),
        Figure(
            "hosts within 10 KB/s", "fleet line solved for 10,000 bytes/s",
            (LIMIT_BYTES - fits["heartbeats of a fleet: bytes_per_s"].intercept)
            / fits["heartbeats of a fleet: bytes_per_s"].slope, "hosts",
        ),
        Figure("changes", "43,000 / 86,400", changes, "changes/s"),
        Figure(
            "changes, processor", "changes x change at full size",
            changes * full["change_ms"] / 1e3, "cores", LIMIT_CPU,
        ),
        Figure("changes, bytes", "changes x document", changes * full["bytes"],
               "bytes/s", LIMIT_BYTES),
        Figure(
            "change in force", "reader and host apply in turn, pulls between",
            (2 * full["change_ms"] + send) / 1e3, "s", 4.0,
        ),
        Figure("base of a process", "fleet line at 0 hosts", base.intercept, "MiB",
               LIMIT_MIB),
        Figure("configuration in memory", "peak at full size", full["peak_mib"], "MiB"),
        Figure("links", "slope x H", base.slope * hosts, "MiB"),
        Figure("logs at their bounds", "requests, audit, 2 timings", logs, "MiB"),
        Figure(
            "memory of a process", "sum of the four",
            base.predict(hosts) + full["peak_mib"] + logs, "MiB", LIMIT_MIB,
        ),
        Figure("readers", "sqrt(H)", readers, "hosts"),
        Figure(
            "calls of the service", "readers x (2 / 20 + changes) + 1",
            readers * (0.1 + changes) + 1, "calls/s", 2000,
        ),
        Figure(
            "calls when a data centre starts", "2 x H / 9", 2 * hosts / DATA_CENTRES,
            "calls/s", 2000,
        ),
        Figure("bytes of the service", "readers x changes x document",
               readers * changes * full["bytes"] / 1e6, "MB/s"),
        Figure("host list", "line at H",
               fits["host list: host_list_kib"].predict(hosts), "KiB", 1e6 / 1024),
        Figure("host list, time to parse", "line over squares at H^2",
               fits["host list: host_list_ms by square"].predict(hosts**2) / 1e3,
               "s", 4.0),
        Figure("calls at a target", "calls / 12,000", CALLS_PER_S / SERVERS, "calls/s"),
        Figure("time between reports of a target at one host", "H / calls at a target",
               hosts * SERVERS / CALLS_PER_S, "s"),
        Figure("search of a target by address", "grant slope x 12,000", find * 1e3,
               "ms"),
        Figure("lease", "lease line at 9", lease * 1e3, "ms"),
        Figure("lease bytes", "line at 9",
               fits["lease: lease_bytes"].predict(GRANTORS), "bytes"),
        Figure("cold start", "15 x (lease + 9 x search)", cold_start * 1e3, "ms"),
        Figure("cold starts of a day", "590 x cold start",
               RESTARTS_PER_DAY * cold_start, "core s"),
        Figure("address questions at a host", "12,000 x 10 / 30 / H", asks / hosts,
               "1/s"),
        Figure("address answer", "line at H", answer / 1024, "KiB"),
        Figure("address answers, processor", "questions x line at H",
               asks / hosts * answer_s, "cores", LIMIT_CPU),
        Figure("address answers, bytes at a host", "questions x answer",
               asks / hosts * answer, "bytes/s", LIMIT_BYTES),
        Figure("address answers, bytes at a caller", "10 x answer / 30",
               SERVICES_CALLED * answer / ADDRESS_KEEP_S, "bytes/s", LIMIT_BYTES),
        Figure("status page", "target and host lines", page_ms, "ms"),
        Figure("status page size", "target and host lines", page_kib, "KiB"),
        Figure("choice among 5 targets", "line at 12,000 / 2,300",
               fits["choice: choice_us"].predict(SERVERS / SERVICES), "us"),
        Figure("attempts at level 29, 3 attempts, marked", "1 + 29 x 2",
               count_leaf_attempts(DEPTH, 3), "requests"),
        Figure("attempts at level 29, 3 attempts, unmarked", "3^29",
               count_leaf_attempts(DEPTH, 3, False), "requests"),
        Figure("attempts at level 29, budget 10%, marked", "1 + 29 x 0.1",
               count_leaf_attempts(DEPTH, 1.1), "requests"),
        Figure("attempts at level 29, budget 10%, unmarked", "1.1^29",
               count_leaf_attempts(DEPTH, 1.1, False), "requests"),
        Figure("cell, heartbeats", "fleet line at 16, 1 s apart",
               fits["heartbeats of a fleet: cpu_percent"].predict(CELL_HOSTS) / 400,
               "cores", LIMIT_CPU),
        Figure("cell, heartbeat bytes", "fleet line at 16, 1 s apart",
               fits["heartbeats of a fleet: bytes_per_s"].predict(CELL_HOSTS) / 4,
               "bytes/s", LIMIT_BYTES),
        Figure("cells", "H / 16", hosts / CELL_HOSTS, "cells"),
        Figure("cell, services", "2,300 / cells", SERVICES * CELL_HOSTS / hosts, ""),
        Figure("cell, targets", "12,000 / cells", SERVERS * CELL_HOSTS / hosts, ""),
        Figure("cell, memory without logs", "base + 16 links",
               base.predict(CELL_HOSTS), "MiB", LIMIT_MIB),
        Figure("cell, time between reports", "16 / calls at a target",
               CELL_HOSTS * SERVERS / CALLS_PER_S, "s"),
        Figure("cell, address answer", "line at 16",
               fits["address: address_kib"].predict(CELL_HOSTS), "KiB"),
    ]  # fmt: skip


def format_figures(figures):
    """Return a table of figures in Markdown.

    Parameters
    ----------
    figures : iterable of Figure
        The figures.

    Returns
    -------
    str
        One row for each, with the factor by which it exceeds its limit.
    """
    lines = [
        "| figure | formula | value | limit | value / limit |",
        "| --- | --- | --- | --- | --- |",
    ]
    for figure in figures:
        limit = factor = ""
        if figure.limit is not None:
            limit = f"{figure.limit:.4g}"
            factor = f"{figure.value / figure.limit:.3g}"
        lines.append(
            f"| {figure.name} | {figure.formula} | {figure.value:.4g} {figure.unit} "
            f"| {limit} | {factor} |"
        )
    return "\n".join(lines)
