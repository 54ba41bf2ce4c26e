"""Placement and wait policy under the load patterns they are made for."""

import random
import threading

from redwingspring.instancestate import Instance, InstanceState
from redwingspring.policy.loadsamples import LoadSample
from redwingspring.policy.placement import (
    AnsweredRequest,
    CandidateQuery,
    ResponseStatistics,
    all_unhealthy,
    candidate_policies,
    choose_best,
    predict_slowdown,
)
from redwingspring.policy.waitpolicy import (
    RequestTiming,
    accepts_target,
    choose_retry_after,
    may_use_ejected,
    should_reject,
)
from redwingspring.routes import Route

from .base import RedwingspringTestCase


def build_state(number, data_centre="akl-a", slots=3):
    instance = Instance(f"i-{number}", "desk", "10.0.0.1:80", data_centre, slots)
    return InstanceState(instance, None, 0.0)


def build_query(
    now=10.0, count=3, all_data_centres=False, excluded_ids=(), include_ejected=False
):
    excluded_ids = frozenset(excluded_ids)
    return CandidateQuery(
        "akl-a", count, all_data_centres, excluded_ids, now, include_ejected
    )


class CandidateTest(RedwingspringTestCase):
    def setUp(self):
        super().setUp()
        self.local = [build_state(n) for n in range(5)]
        self.remote = [build_state(n, "ham-b") for n in range(5, 10)]
        self.pick = candidate_policies.find("fresh-load")

    def pick_ids(self, states, **changes):
        chosen = self.pick(states, build_query(**changes), random.Random(1))
        return {state.instance.id for state in chosen}

    def test_instances_of_the_local_data_centre_come_first(self):
        chosen = self.pick_ids(self.local + self.remote)
        self.assertTrue(chosen <= {f"i-{n}" for n in range(5)})

    def test_a_single_local_instance_gets_all_requests_unless_all_are_allowed(self):
        chosen = self.pick_ids(self.local[:1] + self.remote)
        self.assertEqual({"i-0"}, chosen)
        self.assertEqual(
            3, len(self.pick_ids(self.local[:1] + self.remote, all_data_centres=True))
        )

    def test_remote_instances_are_candidates_after_all_local_ones_were_tried(self):
        tried_ids = [f"i-{n}" for n in range(5)]
        chosen = self.pick_ids(self.local + self.remote, excluded_ids=tried_ids)
        self.assertTrue(chosen <= {f"i-{n}" for n in range(5, 10)})

    def test_an_ejected_instance_is_a_candidate_only_if_all_are_ejected(self):
        for state in self.local[:4]:
            state.ejected_until = 20.0
        self.assertEqual({"i-4"}, self.pick_ids(self.local))
        self.local[4].ejected_until = 20.0
        self.assertEqual(3, len(self.pick_ids(self.local)))

    def test_a_request_that_has_waited_may_use_ejected_instances(self):
        """If most targets refuse some requests, the few others are overloaded."""
        for state in self.local[:4]:
            state.ejected_until = 20.0
        self.assertEqual(3, len(self.pick_ids(self.local, include_ejected=True)))
        self.assertFalse(may_use_ejected(RequestTiming(0.01, 0.7, 0.25)))
        self.assertTrue(may_use_ejected(RequestTiming(0.05, 0.7, 0.25)))

    def test_an_instance_with_a_slow_recent_sample_comes_last(self):
        slow = LoadSample(0, 0, 3, slowness=5.0, time=9.99)
        for state in self.local[:2]:
            state.sample = slow
        self.assertEqual({"i-2", "i-3", "i-4"}, self.pick_ids(self.local))

    def test_the_load_in_a_response_allows_a_send_without_a_probe(self):
        """In a burst probes find full targets; only responses show free slots."""
        pick = candidate_policies.find("recent-load")
        state = self.local[0]
        state.record_probe_load(LoadSample(3, 0, 3, time=9.7))
        state.record_response_load(LoadSample(3, 0, 3, time=9.995).finish_request())
        self.assertEqual([state], pick(self.local, build_query()))
        self.assertEqual(2, state.sample.running)
        state.begin()
        self.assertEqual(3, state.sample.running)
        self.assertEqual([], pick(self.local, build_query(now=10.1)))

    def test_a_target_without_a_recent_probe_is_not_used_by_recent_load(self):
        """Responses to requests do not show that a target has turned cold again."""
        pick = candidate_policies.find("recent-load")
        state = self.local[0]
        state.record_response_load(LoadSample(2, 0, 3, time=9.995))
        self.assertEqual([], pick(self.local, build_query()))
        state.record_probe_load(LoadSample(2, 0, 3, time=9.4))
        state.record_response_load(LoadSample(2, 0, 3, time=9.995))
        self.assertEqual([], pick(self.local, build_query()))

    def test_a_response_does_not_end_a_cold_start(self):
        state = self.local[0]
        state.record_probe_load(LoadSample(0, 0, 3, cold_s=2.0, time=10.0))
        state.record_response_load(LoadSample(1, 0, 3, time=10.5))
        self.assertTrue(state.is_cold(10.6))
        self.assertTrue(state.sample.cold_s > 0)

    def test_requests_of_this_host_fill_the_slots_and_then_the_queue(self):
        """One load report in a burst led to up to three requests beyond the slots."""
        state = self.local[0]
        state.record_probe_load(LoadSample(2, 0, 3, time=9.99))
        timing = RequestTiming(0.02, 0.7, 0.25, 0.09)
        accepted = 0
        while accepts_target(state.sample, timing, 1.0):
            state.begin()
            accepted += 1
        self.assertEqual(
            (2, 3, 1), (accepted, state.sample.running, state.sample.waiting)
        )

    def test_a_response_does_not_make_an_unhealthy_target_healthy(self):
        """A leaving target answers its running requests but must get no new ones."""
        state = self.local[0]
        state.record_probe_load(LoadSample(2, 0, 3, time=9.99, healthy=False))
        state.record_response_load(LoadSample(1, 0, 3, time=9.995))
        timing = RequestTiming(0.02, 0.7, 0.25, 0.09)
        self.assertFalse(accepts_target(state.sample, timing, 1.0))

    def test_unanswered_requests_of_this_host_count_even_if_not_reported(self):
        """A hanging target reports itself idle and would attract all requests."""
        state = self.local[0]
        state.count_unanswered(4)
        state.record_probe_load(LoadSample(0, 0, 3, time=9.99))
        self.assertEqual((3, 1), (state.sample.running, state.sample.waiting))
        state.record_probe_load(LoadSample(2, 3, 3, time=9.99))
        self.assertEqual((2, 3), (state.sample.running, state.sample.waiting))
        state.count_unanswered(-1)
        state.record_response_load(LoadSample(0, 0, 3, time=9.995))
        self.assertEqual((3, 0), (state.sample.running, state.sample.waiting))

    def test_all_unhealthy_is_false_while_one_target_may_be_healthy(self):
        for state in self.local:
            state.record_probe_load(LoadSample(0, 0, 3, time=9.99, healthy=False))
        self.assertTrue(all_unhealthy(self.local))
        self.assertFalse(all_unhealthy([*self.local, build_state(9)]))
        self.local[0].record_probe_load(LoadSample(0, 0, 3, time=9.99))
        self.assertFalse(all_unhealthy(self.local))

    def test_a_queued_request_takes_the_slot_of_a_finished_one(self):
        ended = LoadSample(3, 2, 3).finish_request()
        self.assertEqual((3, 1), (ended.running, ended.waiting))

    def test_an_outdated_slow_sample_is_ignored(self):
        old = LoadSample(0, 0, 3, slowness=5.0, time=8.0)
        for state in self.local[1:]:
            state.sample = old
        chosen_ids = set()
        for seed in range(20):
            chosen = self.pick(self.local, build_query(), random.Random(seed))
            chosen_ids |= {state.instance.id for state in chosen}
        self.assertEqual(5, len(chosen_ids))

    def test_the_target_with_the_fewest_requests_comes_first_without_load_reports(self):
        pick = candidate_policies.find("least-requests")
        for state in self.local[1:]:
            state.in_flight = 2
        [chosen] = pick(self.local, build_query(count=1), random.Random(1))
        self.assertEqual("i-0", chosen.instance.id)


