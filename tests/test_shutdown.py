"""Requests that a stopping host receives late, and the end of its process."""

import random
import socket
import threading
import time

from redwingspring import routedentry, shutdown
from redwingspring.callerstreams import is_delivered
from redwingspring.metrics import Metrics
from redwingspring.server import EntryServer, ServerLimits
from redwingspring.shutdown import (
    ConnectionAction,
    ConnectionState,
    Phase,
    Shutdown,
    ShutdownTimes,
)

from .base import RedwingspringTestCase
from .standins import (
    POSTS,
    READS,
    HostFixture,
    describe_configuration,
    describe_route,
    find_port,
    render_request,
    wait_until,
)
from .test_pipelining import LONG_BODY, read_head, read_response, render_post
from .test_structure import PACKAGE, list_imports

TIMES = ShutdownTimes(2.0, 3.0, 5.5)
IDLE = ConnectionState(0)


class DecisionTest(RedwingspringTestCase):
    """Times are in seconds after SIGTERM."""

    def setUp(self):
        super().setUp()
        self.now = 0.0
        self.shutdown = Shutdown(lambda: self.now)

    def begin(self, now=0.0):
        self.assertTrue(self.shutdown.begin(TIMES))
        self.now = now

    def decide(self, now, **state):
        self.now = now
        state = ConnectionState(**{"active_requests": 0, **state})
        return self.shutdown.decide_connection(state)

    def test_nothing_changes_without_a_shutdown(self):
        self.assertTrue(self.shutdown.accepts_request(1e9))
        self.assertTrue(self.shutdown.may_send(1e9, 2e9, 1e9))
        self.assertTrue(self.shutdown.may_await_rest())
        self.assertEqual(Phase.SERVING, self.shutdown.phase)
        self.assertEqual(ConnectionAction.KEEP, self.decide(9.0, closed_at=1.0))

    def test_a_second_sigterm_does_not_move_the_times(self):
        self.begin(2.9)
        self.assertFalse(self.shutdown.begin(ShutdownTimes(9.0, 9.0, 9.0)))
        self.assertAlmostEqual(2.6, self.shutdown.compute_phase_left_s(Phase.FINISHING))
        self.assertFalse(self.shutdown.accepts_request(3.0))

    def test_a_signal_within_the_handler_of_another_begins_nothing(self):
        """Its handler runs in the same thread; it would wait for itself for good."""
        nested = []

        def read_clock_and_begin():
            nested.append(started and started.begin(TIMES))
            return 0.0

        started = None
        started = Shutdown(read_clock_and_begin)
        begun = []
        thread = threading.Thread(
            target=lambda: begun.append(started.begin(TIMES)), daemon=True
        )
        thread.start()
        thread.join(1)
        self.assertEqual(([True], [False]), (begun, nested))

    def test_a_request_is_forwarded_only_if_it_was_read_in_time(self):
        """It could be cut at the exit of the process."""
        self.begin()
        for now in (2.99, 3.0, 4.0):
            self.now = now
            self.assertTrue(self.shutdown.may_send(2.99, 5.0, 0.1))
            self.assertFalse(self.shutdown.may_send(3.0, 5.0, 0.1))

    def test_a_request_is_sent_only_if_its_response_is_expected_before_the_exit(self):
        self.begin()
        for now, deadline, work_s, may_send in (
            (0.1, 60.0, 4.0, True),
            (2.0, 60.0, 4.0, False),
            (4.9, 60.0, 0.1, True),
            (5.0, 60.0, 0.1, False),
            # At its deadline, a request is answered in any case.
            (5.0, 5.4, 1.0, True),
            (5.6, 5.55, 0.1, False),
        ):
            self.now = now
            answer = self.shutdown.may_send(0.05, deadline, work_s)
            self.assertEqual(may_send, answer, (now, deadline, work_s))

    def test_a_connection_with_a_request_in_progress_is_never_closed(self):
        self.begin()
        for now in (1.0, 3.5, 5.4, 9.0):
            state = {"active_requests": 1, "has_unread": True}
            self.assertEqual(ConnectionAction.KEEP, self.decide(now, **state))

    def test_an_idle_connection_closes_once_no_request_is_accepted(self):
        """Callers that keep connections open would keep the process from exiting."""
        self.begin()
        self.assertEqual(ConnectionAction.KEEP, self.decide(2.99))
        self.assertEqual(ConnectionAction.CLOSE, self.decide(3.0))

    def test_a_request_that_has_arrived_in_part_gets_time_for_a_response(self):
        """A closed connection would prove nothing to its caller."""
        self.begin()
        self.assertEqual(ConnectionAction.KEEP, self.decide(3.2, has_unread=True))
        self.assertTrue(self.shutdown.may_await_rest())
        self.assertEqual(ConnectionAction.CLOSE, self.decide(3.25, has_unread=True))
        self.assertFalse(self.shutdown.may_await_rest())

    def test_the_process_waits_until_sent_responses_have_arrived(self):
        self.begin()
        closed = {"closed_at": 3.0}
        self.assertEqual(ConnectionAction.KEEP, self.decide(3.49, **closed))
        self.assertEqual(ConnectionAction.DONE, self.decide(3.5, **closed))
        closed["is_delivered"] = False
        self.assertEqual(ConnectionAction.KEEP, self.decide(5.0, **closed))

    def test_a_short_grace_period_leaves_time_for_the_last_responses(self):
        self.assertEqual(TIMES, ShutdownTimes.fit(2.0, 3.0, 5.5))
        self.assertEqual(ShutdownTimes(2.0, 2.0, 2.5), ShutdownTimes.fit(2.0, 3.0, 2.5))
        self.assertEqual(ShutdownTimes(0.0, 0.0, 0.0), ShutdownTimes.fit(2.0, 3.0, -1))

    def test_no_response_is_cut_whatever_the_order_of_events(self):
        """Random requests: each one that is sent ends before the process does."""
        rng = random.Random(7)
        self.begin()
        sent = 0
        for _ in range(2000):
            read_at = rng.uniform(0.0, 5.5)
            work_s = rng.uniform(0.05, 1.0)
            self.now = read_at + rng.uniform(0.0, 3.0)
            if self.shutdown.may_send(read_at, read_at + 6.0, 0.525):
                sent += 1
                self.assertTrue(read_at < 3.0 and self.now + work_s < 5.5)
        self.assertTrue(sent > 200)

    def test_the_decisions_use_no_input_or_output(self):
        imported = {name for _, name in list_imports(PACKAGE / "shutdown.py")}
        self.assertEqual({"threading", "dataclasses", "enum", "clock"}, imported)


