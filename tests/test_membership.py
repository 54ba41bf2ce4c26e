from dataclasses import replace

from redwingspring.audit import AuditTrail
from redwingspring.errors import DocumentError
from redwingspring.hosts import Host, parse_hosts
from redwingspring.membership import Membership
from redwingspring.messages import Heartbeat, Hello
from redwingspring.metrics import Metrics
from redwingspring.policy.rendezvous import select_readers
from redwingspring.stamp import PublishedValue, make_stamp
from redwingspring.values import CONFIGURATION_KEY, HOSTS_KEY, KEYS, ValueStore

from .base import RedwingspringTestCase


class FakeNetwork:
    def __init__(self):
        self.handlers = {}
        self.sent = {}

    def register(self, body_class, handler):
        self.handlers[body_class] = handler

    def send(self, name, body):
        self.sent[name] = body
        return True

    def set_peers(self, addresses, seeds=()):
        self.addresses, self.seeds = addresses, seeds


def make_host(number, leaving=False):
    address = f"127.0.0.{number}"
    return Host(f"h{number}", address + ":1", address + ":2", "akl-a", leaving)


def make_hello(number):
    host = make_host(number)
    return Hello(host.address, host.peer_address, host.data_centre)


class MembershipTest(RedwingspringTestCase):
    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.network = FakeNetwork()
        self.values = ValueStore(lambda value, source: None, AuditTrail(), Metrics())
        self.membership = Membership(
            "h1", make_hello(1), self.network, self.values, AuditTrail(), Metrics(),
            ("127.0.0.9:2",), lambda: self.now,
        )  # fmt: skip

    def apply_values(self, revision=1):
        for key in KEYS:
            text = f"{key} {revision}"
            stamp = make_stamp(revision, text)
            self.values.offer(PublishedValue(key, stamp, text), "test")

    def list_hosts(self, count):
        self.membership.apply(tuple(make_host(n) for n in range(1, count + 1)))

    def receive_heartbeat(
        self, number, state="serving", echo=None, stamp=None, start_id="s"
    ):
        name = f"h{number}"
        self.network.handlers[Hello](name, make_hello(number))
        if echo is None:
            self.membership.send_heartbeats()
            echo = self.network.sent[name].sent_tick
        stamp = stamp or self.values.stamp(CONFIGURATION_KEY)
        hosts_stamp = self.values.stamp(HOSTS_KEY)
        heartbeat = Heartbeat(stamp, hosts_stamp, state, start_id, 7, echo)
        self.network.handlers[Heartbeat](name, heartbeat)
        return echo

    def reason(self):
        refusal = self.membership.check_serving()
        if refusal is None:
            return None
        self.assertTrue(refusal.proves_not_run)
        return str(refusal.reason)

    def serve(self, hosts=4):
        self.apply_values()
        self.list_hosts(hosts)
        for number in range(2, hosts + 1):
            self.receive_heartbeat(number)
        self.assertIsNone(self.reason())

    def test_a_host_does_not_serve_before_it_hears_a_majority(self):
        self.apply_values()
        self.list_hosts(4)
        self.receive_heartbeat(2)
        self.assertEqual("not-ready", self.reason())
        self.receive_heartbeat(3)
        self.assertIsNone(self.reason())

    def test_a_starting_host_does_not_serve_older_values_than_its_peers(self):
        self.apply_values()
        self.list_hosts(3)
        self.receive_heartbeat(2, stamp=make_stamp(2, "newer"))
        self.receive_heartbeat(3)
        self.assertEqual("not-ready", self.reason())
        self.apply_values(2)
        self.receive_heartbeat(3)
        self.receive_heartbeat(2, stamp=make_stamp(2, "configuration 2"))
        self.assertIsNone(self.reason())

    def test_one_of_two_hosts_waits_for_the_other_before_it_serves(self):
        self.apply_values()
        self.list_hosts(2)
        self.assertEqual("not-ready", self.reason())
        self.now += 2.1
        self.membership.update()
        self.assertIsNone(self.reason())

    def test_a_host_is_isolated_while_a_majority_is_silent(self):
        self.serve()
        self.now += 2.9
        self.assertIsNone(self.reason())
        self.now += 0.2
        self.assertEqual("isolated", self.reason())
        self.receive_heartbeat(2)
        self.assertEqual("isolated", self.reason())
        self.receive_heartbeat(3)
        self.assertIsNone(self.reason())

    def test_heartbeats_buffered_during_a_pause_do_not_count(self):
        self.serve()
        echoes = {n: self.receive_heartbeat(n) for n in (2, 3, 4)}
        self.now += 60.0
        for number, echo in echoes.items():
            self.receive_heartbeat(number, echo=echo)
        self.assertEqual("isolated", self.reason())

    def test_a_host_that_was_disconnected_catches_up_before_it_serves(self):
        self.serve()
        self.now += 60.0
        newer = make_stamp(2, "newer")
        for number in (2, 3, 4):
            self.receive_heartbeat(number, stamp=newer)
        self.assertEqual("isolated", self.reason())

    def test_an_echo_meant_for_an_earlier_process_does_not_count(self):
        self.apply_values()
        self.list_hosts(3)
        for number in (2, 3):
            self.receive_heartbeat(number, echo=12345)
        self.assertEqual("not-ready", self.reason())

    def test_replacement_hosts_count_before_they_are_listed(self):
        self.apply_values()
        self.list_hosts(4)
        for number in (11, 12):
            self.receive_heartbeat(number)
        self.assertIsNone(self.reason())
        names = [host.name for host in self.membership.find_addressable()]
        self.assertEqual(["h1", "h2", "h3", "h4", "h11", "h12"], names)
        self.assertEqual("127.0.0.11:2", self.network.addresses["h11"])

    def test_leaving_hosts_are_not_addressable_for_callers(self):
        self.serve()
        self.membership.apply((*map(make_host, (1, 2, 3)), make_host(4, True)))
        self.receive_heartbeat(2, state="leaving")
        self.membership.leave()
        names = [host.name for host in self.membership.find_addressable()]
        self.assertEqual(["h3"], names)
        self.receive_heartbeat(2, start_id="another")
        self.assertEqual("leaving", self.network.sent["h2"].state)
        self.assertIn("h2", self.membership.live_names())

    def test_seeds_are_used_only_until_peers_are_heard(self):
        self.list_hosts(4)
        self.assertEqual(("127.0.0.9:2",), self.network.seeds)
        self.serve()
        self.receive_heartbeat(11)
        self.assertEqual((), self.network.seeds)


