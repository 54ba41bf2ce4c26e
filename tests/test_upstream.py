import socket
import threading
import time
from types import SimpleNamespace
from unittest import mock

from redwingspring.targetconnection import TargetConnection, enable_reset_on_close
from redwingspring.upstream import TargetPool

from .base import RedwingspringTestCase
from .datapath import (
    DataPathFixture,
    RawFixture,
    answer_with,
    read_response,
    wait_until,
)
from .invalidresponses import list_heads

OK = b"HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\n"
# A body that starts like a response.
SPLIT = OK + b"X: y\r\n"


class StrictResponseTest(RedwingspringTestCase):
    def send(self, template, method="GET", **options):
        self.fixture = RawFixture(self, answer_with(template), **options)
        return self.fixture.send(method, "/x")

    def assert_broken(self, template, reason="truncated"):
        status, headers, body, _ = self.send(template)
        self.assertEqual(502, status, (template, body))
        self.assertEqual("may-have-run", headers["request-run"])
        self.assertEqual(reason, headers["failure-reason"], template)

    def test_interim_responses_are_skipped(self):
        interim = b"HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n"
        ok = OK + b"Content-Length: 2\r\n\r\nhi"
        status, headers, body, _ = self.send(
            b"HTTP/1.1 100 Continue\r\n\r\n" + interim * 3 + ok
        )
        self.assertEqual((200, b"hi"), (status, body))
        self.assertNotIn("link", headers)

    def test_endless_interim_responses_end_the_attempt(self):
        interim = b"HTTP/1.1 102 Processing\r\n\r\n"
        self.assert_broken(interim * 100, "reset")

    def test_a_response_with_two_framings_is_not_relayed(self):
        chunked = b"Transfer-Encoding: chunked\r\n"
        self.assert_broken(
            OK + b"Content-Length: 3\r\n" + chunked + b"\r\n3\r\nabc\r\n0\r\n\r\n"
        )
        self.assert_broken(OK + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc")
        self.assert_broken(OK + b"Content-Length: +3\r\n\r\nabc")
        self.assert_broken(OK + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n")
        old = OK.replace(b"1.1", b"1.0")
        self.assert_broken(old + chunked + b"\r\n0\r\n\r\n")

    def test_a_205_response_with_a_body_is_not_relayed(self):
        reset = OK.replace(b"200 OK", b"205 Reset Content")
        chunked = b"Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"
        self.assert_broken(reset + chunked)
        self.assert_broken(reset + b"Content-Length: 2\r\n\r\nhi")
        self.assertEqual(205, self.send(reset + b"Content-Length: 0\r\n\r\n")[0])

    def test_a_response_without_an_end_is_not_relayed(self):
        self.assert_broken(OK + b"\r\nabc")

    def test_a_malformed_header_line_is_not_skipped(self):
        line = b"Content-Length : 3\r\n"
        self.assert_broken(
            OK + line + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "reset"
        )

    def test_a_malformed_chunk_is_not_taken_for_the_end(self):
        chunked = OK + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
        for rest in (
            b"0",
            b"0\r\n",
            b"0\r\nTrailer: a",
            b"-1\r\n\r\n",
            b"0x0\r\n\r\n",
            b"+0\r\n\r\n",
            b"",
            b"\r\n\r\n",
            b"000",
        ):

            def answer(sock, head, attempt, rest=rest):
                sock.sendall(chunked.replace(b"ID", attempt) + rest)
                return True

            fixture = RawFixture(self, answer)
            status, _, body, whole = fixture.send("GET", "/x")
            self.assertEqual((200, b"abc", False), (status, body, whole), rest)

    def test_a_chunk_longer_than_its_size_is_an_error(self):
        chunked = OK + b"Transfer-Encoding: chunked\r\n\r\n3\r\n"
        for rest in (b"abcde\r\n0\r\n\r\n", b"abcde0\r\n\r\n"):
            self.assertFalse(self.send(chunked + rest)[3], rest)

    def test_headers_of_the_connection_are_not_relayed(self):
        status, headers, _, _ = self.send(
            OK + b"Connection: keep-alive, X-Hop\r\nX-Hop: a\r\nKeep-Alive: 5\r\n"
            b"X-End: b\r\nContent-Length: 0\r\n\r\n"
        )
        self.assertEqual((200, "b"), (status, headers.get("x-end")))
        for name in ("x-hop", "keep-alive", "attempt-id"):
            self.assertNotIn(name, headers)

    def test_a_folded_header_is_not_relayed(self):
        # Other parsers could take the second line for a header of its own.
        self.assert_broken(
            OK + b"X-Long: a\r\n Content-Length: 1\r\nContent-Length: 0\r\n\r\n",
            "reset",
        )

    def test_a_malformed_head_is_not_relayed(self):
        """The same parser reads the responses in the own mode."""
        fixture = RawFixture(
            self,
            lambda sock, head, attempt: sock.sendall(
                self.answer.replace(b"ID", attempt)
            ),
        )
        for method in ("POST", "HEAD"):
            for self.answer in list_heads(b"Attempt-Id: ID\r\n"):
                status, headers, _, _ = fixture.send(method, "/x")
                seen = status, headers.get("request-run")
                self.assertEqual((502, "may-have-run"), seen, self.answer)

    def test_verdict_headers_of_a_target_are_not_relayed(self):
        # Only a refusal with status 429 or 503 proves that a request did not run.
        # With another status, the header would make callers repeat a request that
        # did run.
        _, headers, _, _ = self.send(
            OK + b"Request-Run: not-run\r\nFailure-Reason: x\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        self.assertNotIn("request-run", headers)
        self.assertNotIn("failure-reason", headers)

    def test_a_refusal_without_an_id_on_a_reused_connection_is_no_proof(self):
        answers = [
            b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
            b"HTTP/1.1 503 Busy\r\nRequest-Run: not-run\r\nContent-Length: 0\r\n\r\n",
        ]
        fixture = RawFixture(
            self,
            lambda sock, head, attempt: sock.sendall(answers.pop(0)),
            {"response.echo": "when-present", "retry.attempts": 1},
        )
        self.assertEqual(200, fixture.send("POST", "/x")[0])
        fixture.wait_idle()
        _, headers, _, _ = fixture.send("POST", "/x")
        self.assertEqual("may-have-run", headers["request-run"])

    def test_a_head_that_trickles_in_ends_at_the_deadline(self):
        def trickle(sock, head, attempt):
            for byte in OK.replace(b"ID", attempt) + b"X: " + b"y" * 100:
                sock.sendall(bytes((byte,)))
                time.sleep(0.05)

        fixture = RawFixture(self, trickle, {"request.deadline": 0.4})
        started = time.monotonic()
        status, headers, _, _ = fixture.send("POST", "/x")
        self.assertEqual((504, "deadline"), (status, headers["failure-reason"]))
        self.assertLess(time.monotonic() - started, 1.0)

    def test_a_closing_response_may_pause_longer_than_its_remaining_deadline(self):
        # The time left until the deadline was once applied to the pauses of such a
        # body, instead of the stall timeout.
        def answer(sock, head, attempt):
            time.sleep(1.0)
            start = OK.replace(b"ID", attempt) + b"Connection: close\r\n"
            sock.sendall(start + b"Content-Length: 6\r\n\r\nabc")
            time.sleep(1.2)
            sock.sendall(b"def")
            return True

        fixture = RawFixture(self, answer, {"request.deadline": 2.0})
        status, _, body, whole = fixture.send("GET", "/x")
        self.assertEqual((200, b"abcdef", True), (status, body, whole))


class ReuseTest(RedwingspringTestCase):
    def count_connections(self, template, method="GET"):
        fixture = RawFixture(self, answer_with(template))
        for _ in range(3):
            fixture.send(method, "/x")
            fixture.wait_idle()
        return fixture.raw.accepted

    def test_connections_are_reused_after_each_kind_of_response(self):
        sized = OK + b"Content-Length: 2\r\n\r\nhi"
        self.assertEqual(1, self.count_connections(sized))
        chunked = OK + b"Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"
        self.assertEqual(1, self.count_connections(chunked))
        head = OK + b"Content-Length: 2\r\n\r\n"
        self.assertEqual(1, self.count_connections(head, "HEAD"))
        for status in (b"204 No Content", b"304 Not Modified"):
            empty = OK.replace(b"200 OK", status) + b"\r\n"
            self.assertEqual(1, self.count_connections(empty))

    def test_connections_with_bytes_of_no_request_are_closed(self):
        sized = OK + b"Content-Length: 2\r\n\r\nhi"
        self.assertEqual(3, self.count_connections(sized + b"more"))
        self.assertEqual(3, self.count_connections(sized, "HEAD"))
        chunked = OK + b"Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"
        self.assertEqual(3, self.count_connections(chunked + b"x"))
        empty = OK.replace(b"200 OK", b"204 No Content") + b"\r\n"
        self.assertEqual(3, self.count_connections(empty + b"x"))

    def test_connections_that_a_target_closes_are_not_reused(self):
        listed = OK + b"Connection: X-A, Close\r\nContent-Length: 2\r\n\r\nhi"
        self.assertEqual(3, self.count_connections(listed))

    def test_connections_idle_too_long_are_closed(self):
        fixture = DataPathFixture(self, defaults={"target.idle": 0.3})
        threads = [
            threading.Thread(target=fixture.send, args=("GET", "/x?work_ms=100"))
            for _ in range(4)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        fixture.wait_idle()
        pool = fixture.path.pools.find(fixture.targets[0].address)
        self.assertEqual(4, len(pool._idle))
        for _ in range(8):
            fixture.send("GET", "/x")
            fixture.wait_idle()
            time.sleep(0.05)
        self.assertEqual(1, len(pool._idle))

    def test_a_connection_reset_before_the_first_byte_proves_not_run(self):
        fixture = DataPathFixture(self, defaults={"retry.attempts": 1})
        fixture.send("POST", "/first")
        fixture.wait_idle()
        pool = fixture.path.pools.find(fixture.targets[0].address)
        stale = pool._idle[0]
        # Simulates a reset that arrives after the last check of the connection.
        stale.sock.shutdown(socket.SHUT_WR)
        with mock.patch.object(TargetConnection, "is_connected", True):
            _, headers, _, _ = fixture.send("POST", "/second")
        self.assertEqual("not-run", headers["request-run"])
        self.assertEqual(1, len(fixture.runs()))

    def test_a_connection_closed_while_idle_is_replaced(self):
        closing = []

        def answer(sock, head, attempt):
            sock.sendall(OK.replace(b"ID", attempt) + b"Content-Length: 0\r\n\r\n")
            closing.append(sock)
            return False

        fixture = RawFixture(self, answer)
        fixture.send("POST", "/x")
        fixture.wait_idle()
        read_is_connected = TargetConnection.is_connected.fget

        def close_then_check(connection):
            # The first check, by the pool, takes place just before the target
            # closes the connection.
            if closing:
                enable_reset_on_close(closing[0])
                closing.pop().shutdown(socket.SHUT_RDWR)
                return True
            time.sleep(0.02)
            return read_is_connected(connection)

        with mock.patch.object(
            TargetConnection, "is_connected", property(close_then_check)
        ):
            self.assertEqual(200, fixture.send("POST", "/x")[0])
        self.assertEqual(2, fixture.raw.accepted)


class EarlyResponseTest(RedwingspringTestCase):
    def upload(self, answer, size=20_000_000):
        fixture = RawFixture(self, answer, {"request.deadline": 5.0})
        with fixture.path.connect() as sock:
            sock.sendall(
                b"POST /desk/x HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % size
            )
            sock.setblocking(False)
            sent, started = 0, time.monotonic()
            while sent < size and time.monotonic() - started < 1.0:
                try:
                    sent += sock.send(b"x" * 65536)
                except BlockingIOError:
                    time.sleep(0.01)
                except OSError:
                    break
            sock.settimeout(5.0)
            return read_response(sock, "POST"), time.monotonic() - started

    def test_a_response_during_the_upload_reaches_the_caller(self):
        def answer(sock, head, attempt):
            # The target neither reads the body nor closes the connection, so only
            # the response shows that it has refused the request.
            start = OK.replace(b"ID", attempt).replace(b"200 OK", b"413 Too Large")
            sock.sendall(start + b"Content-Length: 2\r\n\r\nno")
            time.sleep(4.0)
            return True

        (status, _, body, _), seconds = self.upload(answer)
        self.assertEqual((413, b"no"), (status, body))
        self.assertLess(seconds, 3.0)

    def test_a_refusal_during_the_upload_is_proof(self):
        def answer(sock, head, attempt):
            start = OK.replace(b"ID", attempt).replace(b"200 OK", b"503 Busy")
            sock.sendall(start + b"Request-Run: not-run\r\nContent-Length: 0\r\n\r\n")
            time.sleep(4.0)
            return True

        (status, headers, _, _), _ = self.upload(answer)
        self.assertEqual((503, "not-run"), (status, headers["request-run"]))

    def test_an_interim_response_takes_nothing_of_the_final_one_with_it(self):
        """The end of its head must not be looked for in what follows it."""
        whole = SPLIT + b"Content-Length: %d\r\n\r\n" % len(SPLIT)

        def answer(sock, head, attempt):
            hint = b"HTTP/1.1 103 Hints\nA: b\n\n"
            sock.sendall(hint + (whole + SPLIT).replace(b"ID", attempt))
            time.sleep(4.0)
            return True

        (status, _, body, _), _ = self.upload(answer)
        self.assertEqual((200, len(SPLIT)), (status, len(body)))

    def test_an_invalid_interim_response_ends_the_upload(self):
        def answer(sock, head, attempt):
            sock.sendall(b"HTTP/1.1 103 Hints\r\nA b: c\r\n\r\n")
            sock.sendall(OK.replace(b"ID", attempt) + b"Content-Length: 0\r\n\r\n")
            time.sleep(4.0)
            return True

        (status, headers, _, _), seconds = self.upload(answer)
        self.assertEqual((502, "may-have-run"), (status, headers["request-run"]))
        self.assertLess(seconds, 3.0)

    def test_an_interim_response_does_not_end_the_upload(self):
        def answer(sock, head, attempt):
            sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\n")
            time.sleep(0.1)
            sock.sendall(b"A: b\r\n\r\n")
            left = 1_000_000
            while left:
                left -= len(sock.recv(min(left, 65536)))
            sock.sendall(OK.replace(b"ID", attempt) + b"Content-Length: 2\r\n\r\nhi")

        (status, _, body, _), _ = self.upload(answer, 1_000_000)
        self.assertEqual((200, b"hi"), (status, body))


class CallerGoneTest(RedwingspringTestCase):
    def assert_ends_not_run(self, fixture, request_id):
        """Check the request page and the runs of the target after the request."""
        find = fixture.path.requests.find
        self.assertTrue(
            wait_until(lambda: str(find(request_id)) not in ("running", "unknown"))
        )
        self.assertEqual("not-run", str(find(request_id)))
        self.assertEqual([], fixture.runs())

    def test_nothing_is_sent_for_a_caller_that_hung_up(self):
        fixture = DataPathFixture(self)
        admission = fixture.path.admissions.find("desk")
        acquire_slot = admission.acquire_slot

        def acquire_slot_late(deadline):
            # Simulates a wait in the queue.
            time.sleep(0.2)
            return acquire_slot(deadline)

        with mock.patch.object(admission, "acquire_slot", acquire_slot_late):
            with fixture.path.connect() as sock:
                sock.sendall(
                    b"POST /desk/x HTTP/1.1\r\nHost: x\r\nRequest-Id: gone\r\n"
                    b"Content-Length: 0\r\n\r\n"
                )
            self.assert_ends_not_run(fixture, "gone")

    def test_a_short_upload_cut_by_its_caller_is_not_run(self):
        fixture = DataPathFixture(self)
        with fixture.path.connect() as sock:
            sock.sendall(
                b"POST /desk/x?start=head HTTP/1.1\r\nHost: x\r\nRequest-Id: cut\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n5\r\nhel"
            )
        self.assert_ends_not_run(fixture, "cut")


class PoolTest(RedwingspringTestCase):
    def test_idle_connections_of_all_hosts_stay_within_the_limit_of_a_target(self):
        # 200 connections shared by 20 hosts are 10 per host; with 6 slots in use,
        # 4 connections may be idle.
        pool = TargetPool("127.0.0.1:1")
        limits = SimpleNamespace(
            connections=200, slots=6, idle_timeout=30.0, connect_timeout=0.1
        )
        connections = [pool.take(limits, True) for _ in range(10)]
        for connection in connections:
            pool.give_back(connection)
        self.assertEqual(4, len(pool._idle))