class SlowPeriodSimulationTest(RedwingspringTestCase):
    """A quarter of the targets runs five times slower, in periods of 150 ms each."""

    def setUp(self):
        super().setUp()
        self.rng = random.Random(11)

    def advance(self, now):
        for number, until in enumerate(self.slow_until):
            # Start rate at which a quarter of the targets is slow on average.
            if now >= until and self.rng.random() < 0.01 * 0.25 / 0.15 / 0.75:
                self.slow_until[number] = now + 0.15

    def simulate(self, choose):
        self.slow_until = [0.0] * 12
        slow_choices = 0
        for step in range(4000):
            now = step * 0.01
            self.advance(now)
            probed = self.rng.sample(range(12), 3)
            samples = [
                LoadSample(0, 0, 3, 5.0 if now < self.slow_until[n] else 1.0)
                for n in probed
            ]
            slow_choices += samples[choose(samples)].slowness > 1
        return slow_choices / 4000

    def test_choosing_by_fresh_load_avoids_slow_targets(self):
        arbitrary = self.simulate(lambda samples: 0)
        fresh = self.simulate(lambda samples: choose_best(samples, self.rng))
        self.assertTrue(arbitrary > 0.15, arbitrary)
        self.assertTrue(fresh < arbitrary / 5, (arbitrary, fresh))


