"""Shares of common limits, simulated for 18 hosts with a manual clock."""

import random
from unittest import mock

from redwingspring.policy import shares
from redwingspring.policy.rendezvous import find_owner, rank_hosts
from redwingspring.policy.shares import ColdShare, HostCount, RetryShare
from redwingspring.routedispatch import RouteDispatcher

from .base import RedwingspringTestCase
from .test_placement import build_state

HOST_COUNT = 18
RATIO = 0.2
SLACK = 64.0
WINDOW_S = 10.0
COLD_RATE_PER_S = 9.4
MAX_COLD_PER_S = COLD_RATE_PER_S * 1.5 + 5


class Clock:
    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


def count_most_in_window(times, window_s):
    """Return the highest number of events in any window of the given length."""
    times = sorted(times)
    most, start = 0, 0
    for end, time in enumerate(times):
        while time - times[start] >= window_s:
            start += 1
        most = max(most, end - start + 1)
    return most


class RetryShareTest(RedwingspringTestCase):
    def simulate(self, counts, seconds=40, rate=12):
        """Let each host, with its own count of the hosts, retry as often as allowed."""
        clock = Clock()
        shares = []
        for count in counts:
            hosts = HostCount(clock)
            hosts.record_count(count)
            shares.append(RetryShare(RATIO, SLACK, WINDOW_S, hosts, clock))
        source = random.Random(3)
        requests, extra_sends = [], []
        for _ in range(seconds * 100):
            clock.now += 0.01
            for share in shares:
                if source.random() < rate / 100:
                    share.record_request("desk")
                    requests.append(clock.now)
                while share.take("desk"):
                    extra_sends.append(clock.now)
        return requests, extra_sends

    def check(self, requests, extra_sends):
        for time in {*extra_sends[:: max(1, len(extra_sends) // 200)]}:
            first = time - WINDOW_S
            requested = sum(first < t <= time for t in requests)
            sent = sum(first < t <= time for t in extra_sends)
            self.assertTrue(sent <= RATIO * requested + SLACK, (sent, requested))

    def test_all_hosts_together_stay_within_the_retry_budget(self):
        self.check(*self.simulate([HOST_COUNT] * HOST_COUNT))

    def test_hosts_that_know_only_half_of_all_stay_within_the_retry_budget(self):
        self.check(*self.simulate([HOST_COUNT] * 9 + [HOST_COUNT // 2] * 9))

    def test_a_partition_does_not_enlarge_the_share_of_the_slack(self):
        clock = Clock()
        hosts = HostCount(clock)
        hosts.record_count(HOST_COUNT)
        clock.now += 5
        hosts.record_count(2)
        self.assertEqual(HOST_COUNT, hosts.value)
        clock.now += 60
        hosts.record_count(2)
        self.assertEqual(2, hosts.value)

    def test_hedges_leave_a_part_of_the_budget_for_retries(self):
        clock = Clock()
        hosts = HostCount(clock)
        share = RetryShare(RATIO, SLACK, WINDOW_S, hosts, clock)
        while share.take("desk", 0.5):
            pass
        self.assertTrue(share.take("desk"))


class ColdShareTest(RedwingspringTestCase):
    def simulate(self, views):
        """Return the times at which hosts with differing views use a cold target."""
        clock = Clock()
        shares = [
            ColdShare(f"host-{n}", lambda v=view: v, clock)
            for n, view in enumerate(views)
        ]
        sent = []
        for _ in range(1000):
            clock.now += 0.01
            for share in shares:
                if share.take("i-cold", COLD_RATE_PER_S):
                    sent.append(clock.now)
        return sent

    def test_only_the_owner_sends_to_a_cold_target_and_uses_its_rate(self):
        names = [f"host-{n}" for n in range(HOST_COUNT)]
        sent = self.simulate([names] * HOST_COUNT)
        self.assertTrue(len(sent) > 5 * 9)
        self.assertTrue(count_most_in_window(sent, 1.0) <= COLD_RATE_PER_S)

    def test_two_partitions_of_hosts_stay_within_the_cold_rate_bound(self):
        names = [f"host-{n}" for n in range(HOST_COUNT)]
        sent = self.simulate([names[:9]] * 9 + [names[9:]] * 9)
        self.assertTrue(count_most_in_window(sent, 1.0) <= MAX_COLD_PER_S)

    def test_owners_are_computed_once_while_the_hosts_stay_the_same(self):
        """Ranking 135 hosts for 55 cold targets would take 6 ms in each search."""
        names = [f"host-{n}" for n in range(HOST_COUNT)]
        share = ColdShare("host-3", lambda: list(names), Clock())
        ids = [f"i-{n}" for n in range(55)]
        with mock.patch.object(shares, "find_owner", wraps=find_owner) as owner_mock:
            own = share.select_owned(ids)
            self.assertEqual(own, share.select_owned(ids))
            self.assertEqual(len(ids), owner_mock.call_count)
        expected = {name for name in ids if rank_hosts(names, name)[0] == "host-3"}
        self.assertEqual(expected, own)

    def test_owners_change_with_the_hosts(self):
        names = [f"host-{n}" for n in range(HOST_COUNT)]
        share = ColdShare("host-3", lambda: names, Clock())
        ids = [f"i-{n}" for n in range(55)]
        share.select_owned(ids)
        del names[4:]
        expected = {name for name in ids if rank_hosts(names, name)[0] == "host-3"}
        self.assertEqual(expected, share.select_owned(ids))


class UnprobedRequestTest(RedwingspringTestCase):
    def test_unprobed_requests_of_all_hosts_do_not_fill_the_queues_of_targets(self):
        hosts = HostCount()
        hosts.record_count(18)
        sent = 0
        for _ in range(18):
            dispatcher = build_dispatcher(hosts)
            states = [build_state(number) for number in range(14)]
            while dispatcher.may_send_without_probe(states):
                min(states, key=lambda state: state.in_flight).begin()
                sent += 1
        slots = 14 * 3
        self.assertTrue(slots <= sent <= slots + 18, sent)


def build_dispatcher(hosts):
    names = ("directory", "dialect", "retries", "probes", "cold", "subsets", "metrics")
    others = dict.fromkeys((*names, "decisions", "data_centre", "regions"))
    return RouteDispatcher(hosts=hosts, **others)
