"""Retrying callers are told from callers that send their first request."""

import random

from redwingspring.policy.callertimeouts import CallerTimeouts
from redwingspring.routes import Route

from .base import RedwingspringTestCase

ROUTE = Route("reads", "/reads/", (), True, 2, 1.0, 0.25, 2, ())


class CallerTimeoutsTest(RedwingspringTestCase):
    def setUp(self):
        super().setUp()
        self.timeouts = CallerTimeouts()
        self.random = random.Random(3)

    def record_random_time_left(self, min_s, max_s):
        return self.timeouts.record_time_left(ROUTE, self.random.uniform(min_s, max_s))

    def test_a_retry_with_less_time_left_is_known_to_have_waited(self):
        for _ in range(300):
            self.record_random_time_left(0.75, 0.8)
            if self.random.random() < 0.3:
                self.record_random_time_left(0.2, 0.6)
        self.assertTrue(self.timeouts.record_time_left(ROUTE, 0.78) < 0.05)
        self.assertTrue(0.35 < self.timeouts.record_time_left(ROUTE, 0.4) < 0.41)

    def test_a_few_long_timeouts_do_not_make_other_callers_look_like_retries(self):
        for number in range(300):
            self.record_random_time_left(0.75, 0.8)
            if number % 50 == 0:
                self.timeouts.record_time_left(ROUTE, 60.0)
        self.assertTrue(self.timeouts.record_time_left(ROUTE, 0.78) < 0.05)

    def test_the_typical_timeout_follows_shorter_timeouts(self):
        for _ in range(300):
            self.record_random_time_left(7.5, 8.0)
        for _ in range(300):
            self.record_random_time_left(0.75, 0.8)
        self.assertTrue(self.timeouts.record_time_left(ROUTE, 0.78) < 0.05)

    def test_a_caller_without_a_deadline_has_no_prior_wait(self):
        self.record_random_time_left(0.75, 0.8)
        self.assertEqual(0.0, self.timeouts.record_time_left(ROUTE, None))
