import time

from .base import RedwingspringTestCase
from .stubs import make_report, make_states


class EjectionTest(RedwingspringTestCase):
    def setUp(self):
        super().setUp()
        self.now = time.monotonic()
        self.states = make_states(6)
        self.outlier_detector = self.states[0].outlier_detector

    def fail(self, state, times=3, now=None):
        return [state.record_failure(now or self.now) for _ in range(times)]

    def make_slow(self, state, factor=10):
        for other in self.states:
            for _ in range(5):
                other.record_success(0.05 * (factor if other is state else 1))

    def test_consecutive_failures_eject_a_target_once(self):
        state = self.states[0]
        self.assertEqual([False, False, True, False], self.fail(state, 4))
        self.assertFalse(state.accepts_work(self.now))

    def test_a_success_resets_the_count_of_consecutive_failures(self):
        self.fail(self.states[0], 2)
        self.states[0].record_success(0.05)
        self.assertEqual([False, False], self.fail(self.states[0], 2))

    def test_ejections_have_jitter_and_repeated_ones_last_longer(self):
        ends = set()
        for _ in range(5):
            state = make_states(6)[0]
            self.fail(state)
            ends.add(state.ejected_until)
        self.assertEqual(5, len(ends))
        first = state.ejected_until - self.now
        again = state.ejected_until + 0.01
        self.assertEqual([True], self.fail(state, 1, again))
        self.assertGreater(state.ejected_until - again, 1.1 * first)

    def test_a_latency_outlier_is_ejected(self):
        self.make_slow(self.states[0])
        self.assertEqual(1, self.outlier_detector.review(time.monotonic()))
        self.assertGreater(self.states[0].ejected_until, self.now)

    def test_no_target_is_ejected_when_all_are_equally_slow(self):
        for state in self.states:
            for _ in range(5):
                state.record_success(1.0)
        self.assertEqual(0, self.outlier_detector.review(time.monotonic()))

    def test_at_most_a_third_of_the_targets_is_ejected(self):
        for state in self.states:
            self.fail(state)
        self.assertEqual(4, sum(s.accepts_work(self.now) for s in self.states))

    def test_no_target_is_ejected_when_the_others_cannot_serve_the_load(self):
        for state in self.states:
            state.record_report(make_report(3, self.now))
        self.fail(self.states[0])
        self.assertTrue(self.states[0].accepts_work(self.now))

    def test_an_ejection_ends_early_when_the_others_are_overloaded(self):
        self.make_slow(None)
        self.fail(self.states[0])
        later = time.monotonic()
        for state in self.states[1:]:
            for _ in range(30):
                state.record_report(make_report(6, later))
        self.outlier_detector.review(later)
        self.assertTrue(self.states[0].accepts_work(later))
