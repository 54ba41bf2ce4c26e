import socket
import time

from redwingspring.standinbehaviour import TargetBehaviour

from .base import RedwingspringTestCase
from .datapath import DataPathFixture, read_all, read_response, wait_until

HEAD = b"POST /desk/x HTTP/1.1\r\nHost: x\r\n"
LENGTH_HEAD = HEAD + b"Content-Length: 5\r\n"
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# Sent within the body of another request; it must never be parsed as a request.
SMUGGLED = b"GET /desk/smuggled HTTP/1.1\r\nHost: x\r\n\r\n"

MALFORMED_HEADS = {
    "two lengths": HEAD + b"Content-Length: 5\r\nContent-Length: 5\r\n\r\n",
    "conflicting lengths": HEAD + b"Content-Length: 5\r\nContent-Length: 6\r\n\r\n",
    "list of lengths": HEAD + b"Content-Length: 5, 5\r\n\r\n",
    "signed length": HEAD + b"Content-Length: +5\r\n\r\n",
    "length and chunked": HEAD
    + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
    "chunked twice": HEAD + b"Transfer-Encoding: chunked, chunked\r\n\r\n",
    "two codings": HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n",
    "empty coding": HEAD + b"Transfer-Encoding:\r\n\r\n",
    "coding in HTTP/1.0": b"POST /desk/x HTTP/1.0\r\nHost: x\r\n"
    b"Connection: Keep-Alive\r\nTransfer-Encoding: chunked\r\n\r\n",
    "bare LF in head": HEAD + b"Content-Length: 5\n\r\n",
    "bare LF after line": b"POST /desk/x HTTP/1.1\nHost: x\r\n\r\n",
    "folded header": HEAD + b"Extra: a\r\n b\r\n\r\n",
    "space before colon": HEAD + b"Content-Length : 5\r\n\r\n",
    "NUL in value": HEAD + b"Extra: a\0b\r\n\r\n",
    "CR in value": HEAD + b"Extra: a\rContent-Length: 5\r\n\r\n",
    "control in path": b"GET /desk/\x01 HTTP/1.1\r\nHost: x\r\n\r\n",
    "CR in path": b"GET /desk/a\rb HTTP/1.1\r\nHost: x\r\n\r\n",
    "non-ASCII path": b"GET /desk/\xff HTTP/1.1\r\nHost: x\r\n\r\n",
    "bad method": b"GE(T /desk/x HTTP/1.1\r\nHost: x\r\n\r\n",
    "signed version": b"GET /desk/x HTTP/+1.1\r\nHost: x\r\n\r\n",
    "no host": b"GET /desk/x HTTP/1.1\r\n\r\n",
    "two hosts": b"GET /desk/x HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
    "negative attempt": LENGTH_HEAD + b"Request-Attempt: -1\r\n\r\n",
    "huge deadline": LENGTH_HEAD + b"Request-Deadline: " + b"9" * 400 + b"\r\n\r\n",
    "bad id": LENGTH_HEAD + b"Request-Id: a b\r\n\r\n",
    "two ids": LENGTH_HEAD + b"Request-Id: a\r\nRequest-Id: b\r\n\r\n",
}
MALFORMED_CHUNKS = {
    "negative size": b"-1\r\n" + SMUGGLED,
    "signed size": b"+5\r\nhello\r\n0\r\n\r\n",
    "prefixed size": b"0x5\r\nhello\r\n0\r\n\r\n",
    "size with underscore": b"0_5\r\nhello\r\n0\r\n\r\n",
    "space in size": b"5 \r\nhello\r\n0\r\n\r\n",
    "empty size": b"\r\nhello\r\n0\r\n\r\n",
    "bare LF after size": b"5\nhello\r\n0\r\n\r\n",
    "bare LF after data": b"5\r\nhello\n0\r\n\r\n",
    "long chunk": b"5\r\nhello!!\r\n0\r\n\r\n",
    "giant size": b"f" * 30 + b"\r\nhello\r\n0\r\n\r\n",
    "cut size": b"5\r\nhello\r\n0",
    "cut end": b"5\r\nhello\r\n0\r\n",
    "long extension": b"5;" + b"x" * 9000 + b"\r\nhello\r\n0\r\n\r\n",
}


