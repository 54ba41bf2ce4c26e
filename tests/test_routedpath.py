"""Routed requests through one host, from a caller to a target, over real sockets."""

import socket
import threading
import time
from dataclasses import replace

from redwingspring import routedentry
from redwingspring.members import MemberReport
from redwingspring.verdict import Reason

from .base import RedwingspringTestCase
from .standins import (
    POSTS,
    READS,
    HostFixture,
    describe_configuration,
    describe_route,
    render_request,
    wait_until,
)
from .test_gossip import build_member


class RoutedRequestTest(RedwingspringTestCase):
    def test_a_request_reaches_a_target_unchanged_and_its_answer_returns(self):
        host = HostFixture(self)
        status, headers, body = host.ask("POST", POSTS + "7?a=%20b", body=b"crossing")
        self.assertEqual((200, b"whole body"), (status, body))
        self.assertTrue(headers["response-signature"].startswith("signed.i-"))
        [(request_id, method, path, sent)] = host.runs
        self.assertEqual(
            ("POST", POSTS + "7?a=%20b", b"crossing"), (method, path, sent)
        )
        self.assertEqual(headers["request-id"], request_id)

    def test_the_target_gets_the_remaining_deadline_and_its_instance_id(self):
        host = HostFixture(self, instances=1)
        host.ask(deadline_ms=900)
        [headers] = host.instances[0].headers
        self.assertEqual("i-0", headers["Target-Instance"])
        self.assertTrue(0 < int(headers["Deadline-Ms"]) <= 900)

    def test_a_request_without_a_route_is_refused_and_not_run(self):
        host = HostFixture(self)
        self.assertEqual(404, host.ask(path="/other/1")[0])
        self.assertEqual([], host.runs)

    def test_internal_headers_of_targets_do_not_reach_callers(self):
        host = HostFixture(self)
        headers = host.ask()[1]
        self.assertNotIn("server-load", headers)
        self.assertNotIn("instance-id", headers)

    def test_a_request_prefers_the_idle_and_fast_target(self):
        host = HostFixture(self, instances=3)
        host.instances[0].load = "0,0,3,500"
        host.instances[1].load = "3,4,3,100"
        for _ in range(5):
            host.ask()
        self.assertEqual([0, 0, 5], [len(i.runs) for i in host.instances])

    def test_pipelined_requests_run_concurrently_and_are_answered_in_order(self):
        host = HostFixture(self, instances=2)
        for instance in host.instances:
            instance.work_s = 0.3
        caller = host.connect()
        self.addCleanup(caller.close)
        started = time.monotonic()
        for number in range(4):
            caller.send(render_request("GET", READS, f"p{number}"))
            time.sleep(0.02)
        stream = caller.connection.sock.makefile("rb")
        request_ids = [self.read_response(stream) for _ in range(4)]
        self.assertEqual(["p0", "p1", "p2", "p3"], request_ids)
        self.assertTrue(time.monotonic() - started < 0.9)

    def read_response(self, stream):
        """Check the next response and return its request id."""
        self.assertEqual(b"HTTP/1.1 200 OK\r\n", stream.readline())
        headers = {}
        while (line := stream.readline()) != b"\r\n":
            name, _, value = line.decode().partition(":")
            headers[name.lower()] = value.strip()
        self.assertEqual(b"whole body", stream.read(int(headers["content-length"])))
        return headers["request-id"]

    def test_requests_succeed_when_the_probe_share_is_used_up(self):
        host = HostFixture(self, instances=2, probe_rate=0.01)
        started = time.monotonic()
        for _ in range(12):
            self.assertEqual(200, host.ask()[0])
        self.assertTrue(time.monotonic() - started < 2.0)
        self.assertTrue(sum(i.probes for i in host.instances) <= 4)

    def test_a_pipelined_post_waits_for_the_response_to_the_read_before_it(self):
        host = HostFixture(self, instances=1)
        host.instances[0].work_s = 0.1
        caller = host.connect()
        self.addCleanup(caller.close)
        caller.send(render_request("GET", READS, "first"))
        post = render_request("POST", POSTS, "second")
        caller.send(post.replace(b"\r\n\r\n", b"\r\nContent-Length: 2\r\n\r\nab"))
        stream = caller.connection.sock.makefile("rb")
        request_ids = [self.read_response(stream) for _ in range(2)]
        self.assertEqual(["first", "second"], request_ids)
        self.assertEqual(200, caller.ask("GET", READS)[0])


