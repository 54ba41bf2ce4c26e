"""Pipelined requests on connections that a host closes."""

import contextlib
import socket
import threading
import time
from unittest import mock

from redwingspring import routedentry
from redwingspring.callerstreams import is_readable
from redwingspring.shutdown import ShutdownTimes

from .base import RedwingspringTestCase
from .standins import (
    POSTS,
    READS,
    HostFixture,
    InstanceStandIn,
    describe_configuration,
    describe_route,
    render_request,
    wait_until,
)

# More than the kernel buffers between the host and a caller that does not read.
LONG_BODY = b"x" * (16 << 20)
# Time for a request on loopback to reach a target that has a free slot.
ARRIVAL_S = 0.5


def render_post(request_id):
    """Return a request with a body."""
    head = render_request("POST", POSTS, request_id)
    return head.replace(b"\r\n\r\n", b"\r\nContent-Length: 2\r\n\r\nab")


def read_head(stream):
    """Return status and headers of the next response; None at the end."""
    status_line = stream.readline()
    if not status_line:
        return None
    headers = {}
    while (line := stream.readline()) != b"\r\n":
        name, _, value = line.decode().partition(":")
        headers[name.lower()] = value.strip()
    return int(status_line.split()[1]), headers


def read_response(stream):
    """Return headers and body of the next response; None at the end."""
    head = read_head(stream)
    if head is None:
        return None
    return head[1], stream.read(int(head[1]["content-length"]))


class DrainTest(RedwingspringTestCase):
    def start(self, instances=1, **settings):
        self.host = HostFixture(self, instances=instances, **settings)
        self.addCleanup(wait_until, self.host.entry.stopping.is_set, 12)
        self.caller = self.host.connect()
        self.addCleanup(self.caller.close)

    def send(self, request):
        self.caller.send(request)
        self.stream = self.caller.connection.sock.makefile("rb")

    @property
    def run_ids(self):
        return [run[0] for run in self.host.runs]

    def begin_long_response(self):
        """Drain while the response that closes the connection is being written."""
        self.start(grace=30.0)
        self.host.instances[0].body = LONG_BODY
        self.host.instances[0].work_s = 0.3
        self.send(render_request("GET", READS, "last", deadline_ms=20_000))
        wait_until(lambda: self.host.runs)
        self.host.entry.drain()
        _, headers = read_head(self.stream)
        self.assertEqual("close", headers["connection"])

    def test_a_request_behind_the_last_response_is_not_passed_on(self):
        """Its connection closes without its response, so it must not run."""
        self.begin_long_response()
        self.caller.send(render_request("GET", READS, "late"))
        self.caller.send(render_post("late-post"))
        time.sleep(ARRIVAL_S)
        self.assertEqual(["last"], self.run_ids)

    def test_the_last_response_is_whole_though_requests_follow_it(self):
        """A reset by unread requests would destroy what was not yet delivered."""
        self.begin_long_response()
        for number in range(20):
            self.caller.send(render_request("GET", READS, f"late-{number}"))
        time.sleep(ARRIVAL_S)
        body = self.stream.read(len(LONG_BODY))
        self.assertTrue(body == LONG_BODY, f"{len(body)} bytes")
        self.assertEqual(b"", self.stream.read())

    def test_a_post_that_was_read_is_answered_before_the_connection_closes(self):
        """A request that waits for its turn counts as one that follows."""
        self.start(grace=6.0)
        self.host.instances[0].work_s = 0.5
        self.send(render_request("GET", READS, "first") + render_post("second"))
        wait_until(lambda: self.host.runs)
        self.host.entry.drain()
        options = []
        while (response := read_response(self.stream)) is not None:
            options.append(response[0].get("connection"))
        self.assertEqual([None, "close"], options)
        self.assertEqual(["first", "second"], self.run_ids)

    def test_a_caller_that_always_pipelines_does_not_keep_its_connection(self):
        """Its last requests would be cut at the end of the grace period."""
        self.start(instances=2, grace=8.0)
        for instance in self.host.instances:
            instance.work_s = 0.15
        self.send(render_request("GET", READS, "p0"))
        threading.Thread(target=self.keep_sending, daemon=True).start()
        self.host.entry.drain()
        started = time.monotonic()
        answered = []
        while (response := read_response(self.stream)) is not None:
            answered.append(response[0]["request-id"])
        self.assertTrue(time.monotonic() - started < 2.0)
        self.assertEqual(set(answered), set(self.run_ids))

    def keep_sending(self):
        """Send a request before each response until the connection ends."""
        with contextlib.suppress(OSError):
            for number in range(1, 200):
                time.sleep(0.03)
                self.caller.send(render_request("GET", READS, f"p{number}"))

    def test_a_request_that_arrives_after_its_connection_closed_is_not_passed_on(self):
        """Part of its head had arrived when the host closed idle connections."""
        self.patch(routedentry, "ACCEPT_AFTER_SIGTERM_S", 0.2)
        self.patch(routedentry, "CLOSE_IDLE_AFTER_S", 0.4)
        self.start(grace=6.0)
        request = render_post("slow")
        self.send(request[:40])
        time.sleep(0.1)
        self.host.entry.drain()
        self.assertEqual(b"", self.stream.read())
        self.caller.send(request[40:])
        time.sleep(ARRIVAL_S)
        self.assertEqual([], self.run_ids)

    def test_no_request_is_accepted_late_on_a_busy_connection(self):
        """It could not be answered before the end of the grace period."""
        self.patch(routedentry, "ACCEPT_AFTER_SIGTERM_S", 0.1)
        self.patch(routedentry, "CLOSE_IDLE_AFTER_S", 0.2)
        self.start(instances=2, grace=6.0)
        for instance in self.host.instances:
            instance.work_s = 1.5
        self.send(render_request("GET", READS, "first"))
        wait_until(lambda: self.host.runs)
        self.host.entry.drain()
        # Closing the listener takes up to half a second.
        time.sleep(1.0)
        self.caller.send(render_request("GET", READS, "late"))
        self.assertEqual("first", read_response(self.stream)[0]["request-id"])
        self.assertEqual(b"", self.stream.read())
        # A read that takes long is hedged.
        self.assertEqual({"first"}, set(self.run_ids))


