"""Faults that operators of similar systems reported, a test class for each.

Odd entries of other writers are in ``test_hostileentries``, bytes without end in
``test_endlessbytes``.
"""

import http.client
import os
import socket
import threading
import time

from .base import RedwingspringTestCase
from .standins import (
    POSTS,
    READS,
    HostFixture,
    InstanceStandIn,
    describe_configuration,
    describe_route,
    wait_until,
)


class CopiedResponseTest(RedwingspringTestCase):
    """A target sends a second copy of a response on a connection in use again."""

    def test_a_copy_that_arrives_together_with_the_response_is_skipped(self):
        stale_rests = (
            "Content-Length: 5\r\n\r\nstray",
            "Content-Length: 0\r\n\r\n",
            "Transfer-Encoding: chunked\r\n\r\n5\r\nstray\r\n0\r\n\r\n",
        )
        for stale_rest in stale_rests:
            host = HostFixture(self, instances=1)
            target = host.instances[0]
            target.mode, target.stale_rest = "stale_together", stale_rest
            for method, path in (("POST", POSTS), ("GET", READS)):
                status, _, body = host.ask(method, path)
                self.assertEqual((200, b"own"), (status, body), stale_rest)
            self.assertEqual(2, len(target.runs))

    def test_a_caller_gets_the_response_to_its_own_request_or_a_true_failure(self):
        for delay_s in (0.0, 0.005, 0.03):
            host = HostFixture(self, instances=1)
            target = host.instances[0]
            target.mode, target.copy_delay_s = "copied", delay_s
            for method, path in 8 * (("GET", READS), ("POST", POSTS)):
                target.work_s = 0.01
                status, headers, body = host.ask(method, path)
                self.check(target, status, headers, body)
            sent = [run[0] for run in target.runs if run[1] == "POST"]
            self.assertEqual(len(sent), len(set(sent)))

    def test_callers_on_one_connection_get_no_copy(self):
        host = HostFixture(self, instances=1)
        host.instances[0].mode = "copied"
        caller = host.connect()
        self.addCleanup(caller.close)
        for _ in range(12):
            status, headers, body = caller.ask("GET", READS)
            self.check(host.instances[0], status, headers, body)

    def check(self, target, status, headers, body):
        if status == 200:
            self.assertEqual(headers["request-id"].encode(), body)
            self.assertEqual(target.runs[-1][0].encode(), body)
        elif headers["request-run"] == "not-run":
            self.assertEqual(503, status)
        else:
            self.assertEqual(502, status)


class CopiedRefusalTest(RedwingspringTestCase):
    """A target sends an earlier refusal again where a response is expected."""

    def start(self):
        self.host = HostFixture(self, instances=1)
        self.target = self.host.instances[0]
        self.target.mode = "shed_copied"

    def test_a_post_is_not_reported_as_not_run_because_of_it(self):
        self.start()
        for number in range(3):
            name = {"Request-Id": f"copied-{number}"}
            status, _, _ = self.host.ask("POST", POSTS, body=b"x", **name)
            expected = 200 if name["Request-Id"] in self.run_ids() else 503
            self.assertEqual(expected, status)
        self.assertEqual(1, len(self.target.refused))

    def test_a_post_does_not_run_twice_because_of_it(self):
        self.start()
        other = InstanceStandIn("i-other")
        self.addCleanup(other.close)
        self.host.ask("POST", POSTS, body=b"x")
        self.host.list_instance(other)
        wait_until(lambda: len(self.host.entry.directory.list_ids()) == 2)
        for _ in range(3):
            # The target that owes the copy looks better and gets the request.
            other.load = "2,0,3,100"
            self.assertEqual(200, self.host.ask("POST", POSTS, body=b"x")[0])
        ids = self.run_ids() + [run[0] for run in other.runs]
        self.assertEqual(len(set(ids)), len(ids))

    def test_a_refused_probe_is_not_taken_for_the_refusal_of_a_post(self):
        self.start()
        self.target.refused.append("none")
        self.target.copies_refused_probe = True
        status, _, _ = self.host.ask("POST", POSTS, body=b"x")
        self.assertTrue(status == 200 or not self.target.runs, status)

    def run_ids(self):
        return [run[0] for run in self.target.runs]


class PlannedStopTest(RedwingspringTestCase):
    """A planned stop cuts requests that have just been accepted."""

    def test_every_request_that_reached_a_target_is_answered(self):
        host = HostFixture(self, instances=3, grace=6.0)
        for instance in host.instances:
            instance.work_s = 0.02
        answered, unanswered = [], []
        callers = [
            threading.Thread(target=self.call, args=(host, n, answered, unanswered))
            for n in range(8)
        ]
        for caller in callers:
            caller.start()
        time.sleep(0.5)
        host.entry.drain()
        for caller in callers:
            caller.join(15)
        arrived = {name for i in host.instances for name in i.arrivals}
        self.assertEqual(set(), arrived & set(unanswered))
        self.assertTrue(len(answered) > 50, len(answered))

    def call(self, host, number, answered, unanswered):
        """Send requests until the host no longer accepts connections."""
        for count in range(10_000):
            name = f"stop-{number}-{count}"
            host_name, port = host.entry.settings.address.rsplit(":", 1)
            connection = http.client.HTTPConnection(host_name, int(port), timeout=5)
            fields = {"Host": "desk.example", "Request-Id": name}
            try:
                connection.request("POST", POSTS, headers=fields)
                status = connection.getresponse().status
                (answered if status == 200 else unanswered).append(name)
            except ConnectionRefusedError:
                return
            except (OSError, http.client.HTTPException):
                unanswered.append(name)
            finally:
                connection.close()