class SlowdownTest(RedwingspringTestCase):
    def test_the_predicted_slowdown_grows_with_the_load(self):
        slowdowns = [
            predict_slowdown(LoadSample(running, waiting, 3))
            for running, waiting in ((0, 0), (2, 0), (3, 0), (3, 3))
        ]
        self.assertEqual(sorted(slowdowns), slowdowns)
        self.assertTrue(slowdowns[0] < slowdowns[1] < slowdowns[2] < slowdowns[3])

    def test_the_predicted_slowdown_is_higher_for_a_cold_target(self):
        warm = LoadSample(0, 0, 3)
        cold = LoadSample(0, 0, 3, cold_s=2.0)
        self.assertTrue(predict_slowdown(warm) < predict_slowdown(cold))

    def test_hosts_that_probe_at_once_do_not_all_choose_the_same_target(self):
        samples = [LoadSample(0, 0, 3, slowness=1 + n / 50) for n in range(3)]
        chosen = {choose_best(samples, random.Random(n)) for n in range(20)}
        self.assertEqual({0, 1, 2}, chosen)


class WaitPolicyTest(RedwingspringTestCase):
    def build_timing(self, waited_s, remaining_s=0.7, work_s=0.09):
        return RequestTiming(waited_s, remaining_s, 0.25, work_s)

    def accepts(
        self, timing, running=0, slowness=1.0, waiting=0, nearly_full_slowdown=1.7
    ):
        sample = LoadSample(running, waiting, 3, slowness)
        return accepts_target(sample, timing, nearly_full_slowdown)

    def test_an_idle_target_is_accepted_at_once(self):
        self.assertTrue(self.accepts(self.build_timing(0)))

    def test_a_slower_target_is_accepted_only_after_a_wait(self):
        self.assertFalse(self.accepts(self.build_timing(0), slowness=2.0))
        self.assertTrue(self.accepts(self.build_timing(0.03), slowness=2.0))

    def test_a_target_that_would_answer_too_late_is_never_accepted(self):
        for waited_s in (0, 0.03, 0.08, 0.14):
            self.assertFalse(self.accepts(self.build_timing(waited_s), slowness=5.0))

    def test_last_slots_that_lower_throughput_are_used_only_after_a_wait(self):
        """Three slots that take 1.7 times as long have a lower throughput than two."""
        for waited_s in (0.02, 0.08):
            self.assertFalse(self.accepts(self.build_timing(waited_s), running=2))
        short = self.build_timing(0.13, work_s=0.05)
        self.assertTrue(self.accepts(short, running=2))

    def test_last_slots_that_add_throughput_are_used_at_once(self):
        self.assertTrue(
            self.accepts(self.build_timing(0), running=2, nearly_full_slowdown=1.3)
        )

    def test_last_slots_are_not_used_before_their_slowdown_is_measured(self):
        """Under low load the slowdown shows only once requests suffer from it."""
        slowdown = ResponseStatistics().estimate_nearly_full_slowdown("desk")
        self.assertFalse(
            self.accepts(self.build_timing(0), running=2, nearly_full_slowdown=slowdown)
        )

    def test_all_slots_are_used_where_targets_do_not_slow_down(self):
        self.assertTrue(
            self.accepts(self.build_timing(0), running=2, nearly_full_slowdown=1.0)
        )

    def test_a_target_with_a_queue_is_never_accepted(self):
        self.assertFalse(self.accepts(self.build_timing(0.14), running=3, waiting=1))

    def test_a_late_request_does_not_use_the_last_slots(self):
        late = self.build_timing(0.2)
        self.assertTrue(self.accepts(late))
        self.assertFalse(self.accepts(late, running=2))

    def test_a_late_request_is_rejected_if_others_are_ahead(self):
        self.assertFalse(should_reject(self.build_timing(0.2), 0, 10.0))
        self.assertTrue(should_reject(self.build_timing(0.2), 3, 10.0))
        self.assertTrue(should_reject(self.build_timing(0.26), 0, 10.0))
        self.assertTrue(should_reject(self.build_timing(0.02, remaining_s=0), 0, 0))

    def test_a_request_is_rejected_at_once_if_the_queue_is_too_long(self):
        self.assertFalse(should_reject(self.build_timing(0.0), 5, 100.0))
        self.assertTrue(should_reject(self.build_timing(0.0), 50, 100.0))
        self.assertFalse(should_reject(self.build_timing(0.0), 50, 0))

    def test_rejected_callers_do_not_all_retry_at_the_same_time(self):
        rng = random.Random(5)
        timing = self.build_timing(0.1)
        times = [choose_retry_after(timing, 1, rng) for _ in range(200)]
        self.assertTrue(max(times) - min(times) > 0.08)
        # Callers ignore a retry time above a third of their remaining time.
        self.assertTrue(max(times) <= 0.7 / 3)

    def test_a_caller_retries_at_once_while_targets_have_free_slots(self):
        """If only some targets refuse requests, a longer wait makes callers late."""
        rng = random.Random(5)
        for _ in range(500):
            # The retry time is rounded to milliseconds, and 0 is not allowed.
            retry_after_s = choose_retry_after(self.build_timing(0.02), 0, rng)
            self.assertTrue(0.0005 < retry_after_s < 0.03)
        late = RequestTiming(0.02, 0.4, 0.25, 0.09, prior_wait_s=0.4)
        self.assertTrue(choose_retry_after(late, 0) > 0.04)

    def test_a_late_request_waits_while_it_can_be_answered_before_its_deadline(self):
        late = RequestTiming(0.02, 0.5, 0.25, 0.09, prior_wait_s=0.3)
        self.assertTrue(late.is_late)
        self.assertFalse(should_reject(late, 20, 100.0))
        self.assertTrue(should_reject(late, 50, 100.0))

    def test_a_leaving_or_unhealthy_target_is_not_accepted(self):
        sample = LoadSample(0, 0, 3, healthy=False)
        self.assertFalse(accepts_target(sample, self.build_timing(0), 1.7))


