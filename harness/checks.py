"""Checks of scenarios, made from what callers and targets recorded."""

import hashlib
import re
from collections import Counter
from dataclasses import replace

from redwingspring.registry import Registry
from redwingspring.standinbehaviour import slice_content
from redwingspring.units import parse_quantity

from .language import parse_duration
from .steps import EVERY, select_targets

checks = Registry("check")
PROBE_PREFIX = "probe-"
_DOWNLOAD = re.compile(r"/[^/]+/download/(\d+)")


def read_percent(text):
    """Return a share from a text such as ``99%``."""
    return float(text.removesuffix("%")) / 100


def find_window(run, statement):
    """Return the window of Unix time that options describe."""
    options = statement.options
    start = run.marks[options["from"]] if "from" in options else 0.0
    start += parse_duration(options.get("after", "0s"))
    end = run.marks[options["until"]] if "until" in options else float("inf")
    return start, end


def find_sent(run, statement):
    """Return the requests of the traffic that a statement names, or of all."""
    start, end = find_window(run, statement)
    return [
        sent
        for name, caller in run.callers.items()
        for sent in caller.results
        if name in statement.words or not statement.words
        if start <= sent.started and sent.ended < end
    ]


def find_runs(run, statement):
    """Return the runs in a window at the targets that options select."""
    start, end = find_window(run, statement)
    numbers = set(range(len(run.fleet.targets)))
    for name in ("targets", "data_centre"):
        if name in statement.options:
            numbers &= set(select_targets(run, statement.options[name]))
    return [
        item
        for number in numbers
        for item in run.records[number]["runs"]
        if start <= item["started"] < end
    ]


def hash_expected(method, path, body_size):
    """Return the digest of the response that a stand-in target gives."""
    download = _DOWNLOAD.fullmatch(path)
    digest = hashlib.sha256()
    if download:
        size = int(download.group(1))
        for part in slice_content(size, 0, size):
            digest.update(part)
    else:
        inner = "/" + path.split("/", 2)[2]
        digest.update(f"{method} {inner} {body_size}\n".encode())
    return digest.hexdigest()


@checks.register("whole-responses")
def check_whole(run, statement):
    """Check that every response taken for whole is right to the last byte."""
    cache = {}
    wrong = []
    for sent in find_sent(run, statement):
        if sent.status != 200 or not sent.whole or sent.method == "HEAD":
            continue
        size = run.body_size(sent)
        key = (sent.method, sent.path, size)
        if key not in cache:
            cache[key] = hash_expected(*key)
        if cache[key] != sent.digest:
            wrong.append(sent)
    return describe("responses are not the right ones", wrong)


@checks.register("not-run-true")
def check_not_run(run, statement):
    """Check that a request told only not-run was never started."""
    verdicts = {}
    for sent in find_sent(run, statement):
        verdicts.setdefault(sent.request_id, set()).add(sent.verdict)
    started = {item["request"] for item in find_runs(run, statement)}
    wrong = [r for r, v in verdicts.items() if v == {"not-run"} and r in started]
    return describe("requests ran although told not-run", wrong)


@checks.register("at-most-once")
def check_once(run, statement):
    """Check that no POST was started twice."""
    started = Counter(
        item["request"]
        for record in run.records.values()
        for item in record["runs"]
        if item["method"] == "POST"
    )
    wrong = [request for request, count in started.items() if count > 1]
    return describe("posts ran more than once", wrong)


@checks.register("no-work")
def check_no_work(run, statement):
    """Check that no request was started in a window."""
    return describe("requests were started", find_runs(run, statement))


@checks.register("work")
def check_work(run, statement):
    """Check that at least some requests were started in a window."""
    least = int(statement.options.get("at_least", "1"))
    count = len(find_runs(run, statement))
    return None if count >= least else f"{count} requests, at least {least} wanted"


@checks.register("cold-work")
def check_cold_work(run, statement):
    """Check that work at once at a cold target never passed what it bears."""
    most = int(statement.options["at_most"])
    wrong = [
        item
        for item in find_runs(run, statement)
        if item["cold"] and item["concurrency"] > most
    ]
    return describe(f"cold requests above {most} at once", wrong)


@checks.register("succeeded")
def check_succeeded(run, statement):
    """Check that a share of the requests got a whole response."""
    least = read_percent(statement.options["at_least"])
    best = {}
    for sent in find_sent(run, statement):
        good = sent.whole and sent.status is not None and sent.status < 400
        best[sent.request_id] = best.get(sent.request_id, False) or good
    if not best:
        return "no requests were sent"
    share = sum(best.values()) / len(best)
    if share >= least:
        return None
    reasons = Counter(
        (s.reason, s.verdict, s.status) for s in find_sent(run, statement) if s.reason
    )
    return f"{share:.2%} of {len(best)} succeeded; {reasons.most_common(5)}"