class RestartTest(RedwingspringTestCase):
    """A process that restarts uses what had left or had been withdrawn."""

    def test_a_host_that_starts_without_the_store_uses_nothing_of_before(self):
        host = HostFixture(self)
        host.store.delete("servers/i-0")
        host.entry.close()
        host.store.status = 503
        host.start(self)
        time.sleep(0.3)
        self.assertFalse(host.entry.is_ready)
        status, headers, _ = host.ask()
        self.assertEqual((503, "not-run"), (status, headers["request-run"]))
        host.store.status = 200
        wait_until(lambda: host.entry.directory.list_ids() == {"i-1"})
        self.assertEqual(200, host.ask()[0])
        self.assertEqual([], host.instances[0].runs)

    def test_a_route_that_was_withdrawn_stays_withdrawn_after_a_restart(self):
        host = HostFixture(self)
        routes = [describe_route("posts", POSTS, "non_idempotent")]
        host.store.put("op/config", describe_configuration(4, routes))
        wait_until(lambda: host.entry.store_state.version == 4)
        host.entry.close()
        host.store.compact_history()
        host.start(self)
        wait_until(lambda: host.entry.is_ready)
        self.assertEqual(404, host.ask()[0])


class LostAnswerTest(RedwingspringTestCase):
    """A request ran, its answer was lost, and it ran again or was called not run."""

    def test_a_post_runs_once_and_its_failure_does_not_claim_otherwise(self):
        for mode in ("reset", "garbage", "truncated", "hang", "busy_after_run"):
            host = HostFixture(self, instances=2)
            for instance in host.instances:
                instance.mode = mode
            status, headers, _ = host.ask("POST", POSTS, body=b"x", deadline_ms=400)
            self.assertIn(status, (502, 504), mode)
            self.assertEqual("may-have-run", headers["request-run"], mode)
            self.assertEqual(1, len(host.runs), mode)

    def test_a_read_whose_answer_was_lost_is_answered_by_another_target(self):
        host = HostFixture(self, instances=2)
        host.instances[0].mode = "reset"
        self.assertEqual([200] * 6, [host.ask()[0] for _ in range(6)])


class BrokenResponseTest(RedwingspringTestCase):
    """A response that broke off halfway looks complete to the caller."""

    def test_a_long_response_without_its_end_is_not_complete(self):
        host = HostFixture(self, instances=1)
        host.instances[0].mode = "cut"
        self.assertRaises((OSError, http.client.HTTPException), host.ask)


class MalformedMessageTest(RedwingspringTestCase):
    """One malformed message ends a process or one of its threads."""

    MESSAGES = (
        b"",
        b"\0" * 64,
        b"\xff" * 3000,
        b"GET / HTTP/1.1\r\nHost: \xff\r\nContent-Length: -1\r\n\r\n",
        b"GET /feed?after=" + b"9" * 5000 + b" HTTP/1.1\r\nHost: a\r\n\r\n",
        b"GET /feed?after=%FF%00 HTTP/1.1\r\nHost: a\r\n\r\n",
        b"GET /redwingspring/resolve?zone=%FF&zone HTTP/1.1\r\nHost: a\r\n\r\n",
        b"POST /post/ HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: \x01\r\n"
        b"Deadline-Ms: 1e999\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"GET /read/ HTTP/1.1\r\nHost: desk.example\r\nDeadline-Ms: nan\r\n"
        b"Request-Id: a\r\n\r\n",
    )

    def test_the_host_serves_after_malformed_messages_to_all_its_addresses(self):
        host = HostFixture(self, instances=1)
        settings = host.entry.settings
        for address in (
            settings.address,
            settings.ready_address,
            settings.directory_address,
            settings.peer_address,
            settings.metrics_address,
        ):
            for message in (*self.MESSAGES, os.urandom(2000)):
                self.send(address, message)
        threads = {thread.name for thread in threading.enumerate()}
        self.assertTrue({"gossip-receiver", "follower"} <= threads, threads)
        metrics = host.entry.metrics.snapshot()
        self.assertNotIn("process.thread_failures", metrics)
        self.assertEqual(200, host.ask()[0])

    def send(self, address, message):
        name, port = address.rsplit(":", 1)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
            datagrams.sendto(message, (name, int(port)))
        with socket.create_connection((name, int(port)), timeout=0.3) as connection:
            connection.sendall(message)
            connection.shutdown(socket.SHUT_WR)
            try:
                while connection.recv(65536):
                    pass
            except OSError:
                pass