class LongTarget(InstanceStandIn):
    """Target whose long responses pause, and then end or break off."""

    def __init__(self, instance_id):
        super().__init__(instance_id)
        self.mode = "long"
        self.body = b"y" * 600_000
        self.breaks = False
        self.resumed = threading.Event()

    def answer_long(self, handler, request_id):
        self.send_head(handler, request_id, len(self.body))
        middle = len(self.body) * 3 // 4
        handler.wfile.write(self.body[:middle])
        self.resumed.wait(5)
        if self.breaks:
            self.end(handler)
        else:
            handler.wfile.write(self.body[middle:])


class LongResponseTest(RedwingspringTestCase):
    """A long response is relayed before it is complete, and may break off."""

    def start(self, others=0):
        # With such a target latency, reads are not hedged within a test.
        route = describe_route("reads", READS, "idempotent", target_latency_s=9.0)
        configuration = describe_configuration(routes=[{**route, "timeout_s": 9.0}])
        self.host = HostFixture(self, others, configuration)
        self.target = LongTarget("i-long")
        self.addCleanup(self.target.close)
        self.host.list_instance(self.target)
        wait_until(lambda: len(self.host.entry.directory.list_ids()) == others + 1)
        for instance in self.host.instances:
            instance.body = self.target.body
            # The long target looks better, so it gets the first request.
            instance.load = "2,0,3,100"
        self.caller = self.host.connect()
        self.addCleanup(self.caller.close)

    def send(self, request_id, deadline_ms=4000):
        self.caller.send(render_request("GET", READS, request_id, deadline_ms))
        self.stream = self.caller.connection.sock.makefile("rb")

    def begin_stream(self):
        self.start()
        self.send("first")
        self.assertEqual(200, read_head(self.stream)[0])

    def test_nothing_is_passed_on_behind_a_response_that_may_break_off(self):
        """Its connection would end without the responses that follow."""
        self.begin_stream()
        self.target.breaks = True
        self.caller.send(render_request("GET", READS, "second"))
        time.sleep(ARRIVAL_S)
        self.target.resumed.set()
        body = self.stream.read()
        self.assertTrue(len(body) < len(self.target.body))
        self.assertEqual(["first"], self.target.arrivals)

    def test_a_request_behind_a_complete_response_is_answered(self):
        self.begin_stream()
        self.caller.send(render_request("GET", READS, "second"))
        time.sleep(ARRIVAL_S)
        self.target.resumed.set()
        self.assertTrue(self.stream.read(600_000) == self.target.body)
        headers, body = read_response(self.stream)
        self.assertEqual("second", headers["request-id"])
        self.assertTrue(body == self.target.body)

    def test_the_time_behind_a_long_response_counts_for_the_deadline(self):
        self.begin_stream()
        self.caller.send(render_request("GET", READS, "second", 1500))
        time.sleep(1.0)
        self.target.resumed.set()
        wait_until(lambda: len(self.target.headers) == 2)
        self.assertTrue(int(self.target.headers[1]["Deadline-Ms"]) < 600)

    def test_a_broken_response_with_others_behind_it_is_replaced(self):
        self.start(others=1)
        self.target.breaks = True
        self.target.work_s = 2 * ARRIVAL_S
        self.send("first")
        wait_until(lambda: self.target.arrivals)
        self.target.load = "2,0,3,100"
        self.host.instances[0].load = "0,0,3,100"
        # The load of the last probe counts for a moment.
        time.sleep(ARRIVAL_S / 2)
        self.caller.send(render_request("GET", READS, "second"))
        wait_until(lambda: self.host.runs)
        self.target.resumed.set()
        for request_id in ("first", "second"):
            headers, body = read_response(self.stream)
            self.assertEqual(request_id, headers["request-id"])
            self.assertTrue(body == self.target.body)

    def test_a_broken_response_does_not_destroy_the_one_before_it(self):
        """The caller has not read the first one when the second breaks off."""
        self.start(others=1)
        [other] = self.host.instances
        other.body = b"z" * 200_000
        other.load = "0,0,3,100"
        self.target.load = "2,0,3,100"
        self.send("first")
        wait_until(lambda: other.runs)
        time.sleep(ARRIVAL_S)
        other.load = "2,0,3,100"
        self.target.load = "0,0,3,100"
        self.target.breaks = True
        self.target.resumed.set()
        self.send("second")
        wait_until(lambda: self.target.arrivals)
        time.sleep(ARRIVAL_S)
        headers, body = read_response(self.stream)
        self.assertEqual(("first", 200_000), (headers["request-id"], len(body)))
        status, headers = read_head(self.stream)
        self.assertEqual((200, "second"), (status, headers["request-id"]))
        self.assertTrue(len(self.stream.read()) < len(self.target.body))


