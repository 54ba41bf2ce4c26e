"""Callers of a fault soak, which note what they see."""

import collections
import contextlib
import http.client
import io
import itertools
import random
import socket
import threading
import time
from dataclasses import dataclass
from types import SimpleNamespace

from tests.standins import HOST, POSTS, READS, render_request

from .soakfleet import HOSTS, PIPELINED_PREFIX

CALL_PAUSE_S = 0.02
CALL_TIMEOUT_S = 2.0
# A caller waits longer than its deadline, to see whether an answer is only late.
GIVE_UP_AFTER_S = 2.0
READ_BYTES = 64 << 10
# Shorter than the work of a request, so that one is always in progress.
PIPELINE_GAP_S = 0.04


@dataclass(frozen=True)
class Call:
    """What a caller saw of one request.

    Attributes
    ----------
    request_id : str
        Its id.
    host : int
        Number of the entry host.
    method : str
        ``GET`` is idempotent, ``POST`` is not.
    started, ended : float
        Monotonic seconds.
    status : int or None
        None when the connection broke.
    body : bytes
        Body of the answer.
    told : str
        What the host told of the run.
    pipelined : bool
        Whether other requests were on the connection before it.
    """

    request_id: str
    host: int
    method: str
    started: float
    ended: float
    status: int | None
    body: bytes = b""
    told: str = ""
    pipelined: bool = False


class SoakCaller:
    """A caller that keeps its connection until the host or the way is gone."""

    def __init__(self, fleet, number, seed):
        self._fleet = fleet
        self._number = number
        self._rng = random.Random(f"{seed}-caller-{number}")
        self._connection = None
        self._host = number % HOSTS
        self.calls = []

    def run(self, stopping):
        """Send requests one after the other until told to stop."""
        while not stopping.is_set():
            self.calls.append(self._call(len(self.calls)))
            if self.calls[-1].status is None:
                # Another host is tried, as the directory's answer names several.
                self._host = self._rng.randrange(HOSTS)
            stopping.wait(CALL_PAUSE_S * self._rng.uniform(0.2, 2))

    def _call(self, index):
        request_id = f"c{self._number}-{index}"
        method = self._rng.choice(("GET", "POST"))
        started, host = time.monotonic(), self._host
        try:
            status, headers, body = self._exchange(method, request_id)
        except (OSError, http.client.HTTPException):
            self._close()
            return Call(request_id, host, method, started, time.monotonic(), None)
        told = headers.get("Request-Run", "")
        ended = time.monotonic()
        return Call(request_id, host, method, started, ended, status, body, told)

    def _exchange(self, method, request_id):
        if self._connection is None:
            ip, port = self._fleet.addresses[self._host].rsplit(":", 1)
            wait = CALL_TIMEOUT_S + GIVE_UP_AFTER_S
            self._connection = http.client.HTTPConnection(ip, int(port), timeout=wait)
        fields = {
            "Host": HOST,
            "Request-Id": request_id,
            "Deadline-Ms": str(int(CALL_TIMEOUT_S * 1000)),
        }
        path = (READS if method == "GET" else POSTS) + "1"
        body = None if method == "GET" else b"x" * self._rng.choice((1, 9, 70_000))
        self._connection.request(method, path, body=body, headers=fields)
        response = self._connection.getresponse()
        whole = read_body(response)
        if response.will_close:
            self._close()
        return response.status, response.headers, whole

    def _close(self):
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def read_body(response):
    """Return a whole body; give up on one that outlasts its time by far."""
    end = time.monotonic() + CALL_TIMEOUT_S + GIVE_UP_AFTER_S
    parts = []
    while part := response.read1(READ_BYTES):
        parts.append(part)
        if time.monotonic() > end:
            raise TimeoutError("the body does not end")
    if response.length:
        raise http.client.IncompleteRead(b"".join(parts), response.length)
    # The connection takes no further request before its response is closed.
    response.close()
    return b"".join(parts)


class _SharedReader(io.BufferedReader):
    """Reader of all responses of a connection, which none of them closes."""

    def close(self):
        """Stay open for the next response."""


class PipeliningCaller:
    """A caller that always has a further request on its connection."""

    def __init__(self, fleet, number, seed):
        self._fleet = fleet
        self._number = number
        self._rng = random.Random(f"{seed}-pipeline-{number}")
        self._sent = itertools.count()
        self.calls = []

    def run(self, stopping):
        """Use one connection after the other until told to stop."""
        while not stopping.is_set():
            host = self._rng.randrange(HOSTS)
            ip, port = self._fleet.addresses[host].rsplit(":", 1)
            try:
                sock = socket.create_connection((ip, int(port)), timeout=1)
            except OSError:
                stopping.wait(PIPELINE_GAP_S)
                continue
            with sock:
                self._use(sock, host, stopping)

    def _use(self, sock, host, stopping):
        """Send without a pause until the host ends the connection."""
        sock.settimeout(CALL_TIMEOUT_S + GIVE_UP_AFTER_S)
        waiting = collections.deque()
        ended = threading.Event()
        reader = threading.Thread(target=self._read, args=(sock, host, waiting, ended))
        reader.start()
        while not (ended.is_set() or stopping.is_set()):
            request_id = f"{PIPELINED_PREFIX}{self._number}-{next(self._sent)}"
            waiting.append((request_id, time.monotonic()))
            request = render_request("GET", READS + "1", request_id)
            with contextlib.suppress(OSError):
                sock.sendall(request)
            ended.wait(PIPELINE_GAP_S * self._rng.uniform(0.5, 1.5))
        with contextlib.suppress(OSError):
            # The host answers what it has accepted before it sees the end.
            ended.wait(CALL_TIMEOUT_S)
            sock.shutdown(socket.SHUT_RDWR)
        reader.join()

    def _read(self, sock, host, waiting, ended):
        """Note the responses in the order of the requests."""
        reader = _SharedReader(socket.SocketIO(sock, "r"))
        source = SimpleNamespace(makefile=lambda mode: reader)
        try:
            while not ended.is_set():
                response = http.client.HTTPResponse(source, method="GET")
                response.begin()
                body = read_body(response)
                request_id, started = waiting.popleft()
                self._note(request_id, host, started, response.status, body)
                if response.will_close:
                    ended.set()
        except (OSError, http.client.HTTPException, IndexError):
            ended.set()
        for request_id, started in waiting:
            self._note(request_id, host, started, None, b"")

    def _note(self, request_id, host, started, status, body):
        ended = time.monotonic()
        call = Call(request_id, host, "GET", started, ended, status, body, "", True)
        self.calls.append(call)
