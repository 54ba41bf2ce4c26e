"""Returning callers are told from those that ask for the first time."""

import random

from redwingspring.callertimeouts import CallerTimeouts
from redwingspring.routes import Route

from .base import RedwingspringTestCase

READS = Route("reads", "/reads/", (), True, 2, 1.0, 0.25, 2, ())


class CallerTimeoutsTest(RedwingspringTestCase):
    def setUp(self):
        super().setUp()
        self.timeouts = CallerTimeouts()
        self.random = random.Random(3)

    def note(self, least_s, most_s):
        return self.timeouts.note(READS, self.random.uniform(least_s, most_s))

    def test_a_caller_that_comes_back_is_known_to_have_waited(self):
        for _ in range(300):
            self.note(0.75, 0.8)
            if self.random.random() < 0.3:
                self.note(0.2, 0.6)
        self.assertTrue(self.timeouts.note(READS, 0.78) < 0.05)
        self.assertTrue(0.35 < self.timeouts.note(READS, 0.4) < 0.41)

    def test_a_few_patient_callers_do_not_make_all_others_look_late(self):
        for number in range(300):
            self.note(0.75, 0.8)
            if number % 50 == 0:
                self.timeouts.note(READS, 60.0)
        self.assertTrue(self.timeouts.note(READS, 0.78) < 0.05)

    def test_timeouts_that_become_shorter_are_learned(self):
        for _ in range(300):
            self.note(7.5, 8.0)
        for _ in range(300):
            self.note(0.75, 0.8)
        self.assertTrue(self.timeouts.note(READS, 0.78) < 0.05)

    def test_a_caller_that_tells_no_timeout_is_not_late(self):
        self.note(0.75, 0.8)
        self.assertEqual(0.0, self.timeouts.note(READS, None))
