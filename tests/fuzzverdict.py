"""Seeded fuzzing of the data path with failures at random points."""

import random
import socket
import threading
import time
from collections import Counter
from dataclasses import dataclass, field

from redwingspring.requestlog import RequestState
from redwingspring.standinbehaviour import TargetBehaviour, slice_content
from redwingspring.targetconnection import enable_reset_on_close

from .datapath import Cut, CutProxy, DataPath, read_response, start_target

NON_IDEMPOTENT = ("POST", "PUT", "DELETE")
# ``crossed-body`` is left out: a response with the body of another request but the
# right attempt id cannot be detected by the data path.
FAULTS = (
    "conflicting-lengths", "crossed-id", "early-response", "extra-bytes", "fail",
    "interim", "late-answer", "missing-id", "no-answer", "over-long", "refuse",
    "reset-after-body", "reset-after-head", "reset-after-work", "reset-in-body",
    "reset-in-request-body", "reset-in-response-head", "truncated", "unframed",
)  # fmt: skip
SLOW_FAULTS = ("late-answer", "no-answer")


@dataclass
class Case:
    """One request of the fuzz and its outcome.

    Attributes
    ----------
    request_id : str
        Unique id.
    method : str
        HTTP method.
    path : str
        Path at the target, with the fault to inject there in the query.
    body : bytes
        Request body.
    chunked : bool
        Whether the body is sent with chunked transfer coding.
    hang_up : str
        Point at which the caller hangs up; empty if it does not.
    cuts : tuple of Cut or None
        Cuts set on the proxies of the lane.
    fresh : bool
        Whether pooled connections are closed first.
    deadline_s : float
        Seconds until the deadline of the request.
    """

    request_id: str
    method: str
    path: str
    body: bytes
    chunked: bool
    hang_up: str
    cuts: tuple
    fresh: bool
    deadline_s: float
    status: int | None = None
    headers: dict = field(default_factory=dict)
    data: bytes = b""
    whole: bool = False

    def expected(self):
        """Return the body of a complete response with status 200."""
        if self.method == "HEAD" or "/status/204" in self.path:
            return b""
        if self.path.startswith("/echo"):
            return self.body
        if self.path.startswith("/download/"):
            size = int(self.path.split("/")[2].split("?")[0])
            return b"".join(slice_content(size, 0, size))
        return f"{self.method} {self.path} {len(self.body)}\n".encode()

    def describe(self):
        """Return the case and its outcome in one line."""
        reported = self.headers.get("request-run"), self.headers.get("failure-reason")
        return (
            f"{self.request_id} {self.method} {self.path} body={len(self.body)} "
            f"chunked={self.chunked} hang_up={self.hang_up!r} cuts={self.cuts} "
            f"fresh={self.fresh} -> {self.status} {reported} whole={self.whole}"
        )


def make_case(rng, request_id, faults=FAULTS):
    """Return a random case, with target faults chosen from ``faults``."""
    method = rng.choice(("GET", "GET", "HEAD", "POST", "POST", "PUT", "DELETE"))
    kind = rng.choice(("plain", "plain", "echo", "download", "empty"))
    path = {
        "plain": f"/x/{request_id}?",
        "echo": "/echo?",
        "download": f"/download/{rng.choice((1, 500, 70_000, 300_000))}?",
        "empty": "/status/204?",
    }[kind]
    size = 0
    if method in ("POST", "PUT") or (method == "GET" and rng.random() < 0.1):
        size = rng.choice((0, 10, 2_000, 60_000, 150_000, 400_000))
    body = rng.randbytes(size)
    options = [f"start={rng.choice(('head', 'body'))}"]
    if rng.random() < 0.4:
        options.append("chunked=1")
    if rng.random() < 0.15:
        options.append("close=1")
    deadline_s, cuts, hang_up = 4.0, (None, None), ""
    draw = rng.random()
    if draw < 0.3:
        fault = rng.choice(faults)
        options.append(f"fault={fault}")
        deadline_s = 0.4 if fault in SLOW_FAULTS else 4.0
    elif draw < 0.7:
        cut = _make_cut(rng, size)
        deadline_s = 0.5 if cut.kind == "drop" else 4.0
        cuts = (cut, rng.choice((cut, None)))
    elif draw < 0.85:
        hang_up = rng.choice(("head", "body", "sent", "half", "response"))
        options.append(f"work_ms={rng.choice((0, 30))}")
    return Case(
        request_id=request_id,
        method=method,
        path=path + "&".join(options),
        body=body,
        chunked=size > 0 and rng.random() < 0.4,
        hang_up=hang_up,
        cuts=cuts,
        fresh=rng.random() < 0.4,
        deadline_s=deadline_s,
    )


def _make_cut(rng, size):
    direction = rng.choice(("up", "down"))
    offsets = [0, 1, rng.randrange(1, 300), rng.randrange(100, 700)]
    if direction == "up":
        offsets += [300 + rng.randrange(0, size + 2) for _ in range(2)]
    else:
        offsets += [rng.randrange(200, 300_000) for _ in range(2)]
    return Cut(direction, rng.choice(offsets), rng.choice(("rst", "fin", "drop")))


class Lane:
    """Two targets behind proxies, used by one case at a time."""

    def __init__(self, name):
        self.name = name
        behaviour = TargetBehaviour(slots=50, work_s=0.0)
        self.targets = [start_target(behaviour) for _ in range(2)]
        self.proxies = [CutProxy(target.address) for target in self.targets]

    def start_ids(self):
        return {
            proxy.address: target.record.start_id
            for proxy, target in zip(self.proxies, self.targets, strict=True)
        }

    def close(self):
        for part in (*self.proxies, *self.targets):
            part.close() if isinstance(part, CutProxy) else part.stop()


