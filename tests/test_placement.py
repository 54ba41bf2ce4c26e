"""Placing and waiting against the load patterns that they answer."""

import random

from redwingspring.instances import Instance, InstanceState, LoadSample
from redwingspring.placement import (
    CandidateQuery,
    candidate_policies,
    choose_best,
    predict_factor,
)
from redwingspring.waiting import (
    Wait,
    accept_factor,
    choose_return_time,
    has_room,
    should_reject,
)

from .base import RedwingspringTestCase


def build_state(number, data_centre="akl-a", slots=3):
    instance = Instance(f"i-{number}", "desk", "10.0.0.1:80", data_centre, slots)
    return InstanceState(instance, None, 0.0)


def query(now=10.0, count=3, spread=False, tried=()):
    return CandidateQuery("akl-a", count, spread, frozenset(tried), now)


class CandidateTest(RedwingspringTestCase):
    def setUp(self):
        super().setUp()
        self.near = [build_state(n) for n in range(5)]
        self.far = [build_state(n, "ham-b") for n in range(5, 10)]
        self.pick = candidate_policies.find("fresh-load")

    def pick_ids(self, states, **changes):
        chosen = self.pick(states, query(**changes), random.Random(1))
        return {state.instance.id for state in chosen}

    def test_the_own_data_centre_is_asked_first(self):
        chosen = self.pick_ids(self.near + self.far)
        self.assertTrue(chosen <= {f"i-{n}" for n in range(5)})

    def test_others_are_asked_when_the_own_ones_were_tried(self):
        tried = [f"i-{n}" for n in range(5)]
        chosen = self.pick_ids(self.near + self.far, tried=tried)
        self.assertTrue(chosen <= {f"i-{n}" for n in range(5, 10)})

    def test_an_ejected_instance_is_asked_only_when_all_are_ejected(self):
        for state in self.near[:4]:
            state.ejected_until = 20.0
        self.assertEqual({"i-4"}, self.pick_ids(self.near))
        self.near[4].ejected_until = 20.0
        self.assertEqual(3, len(self.pick_ids(self.near)))

    def test_an_instance_that_was_slow_a_moment_ago_is_asked_last(self):
        slow = LoadSample(0, 0, 3, slowness=5.0, time=9.99)
        for state in self.near[:2]:
            state.sample = slow
        self.assertEqual({"i-2", "i-3", "i-4"}, self.pick_ids(self.near))

    def test_slowness_of_long_ago_does_not_count(self):
        old = LoadSample(0, 0, 3, slowness=5.0, time=8.0)
        for state in self.near[1:]:
            state.sample = old
        seen = set()
        for seed in range(20):
            chosen = self.pick(self.near, query(), random.Random(seed))
            seen |= {state.instance.id for state in chosen}
        self.assertEqual(5, len(seen))

    def test_targets_that_tell_no_load_get_the_fewest_requests_first(self):
        pick = candidate_policies.find("least-requests")
        for state in self.near[1:]:
            state.in_flight = 2
        [chosen] = pick(self.near, query(count=1), random.Random(1))
        self.assertEqual("i-0", chosen.instance.id)


class SpellReplayTest(RedwingspringTestCase):
    """A quarter of the targets runs five times slower in spells of 150 ms."""

    def setUp(self):
        super().setUp()
        self.source = random.Random(11)

    def advance(self, now):
        for number, until in enumerate(self.slow_until):
            # Spells of 150 ms that leave a quarter of the targets slow.
            if now >= until and self.source.random() < 0.01 * 0.25 / 0.15 / 0.75:
                self.slow_until[number] = now + 0.15

    def play(self, choose):
        self.slow_until = [0.0] * 12
        slow = 0
        for step in range(4000):
            now = step * 0.01
            self.advance(now)
            asked = self.source.sample(range(12), 3)
            samples = [
                LoadSample(0, 0, 3, 5.0 if now < self.slow_until[n] else 1.0)
                for n in asked
            ]
            slow += samples[choose(samples)].slowness > 1
        return slow / 4000

    def test_fresh_load_avoids_the_slow_targets(self):
        blind = self.play(lambda samples: 0)
        fresh = self.play(lambda samples: choose_best(samples, self.source))
        self.assertTrue(blind > 0.15, blind)
        self.assertTrue(fresh < blind / 5, (blind, fresh))


