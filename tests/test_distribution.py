import statistics
import time

import yaml

from harness.distribution import (
    ServiceControl,
    read_audit,
    read_revisions,
    wait_in_force,
)
from harness.fleet import Fleet, TargetSpec
from redwingspring.policy.rendezvous import select_readers
from redwingspring.stamp import make_stamp

from .base import RedwingspringTestCase

MAX_DELAY_S = 4.0
MAX_MEDIAN_DELAY_S = 1.0
ALL_HOSTS = range(4)


class DistributionTest(RedwingspringTestCase):
    def start_fleet(self, hosts=4, **options):
        targets = (TargetSpec("fault-desk", "akl-a"),)
        self.fleet = Fleet(targets, hosts=hosts, **options)
        self.fleet.__enter__()
        self.addCleanup(self.fleet.close)
        self.service = ServiceControl(self.fleet)
        return self.fleet

    def publish(self, revision, max_delay=MAX_DELAY_S, hosts=ALL_HOSTS):
        """Publish the next revision and return its delay at each host."""
        text = f"# {revision}\n" + yaml.safe_dump(self.fleet.configuration())
        start = time.time()
        self.fleet.publish("configuration", text)
        entries = wait_in_force(self.fleet, revision, hosts)
        delays = [entry["time"] - start for entry in entries]
        self.assertLess(max(delays), max_delay)
        return delays

    def restart(self, number):
        self.fleet.processes[f"entry-{number}"].kill()
        self.fleet.start_entry(number)
        self.fleet.wait_ready(number)

    def freeze(self, *numbers):
        for number in numbers:
            self.fleet.processes[f"entry-{number}"].freeze()

    def resume(self, *numbers):
        for number in numbers:
            self.fleet.processes[f"entry-{number}"].resume()

    def read_reason(self, number):
        answer = self.fleet.request("POST", number, "/fault-desk/x", body=b"x")
        if answer.status == 200:
            return None
        self.assertEqual("not-run", answer.headers["Request-Run"])
        return answer.headers["Failure-Reason"]

    def test_values_are_in_force_in_time_with_few_reads_of_the_service(self):
        hosts, changes = 8, 6
        self.start_fleet(hosts)
        self.publish(2, hosts=range(hosts))
        before = self.service.count_calls()["total"]
        start = time.monotonic()
        delays = []
        for revision in range(3, 3 + changes):
            delays += self.publish(revision, hosts=range(hosts))
        calls = self.service.count_calls()["total"] - before
        self.assertLess(statistics.median(delays), MAX_MEDIAN_DELAY_S)
        # Three readers and about one poll per second. If every host read the service,
        # there would be eight calls per change.
        max_calls = 3 * changes + 2 * (time.monotonic() - start) + hosts
        self.assertLess(calls, min(max_calls, hosts * changes))

    def test_the_loss_of_all_readers_delays_a_change_within_the_bound(self):
        hosts = 8
        self.start_fleet(hosts)
        self.publish(2, hosts=range(hosts))
        names = select_readers([f"entry-{n}" for n in range(hosts)])
        readers = {int(name.rpartition("-")[2]) for name in names}
        self.freeze(*readers)
        others = [n for n in range(hosts) if n not in readers]
        self.publish(3, hosts=others)
        self.resume(*readers)
        wait_in_force(self.fleet, 3, readers, timeout=MAX_DELAY_S)

    def test_a_service_that_serves_old_values_reverts_nothing(self):
        self.start_fleet()
        self.publish(2)
        self.service.set_fault("old", revisions={"configuration": 1})
        self.fleet.wait_until(
            lambda: any(
                read_audit(self.fleet, n, "configuration-older") for n in ALL_HOSTS
            ),
            "no host reports that the service is behind",
        )
        before = self.service.count_calls()["total"]
        time.sleep(1.5)
        calls = self.service.count_calls()["total"] - before
        # A reader that retries without a delay would make thousands of calls.
        self.assertLess(calls, 60)
        for number in ALL_HOSTS:
            self.assertEqual([1, 2], read_revisions(self.fleet, number))
        self.restart(0)
        kinds = [e["kind"] for e in read_audit(self.fleet, 0)]
        self.assertEqual(2, read_revisions(self.fleet, 0)[-1])
        newest = max(i for i, k in enumerate(kinds) if k == "configuration-taken")
        # The host was ready only after it had the newest value.
        self.assertGreater(kinds.index("host-ready"), newest)
        self.service.set_fault("normal")
        self.publish(3)

    def test_one_reader_with_a_stale_service_gets_newer_values_from_peers(self):
        self.start_fleet()
        for number in (0, 1, 2):
            self.service.set_fault("stale", reader=number)
        # If entry 3 is not a reader, its next poll may take up to 12 s.
        self.publish(2, max_delay=15.0)
        entry = wait_in_force(self.fleet, 2, [0])[0]
        self.assertIn("entry-3", entry["detail"])

    def test_a_service_restored_to_a_lower_revision_is_ignored(self):
        self.start_fleet()
        self.publish(2)
        self.publish(3)
        self.service.publish("configuration", self.fleet.configuration(), 2)
        time.sleep(1.0)
        for number in ALL_HOSTS:
            self.assertEqual(3, read_revisions(self.fleet, number)[-1])
        self.service.publish("configuration", self.fleet.configuration(), 4)
        wait_in_force(self.fleet, 4, ALL_HOSTS, timeout=MAX_DELAY_S)

    def test_a_host_starts_from_its_peers_while_the_service_is_down(self):
        self.start_fleet()
        self.publish(2)
        self.service.set_fault("down")
        self.restart(3)
        entry = read_audit(self.fleet, 3, "configuration-taken")[-1]
        self.assertIn("revision 2 ", entry["subject"])
        self.assertIn("entry-", entry["detail"])
        self.assertIsNone(self.read_reason(3))

    def test_an_unlisted_host_joins_through_seeds_while_the_service_is_down(self):
        self.start_fleet()
        self.service.set_fault("down")
        self.fleet.settings["seeds"] = [self.fleet.peer_address(0)]
        self.fleet.start_entry(9)
        self.fleet.wait_ready(9)
        address = self.fleet.entry_address(9)
        for number in ALL_HOSTS:
            self.fleet.wait_until(
                lambda n=number: address in self.read_addresses(n),
                f"entry-{number} does not name the new host",
            )

    def read_addresses(self, number):
        answer = self.fleet.get(number, "/-/address/fault-desk").json()
        return [host["address"] for host in answer["hosts"]]

    def test_a_leaving_host_is_not_in_the_addresses_for_callers(self):
        self.start_fleet(defaults={"address.keep": "20s"})
        self.fleet.processes["entry-2"].terminate()
        self.fleet.publish("hosts", self.fleet.host_list(leaving=(3,)))
        expected = sorted(self.fleet.entry_address(n) for n in (0, 1))
        for number in ALL_HOSTS:
            self.fleet.wait_until(
                lambda n=number: sorted(self.read_addresses(n)) == expected,
                f"entry-{number} names other hosts",
                MAX_DELAY_S,
            )

    def test_two_publications_under_one_revision_converge(self):
        self.start_fleet()
        documents = [self.fleet.configuration(), self.fleet.configuration()]
        documents[1]["defaults"] = {"queue.length": 63}
        # Three of four hosts read the service, so both values are read.
        self.service.split("configuration", documents, second=(0, 1))
        texts = [yaml.safe_dump(document) for document in documents]
        winner = max(make_stamp(2, text).digest for text in texts)[:12]
        for number in ALL_HOSTS:
            self.fleet.wait_until(
                lambda n=number: winner in self.read_last_applied(n),
                f"entry-{number} has another value in force",
                MAX_DELAY_S,
            )
        conflicts = [
            read_audit(self.fleet, n, "configuration-conflict") for n in ALL_HOSTS
        ]
        self.assertTrue(any(conflicts))
        self.publish(3)

    def read_last_applied(self, number):
        return read_audit(self.fleet, number, "configuration-taken")[-1]["subject"]

    def test_an_invalid_document_is_refused_once_and_the_next_one_applied(self):
        self.start_fleet()
        self.fleet.publish("configuration", "services: [")
        self.fleet.wait_until(
            lambda: any(
                read_audit(self.fleet, n, "configuration-refused") for n in ALL_HOSTS
            ),
            "no host refused the document",
        )
        before = self.service.count_calls()["total"]
        time.sleep(1.5)
        self.assertLess(self.service.count_calls()["total"] - before, 10)
        for number in ALL_HOSTS:
            self.assertEqual([1], read_revisions(self.fleet, number))
            refused = read_audit(self.fleet, number, "configuration-refused")
            self.assertLessEqual(len(refused), 1)
        self.restart(3)
        self.publish(3)

    def test_a_resumed_host_does_not_serve_until_it_hears_its_peers(self):
        self.start_fleet()
        self.assertIsNone(self.read_reason(0))
        self.freeze(0)
        time.sleep(3.5)
        # Heartbeats of its peers are now waiting in its socket buffers.
        self.freeze(1, 2, 3)
        self.resume(0)
        for _ in range(10):
            self.assertEqual("isolated", self.read_reason(0))
        self.resume(1, 2, 3)
        self.fleet.wait_until(
            lambda: self.read_reason(0) is None, "entry-0 did not rejoin", MAX_DELAY_S
        )

    def test_a_disconnected_minority_serves_only_after_it_has_the_newest_value(self):
        self.start_fleet(5)
        self.freeze(0, 1)
        self.publish(2, hosts=(2, 3, 4))
        self.freeze(2, 3, 4)
        time.sleep(3.5)
        self.resume(0, 1)
        # The two hosts hear each other, which is no majority.
        end = time.monotonic() + 1.5
        while time.monotonic() < end:
            self.assertEqual("isolated", self.read_reason(0))
            time.sleep(0.1)
        self.resume(2, 3, 4)
        wait_in_force(self.fleet, 2, range(5), timeout=MAX_DELAY_S)
        for number in range(5):
            self.fleet.wait_until(
                lambda n=number: self.read_reason(n) is None,
                f"entry-{number} did not rejoin",
                MAX_DELAY_S,
            )
            self.assertEqual([1, 2], read_revisions(self.fleet, number))