class OverloadSimulationTest(RedwingspringTestCase):
    """Requests arrive faster than the targets can run them, for some seconds.

    Targets have three slots and run 1.7 times slower when all are in use.
    """

    def simulate(self, accepts, work=90, load=1.25):
        """Return the share of requests that are answered within 250 ms."""
        rng = random.Random(9)
        targets = [[] for _ in range(6)]
        waiting, in_time, arrived = [], 0, 0
        for now in range(4000):
            for target in targets:
                speed = 1 / 1.7 if len(target) == 3 else 1.0
                for request in target:
                    request[1] -= speed
                in_time += sum(r[1] <= 0 and now - r[0] <= 250 for r in target)
                target[:] = [r for r in target if r[1] > 0]
            # A target runs at full speed with two slots in use.
            if rng.random() < load * 2 * len(targets) / work:
                waiting.append(now)
                arrived += 1
            if now % 4 == 0:
                self.place(waiting, targets, accepts, work, now, rng)
        return in_time / arrived

    def place(self, waiting, targets, accepts, work, now, rng):
        waiting[:] = [w for w in waiting if now - w < 800]
        for arrived_at in list(waiting):
            timing = RequestTiming((now - arrived_at) / 1000, 0.8, 0.25, work / 1000)
            target = rng.choice(targets)
            sample = LoadSample(min(3, len(target)), max(0, len(target) - 3), 3)
            if len(target) < 3 and accepts(sample, timing):
                target.append([arrived_at, work])
                waiting.remove(arrived_at)
            elif should_reject(timing, len(waiting), 0) and accepts is not _accept_any:
                waiting.remove(arrived_at)

    def test_more_requests_are_in_time_than_with_any_free_slot_accepted(self):
        for load, possible in ((1.25, 0.8), (1.6, 0.625), (2.0, 0.5)):
            any_slot = self.simulate(_accept_any, load=load)
            selective = self.simulate(lambda s, t: accepts_target(s, t, 1.7), load=load)
            self.assertTrue(any_slot < possible / 5, (load, any_slot))
            self.assertTrue(selective > 0.85 * possible, (load, selective))