class FailureTest(RedwingspringTestCase):
    def test_a_request_that_a_target_refused_is_retried_at_another(self):
        host = HostFixture(self, instances=2)
        host.instances[0].mode = "shed"
        for _ in range(6):
            self.assertEqual(200, host.ask("POST", POSTS, body=b"x")[0])
        self.assertEqual(6, len(host.runs))

    def test_a_request_that_all_targets_refuse_is_not_run_and_has_a_retry_after(self):
        host = HostFixture(self, instances=2)
        for instance in host.instances:
            instance.mode = "shed"
        status, headers, _ = host.ask("POST", POSTS, body=b"x")
        self.assertEqual((503, "not-run"), (status, headers["request-run"]))
        self.assertTrue(0 < float(headers["retry-after"]) < 1)
        self.assertEqual([], host.runs)

    def test_a_post_whose_connection_is_reset_is_never_sent_again(self):
        host = HostFixture(self, instances=2)
        for instance in host.instances:
            instance.mode = "reset"
        status, headers, _ = host.ask("POST", POSTS, body=b"x")
        self.assertEqual((502, "may-have-run"), (status, headers["request-run"]))
        self.assertNotIn("retry-after", headers)
        self.assertEqual(1, len(host.runs))

    def test_a_read_with_an_invalid_or_failed_response_is_retried(self):
        for mode in ("truncated", "reset", "unsigned", "error"):
            host = HostFixture(self, instances=2)
            host.instances[0].mode = mode
            for _ in range(4):
                status, _, body = host.ask()
                self.assertEqual((200, b"whole body"), (status, body), mode)

    def test_an_unsigned_or_truncated_response_is_a_failure(self):
        for mode in ("truncated", "unsigned"):
            host = HostFixture(self, instances=1)
            host.instances[0].mode = mode
            status, _, _ = host.ask("POST", POSTS, body=b"x")
            self.assertEqual(502, status, mode)

    def test_a_response_that_ends_with_its_connection_is_relayed_whole(self):
        host = HostFixture(self, instances=1)
        host.instances[0].mode = "unframed"
        status, headers, body = host.ask()
        self.assertEqual((200, b"whole body"), (status, body))
        self.assertEqual("10", headers["content-length"])

    def test_a_late_response_to_an_earlier_request_is_skipped(self):
        host = HostFixture(self, instances=1)
        host.instances[0].mode = "stale_response"
        status, _, body = host.ask("POST", POSTS, body=b"x")
        self.assertEqual((200, b"whole body"), (status, body))
        self.assertEqual(1, len(host.runs))

    def test_an_address_that_another_instance_took_over_runs_nothing(self):
        host = HostFixture(self, instances=1)
        host.instances[0].id = "i-other"
        status, headers, _ = host.ask("POST", POSTS, body=b"x")
        self.assertEqual((503, "not-run"), (status, headers["request-run"]))
        self.assertEqual([], host.runs)

    def test_an_error_response_to_a_post_is_relayed_unchanged(self):
        host = HostFixture(self, instances=2)
        for instance in host.instances:
            instance.mode = "error"
        status, headers, body = host.ask("POST", POSTS, body=b"x")
        self.assertEqual((500, b"bad"), (status, body))
        self.assertIn("response-signature", headers)
        self.assertEqual(1, len(host.runs))

    def test_a_target_that_does_not_answer_probes_does_not_delay_requests(self):
        host = HostFixture(self, instances=2)
        host.instances[0].mode = "probe_hang"
        started = time.monotonic()
        for _ in range(5):
            self.assertEqual(200, host.ask()[0])
        self.assertTrue(time.monotonic() - started < 1.0)

    def test_a_request_ends_at_the_timeout_of_its_route(self):
        route = describe_route("reads", READS, "idempotent", timeout_s=0.4)
        host = HostFixture(
            self, instances=1, configuration=describe_configuration(1, [route])
        )
        host.instances[0].mode = "hang"
        started = time.monotonic()
        self.assertEqual(504, host.ask()[0])
        self.assertTrue(0.35 < time.monotonic() - started < 0.8)

    def test_work_at_a_target_is_cancelled_when_the_caller_disconnects(self):
        host = HostFixture(self, instances=1)
        host.instances[0].mode = "hang"
        caller = host.connect()
        caller.send(render_request("GET", READS, "left"))
        wait_until(lambda: host.runs)
        caller.close()
        self.assertTrue(host.instances[0].disconnected.wait(1.0))

    def test_an_idempotent_request_at_a_slow_target_is_hedged(self):
        host = HostFixture(self, instances=2)
        host.instances[0].work_s = 1.5
        for _ in range(4):
            started = time.monotonic()
            self.assertEqual(200, host.ask()[0])
            self.assertTrue(time.monotonic() - started < 0.6)

    def test_a_post_at_a_slow_target_is_sent_once(self):
        host = HostFixture(self, instances=2)
        for instance in host.instances:
            instance.work_s = 0.4
        self.assertEqual(200, host.ask("POST", POSTS, body=b"x")[0])
        self.assertEqual(1, len(host.runs))

    def test_a_request_without_any_target_is_rejected_at_once(self):
        host = HostFixture(self, instances=0)
        started = time.monotonic()
        status, headers, _ = host.ask()
        self.assertEqual((503, "not-run"), (status, headers["request-run"]))
        self.assertTrue(time.monotonic() - started < 0.2)

    def test_a_host_without_configuration_is_not_ready(self):
        host = HostFixture(self)
        host.entry.store_state.table = None
        status, headers, _ = host.ask()
        self.assertEqual(503, status)
        self.assertEqual(str(Reason.NOT_READY), headers["failure-reason"])