class HostsTest(RedwingspringTestCase):
    def test_every_problem_of_a_host_list_is_reported(self):
        good = (
            "{name: a, address: '10.0.0.1:1', peer_address: '10.0.0.1:2', "
            "data_centre: x, state: live}"
        )
        bad = (
            "{name: b, address: '10.0.0.2:1', peer_address: x, data_centre: x, "
            "state: gone}"
        )
        error = self.assertRaises(
            DocumentError, parse_hosts, f"hosts: [{good}, {bad}, 3]"
        )
        self.assertEqual(3, len(error.problems))
        error = self.assertRaises(
            DocumentError, parse_hosts, f"hosts: [{good}, {good}]"
        )
        self.assertEqual(3, len(error.problems))
        self.assertEqual(1, len(parse_hosts(f"hosts: [{good}]")))


class ReadersTest(RedwingspringTestCase):
    def test_few_hosts_read_and_losing_one_keeps_the_others(self):
        names = [f"h{n}" for n in range(16)]
        readers = select_readers(names)
        self.assertEqual(4, len(readers))
        names.remove(readers[0])
        self.assertEqual(readers[1:], select_readers(reversed(names))[:3])


class ValuesTest(RedwingspringTestCase):
    def setUp(self):
        super().setUp()
        self.audit = AuditTrail()
        self.applied = []
        self.values = ValueStore(self.apply, self.audit, Metrics())

    def apply(self, value, source):
        if "bad" in value.text:
            raise DocumentError(["bad"])
        self.applied.append(value.text)

    def offer(self, revision, text):
        stamp = make_stamp(revision, text)
        value = PublishedValue(CONFIGURATION_KEY, stamp, text)
        return self.values.offer(value, "test")

    def test_an_older_value_never_replaces_a_newer_one(self):
        self.assertTrue(self.offer(2, "b"))
        self.assertFalse(self.offer(1, "a"))
        self.assertFalse(self.offer(2, "b"))
        self.assertEqual(["b"], self.applied)

    def test_conflicting_values_have_the_same_winner_in_any_order(self):
        texts = sorted("ab", key=lambda text: make_stamp(1, text))
        for order in (texts, texts[::-1]):
            self.values = ValueStore(self.apply, self.audit, Metrics())
            for text in order:
                self.offer(1, text)
            self.assertEqual(texts[1], self.values.get(CONFIGURATION_KEY).text)
        kinds = [entry.kind for entry in self.audit.list_entries()]
        self.assertEqual(2, kinds.count("configuration-conflict"))

    def test_a_refused_document_is_settled_without_a_change(self):
        self.offer(1, "a")
        self.assertFalse(self.offer(2, "bad"))
        self.assertEqual("a", self.values.get(CONFIGURATION_KEY).text)
        self.assertTrue(self.values.is_settled(CONFIGURATION_KEY, make_stamp(2, "bad")))
        self.assertEqual(2, self.values.highest_revision(CONFIGURATION_KEY))
        self.assertTrue(self.offer(3, "c"))

    def test_a_value_without_text_is_refused(self):
        value = PublishedValue(CONFIGURATION_KEY, make_stamp(1, ""), None)
        self.assertFalse(self.values.offer(replace(value), "test"))