class VerdictFuzz:
    """Runs cases in parallel lanes and checks them against the targets' records.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    cases : int
        Number of cases.
    lanes : int, default=8
        Number of cases in progress at the same time.
    faults : tuple of str, default=FAULTS
        Target faults to choose from.
    """

    def __init__(self, seed, cases, lanes=8, faults=FAULTS):
        self.seed = seed
        self.lanes = [Lane(f"lane-{number}") for number in range(lanes)]
        self.path = DataPath(
            {
                lane.name: [proxy.address for proxy in lane.proxies]
                for lane in self.lanes
            },
            {"retry.share": 1.0, "response.stall": 1.0, "request.deadline": 3.0},
        )
        start_ids = {}
        for lane in self.lanes:
            start_ids.update(lane.start_ids())
        self.path.mark_targets_warm(start_ids)
        rng = random.Random(seed)
        self.cases = [make_case(rng, f"f{seed}-{n}", faults) for n in range(cases)]

    def run(self):
        """Run all cases; return self."""
        cases_by_lane = [
            self.cases[n :: len(self.lanes)] for n in range(len(self.lanes))
        ]
        threads = [
            threading.Thread(target=self._run_lane, args=(lane, share))
            for lane, share in zip(self.lanes, cases_by_lane, strict=True)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        # A target may still be receiving data that was in transit when the caller
        # received its response.
        time.sleep(0.3)
        return self

    def close(self):
        """Stop the entry server, the proxies and the targets."""
        self.path.close()
        for lane in self.lanes:
            lane.close()

    def _run_lane(self, lane, cases):
        for case in cases:
            if case.fresh:
                for proxy in lane.proxies:
                    self.path.pools.find(proxy.address).close()
            for proxy, cut in zip(lane.proxies, case.cuts, strict=True):
                proxy.set_cut(cut)
            self._send(lane, case)
            for proxy in lane.proxies:
                proxy.set_cut(None)

    def _send(self, lane, case):
        deadline = int((time.time() + case.deadline_s) * 1000)
        lines = [
            f"{case.method} /{lane.name}{case.path} HTTP/1.1",
            "Host: x",
            "Connection: close",
            f"Request-Id: {case.request_id}",
            f"Request-Deadline: {deadline}",
        ]
        if case.chunked:
            lines.append("Transfer-Encoding: chunked")
        elif case.body:
            lines.append(f"Content-Length: {len(case.body)}")
        head = ("\r\n".join(lines) + "\r\n\r\n").encode()
        body = _encode_chunked(case.body) if case.chunked else case.body
        with self.path.connect() as sock:
            try:
                if case.hang_up == "head":
                    sock.sendall(head[: len(head) // 2])
                    return
                if case.hang_up == "body":
                    sock.sendall(head + body[: len(body) // 2])
                    if case.body:
                        return
                else:
                    sock.sendall(head + body)
            except OSError:
                pass
            if case.hang_up == "sent":
                enable_reset_on_close(sock)
            elif case.hang_up == "half":
                sock.shutdown(socket.SHUT_WR)
            elif case.hang_up == "response":
                sock.recv(100)
            if case.hang_up not in ("sent", "response"):
                outcome = read_response(sock, case.method)
                case.status, case.headers, case.data, case.whole = outcome

    def count_runs(self):
        """Return how many times each request started to run, at any target."""
        return Counter(
            run["request"]
            for lane in self.lanes
            for target in lane.targets
            for run in list(target.record.runs)
        )

    def find_violations(self):
        """Return a line for each violation of what a verdict guarantees."""
        runs = self.count_runs()
        violations = []
        for case in self.cases:
            for message in self._find_case_violations(case, runs[case.request_id]):
                violations.append(f"{message}: {case.describe()}")
        return violations

    def _find_case_violations(self, case, runs):
        reported_verdict = case.headers.get("request-run")
        page_state = self.path.requests.find(case.request_id)
        if runs and reported_verdict == "not-run":
            yield f"false not-run in the response ({runs} runs)"
        if runs and page_state is RequestState.NOT_RUN:
            yield f"false not-run on the page ({runs} runs)"
        # ``ran`` means that a complete response arrived. An early response is sent
        # by a target that has not started to run the request.
        early = "early-response" in case.path
        if not runs and page_state is RequestState.RAN and not early:
            yield "false ran on the page"
        if case.method in NON_IDEMPOTENT and runs > 1:
            yield f"ran {runs} times"
        if page_state is RequestState.RUNNING:
            yield "still running on the page"
        answered = case.whole and reported_verdict is None and case.status in (200, 204)
        if answered and case.data != case.expected():
            yield f"wrong body of {len(case.data)} bytes"
        own_id = case.headers.get("request-id") == case.request_id
        if case.status is not None and reported_verdict is None and not own_id:
            yield "another request's id"
        if not (case.hang_up or case.status or case.cuts[0] or "fault=" in case.path):
            yield "no response"

    def summarise(self):
        """Return counts of verdicts and of ``may-have-run`` without a run."""
        runs = self.count_runs()
        verdicts, needless = Counter(), Counter()
        for case in self.cases:
            reported_verdict = (
                case.headers.get("request-run") or ("none", "whole")[case.whole]
            )
            verdicts[reported_verdict] += 1
            if reported_verdict == "may-have-run" and not runs[case.request_id]:
                needless[case.headers.get("failure-reason")] += 1
        share = sum(needless.values()) / max(1, verdicts["may-have-run"])
        return {
            "verdicts": dict(verdicts),
            "needless": dict(needless),
            "needless_share": round(share, 3),
        }


def _encode_chunked(body):
    step = max(1, len(body) // 5)
    parts = [body[at : at + step] for at in range(0, len(body), step)]
    return b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in parts) + b"0\r\n\r\n"
