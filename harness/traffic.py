"""Callers of a fleet: threads that send requests and record what they saw."""

import hashlib
import itertools
import random
import threading
import time
from dataclasses import dataclass

import urllib3

from redwingspring.verdict import Verdict

READ_SIZE = 64 << 10


@dataclass(frozen=True)
class Sent:
    """One request as its caller saw it.

    Attributes
    ----------
    request_id : str
        Its id.
    method : str
        HTTP method.
    path : str
        Path, with the service.
    host : int
        Number of the entry host.
    started, ended : float
        Unix times in seconds.
    status : int or None
        Status, None without a response.
    verdict : str
        ``ran``, ``not-run`` or ``may-have-run`` as the caller must take it.
    reason : str
        Failure-Reason, or the error's class.
    size : int
        Bytes of the body.
    digest : str
        SHA-256 of the body.
    whole : bool
        Whether the body ended in order.
    """

    request_id: str
    method: str
    path: str
    host: int
    started: float
    ended: float
    status: int | None
    verdict: str
    reason: str
    size: int
    digest: str
    whole: bool


class Caller:
    """Sends requests of one kind at a rate, open loop, until told to stop.

    Parameters
    ----------
    fleet : Fleet
        Where to send.
    name : str
        Prefix of request ids.
    method, path : str
        What to send; ``*`` in the path becomes the number of the request.
    rate : float
        Requests a second.
    hosts : sequence of int
        Entry hosts to use in random order.
    seed : int
        Of the random order.
    threads : int, default=16
        Requests at once.
    body : bytes, default=b""
        Request body.
    move_on : bool, default=False
        Send the request to another host after a true not-run.
    """

    def __init__(
        self, fleet, name, method, path, rate, hosts, seed,
        threads=16, body=b"", move_on=False, deadline=None, read_rate=None,
    ):  # fmt: skip
        self._fleet = fleet
        self._name = name
        self._method = method
        self._path = path
        self._rate = rate
        self._hosts = list(hosts)
        self._random = random.Random(seed)
        self._body = body
        self.body_size = len(body)
        self._move_on = move_on
        self._deadline = deadline
        self._read_rate = read_rate
        self._numbers = itertools.count()
        self._lock = threading.Lock()
        self._http = urllib3.PoolManager(retries=False, maxsize=threads)
        self._stopping = threading.Event()
        self._started = time.time()
        self.results = []
        self._threads = [
            threading.Thread(target=self._run, daemon=True) for _ in range(threads)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Send no further request."""
        self._stopping.set()

    def join(self, timeout=120.0):
        """Wait for the requests in progress."""
        end = time.monotonic() + timeout
        for thread in self._threads:
            thread.join(max(0.0, end - time.monotonic()))
        return not any(thread.is_alive() for thread in self._threads)

    def _run(self):
        while not self._stopping.is_set():
            with self._lock:
                number = next(self._numbers)
                host = self._random.choice(self._hosts)
            due = self._started + number / self._rate
            if self._stopping.wait(max(0.0, due - time.time())):
                return
            self._send(number, host)

    def _send(self, number, host):
        request_id = f"{self._name}-{number}"
        tried = {host}
        while True:
            sent = self._send_once(request_id, number, host)
            with self._lock:
                self.results.append(sent)
                others = [h for h in self._hosts if h not in tried]
                if not self._move_on or sent.verdict != "not-run" or not others:
                    return
                host = self._random.choice(others)
            tried.add(host)

    def _send_once(self, request_id, number, host):
        path = self._path.replace("*", str(number))
        headers = {"Request-Id": request_id}
        if self._deadline is not None:
            headers["Request-Deadline"] = str(int((time.time() + self._deadline) * 1e3))
        started = time.time()
        # A frozen host must not hold its callers' threads beyond the deadline.
        read_timeout = 30 if self._deadline is None else self._deadline + 1
        url = f"http://{self._fleet.entry_address(host)}{path}"
        status, digest, size = None, hashlib.sha256(), 0
        verdict, reason, whole = Verdict.MAY_HAVE_RUN, "", False
        try:
            response = self._http.request(
                self._method, url, headers=headers, body=self._body or None,
                preload_content=False,
                timeout=urllib3.Timeout(connect=3, read=read_timeout),
            )  # fmt: skip
            status = response.status
            for part in response.stream(READ_SIZE):
                size += len(part)
                digest.update(part)
                if self._read_rate:
                    time.sleep(len(part) / self._read_rate)
            whole = True
            reason = response.headers.get("Failure-Reason", "")
            verdict = Verdict(response.headers.get("Request-Run", Verdict.RAN))
            response.release_conn()
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            verdict, reason = Verdict.NOT_RUN, type(error).__name__
        except (OSError, urllib3.exceptions.HTTPError) as error:
            reason = type(error).__name__
        return Sent(
            request_id, self._method, path, host, started, time.time(), status,
            str(verdict), reason, size, digest.hexdigest(), whole,
        )  # fmt: skip
