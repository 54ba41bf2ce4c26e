"""Subsets of targets at many hosts, and the connections that they save."""

import random
from collections import Counter
from dataclasses import replace

from redwingspring.policy.placement import candidate_policies
from redwingspring.policy.subsets import MAX_PREFERRED, MIN_PREFERRED, TargetSubsets

from .base import RedwingspringTestCase
from .test_gossip import build_member
from .test_placement import build_query, build_state

HOSTS = 62
TARGETS = 90
# Requests of one host in the 10 s for which requests count as recent.
RECENT_REQUESTS = 15
CONNECTION_LIFETIME_S = 7.0


class SubsetsTest(RedwingspringTestCase):
    def setUp(self):
        super().setUp()
        self.hosts = [
            replace(build_member(n), name=f"edge-{n:03}", data_centre="akl-a")
            for n in range(HOSTS)
        ]
        self.states = tuple(build_state(n) for n in range(TARGETS))

    def choose(self, hosts=None, states=None, recent=RECENT_REQUESTS):
        """Return the preferred targets of each host."""
        hosts = self.hosts if hosts is None else hosts
        chosen = {}
        for host in hosts:
            subsets = TargetSubsets(host.name, "akl-a", lambda: hosts, lambda: 0.0)
            chosen[host.name] = subsets.choose("desk", states or self.states, recent)
        return chosen

    def test_every_target_is_preferred_by_nearly_as_many_hosts(self):
        counts = Counter(name for names in self.choose().values() for name in names)
        self.assertEqual(TARGETS, len(counts))
        self.assertTrue(max(counts.values()) - min(counts.values()) <= 2, counts)

    def test_a_host_more_or_less_moves_few_preferences(self):
        before = self.choose()
        for hosts in (self.hosts[1:], self.hosts[:-1], self.hosts[:30]):
            after = self.choose(hosts)
            moved = [len(after[h.name] - before[h.name]) for h in hosts]
            lost = HOSTS - len(hosts)
            self.assertTrue(sum(moved) / len(moved) <= 1 + lost, moved)
        self.assertTrue(max(len(before[h.name]) for h in self.hosts) <= MAX_PREFERRED)

    def test_a_target_more_or_less_moves_few_preferences(self):
        before = self.choose()
        after = self.choose(states=self.states[:-1])
        moved = [len(after[name] - before[name]) for name in before]
        self.assertTrue(max(moved) <= 2, moved)

    def test_a_new_target_is_preferred_at_once(self):
        states = (*self.states, build_state("new"))
        names = self.choose(states=states).values()
        self.assertTrue(sum("i-new" in chosen for chosen in names) >= 3)

    def test_the_size_follows_the_traffic_of_the_host(self):
        sizes = [
            len(self.choose(recent=n)["edge-000"]) for n in (0, 1, 15, 24, 40, 4000)
        ]
        self.assertEqual(
            [MIN_PREFERRED, MIN_PREFERRED, 8, 12, MAX_PREFERRED, MAX_PREFERRED], sizes
        )

    def test_targets_of_other_data_centres_are_not_preferred(self):
        states = tuple(build_state(n, "ham-b") for n in range(9))
        self.assertEqual(frozenset(), self.choose(states=states)["edge-000"])

    def test_a_host_with_few_requests_uses_its_connections_again(self):
        """One host, 1.5 requests a second, two probes for each of them."""
        preferred = self.choose()["edge-007"]
        opened = {ids: self.count_opened(ids) for ids in (preferred, frozenset())}
        calls = 3000
        self.assertTrue(opened[frozenset()] > 1.5 * calls, opened)
        self.assertTrue(opened[preferred] < 0.3 * calls, opened)

    def count_opened(self, preferred_ids):
        rng = random.Random(4)
        policy = candidate_policies.find("fresh-load")
        used_at, opened, now = {}, 0, 0.0
        for _ in range(3000):
            now += rng.expovariate(1.5)
            query = replace(build_query(now=now, count=2), preferred_ids=preferred_ids)
            for state in policy(self.states, query, rng):
                name = state.instance.id
                opened += now - used_at.get(name, -99.0) > CONNECTION_LIFETIME_S
                used_at[name] = now
        return opened
