"""Targets that send bytes without end, in a head or a body."""

import resource
import socket
import threading
import time

from redwingspring import exchanges
from redwingspring.instancestate import Instance

from .base import RedwingspringTestCase
from .standins import (
    POSTS,
    READS,
    SERVICE,
    HostFixture,
    SocketStandIn,
    wait_until,
)

BLOCK = b"x" * 4096
HEAD = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: signed\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
PROBE = (
    b"HTTP/1.1 200 OK\r\nServer-Load: 0,0,3,100\r\nContent-Length: 0\r\n"
    b"Instance-Id: i-endless\r\n\r\n"
)
# Start of a response and what follows it again and again.
ENDLESS = {
    "no answer": (b"", BLOCK),
    "status line": (b"HTTP/1.1 200 ", BLOCK),
    "header line": (b"HTTP/1.1 200 OK\r\nX-A: ", BLOCK),
    "header lines": (b"HTTP/1.1 200 OK\r\n", b"X-A: " + BLOCK + b"\r\n"),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\nX: %s\r\n\r\n" % BLOCK),
    "chunk line": (HEAD, b"0" * 4096),
    "chunk extensions": (HEAD, b"1;" + BLOCK + b"\r\nx\r\n"),
    "trailers": (HEAD + b"0\r\n", b"X-A: " + BLOCK + b"\r\n"),
    "unsigned body": (HEAD.replace(b"Response-S", b"Other-S"), b"1\r\nx\r\n" * 900),
}
# Bodies that are long enough to be streamed.
UNCHUNKED = HEAD.replace(b"Transfer-Encoding: chunked\r\n", b"")
STREAMS = {
    "chunked": (HEAD, b"1000\r\n" + BLOCK + b"\r\n"),
    "closed at its end": (UNCHUNKED, BLOCK),
    "declared": (
        UNCHUNKED.replace(b"\r\n\r\n", b"\r\nContent-Length: 99999999999\r\n\r\n"),
        BLOCK,
    ),
}
# Timeout of the route in the configuration of the host fixture.
ROUTE_TIMEOUT_S = 2.0
# Time after a timeout within which its caller must have the end of its response.
END_MARGIN_S = 0.5
REFUSAL = b"HTTP/1.1 503 No\r\nNot-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n"


class EndlessTarget(SocketStandIn):
    """Target whose responses to requests never end; its probes are valid."""

    def __init__(self, start, repeated):
        self.start = start
        self.repeated = repeated
        self.requests = 0
        self.closed = threading.Event()
        self.sent_bytes = 0
        super().__init__()

    def serve(self, connection):
        try:
            while head := self._read_head(connection):
                if head.startswith(b"GET /health"):
                    connection.sendall(PROBE)
                else:
                    self.requests += 1
                    self._send_endless(connection, head)
        except OSError:
            self.closed.set()

    def _read_head(self, connection):
        data = b""
        while b"\r\n\r\n" not in data:
            block = connection.recv(4096)
            if not block:
                return b""
            data += block
        return data

    def _send_endless(self, connection, head):
        request_id = head.lower().split(b"request-id: ")[1].split(b"\r\n")[0]
        connection.sendall(self.start.replace(b"%s", request_id))
        while True:
            connection.sendall(self.repeated)
            self.sent_bytes += len(self.repeated)


