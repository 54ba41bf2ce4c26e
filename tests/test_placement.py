"""Placing and waiting against the load patterns that they answer."""

import random
import threading

from redwingspring.instances import Instance, InstanceState
from redwingspring.loadsamples import LoadSample
from redwingspring.placement import (
    AnsweredRequest,
    CandidateQuery,
    ResponseStatistics,
    all_unhealthy,
    candidate_policies,
    choose_best,
    predict_slowdown,
)
from redwingspring.routes import Route
from redwingspring.waitpolicy import (
    RequestTiming,
    accepts_target,
    choose_retry_after,
    may_use_ejected,
    should_reject,
)

from .base import RedwingspringTestCase


def build_state(number, data_centre="akl-a", slots=3):
    instance = Instance(f"i-{number}", "desk", "10.0.0.1:80", data_centre, slots)
    return InstanceState(instance, None, 0.0)


def query(now=10.0, count=3, spread=False, tried=(), include_ejected=False):
    tried = frozenset(tried)
    return CandidateQuery("akl-a", count, spread, tried, now, include_ejected)


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

    def test_a_data_centre_with_one_instance_keeps_its_requests(self):
        chosen = self.pick_ids(self.near[:1] + self.far)
        self.assertEqual({"i-0"}, chosen)
        self.assertEqual(3, len(self.pick_ids(self.near[:1] + self.far, spread=True)))

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

    def test_a_request_that_waits_takes_ejected_instances_into_account(self):
        """Where most targets refuse a part, the few others cannot bear all."""
        for state in self.near[:4]:
            state.ejected_until = 20.0
        self.assertEqual(3, len(self.pick_ids(self.near, include_ejected=True)))
        self.assertFalse(may_use_ejected(RequestTiming(0.01, 0.7, 0.25)))
        self.assertTrue(may_use_ejected(RequestTiming(0.05, 0.7, 0.25)))

    def test_an_instance_that_was_slow_a_moment_ago_is_asked_last(self):
        slow = LoadSample(0, 0, 3, slowness=5.0, time=9.99)
        for state in self.near[:2]:
            state.sample = slow
        self.assertEqual({"i-2", "i-3", "i-4"}, self.pick_ids(self.near))

    def test_the_load_told_in_a_response_gives_a_place_without_a_probe(self):
        """In a burst probes find full targets; responses tell of free slots."""
        pick = candidate_policies.find("recent-load")
        state = self.near[0]
        state.record_sample(LoadSample(3, 0, 3, time=9.7))
        state.record_load(LoadSample(3, 0, 3, time=9.995).finish_request())
        self.assertEqual([state], pick(self.near, query()))
        self.assertEqual(2, state.sample.running)
        state.begin()
        self.assertEqual(3, state.sample.running)
        self.assertEqual([], pick(self.near, query(now=10.1)))

    def test_a_target_that_may_have_turned_cold_is_probed_first(self):
        """Responses to requests go on as usual while a target is cold again."""
        pick = candidate_policies.find("recent-load")
        state = self.near[0]
        state.record_load(LoadSample(2, 0, 3, time=9.995))
        self.assertEqual([], pick(self.near, query()))
        state.record_sample(LoadSample(2, 0, 3, time=9.4))
        state.record_load(LoadSample(2, 0, 3, time=9.995))
        self.assertEqual([], pick(self.near, query()))

    def test_a_response_does_not_end_a_cold_start(self):
        state = self.near[0]
        state.record_sample(LoadSample(0, 0, 3, cold_s=2.0, time=10.0))
        state.record_load(LoadSample(1, 0, 3, time=10.5))
        self.assertTrue(state.is_cold(10.6))
        self.assertTrue(state.sample.cold_s > 0)

    def test_requests_of_this_host_fill_the_slots_and_then_the_queue(self):
        """A burst sent up to three requests beyond the slots by one response."""
        state = self.near[0]
        state.record_sample(LoadSample(2, 0, 3, time=9.99))
        wait = RequestTiming(0.02, 0.7, 0.25, 0.09)
        accepted = 0
        while accepts_target(state.sample, wait, 1.0):
            state.begin()
            accepted += 1
        self.assertEqual(
            (2, 3, 1), (accepted, state.sample.running, state.sample.waiting)
        )

    def test_a_response_does_not_make_an_unhealthy_target_healthy(self):
        """A target that is leaving answers what it runs, and must get no more."""
        state = self.near[0]
        state.record_sample(LoadSample(2, 0, 3, time=9.99, healthy=False))
        state.record_load(LoadSample(1, 0, 3, time=9.995))
        wait = RequestTiming(0.02, 0.7, 0.25, 0.09)
        self.assertFalse(accepts_target(state.sample, wait, 1.0))

    def test_requests_of_this_host_count_though_a_target_does_not_tell_of_them(self):
        """A hanging target says that it is idle and would draw all work."""
        state = self.near[0]
        state.count_unanswered(4)
        state.record_sample(LoadSample(0, 0, 3, time=9.99))
        self.assertEqual((3, 1), (state.sample.running, state.sample.waiting))
        state.record_sample(LoadSample(2, 3, 3, time=9.99))
        self.assertEqual((2, 3), (state.sample.running, state.sample.waiting))
        state.count_unanswered(-1)
        state.record_load(LoadSample(0, 0, 3, time=9.995))
        self.assertEqual((3, 0), (state.sample.running, state.sample.waiting))

    def test_health_is_of_use_while_one_target_may_be_well(self):
        for state in self.near:
            state.record_sample(LoadSample(0, 0, 3, time=9.99, healthy=False))
        self.assertTrue(all_unhealthy(self.near))
        self.assertFalse(all_unhealthy([*self.near, build_state(9)]))
        self.near[0].record_sample(LoadSample(0, 0, 3, time=9.99))
        self.assertFalse(all_unhealthy(self.near))

    def test_a_queue_at_a_target_keeps_its_slots_full_when_a_request_ends(self):
        ended = LoadSample(3, 2, 3).finish_request()
        self.assertEqual((3, 1), (ended.running, ended.waiting))

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
            predict_slowdown(LoadSample(running, waiting, 3))
            for running, waiting in ((0, 0), (2, 0), (3, 0), (3, 3))
        ]
        self.assertEqual(sorted(factors), factors)
        self.assertTrue(factors[0] < factors[1] < factors[2] < factors[3])

    def test_a_cold_target_is_worse_than_a_warm_one(self):
        warm = LoadSample(0, 0, 3)
        cold = LoadSample(0, 0, 3, cold_s=2.0)
        self.assertTrue(predict_slowdown(warm) < predict_slowdown(cold))

    def test_hosts_that_ask_at_once_do_not_all_choose_the_same_target(self):
        samples = [LoadSample(0, 0, 3, slowness=1 + n / 50) for n in range(3)]
        chosen = {choose_best(samples, random.Random(n)) for n in range(20)}
        self.assertEqual({0, 1, 2}, chosen)