@checks.register("all-succeeded")
def check_all_succeeded(run, statement):
    """Check that each request got a whole response or a true not-run first."""
    wrong = [
        sent
        for sent in find_sent(run, statement)
        if not (sent.whole and sent.status == 200)
    ]
    return describe("requests were cut or refused", wrong)


@checks.register("no-runs-from")
def check_no_runs_from(run, statement):
    """Check that no request of a traffic was started at some targets."""
    prefix = statement.options["traffic"] + "-"
    runs = [r for r in find_runs(run, statement) if r["request"].startswith(prefix)]
    return describe("requests were started", runs)


@checks.register("ramped")
def check_ramped(run, statement):
    """Check that the work of a first window is below a share of the usual."""
    start, _ = find_window(run, statement)
    width = parse_duration(statement.options["within"])
    runs = [r for record in run.records.values() for r in record["runs"]]
    members = set(select_targets(run, statement.options["data_centre"]))
    first = [r for r in runs if start <= r["started"] < start + width]
    here = sum(
        start <= r["started"] < start + width
        for n in members
        for r in run.records[n]["runs"]
    )
    usual = len(first) * len(members) / len(run.fleet.targets)
    most = usual * read_percent(statement.options["share"])
    return None if here <= most else f"{here} requests, at most {most:.1f} wanted"


@checks.register("all-not-run")
def check_all_not_run(run, statement):
    """Check that requests in a window were refused with not-run."""
    sent = find_sent(run, statement)
    wrong = [s for s in sent if s.verdict != "not-run"]
    return "no requests were sent" if not sent else describe("others", wrong)


@checks.register("never-reverts")
def check_revisions(run, statement):
    """Check that the revision in force at a host never went down."""
    return describe("revisions went down", run.watcher.reversals)


@checks.register("service-calls")
def check_calls(run, statement):
    """Check how many calls a second the configuration service got."""
    most = float(statement.options["at_most"].removesuffix("/s"))
    rate = run.count_service_calls()
    return None if rate <= most else f"{rate:.1f} calls a second"


def read_rate(text):
    """Return events a second from a text such as ``30/min``."""
    return parse_quantity("rate", text)


@checks.register("probes")
def check_probes(run, statement):
    """Check that probes of each target, over all hosts, kept their budget.

    The budget must hold in every window: ``n`` probes take more than ``n - 1``
    intervals of the budget, for each ``n``.
    """
    rate = read_rate(statement.options["at_most"])
    wrong = []
    for number, times in find_probes(run, statement).items():
        for count in range(1, len(times)):
            for first, last in zip(times, times[count:], strict=False):
                if last - first < count / rate:
                    wrong.append(
                        f"target {number}: {count + 1} in {last - first:.3f} s"
                    )
    return describe("windows are over the budget", wrong)


@checks.register("probes-sent")
def check_probes_sent(run, statement):
    """Check that targets got probes at some least rate in a window."""
    least = read_rate(statement.options["at_least"])
    rate = count_probe_rate(run, statement)
    run.notes.append(f"{statement}: {rate:.3f} probes a second for each target")
    return None if rate >= least else f"{rate:.3f} probes a second for each target"


@checks.register("probes-saved")
def check_probes_saved(run, statement):
    """Check that traffic with load reports saves a share of the probes."""
    least = read_percent(statement.options["at_least"])
    rates = {}
    for name in ("idle", "busy"):
        first, last = statement.options[name].split("..")
        window = replace(
            statement, options={**statement.options, "from": first, "until": last}
        )
        rates[name] = count_probe_rate(run, window)
    if not rates["idle"]:
        return "there were no probes without traffic"
    saved = 1 - rates["busy"] / rates["idle"]
    text = (
        f"{saved:.1%} saved: {rates['idle']:.3f} probes a second for each target "
        f"without traffic, {rates['busy']:.3f} with traffic"
    )
    run.notes.append(text)
    return None if saved >= least else text


def find_probes(run, statement):
    """Return the times at which targets started probes in a window, by target."""
    start, end = find_window(run, statement)
    numbers = select_targets(run, statement.options.get("targets", EVERY))
    return {
        number: sorted(
            item["started"]
            for item in run.records[number]["runs"]
            if (item["request"] or "").startswith(PROBE_PREFIX)
            and start <= item["started"] < end
        )
        for number in numbers
    }


def count_probe_rate(run, statement):
    """Return probes a second for each target in a window."""
    start, end = find_window(run, statement)
    found = find_probes(run, statement)
    return sum(map(len, found.values())) / len(found) / (end - start)


def describe(what, items):
    """Return a message about wrong items, None when there are none."""
    if not items:
        return None
    return f"{len(items)} {what}; first: {items[0]}"
