import json
import signal
import subprocess
import sys
from types import SimpleNamespace

from harness.fleet import Fleet, TargetSpec
from redwingspring import addresses, inspection
from redwingspring.callerconnections import Page
from redwingspring.requestlog import RequestLog
from redwingspring.verdict import Reason, Verdict, refuse

from .base import RedwingspringTestCase
from .test_status import MembershipStub, make_host


class AddressTest(RedwingspringTestCase):
    def setUp(self):
        super().setUp()
        data_centres = ("akl-a", "akl-a", "ham-b", "ham-b", "ham-b")
        self.hosts = tuple(
            make_host(number, data_centre, number == 4)
            for number, data_centre in enumerate(data_centres)
        )
        self.membership = MembershipStub(self.hosts)
        own = self.hosts[0]
        self.settings = SimpleNamespace(
            name=own.name,
            address=own.address,
            peer_address=own.peer_address,
            data_centre=own.data_centre,
        )

    def find(self, data_centre=None):
        found = addresses.find_hosts(self.membership, self.settings, data_centre)
        return [host.name for host in found]

    def test_callers_get_different_first_hosts(self):
        first_hosts = {self.find("ham-b")[0] for _ in range(200)}
        self.assertEqual({"entry-2", "entry-3"}, first_hosts)

    def test_hosts_of_other_data_centres_are_listed_last(self):
        self.assertEqual({"entry-0", "entry-1"}, set(self.find("ham-b")[2:]))
        self.assertEqual({"entry-0", "entry-1"}, set(self.find()[:2]))

    def test_a_leaving_host_is_not_listed(self):
        self.assertNotIn("entry-4", self.find("ham-b"))

    def test_a_host_that_refuses_requests_is_listed_last(self):
        self.membership.refusal = refuse(Reason.ISOLATED, "")
        for _ in range(20):
            self.assertEqual("entry-0", self.find()[-1])


class RequestMemoryTest(RedwingspringTestCase):
    def test_the_log_does_not_claim_to_cover_an_evicted_id(self):
        log = RequestLog(capacity=2)
        for request_id in "abc":
            log.start(request_id)
            log.finish(request_id, Verdict.RAN)
        memory = log.get_stats()
        self.assertEqual((2, 2), (memory.ids, memory.capacity))
        self.assertTrue(log._entries["b"].time >= memory.complete_since)


class FollowTest(RedwingspringTestCase):
    def test_following_the_trail_reports_restarts_gaps_and_outages(self):
        def entry(number):
            fields = {"number": number, "time": 0, "kind": "k", "subject": ""}
            return json.dumps({**fields, "detail": ""}) + "\n"

        def page(start, text):
            return Page(200, {"process-start": start}, text)

        no_answer = inspection.NoAnswerError("refused")
        pages = [
            page("1", entry(9)),
            no_answer,
            no_answer,
            page("2", ""),
            page("2", entry(1)),
        ]

        def fetch_page(url, path):
            if not pages:
                raise inspection.PageError("end of the test")
            answer = pages.pop(0)
            if isinstance(answer, Exception):
                raise answer
            return answer

        self.patch(inspection, "_fetch_page", fetch_page)
        items = []
        trail = inspection.read_audit("u", after=5, follow=True, interval=0)
        with self.assertRaisesRegex(inspection.PageError, "end of the test"):
            for item in trail:
                items.append(item.notice or item.entry["number"])
        self.assertEqual(
            [
                "3 entries are no longer kept",
                9,
                "no answer, trying again: refused",
                "the process started again; numbers begin at 1",
                1,
            ],
            items,
        )