class WaitingTest(RedwingspringTestCase):
    def wait(self, waited_s, left_s=0.7, work_s=0.09):
        return RequestTiming(waited_s, left_s, 0.25, work_s)

    def accepts(self, wait, running=0, slowness=1.0, waiting=0, last_slots=1.7):
        sample = LoadSample(running, waiting, 3, slowness)
        return accepts_target(sample, wait, last_slots)

    def test_an_idle_target_is_taken_at_once(self):
        self.assertTrue(self.accepts(self.wait(0)))

    def test_a_slower_target_is_taken_only_after_a_wait(self):
        self.assertFalse(self.accepts(self.wait(0), slowness=2.0))
        self.assertTrue(self.accepts(self.wait(0.03), slowness=2.0))

    def test_a_target_that_would_answer_too_late_is_never_taken(self):
        for waited_s in (0, 0.03, 0.08, 0.14):
            self.assertFalse(self.accepts(self.wait(waited_s), slowness=5.0))

    def test_last_slots_that_lower_throughput_are_used_only_after_a_wait(self):
        """Three slots at 1.7 times the time answer fewer requests than two."""
        for waited_s in (0.02, 0.08):
            self.assertFalse(self.accepts(self.wait(waited_s), running=2))
        light = self.wait(0.13, work_s=0.05)
        self.assertTrue(self.accepts(light, running=2))

    def test_last_slots_that_add_throughput_are_used_at_once(self):
        self.assertTrue(self.accepts(self.wait(0), running=2, last_slots=1.3))

    def test_last_slots_of_unknown_effect_are_spared(self):
        """On a calm day nothing shows the slowdown until requests suffer from it."""
        slowdown = ResponseStatistics().estimate_nearly_full_slowdown("desk")
        self.assertFalse(self.accepts(self.wait(0), running=2, last_slots=slowdown))

    def test_all_slots_are_used_where_targets_do_not_slow_down(self):
        self.assertTrue(self.accepts(self.wait(0), running=2, last_slots=1.0))

    def test_a_request_is_never_put_into_the_queue_of_a_target(self):
        self.assertFalse(self.accepts(self.wait(0.14), running=3, waiting=1))

    def test_a_late_request_takes_only_what_nobody_misses(self):
        late = self.wait(0.2)
        self.assertTrue(self.accepts(late))
        self.assertFalse(self.accepts(late, running=2))

    def test_a_request_that_cannot_be_in_time_is_rejected_if_others_wait(self):
        self.assertFalse(should_reject(self.wait(0.2), 0, 10.0))
        self.assertTrue(should_reject(self.wait(0.2), 3, 10.0))
        self.assertTrue(should_reject(self.wait(0.26), 0, 10.0))
        self.assertTrue(should_reject(self.wait(0.02, left_s=0), 0, 0))

    def test_a_line_that_is_too_long_rejects_at_once(self):
        self.assertFalse(should_reject(self.wait(0.0), 5, 100.0))
        self.assertTrue(should_reject(self.wait(0.0), 50, 100.0))
        self.assertFalse(should_reject(self.wait(0.0), 50, 0))

    def test_rejected_callers_do_not_all_return_at_once(self):
        source = random.Random(5)
        wait = self.wait(0.1)
        times = [choose_retry_after(wait, 1, source) for _ in range(200)]
        self.assertTrue(max(times) - min(times) > 0.08)
        # A caller honours at most a third of the time that it has left.
        self.assertTrue(max(times) <= 0.7 / 3)

    def test_a_caller_comes_back_at_once_while_targets_have_room(self):
        """Targets that refuse a part of their requests make it late otherwise."""
        source = random.Random(5)
        for _ in range(500):
            # The time is written with three decimals.
            returned = choose_retry_after(self.wait(0.02), 0, source)
            self.assertTrue(0.0005 < returned < 0.03)
        late = RequestTiming(0.02, 0.4, 0.25, 0.09, prior_wait_s=0.4)
        self.assertTrue(choose_retry_after(late, 0) > 0.04)

    def test_a_late_request_waits_as_long_as_it_can_still_be_answered(self):
        late = RequestTiming(0.02, 0.5, 0.25, 0.09, prior_wait_s=0.3)
        self.assertTrue(late.is_late)
        self.assertFalse(should_reject(late, 20, 100.0))
        self.assertTrue(should_reject(late, 50, 100.0))

    def test_a_leaving_target_is_no_place(self):
        sample = LoadSample(0, 0, 3, healthy=False)
        self.assertFalse(accepts_target(sample, self.wait(0), 1.7))