class FactorTest(RedwingspringTestCase):
    def test_a_nearly_full_target_is_worse_than_an_idle_one(self):
        factors = [
            predict_factor(LoadSample(running, waiting, 3))
            for running, waiting in ((0, 0), (2, 0), (3, 0), (3, 3))
        ]
        self.assertEqual(sorted(factors), factors)
        self.assertTrue(factors[0] < factors[1] < factors[2] < factors[3])

    def test_a_cold_target_is_worse_than_a_warm_one(self):
        warm = LoadSample(0, 0, 3)
        cold = LoadSample(0, 0, 3, cold_s=2.0)
        self.assertTrue(predict_factor(warm) < predict_factor(cold))

    def test_hosts_that_ask_at_once_do_not_all_choose_the_same_target(self):
        samples = [LoadSample(0, 0, 3, slowness=1 + n / 50) for n in range(3)]
        chosen = {choose_best(samples, random.Random(n)) for n in range(20)}
        self.assertEqual({0, 1, 2}, chosen)


class WaitingTest(RedwingspringTestCase):
    def wait(self, waited_s, left_s=0.7, priority=2):
        return Wait(waited_s, left_s, 0.25, priority, 1)

    def test_a_request_takes_a_slower_target_the_longer_it_has_waited(self):
        factors = [accept_factor(self.wait(s)) for s in (0, 0.02, 0.06, 0.1)]
        self.assertEqual(sorted(factors), factors)
        self.assertTrue(factors[0] < 2)
        self.assertEqual(float("inf"), factors[-1])

    def test_an_urgent_request_goes_on_where_others_wait(self):
        urgent = accept_factor(self.wait(0, priority=1))
        self.assertTrue(urgent > accept_factor(self.wait(0)))

    def test_a_request_without_place_is_not_held_until_its_deadline(self):
        self.assertFalse(should_reject(self.wait(0.02)))
        self.assertTrue(should_reject(self.wait(0.2)))
        self.assertTrue(should_reject(self.wait(0.02, left_s=0)))

    def test_rejected_callers_do_not_all_return_at_once(self):
        source = random.Random(5)
        times = [choose_return_time(self.wait(0.1), source) for _ in range(200)]
        self.assertTrue(max(times) - min(times) > 0.08)
        # A caller honours at most a third of the time that it has left.
        self.assertTrue(max(times) <= 0.7 / 3)

    def test_a_long_queue_or_a_leaving_target_is_no_place(self):
        self.assertTrue(has_room(LoadSample(3, 0, 3)))
        self.assertFalse(has_room(LoadSample(3, 5, 3)))
        self.assertFalse(has_room(LoadSample(0, 0, 3, healthy=False)))


class EjectionTest(RedwingspringTestCase):
    def test_an_instance_that_fails_in_a_row_is_left_out_longer_each_time(self):
        state = build_state(1)
        self.assertFalse(state.record_failure(1.0))
        self.assertTrue(state.record_failure(1.0))
        first = state.ejected_until
        state.record_failure(first)
        self.assertTrue(state.ejected_until - first > first - 1.0)
        state.record_success()
        self.assertFalse(state.record_failure(50.0))

    def test_a_target_that_turns_cold_again_is_noticed(self):
        state = build_state(1)
        state.record_sample(LoadSample(0, 0, 3, cold_s=2.0, time=10.0))
        self.assertTrue(state.is_cold(11.0))
        state.record_sample(LoadSample(0, 0, 3, cold_s=0.0, time=11.5))
        self.assertFalse(state.is_cold(11.6))