class PagesTest(RedwingspringTestCase):
    """Runs the status and audit commands against real host processes."""

    def run_command(self, *args):
        command = [sys.executable, "-m", "redwingspring", *args]
        return subprocess.run(command, capture_output=True, text=True, timeout=30)

    def check_command(self, code, *args):
        result = self.run_command(*args)
        self.assertEqual(code, result.returncode, result.stdout + result.stderr)
        return result.stdout

    def test_exit_codes_and_pages_match_the_state_of_the_host(self):
        targets = (TargetSpec("fault-desk", "akl-a"), TargetSpec("shut", "ham-b"))
        exception = {
            "service": "shut",
            "set": {"serve": "out"},
            "reason": "not open yet",
        }
        with Fleet(targets, hosts=2) as fleet:
            url = f"http://{fleet.entry_address(0)}"
            fleet.exceptions.append(exception)
            fleet.publish("configuration", fleet.configuration())
            fleet.wait_until(
                lambda: fleet.get(0, "/-/service/shut").status == 503,
                "the exception did not come into force",
            )
            for method, service in (("POST", "fault-desk"), ("GET", "shut")):
                headers = {"Request-Id": service}
                fleet.request(method, 0, f"/{service}/x", headers=headers)
            page = self.check_command(0, "status", url)
            self.assertTrue(page.startswith("redwingspring-status 1\n"))
            facts = json.loads(self.check_command(0, "status", url, "--json"))["facts"]
            totals = {f["counter"]: int(f["total"]) for f in facts if "counter" in f}
            self.assertTrue(totals["requests.ran"] >= 1, totals)
            command = ("status", url, "--service")
            taken = self.check_command(0, *command, "fault-desk")
            self.assertEqual("service fault-desk taken ok\n", taken)
            self.check_command(3, *command, "shut")
            self.check_command(3, *command, "no\nsuch")
            command = ("status", url, "--request")
            ran = self.check_command(0, *command, "fault-desk")
            self.assertTrue(ran.startswith("request fault-desk ran\n"))
            self.check_command(4, *command, "shut")
            self.check_command(7, *command, "never-seen")
            self.check_command(9, *command, "a\nrequest a ran")
            self.check_command(2, *command, "a", "--service", "b")
            self.check_command(9, "status", f"http://{fleet.service_address}")
            self.check_command(8, "status", f"{fleet.network}.99:7000")
            trail = self.check_command(0, "audit", url, "--after", "1", "--json")
            kinds = {json.loads(line)["kind"] for line in trail.splitlines()}
            self.assertTrue({"configuration-taken", "hosts-taken"} <= kinds, kinds)
            self.assertIn(" hosts-taken ", self.check_command(0, "audit", url))
            self.check_errors(fleet)
            self.check_leaving(fleet, url)

    def check_errors(self, fleet):
        for method, path, status in (
            ("POST", "/-/status", 405),
            ("GET", "/-/nothing", 404),
            ("GET", "/-/request/", 404),
            ("GET", "/-/request/a%0Ab", 400),
            ("GET", "/-/address/a%0Ab", 404),
        ):
            answer = fleet.request(method, 0, path)
            self.assertEqual(status, answer.status, path)
            self.assertTrue(answer.headers["Content-Type"].startswith("text/plain"))
        text = fleet.get(0, "/-/address/fault-desk?format=text&data_centre=ham-b").data
        first = fleet.entry_address(1)
        self.assertEqual(
            "redwingspring-address 1\nservice fault-desk\nkeep-seconds 30\n"
            f"host 1 address {first} data-centre ham-b\n"
            f"host 2 address {fleet.entry_address(0)} data-centre akl-a\n",
            text.decode(),
        )

    def check_leaving(self, fleet, url):
        fleet.entries[0].send(signal.SIGTERM)
        command = ("status", url, "--service", "fault-desk")
        fleet.wait_until(
            lambda: "taken leaving" in self.run_command(*command).stdout,
            "the leaving host does not report that it is leaving",
        )
        answer = fleet.get(0, "/-/address/fault-desk").json()
        hosts = [host["address"] for host in answer["hosts"]]
        self.assertEqual([fleet.entry_address(1)], hosts)
