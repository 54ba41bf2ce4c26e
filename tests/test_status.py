import re
import time
from pathlib import Path
from types import SimpleNamespace

from redwingspring import readiness, status
from redwingspring.admission import AdmissionDirectory
from redwingspring.configuration import parse_configuration
from redwingspring.errors import PageError
from redwingspring.membership import Host, HostState
from redwingspring.metrics import Metrics, TimingSummary
from redwingspring.publication import Stamp
from redwingspring.requestlog import RequestLogStats
from redwingspring.status import Timestamp, ValueInForce
from redwingspring.targets import LoadReport, TargetDirectory, Temperature
from redwingspring.verdict import Reason, refuse

from .base import RedwingspringTestCase

PAGE = Path(__file__).parent.parent / "docs" / "status-page.md"
NOW = Timestamp(1796377835.0, 1000.0)
DOCUMENT = """
services:
  bundle-store:
    targets:
      - {address: "192.0.2.40:80", data_centre: wlg-c}
  fault-desk:
    targets:
      - {address: "192.0.2.30:80", data_centre: akl-a}
      - {address: "192.0.2.31:80", data_centre: akl-a}
      - {address: "192.0.2.32:80", data_centre: ham-b}
      - {address: "192.0.2.33:80", data_centre: ham-b}
      - {address: "192.0.2.34:80", data_centre: wlg-c}
exceptions:
  - {data_centre: wlg-c, set: {serve: out}, reason: maintenance}
"""


def make_host(number, data_centre, leaving=False):
    address = f"192.0.2.{10 + number}"
    return Host(
        f"entry-{number}", f"{address}:7000", f"{address}:7001", data_centre, leaving
    )


class MembershipStub:
    """The part of the membership that the pages read."""

    def __init__(self, hosts):
        self.hosts = hosts
        self.state = HostState.SERVING
        self.refusal = None

    def check_serving(self):
        return self.refusal

    def find_addressable(self):
        return [host for host in self.hosts if not host.leaving]


def make_entry():
    """Return the parts of an entry process that the status page reads."""
    own = make_host(0, "akl-a")
    hosts = (own, make_host(1, "ham-b"), make_host(2, "ham-b", leaving=True))
    membership = MembershipStub(hosts)
    directory, admissions = TargetDirectory(), AdmissionDirectory()
    directory.apply(parse_configuration(DOCUMENT))
    admissions.apply(directory.table)
    warm, _, leaving, ejected, _ = directory.table.services["fault-desk"]
    warm.mark_warm("s1")
    warm.record_report(LoadReport(1, 3, Temperature.WARM, "s1", 999.9))
    leaving.record_report(LoadReport(0, 3, Temperature.LEAVING, "s2", 998.0))
    ejected.ejected_until = 1001.0
    admissions.find("fault-desk").in_flight = 2
    metrics = Metrics()
    metrics.increment("requests.ran", 120)
    metrics.increment("failures.queue-full", 3)
    summary = TimingSummary(120, 1.2, 8.5, 9.0, 9.4, 10000, 997.0)
    metrics._timings = {"requests.added": summary}
    memory = RequestLogStats(123, 50000, 1796377235.0)
    return SimpleNamespace(
        settings=SimpleNamespace(
            name=own.name,
            address=own.address,
            peer_address=own.peer_address,
            data_centre="akl-a",
        ),
        membership=membership,
        directory=directory,
        admissions=admissions,
        metrics=metrics,
        requests=SimpleNamespace(get_stats=lambda: memory),
        started=Timestamp(1796377235.0, 400.0),
        in_force={
            "configuration": ValueInForce(
                Stamp(42, "5d41"), "service", Timestamp(1796377834.0, 999.0)
            ),
            "hosts": ValueInForce(
                Stamp(7, "9b1c"), "service", Timestamp(1796377832.0, 997.0)
            ),
        },
    )


class StatusTest(RedwingspringTestCase):
    def setUp(self):
        super().setUp()
        self.entry = make_entry()
        self.patch(status.Timestamp, "now", staticmethod(lambda: NOW))
        # Ages and ejections depend on the clocks that these modules read from `time`.
        clock = SimpleNamespace(time=lambda: NOW.unix, monotonic=lambda: NOW.monotonic)
        self.patch(status, "time", clock)
        self.patch(readiness, "time", clock)

    def check_service(self, service="fault-desk"):
        result = readiness.check_service_readiness(self.entry, service)
        return result.taken, result.reason

    def test_the_page_matches_the_documented_example(self):
        example = PAGE.read_text().split("```text\n")[1].split("```")[0]
        self.assertEqual(example, status.render_status(self.entry))

    def test_a_value_cannot_inject_a_word_or_a_line(self):
        table = self.entry.directory.table
        states = table.services["fault-desk"]
        self.entry.directory.table = SimpleNamespace(services={"a\nstate b": states})
        self.entry.settings.name = "x taken\r\nno"
        text = status.render_status(self.entry)
        for line in text.splitlines()[1:]:
            self.assertTrue(re.fullmatch(r"[a-z-]+ [!-~]+( [a-z0-9-]+ [!-~]+)*", line))
            self.assertEqual(0, len(line.split(" ")) % 2)
        self.assertEqual(text.count("\n"), len(text.splitlines()))
        facts = status.parse_status(text)
        self.assertEqual("x taken\r\nno", facts[1]["host"])

    def test_the_parser_skips_unknown_lines_and_rejects_other_versions(self):
        text = f"{status.VERSION_LINE}\nnew thing x\n\nstate serving taken yes\n"
        facts = status.parse_status(text)
        self.assertEqual([{"state": "serving", "taken": "yes"}], facts)
        for other in ("redwingspring-status 2\n", "<html>", ""):
            self.assertRaises(PageError, status.parse_status, other)

    def test_a_service_is_not_taken_when_a_request_would_be_refused(self):
        self.assertEqual((True, "ok"), self.check_service())
        self.assertEqual((False, "no-capacity"), self.check_service("bundle-store"))
        self.assertEqual((False, "unknown-service"), self.check_service("nothing"))
        admission = self.entry.admissions.find("fault-desk")
        admission.queue_length, admission.in_flight = 0, admission.limit
        self.assertEqual((False, "queue-full"), self.check_service())
        self.entry.membership.refusal = refuse(Reason.NOT_READY, "it is starting")
        self.assertEqual((False, "not-ready"), self.check_service())

    def test_a_leaving_host_still_takes_requests(self):
        self.entry.membership.state = HostState.LEAVING
        self.assertEqual((True, "leaving"), self.check_service())

    def test_an_isolated_host_takes_no_service(self):
        refusal = refuse(Reason.ISOLATED, "no majority was heard")
        self.entry.membership.refusal = refusal
        self.assertEqual((False, "isolated"), self.check_service())
        self.assertIn("taken no reason isolated", status.render_status(self.entry))

    def test_a_host_without_configuration_renders_a_page(self):
        self.entry.directory.table, self.entry.in_force = None, {}
        self.entry.admissions = AdmissionDirectory()
        self.assertIn("\nconfiguration none\n", status.render_status(self.entry))

    def test_a_step_of_the_wall_clock_does_not_change_an_age(self):
        now = Timestamp(time.time() - 3600, 10.5)
        self.assertEqual(500, Timestamp(time.time(), 10.0).age_ms(now))