def _accept_any(sample, timing):
    return True


class ResponseStatisticsTest(RedwingspringTestCase):
    def setUp(self):
        super().setUp()
        self.statistics = ResponseStatistics()
        self.route = Route("r", "/r/", (), True, 2, 1.0, 0.3, 1)

    def record(self, seconds, running=0, slowness=1.0, size=1000, end=None):
        sample = LoadSample(running, 0, 3, slowness)
        end_sample = None if end is None else LoadSample(end, 0, 3, slowness)
        answered = AnsweredRequest(
            self.route, "desk", sample, seconds, size, end_sample
        )
        self.statistics.record(answered)

    def test_work_is_estimated_from_targets_at_their_usual_speed(self):
        for _ in range(60):
            self.record(0.09)
            self.record(0.5, slowness=5.0)
        self.assertTrue(0.08 < self.statistics.estimate_work_s(self.route) < 0.1)

    def test_slow_periods_that_begin_during_requests_do_not_raise_the_estimate(self):
        rng = random.Random(2)
        for _ in range(200):
            slow_s = 0.15 if rng.random() < 0.35 else 0.0
            self.record(rng.uniform(0.08, 0.1) + slow_s)
        self.assertTrue(0.08 < self.statistics.estimate_work_s(self.route) < 0.105)

    def test_the_slowdown_of_nearly_full_targets_is_estimated(self):
        for _ in range(80):
            self.record(0.09)
            self.record(0.09, running=2)
        self.assertTrue(self.statistics.estimate_nearly_full_slowdown("desk") < 1.1)
        for _ in range(80):
            self.record(0.16, running=2)
        self.assertTrue(self.statistics.estimate_nearly_full_slowdown("desk") > 1.6)

    def test_requests_at_a_briefly_full_target_do_not_lower_the_slowdown(self):
        """In a burst such requests hid the slowdown that the last slots cause."""
        rng = random.Random(6)
        for _ in range(300):
            self.record(rng.uniform(0.07, 0.11), end=1)
            self.record(rng.uniform(0.12, 0.19), running=2, end=3)
            # Other requests of the target end soon after the send, which leaves
            # the target nearly full for only a part of the request.
            self.record(rng.uniform(0.07, 0.12), running=2, end=1)
            self.record(rng.uniform(0.07, 0.12), running=2, end=2)
        self.assertTrue(self.statistics.estimate_nearly_full_slowdown("desk") > 1.5)
        self.assertTrue(self.statistics.estimate_work_s(self.route) < 0.1)

    def test_the_size_of_responses_is_estimated(self):
        self.assertEqual(0, self.statistics.estimate_size(self.route))
        self.record(0.09, size=90_000)
        self.assertEqual(90_000, self.statistics.estimate_size(self.route))


class ParkedExchangeTest(RedwingspringTestCase):
    def test_two_requests_never_get_the_same_parked_exchange(self):
        state = build_state(1)
        taken = []

        def collect():
            for _ in range(2000):
                for exchange in state.take_pending_probes():
                    taken.append(exchange)
                    state.add_pending_probe(exchange)
                    taken.pop()

        for number in range(3):
            state.add_pending_probe(number)
        threads = [threading.Thread(target=collect) for _ in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual([0, 1, 2], sorted(state.take_pending_probes()))


class EjectionTest(RedwingspringTestCase):
    def test_consecutive_failures_eject_an_instance_for_longer_each_time(self):
        state = build_state(1)
        self.assertTrue(state.record_failure(1.0))
        first_end = state.ejected_until
        state.record_failure(first_end)
        self.assertTrue(state.ejected_until - first_end > first_end - 1.0)
        state.record_success()
        state.record_failure(50.0)
        self.assertTrue(state.ejected_until - 50.0 < 2.0)

    def test_a_failure_of_weight_one_half_ejects_only_when_repeated(self):
        state = build_state(1)
        self.assertFalse(state.record_failure(1.0, 0.5))
        self.assertTrue(state.record_failure(1.0, 0.5))

    def test_probes_set_and_clear_the_cold_state_of_an_instance(self):
        state = build_state(1)
        state.record_probe_load(LoadSample(0, 0, 3, cold_s=2.0, time=10.0))
        self.assertTrue(state.is_cold(11.0))
        state.record_probe_load(LoadSample(0, 0, 3, cold_s=0.0, time=11.5))
        self.assertFalse(state.is_cold(11.6))