class ParsingTest(RedwingspringTestCase):
    def setUp(self):
        super().setUp()
        self.fixture = DataPathFixture(self, caller_timeout=3.0)

    def exchange(self, raw):
        """Send requests, the last with ``Connection: close``; return all responses."""
        head, _, tail = raw.rpartition(b"Host: x\r\n")
        return self.fixture.path.exchange(
            head + b"Host: x\r\nConnection: close\r\n" + tail
        )

    def exchange_until_eof(self, raw):
        """Send bytes, shut down the sending side and return all responses."""
        with self.fixture.path.connect() as sock:
            sock.sendall(raw)
            sock.shutdown(socket.SHUT_WR)
            return read_all(sock)

    def assert_refused(self, name, raw, statuses):
        answer = self.exchange_until_eof(raw)
        self.assertIn(answer[9:12], statuses, f"{name}: {answer!r}")
        self.assertIn(b"Request-Run: not-run\r\n", answer, name)
        self.assertEqual(1, answer.count(b"HTTP/1.1 "), f"{name}: {answer!r}")
        self.assertEqual([], self.fixture.runs(), name)

    def test_ambiguous_heads_are_refused_and_end_the_connection(self):
        for name, raw in MALFORMED_HEADS.items():
            self.assert_refused(name, raw + b"hello" + SMUGGLED, (b"400", b"501"))

    def test_malformed_input_of_callers_ejects_no_target(self):
        self.test_ambiguous_heads_are_refused_and_end_the_connection()
        states = self.fixture.path.directory.table.services["desk"]
        self.assertEqual([0], [state.failures for state in states])

    def test_malformed_chunks_are_refused_and_end_the_connection(self):
        for name, raw in MALFORMED_CHUNKS.items():
            # Both a truncated and a malformed body are refused before anything is sent
            # to a target.
            self.assert_refused(name, CHUNKED_HEAD + raw, (b"400",))

    def test_a_trailer_section_is_not_parsed_as_a_request(self):
        raw = CHUNKED_HEAD + b"5\r\nhello\r\n0\r\n" + SMUGGLED[:-2] + b"\r\n"
        self.exchange_until_eof(raw)
        self.assertNotIn("/smuggled", [run["path"] for run in self.fixture.runs()])

    def test_trailers_do_not_break_the_next_request(self):
        raw = CHUNKED_HEAD + b"5\r\nhello\r\n0\r\nDigest: x\r\n\r\n" + SMUGGLED
        answer = self.exchange(raw)
        self.assertEqual(2, answer.count(b"HTTP/1.1 200"), answer)

    def test_chunked_uploads_arrive_whole(self):
        raw = (
            b"POST /desk/echo HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: Chunked\r\n"
            b"Connection: Close\r\n\r\n5;a=b\r\nhello\r\n00A\r\n, everyone\r\n0\r\n\r\n"
        )
        self.assertTrue(self.fixture.path.exchange(raw).endswith(b"hello, everyone"))

    def test_headers_with_underscores_are_not_mistaken_for_others(self):
        self.exchange(b"GET /desk/x HTTP/1.1\r\nHost: x\r\nRequest_Id: forged\r\n\r\n")
        self.assertNotIn("forged", [run["request"] for run in self.fixture.runs()])

    def test_a_path_that_contains_a_url_is_routed_to_its_service(self):
        answer = self.exchange(b"GET /desk/to/http://x/y HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertIn(b"GET /to/http://x/y 0\n", answer)

    def test_pipelined_requests_are_answered_in_order(self):
        raw = b"".join(
            b"GET /desk/%d HTTP/1.1\r\nHost: x\r\n\r\n" % number for number in range(5)
        )
        answer = self.exchange(raw)
        found = [answer.find(b"GET /%d 0\n" % number) for number in range(5)]
        self.assertEqual(sorted(found), found)
        self.assertNotIn(-1, found)

    def test_the_body_of_a_refused_request_is_not_parsed_as_a_request(self):
        raw = b"POST /unknown/x HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%b" % (
            len(SMUGGLED),
            SMUGGLED,
        )
        answer = self.exchange(raw)
        self.assertIn(b"Failure-Reason: unknown-service", answer)
        self.assertEqual([], self.fixture.runs())

    def test_http_1_0_callers_get_no_chunked_response(self):
        raw = b"GET /desk/download/70000?chunked=1 HTTP/1.0\r\n\r\n"
        answer = self.fixture.path.exchange(raw)
        head, _, body = answer.partition(b"\r\n\r\n")
        self.assertNotIn(b"chunked", head)
        self.assertEqual(70000, len(body))

    def test_head_204_and_304_have_no_body_and_keep_the_connection(self):
        raw = (
            b"HEAD /desk/download/5 HTTP/1.1\r\nHost: x\r\n\r\n"
            b"GET /desk/status/204 HTTP/1.1\r\nHost: x\r\n\r\n"
            b"GET /desk/status/304 HTTP/1.1\r\nHost: x\r\n\r\n"
            b"GET /desk/last HTTP/1.1\r\nHost: x\r\n\r\n"
        )
        answer = self.exchange(raw)
        parts = answer.split(b"HTTP/1.1 ")[1:]
        codes = [part[:3] for part in parts]
        self.assertEqual([b"200", b"204", b"304", b"200"], codes, answer)
        bodies = [part.partition(b"\r\n\r\n")[2] for part in parts]
        self.assertEqual([b"", b"", b"", b"GET /last 0\n"], bodies)

    def test_100_continue_is_sent_only_when_the_body_is_read(self):
        expect = b"Expect: 100-continue\r\nContent-Length: 5\r\n\r\n"
        with self.fixture.path.connect() as sock:
            sock.sendall(b"POST /unknown/x HTTP/1.1\r\nHost: x\r\n" + expect)
            self.assertNotIn(b"100 Continue", read_all(sock))
        with self.fixture.path.connect() as sock:
            sock.sendall(b"POST /desk/echo HTTP/1.1\r\nHost: x\r\n" + expect)
            self.assertEqual(b"HTTP/1.1 100 Continue\r\n\r\n", sock.recv(100))
            sock.sendall(b"hello")
            self.assertEqual(b"hello", read_response(sock, "POST")[2])


class LimitsTest(RedwingspringTestCase):
    def assert_limit(self, answer, status, reason):
        self.assertIn(b"HTTP/1.1 " + status, answer[:20], answer[:300])
        self.assertIn(b"Request-Run: not-run\r\n", answer)
        self.assertIn(b"Failure-Reason: " + reason + b"\r\n", answer)

    def test_each_limit_has_its_own_refusal(self):
        fixture = DataPathFixture(
            self, defaults={"request.body": 1000}, max_header_bytes=4096
        )
        exchange = fixture.path.exchange
        long_header = b"Extra: " + b"x" * 5000 + b"\r\n\r\n"
        self.assert_limit(exchange(HEAD + long_header), b"431", b"too-large")
        long_line = b"GET /desk/" + b"x" * 5000 + b" HTTP/1.1\r\n\r\n"
        self.assert_limit(exchange(long_line), b"414", b"too-large")
        long_body = HEAD + b"Content-Length: 1001\r\n\r\n"
        self.assert_limit(exchange(long_body), b"413", b"too-large")
        long_chunks = CHUNKED_HEAD + b"3e9\r\n" + b"x" * 1001 + b"\r\n0\r\n\r\n"
        self.assert_limit(exchange(long_chunks), b"413", b"too-large")
        self.assertEqual([], fixture.runs())

    def test_connections_beyond_the_limit_are_refused(self):
        fixture = DataPathFixture(self, max_connections=2)
        held = [fixture.path.connect() for _ in range(2)]
        for sock in held:
            self.addCleanup(sock.close)
        wait_until(lambda: fixture.path.server.requests.count == 2)
        # More connections than refusal threads: each must still get a response.
        extra = [fixture.path.connect() for _ in range(20)]
        for sock in extra:
            self.addCleanup(sock.close)
        for sock in extra:
            self.assert_limit(sock.recv(4096), b"503", b"connections")

    def send_slowly(self, fixture, start, rest):
        """Send bytes, then more one at a time; return the response and the seconds."""
        started = time.monotonic()
        with fixture.path.connect() as sock:
            sock.sendall(start)
            sock.settimeout(0.05)
            for byte in rest:
                try:
                    sock.sendall(bytes((byte,)))
                    answer = sock.recv(4096)
                    return answer, time.monotonic() - started
                except TimeoutError:
                    pass
        self.fail("no response arrived while the bytes were sent")

    def test_a_slow_head_ends_within_the_timeout(self):
        fixture = DataPathFixture(self, caller_timeout=0.5)
        answer, seconds = self.send_slowly(fixture, HEAD, b"Extra: a long header")
        self.assert_limit(answer, b"408", b"deadline")
        self.assertLess(seconds, 2.0)

    def test_a_slow_body_ends_at_its_deadline(self):
        fixture = DataPathFixture(self, defaults={"request.deadline": 0.4})
        started = time.monotonic()
        with fixture.path.connect() as sock:
            sock.sendall(HEAD + b"Content-Length: 5\r\n\r\nhi")
            self.assert_limit(read_all(sock), b"503", b"deadline")
        self.assertLess(time.monotonic() - started, 2.0)
        self.assertEqual([], fixture.runs())

    def test_a_slow_upload_ends_at_its_deadline(self):
        fixture = DataPathFixture(self, defaults={"request.deadline": 0.5})
        start = HEAD + b"Content-Length: 200000\r\n\r\n" + b"x" * 70_000
        answer, seconds = self.send_slowly(fixture, start, b"x" * 60)
        self.assertIn(b"HTTP/1.1 504", answer)
        self.assertIn(b"Request-Run: may-have-run\r\n", answer)
        self.assertIn(b"Failure-Reason: deadline\r\n", answer)
        self.assertLess(seconds, 2.0)

    def test_many_slow_downloads_do_not_delay_short_requests(self):
        # More downloads than a default thread pool has workers (32 at most).
        behaviour = TargetBehaviour(slots=500, work_s=0.0, body_rate=30_000)
        fixture = DataPathFixture(self, behaviour=behaviour)
        socks = []
        for _ in range(60):
            sock = fixture.path.connect()
            self.addCleanup(sock.close)
            sock.sendall(b"GET /desk/download/300000 HTTP/1.1\r\nHost: x\r\n\r\n")
            socks.append(sock)
        self.assertTrue(wait_until(lambda: len(fixture.runs()) == 60))
        times = []
        for _ in range(20):
            started = time.monotonic()
            self.assertEqual(200, fixture.send("GET", "/short")[0])
            times.append(time.monotonic() - started)
        self.assertLess(sorted(times)[10], 0.25, times)
