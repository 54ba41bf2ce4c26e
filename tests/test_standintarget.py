import json
import socket
import threading
import time

import urllib3

from redwingspring.standinbehaviour import TargetBehaviour, slice_content

from .base import RedwingspringTestCase
from .datapath import start_target, wait_until


class StandInTargetTest(RedwingspringTestCase):
    """The checks of other tests rest on this record and these faults."""

    def start(self, **behaviour):
        self.target = start_target(TargetBehaviour(**{"work_s": 0.0, **behaviour}))
        self.http = urllib3.PoolManager(retries=False, maxsize=20)
        self.addCleanup(self.target.stop)
        self.addCleanup(self.http.clear)

    def send(self, path, method="GET", **options):
        url = f"http://{self.target.address}{path}"
        return self.http.request(method, url, timeout=5.0, **options)

    def send_together(self, path, count):
        statuses = []
        threads = [
            threading.Thread(target=lambda: statuses.append(self.send(path).status))
            for _ in range(count)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return sorted(statuses)

    def control(self, name, **values):
        return self.send(f"/-target/{name}", "POST", body=json.dumps(values))

    def records(self):
        return self.send("/-target/records").json()

    def test_work_beyond_the_slots_is_refused_and_recorded(self):
        self.start(slots=2)
        statuses = self.send_together("/x?work_ms=200", 5)
        self.assertEqual([200, 200, 503, 503, 503], statuses)
        records = self.records()
        self.assertEqual(2, records["counters"]["most_in_flight"])
        self.assertEqual(["whole"] * 2, [run["end"] for run in records["runs"]])
        self.assertEqual(
            ["slots"] * 3, [refusal["reason"] for refusal in records["refusals"]]
        )

    def test_a_head_that_is_cut_off_is_not_run_under_a_shortened_id(self):
        # The fuzz with seed 735516998 saw request 272, cut within its id, as
        # two runs of request 27.
        self.start()
        host, port = self.target.address.split(":")
        for head in (b"GET /x HTTP/1.1\r\nRequest-Id: f-27", b"GET /x HTTP/1.1\r\n"):
            with socket.create_connection((host, int(port)), timeout=5.0) as sock:
                sock.sendall(head)
                sock.shutdown(socket.SHUT_WR)
                self.assertEqual(b"", sock.recv(100))
        self.assertEqual([], self.records()["runs"])

    def test_connections_beyond_the_limit_are_refused(self):
        self.start(connections=2, slots=10)
        statuses = self.send_together("/x?work_ms=200", 4)
        self.assertEqual([200, 200, 503, 503], statuses)

    def test_a_cold_target_falls_over_under_full_load(self):
        self.start(cold_responses=3, cold_slots=1, stall_s=0.2)
        self.assertIn("state=cold", self.send("/x").headers["Load-Report"])
        self.assertEqual([500] * 3, self.send_together("/x?work_ms=100", 3))
        self.assertGreater(self.records()["counters"]["falls"], 0)
        for _ in range(2):
            self.assertEqual(200, self.send("/x").status)
        self.assertIn("state=warm", self.send("/x").headers["Load-Report"])

    def test_a_target_turns_cold_with_or_without_notice(self):
        self.start()
        before = self.send("/x").headers["Load-Report"]
        self.control("behaviour", cold_s=5.0)
        self.control("turn", new_start=False, reports_cold=False)
        self.assertEqual(before, self.send("/x").headers["Load-Report"])
        self.assertTrue(self.records()["cold"])
        self.control("turn", new_start=True)
        report = self.send("/x").headers["Load-Report"]
        self.assertIn("state=cold", report)
        self.assertNotIn(before.split("start=")[1], report)

    def test_late_requests_are_refused_and_late_work_is_cancelled(self):
        self.start()
        past = {"Request-Deadline": str(int(time.time() * 1000) - 1)}
        answer = self.send("/x", headers=past)
        self.assertEqual("not-run", answer.headers["Request-Run"])
        soon = {"Request-Deadline": str(int(time.time() * 1000) + 100)}
        self.assertRaises(
            urllib3.exceptions.HTTPError, self.send, "/x?work_ms=900", headers=soon
        )
        soon = {"Response-Deadline": str(int(time.time() * 1000) + 100)}
        answer = self.send(
            "/download/900000?rate=500000", headers=soon, preload_content=False
        )
        self.assertRaises(urllib3.exceptions.HTTPError, answer.read)
        records = self.records()
        self.assertEqual(["late"], [r["reason"] for r in records["refusals"]])
        self.assertEqual(["late"] * 2, [run["end"] for run in records["runs"]])

    def test_a_closed_connection_cancels_the_work(self):
        self.start()
        answer = urllib3.connection.HTTPConnection(*self.target.address.split(":"))
        answer.request("GET", "/x?work_ms=3000")
        self.assertTrue(wait_until(lambda: self.target.record.runs))
        answer.close()
        run = self.target.record.runs[0]
        self.assertTrue(wait_until(lambda: run["end"] == "cancelled", 1.0), run)

    def test_ranges_match_the_whole_and_other_validators_give_the_whole(self):
        self.start()
        whole = self.send("/download/200000")
        etag = whole.headers["ETag"]
        self.assertEqual(b"".join(slice_content(200000, 0, 200000)), whole.data)
        headers = {"Range": "bytes=70000-70099", "If-Range": etag}
        part = self.send("/download/200000", headers=headers)
        self.assertEqual((206, whole.data[70000:70100]), (part.status, part.data))
        headers["If-Range"] = '"other"'
        self.assertEqual(200, self.send("/download/200000", headers=headers).status)

    def test_leaving_shedding_and_failing(self):
        self.start(leaving=True, shed_rate=1.0, shed_status=429)
        answer = self.send("/x")
        self.assertEqual(
            (429, "not-run"), (answer.status, answer.headers["Request-Run"])
        )
        self.assertIn("state=leaving", answer.headers["Load-Report"])
        self.control("behaviour", shed_rate=0.0, faults=[{"name": "fail"}])
        self.assertEqual(500, self.send("/x").status)

    def test_faults_strike_at_their_rate_and_can_be_taken_back(self):
        self.start(seed=7)
        faults = [{"name": "fail", "rate": 0.5, "path": "/y"}]
        self.control("behaviour", faults=faults, seed=7)
        failed = sum(self.send("/y").status == 500 for _ in range(100))
        self.assertTrue(30 < failed < 70, failed)
        self.assertEqual(200, self.send("/x").status)
        self.control("behaviour", faults=[{"name": "reset-accept"}])
        self.http.clear()
        self.assertRaises(urllib3.exceptions.HTTPError, self.send, "/x")
        self.control("behaviour", faults=[])
        self.assertEqual(200, self.send("/y").status)

    def test_unknown_fields_and_faults_are_refused(self):
        self.start()
        self.assertEqual(400, self.control("behaviour", slotz=3).status)
        faults = [{"name": "explode"}]
        self.assertEqual(400, self.control("behaviour", faults=faults).status)

    def test_it_bears_some_hundred_requests_a_second(self):
        self.start(slots=100)
        started = time.monotonic()
        for _ in range(500):
            self.send("/x")
        self.assertLess(time.monotonic() - started, 2.5)
