"""Limits that are summed over hosts, at 18 hosts and without a bench."""

import random
from unittest import mock

from redwingspring import shares
from redwingspring.rendezvous import rank_hosts
from redwingspring.routedispatch import RouteDispatcher
from redwingspring.shares import ColdShare, HostCount, RetryShare

from .base import RedwingspringTestCase
from .test_placement import build_state

HOSTS = 18
RATIO = 0.2
SLACK = 64.0
WINDOW_S = 10.0
COLD_PER_S = 9.4
COLD_BOUND = COLD_PER_S * 1.5 + 5


class Clock:
    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


def count_windows(times, window_s):
    """Return the most events in any window of a length."""
    times = sorted(times)
    most, start = 0, 0
    for end, moment in enumerate(times):
        while moment - times[start] >= window_s:
            start += 1
        most = max(most, end - start + 1)
    return most


class RetryShareTest(RedwingspringTestCase):
    def play(self, counts, seconds=40, rate=12):
        """Let hosts, each with its own view of their number, retry all they can."""
        clock = Clock()
        shares = []
        for count in counts:
            hosts = HostCount(clock)
            hosts.note(count)
            shares.append(RetryShare(RATIO, SLACK, WINDOW_S, hosts, clock))
        source = random.Random(3)
        requests, extras = [], []
        for _ in range(seconds * 100):
            clock.now += 0.01
            for share in shares:
                if source.random() < rate / 100:
                    share.record_request("desk")
                    requests.append(clock.now)
                while share.take("desk"):
                    extras.append(clock.now)
        return requests, extras

    def check(self, requests, extras):
        for moment in {*extras[:: max(1, len(extras) // 200)]}:
            first = moment - WINDOW_S
            asked = sum(first < t <= moment for t in requests)
            sent = sum(first < t <= moment for t in extras)
            self.assertTrue(sent <= RATIO * asked + SLACK, (sent, asked))

    def test_the_sum_stays_within_the_budget(self):
        self.check(*self.play([HOSTS] * HOSTS))

    def test_the_sum_stays_within_it_where_some_hosts_know_only_half(self):
        self.check(*self.play([HOSTS] * 9 + [HOSTS // 2] * 9))

    def test_a_cut_does_not_deal_the_slack_out_again(self):
        clock = Clock()
        hosts = HostCount(clock)
        hosts.note(HOSTS)
        clock.now += 5
        hosts.note(2)
        self.assertEqual(HOSTS, hosts.value)
        clock.now += 60
        hosts.note(2)
        self.assertEqual(2, hosts.value)

    def test_hedges_leave_a_part_for_retries(self):
        clock = Clock()
        hosts = HostCount(clock)
        share = RetryShare(RATIO, SLACK, WINDOW_S, hosts, clock)
        while share.take("desk", 0.5):
            pass
        self.assertTrue(share.take("desk"))


class ColdShareTest(RedwingspringTestCase):
    def play(self, views):
        """Return when hosts with their own views send to one cold target."""
        clock = Clock()
        shares = [
            ColdShare(f"host-{n}", lambda v=view: v, clock)
            for n, view in enumerate(views)
        ]
        sent = []
        for _ in range(1000):
            clock.now += 0.01
            for share in shares:
                if share.take("i-cold", COLD_PER_S):
                    sent.append(clock.now)
        return sent

    def test_one_host_sends_to_a_cold_target_and_it_is_used(self):
        names = [f"host-{n}" for n in range(HOSTS)]
        sent = self.play([names] * HOSTS)
        self.assertTrue(len(sent) > 5 * 9)
        self.assertTrue(count_windows(sent, 1.0) <= COLD_PER_S)

    def test_two_halves_that_do_not_hear_each_other_stay_within_the_bound(self):
        names = [f"host-{n}" for n in range(HOSTS)]
        sent = self.play([names[:9]] * 9 + [names[9:]] * 9)
        self.assertTrue(count_windows(sent, 1.0) <= COLD_BOUND)

    def test_owners_are_worked_out_once_while_the_hosts_stay_the_same(self):
        """At 135 hosts and 55 cold targets each look would take 6 ms for them."""
        names = [f"host-{n}" for n in range(HOSTS)]
        share = ColdShare("host-3", lambda: list(names), Clock())
        ids = [f"i-{n}" for n in range(55)]
        with mock.patch.object(shares, "rank_hosts", wraps=rank_hosts) as ranked:
            own = share.select_own(ids)
            self.assertEqual(own, share.select_own(ids))
            self.assertEqual(len(ids), ranked.call_count)
        expected = {name for name in ids if rank_hosts(names, name)[0] == "host-3"}
        self.assertEqual(expected, own)

    def test_owners_change_with_the_hosts(self):
        names = [f"host-{n}" for n in range(HOSTS)]
        share = ColdShare("host-3", lambda: names, Clock())
        ids = [f"i-{n}" for n in range(55)]
        share.select_own(ids)
        del names[4:]
        expected = {name for name in ids if rank_hosts(names, name)[0] == "host-3"}
        self.assertEqual(expected, share.select_own(ids))


class BlindShareTest(RedwingspringTestCase):
    def test_hosts_without_probes_together_do_not_fill_the_queues_of_targets(self):
        hosts = HostCount()
        hosts.note(18)
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
    names = ("directory", "dialect", "retries", "probes", "cold", "metrics")
    others = dict.fromkeys((*names, "decisions", "data_centre", "regions"))
    return RouteDispatcher(hosts=hosts, **others)
