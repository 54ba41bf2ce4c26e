import itertools
import threading

from hypothesis import given, settings
from hypothesis import strategies as st

from redwingspring.configuration import Target
from redwingspring.defaults import KEYS
from redwingspring.grants import GrantTable
from redwingspring.leases import (
    MAX_GRANTORS,
    LeaseClient,
    LeaseGrantor,
    count_quorum,
)
from redwingspring.membership import Host
from redwingspring.messages import LeaseRelease, LeaseReply, LeaseRequest
from redwingspring.metrics import Metrics
from redwingspring.policy.rendezvous import rank_hosts
from redwingspring.targets import TargetLimits, TargetState

from .base import RedwingspringTestCase

ADDRESS = "10.0.0.1:80"


class LocalNetwork:
    """Delivers messages between the hosts of a test synchronously."""

    def __init__(self, hosts, name):
        self._hosts = hosts
        self._name = name
        self.unreachable = set()

    def send(self, host_name, body):
        if host_name in self.unreachable or host_name not in self._hosts:
            return False
        self._hosts[host_name].receive(self._name, body)
        return True


class LocalHost:
    """Lease client and grantor of one host."""

    def __init__(self, hosts, name, listed):
        self.network = LocalNetwork(hosts, name)
        self.grants = GrantTable(lambda *args: 1)
        self.grants._refuses_cold_until = 0.0
        metrics = Metrics()
        self.hosts = [Host(n, f"{n}:1", f"{n}:2", "akl-a") for n in listed]
        self.client = LeaseClient(
            name, self.grants, self, self.network, metrics, lambda state: None
        )
        self.grantor = LeaseGrantor(self.grants, self.network, metrics)
        limits = {f: None for f in TargetLimits.__dataclass_fields__}
        limits.update(slots=3, cold_slots=1, cold_lease=2.0)
        target = Target("fault-desk", ADDRESS, "akl-a")
        self.state = TargetState(target, TargetLimits(**limits))
        hosts[name] = self

    def receive(self, sender, body):
        if isinstance(body, LeaseRequest):
            self.grantor.handle_request(sender, body)
        elif isinstance(body, LeaseReply):
            self.client.record_reply(sender, body)
        elif isinstance(body, LeaseRelease):
            self.grantor.handle_release(sender, body)

    def acquire(self):
        self.client._not_before.clear()
        return self.client.acquire(self.state, 9e9)


def make_hosts(names, listed=None):
    hosts = {}
    for name in names:
        LocalHost(hosts, name, names if listed is None else listed[name])
    return hosts


class QuorumTest(RedwingspringTestCase):
    def test_the_default_lease_is_no_longer_than_a_restarted_grantor_refuses(self):
        self.assertLessEqual(KEYS["cold.lease"].default, 2.0)

    @settings(deadline=None)
    @given(st.integers(9, 18), st.integers(0, 4), st.randoms())
    def test_quorums_under_different_host_lists_share_a_grantor(
        self, count, differ, rng
    ):
        names = [f"h{n}" for n in range(count)]
        other = names[differ:] + [f"new{n}" for n in range(differ)]
        first = rank_hosts(names, ADDRESS)[:MAX_GRANTORS]
        second = rank_hosts(other, ADDRESS)[:MAX_GRANTORS]
        quorum = count_quorum(MAX_GRANTORS)
        agreed = rng.sample(first, quorum)
        self.assertTrue(set(agreed) & set(rng.sample(second, quorum)))

    def test_a_quorum_of_few_grantors_is_all_or_most_of_them(self):
        self.assertEqual(
            [1, 2, 3, 3, 4, 7], [count_quorum(n) for n in (1, 2, 3, 4, 5, 9)]
        )


class LeaseTest(RedwingspringTestCase):
    def test_concurrent_requests_of_eighteen_hosts_get_at_most_one_lease(self):
        hosts = make_hosts([f"h{n}" for n in range(18)])
        leases = []
        start = threading.Barrier(len(hosts))

        def request_lease(host):
            start.wait()
            leases.append(host.acquire())

        threads = [
            threading.Thread(target=request_lease, args=(h,)) for h in hosts.values()
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        held = [lease for lease in leases if lease is not None]
        self.assertLessEqual(len(held), 1)

    def test_hosts_with_stale_lists_do_not_both_get_a_lease(self):
        names = [f"h{n}" for n in range(15)]
        new_list = names[3:] + ["new0", "new1", "new2"]
        everyone = names + ["new0", "new1", "new2"]
        lists = {n: (new_list if n in new_list else names) for n in everyone}
        lists["h9"] = names
        hosts = make_hosts(everyone, lists)
        self.assertIsNotNone(hosts["h9"].acquire())
        self.assertIsNone(hosts["new0"].acquire())

    def test_a_host_that_reaches_no_quorum_gets_no_lease(self):
        names = [f"h{n}" for n in range(9)]
        hosts = make_hosts(names)
        hosts["h0"].network.unreachable = set(names[1:4])
        self.assertIsNone(hosts["h0"].acquire())

    def test_a_refused_request_leaves_no_slot_held(self):
        names = [f"h{n}" for n in range(9)]
        hosts = make_hosts(names)
        hosts["h0"].network.unreachable = set(names[1:4])
        hosts["h0"].acquire()
        self.assertIsNotNone(hosts["h8"].acquire())

    def test_an_unfinished_request_keeps_its_slot(self):
        hosts = make_hosts([f"h{n}" for n in range(9)])
        lease = hosts["h0"].acquire()
        hosts["h0"].client.release_if_finished(lease, finished=False)
        self.assertIsNone(hosts["h1"].acquire())
        hosts["h0"].client.release_if_finished(lease, finished=True, whole=True)
        self.assertIsNotNone(hosts["h1"].acquire())

    def test_request_numbers_of_two_processes_of_one_host_differ(self):
        hosts = make_hosts(["h0"])
        first = hosts["h0"].client.quorum.request_numbers
        second = make_hosts(["h0"])["h0"].client.quorum.request_numbers
        self.assertNotEqual(
            list(itertools.islice(first, 3)), list(itertools.islice(second, 3))
        )