class OverloadReplayTest(RedwingspringTestCase):
    """Work arrives faster than the targets can run it, for some seconds.

    Targets have three slots and run 1.7 times slower when all are taken.
    """

    def play(self, accepts, work=90, load=1.25):
        """Return the share of requests that is answered in time, of 250 ms."""
        source = random.Random(9)
        targets = [[] for _ in range(6)]
        waiting, in_time, asked = [], 0, 0
        for now in range(4000):
            for target in targets:
                speed = 1 / 1.7 if len(target) == 3 else 1.0
                for request in target:
                    request[1] -= speed
                in_time += sum(r[1] <= 0 and now - r[0] <= 250 for r in target)
                target[:] = [r for r in target if r[1] > 0]
            # Two slots of each target can be used at full speed.
            if source.random() < load * 2 * len(targets) / work:
                waiting.append(now)
                asked += 1
            if now % 4 == 0:
                self.place(waiting, targets, accepts, work, now, source)
        return in_time / asked

    def place(self, waiting, targets, accepts, work, now, source):
        waiting[:] = [w for w in waiting if now - w < 800]
        for arrived in list(waiting):
            wait = RequestTiming((now - arrived) / 1000, 0.8, 0.25, work / 1000)
            target = source.choice(targets)
            sample = LoadSample(min(3, len(target)), max(0, len(target) - 3), 3)
            if len(target) < 3 and accepts(sample, wait):
                target.append([arrived, work])
                waiting.remove(arrived)
            elif should_reject(wait, len(waiting), 0) and accepts is not _accept_any:
                waiting.remove(arrived)

    def test_more_is_answered_in_time_than_by_taking_any_free_slot(self):
        for load, possible in ((1.25, 0.8), (1.6, 0.625), (2.0, 0.5)):
            blind = self.play(_accept_any, load=load)
            careful = self.play(lambda s, w: accepts_target(s, w, 1.7), load=load)
            self.assertTrue(blind < possible / 5, (load, blind))
            self.assertTrue(careful > 0.85 * possible, (load, careful))