class LateRequestTest(RedwingspringTestCase):
    """One host with real sockets, which accepts no request 0.3 s after its drain."""

    def start(self, grace=6.0, routes=None, instances=1):
        self.patch(routedentry, "ACCEPT_AFTER_SIGTERM_S", 0.1)
        self.patch(routedentry, "CLOSE_IDLE_AFTER_S", 0.3)
        configuration = routes and describe_configuration(routes=routes)
        self.host = HostFixture(self, instances, configuration, grace=grace)
        self.instance = self.host.instances[0]
        self.entry = self.host.entry
        self.addCleanup(wait_until, self.entry.stopping.is_set, 12)
        self.caller = self.host.connect()
        self.addCleanup(self.caller.close)
        self.caller.connection.connect()
        self.stream = self.caller.connection.sock.makefile("rb")
        # The host has accepted the connection.
        wait_until(lambda: self.entry.server.requests.count)

    def drain_until_late(self):
        self.entry.drain()
        wait_until(lambda: self.entry.shutdown.phase is Phase.FINISHING)

    def assert_rejected(self):
        """Assert a response that proves that the request did not run, then the end."""
        status, headers = read_head(self.stream)
        self.assertEqual((503, "not-run"), (status, headers["request-run"]))
        self.assertEqual("stopping", headers["failure-reason"])
        self.assertEqual("close", headers["connection"])
        self.assertTrue(float(headers["retry-after"]) > 0)
        self.stream.read(int(headers["content-length"]))
        self.assertEqual(b"", self.stream.read())
        self.assertNotIn("late", [run[0] for run in self.host.runs])

    def test_a_request_whose_rest_arrives_late_is_rejected_with_a_response(self):
        """The end of its connection would not prove that it did not run."""
        self.patch(shutdown, "PARTIAL_READ_S", 5.0)
        self.start()
        request = render_post("late")
        self.caller.send(request[:40])
        self.drain_until_late()
        self.caller.send(request[40:])
        self.assert_rejected()

    def test_a_body_that_arrives_late_is_rejected_with_a_response(self):
        self.start()
        request = render_post("late")
        self.caller.send(request[:-1])
        self.drain_until_late()
        self.caller.send(request[-1:])
        self.assert_rejected()

    def test_a_body_that_does_not_arrive_does_not_delay_the_exit(self):
        """It would be waited for until the deadline of its request."""
        self.start(routes=[describe_route("p", POSTS, "non_idempotent", timeout_s=9.0)])
        self.caller.send(render_post("late").replace(b": 2000", b": 9000")[:-1])
        started = time.monotonic()
        self.entry.drain()
        self.assert_rejected()
        self.assertTrue(time.monotonic() - started < 3.0)

    def test_a_request_behind_a_response_without_a_close_is_rejected(self):
        """It had been read, and no response had announced the end."""
        self.start()
        self.instance.body = LONG_BODY
        self.caller.send(render_request("GET", READS, "first", 5000))
        self.assertEqual(200, read_head(self.stream)[0])
        self.drain_until_late()
        self.caller.send(render_request("GET", READS, "late"))
        self.assertEqual(len(LONG_BODY), len(self.stream.read(len(LONG_BODY))))
        self.assert_rejected()

    def test_a_request_that_waits_for_a_target_is_rejected_before_the_end(self):
        """Sent to a target that becomes free late, it would be cut by the exit."""
        route = describe_route("reads", READS, "idempotent", target_latency_s=9.0)
        self.start(grace=2.0, routes=[{**route, "timeout_s": 9.0}])
        self.instance.load = "3,0,3,100"
        self.caller.send(render_request("GET", READS, "late", 9000))
        wait_until(lambda: len(self.entry.dispatcher.wait_queues.find("desk")))
        self.entry.drain()
        self.assert_rejected()
        self.assertFalse(self.entry.stopping.is_set())

    def send_slow_read(self, target_latency_s, work_s, mode="normal"):
        """Send a request on which its target works until shortly before the end."""
        route = describe_route(
            "reads", READS, "idempotent", target_latency_s=target_latency_s
        )
        self.start(grace=2.0, routes=[{**route, "timeout_s": 9.0}], instances=2)
        for instance in self.host.instances:
            instance.work_s = work_s
            instance.mode = mode
        self.caller.send(render_request("GET", READS, "slow", 9000))
        wait_until(lambda: self.host.runs)
        self.entry.drain()

    def test_no_retry_is_sent_that_could_not_be_answered(self):
        """It would be cut, and the response that there is would be lost."""
        self.send_slow_read(9.0, 1.1, "error")
        self.assertEqual(500, read_head(self.stream)[0])
        self.assertEqual(["slow"], [run[0] for run in self.host.runs])

    def test_no_hedge_is_sent_that_could_not_be_answered(self):
        self.send_slow_read(2.1, 1.3)
        self.assertEqual(200, read_head(self.stream)[0])
        self.assertEqual(["slow"], [run[0] for run in self.host.runs])

    def test_a_request_read_in_time_is_answered_late(self):
        """The work may take longer than requests are accepted."""
        self.start()
        self.instance.work_s = 1.0
        self.caller.send(render_post("in-time"))
        wait_until(lambda: self.host.runs)
        self.drain_until_late()
        headers, body = read_response(self.stream)
        self.assertEqual((b"whole body", "close"), (body, headers["connection"]))

    def test_the_process_ends_while_callers_keep_their_connections(self):
        self.start(grace=30.0)
        status, _, _ = self.caller.ask("GET", READS + "1")
        self.assertEqual(200, status)
        idle = socket.create_connection(self.entry.server.bind_addr)
        self.addCleanup(idle.close)
        self.entry.drain()
        wait_until(self.entry.stopping.is_set, 4)
        self.assertEqual(0, self.entry.server.count_unanswered())

    def test_the_process_ends_in_time_though_its_shutdown_fails(self):
        self.start(grace=1.5)

        def block():
            self.entry.stopping.wait(10)

        self.patch(self.entry.server, "close_listener", block)
        self.entry.drain()
        wait_until(self.entry.stopping.is_set, 3)


class DeliveryTest(RedwingspringTestCase):
    def test_unacknowledged_bytes_are_not_delivered(self):
        """The exit of the process could keep them from the caller."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            caller = socket.create_connection(listener.getsockname())
            sock, _ = listener.accept()
        self.addCleanup(caller.close)
        self.addCleanup(sock.close)
        sock.setblocking(False)
        sent = sock.send(LONG_BODY)
        self.assertFalse(is_delivered(sock))
        sock.shutdown(socket.SHUT_WR)
        received = 0
        while data := caller.recv(1 << 20):
            received += len(data)
        self.assertEqual(sent, received)
        wait_until(lambda: is_delivered(sock))
        sock.close()
        self.assertTrue(is_delivered(sock))


class AcceptLoopTest(RedwingspringTestCase):
    def test_the_accept_loop_ends_with_its_listener(self):
        """cheroot would run it without a pause and leave other threads no time."""
        address = f"127.0.0.1:{find_port()}"
        server = EntryServer(address, None, ServerLimits(), Metrics())
        server.prepare()
        thread = threading.Thread(target=server.serve, daemon=True)
        thread.start()
        wait_until(lambda: server._connections._serving)
        server.close_listener()
        thread.join(3)
        self.assertFalse(thread.is_alive())
