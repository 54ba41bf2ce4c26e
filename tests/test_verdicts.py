import socket
import time
from unittest import mock

from redwingspring.standinbehaviour import TargetBehaviour
from redwingspring.targetconnection import TargetConnection
from redwingspring.verdict import Reason, refuse

from .base import RedwingspringTestCase
from .datapath import (
    SERVICE,
    DataPath,
    DataPathFixture,
    RawFixture,
    answer_with,
    read_response,
    wait_until,
)


class VerdictsTest(RedwingspringTestCase):
    """One test for each failure point that docs/verdicts.md lists."""

    def start(self, **options):
        self.fixture = DataPathFixture(self, **options)
        return self.fixture

    def assert_failure(self, answer, status, verdict, reason, runs=0):
        got_status, headers, body, whole = answer
        got = got_status, headers.get("request-run"), headers.get("failure-reason")
        self.assertEqual((status, verdict, reason), got, body)
        first, second = body.decode().splitlines()
        self.assertEqual(f"request {headers['request-id']} {verdict}", first)
        self.assertTrue(second.startswith(f"reason {reason}: "), second)
        self.assertTrue(whole)
        self.assertEqual(runs, len(self.fixture.runs()))

    def test_an_unknown_service(self):
        self.start()
        with self.fixture.path.connect() as sock:
            sock.sendall(b"POST /unknown/x HTTP/1.1\r\nHost: x\r\n\r\n")
            answer = read_response(sock, "POST")
        self.assert_failure(answer, 404, "not-run", "unknown-service")

    def test_a_host_without_configuration(self):
        fixture = self.start()
        fixture.path.directory.table = None
        answer = fixture.send("POST", "/x")
        self.assert_failure(answer, 503, "not-run", "not-ready")

    def test_an_isolated_host(self):
        fixture = self.start()
        fixture.path.refusal = refuse(Reason.ISOLATED, "too few peers")
        answer = fixture.send("POST", "/x")
        self.assert_failure(answer, 503, "not-run", "isolated")

    def test_a_duplicate_id(self):
        fixture = self.start()
        headers = {"Request-Id": "twice"}
        self.assertEqual(200, fixture.send("POST", "/x", headers=headers)[0])
        answer = fixture.send("POST", "/x", headers=headers)
        self.assert_failure(answer, 409, "may-have-run", "duplicate", runs=1)

    def test_a_full_queue(self):
        fixture = self.start(defaults={"target.slots": 1, "queue.length": 0})
        admission = fixture.path.admissions.find(SERVICE)
        admission.in_flight = admission.limit
        answer = fixture.send("POST", "/x")
        self.assert_failure(answer, 503, "not-run", "queue-full")

    def test_a_wait_in_the_queue_that_is_too_long(self):
        fixture = self.start(defaults={"queue.wait": 0.1})
        admission = fixture.path.admissions.find(SERVICE)
        admission.in_flight = admission.limit
        answer = fixture.send("POST", "/x")
        self.assert_failure(answer, 503, "not-run", "no-capacity")

    def test_no_target_in_service(self):
        fixture = self.start()
        fixture.path.directory.table.services[SERVICE][0].leaving = True
        answer = fixture.send("POST", "/x")
        self.assert_failure(answer, 503, "not-run", "no-capacity")

    def test_only_cold_targets_without_a_lease(self):
        fixture = self.start()
        fixture.path.directory.table.services[SERVICE][0].mark_cold("")
        answer = fixture.send("POST", "/x")
        self.assert_failure(answer, 503, "not-run", "no-lease")

    def test_a_deadline_that_has_passed(self):
        fixture = self.start()
        past = str(int(time.time() * 1000) - 1)
        answer = fixture.send("POST", "/x", headers={"Request-Deadline": past})
        self.assert_failure(answer, 503, "not-run", "deadline")

    def send_to(self, address, **defaults):
        self.start().path.close()
        self.fixture.path = DataPath({SERVICE: [address]}, defaults)
        self.fixture.path.mark_targets_warm({address: ""})
        return self.fixture.send("POST", "/x")

    def test_a_refused_connection(self):
        with socket.create_server(("127.0.0.1", 0)) as closed:
            address = f"127.0.0.1:{closed.getsockname()[1]}"
        self.assert_failure(self.send_to(address), 503, "not-run", "connect")

    def test_a_connection_that_takes_too_long(self):
        with socket.create_server(("127.0.0.1", 0), backlog=0) as full:
            port = full.getsockname()[1]
            # With a full listen queue, further connection attempts get no answer.
            waiting = [socket.socket() for _ in range(3)]
            for sock in waiting:
                self.addCleanup(sock.close)
                sock.setblocking(False)
                sock.connect_ex(("127.0.0.1", port))
            answer = self.send_to(f"127.0.0.1:{port}", **{"target.connect": 0.1})
        self.assert_failure(answer, 503, "not-run", "connect")

    def test_a_decision_that_is_too_old_when_connected(self):
        # Simulates a pause of the process between the decision and the send.
        fixture = self.start(defaults={"retry.attempts": 1})
        connect = TargetConnection.connect

        def connect_late(connection):
            connect(connection)
            time.sleep(0.3)

        with mock.patch.object(TargetConnection, "connect", connect_late):
            answer = fixture.send("POST", "/x")
        self.assert_failure(answer, 503, "not-run", "stale-decision")

    def test_a_target_that_leaves_while_connecting(self):
        fixture = self.start(defaults={"retry.attempts": 1})
        connect = TargetConnection.connect
        state = fixture.path.directory.table.services[SERVICE][0]

        def connect_then_leave(connection):
            connect(connection)
            state.leaving = True

        with mock.patch.object(TargetConnection, "connect", connect_then_leave):
            answer = fixture.send("POST", "/x")
        self.assert_failure(answer, 503, "not-run", "stale-decision")

    def test_a_refusal_by_the_target(self):
        fixture = self.start(behaviour=TargetBehaviour(slots=0))
        answer = fixture.send("POST", "/x")
        self.assert_failure(answer, 503, "not-run", "target-refused")

    def test_the_same_status_without_the_header_is_a_response(self):
        fixture = self.start()
        status, headers, _, _ = fixture.send("POST", "/status/503")
        self.assertEqual((503, None), (status, headers.get("request-run")))

    def assert_fault(self, fault, status, reason, runs=1, seconds=4.0):
        fixture = self.start(defaults={"request.deadline": seconds})
        answer = fixture.send("POST", f"/x?start=head&fault={fault}", body=b"hello")
        self.assert_failure(answer, status, "may-have-run", reason, runs)

    def test_resets_after_the_first_byte(self):
        for point in ("head", "body", "work"):
            self.assert_fault(f"reset-after-{point}", 502, "reset")
        self.assert_fault("reset-in-request-body", 502, "reset")
        self.assert_fault("reset-in-response-head", 502, "reset")

    def test_no_answer_and_a_late_answer(self):
        self.assert_fault("no-answer", 504, "deadline", seconds=0.3)
        self.assert_fault("late-answer", 504, "deadline", seconds=0.3)

    def test_a_crossed_response_and_one_without_an_id(self):
        self.assert_fault("crossed-id", 502, "crossed")
        self.assert_fault("missing-id", 502, "crossed")

    def test_a_response_whose_end_cannot_be_verified(self):
        self.assert_fault("unframed", 502, "truncated")
        self.assert_fault("conflicting-lengths", 502, "truncated")

    def test_a_late_answer_reaches_no_other_caller(self):
        fixture = self.start(defaults={"request.deadline": 0.3})
        fixture.send("POST", "/x?fault=late-answer")
        time.sleep(0.3)
        for number in range(3):
            body = fixture.send("GET", f"/{number}")[2]
            self.assertEqual(f"GET /{number} 0\n".encode(), body)

    def test_a_switch_of_protocols(self):
        self.fixture = RawFixture(
            self,
            answer_with(b"HTTP/1.1 101 Switching\r\nAttempt-Id: ID\r\n\r\n"),
        )
        answer = self.fixture.send("POST", "/x")
        self.assert_failure(answer, 502, "may-have-run", "no-answer")

    def test_a_large_chunked_body_beyond_the_limit(self):
        # The start of the body has reached the target when the limit is exceeded.
        fixture = self.start(defaults={"request.body": 300_000})
        with fixture.path.connect() as sock:
            sock.sendall(
                b"POST /desk/x?start=head HTTP/1.1\r\nHost: x\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n61a80\r\n" + b"x" * 400_000
            )
            answer = read_response(sock, "POST")
        wait_until(lambda: fixture.runs())
        self.assert_failure(answer, 502, "may-have-run", "too-large", runs=1)

    def test_a_large_malformed_chunked_body(self):
        fixture = self.start()
        with fixture.path.connect() as sock:
            sock.sendall(
                b"POST /desk/x?start=head HTTP/1.1\r\nHost: x\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n30d40\r\n" + b"x" * 200_000 + b"bad"
            )
            answer = read_response(sock, "POST")
        wait_until(lambda: fixture.runs())
        self.assert_failure(answer, 502, "may-have-run", "malformed", runs=1)

    def test_a_caller_that_hangs_up_cancels_the_work(self):
        fixture = self.start()
        with fixture.path.connect() as sock:
            sock.sendall(
                b"POST /desk/x?work_ms=3000 HTTP/1.1\r\nHost: x\r\nRequest-Id: gone\r\n"
                b"Content-Length: 0\r\n\r\n"
            )
            self.assertTrue(wait_until(lambda: fixture.runs()))
        ended = wait_until(lambda: fixture.runs()[0]["end"] == "cancelled", 1.0)
        self.assertTrue(ended, fixture.runs())
        # The target sees the end of its connection before the host records the outcome.
        requests = fixture.path.requests
        recorded = wait_until(lambda: str(requests.find("gone")) != "running", 1.0)
        self.assertTrue(recorded)
        self.assertEqual("may-have-run", str(requests.find("gone")))

    def test_a_fault_of_this_system(self):
        fixture = self.start()
        with mock.patch.object(
            fixture.path.dispatcher, "send", side_effect=RuntimeError
        ):
            status, headers, body, _ = fixture.send("POST", "/x")
        self.assertEqual((500, "may-have-run"), (status, headers["request-run"]))
        self.assertIn(b"reason internal", body)