class EndlessBytesTest(RedwingspringTestCase):
    def start(self, start, repeated):
        self.host = HostFixture(self, instances=1)
        self.working = self.host.instances[0]
        self.target = EndlessTarget(start, repeated)
        self.addCleanup(self.target.close)
        instance = Instance("i-endless", SERVICE, self.target.address, "akl-a", 3)
        self.host.entry.directory.put(instance)
        # The endless target looks better, so it gets the first request.
        self.working.load = "2,0,3,100"

    def test_a_read_is_answered_by_another_target(self):
        for name, (start, repeated) in ENDLESS.items():
            self.start(start, repeated)
            status, _, body = self.host.ask("GET", READS + "1", deadline_ms=1900)
            self.assertEqual((200, b"whole body"), (status, body), name)
            self.assertEqual(1, self.target.requests, name)
            self.assertTrue(self.target.closed.wait(3), name)

    def test_a_post_gets_a_failure_that_does_not_claim_it_did_not_run(self):
        for name, (start, repeated) in ENDLESS.items():
            self.start(start, repeated)
            started = time.monotonic()
            status, headers, _ = self.host.ask("POST", POSTS, body=b"x")
            self.assertIn(status, (502, 504), name)
            self.assertEqual("may-have-run", headers["request-run"], name)
            self.assertTrue(time.monotonic() - started < 2.6, name)
            self.assertTrue(self.target.closed.wait(3), name)
            self.assertEqual([], self.working.runs, name)

    def test_a_refusal_without_end_does_not_delay_the_request(self):
        self.start(REFUSAL, b"1\r\nx\r\n")
        started = time.monotonic()
        self.assertEqual(200, self.host.ask("POST", POSTS, body=b"x")[0])
        self.assertTrue(time.monotonic() - started < 1.0)
        self.assertTrue(self.target.closed.wait(3))

    def test_a_late_response_without_end_is_not_skipped_forever(self):
        self.start(HEAD.replace(b"%s", b"earlier"), b"1000\r\n" + BLOCK + b"\r\n")
        status, headers, _ = self.host.ask("POST", POSTS, body=b"x")
        self.assertEqual((502, "may-have-run"), (status, headers["request-run"]))
        self.assertTrue(self.target.closed.wait(3))

    def test_a_streamed_body_is_cut_visibly_at_its_bound(self):
        self.patch(exchanges, "MAX_UNDECLARED_BYTES", 8 << 20)
        self.start(HEAD, b"1000\r\n" + BLOCK + b"\r\n")
        before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        complete, size = self.download()
        self.assertFalse(complete)
        # The head and the framing of the chunks come on top of the body.
        self.assertTrue(size <= (8 << 20) + (64 << 10), size)
        grown_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before_kb
        self.assertTrue(grown_kb < 6 << 10, grown_kb)
        self.assertTrue(self.target.closed.wait(3))

    def test_a_streamed_body_is_cut_visibly_at_the_timeout_of_its_route(self):
        """The operator wants no caller kept waiting for longer."""
        for name, (start, repeated) in STREAMS.items():
            self.start(start, repeated)
            started = time.monotonic()
            complete, _ = self.download()
            self.assertFalse(complete, name)
            elapsed_s = time.monotonic() - started
            self.assertTrue(
                elapsed_s < ROUTE_TIMEOUT_S + END_MARGIN_S, (name, elapsed_s)
            )
            self.assertTrue(self.target.closed.wait(3), name)

    def test_a_streamed_body_is_cut_visibly_when_its_caller_times_out(self):
        for name, (start, repeated) in STREAMS.items():
            self.start(start, repeated)
            started = time.monotonic()
            complete, _ = self.download(b"Deadline-Ms: 700\r\n")
            self.assertFalse(complete, name)
            elapsed_s = time.monotonic() - started
            self.assertTrue(elapsed_s < 0.7 + END_MARGIN_S, (name, elapsed_s))
            self.assertTrue(self.target.closed.wait(3), name)

    def test_a_streamed_body_ends_when_its_caller_closes(self):
        self.start(HEAD, b"1000\r\n" + BLOCK + b"\r\n")
        with self.open_download() as connection:
            connection.recv(4096)
        wait_until(self.target.closed.is_set, 5)

    def open_download(self, headers=b""):
        host, port = self.host.entry.settings.address.rsplit(":", 1)
        connection = socket.create_connection((host, int(port)), timeout=5)
        request = b"GET /read/1 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: r\r\n"
        connection.sendall(request + headers + b"\r\n")
        return connection

    def download(self, headers=b""):
        """Read a response to its end; return if it looks complete, and its size."""
        size, tail = 0, b""
        with self.open_download(headers) as connection:
            try:
                while data := connection.recv(1 << 16):
                    size += len(data)
                    tail = (tail + data)[-8:]
            except ConnectionResetError:
                return False, size
        return tail.endswith(b"0\r\n\r\n"), size