class CallerCloseTest(RedwingspringTestCase):
    def test_the_socket_stays_open_while_a_request_uses_it(self):
        """Otherwise its descriptor could already belong to another caller."""
        host = HostFixture(self, instances=1)
        started = threading.Event()
        send = host.entry.dispatcher.send

        def send_slowly(call):
            started.set()
            time.sleep(0.5)
            return send(call)

        self.patch(host.entry.dispatcher, "send", send_slowly)
        caller = host.connect()
        caller.send(render_request("GET", READS, "1"))
        self.assertTrue(started.wait(5))
        connections = host.entry.server.requests.list_connections()
        [connection] = [c for c in connections if not c.is_idle]
        descriptors = set()
        caller.connection.sock.shutdown(socket.SHUT_WR)
        while not connection.is_idle:
            descriptors.add(connection.socket.fileno())
            time.sleep(0.005)
        caller.close()
        self.assertNotIn(-1, descriptors)

    def test_an_aborted_connection_ends_with_a_reset_only(self):
        """After an orderly end, a body without a length would look complete."""
        host = HostFixture(self)
        caller = host.connect()
        self.addCleanup(caller.close)
        caller.send(b"GET")
        requests = host.entry.server.requests
        wait_until(lambda: requests.count)
        [connection] = requests.list_connections()
        turn = connection.add_turn()
        self.assertTrue(connection.accept_request(turn))
        connection.abort()
        connection.shut_down_writing()
        sock = caller.connection.sock
        self.assertFalse(is_readable(sock, 0.2))
        connection.finish_request(turn)
        with self.assertRaises(ConnectionResetError):
            sock.recv(1)

    def test_a_request_behind_a_stream_is_not_dropped_when_the_stream_ends(self):
        """The connection had no active request until that one was accepted."""
        host = HostFixture(self)
        caller = host.connect()
        self.addCleanup(caller.close)
        caller.send(b"GET")
        requests = host.entry.server.requests
        wait_until(lambda: requests.count)
        [connection] = requests.list_connections()
        streamed = connection.add_turn()
        self.assertTrue(connection.accept_request(streamed))
        self.assertTrue(connection.begin_stream(streamed))
        connection.begin_response(streamed)
        accepted = []
        turn = connection.add_turn()
        thread = threading.Thread(
            target=lambda: accepted.append(connection.accept_request(turn))
        )
        thread.start()
        wait_until(lambda: connection._changed._waiters)
        # The time for requests that have arrived in part is over.
        host.entry.shutdown.begin(ShutdownTimes(-9.0, -9.0, 30.0))
        with connection._changed:
            connection.finish_request(streamed)
            connection.drain()
        thread.join()
        self.assertEqual([True], accepted)
        connection.finish_request(turn)


class NoThreadTest(RedwingspringTestCase):
    def test_a_request_without_a_worker_thread_is_answered_and_runs_once(self):
        """It got a proof that it did not run, and stayed in the queue to run later."""
        host = HostFixture(self, instances=1)
        workers = host.entry.server.workers

        def fail():
            raise RuntimeError("can't start new thread")

        with mock.patch.object(workers, "_adjust_thread_count", fail):
            outcomes = [host.ask()[:2]]
        outcomes.append(host.ask()[:2])
        # The only worker thread has then taken all of the queue.
        workers.shutdown()
        self.assertEqual([200, 200], [status for status, _ in outcomes], outcomes)
        self.assertEqual(2, len(host.runs))
        wait_until(lambda: host.entry.server.count_unanswered() == 0)