def _accept_any(sample, wait):
    return True


class HistoryTest(RedwingspringTestCase):
    def setUp(self):
        super().setUp()
        self.history = ResponseStatistics()
        self.route = Route("r", "/r/", (), True, 2, 1.0, 0.3, 1)

    def record(self, seconds, running=0, slowness=1.0, size=1000, end=None):
        sample = LoadSample(running, 0, 3, slowness)
        told = None if end is None else LoadSample(end, 0, 3, slowness)
        outcome = AnsweredRequest(self.route, "desk", sample, seconds, size, told)
        self.history.record(outcome)

    def test_work_is_learned_from_targets_at_their_usual_speed(self):
        for _ in range(60):
            self.record(0.09)
            self.record(0.5, slowness=5.0)
        self.assertTrue(0.08 < self.history.estimate_work_s(self.route) < 0.1)

    def test_spells_that_begin_during_the_work_do_not_make_requests_late(self):
        source = random.Random(2)
        for _ in range(200):
            spell = 0.15 if source.random() < 0.35 else 0.0
            self.record(source.uniform(0.08, 0.1) + spell)
        self.assertTrue(0.08 < self.history.estimate_work_s(self.route) < 0.105)

    def test_the_slowdown_of_nearly_full_targets_is_learned(self):
        for _ in range(80):
            self.record(0.09)
            self.record(0.09, running=2)
        self.assertTrue(self.history.estimate_nearly_full_slowdown("desk") < 1.1)
        for _ in range(80):
            self.record(0.16, running=2)
        self.assertTrue(self.history.estimate_nearly_full_slowdown("desk") > 1.6)

    def test_a_target_that_was_full_for_a_moment_tells_nothing_of_the_slowdown(self):
        """Mixed requests made the last slots look harmless in a burst."""
        source = random.Random(6)
        for _ in range(300):
            self.record(source.uniform(0.07, 0.11), end=1)
            self.record(source.uniform(0.12, 0.19), running=2, end=3)
            # The other requests of the target end soon after the send.
            self.record(source.uniform(0.07, 0.12), running=2, end=1)
            self.record(source.uniform(0.07, 0.12), running=2, end=2)
        self.assertTrue(self.history.estimate_nearly_full_slowdown("desk") > 1.5)
        self.assertTrue(self.history.estimate_work_s(self.route) < 0.1)

    def test_the_size_of_responses_is_learned(self):
        self.assertEqual(0, self.history.estimate_size(self.route))
        self.record(0.09, size=90_000)
        self.assertEqual(90_000, self.history.estimate_size(self.route))


class ParkedExchangeTest(RedwingspringTestCase):
    def test_two_requests_never_get_the_same_parked_exchange(self):
        state = build_state(1)
        taken = []

        def collect():
            for _ in range(2000):
                for exchange in state.take_parked():
                    taken.append(exchange)
                    state.park(exchange)
                    taken.pop()

        for number in range(3):
            state.park(number)
        threads = [threading.Thread(target=collect) for _ in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual([0, 1, 2], sorted(state.take_parked()))


class EjectionTest(RedwingspringTestCase):
    def test_an_instance_that_fails_in_a_row_is_left_out_longer_each_time(self):
        state = build_state(1)
        self.assertTrue(state.record_failure(1.0))
        first = state.ejected_until
        state.record_failure(first)
        self.assertTrue(state.ejected_until - first > first - 1.0)
        state.record_success()
        state.record_failure(50.0)
        self.assertTrue(state.ejected_until - 50.0 < 2.0)

    def test_a_refusal_counts_less_than_a_lost_answer(self):
        state = build_state(1)
        self.assertFalse(state.record_failure(1.0, 0.5))
        self.assertTrue(state.record_failure(1.0, 0.5))

    def test_a_target_that_turns_cold_again_is_noticed(self):
        state = build_state(1)
        state.record_sample(LoadSample(0, 0, 3, cold_s=2.0, time=10.0))
        self.assertTrue(state.is_cold(11.0))
        state.record_sample(LoadSample(0, 0, 3, cold_s=0.0, time=11.5))
        self.assertFalse(state.is_cold(11.6))