class MaintenanceTest(RedwingspringTestCase):
    def test_a_draining_instance_gets_no_requests(self):
        host = HostFixture(self, instances=2)
        leaving = host.instances[0]
        host.list_instance(leaving, status={"state": "draining"})
        wait_until(lambda: len(host.entry.directory.view.services["desk"]) == 1)
        for _ in range(6):
            self.assertEqual(200, host.ask()[0])
        self.assertEqual([], leaving.runs)

    def test_an_evacuated_data_centre_gets_no_requests_until_it_is_restored(self):
        host = HostFixture(self, instances=1)
        host.store.put("op/evacuate/akl-a", {})
        wait_until(lambda: not host.entry.directory.view.services)
        self.assertEqual(503, host.ask()[0])
        host.store.delete("op/evacuate/akl-a")
        wait_until(lambda: host.entry.directory.view.services)
        self.assertEqual(200, host.ask()[0])

    def test_a_newer_configuration_is_applied_and_an_older_one_is_ignored(self):
        host = HostFixture(self)
        newer = [describe_route("new", "/new/", "idempotent")]
        host.store.put("op/config", describe_configuration(5, newer))
        wait_until(lambda: host.entry.store_state.version == 5)
        host.store.put("op/config", describe_configuration(4))
        host.store.put("servers/i-9", host.instances[0].entry())
        wait_until(lambda: "i-9" in host.entry.directory.list_ids())
        self.assertEqual(5, host.entry.store_state.version)
        self.assertEqual(404, host.ask()[0])

    def test_a_graceful_shutdown_answers_requests_in_progress(self):
        host = HostFixture(self, instances=1, grace=4.0)
        host.instances[0].work_s = 0.5
        caller = host.connect()
        self.addCleanup(caller.close)
        caller.send(render_request("GET", READS, "late"))
        wait_until(lambda: host.runs)
        host.entry.drain()
        response = caller.connection.sock.makefile("rb").read()
        self.assertTrue(response.startswith(b"HTTP/1.1 200 OK"), response)
        self.assertIn(b"Connection: close", response)
        self.assertTrue(response.endswith(b"whole body"))
        self.assertEqual(503, self.ask_ready(host))
        wait_until(host.entry.stopping.is_set, 6)

    def test_a_graceful_shutdown_answers_a_post_on_a_connection_it_closes(self):
        host = HostFixture(self, instances=1, grace=6.0)
        host.instances[0].work_s = 1.2
        self.patch(routedentry, "ACCEPT_AFTER_SIGTERM_S", 0.2)
        self.patch(routedentry, "CLOSE_IDLE_AFTER_S", 0.4)
        threading.Timer(0.2, host.entry.drain).start()
        status, headers, _ = host.ask("POST", POSTS, body=b"x")
        self.assertEqual((200, "close"), (status, headers["connection"]))

    def ask_ready(self, host):
        return host.fetch(host.entry.settings.ready_address, "/redwingspring/ready")[0]

    def test_a_ready_host_is_listed_in_the_address_directory(self):
        host = HostFixture(self)
        self.assertEqual(200, self.ask_ready(host))
        address = host.entry.settings.directory_address
        path = "/redwingspring/resolve?name=desk.example&zone=akl-a&region=x"
        wait_until(lambda: host.fetch(address, path)[0] == 200)
        body = host.fetch(address, path)[1]
        self.assertIn(host.entry.settings.address.encode(), body)
        self.assertIn(b'"ttl_s":', body)

    def test_callers_of_an_evacuated_data_centre_get_hosts_of_other_data_centres(self):
        """Otherwise requests and long responses would cross between data centres."""
        entry = HostFixture(self).entry
        data_centres = ("akl-a", "ham-b", "ham-b", "wlg-c", "wlg-c")
        entry.members.merge(
            MemberReport(replace(build_member(number), data_centre=name), 0.0)
            for number, name in enumerate(data_centres)
        )
        self.assertEqual(2, len(entry.find_addresses("akl-a")[0]))
        entry.directory.set_evacuated(frozenset({"akl-a"}))
        self.assertEqual(4, len(entry.find_addresses("akl-a")[0]))
        self.assertEqual(2, len(entry.find_addresses("ham-b")[0]))
        entry.directory.set_evacuated(frozenset({"akl-a", "ham-b", "wlg-c"}))
        self.assertEqual(6, len(entry.find_addresses("akl-a")[0]))

    def test_the_metrics_page_lists_counters_and_histograms(self):
        host = HostFixture(self)
        host.ask()
        status, page = host.fetch(host.entry.settings.metrics_address, "/metrics")
        self.assertEqual(200, status)
        self.assertIn(b"redwingspring_requests_answered_total 1.0", page)
        self.assertIn(b"redwingspring_request_seconds_bucket", page)


class IdleConnectionTest(RedwingspringTestCase):
    def test_an_incomplete_request_line_does_not_block_other_connections(self):
        host = HostFixture(self)
        slow = socket.create_connection(host.entry.settings.address.split(":"))
        self.addCleanup(slow.close)
        slow.sendall(b"GET /read/ HT")
        self.assertEqual(200, host.ask()[0])
