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
        places = ("akl-a", "akl-a", "ham-b", "ham-b", "ham-b")
        self.hosts = tuple(
            make_host(number, place, number == 4) for number, place in enumerate(places)
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

    def test_callers_do_not_all_go_to_one_host(self):
        firsts = {self.find("ham-b")[0] for _ in range(200)}
        self.assertEqual({"entry-2", "entry-3"}, firsts)

    def test_hosts_elsewhere_stay_as_later_choices(self):
        self.assertEqual({"entry-0", "entry-1"}, set(self.find("ham-b")[2:]))
        self.assertEqual({"entry-0", "entry-1"}, set(self.find()[:2]))

    def test_a_leaving_host_is_not_named(self):
        self.assertNotIn("entry-4", self.find("ham-b"))

    def test_a_host_that_refuses_work_is_the_last_choice(self):
        self.membership.refusal = refuse(Reason.ISOLATED, "")
        for _ in range(20):
            self.assertEqual("entry-0", self.find()[-1])


class RequestMemoryTest(RedwingspringTestCase):
    def test_a_forgotten_id_is_never_within_the_stated_memory(self):
        log = RequestLog(capacity=2)
        for request_id in "abc":
            log.start(request_id)
            log.finish(request_id, Verdict.RAN)
        forgotten = log.get_stats()
        self.assertEqual((2, 2), (forgotten.ids, forgotten.capacity))
        self.assertTrue(log._entries["b"].time >= forgotten.complete_since)


class FollowTest(RedwingspringTestCase):
    def test_a_follower_notices_restarts_gaps_and_outages(self):
        def entry(number):
            fields = {"number": number, "time": 0, "kind": "k", "subject": ""}
            return json.dumps({**fields, "detail": ""}) + "\n"

        def page(start, text):
            return Page(200, {"process-start": start}, text)

        gone = inspection.NoAnswerError("refused")
        pages = [page("1", entry(9)), gone, gone, page("2", ""), page("2", entry(1))]

        def read(url, path):
            if not pages:
                raise inspection.PageError("end of the test")
            answer = pages.pop(0)
            if isinstance(answer, Exception):
                raise answer
            return answer

        self.patch(inspection, "_read", read)
        parts = []
        trail = inspection.read_audit("u", after=5, follow=True, interval=0)
        with self.assertRaisesRegex(inspection.PageError, "end of the test"):
            for part in trail:
                parts.append(part.notice or part.entry["number"])
        self.assertEqual(
            [
                "3 entries are no longer kept",
                9,
                "no answer, trying again: refused",
                "the process started again; numbers begin at 1",
                1,
            ],
            parts,
        )


class PagesTest(RedwingspringTestCase):
    """One fleet of real processes behind the commands that scripts use."""

    def run_command(self, *args):
        command = [sys.executable, "-m", "redwingspring", *args]
        return subprocess.run(command, capture_output=True, text=True, timeout=30)

    def check_command(self, code, *args):
        result = self.run_command(*args)
        self.assertEqual(code, result.returncode, result.stdout + result.stderr)
        return result.stdout

    def test_exit_codes_and_pages_agree_with_what_happened(self):
        targets = (TargetSpec("fault-desk", "akl-a"), TargetSpec("shut", "ham-b"))
        out = {"service": "shut", "set": {"serve": "out"}, "reason": "not open yet"}
        with Fleet(targets, hosts=2) as fleet:
            url = f"http://{fleet.entry_address(0)}"
            fleet.exceptions.append(out)
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
            ask = ("status", url, "--service")
            taken = self.check_command(0, *ask, "fault-desk")
            self.assertEqual("service fault-desk taken ok\n", taken)
            self.check_command(3, *ask, "shut")
            self.check_command(3, *ask, "no\nsuch")
            ask = ("status", url, "--request")
            ran = self.check_command(0, *ask, "fault-desk")
            self.assertTrue(ran.startswith("request fault-desk ran\n"))
            self.check_command(4, *ask, "shut")
            self.check_command(7, *ask, "never-seen")
            self.check_command(9, *ask, "a\nrequest a ran")
            self.check_command(2, *ask, "a", "--service", "b")
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
            "a leaving host does not say so",
        )
        answer = fleet.get(0, "/-/address/fault-desk").json()
        hosts = [host["address"] for host in answer["hosts"]]
        self.assertEqual([fleet.entry_address(1)], hosts)
